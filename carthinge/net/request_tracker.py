"""Tracker of all requests and of their attempts at workers, independent of any protocol."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from typing import Final

from carthinge import interface as io
from carthinge.net import log
from carthinge.net.counters import Counters, OutcomeCounts
from carthinge.net.deadlines import answer_deadline
from carthinge.net.invariants import Invariants
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.recent_ids import RecentIds
from carthinge.net.tracked_request import (
    Attempt,
    Client,
    Job,
    Journal,
    RestoredAttempt,
    Terms,
    TrackedRequest,
    WorkerTransport,
)
from carthinge.net.worker_directory import WorkerEndpoint
from carthinge.policy import Dispatcher

CUT_SHORT_REASON: Final = "a pipelined request behind it is due"


class RequestTracker:
    """Tracks all requests: collects events, passes them to the dispatcher and carries out its actions."""

    def __init__(
        self, loop: Loop, dispatcher: Dispatcher, targets: dict[int, WorkerEndpoint], counters: Counters
    ) -> None:
        self.transport: WorkerTransport
        self.watch: Callable[[], None]
        self.probe: Callable[[WorkerEndpoint], None]
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.by_id: dict[str, TrackedRequest] = {}
        self.recent_ids = RecentIds(loop)
        self.events: list[io.Event] = []
        self.outcome_counts = OutcomeCounts()
        self.invariants = Invariants(counters, lambda: dispatcher.context.settings.may_hedge)
        self._loop = loop
        self._dispatcher = dispatcher
        self._targets = targets
        self._counters = counters
        self._last_number = 0
        self._wake_timer: Timer | None = None
        self._action_handlers: dict[type, Callable[..., None]] = {
            io.Send: self._send,
            io.Refuse: self._shed,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.SetTimer: self._set_timer,
            io.Watch: lambda _: self.watch(),
            io.LogLine: lambda action: log.logger().info("decision", text=action.text),
            io.Probe: lambda action: self.probe(targets[action.worker]),
        }

    # ---- events ---------------------------------------------------------------------------

    def emit(self, event: io.Event) -> None:
        """Add an event that concerns no single request."""
        self.events.append(event)

    def take(self, job: Job, terms: Terms, client: Client, journal: Journal | None = None) -> TrackedRequest:
        """Start to track a complete request, which gets exactly one final answer."""
        tracked = self._track(job, terms, client, journal)
        self._counters.taken += 1
        self.events.append(tracked.arrival(terms))
        return tracked

    def restore(
        self, job: Job, terms: Terms, client: Client, journal: Journal, attempts: Sequence[RestoredAttempt]
    ) -> TrackedRequest:
        """Track a job that was accepted before a crash, with its earlier attempts."""
        tracked = self._track(job, terms, client, journal)
        self._counters.requests_recovered += 1
        self.events.append(io.Restore(tracked.arrival(terms), [restored.memory for restored in attempts]))
        for number, restored in enumerate(attempts):
            attempt = Attempt(
                tracked,
                number,
                restored.target,
                restored.sent,
                restored.due,
                open=restored.memory.open,
                written=True,
                token=restored.token,
                ended_by_callback=restored.memory.ended_by_callback,
            )
            tracked.attempts.append(attempt)
            if attempt.open:
                attempt.timer = self._loop.call_at(attempt.due, partial(self._time_out, attempt))
        tracked.update_state()
        return tracked

    def _track(self, job: Job, terms: Terms, client: Client, journal: Journal | None) -> TrackedRequest:
        self._last_number += 1
        give_up = answer_deadline(self._loop.now, terms.timeout)
        tracked = TrackedRequest(
            self._last_number,
            job,
            terms.class_name,
            terms.tenant_name,
            client,
            give_up,
            journal=journal,
            effect=terms.effect,
        )
        self.tracked_requests[tracked.number] = self.by_id[job.id] = tracked
        return tracked

    def hand_over(self, tracked: TrackedRequest) -> None:
        """Stop tracking a request that another process took over, with its client and its open attempt."""
        if tracked.pending:
            tracked.mark_client_gone("given_away")
        self._counters.requests_given_away += 1
        for attempt in tracked.attempts:
            attempt.open = False
            if attempt.timer is not None:
                attempt.timer.cancel()
        self.events.append(io.GiveAway(tracked.number))
        self._remove_if_ended(tracked)

    def take_over(self, tracked: TrackedRequest, tenant: int, memory: io.JobMemory) -> None:
        """Track a request handed over by another process, under a number of this tracker."""
        self._last_number += 1
        tracked.number = self._last_number
        self.tracked_requests[tracked.number] = self.by_id[tracked.job.id] = tracked
        self._counters.requests_taken_over += 1
        self.events.append(io.TakeOver(tracked.number, tenant, memory))
        for attempt in tracked.attempts:
            if attempt.open:
                attempt.timer = self._loop.call_at(attempt.due, partial(self._time_out, attempt))
        tracked.update_state()

    def abandon(self, tracked: TrackedRequest) -> None:
        """Abandon a request whose client has left."""
        if tracked.pending:
            tracked.mark_client_gone("client_left")
            self._counters.client_gone += 1
            self._report_abandoned(tracked)

    def _report_abandoned(self, tracked: TrackedRequest) -> None:
        """Report to the dispatcher that a request has ended without a decision of its own."""
        self.events.append(io.Abandoned(tracked.number))
        for attempt in list(tracked.open_attempts()):
            self.transport.client_left(attempt)
        self._remove_if_ended(tracked)

    def cut_short(self, tracked: TrackedRequest) -> None:
        """Answer a request now, since the answer to a request pipelined behind it is due."""
        if not tracked.pending:
            return
        if tracked.attempts:
            self._count_failed(tracked, CUT_SHORT_REASON)
            tracked.client.fail(timed_out=True)
        else:
            self._count_refused(tracked, CUT_SHORT_REASON)
            tracked.client.shed(timedelta())
        self._report_abandoned(tracked)

    def serve_late(self, tracked: TrackedRequest, result: bytes) -> None:
        """Serve the result of an attempt that has already ended; called when no other attempt is open."""
        if tracked.pending:
            self._serve(tracked, result)
            self.events.append(io.Abandoned(tracked.number))
            self._remove_if_ended(tracked)

    def expire(self, attempt: Attempt) -> None:
        """Withdraw an attempt whose lease has expired; it ends as a timeout once the withdrawal is done."""
        if attempt.open:
            self._withdraw(attempt, io.Result.TIMEOUT)

    def attempt_written(self, attempt: Attempt) -> None:
        """Note that the last byte of an attempt has been written."""
        if not attempt.written:
            attempt.written = True
            self._counters.attempts_written += 1

    def in_flight(self) -> int:
        """Return the number of unanswered requests."""
        return sum(tracked.pending for tracked in self.tracked_requests.values())

    def report_progress(self, attempt: Attempt, done: float | None, begun: bool = True) -> None:
        """Report progress of an open attempt, at least that its worker has received it."""
        if attempt.open:
            self.events.append(
                io.ProgressReport(attempt.tracked.number, attempt.number, attempt.target.number, done, begun)
            )

    def end(
        self,
        attempt: Attempt,
        result: io.Result,
        load_report: tuple[float, ...] = (),
        answer: bytes = b"",
        why: str = "",
        by_callback: bool = False,
    ) -> None:
        """End an attempt; only the first call has an effect.

        ``by_callback``: its worker may report the end again, as in ``Outcome``.
        """
        if not attempt.open:
            return
        attempt.open = False
        attempt.result = result
        attempt.ended_by_callback = by_callback
        if attempt.timer is not None:
            attempt.timer.cancel()
        tracked = attempt.tracked
        tracked.update_state()
        if tracked.journal is not None:
            tracked.journal.attempt_ended(attempt, result)
        name = f"attempt_{result.name.lower()}"
        setattr(self._counters, name, getattr(self._counters, name) + 1)
        if result is not io.Result.OK:
            log.logger().debug(
                "attempt_ended",
                id=tracked.job.id,
                worker=attempt.target.id,
                attempt=attempt.number,
                result=result.name,
                why=why,
            )
        elif tracked.pending:
            self._serve(tracked, answer)
        latency = max(timedelta(), self._loop.now - attempt.sent)
        self.events.append(
            io.Outcome(
                tracked.number,
                attempt.number,
                attempt.target.number,
                result,
                latency // MICROSECOND,
                not tracked.pending,
                load_report,
                by_callback,
            )
        )
        self._remove_if_ended(tracked)

    def _serve(self, tracked: TrackedRequest, result: bytes) -> None:
        tracked.mark_answered("served")
        self._counters.served += 1
        self.outcome_counts.served[tracked.class_name] += 1
        tracked.client.serve(result)

    def reject(self, attempt: Attempt, why: str) -> None:
        """Fail a request rejected as unusable: other workers would reject it too, and all would be blamed."""
        tracked = attempt.tracked
        if attempt.open and tracked.pending:
            self._count_failed(tracked, "the request was rejected as unusable")
            tracked.client.reject()
        self.end(attempt, io.Result.NOT_SENT, why=why)

    # ---- actions --------------------------------------------------------------------------

    def decide(self) -> None:
        """Pass all collected events to the dispatcher in one call and carry out its actions."""
        if not self.events:
            return
        events, self.events = self.events, []
        for action in self._dispatcher.handle(self._loop.now // MICROSECOND, events):
            self._action_handlers[type(action)](action)

    def _send(self, action: io.Send) -> None:
        tracked = self.tracked_requests[action.request]
        now = self._loop.now
        due = tracked.give_up
        if action.timeout:
            due = min(due, now + action.timeout * MICROSECOND)
        start_by = action.start_by * MICROSECOND if action.start_by else None
        attempt = Attempt(tracked, len(tracked.attempts), self._targets[action.worker], now, due, start_by)
        tracked.attempts.append(attempt)
        tracked.update_state()
        if self._end_if_unsendable(attempt):
            return
        attempt.timer = self._loop.call_at(due, lambda: self._time_out(attempt))
        if tracked.journal is None:
            self._start(attempt)
        else:
            attempt.awaiting_grant = True
            tracked.journal.grant(attempt, partial(self._granted, attempt))

    def why_not_sent(self, attempt: Attempt) -> str | None:
        """Return why an unsent attempt must not be sent now, or None if it may be.  Checked when the
        dispatcher has decided to send it, and again when its connection is up."""
        tracked, now = attempt.tracked, self._loop.clock.now()
        if not attempt.open:
            return "the attempt has ended"
        if tracked.pending and tracked.client.has_left():
            self.abandon(tracked)
        if not tracked.pending:
            return "the client has left"
        if now >= attempt.due:
            return "the attempt has timed out"
        if attempt.start_by is not None and now >= attempt.start_by:
            return "the window for a safe retry is over"
        if attempt.target.draining_or_gone:
            return "the worker is leaving"
        return None if self.invariants.may_send(attempt) else "an invariant would be violated"

    def _end_if_unsendable(self, attempt: Attempt) -> bool:
        """End an attempt that must not be sent now; return whether it was ended."""
        reason = self.why_not_sent(attempt)
        if reason is not None:
            self.end(attempt, io.Result.NOT_SENT, why=reason)
        return reason is not None

    def _granted(self, attempt: Attempt) -> None:
        """Send an attempt whose grant is on disk, unless it has ended before that."""
        if attempt.open:
            attempt.awaiting_grant = False
            if not self._end_if_unsendable(attempt):
                self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        self._counters.attempts += 1
        tracked = attempt.tracked
        previous = tracked.attempts[attempt.number - 1].result if attempt.number else None
        log.logger().debug(
            "attempt_sent",
            id=tracked.job.id,
            worker=attempt.target.id,
            attempt=attempt.number,
            after=previous.name if previous is not None else "",
        )
        self.transport.send(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        """Withdraw an attempt; at the client's deadline, when no other can follow, end it without waiting."""
        self._withdraw(attempt, io.Result.TIMEOUT)
        if attempt.due >= attempt.tracked.give_up:
            self.end(attempt, io.Result.TIMEOUT)

    def _withdraw(self, attempt: Attempt, result: io.Result) -> None:
        """Withdraw an attempt and end it once the worker knows: the dispatcher may then send the next one."""
        if attempt.awaiting_grant:
            self.end(attempt, io.Result.NOT_SENT)
        elif not attempt.withdrawing:
            attempt.withdrawing = True
            self.transport.withdraw(attempt, lambda: self.end(attempt, result))

    def _cancel(self, action: io.Cancel) -> None:
        tracked = self.tracked_requests.get(action.request)
        attempt = tracked.attempts[action.attempt] if tracked else None
        if attempt is not None and attempt.open:
            self._withdraw(attempt, io.Result.CANCELLED)

    def _shed(self, action: io.Refuse) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.pending:
            self._count_refused(tracked, action.why.value)
            tracked.client.shed(action.retry_after * MICROSECOND)
            self._remove_if_ended(tracked)

    def _fail(self, action: io.Fail) -> None:
        tracked = self.tracked_requests.get(action.request)
        if tracked is not None and tracked.pending:
            self._count_failed(tracked, action.why.value)
            tracked.client.fail(timed_out=self._loop.now >= tracked.give_up)
            self._remove_if_ended(tracked)

    def _count_refused(self, tracked: TrackedRequest, why: str) -> None:
        tracked.mark_answered("refused", why)
        self._counters.shed += 1
        self.outcome_counts.refused[tracked.class_name] += 1

    def _count_failed(self, tracked: TrackedRequest, why: str) -> None:
        tracked.mark_answered("failed", why)
        self._counters.failed += 1
        self.outcome_counts.failed[tracked.class_name] += 1

    def _set_timer(self, action: io.SetTimer) -> None:
        """Replace the timer: the dispatcher sets it anew after each wake-up."""
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        self._wake_timer = self._loop.call_at(
            action.due * MICROSECOND, partial(self.emit, io.Timer(action.token))
        )

    def _remove_if_ended(self, tracked: TrackedRequest) -> None:
        if not tracked.pending and tracked.first_open_attempt() is None:
            if not tracked.id_is_reusable():
                self.recent_ids.add(tracked.job.id)
            self.tracked_requests.pop(tracked.number, None)
            tracked.release()
            if self.by_id.get(tracked.job.id) is tracked:
                del self.by_id[tracked.job.id]
