"""Worker selection: eligible workers, the sample that is examined, and the estimate for each."""

import math
from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.policy.load_reports import SAMPLE_SIZE, LoadReports
from carthinge.policy.outlier_ejection import UNHEALTHY_ERRORS
from carthinge.policy.slow_start import SlowStart
from carthinge.records import Job, Worker

MIN_SAMPLE_SIZE: Final = 3  # with more, schedulers with equally old reports would pick the same workers
SPARE_SLOT_WORTH_SHARE: Final = 0.5  # of the highest worth: jobs worth less leave one reported slot free
PROBE_WAIT_SHARE: Final = 1 / 16  # of the objective: how long a job waits for its probes
KEY_FETCH_COST: Final = 1.0  # in mean jobs: fetching the data of a key that a worker does not hold
QUEUE_PENALTY: Final = 0.5  # in mean jobs: a queue was seen at the worker
ORDER_PENALTY: Final = 0.1  # in mean jobs: per position in the scheduler's own order
FITTING_WORK_WEIGHT: Final = 0.1  # of work that fits the slots: the least decides among free workers
USABLE_STRETCH: Final = 0.8  # of the stretch: the rest covers errors of hints and slowdowns
KEY_SPREAD_FACTOR: Final = 3.0  # of the workers that a key's jobs fill: each has other keys as well
KEY_HOME_COUNT: Final = 3  # workers that may hold a key, the first most likely
MAX_TYPICAL_WAIT: Final = 0.5  # of the least objective: an assumed wait excludes no worker
MIN_SCHEDULERS_PER_WORKER: Final = 8  # for each worker, where schedulers use subsets


def worker_subset(context: DispatchContext, pool: list[Worker]) -> list[Worker]:
    """Return this scheduler's subset of a large fleet, where connections cost and jobs have no keys."""
    settings = context.settings
    size = max(SAMPLE_SIZE, MIN_SCHEDULERS_PER_WORKER * len(pool) // settings.instances)
    start = settings.position * len(pool) // settings.instances
    use_subset = settings.price_connection > 0 and size < len(pool) and not context.key_shares
    return (pool + pool)[start : start + size] if use_subset else pool


class WorkerSelector:
    """Selects the eligible worker with the least estimated outstanding work."""

    def __init__(self, context: DispatchContext, reports: LoadReports, slow_start: SlowStart) -> None:
        self.context, self.reports, self.slow_start = context, reports, slow_start

    def configure(self, settings: io.Settings) -> None:
        """Derive the parameters of the selection from the settings."""
        self.sample_size = max(MIN_SAMPLE_SIZE, min(SAMPLE_SIZE, 3 * SAMPLE_SIZE // settings.instances))
        # Hardly any of the load at a worker is this scheduler's own.
        self.load_unseen = self.sample_size == MIN_SAMPLE_SIZE
        # Without reports it knows the load only of workers that it uses often.
        self.uses_own_order = self.load_unseen and settings.reports is io.Reports.OFF
        self.max_worth = max(spec.worth for spec in settings.classes)

    def eligible(self, job: Job) -> list[Worker]:
        """Return the listed workers that may get a further attempt of the job."""
        if job.attempts_exhausted(self.context.settings.try_limit):
            return []
        pool = self.context.fleet.pool(job.spec.kind)
        if not job.attempts:
            return pool
        if job.never_ran() or job.spec.scope is io.Scope.ALL:
            # Without a copy: a scan of all workers would cost time in proportion to the fleet.
            return pool if any(self.may_retry(worker, job) for worker in pool) else []
        return [worker for worker in pool if self.may_retry(worker, job)]

    def best(self, job: Job, pool: list[Worker]) -> Worker | None:
        """Return the best of the eligible workers in ``pool``, or None if all are busy."""
        subset = self.context.fleet.subset if job.spec.kind == -1 and job.never_ran() else pool
        cold = self.best_cold(job) if self.context.shedding_level.shedding else None  # all others have a wait
        return (
            cold
            or self._least_loaded(job, subset)
            or (self._least_loaded(job, pool) if subset is not pool else None)
        )

    def best_cold(self, job: Job) -> Worker | None:
        """Return the best cold worker with an allowance: within it, jobs start without a wait."""
        fit = [
            (cost, w.id, w)
            for w in self.slow_start.workers_with_allowance()
            if (cost := self.estimate(w, job)) is not None
        ]
        return min(fit)[2] if fit else None

    def _least_loaded(self, job: Job, pool: list[Worker]) -> Worker | None:
        best, least, ties = None, math.inf, 0
        spread, homes = self.key_homes(job)
        own = (
            self.context.fleet.preference_order(homes[: spread + 1] or pool, self.context.settings)
            if self.uses_own_order
            else []
        )
        for position, worker in enumerate(
            own + [w for w in self.candidates(job, pool, homes) if w not in own]
        ):
            if least <= (step := ORDER_PENALTY * self.context.mean_work * min(position, len(own))) and own:
                break  # no worker further down can be better
            if (estimate := self.estimate(worker, job)) is not None:
                estimate += step + QUEUE_PENALTY * self.context.mean_work * (
                    len(own) > 1 and worker.queued_attempts > 0
                )
                if homes and not self.slow_start.is_cold(worker):  # later homes are likelier to fetch the key
                    distance = max(0, homes.index(worker) - spread) if worker in homes else KEY_HOME_COUNT
                    estimate += KEY_FETCH_COST * self.context.mean_work * distance / KEY_HOME_COUNT
                # Ties are broken at random; else the worker after a run of ineligible ones gets their share.
                ties = 1 if estimate < least else ties + (estimate == least)
                if estimate < least or (estimate == least and self.context.rng.random() * ties < 1):
                    best, least = worker, estimate
        return best

    def key_homes(self, job: Job) -> tuple[int, list[Worker]]:
        """Return how many homes besides the first share the jobs of a key, and its homes.

        All schedulers find the same homes; the number makes up for the jobs of others, which are not seen.
        """
        if not job.key:
            return 0, []
        fleet, others = self.context.fleet, 1 - 1 / self.context.settings.instances
        spread = int(
            KEY_SPREAD_FACTOR * self.context.key_shares.share(job.key) * len(fleet.pool(-1)) * others
        )
        return spread, fleet.workers_for_key(job.key, spread + KEY_HOME_COUNT)

    def candidates(self, job: Job, pool: list[Worker], homes: list[Worker]) -> list[Worker]:
        """Return the workers to examine: the pool, or a sample of a large one."""
        if len(pool) <= SAMPLE_SIZE:
            return pool
        # Weighted by capacity: the independent draws of all schedulers add up to what each worker can do.
        context, rng, groups = self.context, self.context.rng, self.context.fleet.by_kind(pool)
        drawn = [
            group[int(rng.random() * len(group))]
            for group in rng.choices(
                groups, [len(group) * group[0].capacity() for group in groups], k=self.sample_size
            )
        ]
        if self.reports.uses_probes:
            drawn.extend(worker for worker in self.reports.recent_workers if worker.free >= job.slots)
        elif self.load_unseen:  # only this scheduler knows of slots freed by its own jobs
            connected_since = context.now - context.settings.idle_close
            drawn.extend(worker for worker in self.reports.recent_workers if worker.sent_at > connected_since)
        return (
            drawn
            + homes
            + [w for w in self.slow_start.workers_with_allowance() if w.cold_left > 0 and w not in homes]
        )

    def may_retry(self, worker: Worker, job: Job) -> bool:
        """Whether a job may run here after its earlier attempts, which may have run (rule 2).

        A worker that has reported the end of an attempt by a callback gets no further one: it repeats a
        callback that got no answer, and the repeat would end the later attempt while it runs.
        """
        spec, entry = job.spec, worker.entry
        for attempt in job.attempts:
            if attempt.worker.id == worker.id and (attempt.may_have_run or attempt.ended_by_callback):
                return False
            if attempt.may_have_run and (
                spec.effect is io.Effect.UNSAFE
                or (
                    spec.effect is io.Effect.KEYED
                    and (
                        self.context.now >= attempt.sent + spec.window
                        or (spec.scope is io.Scope.ZONE and attempt.entry.zone != entry.zone)
                        or (spec.scope is io.Scope.CELL and attempt.entry.cell != entry.cell)
                    )
                )
            ):
                return False
        return True

    def estimate(self, worker: Worker, job: Job) -> float | None:
        """Return the expected time until the job is done here; None if the worker is busy or not allowed."""
        context, settings, probes = self.context, self.context.settings, self.reports.uses_probes
        now, pool, kind = context.now, worker.kind_stats, job.spec.kind
        if not worker.ready or worker.avoid_until > now or kind not in (-1, worker.entry.kind):
            return None
        if (worker.errors >= UNHEALTHY_ERRORS and worker.outstanding_slots) or (
            worker.queued_attempts and not job.key
        ):
            return None  # one job at a time while it fails; only jobs with a key where a queue is known
        if (job.attempts and not self.may_retry(worker, job)) or not self.slow_start.allows(worker, job):
            return None
        slowdown = context.slowdown(worker)
        if worker.free_at >= 0 and now - worker.free_at < context.mean_work * slowdown / max(1.0, pool.slots):
            # A report is made before the job it comes with ends: slots free by this scheduler's count, too.
            free = worker.free if probes else max(worker.free, pool.slots - worker.total_outstanding_slots())
            if free < job.slots + (probes and -job.rank < SPARE_SLOT_WORTH_SHARE * self.max_worth):
                return None  # jobs of low worth leave a slot for those of high worth
        else:
            cap = min(worker.cap, pool.slots or worker.cap)  # jobs queued there cannot be ordered by worth
            if worker.outstanding_slots and worker.total_outstanding_slots() + job.slots > cap:
                return None
            if probes and now < job.enqueued_at + job.spec.objective * PROBE_WAIT_SHARE:
                return None  # its probes are outstanding
        wait = self._expected_wait(worker, job, slowdown)
        if wait > job.bearable:
            return None  # it would be late and delay others
        if worker.entry.zone != settings.zone:
            wait += settings.price_cross_zone * context.mean_work
        if self.load_unseen and worker.sent_at <= now - settings.idle_close:  # its connection has been closed
            wait += settings.price_connection * context.mean_work
        # The run counts only beyond the job's stretch; else all jobs would crowd the fast workers.
        return wait + max(0.0, slowdown - USABLE_STRETCH * job.spec.stretch) * job.work

    def _expected_wait(self, worker: Worker, job: Job, slowdown: float) -> float:
        """Return the expected time until a slot is free, from own work, peers, start waits and ratings."""
        settings = self.context.settings
        rated = settings.weights is not io.Weights.OFF and worker.entry.rating > 0
        size = worker.kind_stats.slots or (worker.kind_stats.size if rated else 1.0)
        slots = worker.total_outstanding_slots()
        work = (worker.outstanding_work + worker.peer_work) / size
        queued = max(0.0, slots + job.slots - size) / max(slots, 1.0)
        wait = work * (FITTING_WORK_WEIGHT + min(1.0, queued))
        if settings.reports is io.Reports.OFF:  # only the waits for starts show what others have sent
            now, others = self.context.now, 1 - 1 / settings.instances
            typical = min(
                self.context.start_wait.expected(now), MAX_TYPICAL_WAIT * self.context.min_objective()
            )
            typical *= not self.slow_start.is_cold(worker)  # slow start keeps queues off cold workers
            wait = max(wait, others * worker.queue.expected(now, typical))
        if rated and settings.weights is io.Weights.LIVE:
            held = worker.kind_stats.size / worker.entry.rating - 1.0
            wait = max(
                wait / 2,
                (FITTING_WORK_WEIGHT * held + max(0.0, held - 0.9)) * self.context.mean_work * slowdown,
            )
        return wait
