"""Callbacks: job events that workers report."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Annotated, Final, Literal, Protocol, cast

import msgspec

from carthinge.interface import Result
from carthinge.net.counters import Counters
from carthinge.net.decoding import UndecodableError, decode
from carthinge.net.http import BadRequestError
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt
from carthinge.net.worker_client import WorkerClient

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.durable.durable_job import DurableJob
    from carthinge.durable.jobs import DurableJobs

CALLBACK_PATH: Final = b"/v1/job-events"
NO_ANSWER: Final = 0  # the connection is closed instead, so that the worker calls again
RESULT_BY_STATE: Final = {
    "done": Result.OK,
    "failed": Result.ERROR,
    "returned": Result.FULL,
    "lost": Result.RESET,
}


Token = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]  # as the store can hold


class JobEvent(msgspec.Struct, frozen=True, rename={"sender": "from"}):
    """A job event, as a worker reports it."""

    id: str
    sender: str
    state: Literal["started", "running", "heartbeat", "done", "failed", "returned", "lost"]
    share: float = 0.0
    token: Token = 0  # of the lease, from workers that support leases
    result: str = ""
    load: dict[str, float | None] | None = None  # an unknown value is null; the others still count


_EVENTS: Final[msgspec.json.Decoder[JobEvent]] = msgspec.json.Decoder(JobEvent)


class OtherProcess(Protocol):
    """The other process of this scheduler during an upgrade."""

    @property
    def has_peer(self) -> bool:
        """Whether another process of this scheduler is connected."""

    def forward_callback(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Forward a callback to the other process; ``done`` is called with whether its job is known there."""


class Callbacks:
    """Finds the attempt that a callback refers to, and reports the event to the tracker."""

    def __init__(
        self,
        tracker: RequestTracker,
        worker_client: WorkerClient,
        counters: Counters,
        other_process: OtherProcess,
    ) -> None:
        self.durable: DurableJobs | None = None
        self._tracker = tracker
        self._worker_client = worker_client
        self._counters = counters
        self._other_process = other_process

    def handle(self, body: bytes, done: Callable[[int], None]) -> None:
        """Handle a callback; calls ``done`` with the status once the process with the job has handled it."""
        event = self._read_event(body)
        if event.id in self._tracker.by_id or not self._other_process.has_peer:
            self._handle_event(event, done)
        else:
            self._counters.job_events_passed_on += 1
            self._other_process.forward_callback(body, lambda known: self._on_forwarded(event, known, done))

    def _on_forwarded(self, event: JobEvent, known: bool, done: Callable[[int], None]) -> None:
        """Handle the callback here if the other process does not know the job.

        The tracked request may have been handed over to this process while the callback was forwarded.
        """
        if known:
            done(HTTPStatus.NO_CONTENT)
        else:
            self._handle_event(event, done)

    def handle_forwarded(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Handle a callback that another process received; calls ``done`` with whether its job is here."""
        event = self._read_event(body)
        if event.id in self._tracker.by_id:
            self._handle_event(event, lambda status: None)
            done(True)
        elif self.durable is None or not self.durable.defer_until_loaded(
            lambda: self.handle_forwarded(body, done)
        ):
            done(False)

    def _read_event(self, body: bytes) -> JobEvent:
        try:
            return decode(_EVENTS, body)
        except UndecodableError as error:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, f"not a job event: {error}") from None

    def _handle_event(self, event: JobEvent, done: Callable[[int], None]) -> None:
        """Apply an event; it counts only for an attempt that its sender holds and has acknowledged."""
        tracked = self._tracker.by_id.get(event.id)
        jobs = self.durable
        if (
            tracked is None
            and jobs is not None
            and jobs.defer_until_loaded(lambda: self._handle_event(event, done))
        ):
            return
        self._counters.job_events += 1
        # By sender: a callback of a hedged attempt must not be matched with the first attempt and dropped.
        attempt = tracked.open_attempt_at(event.sender) if tracked is not None else None
        if attempt is not None and (not attempt.written or event.token not in (0, attempt.token)):
            attempt = None
        journal = tracked.journal if tracked is not None else None
        if attempt is None:
            self._counters.job_events_stale += 1
            if jobs is not None and jobs.handing_over:  # its job may be on its way to the other process
                done(NO_ANSWER)
            elif jobs is not None and event.token:
                result = event.result.encode() if event.state == "done" else None
                jobs.handle_unmatched_callback(event.id, event.token, result, done)
            else:
                done(HTTPStatus.NO_CONTENT)
            return
        if journal is not None and event.token and event.state not in RESULT_BY_STATE:
            journal.renew(attempt, event.state != "heartbeat")
        self._report(attempt, event)
        if journal is not None and jobs is not None:
            jobs.acknowledge(cast("DurableJob", journal), done)
        else:
            done(HTTPStatus.NO_CONTENT)

    def _report(self, attempt: Attempt, event: JobEvent) -> None:
        result = RESULT_BY_STATE.get(event.state)
        if result is None:
            self._tracker.report_progress(
                attempt, event.share if event.state == "running" else None, begun=event.state != "heartbeat"
            )
            return
        self._worker_client.limit_answer_wait(attempt)
        self._tracker.end(
            attempt,
            result,
            self._worker_client.load_report(_known_load(event.load)),
            event.result.encode(),
            why=f"reported as {event.state}",
            by_callback=not event.token,
        )


def _known_load(load: dict[str, float | None] | None) -> dict[str, float]:
    return {name: value for name, value in (load or {}).items() if value is not None}
