"""Load shedding: a rank for each job, the same at all schedulers, and a level that follows measured overload.

The signal is the time that attempts wait at workers before they start, relative to the wait that jobs
tolerate; jobs that are already queued at workers can no longer be reordered.  There are two measures.  The
*observed* wait is that of attempts that have started: exact, but as old as the wait itself.  The *expected*
wait is the number of waiting attempts over the rate of starts (Little's law): a rough estimate from few
jobs, but an early one.  The observed wait decides whether to shed, the expected wait how much.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

# Thresholds are relative to the tolerable wait.
RAISE_THRESHOLD: Final = 0.14  # observed wait above which shedding begins
LOWER_THRESHOLD: Final = 0.07  # observed wait below which shedding ends at once
STALL_FACTOR: Final = 4.0  # times RAISE_THRESHOLD: expected wait that begins shedding without observed starts
FULL_SHED_RANGE: Final = 0.6  # expected wait beyond LOWER_THRESHOLD at which all but MIN_KEPT_SHARE is shed
LOG_INTERVAL_S: Final = 10.0  # between two log lines on rises
MIN_KEPT_SHARE: Final = 0.05  # of the offered work: without any starts the end of an overload goes unnoticed
WAIT_AVERAGE_S: Final = 0.5  # time constant of the observed wait
WAIT_DECAY_S: Final = 2.0  # time constant of its decay while no attempt starts
EXPECTED_AVERAGE_S: Final = 0.3  # time constant of the expected wait
START_RATE_S: Final = 5.0  # time constant of the rate of starts
INITIAL_STARTS: Final = 8.0  # starts per tolerable wait that are assumed until some were observed
OFFERED_WORK_DECAY_S: Final = 5.0  # time constant of the offered work
RANKS_PER_DOUBLING: Final = 4  # of a job's worth per work
MAX_TRACKED_RANKS: Final = 64
POINT_RANGE: Final = 1 << 64


def shedding_rank(over_share: bool, in_time: bool, worth: float) -> int:
    """Return the rank of a job; the lowest ranks are shed first: jobs over their tenant's share, then jobs
    that can no longer be in time, then by ``worth`` per work (any unit, the same at all schedulers)."""
    if over_share:
        return -2 << 16
    if not in_time:
        return -1 << 16
    return round(RANKS_PER_DOUBLING * math.log2(worth)) if worth > 0 else 1 - (1 << 16)


def decay_factor(since: int, now: int, time_constant: float) -> float:
    """Exponential decay from ``since`` to ``now`` (microseconds); the time constant is in seconds."""
    return math.exp(min(0, since - now) / 1e6 / time_constant)


@dataclass(slots=True)
class OfferedWork:
    """Recently offered work by rank."""

    work: dict[int, float] = field(default_factory=dict)
    since: int = 0

    def add(self, rank: int, work: float, now: int) -> None:
        """Add a job's work; old work decays in steps."""
        decay = decay_factor(self.since, now, OFFERED_WORK_DECAY_S)
        if decay < 0.9 or len(self.work) > MAX_TRACKED_RANKS:
            largest = sorted(((value * decay, other) for other, value in self.work.items()), reverse=True)[
                :MAX_TRACKED_RANKS
            ]
            self.work, self.since = {other: value for value, other in largest if value >= 1}, now
        self.work[rank] = self.work.get(rank, 0.0) + work

    def is_in_lowest(self, share: float, rank: int, point: int) -> bool:
        """Whether a job is in the lowest ``share`` of the work; within a rank jobs are ordered by point."""
        below = sum(work for other, work in self.work.items() if other < rank)
        within = self.work.get(rank, 0.0) * (point % POINT_RANGE) / POINT_RANGE
        return below + within < share * sum(self.work.values())


class SheddingLevel:
    """The shedding level of one scheduler.  Times are microseconds on the caller's clock."""

    def __init__(self, tolerable_wait: float) -> None:
        self.tolerable_wait = max(1.0, tolerable_wait)  # for a start; a moving average
        self.waiting = 0  # attempts sent but not started, as far as starts are reported
        self.shedding = False
        self.rises = 0  # times that shedding began
        self.shed = 0  # jobs
        self._average_wait, self._average_wait_at = 0.0, 0
        self._expected_wait, self._expected_wait_at = 0.0, 0
        self._starts, self._starts_at, self._first_estimate_at = 0.0, 0, -1
        self._offered = OfferedWork()
        self._logged_at, self._logged_rises = -1, 0

    def record_wait(self, wait: float, now: int) -> None:
        """Record that an attempt started after ``wait``, or has waited that long and not started."""
        gain = min(0.5, max(0.1, 1 - decay_factor(self._average_wait_at, now, WAIT_AVERAGE_S)))
        self._average_wait += (max(0.0, wait) - self._average_wait) * gain
        self._average_wait_at = now

    def record_end(self, started: bool, served: bool, now: int) -> None:
        """Record the end of an attempt; one that never started no longer waits."""
        self.waiting -= not started
        if served:
            self._starts = self._starts * decay_factor(self._starts_at, now, START_RATE_S) + 1
            self._starts_at = now

    def observed_wait(self, now: int) -> float:
        """The wait of attempts that started recently, relative to the tolerable wait."""
        return (
            self._average_wait * decay_factor(self._average_wait_at, now, WAIT_DECAY_S) / self.tolerable_wait
        )

    def expected_wait(self, running_time: float, now: int) -> float:
        """The wait of an attempt that is sent now, relative to the tolerable wait; ``running_time`` is
        the part of a running time that a measured wait includes."""
        if self._first_estimate_at < 0:
            self._first_estimate_at = now
        unknown = decay_factor(self._first_estimate_at, now, START_RATE_S)  # the assumed starts fill this in
        starts = self._starts * decay_factor(self._starts_at, now, START_RATE_S) + INITIAL_STARTS * unknown
        rate = max(
            starts / (START_RATE_S * (1 - unknown) + self.tolerable_wait / 1e6 * unknown), 1 / START_RATE_S
        )
        estimate = max(0.0, max(0, self.waiting) / rate * 1e6 - running_time)
        self._expected_wait += (estimate - self._expected_wait) * (
            1 - decay_factor(self._expected_wait_at, now, EXPECTED_AVERAGE_S)
        )
        self._expected_wait_at = now
        return self._expected_wait / self.tolerable_wait

    def kept_share(self, running_time: float, now: int) -> float:
        """Update the level and return the share of the offered work that is kept."""
        observed, expected = self.observed_wait(now), self.expected_wait(running_time, now)
        if not self.shedding and (observed > RAISE_THRESHOLD or expected > RAISE_THRESHOLD * STALL_FACTOR):
            self.shedding = True
            self.rises += 1
        elif observed < LOWER_THRESHOLD and expected < RAISE_THRESHOLD * STALL_FACTOR:
            self.shedding = False
        return (
            min(1.0, max(MIN_KEPT_SHARE, 1 - (expected - LOWER_THRESHOLD) / FULL_SHED_RANGE))
            if self.shedding
            else 1.0
        )

    def log_line(self, now: int) -> str:
        """Return a log line if shedding has begun since the last one, at most one per interval; else ""."""
        if self.rises == self._logged_rises or 0 <= self._logged_at > now - LOG_INTERVAL_S * 1e6:
            return ""
        self._logged_at, self._logged_rises = now, self.rises
        return (
            f"load shedding begins: observed wait {self._average_wait / 1e3:.0f} ms, expected wait"
            f" {self._expected_wait / 1e3:.0f} ms, tolerable wait {self.tolerable_wait / 1e3:.0f} ms"
        )

    def metrics(self) -> dict[str, float]:
        """The metrics of the level."""
        return {
            "level_up": int(self.shedding),
            "level_rises": self.rises,
            "shed_by_level": self.shed,
            "attempts_waiting": max(0, self.waiting),
        }

    def sheds(
        self, rank: int, work: float, tolerable_wait: float, point: int, running_time: float, now: int
    ) -> bool:
        """Whether to shed a job that has just arrived, by its rank, and by its point within the rank."""
        self.tolerable_wait += (max(1.0, tolerable_wait) - self.tolerable_wait) * 0.05
        self._offered.add(rank, work, now)
        kept = self.kept_share(running_time, now)
        shed = kept < 1 and self._offered.is_in_lowest(1 - kept, rank, point)
        self.shed += shed
        return shed
