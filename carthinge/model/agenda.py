"""Virtual time: what is due, in the order of times and then of entry."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heappop, heappush
from typing import Any, Final

MICROSECOND: Final = timedelta(microseconds=1)
SECOND: Final = 1_000_000  # microseconds


def micros(span: timedelta) -> int:
    """A span as the module's interface counts it."""
    return span // MICROSECOND


class Agenda:
    """Calls that are due at a time, in microseconds; the time is that of the call that is made."""

    __slots__ = ("_count", "_heap", "now")

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, due: int, call: Callable[..., object], *arguments: Any) -> None:
        """To be called then, or now if that is past."""
        self._count += 1
        heappush(self._heap, (max(due, self.now), self._count, call, arguments))

    def run(self, until: int) -> None:
        """Makes all calls due up to then, those that they add included."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, arguments = heappop(heap)
            call(*arguments)
        self.now = max(self.now, until)
