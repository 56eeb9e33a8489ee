"""The store passes from one process of a scheduler to the next, and back where that one ends.

The next one recovers open jobs from the store as after a crash, so that there is one way in which jobs change
hands.  What makes it more than a crash: nothing is under way when the store changes hands, all is written
down, and the clients who wait follow with their connections (scheduler/upgrade.py).
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from carthinge.durable.errors import StoreError
from carthinge.durable.jobs import DurableJobs
from carthinge.durable.writer import Writer
from carthinge.net.tracked_request import Attempt

CALM_WITHIN: Final = timedelta(milliseconds=500)  # of asking; what is under way then counts as perhaps sent
WRITTEN_WITHIN: Final = timedelta(seconds=1.2)  # after that: whoever asked waits for 2 s in all
CALM_CHECKED: Final = timedelta(milliseconds=10)
TAKEN_BACK_WITHIN: Final = timedelta(seconds=5)  # one that is being killed has the store a moment longer


class HandOver:
    """Lets go of the store, a little at a time: the loop is never held, however sick the disk is."""

    def __init__(
        self, jobs: DurableJobs, busy: Callable[[Attempt], bool], done: Callable[[bool], None]
    ) -> None:
        """``done`` hears whether another process may have the store now.

        ``busy``: an attempt is on its way to its worker, and gets a moment to arrive there.
        """
        self._jobs = jobs
        self._busy = busy
        self._done = done
        self._until = jobs.loop.clock.now() + CALM_WITHIN
        jobs.leaving = True
        self._wait_for_calm()

    def _wait_for_calm(self) -> None:
        """Until all is read back, and nothing is on its way to a worker."""
        jobs = self._jobs
        writer = jobs.writer
        if writer is None or writer.failing or not jobs.leaving:
            self._done(False)
        elif not jobs.loaded or (jobs.under_way(self._busy) and jobs.loop.clock.now() < self._until):
            jobs.loop.call_after(CALM_CHECKED, self._wait_for_calm)
        else:
            self._until = jobs.loop.clock.now() + WRITTEN_WITHIN
            writer.request_stop()
            self._wait_for_writer(writer)

    def _wait_for_writer(self, writer: Writer) -> None:
        """Until all is on disk."""
        jobs = self._jobs
        if writer.stopped and not writer.unwritten and jobs.leaving:
            jobs.close()
            jobs.forget_all()
            self._done(True)
        elif not jobs.leaving or writer.failing or jobs.loop.clock.now() >= self._until:
            writer.resume()
            self._done(False)
        else:
            if writer.stopped:  # something came as its thread ended: it is written first
                writer.resume()
                writer.request_stop()
            jobs.loop.call_after(CALM_CHECKED, lambda: self._wait_for_writer(writer))


def take_back(jobs: DurableJobs, opened: Callable[[], None]) -> None:
    """The other process has ended: goes on from the store, as that has left it; ``opened`` once that is had.

    StoreError, from the loop, where it cannot be had.
    """
    clock = jobs.loop.clock
    if jobs.writer is not None:  # it was never let go of
        jobs.stay()
        opened()
        return
    until = clock.now() + TAKEN_BACK_WITHIN

    def try_to() -> None:
        try:
            jobs.open()
        except StoreError:
            if clock.now() >= until:
                raise
            jobs.loop.call_after(CALM_CHECKED, try_to)
        else:
            opened()

    try_to()
