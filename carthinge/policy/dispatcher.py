"""A job's way from its arrival to its answer, over the parts that decide on it (docs/design.md)."""

import math
from collections.abc import Callable, Sequence
from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.memory import attach, handlers
from carthinge.policy.attempts import Attempts
from carthinge.policy.discovery_events import CAP_START, DiscoveryEvents
from carthinge.policy.fair_queueing import Tenants
from carthinge.policy.load_reports import LoadReports
from carthinge.policy.outlier_ejection import OutlierEjector
from carthinge.policy.response_timeouts import GAIN, SIGN_LEAST
from carthinge.policy.slow_start import SlowStart
from carthinge.policy.worker_selection import near
from carthinge.records import Attempt, Job, put_back

HINT_MOST: Final = 10.0  # times a class's deadline: long jobs are hinted at several times that
OVER_YIELD: Final = 2.5  # times its worth, of the objective: the wait that work beyond its share may add to


class Dispatcher:
    """One gateway.  ``handle`` takes the time and what happened, and returns what to do."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.context = context = DispatchContext(settings, seed, near)
        self.jobs, self.fleet, self.loads = context.jobs, context.fleet, context.loads
        self.tenants, self.reports = Tenants(), LoadReports(context)
        self.ejector, self.slow_start = OutlierEjector(context), SlowStart(context)
        self.attempts = Attempts(context, self.reports, self.ejector, self.slow_start)
        self.selector, self.timeouts, self.attend = (
            self.attempts.selector,
            self.attempts.timeouts,
            self.attempts.attend,
        )
        self.spans: list[int] = []  # of each class, the longest time that a client has waited for at first
        self.sequence = 0
        self._adopt(io.Retune(settings, [-1] * len(settings.classes), [-1] * len(settings.tenants)))
        self.handlers: dict[type, Callable[..., None]] = {
            io.Arrival: self.arrive,
            io.Outcome: self._end,
            io.Note: self.attempts.hear,
            io.Timer: context.nothing,
            io.WorkerList: DiscoveryEvents(context).listed,
            io.ByHand: lambda event: context.fleet.by_hand(event, CAP_START, context.now),
            io.ProbeResult: self.reports.probed,
            io.Message: context.fleet.told,
            io.Abandoned: self._abandon,
            io.StreamStarted: self._stream,
            io.Retune: self._adopt,
            **handlers(self),
        }

    def handle(self, now: int, events: Sequence[io.Event]) -> list[io.Action]:
        """What to do about ``events``, which all happened at ``now``."""
        context = self.context
        context.now, context.actions, context.freed = now, [], []
        for event in events:
            self.handlers[type(event)](event)
        context.timers.run(now)
        self._release()
        if wake := context.timers.wake(now):
            context.actions.append(io.SetTimer(wake, wake))
        return context.actions

    def _adopt(self, event: io.Retune) -> None:
        """Settings for what comes from now on; what was learned of classes and tenants holds."""
        settings = event.settings
        anew = all(was < 0 for was in event.classes)  # of such jobs nothing is known
        self.context.adopt(settings, anew)
        if anew:
            self.timeouts.begin_anew()
        self.tenants.adopt(settings, event.tenants)
        self.reports.asks = settings.reports is io.Reports.PROBES and settings.may_probe
        self.selector.adopt(settings)
        self.fleet.retune(event.kinds)
        self.spans = [
            min(self.spans[was], spec.deadline) if was >= 0 else 0
            for was, spec in zip(event.classes, settings.classes, strict=True)
        ]

    def arrive(self, event: io.Arrival, sent: Sequence[io.AttemptMemory] = ()) -> None:
        """Takes a job in, with the attempts that it has had elsewhere."""
        context, settings = self.context, self.context.settings
        spec = settings.classes[event.job_class]
        work = float(event.hint) if event.hint is not None else context.mean_work
        work = min(work, HINT_MOST * spec.deadline or work)  # an absurd one must not distort the mean of all
        cost = max(1.0, work * event.slots)
        rank = -spec.worth / (1.0 if settings.worth_by_work else cost)  # WSPT: worth for its work
        # A repeat has less time left than a first try: that tells when its client began to wait.
        left = event.give_up - context.now
        span = self.spans[event.job_class] = max(self.spans[event.job_class], left)
        job = Job(
            event.request,
            spec,
            self.tenants.queue(event.tenant),
            event.key,
            event.give_up,
            context.now - span + left,
            work,
            event.slots,
            cost,
            rank,
            settings.try_limit,
        )
        strict = spec.late_worth <= 0
        job.hedged = strict and settings.tells_start and settings.may_copy and settings.may_cancel
        job.bearable = float(spec.objective) if strict else math.inf
        if over := left > 0.99 * span and not self.tenants.within(event.tenant, context.now):
            job.rank *= settings.over_share_worth
            job.bearable = min(1.0, OVER_YIELD * settings.over_share_worth) * spec.objective
        self.jobs[job.id] = job
        context.mean_work += (work - context.mean_work) * GAIN / 5
        context.arrivals.add(1.0, context.now)
        if event.key and context.heat.add(event.key):
            self.fleet.renew()
        attach(self, job, sent)
        if not sent and context.sheds(job, over, event):  # but not what a cold worker can begin at once
            job.spared, job.bearable, job.rank = True, 0.0, -math.inf
        if job.spared and not self.selector.at_once(job):
            self._conclude(job, io.GaveUp.OVERLOAD)
        elif not job.open:
            self.enqueue(job)
        if self.reports.asks:
            self.reports.earn(job)

    def enqueue(self, job: Job) -> None:
        """Has it wait for a worker."""
        context = self.context
        job.waiting, job.queued = True, context.now
        last = job.give_up - context.settings.answer_grace
        strict, told = job.spec.late_worth <= 0, context.settings.tells_start
        pace = context.mean_pace() if (job.hedged if strict else told) else 1.0  # else it has queues in it
        slack = job.spec.objective + (job.spec.stretch - pace) * job.work
        # Some are always tried, or nobody would learn that what was slow is not slow any more.
        in_time = job.came + int(max(slack, job.spec.objective * SIGN_LEAST))
        self._place(job, not strict and in_time <= context.now)
        if not strict:
            context.after(in_time, self._place, job)
        elif job.hedged or job.never_ran():
            last = min(last, in_time)  # held longer, it would only take the place of one in time
        if last <= context.now:
            self._expire(job)
        else:
            context.after(last, self._expire, job)

    def _place(self, job: Job, late: bool = True) -> None:
        """Late ones stand by what they still earn, at equal worth behind all that can be in time."""
        if job.waiting:
            self.sequence += 1
            rank, order = (job.rank * job.spec.late_worth, job.give_up) if late else (job.rank, job.came)
            job.queue.push((rank, order, self.sequence, job))

    def _expire(self, job: Job) -> None:
        """A held job is answered in time; one that waits at a worker would only make others late as well."""
        if job.waiting:
            job.waiting = False
            self._conclude(job, io.GaveUp.OUT_OF_TIME)
        elif job.hedged and not job.answered and not any(attempt.begun for attempt in job.attempts):
            self.attempts.call_off(job)

    def _conclude(self, job: Job, why: io.GaveUp) -> None:
        """The final answer of a job that will not be served: a refusal only where nothing can have run."""
        if job.answered or job.open:
            return
        job.answered = True
        del self.jobs[job.id]
        if job.harmless():
            self.context.actions.append(io.Refuse(job.id, self.context.away(job), why))
        else:
            self.context.actions.append(io.Fail(job.id, why))

    def _abandon(self, event: io.Abandoned) -> None:
        if (job := self.jobs.get(event.request)) and not job.answered:
            self._finish(job)

    def _finish(self, job: Job) -> None:
        """The request has its final answer: what is still out is called off, nothing more is sent."""
        job.answered, job.waiting = True, False
        self.attempts.call_off(job)
        if not job.open:
            self.jobs.pop(job.id, None)

    def _stream(self, event: io.StreamStarted) -> None:
        if (attempt := self.context.attempt(event)) is not None:
            attempt.job.streaming = True
            self.ejector.heard(attempt.worker)

    def _release(self) -> None:
        ring = self.tenants.ring
        while (queue := ring.select(self._dispatchable)) is not None:
            job = ring.charge(queue)
            if job.choice:
                self.attempts.send(job, job.choice)
            else:  # no eligible worker: it proceeds, to fail
                self._conclude(job, io.GaveUp.NO_WORKER)
        put_back(ring.queues)

    def _dispatchable(self, job: Job) -> bool:
        """Unless every eligible worker is busy; a blocked head looks again when one frees up."""
        context = self.context
        known = context.now < job.look_at and job.list_seen == context.fleet.version
        if known and not (job.key and context.freed):  # one of them may be the key's home
            estimate = self.selector.estimate
            job.choice = next((worker for worker in context.freed if estimate(worker, job) is not None), None)
            return job.choice is not None or job.queue.pass_over(job)
        job.choice = self.selector.best(job, pool := self.selector.eligible(job))
        if job.choice or not pool or job.spared:
            return True
        job.narrow = len(pool) < len(context.fleet.pool(job.spec.kind)) or (
            job.work > context.mean_work and any(self.slow_start.is_cold(worker) for worker in pool)
        )
        job.list_seen = context.fleet.version
        job.look_at = context.now + max(4000, min(job.spec.objective // 8, 200_000))
        context.after(job.look_at, context.nothing)
        self.reports.ask(job)
        return job.queue.pass_over(job)

    def _end(self, event: io.Outcome) -> None:
        if not (attempt := self.context.attempt(event)) or not attempt.open:
            return
        job = attempt.job
        self.attempts.end(attempt, event)
        if not job.answered and event.finished:
            self._finish(job)
        elif not job.open and job.answered:
            self.jobs.pop(job.id, None)
        elif not (job.open or job.streaming or job.waiting):
            self._retry(job, attempt)

    def _retry(self, job: Job, attempt: Attempt) -> None:
        """Back to its heap where another try is allowed; else the final answer."""
        settings = self.context.settings
        spent = job.spent(settings.try_limit) or self.context.now >= job.give_up - settings.answer_grace
        if spent or (job.spec.effect is io.Effect.UNSAFE and not job.never_ran()):
            self._conclude(job, io.GaveUp.NO_RETRY)
        else:
            job.queue.deficit += 0.0 if attempt.may_have_run else job.cost  # as if it had never left the heap
            self.enqueue(job)
