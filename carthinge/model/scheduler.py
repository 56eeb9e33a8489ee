"""A model scheduler: carries out the actions of a decision module as the real program does."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from carthinge import interface as io
from carthinge.model.tally import Tally
from carthinge.model.virtual_clock import MICROSECOND, VirtualClock, micros
from carthinge.model.workers import UNRESPONSIVE, ModelWorker
from carthinge.net.deadlines import answer_deadline

NO_RESPONSE: Final = frozenset(
    {io.Result.CONNECT_FAILED, io.Result.RESET, io.Result.TIMEOUT, io.Result.CANCELLED}
)


class Module(Protocol):
    """A decision module: ``carthinge.Dispatcher``, or another that handles the same events."""

    def handle(self, now: int, events: Sequence[io.Event]) -> Sequence[io.Action]:
        """Return the actions for a batch of events."""


#: Creates a module from its settings and a seed.
Factory = Callable[[io.Settings, int], Module]


class Client(Protocol):
    """A client that waits for an answer; called at the time when the answer is sent."""

    def served(self) -> None:
        """Receive the result."""

    def refused(self, retry_after: int) -> None:
        """Receive a refusal."""

    def failed(self) -> None:
        """Receive a failure."""


class Environment(Protocol):
    """The environment of a scheduler."""

    clock: VirtualClock
    tally: Tally
    workers: dict[int, ModelWorker]

    def worker_delay(self) -> int:
        """Draw the one-way network delay between a scheduler and a worker."""

    def watch(self, scheduler: Scheduler) -> None:
        """Watch discovery for the whole list and all changes."""

    def send_message(self, sender: Scheduler, body: bytes, to: int | None) -> None:
        """Send a message to one scheduler, or to all others."""

    def draw_attempt_work(self, work: int, job_class: int) -> int:
        """Draw the work of an attempt of a job whose mean work is ``work``."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a worker."""

    tracked: TrackedRequest
    number: int
    worker: ModelWorker
    sent: int
    due: int
    work: int = 0
    key: int = 0
    open: bool = True
    withdrawn_as: io.Result | None = None  # set once it is withdrawn; its worker may not know yet


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A client's request while it is unanswered or has open attempts."""

    number: int
    client: Client
    job_class: int
    work: int
    give_up: int
    key: int = 0
    pending: bool = True
    attempts: list[Attempt] = field(default_factory=list)


class Scheduler:
    """One scheduler: its module, and the requests and attempts that it tracks."""

    def __init__(self, environment: Environment, position: int) -> None:
        self.position = position
        self.module: Module | None = None  # None while it is down
        self.watching = False
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.attempts: set[Attempt] = set()  # open ones
        self._environment, self._clock, self._tally = environment, environment.clock, environment.tally
        self._events: list[io.Event] = []
        self._last_number = self._timer_due = 0
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            io.Send: self._send,
            io.Refuse: self._refuse,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.SetTimer: self._set_timer,
            io.Probe: self._probe,
            io.Watch: self._watch,
            io.SendMessage: self._send_message,
            io.LogLine: lambda _: None,
        }

    def start(self, module: Module, listed: Sequence[io.WorkerEntry]) -> None:
        """Start with the cached worker list as the only state."""
        self.module = module
        self.handle_event(io.WorkerList(io.Listing.CACHED, listed))

    def kill(self) -> list[Client]:
        """Drop all state and break all connections; return the clients that waited."""
        clients = [tracked.client for tracked in self.tracked_requests.values() if tracked.pending]
        for attempt in self.attempts:
            attempt.open = False
        self.module, self.watching = None, False
        self.attempts.clear()
        self.tracked_requests.clear()
        self._events.clear()
        for worker in self._environment.workers.values():
            worker.detected_by.discard(self.position)  # it has to detect the fault again
        self._timer_due = 0
        return clients

    # ---- events ---------------------------------------------------------------------------

    def accept(self, client: Client, work: int, timeout: int, arrival: io.Arrival) -> TrackedRequest:
        """Accept a request and set its number and the deadline of its answer."""
        self._last_number += 1
        now = self._clock.now
        give_up = micros(answer_deadline(now * MICROSECOND, timeout * MICROSECOND))
        tracked = TrackedRequest(self._last_number, client, arrival.job_class, work, give_up, arrival.key)
        self.tracked_requests[tracked.number] = tracked
        arrival.request, arrival.give_up = tracked.number, give_up
        self.handle_event(arrival)
        return tracked

    def abandon(self, tracked: TrackedRequest) -> None:
        """Handle the departure of the client."""
        if tracked.pending and self.tracked_requests.get(tracked.number) is tracked:
            tracked.pending = False
            self.handle_event(io.Abandoned(tracked.number))
            self._forget_if_finished(tracked)

    def report_progress(self, attempt: Attempt, done: float | None) -> None:
        """Receive a progress report on an attempt."""
        if attempt.open:
            self.handle_event(
                io.ProgressReport(attempt.tracked.number, attempt.number, attempt.worker.entry.worker, done)
            )

    def report_result(self, attempt: Attempt, result: io.Result, report: tuple[float, ...]) -> None:
        """Receive the result of an attempt; only the first one counts."""
        if attempt.open:
            withdrawn_as = attempt.withdrawn_as if result is io.Result.CANCELLED else None
            self._close(attempt, withdrawn_as or result, report)
            self._process_events()

    def _close(self, attempt: Attempt, result: io.Result, report: tuple[float, ...] = ()) -> None:
        attempt.open = False
        self.attempts.discard(attempt)
        tracked, worker = attempt.tracked, attempt.worker
        if result in NO_RESPONSE and worker.fault in UNRESPONSIVE:
            worker.detected_by.add(self.position)
        if result is io.Result.OK and tracked.pending:
            tracked.pending = False
            tracked.client.served()
        self._events.append(
            io.Outcome(
                tracked.number,
                attempt.number,
                worker.entry.worker,
                result,
                self._clock.now - attempt.sent,
                not tracked.pending,
                report,
            )
        )
        self._forget_if_finished(tracked)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.open:
            self._withdraw(attempt, io.Result.TIMEOUT)
            if attempt.due >= attempt.tracked.give_up:
                self.report_result(attempt, io.Result.TIMEOUT, ())

    def handle_event(self, event: io.Event) -> None:
        """Pass an event to the module and carry out its actions at once."""
        if self.module is not None:
            self._events.append(event)
            self._process_events()

    def _process_events(self) -> None:
        while self._events and self.module is not None:
            events, self._events = self._events, []
            for action in self.module.handle(self._clock.now, events):
                self._action_handlers[type(action)](action)

    # ---- actions --------------------------------------------------------------------------

    def _send(self, action: io.Send) -> None:
        tracked, now = self.tracked_requests[action.request], self._clock.now
        due = min(tracked.give_up, now + action.timeout) if action.timeout else tracked.give_up
        worker = self._environment.workers[action.worker]
        attempt = Attempt(tracked, len(tracked.attempts), worker, now, due, key=tracked.key)
        tracked.attempts.append(attempt)
        if not tracked.pending or due <= now:
            self._close(attempt, io.Result.NOT_SENT)
            return
        self.attempts.add(attempt)
        attempt.work = self._environment.draw_attempt_work(tracked.work, tracked.job_class)
        self._record_send(worker).attempts += 1
        self._clock.call_at(due, self._time_out, attempt)
        self._clock.call_at(now + self._environment.worker_delay(), worker.receive_attempt, attempt, self)

    def _record_send(self, worker: ModelWorker) -> Any:
        second = self._tally.second_at(self._clock.now)
        if worker.fault in UNRESPONSIVE:
            second.futile_sends += bool(worker.detected_by)
            second.repeat_futile_sends += self.position in worker.detected_by
        return second

    def _cancel(self, action: io.Cancel) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and (attempt := tracked.attempts[action.attempt]).open:
            self._withdraw(attempt, io.Result.CANCELLED)

    def _withdraw(self, attempt: Attempt, result: io.Result) -> None:
        """Withdraw an attempt; its result is reported once the worker knows, since the module may then send
        the next attempt at once."""
        if attempt.withdrawn_as is None:
            attempt.withdrawn_as = result
            self._clock.call_at(
                self._clock.now + self._environment.worker_delay(), attempt.worker.withdraw, attempt, self
            )

    def _refuse(self, action: io.Refuse) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.pending:
            tracked.pending = False
            tracked.client.refused(action.retry_after)
            self._forget_if_finished(tracked)

    def _fail(self, action: io.Fail) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.pending:
            tracked.pending = False
            tracked.client.failed()
            self._forget_if_finished(tracked)

    def _set_timer(self, action: io.SetTimer) -> None:
        """Set the timer; it replaces the one that was set before."""
        self._timer_due = action.due
        self._clock.call_at(action.due, self._timer_fired, action, self.module)

    def _timer_fired(self, action: io.SetTimer, module: Module) -> None:
        if self._timer_due == action.due and self.module is module:
            self._timer_due = 0
            self.handle_event(io.Timer(action.token))

    def _probe(self, action: io.Probe) -> None:
        worker, now = self._environment.workers[action.worker], self._clock.now
        self._record_send(worker).probes += 1
        module = self.module

        def answer(number: int, result: io.Result, report: tuple[float, ...]) -> None:
            if result is not io.Result.OK:
                worker.detected_by.add(self.position)
            if self.module is module:
                self.handle_event(io.ProbeResult(number, result, self._clock.now - now, report))

        self._clock.call_at(now + self._environment.worker_delay(), worker.probe, answer)

    def _watch(self, _: io.Watch) -> None:
        self._environment.watch(self)

    def _send_message(self, action: io.SendMessage) -> None:
        self._environment.send_message(self, action.body, action.to)

    def _forget_if_finished(self, tracked: TrackedRequest) -> None:
        if not tracked.pending and not any(attempt.open for attempt in tracked.attempts):
            self.tracked_requests.pop(tracked.number, None)
