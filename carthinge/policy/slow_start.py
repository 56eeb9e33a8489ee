"""Slow start: what a worker that has just started may get, over the sum of all schedulers (rule 4).

Its capacity rises evenly over the settings' cold time.  Each scheduler takes a random part of what all of
them together may send in a window, so that chance does not push the worker over.  Work is in microseconds.
"""

import math
from typing import Final

from carthinge.dispatch_context import DispatchContext
from carthinge.records import Job, Worker

COLD_SPREAD: Final = 2.0  # half the deviations of chance that keep a cold worker from being pushed over


class SlowStart:
    """What cold workers may get (rule 4)."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context
        self.leaving = False  # it is another dispatcher's to send then
        self._span, self._granted = -1, list[Worker]()

    def is_cold(self, worker: Worker) -> bool:
        """Whether a worker has not warmed up yet."""
        return self.context.warmth(worker) < 1

    def allows(self, worker: Worker, job: Job) -> bool:
        """Whether a worker may get this job as well: a warm one any, a cold one within its allowance."""
        return not self.is_cold(worker) or (not self.leaving and job.work <= self.allowance(worker))

    def granted(self) -> list[Worker]:
        """Those that may get something from here in the present span: hundreds share what a cold worker may
        have, so each has a part of it now and then, which is lost unless it is looked for."""
        span, near = self.context.now // max(1, self.context.settings.fall_window), self.context.fleet.near
        if span != self._span:
            self._span, self._granted = span, [w for w in near if self.is_cold(w) and self.allowance(w) > 0]
        return self._granted

    def allowance(self, worker: Worker) -> float:
        """Work that it may still get from here in the present span: what a warm worker carries, or what its
        slots can do, less by how cold it is, and so little that chance does not push it over."""
        if not worker.near:  # others have it in their part, and share its allowance among them
            return 0.0
        context, settings = self.context, self.context.settings
        if worker.cold_slot != (span := context.now // max(1, settings.fall_window)):
            worker.cold_slot = span
            sharers = context.sharers()
            # Refusals must not raise it: work sent does not count.  One slot it has, whatever was shown.
            shown = max(1.0, worker.pool.slots) / worker.known_pace() / sharers
            carried = max(shown, context.carried.per_s / 1e6)
            own = context.warmth(worker) * carried * settings.fall_window / context.mean_work
            safe = (math.sqrt(COLD_SPREAD**2 + settings.fall_multiple * own * sharers) - COLD_SPREAD) ** 2
            worker.cold_left = math.floor(min(own, safe / sharers) + context.rng.random()) * context.mean_work
        return worker.cold_left
