"""Exchanges and their book: what is owed to clients, what is out at workers.  No protocol is known here."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import Final, Protocol

from carthinge import interface as io
from carthinge.net import log
from carthinge.net.counters import ByClass, Counters
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.route_table import EgressTarget
from carthinge.policy import Dispatcher

#: Taken off the client's patience: the answer has a way to go, and has to arrive before the client leaves.
ANSWER_MARGIN: Final = timedelta(milliseconds=10)
ANSWER_SHARE: Final = 0.05  # of a patience, at the most: of a short one the margin would take all


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


class Client(Protocol):
    """Ingress side of an exchange: it gets exactly one of these calls, unless it abandons first."""

    def serve(self, result: bytes) -> None: ...

    def shed(self, stay_away: timedelta) -> None: ...

    def fail(self, timed_out: bool) -> None: ...

    def reject(self) -> None:
        """No worker could use the request."""


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt of an exchange that is restored, and what the module is to know of it."""

    target: EgressTarget
    sent: timedelta
    due: timedelta
    token: int
    memory: io.AttemptMemory


class Keeper(Protocol):
    """Who writes down what happens to an exchange whose job is durable."""

    def grant(self, attempt: Attempt, go: Callable[[], None]) -> None:
        """An attempt is to be sent; ``go`` is called once it may be, or never."""

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Its worker has given a sign."""

    def attempt_ended(self, attempt: Attempt, result: io.Result) -> None:
        """Comes before the client hears of it, if that follows."""


class Target(Protocol):
    """Egress side of all exchanges."""

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt; the book hears of its end."""

    def withdraw(self, attempt: Attempt, gone: Callable[[], None]) -> None:
        """Gives an attempt up; ``gone`` is called once the worker cannot miss that."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of an exchange to one worker."""

    exchange: Exchange
    number: int
    target: EgressTarget
    sent: timedelta
    due: timedelta
    open: bool = True
    leaving: bool = False  # given up, but its worker may not know yet
    arrived: bool = False  # its last byte is written: what the worker says may be about it
    held_back: bool = False  # until its grant is on disk; nothing of it has been sent
    token: int = 0  # of its lease; 0 without one
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Exchange:
    """A client's request from its arrival to the end of its last attempt."""

    number: int
    job: Job
    class_name: str
    tenant_name: str
    client: Client
    give_up: timedelta
    owed: bool = True
    attempts: list[Attempt] = field(default_factory=list)
    keeper: Keeper | None = None

    def current(self) -> Attempt | None:
        """The first attempt that is out; where second copies are allowed it need not be the only one."""
        return next(self.out(), None)

    def out(self) -> Iterator[Attempt]:
        """All attempts that are out."""
        return (attempt for attempt in self.attempts if attempt.open)

    def out_at(self, worker: str) -> Attempt | None:
        """The attempt that is out at a worker: no worker has two of one job."""
        return next((attempt for attempt in self.out() if attempt.target.id == worker), None)


class Book:
    """All exchanges.  Collects what happened, has the module decide on it, carries out what it says."""

    def __init__(self, loop: Loop, dispatcher: Dispatcher, targets: dict[int, EgressTarget],
                 counters: Counters) -> None:
        self.target: Target
        self.watch: Callable[[], None]
        self.probe: Callable[[EgressTarget], None]
        self.exchanges: dict[int, Exchange] = {}
        self.by_id: dict[str, Exchange] = {}
        self.events: list[io.Event] = []
        self.ended = ByClass()
        self._loop = loop
        self._dispatcher = dispatcher
        self._targets = targets
        self._counters = counters
        self._count = 0
        self._wake: Timer | None = None
        self._carriers: dict[type, Callable[..., None]] = {
            io.Send: self._send, io.Refuse: self._shed, io.Fail: self._fail, io.Cancel: self._cancel,
            io.SetTimer: self._set_timer, io.Watch: self._watch, io.LogLine: self._log,
            io.Probe: lambda action: self.probe(targets[action.worker])}

    # ---- what happens ---------------------------------------------------------------------

    def tell(self, event: io.Event) -> None:
        """Something that concerns no exchange."""
        self.events.append(event)

    def take(self, job: Job, terms: Terms, client: Client, keeper: Keeper | None = None) -> Exchange:
        """A whole request has come: one final answer is owed from now on."""
        exchange = self._enter(job, terms, client, keeper)
        self._counters.taken += 1
        self.events.append(self._arrival(exchange, terms))
        return exchange

    def restore(self, job: Job, terms: Terms, client: Client, keeper: Keeper,
                attempts: Sequence[Sent]) -> Exchange:
        """A job that was taken before a crash, with the attempts that it has had."""
        exchange = self._enter(job, terms, client, keeper)
        self._counters.exchanges_recovered += 1
        self.events.append(io.Restore(self._arrival(exchange, terms), [sent.memory for sent in attempts]))
        for number, sent in enumerate(attempts):
            attempt = Attempt(exchange, number, sent.target, sent.sent, sent.due, sent.memory.open,
                              arrived=True, token=sent.token)
            exchange.attempts.append(attempt)
            if attempt.open:
                attempt.timer = self._loop.call_at(attempt.due, partial(self._time_out, attempt))
        return exchange

    def _enter(self, job: Job, terms: Terms, client: Client, keeper: Keeper | None) -> Exchange:
        self._count += 1
        give_up = self._loop.now + terms.patience - min(ANSWER_MARGIN, ANSWER_SHARE * terms.patience)
        exchange = Exchange(self._count, job, terms.class_name, terms.tenant_name, client, give_up,
                            keeper=keeper)
        self.exchanges[exchange.number] = self.by_id[job.id] = exchange
        return exchange

    def _arrival(self, exchange: Exchange, terms: Terms) -> io.Arrival:
        hint = None if terms.hint is None else terms.hint // MICROSECOND
        return io.Arrival(exchange.number, terms.job_class, exchange.give_up // MICROSECOND, terms.tenant,
                          terms.key, hint, terms.slots, terms.memory, terms.repeat)

    def give_away(self, exchange: Exchange) -> None:
        """Another process has taken it over, with its client and with the attempt that is out."""
        exchange.owed = False
        self._counters.exchanges_given_away += 1
        for attempt in exchange.attempts:
            attempt.open = False
            if attempt.timer is not None:
                attempt.timer.cancel()
        self.events.append(io.GiveAway(exchange.number))
        self._forget_if_over(exchange)

    def take_over(self, exchange: Exchange, tenant: int, memory: io.JobMemory) -> None:
        """The other side of that; its number becomes one of this book's."""
        self._count += 1
        exchange.number = self._count
        self.exchanges[exchange.number] = self.by_id[exchange.job.id] = exchange
        self._counters.exchanges_taken_over += 1
        self.events.append(io.TakeOver(exchange.number, tenant, memory))
        for attempt in exchange.attempts:
            if attempt.open:
                attempt.timer = self._loop.call_at(attempt.due, partial(self._time_out, attempt))

    def abandon(self, exchange: Exchange) -> None:
        """The client has gone."""
        if exchange.owed:
            exchange.owed = False
            self._counters.client_gone += 1
            self.events.append(io.Abandoned(exchange.number))
            self._forget_if_over(exchange)

    def serve_late(self, exchange: Exchange, result: bytes) -> None:
        """A result has come from an attempt that had ended, and nobody has the job since."""
        if exchange.owed:
            self._serve(exchange, result)
            self.events.append(io.Abandoned(exchange.number))
            self._forget_if_over(exchange)

    def expire(self, attempt: Attempt) -> None:
        """Its lease is over: for the module it has timed out, once its worker has been told."""
        if attempt.open:
            self._withdraw(attempt, io.Result.TIMEOUT)

    def arrived(self, attempt: Attempt) -> None:
        """The last byte of an attempt is written."""
        if not attempt.arrived:
            attempt.arrived = True
            self._counters.attempts_written += 1

    def in_flight(self) -> int:
        """How many are owed an answer."""
        return sum(exchange.owed for exchange in self.exchanges.values())

    def note(self, attempt: Attempt, done: float | None, begun: bool = True) -> None:
        """News of an attempt that is out: at the least that its worker has it."""
        if attempt.open:
            self.events.append(io.Note(attempt.exchange.number, attempt.number, attempt.target.number, done,
                                       begun))

    def end(self, attempt: Attempt, result: io.Result, report: tuple[float, ...] = (),
            answer: bytes = b"", why: str = "") -> None:
        """An attempt has ended; only its first end counts."""
        if not attempt.open:
            return
        attempt.open = False
        if attempt.timer is not None:
            attempt.timer.cancel()
        exchange = attempt.exchange
        if exchange.keeper is not None:
            exchange.keeper.attempt_ended(attempt, result)
        name = f"attempt_{result.name.lower()}"
        setattr(self._counters, name, getattr(self._counters, name) + 1)
        if result is not io.Result.OK:
            log.logger().debug("attempt_ended", id=exchange.job.id, worker=attempt.target.id,
                               result=result.name, why=why)
        elif exchange.owed:
            self._serve(exchange, answer)
        latency = max(timedelta(), self._loop.now - attempt.sent)
        self.events.append(io.Outcome(exchange.number, attempt.number, attempt.target.number, result,
                                      latency // MICROSECOND, not exchange.owed, report))
        self._forget_if_over(exchange)

    def _serve(self, exchange: Exchange, result: bytes) -> None:
        exchange.owed = False
        self._counters.served += 1
        self.ended.served[exchange.class_name] += 1
        exchange.client.serve(result)

    def reject(self, attempt: Attempt, why: str) -> None:
        """The worker has turned the request away as unusable, as any other would.

        Guards against bad requests that are tried at one worker after the other and count against each.
        """
        exchange = attempt.exchange
        if attempt.open and exchange.owed:
            self._count_failed(exchange)
            exchange.client.reject()
        self.end(attempt, io.Result.MOOT, why=why)

    # ---- what is decided ------------------------------------------------------------------

    def decide(self) -> None:
        """One call of the module for all that has come up; does what it says."""
        if not self.events:
            return
        events, self.events = self.events, []
        for action in self._dispatcher.handle(self._loop.now // MICROSECOND, events):
            self._carriers[type(action)](action)

    def _send(self, action: io.Send) -> None:
        exchange = self.exchanges[action.request]
        now = self._loop.now
        due = exchange.give_up
        if action.timeout:
            due = min(due, now + action.timeout * MICROSECOND)
        attempt = Attempt(exchange, len(exchange.attempts), self._targets[action.worker], now, due)
        exchange.attempts.append(attempt)
        if not exchange.owed or due <= now:
            self.end(attempt, io.Result.MOOT)
            return
        attempt.timer = self._loop.call_at(due, lambda: self._time_out(attempt))
        if exchange.keeper is None:
            self._start(attempt)
        else:
            attempt.held_back = True
            exchange.keeper.grant(attempt, partial(self._start, attempt))

    def _start(self, attempt: Attempt) -> None:
        if not attempt.open:  # it was given up before its grant was on disk
            return
        if not attempt.exchange.owed:  # so was its job, and the module has not heard of that yet
            self.end(attempt, io.Result.MOOT)
            return
        attempt.held_back = False
        self._counters.attempts += 1
        log.logger().debug("attempt_sent", id=attempt.exchange.job.id, worker=attempt.target.id,
                           attempt=attempt.number)
        self.target.send(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        """At the client's deadline no other attempt can follow: the answer must not wait for the worker."""
        self._withdraw(attempt, io.Result.TIMEOUT)
        if attempt.due >= attempt.exchange.give_up:
            self.end(attempt, io.Result.TIMEOUT)

    def _withdraw(self, attempt: Attempt, result: io.Result) -> None:
        """The end is told once the worker knows: the module may send the next attempt at once."""
        if attempt.held_back:
            self.end(attempt, io.Result.MOOT)
        elif not attempt.leaving:
            attempt.leaving = True
            self.target.withdraw(attempt, lambda: self.end(attempt, result))

    def _cancel(self, action: io.Cancel) -> None:
        exchange = self.exchanges.get(action.request)
        attempt = exchange.attempts[action.attempt] if exchange else None
        if attempt is not None and attempt.open:
            self._withdraw(attempt, io.Result.CANCELLED)

    def _shed(self, action: io.Refuse) -> None:
        exchange = self.exchanges.get(action.request)
        if exchange is not None and exchange.owed:
            exchange.owed = False
            self._counters.shed += 1
            self.ended.refused[exchange.class_name] += 1
            exchange.client.shed(action.stay_away * MICROSECOND)
            self._forget_if_over(exchange)

    def _fail(self, action: io.Fail) -> None:
        exchange = self.exchanges.get(action.request)
        if exchange is not None and exchange.owed:
            self._count_failed(exchange)
            exchange.client.fail(timed_out=self._loop.now >= exchange.give_up)
            self._forget_if_over(exchange)

    def _count_failed(self, exchange: Exchange) -> None:
        exchange.owed = False
        self._counters.failed += 1
        self.ended.failed[exchange.class_name] += 1

    def _set_timer(self, action: io.SetTimer) -> None:
        """The module asks again after each wake, so that an earlier one takes the place of the one before."""
        if self._wake is not None:
            self._wake.cancel()
        self._wake = self._loop.call_at(action.due * MICROSECOND, partial(self.tell, io.Timer(action.token)))

    def _watch(self, _: io.Watch) -> None:
        self.watch()

    def _log(self, action: io.LogLine) -> None:
        log.logger().info("decision", text=action.text)

    def _forget_if_over(self, exchange: Exchange) -> None:
        if not exchange.owed and exchange.current() is None:
            self.exchanges.pop(exchange.number, None)
            if self.by_id.get(exchange.job.id) is exchange:
                del self.by_id[exchange.job.id]
