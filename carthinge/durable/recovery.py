"""Rate limit on the readmission of recovered jobs.  No I/O and no clock.

If all recovered jobs were readmitted at once, they would be sent to every free worker, cold ones included,
and precede every new job of their tenants.  So a token bucket readmits them, the oldest first.  Two kinds do
not wait: a job with an attempt that may be running (it occupies its worker already, whose callback may arrive
at any time), and a job whose deadline has passed, which must be answered now.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from heapq import heappop, heappush
from typing import Final, Generic, TypeVar

BURST: Final = timedelta(milliseconds=20)  # size of the token bucket, as time at the full rate
Job = TypeVar("Job")


class RecoveryQueue(Generic[Job]):
    """Jobs that wait to be readmitted; ``Job`` must be hashable."""

    def __init__(self, per_s: float) -> None:
        if per_s <= 0:
            raise ValueError(f"per_s: must be over 0, got {per_s!r}")
        self._per_s = per_s
        self._bucket_size = max(1.0, per_s * BURST.total_seconds())
        self._tokens = 0.0
        self._last_refill: timedelta | None = None
        self._waiting: dict[Job, None] = {}
        self._queue: deque[Job] = deque()
        self._deadlines: list[tuple[timedelta, int, Job]] = []
        self._added = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, job: Job, deadline: timedelta) -> None:
        """Add a job, to wait for its turn or its deadline."""
        self._waiting[job] = None
        self._queue.append(job)
        self._added += 1
        heappush(self._deadlines, (deadline, self._added, job))

    def remove(self, job: Job) -> bool:
        """Remove a job that has ended or is readmitted; False if it was not waiting."""
        return self._waiting.pop(job, self) is not self

    def pop_due(self, now: timedelta) -> list[Job]:
        """Remove and return the jobs whose turn it is and those whose deadline has passed."""
        due = []
        while self._deadlines and self._deadlines[0][0] <= now:
            job = heappop(self._deadlines)[2]
            if self.remove(job):
                due.append(job)
        last_refill, self._last_refill = self._last_refill, now
        if last_refill is not None:
            self._tokens = min(
                self._bucket_size, self._tokens + (now - last_refill).total_seconds() * self._per_s
            )
        while self._tokens >= 1 and self._queue:
            job = self._queue.popleft()
            if self.remove(job):
                self._tokens -= 1
                due.append(job)
        return due

    def next_due(self, now: timedelta) -> timedelta | None:
        """Return when ``pop_due`` should be called next; None if no job waits."""
        if not self._waiting:
            self._queue.clear()
            self._deadlines.clear()
            return None
        step = now + timedelta(seconds=max(1.0, self._bucket_size / 2) / self._per_s)
        return min(step, max(now, self._deadlines[0][0])) if self._deadlines else step
