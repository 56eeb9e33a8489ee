"""Admission of durable jobs: join an open job with the same key, shed, or accept once on disk."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from heapq import heappop, heappush
from typing import Final, Protocol

from carthinge.durable import records
from carthinge.durable.durable_job import DurableJob, Ending, JobRecorder, Waiter
from carthinge.durable.job_index import JobIndex
from carthinge.durable.job_names import key_digest, request_digest
from carthinge.durable.limits import Limits, ShedReason
from carthinge.durable.records import Accepted, FoundJob, JobState
from carthinge.durable.writer import Writer
from carthinge.net import log
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Job, Terms

ACCEPT_TIMEOUT: Final = timedelta(seconds=1)  # then shed: a client must not wait for a slow disk
MAX_ACCEPT_TIME_SHARE: Final = 0.5  # of the client's time left, if that is less
MAX_HINT: Final = timedelta(days=365)  # keeps absurd hints within the range of the stored integer
RETRY_AFTER: Final = timedelta(seconds=1)  # after shedding for lack of disk or space


class JobManager(JobRecorder, Protocol):
    """Manages jobs once they are accepted."""

    writer: Writer | None
    handing_over: bool  #: the store is being handed over, or belongs to another process

    def next_number(self) -> int:
        """Return a number that no job and no attempt of this store ever had."""

    def postpone(self, call: Callable[[], None]) -> None:
        """Defer ``call`` during a handover; it is made if the handover fails."""


class Admission:
    """Decides whether durable jobs are accepted."""

    def __init__(
        self,
        jobs: JobManager,
        loop: Loop,
        tracker: RequestTracker,
        limits: Limits,
        index: JobIndex,
        terms_of: Callable[[Accepted, timedelta], Terms | None],
    ) -> None:
        self.shed_by_reason: dict[str, int] = dict.fromkeys((reason.name.lower() for reason in ShedReason), 0)
        self._jobs = jobs
        self._loop = loop
        self._tracker = tracker
        self._limits = limits
        self._index = index
        self._terms_of = terms_of
        self._unwritten: list[tuple[timedelta, int, DurableJob]] = []  # heap of (time limit, number, job)
        self._unwritten_timer: Timer | None = None

    def submit(self, job: Job, terms: Terms, key: bytes | None, waiter: Waiter, arrived: timedelta) -> None:
        """Submit a request received at ``arrived``; ``waiter`` is notified of the outcome."""
        digest = request_digest(job.subject, job.body)
        hashed_key = key_digest(terms.tenant_name, terms.class_name, key) if key is not None else None
        existing = self._index.by_key.get(hashed_key) if hashed_key is not None else None
        if existing is not None and not (existing.ending and existing.ending.state is JobState.REFUSED):
            self._join(existing, digest, waiter)
            return
        writer = self._jobs.writer
        if writer is None or self._jobs.handing_over:
            self._shed(waiter, ShedReason.FAILING)
            return
        reason = self._limits.shed_reason(
            terms.tenant_name,
            len(job.body),
            writer.backlog,
            writer.usage.bytes_used,
            bool(writer.failing),
        )
        if reason is not None:
            self._shed(waiter, reason)
            return
        accepted = self._record(job, terms, hashed_key, digest, arrived)
        durable_job = DurableJob(self._jobs, accepted)
        durable_job.add_waiter(waiter)
        self._index.add(durable_job)
        self._limit_write_time(durable_job, arrived + terms.timeout)
        writer.write(accepted, partial(self._on_disk, durable_job))

    def _record(
        self, job: Job, terms: Terms, hashed_key: bytes | None, digest: bytes, arrived: timedelta
    ) -> Accepted:
        """Return the record of a new job, with a number of its own."""
        hint = None if terms.hint is None else min(terms.hint, MAX_HINT) // MICROSECOND
        return Accepted(
            self._jobs.next_number(),
            job.id,
            terms.tenant_name,
            terms.class_name,
            hashed_key,
            digest,
            job.subject,
            job.body,
            job.headers,
            records.Terms(terms.key, hint, terms.slots, terms.memory),
            arrived // MICROSECOND,
            (arrived + terms.timeout) // MICROSECOND,
        )

    def _limit_write_time(self, durable_job: DurableJob, deadline: timedelta) -> None:
        """Have a job shed that is not on disk in time; ``deadline`` is its client's."""
        now = self._loop.now
        timeout_at = now + min(ACCEPT_TIMEOUT, MAX_ACCEPT_TIME_SHARE * (deadline - now))
        heappush(self._unwritten, (timeout_at, durable_job.accepted.number, durable_job))
        if self._unwritten_timer is None or self._unwritten[0][2] is durable_job:
            if self._unwritten_timer is not None:
                self._unwritten_timer.cancel()
            self._unwritten_timer = self._loop.call_at(timeout_at, self._shed_overdue)

    def _on_disk(self, durable_job: DurableJob, found: FoundJob | None) -> None:
        """Go on with a job whose record is written, or with ``found``, the stored job that has its key."""
        accepted, durable_job.on_disk = durable_job.accepted, True
        if found is not None:
            self._index.remove(durable_job)
            self._answer_waiters(durable_job, found)
            return
        if durable_job.ending is not None:  # shed in the meantime
            return
        if self._jobs.handing_over:
            self._jobs.postpone(partial(self._on_disk, durable_job, None))
            return
        terms = self._terms_of(accepted, accepted.deadline * MICROSECOND - self._loop.now)
        if terms is None:
            durable_job.reject()
            return
        durable_job.tracked = self._tracker.take(durable_job.job(), terms, durable_job, durable_job)
        durable_job.notify_accepted()

    def _shed_overdue(self) -> None:
        """Shed jobs that are not on disk in time.  One timer serves all: nearly all are on disk by then."""
        self._unwritten_timer = None
        while self._unwritten and self._unwritten[0][0] <= self._loop.now:
            durable_job = heappop(self._unwritten)[2]
            if not durable_job.on_disk and durable_job.ending is None:
                self._shed_unwritten(durable_job)
        if self._unwritten:
            self._unwritten_timer = self._loop.call_at(self._unwritten[0][0], self._shed_overdue)

    def _shed_unwritten(self, durable_job: DurableJob) -> None:
        """Shed a job that is not on disk in time, and mark it so that it is not run if written later."""
        durable_job.accepted.cancelled = True
        for waiter in durable_job.take_waiters():
            self._shed(waiter, ShedReason.BACKLOG)
        self._jobs.end(durable_job, Ending(JobState.REFUSED))

    def _shed(self, waiter: Waiter, reason: ShedReason) -> None:
        self.shed_by_reason[reason.name.lower()] += 1
        waiter.shed(reason, RETRY_AFTER)

    def _join(self, durable_job: DurableJob, digest: bytes, waiter: Waiter) -> None:
        if durable_job.accepted.digest != digest:
            waiter.key_mismatch()
        elif durable_job.notified and durable_job.ending is not None:
            waiter.ended(durable_job.ending)
        else:
            durable_job.add_waiter(waiter)
            if durable_job.on_disk:
                waiter.accepted(durable_job.accepted.number)

    def _answer_waiters(self, durable_job: DurableJob, found: FoundJob) -> None:
        """Answer all who wait for a job that is not stored, since a stored job has its key."""
        waiters = durable_job.take_waiters()
        log.logger().debug(
            "key_found",
            id=durable_job.accepted.req_id,
            job=f"{found.number:x}",
            state=found.state.name,
            waiters=len(waiters),
        )
        for waiter in waiters:
            self._answer_found(found, durable_job.accepted.digest, waiter)

    def _answer_found(self, found: FoundJob, digest: bytes, waiter: Waiter) -> None:
        """Answer from the stored job that has the same key."""
        if found.digest != digest:
            waiter.key_mismatch()
        elif found.state is JobState.OPEN:
            durable_job = self._index.by_number.get(found.number)
            if durable_job is not None and durable_job.ending is None:
                self._join(durable_job, digest, waiter)
            else:  # its refusal is being written
                self._shed(waiter, ShedReason.BACKLOG)
        else:
            waiter.accepted(found.number)
            waiter.ended(Ending(found.state, found.result, found.timed_out))
