"""Calls that are due at a time, in the order of times and then of entry.  No clock of its own."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heappop, heappush

Call = Callable[[timedelta], None]  # is told the time at which it is made


class Agenda:
    """What a state machine has to do later."""

    def __init__(self) -> None:
        self._heap: list[tuple[timedelta, int, Call]] = []
        self._count = 0

    def at(self, due: timedelta, call: Call) -> None:
        """To be called then, or at the next run if that is past."""
        self._count += 1
        heappush(self._heap, (due, self._count, call))

    def due(self) -> timedelta:
        """When the first call is due; there has to be one."""
        return self._heap[0][0]

    def run(self, now: timedelta) -> None:
        """Makes all calls that are due by now, those that they add included."""
        while self._heap and self._heap[0][0] <= now:
            heappop(self._heap)[2](now)

    def clear(self) -> None:
        """Nothing is due any more."""
        self._heap.clear()
