"""Tracked requests of clients and their attempts at workers, independent of any protocol."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

from carthinge import interface as io
from carthinge.net import log
from carthinge.net.loop import MICROSECOND, Timer
from carthinge.net.worker_directory import WorkerEndpoint

KEPT_BODY_BYTES: Final = 1024  # of an ended request; dropping a smaller body is not worth its cost


@dataclass(frozen=True, slots=True)
class Job:
    """A job as its client sent it, independent of the protocol."""

    id: str
    subject: bytes  #: the request target, passed on unchanged
    body: bytes
    headers: tuple[tuple[str, bytes], ...] = ()  #: other headers passed on unchanged


@dataclass(frozen=True, slots=True)
class Terms:
    """Properties of a job that the dispatcher decides by."""

    job_class: int
    class_name: str
    tenant: int
    tenant_name: str
    timeout: timedelta  #: how long its client waits, from now
    key: int = 0
    hint: timedelta | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    effect: io.Effect = io.Effect.SAFE  #: of running the job twice


class Client(Protocol):
    """The sender of a request: gets exactly one final answer, unless it abandons the request first."""

    def has_left(self) -> bool:
        """Whether it is known to have closed its connection."""

    def serve(self, result: bytes) -> None:
        """Answer with the result."""

    def shed(self, retry_after: timedelta) -> None:
        """Answer that the request is refused and after which time it may be sent again."""

    def fail(self, timed_out: bool) -> None:
        """Answer that the request has failed."""

    def reject(self) -> None:
        """Answer that no worker can use the request."""


class _GoneClient:
    """Takes the place of a client that waits for no answer, so that its connection is not kept in memory."""

    def has_left(self) -> bool:
        return True

    def serve(self, result: bytes) -> None:
        pass

    def shed(self, retry_after: timedelta) -> None:
        pass

    def fail(self, timed_out: bool) -> None:
        pass

    def reject(self) -> None:
        pass


GONE_CLIENT: Final = _GoneClient()


@dataclass(frozen=True, slots=True)
class RestoredAttempt:
    """An attempt of a restored request, with the dispatcher's state of it."""

    target: WorkerEndpoint
    sent: timedelta
    due: timedelta
    token: int
    memory: io.AttemptMemory


class Journal(Protocol):
    """Records the attempts of a tracked request whose job is durable."""

    def grant(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Record an attempt before it is sent; ``send`` is called once it may be sent, if ever."""

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Renew the lease of an attempt; ``begun``: its worker has started it."""

    def attempt_ended(self, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt, before the client gets an answer that follows from it."""


class WorkerTransport(Protocol):
    """Sends attempts to workers and withdraws them."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported to the tracker."""

    def withdraw(self, attempt: Attempt, on_withdrawn: Callable[[], None]) -> None:
        """Withdraw an attempt; calls ``on_withdrawn`` once the worker knows or is certain to learn of it."""

    def client_left(self, attempt: Attempt) -> None:
        """Drop an attempt whose client has left, if nothing of it has been sent."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a tracked request at one worker."""

    tracked: TrackedRequest
    number: int
    target: WorkerEndpoint
    sent: timedelta
    due: timedelta
    start_by: timedelta | None = None  # not sent later: a retry is safe only until then
    open: bool = True
    withdrawing: bool = False  # being withdrawn: its worker may not know yet
    written: bool = False  # its last byte is written: reports of the worker may refer to it
    awaiting_grant: bool = False  # until its grant is on disk; nothing of it is sent before
    token: int = 0  # of its lease; 0 if it has none
    timer: Timer | None = None
    result: io.Result | None = None  # None while it is open, and where its result is unknown
    ended_by_callback: bool = False  # its worker may report its end again

    @property
    def may_have_run(self) -> bool:
        """Whether it has ended and may have run.

        False where the result is unknown, as from a predecessor: the dispatcher's decision is trusted then.
        """
        return not self.open and self.written and self.result is not None and self.result not in io.NEVER_RAN


class RequestState(Enum):
    """Life cycle of a request.  QUEUED and SENT may alternate; the other two are final."""

    QUEUED = 1  #: unanswered, with no open attempt
    SENT = 2  #: unanswered, with an open attempt
    ANSWERED = 3  #: its final answer has been sent
    CLIENT_GONE = 4  #: no client waits for an answer in this process any more


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A client's request, from its arrival to the end of its last attempt."""

    number: int
    job: Job
    class_name: str
    tenant_name: str
    client: Client
    give_up: timedelta
    state: RequestState = RequestState.QUEUED
    attempts: list[Attempt] = field(default_factory=list)
    journal: Journal | None = None
    effect: io.Effect = io.Effect.SAFE  #: of running the job twice

    @property
    def pending(self) -> bool:
        """Whether its client still has to get a final answer."""
        return self.state in (RequestState.QUEUED, RequestState.SENT)

    def arrival(self, terms: Terms) -> io.Arrival:
        """Return the event that tells the dispatcher of it."""
        return io.Arrival(
            self.number,
            terms.job_class,
            self.give_up // MICROSECOND,
            terms.tenant,
            terms.key,
            None if terms.hint is None else terms.hint // MICROSECOND,
            terms.slots,
            terms.memory,
            terms.repeat,
        )

    def id_is_reusable(self) -> bool:
        """Whether another request with its id does no harm once it has ended.

        The store recognizes the id of a durable job that has run.  A worker that did not serve an attempt may
        report that again, and would end the attempt of the other request.  A safe job may be repeated by a
        client that has its result; the attempt of one that has left may still be running.
        """
        ran = any(attempt.may_have_run for attempt in self.attempts)
        if ran and self.journal is not None:
            return True
        unserved = [attempt for attempt in self.attempts if attempt.result is not io.Result.OK]
        if any(attempt.ended_by_callback for attempt in unserved):
            return False
        served = len(unserved) < len(self.attempts)
        return not ran or (self.effect is io.Effect.SAFE and self.state is RequestState.ANSWERED and served)

    def update_state(self) -> None:
        """Update the state; to be called when an attempt has been added or has ended."""
        if self.pending:
            self.state = RequestState.QUEUED if self.first_open_attempt() is None else RequestState.SENT

    def mark_answered(self, how: str, why: str = "") -> None:
        """Mark the request as answered; the log shows ``how`` it ended, and why if it was not served."""
        assert self.pending, "a request gets one final answer"
        self.state = RequestState.ANSWERED
        self._drop_body()
        self._log_end(how, why)

    def mark_client_gone(self, how: str) -> None:
        """Mark the request as one whose client no longer waits for an answer in this process."""
        assert self.pending, "the request has been answered already"
        self.state = RequestState.CLIENT_GONE
        self.client = GONE_CLIENT
        self._drop_body()
        self._log_end(how, "")

    def release(self) -> None:
        """Drop all references, once the request is no longer tracked: it and its attempts form a cycle."""
        self.client = GONE_CLIENT
        self.attempts.clear()

    def _drop_body(self) -> None:
        """Free the body: no attempt follows, but the request is tracked until its last attempt has ended."""
        if len(self.job.body) > KEPT_BODY_BYTES:
            self.job = replace(self.job, body=b"")

    def _log_end(self, how: str, why: str) -> None:
        log.logger().debug("request_ended", id=self.job.id, state=how, attempts=len(self.attempts), why=why)

    def first_open_attempt(self) -> Attempt | None:
        """Return the first open attempt; with hedging it need not be the only one."""
        return next(self.open_attempts(), None)

    def open_attempts(self) -> Iterator[Attempt]:
        """Iterate over the open attempts."""
        return (attempt for attempt in self.attempts if attempt.open)

    def open_attempt_at(self, worker: str) -> Attempt | None:
        """Return the open attempt at a worker: a worker never has two of one job."""
        return next((attempt for attempt in self.open_attempts() if attempt.target.id == worker), None)
