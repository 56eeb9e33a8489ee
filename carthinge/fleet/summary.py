"""The summaries that members report of themselves: validated, and kept while they are fresh.

Nothing in a summary refers to another clock: suspicions are sent with their age.  So a member whose clock is
off has no effect, and a wrong age can only make a suspicion look new or very old.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b
from math import isfinite
from typing import Final

from carthinge.fleet.packets import UINT48_LIMIT, Summary

FRESH_PERIODS: Final = 10  # age limit of a summary
MAX_PRESSURE: Final = 1e6
MAX_RETRIES: Final = 1e9
MAX_AGE: Final = timedelta(days=1)  # of a suspicion; a higher one is clamped
MAX_RUN_IDS: Final = 4  # remembered for each member, to ignore delayed messages of earlier runs
MICROSECOND: Final = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class ReceivedSummary:
    """An accepted summary, with times on this scheduler's clock."""

    at: timedelta
    pressure: float = 0.0
    levels: Mapping[int, int] = field(default_factory=dict)  #: by cell; empty if the member sheds nothing
    retries_spent: float = 0.0
    retries_left: float = 0.0
    suspected_since: Mapping[int, timedelta] = field(default_factory=dict)  #: by worker
    healthy_at: Mapping[int, timedelta] = field(default_factory=dict)  #: by worker


def layout_digest(tenants: Collection[str], classes: Collection[str]) -> int:
    """A digest of what the cells are numbered by; levels of a member with another digest are ignored."""
    text = "\0".join(tenants) + "\1" + "\0".join(classes)
    return int.from_bytes(blake2b(text.encode(), digest_size=5).digest(), "little")


def cell_number(tenant: int, job_class: int, classes: int) -> int:
    """The number of the cell of a tenant and a class, by their positions."""
    return tenant * classes + job_class


def invalid_reason(summary: Summary) -> str | None:
    """Why a summary is invalid, or None.  The decoder has checked the ranges of integers already."""
    for value, maximum in (
        (summary.pressure, MAX_PRESSURE),
        (summary.retries_spent, MAX_RETRIES),
        (summary.retries_left, MAX_RETRIES),
    ):
        if not isfinite(value) or not 0 <= value <= maximum:
            return "out of range"
    integers = [
        summary.run_id,
        summary.sequence,
        *(cell for cell, _ in summary.levels),
        *(age for _, age in [*summary.suspected, *summary.healthy]),
    ]
    if any(not 0 <= value < UINT48_LIMIT for value in integers):
        return "out of range"
    return None


class Summaries:
    """The latest summary of each member."""

    def __init__(self, layout: int, period: timedelta) -> None:
        self.layout, self.fresh_for = layout, FRESH_PERIODS * period
        self.refused: Counter[str] = Counter()  #: by reason
        self._received: dict[str, ReceivedSummary] = {}
        self._run_ids: dict[str, list[int]] = {}  # the current one last
        self._sequences: dict[str, int] = {}

    @property
    def count(self) -> int:
        """The number of members whose summaries are remembered."""
        return len(self._run_ids)

    def accept(self, now: timedelta, name: str, summary: Summary) -> bool:
        """Replace a member's summary; return False if the new one is older or invalid."""
        if (
            self._run_ids.get(name, [None])[-1] == summary.run_id
            and summary.sequence == self._sequences[name]
        ):
            return False  # all messages of a period carry the same summary
        reason = invalid_reason(summary) or self._check_order(name, summary)
        if reason:
            self.refused[reason] += 1
            return False
        same_layout = summary.layout == self.layout
        self._received[name] = ReceivedSummary(
            now,
            summary.pressure,
            dict(summary.levels) if same_layout else {},
            summary.retries_spent,
            summary.retries_left,
            _to_times(now, summary.suspected),
            _to_times(now, summary.healthy),
        )
        return True

    def fresh(self, now: timedelta, live: Collection[str]) -> dict[str, ReceivedSummary]:
        """The fresh summaries of live members; expired ones are dropped."""
        for name in [name for name, received in self._received.items() if now - received.at > self.fresh_for]:
            del self._received[name]
        return {name: self._received[name] for name in live if name in self._received}

    def retain(self, known: Collection[str]) -> None:
        """Drop the state of all members that are not in ``known``."""
        for name in self._run_ids.keys() - known:
            del self._run_ids[name]
            self._sequences.pop(name, None)
            self._received.pop(name, None)

    def _check_order(self, name: str, summary: Summary) -> str | None:
        run_ids = self._run_ids.setdefault(name, [])
        if summary.run_id in run_ids[:-1]:
            return "of a life before"
        if run_ids and summary.run_id == run_ids[-1]:
            if summary.sequence <= self._sequences[name]:
                return "stale"
        else:
            run_ids.append(summary.run_id)
            del run_ids[:-MAX_RUN_IDS]
        self._sequences[name] = summary.sequence
        return None


def _to_times(now: timedelta, ages: list[tuple[int, int]]) -> dict[int, timedelta]:
    return {worker: now - min(age * MICROSECOND, MAX_AGE) for worker, age in ages}
