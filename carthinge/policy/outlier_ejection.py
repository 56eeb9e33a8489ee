"""Outlier ejection: workers that fail or are silent get no jobs for a while.  Times are microseconds."""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.fleet import probe_backoff
from carthinge.records import Worker

MAX_SUSPECTED_SHARE: Final = 0.4  # of the fleet: if more are suspected, the cause is not the workers
UNHEALTHY_ERRORS: Final = 2  # in a row; a worker that fails every job at once is always free


class OutlierEjector:
    """Ejects unhealthy workers, each time for longer, until they respond again."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context

    def mark_responsive(self, worker: Worker) -> None:
        """Record a result, start or progress report; not a load report, which a hung worker sends too."""
        worker.heard_at = self.context.now
        if worker.strikes:
            worker.strikes = worker.avoid_until = 0

    def record_failure(self, worker: Worker, result: io.Result) -> None:
        """Record a failed attempt; a full worker is avoided until a slot may be free."""
        context = self.context
        if result is io.Result.FULL:
            pause = context.mean_work * context.slowdown(worker) / max(1.0, worker.kind_stats.slots)
            pause = min(pause * 2**worker.refusals, max(pause, context.settings.cold_time))
            worker.refusals += 1
            worker.avoid(context.now + int(pause * context.rng.uniform(0.5, 1.5)))
            worker.free_at = -1
        elif result is io.Result.ERROR:
            # Starts do not clear errors; if much of the fleet fails, the cause is the jobs.
            worker.errors += 1
            pool = context.fleet.pool(-1)
            unhealthy = sum(1 for other in pool if other.errors >= UNHEALTHY_ERRORS and other is not worker)
            if worker.errors >= UNHEALTHY_ERRORS and unhealthy < max(1.0, MAX_SUSPECTED_SHARE * len(pool)):
                worker.avoid(context.now + self._ejection_time(worker.errors - UNHEALTHY_ERRORS))
        else:
            self.suspect(worker, result is io.Result.CONNECT_FAILED)

    def suspect(self, worker: Worker, certain: bool = False) -> None:
        """Add a strike and eject the worker, unless much of the fleet is suspected; always if ``certain``."""
        pool = self.context.fleet.pool(-1)
        suspected = 0 if certain else sum(1 for other in pool if other.strikes)
        if worker.strikes or suspected < max(1.0, MAX_SUSPECTED_SHARE * len(pool)):
            worker.strikes += 1
            factor = probe_backoff.factor(self.context.schedulers_per_worker()) if certain else 1.0
            worker.avoid_until = self.context.now + int(self._ejection_time(worker.strikes - 1) * factor)

    def _ejection_time(self, earlier: int) -> int:
        """Return the exponential back-off after so many earlier ejections, with jitter."""
        base = 4 * self.context.min_objective()
        pause = min(base * 2.0 ** min(earlier, 16), max(base, self.context.settings.cold_time))
        return int(pause * self.context.rng.uniform(0.75, 1.25))
