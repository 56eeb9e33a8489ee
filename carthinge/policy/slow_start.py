"""Slow start: the work that all schedulers together may send to a restarted worker (rule 4).

Its capacity rises linearly over the cold time.  Each scheduler takes a random part of what all may send in a
window, with a margin so that random bursts do not overload the worker.  Work is in microseconds.
"""

import math
from typing import Final

from carthinge.dispatch_context import DispatchContext
from carthinge.records import Job, Worker

HALF_MARGIN_DEVIATIONS: Final = 2.0  # half the standard deviations of margin below the limit


class SlowStart:
    """Limits the work sent to cold workers (rule 4)."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context
        self.handing_over = False  # while a successor takes over, only it sends to cold workers
        self._window, self._open_workers = -1, list[Worker]()

    def is_cold(self, worker: Worker) -> bool:
        """Whether a worker has not reached its full capacity yet."""
        return self.context.capacity_share(worker) < 1

    def allows(self, worker: Worker, job: Job) -> bool:
        """Whether a worker may get this job too: a cold one only within its allowance."""
        return not self.is_cold(worker) or (not self.handing_over and job.work <= self.allowance(worker))

    def workers_with_allowance(self) -> list[Worker]:
        """Return the cold workers that this scheduler may send to in the current window.

        Where hundreds of schedulers share an allowance, each has a part now and then; it is lost if unused.
        """
        window, subset = (
            self.context.now // max(1, self.context.settings.fall_window),
            self.context.fleet.subset,
        )
        if window != self._window:
            self._window, self._open_workers = (
                window,
                [w for w in subset if self.is_cold(w) and self.allowance(w) > 0],
            )
        return self._open_workers

    def allowance(self, worker: Worker) -> float:
        """Return the work that this scheduler may still send to a worker in the current window.

        It is what a warm worker serves or its slots can do, scaled by the capacity share, less the margin.
        """
        if not worker.in_subset:  # schedulers with it in their subset share its allowance
            return 0.0
        context, settings = self.context, self.context.settings
        if worker.cold_slot != (window := context.now // max(1, settings.fall_window)):
            worker.cold_slot = window
            schedulers = context.schedulers_per_worker()
            # Work sent does not count, so that refusals do not raise it.  A worker has at least one slot.
            slot_rate = max(1.0, worker.kind_stats.slots) / worker.known_slowdown() / schedulers
            rate = max(slot_rate, context.warm_worker_rate.per_s / 1e6)
            mean_jobs = context.capacity_share(worker) * rate * settings.fall_window / context.mean_work
            safe_total = (
                math.sqrt(HALF_MARGIN_DEVIATIONS**2 + settings.fall_multiple * mean_jobs * schedulers)
                - HALF_MARGIN_DEVIATIONS
            ) ** 2
            worker.cold_left = (
                math.floor(min(mean_jobs, safe_total / schedulers) + context.rng.random()) * context.mean_work
            )
        return worker.cold_left
