"""Meters: decaying rates, queue waits, key popularity and token buckets.  Times are integer microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

RATE_DECAY_S: Final = 10.0
MIN_COUNTED_SHARE: Final = 0.1  # share of the decay time that the first counts are spread over


@dataclass(slots=True, eq=False)
class QueueWait:
    """Moving average of the queue wait at one worker or over all, the load of other dispatchers included."""

    wait: float = 0.0
    updated_at: int = 0

    def add(self, wait: float, now: int, gain: float = 1.0) -> None:
        """Add the wait of a job that has begun now."""
        self.wait += (wait - self.wait) * gain
        self.updated_at = now

    def expected(self, now: int, usual: float = 0.0) -> float:
        """Return the expected wait: it decays from the last average to ``usual``."""
        return usual + (self.wait - usual) * math.exp((self.updated_at - now) / 1e6 / RATE_DECAY_S)


class KeyPopularity:
    """Share of each key in recent jobs: counts are halved once they add up to MAX_COUNT."""

    MAX_COUNT: Final = 1000

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def __bool__(self) -> bool:
        """Return whether any job carried a key."""
        return bool(self._counts)

    def add(self, key: int) -> bool:
        """Count a job; return True for the first one with a key."""
        first = not self._counts
        self._counts[key] = self._counts.get(key, 0.0) + 1
        self._total += 1
        if self._total >= self.MAX_COUNT:
            self._counts = {key: count / 2 for key, count in self._counts.items() if count > 1}
            self._total /= 2
        return first

    def share(self, key: int) -> float:
        """Return a key's share of all jobs, counted as MAX_COUNT / 50 at least.

        The first jobs seen say little: other dispatchers may get many with other keys.
        """
        return self._counts.get(key, 0.0) / max(self._total, self.MAX_COUNT / 50)


@dataclass(slots=True, eq=False)
class Rate:
    """An exponentially decaying rate, corrected for the time that it has been counted."""

    per_s: float = 0.0
    since: int = 0
    first_at: int | None = None  # time of the first count

    def add(self, amount: float, now: int) -> None:
        """Add an amount, scaled up at first: a rate whose counting has just begun would be too low."""
        if self.first_at is None:
            self.first_at = self.since = now
        self.per_s = self.current(now) + amount / RATE_DECAY_S / self._counted_share(now)
        self.since = now

    def current(self, now: int) -> float:
        """Return the rate at ``now``, decayed since the last count."""
        decay = math.exp((self.since - now) / 1e6 / RATE_DECAY_S)
        return self.per_s * decay * self._counted_share(self.since) / self._counted_share(now)

    def resume(self, per_s: float, since: int) -> None:
        """Continue a rate that was counted elsewhere, long enough to need no correction."""
        self.per_s, self.since, self.first_at = per_s, since, since - int(1e7 * RATE_DECAY_S)

    def _counted_share(self, now: int) -> float:
        """Return the part of the decay window that has been counted."""
        age = now - self.first_at if self.first_at is not None else 0
        return max(MIN_COUNTED_SHARE, 1 - math.exp(-age / 1e6 / RATE_DECAY_S))


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket; without a rate it is never empty."""

    per_s: float
    depth: float
    level: float
    since: int = 0

    def refill(self, now: int) -> None:
        """Add the tokens due by ``now``; to be called before the rate changes."""
        self.level = min(self.level + self.per_s * (now - self.since) / 1e6, self.depth)
        self.since = now

    def fill(self, now: int) -> float:
        """Return the fill level, 0 to 1."""
        if self.per_s <= 0:
            return 1.0
        self.refill(now)
        return self.level / self.depth

    def take(self, now: int) -> bool:
        """Take one token; return False if there is none."""
        if self.per_s <= 0:
            return True
        self.refill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True
