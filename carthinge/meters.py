"""Meters: decaying rates, waits, shares of keys and token buckets.  Times are integer microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

RATE_MEMORY: Final = 10.0  # seconds
RATE_YOUNG: Final = 0.1  # of that, for which the first counts stand at the least


@dataclass(slots=True, eq=False)
class Queue:
    """How long jobs that began at a worker, or at any, had waited for it: what others send shows there."""

    wait: float = 0.0
    seen: int = 0

    def add(self, wait: float, now: int, gain: float = 1.0) -> None:
        """Count the wait of a job that has begun now."""
        self.wait += (wait - self.wait) * gain
        self.seen = now

    def left(self, now: int, usual: float = 0.0) -> float:
        """What is likely now: the older the news, the nearer to what is usual."""
        return usual + (self.wait - usual) * math.exp((self.seen - now) / 1e6 / RATE_MEMORY)


class Heat:
    """What part of the jobs each key has lately: the last thousand count in full, those before half."""

    MOST: Final = 1000

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def __bool__(self) -> bool:
        """Whether jobs carry keys here at all."""
        return bool(self._counts)

    def add(self, key: int) -> bool:
        """Counts a job; True for the first that carries a key at all."""
        first = not self._counts
        self._counts[key] = self._counts.get(key, 0.0) + 1
        self._total += 1
        if self._total >= self.MOST:
            self._counts = {key: count / 2 for key, count in self._counts.items() if count > 1}
            self._total /= 2
        return first

    def share(self, key: int) -> float:
        """Of all jobs; a few of them say little, and one that comes first may be one of many elsewhere."""
        return self._counts.get(key, 0.0) / max(self._total, self.MOST / 50)


@dataclass(slots=True, eq=False)
class Rate:
    """A decaying rate of what is added to it, over the time that it has been counted for."""

    per_s: float = 0.0
    since: int = 0
    born: int | None = None  # when the first was counted

    def add(self, amount: float, now: int) -> None:
        """Guards against a rate that is taken for low because its counting has just begun."""
        if self.born is None:
            self.born = self.since = now
        self.per_s = self.left(now) + amount / RATE_MEMORY / self._counted(now)
        self.since = now

    def left(self, now: int) -> float:
        """What it has come down to since the last was added."""
        fade = math.exp((self.since - now) / 1e6 / RATE_MEMORY)
        return self.per_s * fade * self._counted(self.since) / self._counted(now)

    def resume(self, per_s: float, since: int) -> None:
        """Goes on with one that was counted elsewhere, for long enough."""
        self.per_s, self.since, self.born = per_s, since, since - int(1e7 * RATE_MEMORY)

    def _counted(self, now: int) -> float:
        """The part of its memory that it has been counted for."""
        age = now - self.born if self.born is not None else 0
        return max(RATE_YOUNG, 1 - math.exp(-age / 1e6 / RATE_MEMORY))


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket; one without a rate never runs empty."""

    per_s: float
    depth: float
    level: float
    since: int = 0

    def settle(self, now: int) -> None:
        """Counts what has come in by now; to be called before the rate changes."""
        self.level = min(self.level + self.per_s * (now - self.since) / 1e6, self.depth)
        self.since = now

    def fill(self, now: int) -> float:
        """How full it is, 0 to 1."""
        if self.per_s <= 0:
            return 1.0
        self.settle(now)
        return self.level / self.depth

    def take(self, now: int) -> bool:
        """Takes one token; False where there is none."""
        if self.per_s <= 0:
            return True
        self.settle(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True
