"""All tracked requests: what is owed to clients, what is out at workers.  No protocol is known here."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from typing import Final

from carthinge import interface as io
from carthinge.net import log
from carthinge.net.counters import ByClass, Counters
from carthinge.net.deadlines import give_up_at
from carthinge.net.invariants import Invariants
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.tracked_request import (
    Attempt,
    Client,
    Job,
    Keeper,
    Sent,
    Target,
    Terms,
    TrackedRequest,
)
from carthinge.net.worker_directory import WorkerEndpoint
from carthinge.policy import Dispatcher

CUT_SHORT: Final = "one that waits behind it has to have its answer"


class RequestTracker:
    """All requests.  Collects what happened, has the module decide on it, carries out what it says."""

    def __init__(
        self, loop: Loop, dispatcher: Dispatcher, targets: dict[int, WorkerEndpoint], counters: Counters
    ) -> None:
        self.target: Target
        self.watch: Callable[[], None]
        self.probe: Callable[[WorkerEndpoint], None]
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.by_id: dict[str, TrackedRequest] = {}
        self.events: list[io.Event] = []
        self.ended = ByClass()
        self.invariants = Invariants(counters, lambda: dispatcher.context.settings.may_copy)
        self._loop = loop
        self._dispatcher = dispatcher
        self._targets = targets
        self._counters = counters
        self._count = 0
        self._wake: Timer | None = None
        self._carriers: dict[type, Callable[..., None]] = {
            io.Send: self._send,
            io.Refuse: self._shed,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.SetTimer: self._set_timer,
            io.Watch: lambda _: self.watch(),
            io.LogLine: self._log,
            io.Probe: lambda action: self.probe(targets[action.worker]),
        }

    # ---- what happens ---------------------------------------------------------------------

    def tell(self, event: io.Event) -> None:
        """Something that concerns no request."""
        self.events.append(event)

    def take(self, job: Job, terms: Terms, client: Client, keeper: Keeper | None = None) -> TrackedRequest:
        """A whole request has come: one final answer is owed from now on."""
        tracked = self._enter(job, terms, client, keeper)
        self._counters.taken += 1
        self.events.append(self._arrival(tracked, terms))
        return tracked

    def restore(
        self, job: Job, terms: Terms, client: Client, keeper: Keeper, attempts: Sequence[Sent]
    ) -> TrackedRequest:
        """A job that was taken before a crash, with the attempts that it has had."""
        tracked = self._enter(job, terms, client, keeper)
        self._counters.requests_recovered += 1
        self.events.append(io.Restore(self._arrival(tracked, terms), [sent.memory for sent in attempts]))
        for number, sent in enumerate(attempts):
            attempt = Attempt(
                tracked,
                number,
                sent.target,
                sent.sent,
                sent.due,
                open=sent.memory.open,
                arrived=True,
                token=sent.token,
            )
            tracked.attempts.append(attempt)
            if attempt.open:
                attempt.timer = self._loop.call_at(attempt.due, partial(self._time_out, attempt))
        tracked.attempt_changed()
        return tracked

    def _enter(self, job: Job, terms: Terms, client: Client, keeper: Keeper | None) -> TrackedRequest:
        self._count += 1
        give_up = give_up_at(self._loop.now, terms.patience)
        tracked = TrackedRequest(
            self._count,
            job,
            terms.class_name,
            terms.tenant_name,
            client,
            give_up,
            keeper=keeper,
            effect=terms.effect,
        )
        self.tracked_requests[tracked.number] = self.by_id[job.id] = tracked
        return tracked

    def _arrival(self, tracked: TrackedRequest, terms: Terms) -> io.Arrival:
        hint = None if terms.hint is None else terms.hint // MICROSECOND
        return io.Arrival(
            tracked.number,
            terms.job_class,
            tracked.give_up // MICROSECOND,
            terms.tenant,
            terms.key,
            hint,
            terms.slots,
            terms.memory,
            terms.repeat,
        )

    def give_away(self, tracked: TrackedRequest) -> None:
        """Another process has taken it over, with its client and with the attempt that is out."""
        if tracked.owed:
            tracked.client_gone("given_away")
        self._counters.requests_given_away += 1
        for attempt in tracked.attempts:
            attempt.open = False
            if attempt.timer is not None:
                attempt.timer.cancel()
        self.events.append(io.GiveAway(tracked.number))
        self._forget_if_over(tracked)

    def take_over(self, tracked: TrackedRequest, tenant: int, memory: io.JobMemory) -> None:
        """The other side of that; its number becomes one of this tracker's."""
        self._count += 1
        tracked.number = self._count
        self.tracked_requests[tracked.number] = self.by_id[tracked.job.id] = tracked
        self._counters.requests_taken_over += 1
        self.events.append(io.TakeOver(tracked.number, tenant, memory))
        for attempt in tracked.attempts:
            if attempt.open:
                attempt.timer = self._loop.call_at(attempt.due, partial(self._time_out, attempt))
        tracked.attempt_changed()

    def abandon(self, tracked: TrackedRequest) -> None:
        """The client has gone."""
        if tracked.owed:
            tracked.client_gone("client_left")
            self._counters.client_gone += 1
            self._call_off(tracked)

    def _call_off(self, tracked: TrackedRequest) -> None:
        """Nothing is owed any more, and not by a decision of the module."""
        self.events.append(io.Abandoned(tracked.number))
        for attempt in list(tracked.out()):
            self.target.client_left(attempt)
        self._forget_if_over(tracked)

    def cut_short(self, tracked: TrackedRequest) -> None:
        """Its final answer is due now, for the sake of another that has to follow it."""
        if not tracked.owed:
            return
        if tracked.attempts:
            self._count_failed(tracked, CUT_SHORT)
            tracked.client.fail(timed_out=True)
        else:
            self._count_refused(tracked, CUT_SHORT)
            tracked.client.shed(timedelta())
        self._call_off(tracked)

    def serve_late(self, tracked: TrackedRequest, result: bytes) -> None:
        """A result has come from an attempt that had ended, and nobody has the job since."""
        if tracked.owed:
            self._serve(tracked, result)
            self.events.append(io.Abandoned(tracked.number))
            self._forget_if_over(tracked)

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
        return sum(tracked.owed for tracked in self.tracked_requests.values())

    def note(self, attempt: Attempt, done: float | None, begun: bool = True) -> None:
        """News of an attempt that is out: at the least that its worker has it."""
        if attempt.open:
            self.events.append(
                io.Note(attempt.tracked.number, attempt.number, attempt.target.number, done, begun)
            )

    def end(
        self,
        attempt: Attempt,
        result: io.Result,
        report: tuple[float, ...] = (),
        answer: bytes = b"",
        why: str = "",
    ) -> None:
        """An attempt has ended; only its first end counts."""
        if not attempt.open:
            return
        attempt.open = False
        attempt.result = result
        if attempt.timer is not None:
            attempt.timer.cancel()
        tracked = attempt.tracked
        tracked.attempt_changed()
        if tracked.keeper is not None:
            tracked.keeper.attempt_ended(attempt, result)
        name = f"attempt_{result.name.lower()}"
        setattr(self._counters, name, getattr(self._counters, name) + 1)
        if result is not io.Result.OK:
            log.logger().debug(
                "attempt_ended", id=tracked.job.id, worker=attempt.target.id, result=result.name, why=why
            )
        elif tracked.owed:
            self._serve(tracked, answer)
        latency = max(timedelta(), self._loop.now - attempt.sent)
        self.events.append(
            io.Outcome(
                tracked.number,
                attempt.number,
                attempt.target.number,
                result,
                latency // MICROSECOND,
                not tracked.owed,
                report,
            )
        )
        self._forget_if_over(tracked)

    def _serve(self, tracked: TrackedRequest, result: bytes) -> None:
        tracked.answered("served")
        self._counters.served += 1
        self.ended.served[tracked.class_name] += 1
        tracked.client.serve(result)

    def reject(self, attempt: Attempt, why: str) -> None:
        """The worker has turned the request away as unusable, as any other would.

        Guards against bad requests that are tried at one worker after the other and count against each.
        """
        tracked = attempt.tracked
        if attempt.open and tracked.owed:
            self._count_failed(tracked, "no worker can use it")
            tracked.client.reject()
        self.end(attempt, io.Result.NOT_SENT, why=why)

    # ---- what is decided ------------------------------------------------------------------

    def decide(self) -> None:
        """One call of the module for all that has come up; does what it says."""
        if not self.events:
            return
        events, self.events = self.events, []
        for action in self._dispatcher.handle(self._loop.now // MICROSECOND, events):
            self._carriers[type(action)](action)

    def _send(self, action: io.Send) -> None:
        tracked = self.tracked_requests[action.request]
        now = self._loop.now
        due = tracked.give_up
        if action.timeout:
            due = min(due, now + action.timeout * MICROSECOND)
        start_by = action.start_by * MICROSECOND if action.start_by else None
        attempt = Attempt(tracked, len(tracked.attempts), self._targets[action.worker], now, due, start_by)
        tracked.attempts.append(attempt)
        tracked.attempt_changed()
        if self._stopped(attempt):
            return
        attempt.timer = self._loop.call_at(due, lambda: self._time_out(attempt))
        if tracked.keeper is None:
            self._start(attempt)
        else:
            attempt.held_back = True
            tracked.keeper.grant(attempt, partial(self._granted, attempt))

    def why_not_sent(self, attempt: Attempt) -> str | None:
        """Why an attempt of which nothing has gone out must not go out now; None where it may.

        Asked when it is decided on, and again when its connection is up.
        """
        tracked, now = attempt.tracked, self._loop.clock.now()
        if not attempt.open:
            return "it has ended"
        if tracked.owed and tracked.client.has_left():
            self.abandon(tracked)
        if not tracked.owed:
            return "its client has left"
        if now >= attempt.due:
            return "its time is over"
        if attempt.start_by is not None and now >= attempt.start_by:
            return "a repeat is not harmless any more"
        if attempt.target.left:
            return "its worker leaves"
        return None if self.invariants.may_send(attempt) else "it would break a rule"

    def _stopped(self, attempt: Attempt) -> bool:
        """Ends an attempt that must not go out now; False for one that may."""
        why_not = self.why_not_sent(attempt)
        if why_not is not None:
            self.end(attempt, io.Result.NOT_SENT, why=why_not)
        return why_not is not None

    def _granted(self, attempt: Attempt) -> None:
        """Its grant is on disk, unless it was given up before that."""
        if attempt.open:
            attempt.held_back = False
            if not self._stopped(attempt):
                self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        self._counters.attempts += 1
        tracked = attempt.tracked
        before = tracked.attempts[attempt.number - 1].result if attempt.number else None
        log.logger().debug(
            "attempt_sent",
            id=tracked.job.id,
            worker=attempt.target.id,
            attempt=attempt.number,
            after=before.name if before is not None else "",
        )
        self.target.send(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        """At the client's deadline no other attempt can follow: the answer must not wait for the worker."""
        self._withdraw(attempt, io.Result.TIMEOUT)
        if attempt.due >= attempt.tracked.give_up:
            self.end(attempt, io.Result.TIMEOUT)

    def _withdraw(self, attempt: Attempt, result: io.Result) -> None:
        """The end is told once the worker knows: the module may send the next attempt at once."""
        if attempt.held_back:
            self.end(attempt, io.Result.NOT_SENT)
        elif not attempt.leaving:
            attempt.leaving = True
            self.target.withdraw(attempt, lambda: self.end(attempt, result))

    def _cancel(self, action: io.Cancel) -> None:
        tracked = self.tracked_requests.get(action.request)
        attempt = tracked.attempts[action.attempt] if tracked else None
        if attempt is not None and attempt.open:
            self._withdraw(attempt, io.Result.CANCELLED)

    def _shed(self, action: io.Refuse) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.owed:
            self._count_refused(tracked, action.why.value)
            tracked.client.shed(action.stay_away * MICROSECOND)
            self._forget_if_over(tracked)

    def _fail(self, action: io.Fail) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.owed:
            self._count_failed(tracked, action.why.value)
            tracked.client.fail(timed_out=self._loop.now >= tracked.give_up)
            self._forget_if_over(tracked)

    def _count_refused(self, tracked: TrackedRequest, why: str) -> None:
        tracked.answered("refused", why)
        self._counters.shed += 1
        self.ended.refused[tracked.class_name] += 1

    def _count_failed(self, tracked: TrackedRequest, why: str) -> None:
        tracked.answered("failed", why)
        self._counters.failed += 1
        self.ended.failed[tracked.class_name] += 1

    def _set_timer(self, action: io.SetTimer) -> None:
        """The module asks again after each wake, so that an earlier one takes the place of the one before."""
        if self._wake is not None:
            self._wake.cancel()
        self._wake = self._loop.call_at(action.due * MICROSECOND, partial(self.tell, io.Timer(action.token)))

    def _log(self, action: io.LogLine) -> None:
        log.logger().info("decision", text=action.text)

    def _forget_if_over(self, tracked: TrackedRequest) -> None:
        if not tracked.owed and tracked.current() is None:
            self.tracked_requests.pop(tracked.number, None)
            if self.by_id.get(tracked.job.id) is tracked:
                del self.by_id[tracked.job.id]
