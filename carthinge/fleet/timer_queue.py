"""Scheduled calls, in the order of their times and then of insertion, without a clock."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heappop, heappush

Call = Callable[[timedelta], None]  # gets the current time


class TimerQueue:
    """A queue of the scheduled calls of a state machine."""

    def __init__(self) -> None:
        self._heap: list[tuple[timedelta, int, Call]] = []
        self._count = 0

    def at(self, due: timedelta, call: Call) -> None:
        """Schedule a call; one in the past is made at the next run."""
        self._count += 1
        heappush(self._heap, (due, self._count, call))

    def due(self) -> timedelta:
        """The time of the first call; the queue must not be empty."""
        return self._heap[0][0]

    def run(self, now: timedelta) -> None:
        """Make all calls due by now, including those that they schedule."""
        while self._heap and self._heap[0][0] <= now:
            heappop(self._heap)[2](now)

    def clear(self) -> None:
        """Cancel all calls."""
        self._heap.clear()
