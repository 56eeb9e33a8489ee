"""What the parts of a dispatcher share: the time, the fleet, open jobs, meters, and what is to be done."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import TYPE_CHECKING, Final

from carthinge import interface as io
from carthinge.fleet import retry_after
from carthinge.fleet.load_shedding import SheddingLevel, standing
from carthinge.fleet.retry_budget import RetryBudget
from carthinge.meters import Heat, Queue, Rate
from carthinge.records import Attempt, Job, Worker, mix
from carthinge.timers import Timers
from carthinge.worker_registry import Fleet, Loads

if TYPE_CHECKING:
    from carthinge.fleet.shared_shedding import SharedSheddingLevel

WARM_LEAST: Final = 0.01  # guards against settings that tell no share, or 0: paces are divided by warmth


class DispatchContext:
    """Each part is handed the context of its dispatcher, and the parts that it asks.  No decisions."""

    __slots__ = (
        "_warm",
        "_warm_part",
        "_warm_until",
        "actions",
        "after",
        "arrivals",
        "budget",
        "carried",
        "fleet",
        "freed",
        "heat",
        "jobs",
        "level",
        "mean_work",
        "now",
        "queue",
        "rng",
        "served",
        "settings",
        "shared",
        "timers",
    )

    def __init__(
        self, settings: io.Settings, seed: int, part: Callable[[DispatchContext, list[Worker]], list[Worker]]
    ) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.actions: list[io.Action] = []
        self.jobs: dict[int, Job] = {}
        self.fleet = Fleet(
            settings.price_connection > 0 and settings.price_fetch <= 0, lambda pool: part(self, pool)
        )
        self.freed: list[Worker] = []  # where a slot may have come free in this call
        self.timers = Timers()
        self.after = self.timers.add
        self.mean_work = float(self.shortest())
        self.served, self.arrivals = Rate(), Rate()
        self.level, self.budget = SheddingLevel(self.shortest()), RetryBudget(settings.instances)
        self.shared: SharedSheddingLevel | None = None  # with schedulers that talk
        self.heat, self.queue = Heat(), Queue()
        self.carried = Rate()  # work that a mean warm worker has served for this one
        self._warm_part, self._warm, self._warm_until = 1.0, 0, 0

    def adopt(self, settings: io.Settings, anew: bool) -> None:
        """Settings for what comes from now on; ``anew``: none of the classes was known before, so that what
        jobs have shown says nothing of those that come."""
        self.settings = settings
        self.budget.resize(settings.instances)
        if anew:
            self.mean_work = float(self.shortest())
            self.level.bearable = max(1.0, self.mean_work)
            self.served, self.arrivals, self.carried = Rate(), Rate(), Rate()

    def shortest(self) -> int:
        """The least objective of all classes."""
        return min(spec.objective for spec in self.settings.classes)

    def warmth(self, worker: Worker, at: int = -1) -> float:
        """The part of its capacity that a worker surely has then, or by now: it rises evenly or sooner."""
        since = (self.now if at < 0 else at) - worker.started
        least = max(WARM_LEAST, self.settings.cold_start_share)
        if worker.started <= 0 or since >= self.settings.cold_time:
            return 1.0
        return least + (1 - least) * max(0, since) / self.settings.cold_time

    def pace(self, worker: Worker, at: int = -1) -> float:
        """Running time over hinted work of what begins there then, or by now: cold ones are slower."""
        return worker.known_pace() / self.warmth(worker, at)

    def _warm_up(self) -> None:
        """Looks once in the span of rule 4 how warm this one's part of the fleet is."""
        if self.now >= self._warm_until:
            self._warm_until = self.now + max(1, self.settings.fall_window)
            parts = [self.warmth(worker) for worker in self.fleet.near]
            self._warm_part, self._warm = sum(parts) / len(parts) if parts else 1.0, parts.count(1.0)

    def mean_pace(self) -> float:
        """The pace of a mean worker by now."""
        self._warm_up()
        return self.fleet.mean_pace() / self._warm_part

    def span(self, attempt: Attempt) -> float:
        """What a run that has begun takes by its hint, and its aim on top, for what the hint may be off."""
        return attempt.job.work * self.pace(attempt.worker, attempt.begun) + attempt.job.spec.objective

    def attempt(self, event: io.Note | io.Outcome | io.StreamStarted) -> Attempt | None:
        """The one that an event names, while its job is known."""
        job = self.jobs.get(event.request)
        return job.attempts[event.attempt] if job and event.attempt < len(job.attempts) else None

    def loads(self) -> bytes:
        """What is out from here, as a message."""
        return Loads.pack(self.fleet.workers.values(), self.rng)

    def sheds(self, job: Job, over_share: bool, event: io.Arrival) -> bool:
        """Whether a job that has just come is turned away by the level; a client's repeat costs budget."""
        if event.repeat:
            self.budget.spend()
        spec = job.spec
        if spec.late_worth > 0:  # measured: to refuse it loses more than the delay that it adds
            return False
        pace = self.mean_pace()
        slack = spec.objective + (spec.stretch - pace) * job.work
        worth = spec.worth if self.settings.worth_by_work else spec.worth / job.cost
        rank = standing(over_share, job.came + slack > self.now, worth)
        bearable = max(slack, spec.objective / 4)
        point = mix(job.key or self.settings.position << 40 ^ job.id)
        shed = self.level.sheds(rank, job.work, bearable, point, self._run(), self.now)
        if self.shared is not None:
            agreed = self.shared.sheds((event.tenant, event.job_class), rank, job.work, point, self.now)
            self.level.shed += agreed and not shed
            shed |= agreed
        if line := self.level.news(self.now):
            self.actions.append(io.LogLine(line))
        return shed

    def _run(self) -> float:
        """The part of a wait for an answer that is none: where starts are told, waits are for these."""
        return 0.0 if self.settings.tells_start else self.mean_pace() * self.mean_work

    def agree(self, levels: Mapping[tuple[int, int], int]) -> None:
        """What all that talk have come to; from the first time on this one keeps what it needs for that."""
        if self.shared is None:
            from carthinge.fleet.shared_shedding import SharedSheddingLevel

            self.shared = SharedSheddingLevel()
        self.shared.agreed = levels

    def levels(self, now: int) -> dict[tuple[int, int], int]:
        """What this one finds by itself, for the others."""
        return self.shared.told(self.level.kept(self._run(), now), now) if self.shared is not None else {}

    def rationed(self) -> bool:
        """Whether silence costs budget: not where queues are seen and short, for then it mostly is a
        worker that hangs."""
        return self.settings.reports is io.Reports.OFF or self.level.up

    def began(self, wait: float) -> None:
        """An attempt has begun at its worker."""
        self.level.waiting -= 1
        self.level.waited(wait, self.now)

    def ended(self, attempt: Attempt, served: bool) -> None:
        """An attempt has ended; where starts are not told, what its run does not explain was a wait."""
        self.level.ended(attempt.begun > 0, served, self.now)
        if served:
            self._warm_up()
            self.served.add(attempt.job.work, self.now)
            if self.warmth(attempt.worker) == 1:  # cold ones carry what they are let have
                self.carried.add(attempt.job.work / max(1, self._warm), self.now)
        if served and not attempt.begun:
            run = attempt.job.work * self.pace(attempt.worker)
            self.level.waited(self.now - attempt.sent - run, self.now)

    def sharers(self) -> float:
        """How many schedulers, this one included, send to a worker that is near here."""
        return self.settings.instances * max(1, len(self.fleet.near)) / max(1, len(self.fleet.pool(-1)))

    def away(self, job: Job) -> int:
        """How long a client that is refused stays away; 0 where the settings have it told nothing."""
        settings = self.settings
        room = retry_after.until_room(len(self.jobs) * self.mean_work, self.served.left(self.now))
        point = mix(settings.position << 40 ^ job.id)
        most = settings.max_retry_after * settings.may_advise
        return retry_after.stay_away(room, job.spec.objective, most, point)

    def watch(self) -> None:
        """Ask for a watch on discovery."""
        self.actions.append(io.Watch())

    def nothing(self, _: io.Timer | None = None) -> None:
        """A wake matters for the clock alone: what is due is in the heap, and a release follows."""
