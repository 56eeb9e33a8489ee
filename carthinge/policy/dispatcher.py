"""The dispatcher: takes a job from arrival to final answer (docs/design.md)."""

import math
from collections.abc import Callable, Sequence
from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.memory import attach_attempts, handover_handlers
from carthinge.policy.attempts import Attempts
from carthinge.policy.discovery_events import INITIAL_CAP_SLOTS, DiscoveryEvents
from carthinge.policy.fair_queueing import Tenants
from carthinge.policy.load_reports import LoadReports
from carthinge.policy.outlier_ejection import OutlierEjector
from carthinge.policy.response_timeouts import EWMA_WEIGHT, MIN_RESPONSE_SHARE
from carthinge.policy.slow_start import SlowStart
from carthinge.policy.worker_selection import worker_subset
from carthinge.records import Attempt, Job, restore_bypassed

MAX_HINT_DEADLINES: Final = 10.0  # of the class's deadline: long jobs have hints of several deadlines
# Times over_share_worth, in objectives: the longest wait of work over its share.
OVER_SHARE_WAIT_FACTOR: Final = 2.5


class Dispatcher:
    """Decides for one scheduler: ``handle`` takes the time and events and returns actions."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.context = context = DispatchContext(settings, seed, worker_subset)
        self.jobs, self.fleet, self.encode_loads = context.jobs, context.fleet, context.encode_loads
        self.tenants, self.reports = Tenants(), LoadReports(context)
        self.ejector, self.slow_start = OutlierEjector(context), SlowStart(context)
        self.attempts = Attempts(context, self.reports, self.ejector, self.slow_start)
        self.selector, self.timeouts, self.schedule_check = (
            self.attempts.selector,
            self.attempts.timeouts,
            self.attempts.schedule_check,
        )
        # Of each class, the longest time from an arrival to its give_up.
        self.max_client_waits: list[int] = []
        self.queue_sequence = 0
        self._configure(
            io.SettingsChange(settings, [-1] * len(settings.classes), [-1] * len(settings.tenants))
        )
        self.handlers: dict[type, Callable[..., None]] = {
            io.Arrival: self.accept_job,
            io.Outcome: self._handle_outcome,
            io.ProgressReport: self.attempts.handle_progress,
            io.Timer: context.no_op,
            io.WorkerList: DiscoveryEvents(context).handle_list,
            io.OperatorExclusion: lambda event: context.fleet.set_excluded(
                event, INITIAL_CAP_SLOTS, context.now
            ),
            io.ProbeResult: self.reports.handle_probe_result,
            io.Message: context.fleet.apply_peer_load,
            io.Abandoned: self._handle_abandoned,
            io.StreamStarted: self._handle_stream_started,
            io.SettingsChange: self._configure,
            **handover_handlers(self),
        }

    def handle(self, now: int, events: Sequence[io.Event]) -> list[io.Action]:
        """Return the actions for ``events``, which all happened at ``now``."""
        context = self.context
        context.now, context.actions, context.freed_workers = now, [], []
        for event in events:
            self.handlers[type(event)](event)
        context.timers.run(now)
        self._dispatch_waiting()
        if wake := context.timers.wake(now):
            context.actions.append(io.SetTimer(wake, wake))
        return context.actions

    def _configure(self, event: io.SettingsChange) -> None:
        """Apply new settings; what was learned of classes and tenants stays."""
        settings = event.settings
        all_new = all(old < 0 for old in event.classes)  # nothing is known of their jobs
        self.context.configure(settings, all_new)
        if all_new:
            self.timeouts.reset()
        self.tenants.configure(settings, event.tenants)
        self.reports.uses_probes = settings.reports is io.Reports.PROBES and settings.may_probe
        self.selector.configure(settings)
        self.fleet.remap_kinds(event.kinds)
        self.max_client_waits = [
            min(self.max_client_waits[old], spec.deadline) if old >= 0 else 0
            for old, spec in zip(event.classes, settings.classes, strict=True)
        ]

    def accept_job(self, event: io.Arrival, sent: Sequence[io.AttemptMemory] = ()) -> None:
        """Accept a job, with the attempts that other dispatchers have sent."""
        context, settings = self.context, self.context.settings
        spec = settings.classes[event.job_class]
        work = float(event.hint) if event.hint is not None else context.mean_work
        # An extreme hint must not distort the mean.
        work = min(work, MAX_HINT_DEADLINES * spec.deadline or work)
        cost = max(1.0, work * event.slots)
        rank = -spec.worth / (1.0 if settings.worth_by_work else cost)  # WSPT: worth for its work
        # A client's retry has less time left than a first request: that shows when the client began to wait.
        left = event.give_up - context.now
        max_left = self.max_client_waits[event.job_class] = max(self.max_client_waits[event.job_class], left)
        job = Job(
            event.request,
            spec,
            self.tenants.queue(event.tenant),
            event.key,
            event.give_up,
            context.now - max_left + left,
            work,
            event.slots,
            cost,
            rank,
            settings.try_limit,
        )
        worthless_late = spec.late_worth <= 0
        job.hedged = worthless_late and settings.tells_start and settings.may_hedge and settings.may_cancel
        job.bearable = float(spec.objective) if worthless_late else math.inf
        if over_share := left > 0.99 * max_left and not self.tenants.within_quota(event.tenant, context.now):
            job.rank *= settings.over_share_worth
            job.bearable = min(1.0, OVER_SHARE_WAIT_FACTOR * settings.over_share_worth) * spec.objective
        self.jobs[job.id] = job
        context.mean_work += (work - context.mean_work) * EWMA_WEIGHT / 5
        context.arrival_rate.add(1.0, context.now)
        if event.key and context.key_shares.add(event.key):
            self.fleet.list_changed()
        attach_attempts(self, job, sent)
        if not sent and context.should_shed(job, over_share, event):  # unless a cold worker can start it now
            job.immediate_only, job.bearable, job.rank = True, 0.0, -math.inf
        if job.immediate_only and not self.selector.best_cold(job):
            self._answer_unserved(job, io.EndReason.OVERLOAD)
        elif not job.open:
            self.enqueue(job)
        if self.reports.uses_probes:
            self.reports.probe_for(job)

    def enqueue(self, job: Job) -> None:
        """Queue the job until a worker is free, and schedule its expiry."""
        context = self.context
        job.waiting, job.enqueued_at = True, context.now
        last = job.give_up - context.settings.answer_grace
        worthless_late, reported = job.spec.late_worth <= 0, context.settings.tells_start
        # Without reported starts the measured slowdown includes the wait in queues.
        slowdown = context.mean_slowdown() if (job.hedged if worthless_late else reported) else 1.0
        slack = job.spec.objective + (job.spec.stretch - slowdown) * job.work
        # Some jobs are always tried, or nothing would show that the fleet is fast again.
        in_time = job.came + int(max(slack, job.spec.objective * MIN_RESPONSE_SHARE))
        self._push(job, not worthless_late and in_time <= context.now)
        if not worthless_late:
            context.call_at(in_time, self._push, job)
        elif job.hedged or job.never_ran():
            last = min(last, in_time)  # later it would only take the slot of a job that is in time
        if last <= context.now:
            self._expire(job)
        else:
            context.call_at(last, self._expire, job)

    def _push(self, job: Job, late: bool = True) -> None:
        """Push the job; a late one ranks by its late worth, at equal worth behind those in time."""
        if job.waiting:
            self.queue_sequence += 1
            rank, order = (job.rank * job.spec.late_worth, job.give_up) if late else (job.rank, job.came)
            job.queue.push((rank, order, self.queue_sequence, job))

    def _expire(self, job: Job) -> None:
        """Answer an expired job in time; cancel one queued at a worker, as it would delay others."""
        if job.waiting:
            job.waiting = False
            self._answer_unserved(job, io.EndReason.OUT_OF_TIME)
        elif job.hedged and not job.answered and not any(attempt.begun for attempt in job.attempts):
            self.attempts.cancel_attempts(job)

    def _answer_unserved(self, job: Job, reason: io.EndReason) -> None:
        """Answer a job that will not be served: refuse it if a retry is harmless, else fail it."""
        if job.answered or job.open:
            return
        job.answered = True
        del self.jobs[job.id]
        if job.retry_is_safe():
            self.context.actions.append(io.Refuse(job.id, self.context.retry_after_us(job), reason))
        else:
            self.context.actions.append(io.Fail(job.id, reason))

    def _handle_abandoned(self, event: io.Abandoned) -> None:
        if (job := self.jobs.get(event.request)) and not job.answered:
            self._finish(job)

    def _finish(self, job: Job) -> None:
        """Close a job that has its final answer: cancel its open attempts and send no more."""
        job.answered, job.waiting = True, False
        self.attempts.cancel_attempts(job)
        if not job.open:
            self.jobs.pop(job.id, None)

    def _handle_stream_started(self, event: io.StreamStarted) -> None:
        if (attempt := self.context.find_attempt(event)) is not None:
            attempt.job.streaming = True
            self.ejector.mark_responsive(attempt.worker)

    def _dispatch_waiting(self) -> None:
        ring = self.tenants.ring
        while (queue := ring.select(self._dispatchable)) is not None:
            job = ring.charge(queue)
            if job.selected_worker:
                self.attempts.send(job, job.selected_worker)
            else:  # no eligible worker
                self._answer_unserved(job, io.EndReason.NO_WORKER)
        restore_bypassed(ring.queues)

    def _dispatchable(self, job: Job) -> bool:
        """Whether the job can leave its queue; False if every eligible worker is busy.

        A blocked head is checked against freed workers only, until its next full selection is due.
        """
        context = self.context
        blocked = context.now < job.next_check_at and job.checked_list_version == context.fleet.version
        if blocked and not (job.key and context.freed_workers):  # one may be a home of the key
            estimate = self.selector.estimate
            job.selected_worker = next(
                (worker for worker in context.freed_workers if estimate(worker, job) is not None), None
            )
            return job.selected_worker is not None or job.queue.bypass(job)
        job.selected_worker = self.selector.best(job, pool := self.selector.eligible(job))
        if job.selected_worker or not pool or job.immediate_only:
            return True
        job.constrained = (
            len(pool) < len(context.fleet.pool(job.spec.kind))
            or job.awaits_repeated_callbacks()
            or (job.work > context.mean_work and any(self.slow_start.is_cold(worker) for worker in pool))
        )
        job.checked_list_version = context.fleet.version
        job.next_check_at = context.now + max(4000, min(job.spec.objective // 8, 200_000))
        context.call_at(job.next_check_at, context.no_op)
        self.reports.send_probes(job)
        return job.queue.bypass(job)

    def _handle_outcome(self, event: io.Outcome) -> None:
        if not (attempt := self.context.find_attempt(event)) or not attempt.open:
            return
        job = attempt.job
        self.attempts.handle_outcome(attempt, event)
        if not job.answered and event.finished:
            self._finish(job)
        elif not job.open and job.answered:
            self.jobs.pop(job.id, None)
        elif not (job.open or job.streaming or job.waiting):
            self._retry_or_answer(job, attempt)

    def _retry_or_answer(self, job: Job, attempt: Attempt) -> None:
        """Queue the job again if a retry is allowed, else give the final answer."""
        settings = self.context.settings
        spent = (
            job.attempts_exhausted(settings.try_limit)
            or self.context.now >= job.give_up - settings.answer_grace
        )
        if spent or (job.spec.effect is io.Effect.UNSAFE and not job.never_ran()):
            self._answer_unserved(job, io.EndReason.NO_RETRY)
        else:
            job.queue.deficit += 0.0 if attempt.may_have_run else job.cost  # the cost is refunded
            self.enqueue(job)
