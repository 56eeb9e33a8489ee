"""Handover of the store to the successor process, and its return if that process ends.

The successor recovers open jobs from the store as after a crash, so there is only one recovery path.  Unlike
after a crash, no attempt is being sent at that moment, all records are written, and waiting clients follow
with their connections (scheduler/upgrade.py).
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from carthinge.durable.errors import StoreError
from carthinge.durable.jobs import DurableJobs
from carthinge.durable.writer import Writer
from carthinge.net.tracked_request import Attempt

SEND_TIMEOUT: Final = timedelta(milliseconds=500)  # after it, attempts being sent count as perhaps sent
WRITE_TIMEOUT: Final = timedelta(seconds=1.2)  # then for pending records; the successor waits 2 s in all
POLL_INTERVAL: Final = timedelta(milliseconds=10)
REOPEN_TIMEOUT: Final = timedelta(seconds=5)  # a killed process keeps its lock until it has exited


class StoreHandover:
    """Releases the store step by step, without blocking the loop, however slow the disk is."""

    def __init__(
        self, jobs: DurableJobs, busy: Callable[[Attempt], bool], done: Callable[[bool], None]
    ) -> None:
        """``done`` is called with whether the successor may open the store now.

        ``busy`` returns whether an attempt is being sent to its worker, which is given time to finish.
        """
        self._jobs = jobs
        self._busy = busy
        self._done = done
        self._timeout_at = jobs.loop.clock.now() + SEND_TIMEOUT
        jobs.handing_over = True
        self._wait_for_sends()

    def _wait_for_sends(self) -> None:
        """Wait until all jobs are loaded and no attempt is being sent."""
        jobs = self._jobs
        writer = jobs.writer
        if writer is None or writer.failing or not jobs.handing_over:
            self._done(False)
        elif not jobs.loaded or (jobs.is_sending(self._busy) and jobs.loop.clock.now() < self._timeout_at):
            jobs.loop.call_after(POLL_INTERVAL, self._wait_for_sends)
        else:
            self._timeout_at = jobs.loop.clock.now() + WRITE_TIMEOUT
            writer.request_stop()
            self._wait_for_writer(writer)

    def _wait_for_writer(self, writer: Writer) -> None:
        """Wait until all records are on disk."""
        jobs = self._jobs
        if writer.stopped and not writer.unwritten and jobs.handing_over:
            jobs.close()
            jobs.release_all()
            self._done(True)
        elif not jobs.handing_over or writer.failing or jobs.loop.clock.now() >= self._timeout_at:
            writer.resume()
            self._done(False)
        else:
            if writer.stopped:  # a record was queued as the thread exited: write it first
                writer.resume()
                writer.request_stop()
            jobs.loop.call_after(POLL_INTERVAL, lambda: self._wait_for_writer(writer))


def reclaim_store(jobs: DurableJobs, opened: Callable[[], None]) -> None:
    """Reopen the store after the other process has ended, and call ``opened``.

    Raises StoreError, from the loop, if it cannot be opened.
    """
    clock = jobs.loop.clock
    if jobs.writer is not None:  # it was never released
        jobs.cancel_handover()
        opened()
        return
    timeout_at = clock.now() + REOPEN_TIMEOUT

    def try_open() -> None:
        try:
            jobs.open()
        except StoreError:
            if clock.now() >= timeout_at:
                raise
            jobs.loop.call_after(POLL_INTERVAL, try_open)
        else:
            opened()

    try_open()
