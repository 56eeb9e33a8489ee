"""What the members tell of themselves: checked, and kept while it is fresh.

Nothing in a summary is by anybody's clock: doubts come with their age.  So a member whose clock is far off
differs from no other, and the worst that an age can say is that a doubt is new or very old.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b
from math import isfinite
from typing import Final

from carthinge.fleet.packets import LIFE_MOST, Summary

FRESH: Final = 10  # periods for which a summary counts
PRESSURE_MOST: Final = 1e6
BUDGET_MOST: Final = 1e9
AGE_MOST: Final = timedelta(days=1)  # of a doubt; an older one is taken for that old
LIVES_KNOWN: Final = 4  # of one member, so that an old message does not bring one back
MICROSECOND: Final = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Heard:
    """A summary that was taken, in times of this scheduler's clock."""

    at: timedelta
    pressure: float = 0.0
    levels: Mapping[int, int] = field(default_factory=dict)  #: by cell; none of one that sheds nothing
    spent: float = 0.0
    left: float = 0.0
    doubts: Mapping[int, timedelta] = field(default_factory=dict)  #: worker, and since when
    well: Mapping[int, timedelta] = field(default_factory=dict)


def shape_of(tenants: Collection[str], classes: Collection[str]) -> int:
    """A digest of what cells are numbered by; levels of a member with another one say nothing here."""
    text = "\0".join(tenants) + "\1" + "\0".join(classes)
    return int.from_bytes(blake2b(text.encode(), digest_size=5).digest(), "little")


def cell_of(tenant: int, job_class: int, classes: int) -> int:
    """The number of a tenant and a class, by their positions."""
    return tenant * classes + job_class


def fault_of(summary: Summary) -> str | None:
    """Why it cannot be taken; None where it can.  Ranges of whole numbers were checked as it was read."""
    for value, most in (
        (summary.pressure, PRESSURE_MOST),
        (summary.spent, BUDGET_MOST),
        (summary.left, BUDGET_MOST),
    ):
        if not isfinite(value) or not 0 <= value <= most:
            return "out of range"
    whole = [
        summary.life,
        summary.sequence,
        *(cell for cell, _ in summary.levels),
        *(age for _, age in [*summary.doubts, *summary.well]),
    ]
    if any(not 0 <= value < LIFE_MOST for value in whole):
        return "out of range"
    return None


class Summaries:
    """The newest of each member."""

    def __init__(self, shape: int, period: timedelta) -> None:
        self.shape, self.fresh_for = shape, FRESH * period
        self.refused: Counter[str] = Counter()  #: by why
        self._heard: dict[str, Heard] = {}
        self._lives: dict[str, list[int]] = {}  # the present one last
        self._sequences: dict[str, int] = {}

    def take(self, now: timedelta, name: str, summary: Summary) -> bool:
        """Takes a member's word in place of its last; False where it is older, or of no use."""
        if self._lives.get(name, [None])[-1] == summary.life and summary.sequence == self._sequences[name]:
            return False  # the same rides along with every message of a period
        fault = fault_of(summary) or self._age(name, summary)
        if fault:
            self.refused[fault] += 1
            return False
        same = summary.shape == self.shape
        self._heard[name] = Heard(
            now,
            summary.pressure,
            dict(summary.levels) if same else {},
            summary.spent,
            summary.left,
            _since(now, summary.doubts),
            _since(now, summary.well),
        )
        return True

    def fresh(self, now: timedelta, here: Collection[str]) -> dict[str, Heard]:
        """Of the members that are here; what is over is dropped."""
        for name in [name for name, heard in self._heard.items() if now - heard.at > self.fresh_for]:
            del self._heard[name]
        return {name: self._heard[name] for name in here if name in self._heard}

    def forget(self, known: Collection[str]) -> None:
        """Members that nobody knows any more."""
        for name in self._lives.keys() - known:
            del self._lives[name]
            self._sequences.pop(name, None)
            self._heard.pop(name, None)

    def _age(self, name: str, summary: Summary) -> str | None:
        lives = self._lives.setdefault(name, [])
        if summary.life in lives[:-1]:
            return "of a life before"
        if lives and summary.life == lives[-1]:
            if summary.sequence <= self._sequences[name]:
                return "stale"
        else:
            lives.append(summary.life)
            del lives[:-LIVES_KNOWN]
        self._sequences[name] = summary.sequence
        return None


def _since(now: timedelta, aged: list[tuple[int, int]]) -> dict[int, timedelta]:
    return {worker: now - min(age * MICROSECOND, AGE_MOST) for worker, age in aged}
