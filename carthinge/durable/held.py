"""One durable job while it is open: what the tracker talks to, and who waits for its end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from carthinge import interface as io
from carthinge.durable.limits import Shed
from carthinge.durable.records import Accepted, JobState, StoredAttempt
from carthinge.net.tracked_request import Attempt, Job, TrackedRequest


@dataclass(frozen=True, slots=True)
class Ending:
    """How a job has ended, for whoever asks."""

    state: JobState
    result: bytes = b""
    timed_out: bool = False
    stay_away: timedelta = timedelta()


class Waiter(Protocol):
    """Somebody who wants to hear of a job; gets one of ``ended``, ``shed`` and ``mismatch`` at the most."""

    held: Held | None  #: the job that it is a waiter of; kept here

    def accepted(self, number: int) -> None:
        """It is taken on, by this number."""

    def ended(self, ending: Ending) -> None:
        """Its one end."""

    def shed(self, why: Shed, stay_away: timedelta) -> None:
        """It is not taken on."""

    def moved(self, number: int) -> None:
        """Another process of this scheduler goes on with it, or this one from the store."""

    def mismatch(self) -> None:
        """Its key belongs to another request."""


class HeldBy(Protocol):
    """Who carries out what the tracker says of a job."""

    def end(self, held: Held, ending: Ending) -> None:
        """Record the final end of a job."""

    def grant(self, held: Held, attempt: Attempt, go: Callable[[], None]) -> None:
        """Record that an attempt is about to be sent; call ``go`` once it may be."""

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Extend an attempt's lease after a sign of its worker."""

    def attempt_ended(self, held: Held, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt."""


@dataclass(slots=True, eq=False)
class Held:
    """One durable job that is open here, or whose end is not on disk yet.  A client and keeper."""

    jobs: HeldBy
    accepted: Accepted
    waiters: list[Waiter] = field(default_factory=list)
    tracked: TrackedRequest | None = None  #: none while it waits for the disk, or to enter
    on_disk: bool = False
    ending: Ending | None = None
    told: bool = False  #: its waiters know the ending
    last_token: int = 0
    winner: int = 0  #: the token whose result it is
    calls: list[Callable[[int], None]] = field(default_factory=list)  #: call-backs to be answered at its end
    restored: list[StoredAttempt] = field(default_factory=list)

    # ---- the tracker's client ----------------------------------------------------------------

    def has_left(self) -> bool:
        """Never: a durable job goes on without its clients."""
        return False

    def serve(self, result: bytes) -> None:
        """End the job with a result."""
        self.jobs.end(self, Ending(JobState.SERVED, result))

    def shed(self, stay_away: timedelta) -> None:
        """End the job as refused."""
        self.jobs.end(self, Ending(JobState.REFUSED, stay_away=stay_away))

    def fail(self, timed_out: bool) -> None:
        """End the job as failed."""
        self.jobs.end(self, Ending(JobState.FAILED, timed_out=timed_out))

    def reject(self) -> None:
        """End the job as one that no worker can use."""
        self.jobs.end(self, Ending(JobState.FAILED, b"no worker can use this request\n"))

    # ---- the tracker's keeper ----------------------------------------------------------------

    def grant(self, attempt: Attempt, go: Callable[[], None]) -> None:
        """Record that an attempt is about to be sent."""
        self.jobs.grant(self, attempt, go)

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Extend an attempt's lease."""
        self.jobs.renew(attempt, begun)

    def attempt_ended(self, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt."""
        self.jobs.attempt_ended(self, attempt, result)

    # ---- what is known of it --------------------------------------------------------------

    def out(self) -> bool:
        """Somebody has the job now."""
        return self.tracked is not None and self.tracked.current() is not None

    def add(self, waiter: Waiter) -> None:
        """``waiter`` hears of its end."""
        self.waiters.append(waiter)
        waiter.held = self

    def job(self) -> Job:
        """What its client wants, for the tracker."""
        accepted = self.accepted
        return Job(accepted.req_id, accepted.subject, accepted.body, accepted.headers)
