"""Workers that are left alone for a while, and cold ones that get little."""

import math
from typing import Final

from carthinge import interface as io
from carthinge.desk import Desk
from carthinge.fleet import doubts
from carthinge.records import Job, Worker

DOUBT_LIMIT: Final = 0.4  # of the fleet: if more is silent, it is not the workers that are ill
ERRORS_ILL: Final = 2  # in a row: a worker that fails all at once is always free, and would be picked again
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
            pause = desk.mean_work * desk.pace(worker) / max(1.0, worker.pool.slots)
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
        self.leaving = False  # it is another dispatcher's to send then
        self._span, self._granted = -1, list[Worker]()

    def is_cold(self, worker: Worker) -> bool:
        return self.desk.warmth(worker) < 1

    def allows(self, worker: Worker, job: Job) -> bool:
        """Whether a worker may get this job as well: a warm one any, a cold one within its allowance."""
        return not self.is_cold(worker) or not self.leaving and job.work <= self.allowance(worker)

    def granted(self) -> list[Worker]:
        """Those that may get something from here in the present span: hundreds share what a cold worker may
        have, so each has a part of it now and then, which is lost unless it is looked for."""
        span, near = self.desk.now // max(1, self.desk.settings.fall_window), self.desk.fleet.near
        if span != self._span:
            self._span, self._granted = span, [w for w in near if self.is_cold(w) and self.allowance(w) > 0]
        return self._granted

    def allowance(self, worker: Worker) -> float:
        """Work that it may still get from here in the present span: what a warm worker carries, or what its
        slots can do, less by how cold it is, and so little that chance does not push it over."""
        if not worker.near:  # others have it in their part, and share its allowance among them
            return 0.0
        desk, settings = self.desk, self.desk.settings
        if worker.cold_slot != (span := desk.now // max(1, settings.fall_window)):
            worker.cold_slot = span
            sharers = desk.sharers()
            # Refusals must not raise it: work sent does not count.  One slot it has, whatever was shown.
            shown = max(1.0, worker.pool.slots) / worker.known_pace() / sharers
            carried = max(shown, desk.carried.per_s / 1e6)
            own = desk.warmth(worker) * carried * settings.fall_window / desk.mean_work
            safe = (math.sqrt(COLD_SPREAD**2 + settings.fall_multiple * own * sharers) - COLD_SPREAD) ** 2
            worker.cold_left = math.floor(min(own, safe / sharers) + desk.rng.random()) * desk.mean_work
        return worker.cold_left
