"""What workers tell of the jobs that they have."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Literal, Protocol, cast

import msgspec

from carthinge.interface import Result
from carthinge.net.counters import Counters
from carthinge.net.http import BadRequestError
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt
from carthinge.net.worker_client import WorkerClient

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.durable.held import Held
    from carthinge.durable.jobs import DurableJobs

CALL_BACK: Final = b"/v1/job-events"
NO_ANSWER: Final = 0  # the connection ends instead, and the worker calls again
ENDINGS: Final = {"done": Result.OK, "failed": Result.ERROR, "returned": Result.FULL, "lost": Result.RESET}


class JobEvent(msgspec.Struct, frozen=True, rename={"sender": "from"}):
    """What a worker tells of a job."""

    id: str
    sender: str
    state: Literal["started", "running", "heartbeat", "done", "failed", "returned", "lost"]
    share: float = 0.0
    token: int = 0  # of the lease, from workers that take part
    result: str = ""
    load: dict[str, float | None] | None = None  # a figure that is not known takes nothing else with it


_EVENTS: Final[msgspec.json.Decoder[JobEvent]] = msgspec.json.Decoder(JobEvent)


class Elsewhere(Protocol):
    """Another process of this scheduler, while there is one."""

    @property
    def paired(self) -> bool:
        """Whether there is another process of this scheduler now."""

    def pass_call_back(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Hand a call-back to the other process; ``done`` hears whether its job is there."""


class CallBacks:
    """Finds the attempt that a call-back is about, and tells the tracker."""

    def __init__(
        self, tracker: RequestTracker, worker_client: WorkerClient, counters: Counters, elsewhere: Elsewhere
    ) -> None:
        self.durable: DurableJobs | None = None
        self._tracker = tracker
        self._worker_client = worker_client
        self._counters = counters
        self._elsewhere = elsewhere

    def take(self, body: bytes, done: Callable[[int], None]) -> None:
        """A call-back; ``done`` hears the answer to it once it has got to where its job is."""
        event = self._read_event(body)
        if event.id in self._tracker.by_id or not self._elsewhere.paired:
            self._job_event(event, done)
        else:
            self._counters.job_events_passed_on += 1
            self._elsewhere.pass_call_back(body, lambda known: self._passed_on(event, known, done))

    def _passed_on(self, event: JobEvent, known: bool, done: Callable[[int], None]) -> None:
        """Guards against a call-back that crosses its tracked request, which was on its way here."""
        if known:
            done(HTTPStatus.NO_CONTENT)
        else:
            self._job_event(event, done)

    def take_from_other(self, body: bytes, known: Callable[[bool], None]) -> None:
        """One that came to another process of this scheduler; ``known`` hears whether its job is here."""
        event = self._read_event(body)
        if event.id in self._tracker.by_id:
            self._job_event(event, lambda status: None)
            known(True)
        elif self.durable is None or not self.durable.when_loaded(lambda: self.take_from_other(body, known)):
            known(False)

    def _read_event(self, body: bytes) -> JobEvent:
        try:
            return _EVENTS.decode(body)
        except msgspec.MsgspecError as fault:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, f"not a job event: {fault}") from None

    def _job_event(self, event: JobEvent, done: Callable[[int], None]) -> None:
        """It counts only for the attempt that is out at its sender, and that has got there."""
        tracked = self._tracker.by_id.get(event.id)
        jobs = self.durable
        if tracked is None and jobs is not None and jobs.when_loaded(lambda: self._job_event(event, done)):
            return
        self._counters.job_events += 1
        # Guards against the call-backs of a second copy being held against the first attempt, and dropped.
        attempt = tracked.out_at(event.sender) if tracked is not None else None
        if attempt is not None and (not attempt.arrived or event.token not in (0, attempt.token)):
            attempt = None
        keeper = tracked.keeper if tracked is not None else None
        if attempt is None:
            self._counters.job_events_stale += 1
            if jobs is not None and jobs.leaving:  # it may be about a job that is on its way to the other
                done(NO_ANSWER)
            elif jobs is not None and event.token:
                result = event.result.encode() if event.state == "done" else None
                jobs.unmatched(event.id, event.token, result, done)
            else:
                done(HTTPStatus.NO_CONTENT)
            return
        if keeper is not None and event.token and event.state not in ENDINGS:
            keeper.renew(attempt, event.state != "heartbeat")
        self._tell(attempt, event)
        if keeper is not None and jobs is not None:
            jobs.acknowledge(cast("Held", keeper), done)
        else:
            done(HTTPStatus.NO_CONTENT)

    def _tell(self, attempt: Attempt, event: JobEvent) -> None:
        result = ENDINGS.get(event.state)
        if result is None:
            self._tracker.note(
                attempt, event.share if event.state == "running" else None, begun=event.state != "heartbeat"
            )
            return
        self._worker_client.forsake(attempt)
        self._tracker.end(
            attempt, result, self._worker_client.report(_known(event.load)), event.result.encode()
        )


def _known(load: dict[str, float | None] | None) -> dict[str, float]:
    return {name: figure for name, figure in (load or {}).items() if figure is not None}
