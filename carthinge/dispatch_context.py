"""State shared by the components of a dispatcher: time, fleet, open jobs, meters and pending actions."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import TYPE_CHECKING, Final

from carthinge import interface as io
from carthinge.fleet import retry_after
from carthinge.fleet.load_shedding import SheddingLevel, shedding_rank
from carthinge.fleet.retry_budget import RetryBudget
from carthinge.meters import KeyPopularity, QueueWait, Rate
from carthinge.records import Attempt, Job, Worker, mix
from carthinge.timers import Timers
from carthinge.worker_registry import Fleet, Loads

if TYPE_CHECKING:
    from carthinge.fleet.shared_shedding import SharedSheddingLevel

MIN_CAPACITY_SHARE: Final = 0.01  # settings may give a share of 0, and slowdowns are divided by it


class DispatchContext:
    """The state of one dispatcher, passed to each of its components; makes no scheduling decisions."""

    __slots__ = (
        "_capacity_valid_until",
        "_mean_capacity_share",
        "_warm_worker_count",
        "actions",
        "arrival_rate",
        "call_at",
        "fleet",
        "freed_workers",
        "jobs",
        "key_shares",
        "mean_work",
        "now",
        "retry_budget",
        "rng",
        "served_rate",
        "settings",
        "shared_level",
        "shedding_level",
        "start_wait",
        "timers",
        "warm_worker_rate",
    )

    def __init__(
        self,
        settings: io.Settings,
        seed: int,
        choose_subset: Callable[[DispatchContext, list[Worker]], list[Worker]],
    ) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.actions: list[io.Action] = []
        self.jobs: dict[int, Job] = {}
        self.fleet = Fleet(
            settings.price_connection > 0 and settings.price_fetch <= 0,
            lambda pool: choose_subset(self, pool),
        )
        self.freed_workers: list[Worker] = []  # a slot may have been freed in this call
        self.timers = Timers()
        self.call_at = self.timers.add
        self.mean_work = float(self.min_objective())
        self.served_rate, self.arrival_rate = Rate(), Rate()
        self.shedding_level, self.retry_budget = (
            SheddingLevel(self.min_objective()),
            RetryBudget(settings.instances),
        )
        self.shared_level: SharedSheddingLevel | None = None  # only with peers
        self.key_shares, self.start_wait = KeyPopularity(), QueueWait()
        self.warm_worker_rate = Rate()  # work that a mean warm worker serves for this dispatcher
        self._mean_capacity_share, self._warm_worker_count, self._capacity_valid_until = 1.0, 0, 0

    def configure(self, settings: io.Settings, all_new: bool) -> None:
        """Apply new settings; where all classes are new, forget what was learned from earlier jobs."""
        self.settings = settings
        self.retry_budget.resize(settings.instances)
        if all_new:
            self.mean_work = float(self.min_objective())
            self.shedding_level.tolerable_wait = max(1.0, self.mean_work)
            self.served_rate, self.arrival_rate, self.warm_worker_rate = Rate(), Rate(), Rate()

    def min_objective(self) -> int:
        """Return the least objective of all classes."""
        return min(spec.objective for spec in self.settings.classes)

    def capacity_share(self, worker: Worker, at: int = -1) -> float:
        """Return the least share of its full capacity that a worker has at a time (by default now).

        The share rises linearly over the cold time, or sooner.
        """
        age = (self.now if at < 0 else at) - worker.started
        start_share = max(MIN_CAPACITY_SHARE, self.settings.cold_start_share)
        if worker.started <= 0 or age >= self.settings.cold_time:
            return 1.0
        return start_share + (1 - start_share) * max(0, age) / self.settings.cold_time

    def slowdown(self, worker: Worker, at: int = -1) -> float:
        """Return running time over hinted work for a job that starts there at a time (by default now)."""
        return worker.known_slowdown() / self.capacity_share(worker, at)

    def _update_capacity(self) -> None:
        """Update the mean capacity share of this dispatcher's subset, once in a window of rule 4."""
        if self.now >= self._capacity_valid_until:
            self._capacity_valid_until = self.now + max(1, self.settings.fall_window)
            shares = [self.capacity_share(worker) for worker in self.fleet.subset]
            self._mean_capacity_share, self._warm_worker_count = (
                sum(shares) / len(shares) if shares else 1.0,
                shares.count(1.0),
            )

    def mean_slowdown(self) -> float:
        """Return the present slowdown of a mean worker."""
        self._update_capacity()
        return self.fleet.mean_slowdown() / self._mean_capacity_share

    def expected_run_time(self, attempt: Attempt) -> float:
        """Return the run time of a started attempt by its hint, plus the objective as a margin of error."""
        return attempt.job.work * self.slowdown(attempt.worker, attempt.begun) + attempt.job.spec.objective

    def find_attempt(self, event: io.ProgressReport | io.Outcome | io.StreamStarted) -> Attempt | None:
        """Return the attempt that an event names, or None if its job is unknown."""
        job = self.jobs.get(event.request)
        return job.attempts[event.attempt] if job and event.attempt < len(job.attempts) else None

    def encode_loads(self) -> bytes:
        """Encode the outstanding work of this dispatcher as a message."""
        return Loads.pack(self.fleet.workers.values(), self.rng)

    def should_shed(self, job: Job, over_share: bool, event: io.Arrival) -> bool:
        """Whether the shedding level refuses a new job; a client's retry is charged to the retry budget."""
        if event.repeat:
            self.retry_budget.spend()
        spec = job.spec
        if spec.late_worth > 0:  # a refusal would lose more than the delay that the job causes
            return False
        slowdown = self.mean_slowdown()
        slack = spec.objective + (spec.stretch - slowdown) * job.work
        worth = spec.worth if self.settings.worth_by_work else spec.worth / job.cost
        rank = shedding_rank(over_share, job.came + slack > self.now, worth)
        tolerable_wait = max(slack, spec.objective / 4)
        point = mix(job.key or self.settings.position << 40 ^ job.id)
        shed = self.shedding_level.sheds(
            rank, job.work, tolerable_wait, point, self._unqueued_run_time(), self.now
        )
        if self.shared_level is not None:
            shared_shed = self.shared_level.sheds(
                (event.tenant, event.job_class), rank, job.work, point, self.now
            )
            self.shedding_level.shed += shared_shed and not shed
            shed |= shared_shed
        if line := self.shedding_level.log_line(self.now):
            self.actions.append(io.LogLine(line))
        return shed

    def _unqueued_run_time(self) -> float:
        """Return the run time within a measured wait: 0 where starts are reported, else a mean run."""
        return 0.0 if self.settings.tells_start else self.mean_slowdown() * self.mean_work

    def set_agreed_levels(self, levels: Mapping[tuple[int, int], int]) -> None:
        """Set the levels agreed with peers; the first call starts the shared level."""
        if self.shared_level is None:
            from carthinge.fleet.shared_shedding import SharedSheddingLevel

            self.shared_level = SharedSheddingLevel()
        self.shared_level.agreed = levels

    def own_shedding_levels(self, now: int) -> dict[tuple[int, int], int]:
        """Return this dispatcher's own shedding levels for the agreement with peers."""
        return (
            self.shared_level.own_levels(self.shedding_level.kept_share(self._unqueued_run_time(), now), now)
            if self.shared_level is not None
            else {}
        )

    def retries_need_budget(self) -> bool:
        """Whether the retry of a silent attempt needs budget.

        Not where queues are reported and short: silence then mostly means that the worker hangs.
        """
        return self.settings.reports is io.Reports.OFF or self.shedding_level.shedding

    def attempt_started(self, wait: float) -> None:
        """Record that an attempt has started after ``wait``."""
        self.shedding_level.waiting -= 1
        self.shedding_level.record_wait(wait, self.now)

    def attempt_ended(self, attempt: Attempt, served: bool) -> None:
        """Record the end of an attempt; where its start was not reported, time beyond its run is a wait."""
        self.shedding_level.record_end(attempt.begun > 0, served, self.now)
        if served:
            self._update_capacity()
            self.served_rate.add(attempt.job.work, self.now)
            if self.capacity_share(attempt.worker) == 1:  # slow start limits what cold workers serve
                self.warm_worker_rate.add(attempt.job.work / max(1, self._warm_worker_count), self.now)
        if served and not attempt.begun:
            run_time = attempt.job.work * self.slowdown(attempt.worker)
            self.shedding_level.record_wait(self.now - attempt.sent - run_time, self.now)

    def schedulers_per_worker(self) -> float:
        """Return how many schedulers, this one included, have a worker of this one's subset in theirs."""
        return self.settings.instances * max(1, len(self.fleet.subset)) / max(1, len(self.fleet.pool(-1)))

    def retry_after_us(self, job: Job) -> int:
        """Return the delay before a refused client may retry; 0 where the settings give none."""
        settings = self.settings
        capacity_wait = retry_after.time_until_capacity(
            len(self.jobs) * self.mean_work, self.served_rate.current(self.now)
        )
        point = mix(settings.position << 40 ^ job.id)
        limit = settings.max_retry_after * settings.may_send_retry_after
        return retry_after.compute_retry_after(capacity_wait, job.spec.objective, limit, point)

    def request_watch(self) -> None:
        """Request a watch on discovery."""
        self.actions.append(io.Watch())

    def no_op(self, _: io.Timer | None = None) -> None:
        """Do nothing: due timers and dispatching follow every call of the dispatcher."""
