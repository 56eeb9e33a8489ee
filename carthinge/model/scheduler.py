"""A scheduler of the model: does with a module's actions what the real program does."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from carthinge import interface as io
from carthinge.model.agenda import MICROSECOND, Agenda, micros
from carthinge.model.tally import Tally
from carthinge.model.workers import MUTE, ModelWorker
from carthinge.net.deadlines import give_up_at

NO_ANSWER: Final = frozenset(
    {io.Result.CONNECT_FAILED, io.Result.RESET, io.Result.TIMEOUT, io.Result.CANCELLED}
)


class Module(Protocol):
    """What decides: ``carthinge.Dispatcher``, or another that takes the same events."""

    def handle(self, now: int, events: Sequence[io.Event]) -> Sequence[io.Action]:
        """Return what to do about events."""


#: Makes a module from its settings and a seed.
Make = Callable[[io.Settings, int], Module]


class Client(Protocol):
    """Who waits for an answer; the scheduler calls at the time when it is sent."""

    def served(self) -> None:
        """Hear that the request is served."""

    def refused(self, stay_away: int) -> None:
        """Hear that the request is refused."""

    def failed(self) -> None:
        """Hear that the request has failed."""


class World(Protocol):
    """What is around a scheduler."""

    agenda: Agenda
    tally: Tally
    workers: dict[int, ModelWorker]

    def worker_delay(self) -> int:
        """Draws how long news to or from a worker is under way."""

    def watch(self, scheduler: Scheduler) -> None:
        """It asks discovery for the whole list and all changes."""

    def tell(self, sender: Scheduler, body: bytes, to: int | None) -> None:
        """A message to other schedulers."""

    def attempt_work(self, work: int, job_class: int) -> int:
        """Draws what an attempt takes of a job that takes ``work`` in the mean."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One send."""

    tracked: TrackedRequest
    number: int
    worker: ModelWorker
    sent: int
    due: int
    work: int = 0
    key: int = 0
    open: bool = True
    leaves_as: io.Result | None = None  # it was given up, but its worker may not know yet


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A client's request."""

    number: int
    client: Client
    job_class: int
    work: int
    give_up: int
    key: int = 0
    owed: bool = True
    attempts: list[Attempt] = field(default_factory=list)


class Scheduler:
    """One scheduler: its module, and the tracker of what is owed and what is out."""

    def __init__(self, world: World, position: int) -> None:
        self.position = position
        self.module: Module | None = None  # None while it is down
        self.watching = False
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.attempts: set[Attempt] = set()  # that are open
        self._world, self._agenda, self._tally = world, world.agenda, world.tally
        self._events: list[io.Event] = []
        self._count = self._wake = 0
        self._carriers: dict[type, Callable[[Any], None]] = {
            io.Send: self._send,
            io.Refuse: self._refuse,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.SetTimer: self._set_timer,
            io.Probe: self._probe,
            io.Watch: self._watch,
            io.Tell: self._tell,
            io.LogLine: lambda _: None,
        }

    def start(self, module: Module, listed: Sequence[io.WorkerEntry]) -> None:
        """With nothing but the last list."""
        self.module = module
        self.hear(io.WorkerList(io.Listing.CACHED, listed))

    def kill(self) -> list[Client]:
        """All that it knew is gone, and all connections break; returns the clients that waited."""
        clients = [tracked.client for tracked in self.tracked_requests.values() if tracked.owed]
        for attempt in self.attempts:
            attempt.open = False
        self.module, self.watching = None, False
        self.attempts.clear()
        self.tracked_requests.clear()
        self._events.clear()
        for worker in self._world.workers.values():
            worker.found.discard(self.position)  # it will have to find out anew
        self._wake = 0
        return clients

    # ---- what happens ---------------------------------------------------------------------

    def take(self, client: Client, work: int, patience: int, arrival: io.Arrival) -> TrackedRequest:
        """A request has come; its number and the time up to which it may be answered are set here."""
        self._count += 1
        now = self._agenda.now
        give_up = micros(give_up_at(now * MICROSECOND, patience * MICROSECOND))
        tracked = TrackedRequest(self._count, client, arrival.job_class, work, give_up, arrival.key)
        self.tracked_requests[tracked.number] = tracked
        arrival.request, arrival.give_up = tracked.number, give_up
        self.hear(arrival)
        return tracked

    def abandon(self, tracked: TrackedRequest) -> None:
        """Its client has left."""
        if tracked.owed and self.tracked_requests.get(tracked.number) is tracked:
            tracked.owed = False
            self.hear(io.Abandoned(tracked.number))
            self._forget_if_over(tracked)

    def note(self, attempt: Attempt, done: float | None) -> None:
        """News of an attempt has come."""
        if attempt.open:
            self.hear(io.Note(attempt.tracked.number, attempt.number, attempt.worker.entry.worker, done))

    def end(self, attempt: Attempt, result: io.Result, report: tuple[float, ...]) -> None:
        """An attempt has ended; only its first end counts."""
        if attempt.open:
            given_up = attempt.leaves_as if result is io.Result.CANCELLED else None
            self._close(attempt, given_up or result, report)
            self._decide()

    def _close(self, attempt: Attempt, result: io.Result, report: tuple[float, ...] = ()) -> None:
        attempt.open = False
        self.attempts.discard(attempt)
        tracked, worker = attempt.tracked, attempt.worker
        if result in NO_ANSWER and worker.ill in MUTE:
            worker.found.add(self.position)
        if result is io.Result.OK and tracked.owed:
            tracked.owed = False
            tracked.client.served()
        self._events.append(
            io.Outcome(
                tracked.number,
                attempt.number,
                worker.entry.worker,
                result,
                self._agenda.now - attempt.sent,
                not tracked.owed,
                report,
            )
        )
        self._forget_if_over(tracked)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.open:
            self._withdraw(attempt, io.Result.TIMEOUT)
            if attempt.due >= attempt.tracked.give_up:
                self.end(attempt, io.Result.TIMEOUT, ())

    def hear(self, event: io.Event) -> None:
        """Something has happened; what is decided about it is done at once."""
        if self.module is not None:
            self._events.append(event)
            self._decide()

    def _decide(self) -> None:
        while self._events and self.module is not None:
            events, self._events = self._events, []
            for action in self.module.handle(self._agenda.now, events):
                self._carriers[type(action)](action)

    # ---- what is decided ------------------------------------------------------------------

    def _send(self, action: io.Send) -> None:
        tracked, now = self.tracked_requests[action.request], self._agenda.now
        due = min(tracked.give_up, now + action.timeout) if action.timeout else tracked.give_up
        worker = self._world.workers[action.worker]
        attempt = Attempt(tracked, len(tracked.attempts), worker, now, due, key=tracked.key)
        tracked.attempts.append(attempt)
        if not tracked.owed or due <= now:
            self._close(attempt, io.Result.NOT_SENT)
            return
        self.attempts.add(attempt)
        attempt.work = self._world.attempt_work(tracked.work, tracked.job_class)
        self._count_send(worker).attempts += 1
        self._agenda.at(due, self._time_out, attempt)
        self._agenda.at(now + self._world.worker_delay(), worker.take, attempt, self)

    def _count_send(self, worker: ModelWorker) -> Any:
        second = self._tally.at(self._agenda.now)
        if worker.ill in MUTE:
            second.to_bad += bool(worker.found)
            second.to_bad_again += self.position in worker.found
        return second

    def _cancel(self, action: io.Cancel) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and (attempt := tracked.attempts[action.attempt]).open:
            self._withdraw(attempt, io.Result.CANCELLED)

    def _withdraw(self, attempt: Attempt, result: io.Result) -> None:
        """The end is told once the worker knows: the module may send the next attempt at once."""
        if attempt.leaves_as is None:
            attempt.leaves_as = result
            self._agenda.at(
                self._agenda.now + self._world.worker_delay(), attempt.worker.withdraw, attempt, self
            )

    def _refuse(self, action: io.Refuse) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.owed:
            tracked.owed = False
            tracked.client.refused(action.stay_away)
            self._forget_if_over(tracked)

    def _fail(self, action: io.Fail) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.owed:
            tracked.owed = False
            tracked.client.failed()
            self._forget_if_over(tracked)

    def _set_timer(self, action: io.SetTimer) -> None:
        """An earlier wake takes the place of the one before."""
        self._wake = action.due
        self._agenda.at(action.due, self._wake_up, action, self.module)

    def _wake_up(self, action: io.SetTimer, module: Module) -> None:
        if self._wake == action.due and self.module is module:
            self._wake = 0
            self.hear(io.Timer(action.token))

    def _probe(self, action: io.Probe) -> None:
        worker, now = self._world.workers[action.worker], self._agenda.now
        self._count_send(worker).probes += 1
        module = self.module

        def answer(number: int, result: io.Result, report: tuple[float, ...]) -> None:
            if result is not io.Result.OK:
                worker.found.add(self.position)
            if self.module is module:
                self.hear(io.ProbeResult(number, result, self._agenda.now - now, report))

        self._agenda.at(now + self._world.worker_delay(), worker.probe, answer)

    def _watch(self, _: io.Watch) -> None:
        self._world.watch(self)

    def _tell(self, action: io.Tell) -> None:
        self._world.tell(self, action.body, action.to)

    def _forget_if_over(self, tracked: TrackedRequest) -> None:
        if not tracked.owed and not any(attempt.open for attempt in tracked.attempts):
            self.tracked_requests.pop(tracked.number, None)
