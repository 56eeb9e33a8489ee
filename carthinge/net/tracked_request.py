"""A client's request as a tracked request, and its attempts at workers.  No protocol is known here."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Protocol

from carthinge import interface as io
from carthinge.net import log
from carthinge.net.loop import Timer
from carthinge.net.worker_directory import WorkerEndpoint


@dataclass(frozen=True, slots=True)
class Job:
    """What a client wants done, in the terms of no protocol."""

    id: str
    subject: bytes  #: what it is about, passed on as it came
    body: bytes
    headers: tuple[tuple[str, bytes], ...] = ()  #: what else is passed on as it came


@dataclass(frozen=True, slots=True)
class Terms:
    """How a job counts for the decisions."""

    job_class: int
    class_name: str
    tenant: int
    tenant_name: str
    patience: timedelta  #: how long its client waits from now
    key: int = 0
    hint: timedelta | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    effect: io.Effect = io.Effect.SAFE  #: of running it twice


class Client(Protocol):
    """Whoever sent a request: gets exactly one of the other calls, unless it abandons the request first."""

    def has_left(self) -> bool:
        """It has closed its connection, as far as this machine knows by now."""

    def serve(self, result: bytes) -> None:
        """Take the result."""

    def shed(self, stay_away: timedelta) -> None:
        """Hear that the request is refused, and for how long to stay away."""

    def fail(self, timed_out: bool) -> None:
        """Hear that the request has failed."""

    def reject(self) -> None:
        """No worker could use the request."""


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt of a tracked request that is restored, and what the module is to know of it."""

    target: WorkerEndpoint
    sent: timedelta
    due: timedelta
    token: int
    memory: io.AttemptMemory


class Keeper(Protocol):
    """Who writes down what happens to a tracked request whose job is durable."""

    def grant(self, attempt: Attempt, go: Callable[[], None]) -> None:
        """An attempt is to be sent; ``go`` is called once it may be, or never."""

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Its worker has given a sign."""

    def attempt_ended(self, attempt: Attempt, result: io.Result) -> None:
        """Comes before the client hears of it, if that follows."""


class Target(Protocol):
    """Workers' side of all tracked_requests."""

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt; the tracker hears of its end."""

    def withdraw(self, attempt: Attempt, gone: Callable[[], None]) -> None:
        """Gives an attempt up; ``gone`` is called once the worker cannot miss that."""

    def client_left(self, attempt: Attempt) -> None:
        """Its client has gone: nothing of it may go out any more, if nothing has."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a tracked request to one worker."""

    tracked: TrackedRequest
    number: int
    target: WorkerEndpoint
    sent: timedelta
    due: timedelta
    start_by: timedelta | None = None  # it may not go out later, where a repeat is harmless up to then
    open: bool = True
    leaving: bool = False  # given up, but its worker may not know yet
    arrived: bool = False  # its last byte is written: what the worker says may be about it
    held_back: bool = False  # until its grant is on disk; nothing of it has been sent
    token: int = 0  # of its lease; 0 without one
    timer: Timer | None = None
    result: io.Result | None = None  # how it has ended; None while it is open, or where that is not known


class RequestState(Enum):
    """A request's life.  QUEUED and SENT may alternate; the two others are final."""

    QUEUED = 1  #: owed an answer, and no attempt is out
    SENT = 2  #: owed an answer, and an attempt is out
    ANSWERED = 3  #: its one final answer is written
    CLIENT_GONE = 4  #: nobody waits for an answer any more, here at least


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A client's request from its arrival to the end of its last attempt."""

    number: int
    job: Job
    class_name: str
    tenant_name: str
    client: Client
    give_up: timedelta
    state: RequestState = RequestState.QUEUED
    attempts: list[Attempt] = field(default_factory=list)
    keeper: Keeper | None = None
    effect: io.Effect = io.Effect.SAFE  #: of running it twice

    @property
    def owed(self) -> bool:
        """A final answer is owed to its client."""
        return self.state in (RequestState.QUEUED, RequestState.SENT)

    def attempt_changed(self) -> None:
        """To be called when an attempt has begun or ended."""
        if self.owed:
            self.state = RequestState.QUEUED if self.current() is None else RequestState.SENT

    def answered(self, how: str, why: str = "") -> None:
        """Note that the final answer is written; the log tells ``how`` it ended, and why if it failed."""
        assert self.owed, "a request has one final answer"
        self.state = RequestState.ANSWERED
        self._log_end(how, why)

    def client_gone(self, how: str) -> None:
        """Note that nobody waits for an answer any more, here at least."""
        assert self.owed, "it was answered before"
        self.state = RequestState.CLIENT_GONE
        self._log_end(how, "")

    def _log_end(self, how: str, why: str) -> None:
        log.logger().debug("request_ended", id=self.job.id, state=how, attempts=len(self.attempts), why=why)

    def current(self) -> Attempt | None:
        """The first attempt that is out; where second copies are allowed it need not be the only one."""
        return next(self.out(), None)

    def out(self) -> Iterator[Attempt]:
        """All attempts that are out."""
        return (attempt for attempt in self.attempts if attempt.open)

    def out_at(self, worker: str) -> Attempt | None:
        """The attempt that is out at a worker: no worker has two of one job."""
        return next((attempt for attempt in self.out() if attempt.target.id == worker), None)
