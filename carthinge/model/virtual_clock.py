"""Virtual time: scheduled calls, made in the order of their times and then of scheduling."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heappop, heappush
from typing import Any, Final

MICROSECOND: Final = timedelta(microseconds=1)
SECOND: Final = 1_000_000  # microseconds


def micros(duration: timedelta) -> int:
    """Convert a duration to microseconds, the unit of the decision module's interface."""
    return duration // MICROSECOND


class VirtualClock:
    """Makes scheduled calls; ``now`` is the time of the current call in microseconds."""

    __slots__ = ("_heap", "_sequence", "now")

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_at(self, due: int, callback: Callable[..., object], *arguments: Any) -> None:
        """Schedule a call at ``due``, or now if that time is past."""
        self._sequence += 1
        heappush(self._heap, (max(due, self.now), self._sequence, callback, arguments))

    def run(self, until: int) -> None:
        """Make all calls that are due by ``until``, including those scheduled meanwhile."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, arguments = heappop(heap)
            callback(*arguments)
        self.now = max(self.now, until)
