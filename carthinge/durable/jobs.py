"""The durable jobs of a running scheduler; connects the front end, the tracker and the store.

Records are written ahead.  A job is accepted, and passed to the tracker and the decision module, once its
record is on disk.  An attempt is sent once its grant is on disk.  An end is reported to clients, and to the
worker whose callback brought it, once it is on disk.  So a crash loses nothing that was visible outside.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Final

from carthinge import interface as io
from carthinge.durable.admission import Admission
from carthinge.durable.attempt_leases import AttemptLeases
from carthinge.durable.durable_job import DurableJob, Ending, Waiter
from carthinge.durable.job_index import JobIndex
from carthinge.durable.job_loader import JobLoader
from carthinge.durable.job_names import job_name, job_number
from carthinge.durable.limits import Limits
from carthinge.durable.records import (
    Accepted,
    Collected,
    Ended,
    FoundJob,
    JobState,
)
from carthinge.durable.store import Store, Time
from carthinge.durable.writer import Writer
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, READ, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt, Job, Terms
from carthinge.net.worker_directory import WorkerEndpoint
from carthinge.operator_file import Options

SEQUENCE_BITS: Final = 31  # low bits of a number: a sequence number within one opening of the store


class DurableJobs:
    """All durable jobs of this scheduler and their store."""

    def __init__(
        self,
        loop: Loop,
        tracker: RequestTracker,
        options: Options,
        boot_id: str,
        terms_of: Callable[[Accepted, timedelta], Terms | None],
        entry_of: Callable[[int], io.WorkerEntry],
        target_of: Callable[[str, Address], WorkerEndpoint],
        memory_bytes: int,
    ) -> None:
        """``memory_bytes``: limit on what open jobs may hold in memory.

        ``terms_of``: a stored job's terms by the current settings, None if its class or tenant is gone.
        """
        durable = options.durable
        self.loop = loop
        self.classes = frozenset(durable.classes)
        self.limits = Limits(
            durable.max_open,
            durable.max_open_per_tenant,
            durable.max_open_bytes,
            durable.max_store_bytes,
            durable.max_backlog,
            memory_bytes,
        )
        self.index = JobIndex(self.limits)
        self.attempt_leases = AttemptLeases(
            loop, options.leases.duration, entry_of, target_of, tracker.expire
        )
        self.late_results = self.stale_calls = 0
        self.writer: Writer | None = None
        self._tracker = tracker
        self._admission = Admission(self, loop, tracker, self.limits, self.index, terms_of)
        self._options = durable
        self._boot_id = boot_id
        self._store = Store(Path(durable.folder), durable.max_store_bytes)
        self.loader = JobLoader(
            self,
            loop,
            tracker,
            self.index,
            self.attempt_leases,
            durable.recover_per_s,
            self._store.path,
            terms_of,
        )
        self._postponed: list[Callable[[], None]] = []  # calls deferred during a handover of the store
        self._sequence = 0
        self.handing_over = False  #: the store is being handed over, or belongs to another process
        self._stopped = False

    @property
    def loaded(self) -> bool:
        """Whether all open jobs have been read from the store."""
        return self.loader.loaded

    # ---- start and end --------------------------------------------------------------------

    def open(self) -> None:
        """Open the store, StoreError if that fails; open jobs are then loaded turn by turn."""
        self._store.open(self.time())
        self.handing_over = self._stopped = False
        self._sequence = 0
        self.writer = Writer(self._store, self.time, lambda sock, call: self.loop.register(sock, READ, call))
        self.loader.begin(self.writer)

    def close(self, timeout: timedelta = timedelta(seconds=5)) -> bool:
        """Write pending records and release the store; return False if not all could be written."""
        writer, self.writer = self.writer, None
        if writer is None:
            return True
        self._stopped = True
        self.loader.stop()
        all_written = writer.stop(timeout)
        writer.deliver()
        self.loop.unregister(writer.wake_in)
        writer.close()
        if writer.stopped:  # else the thread still uses the store, until the process ends
            self._store.close()
        return all_written

    def release_all(self) -> None:
        """Drop all open jobs from memory; they continue from the store, in this process or another."""
        for durable_job in list(self.index.by_number.values()):
            for waiter in durable_job.take_waiters():
                waiter.handed_over(durable_job.accepted.number)
            if durable_job.tracked is not None:
                self._tracker.hand_over(durable_job.tracked)
            self.index.remove(durable_job)
            self.loader.recovery_queue.remove(durable_job)
        self.attempt_leases.clear()
        self._postponed.clear()

    def is_sending(self, busy: Callable[[Attempt], bool]) -> bool:
        """Whether an attempt is being sent to a worker, or is about to be."""
        return any(
            (attempt.awaiting_grant and attempt.token) or busy(attempt)
            for durable_job in self.index.by_number.values()
            if durable_job.tracked is not None
            for attempt in durable_job.tracked.open_attempts()
        )

    def has_request(self, req_id: str) -> bool:
        """Whether a durable job with that request id is open here."""
        return req_id in self.index.by_req_id

    def metrics(self) -> dict[str, object]:
        """Return the current metrics."""
        writer = self.writer
        return {
            "open": self.limits.open,
            "open_bytes": self.limits.bytes,
            "waiting_to_enter": len(self.loader.recovery_queue),
            "leases": len(self.attempt_leases.leases),
            "leases_expired": self.attempt_leases.expired,
            "late_results": self.late_results,
            "stale_calls": self.stale_calls,
            "recovered": self.loader.recovered,
            "loaded": self.loaded,
            "damaged": len(self.loader.damaged),
            "shed": self._admission.shed_by_reason,
            "failing": bool(writer and writer.failing),
            "failures": writer.failures if writer else 0,
            "backlog": writer.backlog if writer else 0,
            "commits": writer.commits if writer else 0,
            "store_bytes": writer.usage.bytes_used if writer else 0,
            "store_bytes_free": writer.usage.bytes_free if writer else 0,
        }

    def time(self) -> Time:
        """Return the time for the store; also called from its thread."""
        clock = self.loop.clock
        return Time(clock.now() // MICROSECOND, clock.wall() // MICROSECOND, self._boot_id)

    def name(self, number: int) -> str:
        """Return the name by which clients refer to a job."""
        return job_name(number, self._store.secret)

    def next_number(self) -> int:
        """Return a number unique in this store, across restarts: the epoch counts its openings on disk."""
        self._sequence += 1
        assert self._sequence < 1 << SEQUENCE_BITS
        return self._store.epoch << SEQUENCE_BITS | self._sequence

    # ---- submission -----------------------------------------------------------------------

    def submit(self, job: Job, terms: Terms, key: bytes | None, waiter: Waiter) -> None:
        """Submit a request for a durable job; ``waiter`` is notified of the outcome."""
        if not self.loaded:  # its key may belong to a job that is not loaded yet
            arrived = self.loop.now
            self.loader.defer(lambda: self._admission.submit(job, terms, key, waiter, arrived))
        else:
            self._admission.submit(job, terms, key, waiter, self.loop.now)

    # ---- lookup ---------------------------------------------------------------------------

    def look_up(self, name: str, done: Callable[[DurableJob | FoundJob | int], None]) -> None:
        """Look up a job by name, open or ended; ``done`` gets the job or a status: 404 for a name that was
        never issued, 410 for a deleted job, 500 for a damaged one, 503 if the store cannot be read."""
        if not self.loaded:
            self.loader.defer(lambda: self.look_up(name, done))
            return
        number = job_number(name, self._store.secret)
        if number is None:
            done(HTTPStatus.NOT_FOUND)
        elif number in self.loader.damaged:
            done(HTTPStatus.INTERNAL_SERVER_ERROR)
        elif (durable_job := self.index.by_number.get(number)) is not None and durable_job.on_disk:
            done(durable_job)
        elif self.writer is None:
            done(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.writer.read_store(
                lambda store: store.find(number), lambda found: done(_lookup_result(found))
            )

    def add_waiter(self, durable_job: DurableJob, waiter: Waiter) -> None:
        """Notify ``waiter`` of the job's end."""
        if durable_job.notified and durable_job.ending is not None:
            waiter.ended(durable_job.ending)
        else:
            durable_job.add_waiter(waiter)

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a waiter whose client has left or was answered; the job continues."""
        if waiter.durable_job is not None:
            waiter.durable_job.remove_waiter(waiter)
        waiter.durable_job = None

    def give_up(self, durable_job: DurableJob, done: Callable[[], None]) -> bool:
        """Give up a job for its client; ``done`` is called once that is on disk.  False if it has ended."""
        if durable_job.ending is not None:
            return False
        durable_job.callbacks.append(lambda _: done())
        tracked = durable_job.tracked
        self.end(durable_job, Ending(JobState.GIVEN_UP))
        if tracked is not None:
            self._tracker.abandon(tracked)
        return True

    def mark_collected(self, number: int) -> None:
        """Shorten the retention of a result that a client has received."""
        if self.writer is not None:
            forget_at = self.loop.clock.now() + self._options.keep_collected
            self.writer.write(Collected(number, forget_at // MICROSECOND), wake=False)

    # ---- called by the tracker ---------------------------------------------------------------

    def grant(self, durable_job: DurableJob, attempt: Attempt, send: Callable[[], None]) -> None:
        """Record that an attempt is about to be sent; call ``send`` once that is on disk."""
        if self.handing_over:
            self.postpone(lambda: self.grant(durable_job, attempt, send) if attempt.open else None)
        elif self.writer is not None:
            attempt.token = durable_job.last_token = self.next_number()
            self.attempt_leases.grant(
                self.writer, durable_job.accepted.number, attempt, lambda _: None if self._stopped else send()
            )

    def postpone(self, call: Callable[[], None]) -> None:
        """Defer a call during a handover: it is dropped on success, and made here if the handover fails."""
        self._postponed.append(call)

    def cancel_handover(self) -> None:
        """Cancel the handover of the store and make the deferred calls."""
        self.handing_over = False
        postponed, self._postponed = self._postponed, []
        for call in postponed:
            call()

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Extend an attempt's lease after a callback of its worker."""
        self.attempt_leases.renew(self.writer, attempt, begun)

    def attempt_ended(self, durable_job: DurableJob, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt, and which attempt provides the result."""
        # The first of two hedged attempts to end provides the result.
        if result is io.Result.OK and durable_job.ending is None:
            durable_job.result_token = attempt.token
        self.attempt_leases.end(self.writer, attempt, result)

    # ---- callbacks ------------------------------------------------------------------------

    def acknowledge(self, durable_job: DurableJob, done: Callable[[int], None]) -> None:
        """Answer a callback, once the end that it caused is on disk."""
        if durable_job.ending is not None:
            durable_job.callbacks.append(done)
        else:
            done(HTTPStatus.NO_CONTENT)

    def handle_unmatched_callback(
        self, req_id: str, token: int, result: bytes | None, done: Callable[[int], None]
    ) -> None:
        """Handle a callback whose token matches no open attempt; ``result`` is None if it has none.

        A result counts only if its token is that of the job's latest attempt and no attempt is open.  A
        callback whose result is on disk already is acknowledged again.
        """
        durable_job = self.index.by_req_id.get(req_id)
        if durable_job is None:
            self._acknowledge_recorded(token, done)
        elif durable_job.ending is not None and durable_job.result_token == token:
            durable_job.callbacks.append(done)
        elif (
            result is not None
            and durable_job.ending is None
            and durable_job.last_token == token
            and not durable_job.has_open_attempt()
        ):
            self.late_results += 1
            durable_job.result_token = token
            durable_job.callbacks.append(done)
            if durable_job.tracked is not None:
                self._tracker.serve_late(durable_job.tracked, result)
            else:
                durable_job.serve(result)
        else:
            self.stale_calls += 1
            done(HTTPStatus.CONFLICT)

    def _acknowledge_recorded(self, token: int, done: Callable[[int], None]) -> None:
        def answer(found: object) -> None:
            is_recorded = (
                isinstance(found, FoundJob) and found.state is JobState.SERVED and found.token == token
            )
            self.stale_calls += not is_recorded
            done(HTTPStatus.NO_CONTENT if is_recorded else HTTPStatus.CONFLICT)

        if self.writer is None:
            done(HTTPStatus.CONFLICT)
        else:
            self.writer.read_store(lambda store: store.find_by_token(token), answer)

    def defer_until_loaded(self, call: Callable[[], None]) -> bool:
        """Defer a call until all open jobs are loaded; False if they are, or during a handover."""
        if not self.loaded and not self.handing_over:
            self.loader.defer(call)
            return True
        return False

    # ---- ends -----------------------------------------------------------------------------

    def end(self, durable_job: DurableJob, ending: Ending) -> None:
        """Record the end of a job and notify its waiters once it is on disk.

        A waiter whose deadline comes earlier reads ``ending`` itself.
        """
        if durable_job.ending is not None:
            return
        durable_job.ending = ending
        self.loader.recovery_queue.remove(durable_job)
        now = self.loop.now
        collected_at_once = durable_job.has_waiters and ending.state is JobState.SERVED
        retention = self._options.keep_collected if collected_at_once else self._options.keep_results
        if self.writer is not None:
            self.writer.write(
                Ended(
                    durable_job.accepted.number,
                    ending.state,
                    ending.result,
                    durable_job.result_token,
                    now // MICROSECOND,
                    (now + retention) // MICROSECOND,
                    ending.timed_out,
                ),
                partial(self._ended, durable_job),
            )

    def _ended(self, durable_job: DurableJob, _: FoundJob | None) -> None:
        self._notify_waiters(durable_job)
        self.index.remove(durable_job)
        callbacks, durable_job.callbacks = durable_job.callbacks, []
        for call in callbacks:
            call(HTTPStatus.NO_CONTENT)

    def _notify_waiters(self, durable_job: DurableJob) -> None:
        ending = durable_job.ending
        if not durable_job.notified and ending is not None:
            durable_job.notified = True
            for waiter in durable_job.take_waiters():
                waiter.ended(ending)


def _lookup_result(found: object) -> FoundJob | int:
    if isinstance(found, FoundJob):
        return found
    return HTTPStatus.GONE if found is None else HTTPStatus.SERVICE_UNAVAILABLE
