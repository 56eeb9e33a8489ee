"""Timers: callbacks that run at a time of the caller's clock.  No scheduling decisions."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

from carthinge.records import MIN_COMPACT_SIZE, Attempt, Job


class Timers:
    """A heap of callbacks, run in order of their due times and then of their insertion.

    Timers whose job or attempt is over are removed before they outnumber the others, so memory use follows
    the number of open jobs and not the job rate times the deadline.
    """

    __slots__ = ("compact_at", "count", "heap", "wake_at")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[..., None], Job | Attempt | None]] = []
        self.count = self.wake_at = 0
        self.compact_at = MIN_COMPACT_SIZE

    def add(self, due: int, callback: Callable[..., None], subject: Job | Attempt | None = None) -> None:
        """Run ``callback`` at ``due``, with the job or attempt that it is about."""
        self.count += 1
        if len(self.heap) >= self.compact_at:
            self.heap = [timer for timer in self.heap if timer[3] is None or not timer[3].is_settled()]
            heapify(self.heap)
            self.compact_at = max(MIN_COMPACT_SIZE, 2 * len(self.heap))
        heappush(self.heap, (due, self.count, callback, subject))

    def run(self, now: int) -> None:
        """Run all callbacks that are due, including those that they add."""
        while self.heap and self.heap[0][0] <= now:
            _, _, callback, subject = heappop(self.heap)
            callback(subject) if subject is not None else callback()

    def wake(self, now: int) -> int:
        """Return when to wake, 0 for no change: one wake is pending unless an earlier timer was added."""
        if not self.heap or self.heap[0][0] >= self.wake_at > now:
            return 0
        self.wake_at = max(self.heap[0][0], now + 1)
        return self.wake_at
