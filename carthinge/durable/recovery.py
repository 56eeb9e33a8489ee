"""When a recovered job begins to compete with new ones.  No I/O and no clock.

A crowd of recovered jobs would be released at once to whatever is free, cold workers included, and stand
before every new job of its tenant.  So they enter at a bounded pace, the oldest first.  Two kinds do not
wait: a job whose attempt may be running (it takes no room that is not taken already, and its worker may call
back at any time), and a job whose time is over, which is owed its answer now.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from heapq import heappop, heappush
from typing import Final, Generic, TypeVar

BURST: Final = timedelta(milliseconds=20)  # of the pace, at once
Job = TypeVar("Job")


class Entrance(Generic[Job]):
    """Jobs that wait to enter; ``Job`` must be hashable."""

    def __init__(self, per_s: float) -> None:
        if per_s <= 0:
            raise ValueError(f"per_s: must be over 0, got {per_s!r}")
        self._per_s = per_s
        self._depth = max(1.0, per_s * BURST.total_seconds())
        self._level = 0.0
        self._since: timedelta | None = None
        self._waiting: dict[Job, None] = {}
        self._queue: deque[Job] = deque()
        self._ends: list[tuple[timedelta, int, Job]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def park(self, job: Job, give_up: timedelta) -> None:
        """It waits from now on, until it enters or its time is over."""
        self._waiting[job] = None
        self._queue.append(job)
        self._count += 1
        heappush(self._ends, (give_up, self._count, job))

    def drop(self, job: Job) -> bool:
        """It waits no more: it has ended, or enters at once.  False where it did not wait."""
        return self._waiting.pop(job, self) is not self

    def enter(self, now: timedelta) -> list[Job]:
        """Those whose turn it is, and those whose time is over."""
        entering = []
        while self._ends and self._ends[0][0] <= now:
            job = heappop(self._ends)[2]
            if self.drop(job):
                entering.append(job)
        since, self._since = self._since, now
        if since is not None:
            self._level = min(self._depth, self._level + (now - since).total_seconds() * self._per_s)
        while self._level >= 1 and self._queue:
            job = self._queue.popleft()
            if self.drop(job):
                self._level -= 1
                entering.append(job)
        return entering

    def due(self, now: timedelta) -> timedelta | None:
        """When ``enter`` ought to be called next; None while nobody waits."""
        if not self._waiting:
            self._queue.clear()
            self._ends.clear()
            return None
        step = now + timedelta(seconds=max(1.0, self._depth / 2) / self._per_s)
        return min(step, max(now, self._ends[0][0])) if self._ends else step
