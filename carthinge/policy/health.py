"""Workers that are left alone for a while, and cold ones that get little."""

import math
from typing import Final

from carthinge import interface as io
from carthinge.desk import Desk
from carthinge.fleet import doubts
from carthinge.records import Job, Worker

DOUBT_LIMIT: Final = 0.4  # of the fleet: if more is silent, it is not the workers that are ill
ERRORS_ILL: Final = 2  # in a row: a worker that fails all at once is always free, and would be picked again
WARM_LEAST: Final = 0.5  # of the fleet: with all cold at once, what was served before says too much
COLD_SPREAD: Final = 2.0  # half the deviations of chance that keep a cold worker from being pushed over


class Doubts:
    """Each pause is longer than the one before, until there is a sign that the worker is well."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk

    def heard(self, worker: Worker) -> None:
        """A sign of life: an answer, a start or progress; not a report, which a hung worker sends too."""
        worker.heard_at = self.desk.now
        if worker.strikes:
            worker.strikes = worker.avoid_until = 0

    def failed(self, worker: Worker, result: io.Result) -> None:
        """An attempt ended there as it should not; a full worker is left alone until a slot may be free."""
        desk = self.desk
        if result is io.Result.FULL:
            pause = desk.mean_work * worker.known_pace() / max(1.0, worker.pool.slots)
            pause = min(pause * 2**worker.refusals, max(pause, desk.settings.cold_time))
            worker.refusals += 1
            worker.avoid(desk.now + int(pause * desk.rng.uniform(0.5, 1.5)))
            worker.free_at = -1
        elif result is io.Result.ERROR:
            # Left alone though it tells of starts, unless much of the fleet errs: then it is the jobs.
            worker.errors += 1
            pool = desk.fleet.pool(-1)
            ill = sum(1 for other in pool if other.errors >= ERRORS_ILL and other is not worker)
            if worker.errors >= ERRORS_ILL and ill < max(1.0, DOUBT_LIMIT * len(pool)):
                worker.avoid(desk.now + self._pause(worker.errors - ERRORS_ILL))
        else:
            self.doubt(worker, result is io.Result.CONNECT_FAILED)

    def doubt(self, worker: Worker, certain: bool = False) -> None:
        """A strike, unless the whole fleet looks ill; each of those that are certainly dead gets one."""
        pool = self.desk.fleet.pool(-1)
        doubted = 0 if certain else sum(1 for other in pool if other.strikes)
        if worker.strikes or doubted < max(1.0, DOUBT_LIMIT * len(pool)):
            worker.strikes += 1
            owners = doubts.owners(self.desk.sharers()) if certain else 1.0
            worker.avoid_until = self.desk.now + int(self._pause(worker.strikes - 1) * owners)

    def _pause(self, times: int) -> int:
        """How long to leave a worker alone after so many earlier times."""
        base = 4 * self.desk.shortest()
        pause = min(base * 2.0 ** min(times, 16), max(base, self.desk.settings.cold_time))
        return int(pause * self.desk.rng.uniform(0.75, 1.25))


class ColdBudget:
    """What cold workers may get (rule 4)."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.warm_part, self._warm_until = 1.0, 0  # the mean warmth of the fleet, as seen here
        self.leaving = False  # it is another dispatcher's to send then

    def is_cold(self, worker: Worker) -> bool:
        return worker.started > 0 and self.desk.now < worker.started + self.desk.settings.cold_time

    def allows(self, worker: Worker, job: Job) -> bool:
        """Whether a cold worker may get this job as well."""
        return not self.leaving and job.work <= self.allowance(worker)

    def allowance(self, worker: Worker) -> float:
        """Work that it may still get from here in the present span: the mean served by a worker, or what its
        slots can do, less by how cold it is, and so little that chance does not push it over."""
        if not worker.near:  # others have it in their part, and share its allowance among them
            return 0.0
        desk, settings = self.desk, self.desk.settings
        slot = (desk.now - worker.started) // max(1, settings.fall_window)
        if slot != worker.cold_slot:
            worker.cold_slot = slot
            near, sharers = max(1, len(desk.fleet.near)), desk.sharers()
            if desk.now >= self._warm_until:  # the warm ones serve most of what is served
                self._warm_until = desk.now + settings.fall_window
                self.warm_part = max(WARM_LEAST, sum(self._warmth(other) for other in desk.fleet.near) / near)
            # Refusals must not raise it: work sent does not count.
            served = desk.served.per_s / 1e6 / self.warm_part / near
            shown = worker.pool.slots / worker.known_pace() / sharers
            own = self._warmth(worker) * max(served, shown) * settings.fall_window / desk.mean_work
            safe = (math.sqrt(COLD_SPREAD**2 + settings.fall_multiple * own * sharers) - COLD_SPREAD) ** 2
            jobs = own * min(1.0, safe / max(own * sharers, 1e-9))
            worker.cold_left = math.floor(jobs + desk.rng.random()) * desk.mean_work
        return worker.cold_left

    def _warmth(self, worker: Worker) -> float:
        """The part of its capacity that a worker surely has by now."""
        settings = self.desk.settings
        risen = (self.desk.now - worker.started) / settings.cold_time if self.is_cold(worker) else 1.0
        return settings.cold_start_share + (1 - settings.cold_start_share) * max(0.0, risen)
