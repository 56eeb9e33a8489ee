"""Outlier ejection: workers that fail or are silent are left alone for a while.

Each pause is longer than the one before, until the worker gives a sign of life.  Times are microseconds.
"""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.fleet import probe_backoff
from carthinge.records import Worker

DOUBT_LIMIT: Final = 0.4  # of the fleet: if more is silent, it is not the workers that are ill
ERRORS_ILL: Final = 2  # in a row: a worker that fails all at once is always free, and would be picked again


class OutlierEjector:
    """Each pause is longer than the one before, until there is a sign that the worker is well."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context

    def heard(self, worker: Worker) -> None:
        """A sign of life: an answer, a start or progress; not a report, which a hung worker sends too."""
        worker.heard_at = self.context.now
        if worker.strikes:
            worker.strikes = worker.avoid_until = 0

    def failed(self, worker: Worker, result: io.Result) -> None:
        """An attempt ended there as it should not; a full worker is left alone until a slot may be free."""
        context = self.context
        if result is io.Result.FULL:
            pause = context.mean_work * context.pace(worker) / max(1.0, worker.pool.slots)
            pause = min(pause * 2**worker.refusals, max(pause, context.settings.cold_time))
            worker.refusals += 1
            worker.avoid(context.now + int(pause * context.rng.uniform(0.5, 1.5)))
            worker.free_at = -1
        elif result is io.Result.ERROR:
            # Left alone though it tells of starts, unless much of the fleet errs: then it is the jobs.
            worker.errors += 1
            pool = context.fleet.pool(-1)
            ill = sum(1 for other in pool if other.errors >= ERRORS_ILL and other is not worker)
            if worker.errors >= ERRORS_ILL and ill < max(1.0, DOUBT_LIMIT * len(pool)):
                worker.avoid(context.now + self._pause(worker.errors - ERRORS_ILL))
        else:
            self.doubt(worker, result is io.Result.CONNECT_FAILED)

    def doubt(self, worker: Worker, certain: bool = False) -> None:
        """A strike, unless the whole fleet looks ill; each of those that are certainly dead gets one."""
        pool = self.context.fleet.pool(-1)
        doubted = 0 if certain else sum(1 for other in pool if other.strikes)
        if worker.strikes or doubted < max(1.0, DOUBT_LIMIT * len(pool)):
            worker.strikes += 1
            factor = probe_backoff.factor(self.context.sharers()) if certain else 1.0
            worker.avoid_until = self.context.now + int(self._pause(worker.strikes - 1) * factor)

    def _pause(self, times: int) -> int:
        """How long to leave a worker alone after so many earlier times."""
        base = 4 * self.context.shortest()
        pause = min(base * 2.0 ** min(times, 16), max(base, self.context.settings.cold_time))
        return int(pause * self.context.rng.uniform(0.75, 1.25))
