"""An open durable job: its state, its waiters, and the tracker's client and recorder for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from carthinge import interface as io
from carthinge.durable.limits import ShedReason
from carthinge.durable.records import Accepted, JobState, StoredAttempt
from carthinge.net.tracked_request import Attempt, Job, TrackedRequest


@dataclass(frozen=True, slots=True)
class Ending:
    """The end of a job, as reported to its waiters."""

    state: JobState
    result: bytes = b""
    timed_out: bool = False
    retry_after: timedelta = timedelta()


class Waiter(Protocol):
    """Is notified about a job; at most one of ``ended``, ``shed`` and ``key_mismatch`` is called."""

    durable_job: DurableJob | None  #: the job that it waits for; set by the job

    def accepted(self, number: int) -> None:
        """The job is accepted under this number."""

    def ended(self, ending: Ending) -> None:
        """The job has ended."""

    def shed(self, reason: ShedReason, retry_after: timedelta) -> None:
        """The job is not accepted."""

    def handed_over(self, number: int) -> None:
        """The job continues from the store, in another process of this scheduler or in this one."""

    def key_mismatch(self) -> None:
        """The key belongs to a different request."""


class JobRecorder(Protocol):
    """Records what the tracker reports about a job."""

    def end(self, durable_job: DurableJob, ending: Ending) -> None:
        """Record the final end of a job."""

    def grant(self, durable_job: DurableJob, attempt: Attempt, send: Callable[[], None]) -> None:
        """Record that an attempt is about to be sent; call ``send`` once that is on disk."""

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Extend an attempt's lease after a callback of its worker."""

    def attempt_ended(self, durable_job: DurableJob, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt."""


@dataclass(slots=True, eq=False)
class DurableJob:
    """A durable job that is open here, or whose end is not on disk yet.

    Implements the tracker's protocols for a client and for recording attempts.
    """

    jobs: JobRecorder
    accepted: Accepted
    tracked: TrackedRequest | None = None  #: None until it is on disk and, if recovered, readmitted
    on_disk: bool = False
    ending: Ending | None = None
    notified: bool = False  #: whether its waiters were notified of the ending
    last_token: int = 0
    result_token: int = 0  #: of the attempt that provided the result, 0 for none
    callbacks: list[Callable[[int], None]] = field(default_factory=list)  #: to be answered at its end
    stored_attempts: list[StoredAttempt] = field(default_factory=list)
    _waiters: list[Waiter] = field(default_factory=list, init=False)

    # ---- the tracker's client ----------------------------------------------------------------

    def has_left(self) -> bool:
        """Return False: a durable job continues without its clients."""
        return False

    def serve(self, result: bytes) -> None:
        """End the job with a result."""
        self.jobs.end(self, Ending(JobState.SERVED, result))

    def shed(self, retry_after: timedelta) -> None:
        """End the job as refused."""
        self.jobs.end(self, Ending(JobState.REFUSED, retry_after=retry_after))

    def fail(self, timed_out: bool) -> None:
        """End the job as failed."""
        self.jobs.end(self, Ending(JobState.FAILED, timed_out=timed_out))

    def reject(self) -> None:
        """End the job as failed, since no worker can use the request."""
        self.jobs.end(self, Ending(JobState.FAILED, b"no worker can use this request\n"))

    # ---- recording of attempts --------------------------------------------------------------

    def grant(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Record that an attempt is about to be sent."""
        self.jobs.grant(self, attempt, send)

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Extend an attempt's lease."""
        self.jobs.renew(attempt, begun)

    def attempt_ended(self, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt."""
        self.jobs.attempt_ended(self, attempt, result)

    # ---- waiters --------------------------------------------------------------------------

    # A notified waiter may answer its client at once and then removes itself, so the list is never iterated
    # over while its waiters are notified.

    @property
    def has_waiters(self) -> bool:
        """Whether a client waits for the job."""
        return bool(self._waiters)

    def add_waiter(self, waiter: Waiter) -> None:
        """Add a waiter, which is notified of the job's end."""
        self._waiters.append(waiter)
        waiter.durable_job = self

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a waiter; does nothing if it was taken already."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def take_waiters(self) -> list[Waiter]:
        """Remove all waiters and return them, each to be notified by the caller."""
        waiters, self._waiters = self._waiters, []
        return waiters

    def notify_accepted(self) -> None:
        """Notify the waiters that the job is accepted; those without an answer still wait for its end."""
        for waiter in tuple(self._waiters):
            waiter.accepted(self.accepted.number)

    # ---- state ----------------------------------------------------------------------------

    def has_open_attempt(self) -> bool:
        """Whether an attempt of the job is open."""
        return self.tracked is not None and self.tracked.first_open_attempt() is not None

    def job(self) -> Job:
        """Return the client's request for the tracker."""
        accepted = self.accepted
        return Job(accepted.req_id, accepted.subject, accepted.body, accepted.headers)
