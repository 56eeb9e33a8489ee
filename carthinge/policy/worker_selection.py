"""Which worker a job goes to: who may take it, who is looked at, and when each would have it done."""

import math
from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.policy.load_reports import SAMPLE, LoadReports
from carthinge.policy.outlier_ejection import ERRORS_ILL
from carthinge.policy.slow_start import SlowStart
from carthinge.records import Job, Worker

SAMPLE_LEAST: Final = 3  # with many gateways on the same late news, more would herd to the best
SPARE_WORTH: Final = 0.5  # of the dearest work: what is worth less leaves one reported slot free
PROBE_WAIT: Final = 1 / 16  # of the objective: how long a head waits for probes it caused
FETCH_WORK: Final = 1.0  # of a mean job: what a worker that does not keep the key is taken to fetch
LINE_WORK: Final = 0.5  # of a mean job: the same for a line seen there
STEP_WORK: Final = 0.1  # of a mean job: by what each worker further down its own order puts a gateway off
TIE_WORK: Final = 0.1  # of outstanding work that fits its slots: least work decides among free workers
STRETCH_USED: Final = 0.8  # of the stretch: the rest is for what a hint or a pace is off
KEY_WIDE: Final = 3.0  # times the workers that a key's part of all jobs fills: each has other keys as well
KEY_HOMES: Final = 3  # workers that may keep a key, the first most likely
QUEUE_USUAL: Final = 0.5  # of the least objective, at the most: what is not seen keeps no worker out
NEAR_COVER: Final = 8  # gateways to a worker, at the least, where each keeps to a part of the fleet


def near(context: DispatchContext, pool: list[Worker]) -> list[Worker]:
    """This gateway's even part of a large fleet, where connections have a price and jobs carry no keys."""
    settings = context.settings
    size = max(SAMPLE, NEAR_COVER * len(pool) // settings.instances)
    start = settings.position * len(pool) // settings.instances
    apart = settings.price_connection > 0 and size < len(pool) and not context.heat
    return (pool + pool)[start : start + size] if apart else pool


class WorkerSelector:
    """The eligible worker with the least estimated outstanding work."""

    def __init__(self, context: DispatchContext, reports: LoadReports, cold: SlowStart) -> None:
        self.context, self.reports, self.slow_start = context, reports, cold

    def adopt(self, settings: io.Settings) -> None:
        """Derive what the selection needs from the settings."""
        self.draws = max(SAMPLE_LEAST, min(SAMPLE, 3 * SAMPLE // settings.instances))
        self.blind = self.draws == SAMPLE_LEAST  # what is at a worker is hardly ever from here
        self.apart = self.blind and settings.reports is io.Reports.OFF  # what it draws it does not see
        self.top_worth = max(spec.worth for spec in settings.classes)

    def eligible(self, job: Job) -> list[Worker]:
        """The listed workers where a further attempt is allowed at all."""
        if job.spent(self.context.settings.try_limit):
            return []
        pool = self.context.fleet.pool(job.spec.kind)
        if job.never_ran() or (job.spec.scope is io.Scope.ALL and any(self.may_repeat(w, job) for w in pool)):
            return pool  # whole and as it is: to look through it would cost more the larger it is
        return [worker for worker in pool if self.may_repeat(worker, job)]

    def best(self, job: Job, pool: list[Worker]) -> Worker | None:
        """Of the eligible ones in ``pool``; None where all are busy."""
        near = self.context.fleet.near if job.spec.kind == -1 and job.never_ran() else pool
        first = self.at_once(job) if self.context.level.up else None  # all others are waited for
        return first or self._least(job, near) or (self._least(job, pool) if near is not pool else None)

    def at_once(self, job: Job) -> Worker | None:
        """The best of the cold workers that may have it from here: nobody sends more than they can begin."""
        fit = [
            (cost, w.id, w) for w in self.slow_start.granted() if (cost := self.estimate(w, job)) is not None
        ]
        return min(fit)[2] if fit else None

    def _least(self, job: Job, pool: list[Worker]) -> Worker | None:
        best, least, ties = None, math.inf, 0
        wide, homes = self.homes(job)
        own = self.context.fleet.order(homes[: wide + 1] or pool, self.context.settings) if self.apart else []
        for place, worker in enumerate(own + [w for w in self.candidates(job, pool, homes) if w not in own]):
            if least <= (step := STEP_WORK * self.context.mean_work * min(place, len(own))) and own:
                break  # none that is further down can be better
            if (estimate := self.estimate(worker, job)) is not None:
                estimate += step + LINE_WORK * self.context.mean_work * (len(own) > 1 and worker.in_line > 0)
                if homes and not self.slow_start.is_cold(
                    worker
                ):  # the further off, the likelier to fetch the key
                    far = max(0, homes.index(worker) - wide) if worker in homes else KEY_HOMES
                    estimate += FETCH_WORK * self.context.mean_work * far / KEY_HOMES
                # Ties are drawn for; else the next in line after ineligible ones gets their part.
                ties = 1 if estimate < least else ties + (estimate == least)
                if estimate < least or (estimate == least and self.context.rng.random() * ties < 1):
                    best, least = worker, estimate
        return best

    def homes(self, job: Job) -> tuple[int, list[Worker]]:
        """Where all look for a job's key, and at how many besides the first: others' jobs are not seen."""
        if not job.key:
            return 0, []
        fleet, others = self.context.fleet, 1 - 1 / self.context.settings.instances
        wide = int(KEY_WIDE * self.context.heat.share(job.key) * len(fleet.pool(-1)) * others)
        return wide, fleet.homes(job.key, wide + KEY_HOMES)

    def candidates(self, job: Job, pool: list[Worker], homes: list[Worker]) -> list[Worker]:
        """The workers that are looked at."""
        if len(pool) <= SAMPLE:
            return pool
        # What all draw with nothing to go by adds up by chance alone: to what each worker can do.
        context, rng, groups = self.context, self.context.rng, self.context.fleet.by_kind(pool)
        drawn = [
            group[int(rng.random() * len(group))]
            for group in rng.choices(
                groups, [len(group) * group[0].strength() for group in groups], k=self.draws
            )
        ]
        if self.reports.asks:
            drawn.extend(worker for worker in self.reports.latest if worker.free >= job.slots)
        elif self.blind:  # where a job from here has just ended is a slot that no other gateway was told of
            since = context.now - context.settings.idle_close
            drawn.extend(worker for worker in self.reports.latest if worker.sent_at > since)
        return drawn + homes + [w for w in self.slow_start.granted() if w.cold_left > 0 and w not in homes]

    def may_repeat(self, worker: Worker, job: Job) -> bool:
        """Whether a job may run here too, where earlier attempts may have run (rule 2)."""
        spec, here = job.spec, worker.entry
        for attempt in job.attempts:
            if attempt.may_have_run and (
                attempt.worker.id == worker.id
                or spec.effect is io.Effect.UNSAFE
                or (
                    spec.effect is io.Effect.KEYED
                    and (
                        self.context.now >= attempt.sent + spec.window
                        or (spec.scope is io.Scope.ZONE and attempt.entry.zone != here.zone)
                        or (spec.scope is io.Scope.CELL and attempt.entry.cell != here.cell)
                    )
                )
            ):
                return False
        return True

    def estimate(self, worker: Worker, job: Job) -> float | None:
        """Time until this worker would have the job done, None where it may not have it or is busy."""
        context, settings, asks = self.context, self.context.settings, self.reports.asks
        now, pool, kind = context.now, worker.pool, job.spec.kind
        if not worker.ready or worker.avoid_until > now or kind not in (-1, worker.entry.kind):
            return None
        if (worker.errors >= ERRORS_ILL and worker.slots_out) or (worker.in_line and not job.key):
            return None  # one at a time while it errs; others have its slots, but elsewhere is a key fetched
        if (job.attempts and not self.may_repeat(worker, job)) or not self.slow_start.allows(worker, job):
            return None
        pace = context.pace(worker)
        if worker.free_at >= 0 and now - worker.free_at < context.mean_work * pace / max(1.0, pool.slots):
            # A report is older than the outcome it came with: a slot that is free from here counts too.
            free = worker.free if asks else max(worker.free, pool.slots - worker.held())
            if free < job.slots + (asks and -job.rank < SPARE_WORTH * self.top_worth):
                return None  # cheap work leaves a slot for dear work
        else:
            cap = min(worker.cap, pool.slots or worker.cap)  # more would wait there, out of reach of worth
            if worker.slots_out and worker.held() + job.slots > cap:
                return None
            if asks and now < job.queued + job.spec.objective * PROBE_WAIT:
                return None  # its probes are on their way
        wait = self._wait(worker, job, pace)
        if wait > job.bearable:
            return None  # it would only come late, and make others late
        if worker.entry.zone != settings.zone:
            wait += settings.price_cross_zone * context.mean_work
        if self.blind and worker.sent_at <= now - settings.idle_close:  # its connection is closed by now
            wait += settings.price_connection * context.mean_work
        # Its own run counts only beyond what its aim grants for it; else all would crowd the fast workers.
        return wait + max(0.0, pace - STRETCH_USED * job.spec.stretch) * job.work

    def _wait(self, worker: Worker, job: Job, pace: float) -> float:
        """Time until a slot frees up, from the work that this gateway, peers and the list know of."""
        settings = self.context.settings
        rated = settings.weights is not io.Weights.OFF and worker.entry.rating > 0
        size = worker.pool.slots or (worker.pool.size if rated else 1.0)
        slots = worker.held()
        work = (worker.work_out + worker.peer_work) / size
        queued = max(0.0, slots + job.slots - size) / max(slots, 1.0)
        wait = work * (TIE_WORK + min(1.0, queued))
        if settings.reports is io.Reports.OFF:  # nothing else tells what others have sent there
            now, others = self.context.now, 1 - 1 / settings.instances
            usual = min(self.context.queue.left(now), QUEUE_USUAL * self.context.shortest())
            usual *= not self.slow_start.is_cold(worker)  # which all together send no more than it can do
            wait = max(wait, others * worker.queue.left(now, usual))
        if rated and settings.weights is io.Weights.LIVE:
            held = worker.pool.size / worker.entry.rating - 1.0
            wait = max(wait / 2, (TIE_WORK * held + max(0.0, held - 0.9)) * self.context.mean_work * pace)
        return wait
