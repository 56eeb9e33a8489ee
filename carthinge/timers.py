"""Calls that are due at a time of the caller's clock; no decisions."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

from carthinge.records import SMALL_HEAP, Attempt, Job


class Timers:
    """Calls that are due at a time, in the order of their times and then of their entry.

    One whose subject is over is swept out before the heap holds more of those than of all others: memory
    follows what is open, and not the rate of jobs times their deadlines.
    """

    __slots__ = ("count", "heap", "most", "wake_at")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[..., None], Job | Attempt | None]] = []
        self.count = self.wake_at = 0
        self.most = SMALL_HEAP

    def add(self, due: int, call: Callable[..., None], subject: Job | Attempt | None = None) -> None:
        """Make a call about a job or an attempt once its time has come."""
        self.count += 1
        if len(self.heap) >= self.most:
            self.heap = [timer for timer in self.heap if timer[3] is None or not timer[3].over()]
            heapify(self.heap)
            self.most = max(SMALL_HEAP, 2 * len(self.heap))
        heappush(self.heap, (due, self.count, call, subject))

    def run(self, now: int) -> None:
        """Makes all calls that are due, those that they add included."""
        while self.heap and self.heap[0][0] <= now:
            _, _, call, subject = heappop(self.heap)
            call(subject) if subject is not None else call()

    def wake(self, now: int) -> int:
        """When to wake, 0 for no need: at most one wake is pending, unless an earlier need comes up."""
        if not self.heap or self.heap[0][0] >= self.wake_at > now:
            return 0
        self.wake_at = max(self.heap[0][0], now + 1)
        return self.wake_at
