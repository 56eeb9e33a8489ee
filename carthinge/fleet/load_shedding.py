"""Who is shed, and how much: one order that all schedulers share, and a level that follows measured pressure.

Pressure is the wait for a start at workers, over what jobs can bear to wait: what waits there is out of
reach of any order.  It is taken twice.  What was *seen* is the wait of the jobs that began: sure, but as old
as the wait.  What is *expected* is how many wait now over how many begin (Little's law): a guess from few
jobs, but it leads.  The first says whether the level is up, the second how far.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

ON: Final = 0.14  # of the bearable wait: seen so long, the level goes up
OFF: Final = 0.07  # and down at once when it is seen no longer than this
STALL: Final = 4.0  # times ON: expected so long, the level goes up though no start was seen
STEEP: Final = 0.6  # of the bearable wait beyond OFF: expected so long, all but LEAST is shed
TOLD: Final = 10.0  # seconds between two lines on rises
LEAST: Final = 0.05  # of the work offered: some is always kept, or nothing would tell that it is over
SEEN: Final = 0.5  # seconds that a wait weighs
FORGET: Final = 2.0  # seconds in which a wait fades when none is seen after it
SMOOTH: Final = 0.3  # seconds that a guess weighs
RATE: Final = 5.0  # seconds that a start weighs
FIRST: Final = 8.0  # starts in a bearable wait that are granted until some were seen
OFFERED: Final = 5.0  # seconds that offered work weighs
OCTAVE: Final = 4  # ranks in a doubling of worth for its work
RANKS: Final = 64  # the most that are told apart
WHOLE: Final = 1 << 64  # of a point


def standing(over_share: bool, in_time: bool, worth: float) -> int:
    """Where a job stands, the lowest to be shed first: what is over its tenant's share, then what can be in
    time no more, then by ``worth`` for its work (any unit, the same at all schedulers)."""
    if over_share:
        return -2 << 16
    if not in_time:
        return -1 << 16
    return round(OCTAVE * math.log2(worth)) if worth > 0 else 1 - (1 << 16)


def faded(since: int, now: int, span: float) -> float:
    """What is left after that time, in microseconds, of what weighs for so many seconds."""
    return math.exp(min(0, since - now) / 1e6 / span)


@dataclass(slots=True)
class Offered:
    """Work that was offered of late, by standing."""

    work: dict[int, float] = field(default_factory=dict)
    since: int = 0

    def add(self, rank: int, work: float, now: int) -> None:
        """Old work fades in steps."""
        fade = faded(self.since, now, OFFERED)
        if fade < 0.9 or len(self.work) > RANKS:
            kept = sorted(((value * fade, at) for at, value in self.work.items()), reverse=True)[:RANKS]
            self.work, self.since = {at: value for value, at in kept if value >= 1}, now
        self.work[rank] = self.work.get(rank, 0.0) + work

    def shed(self, part: float, rank: int, point: int) -> bool:
        """Whether a job is among the lowest ``part`` of it; those of one rank go by their points."""
        below = sum(work for at, work in self.work.items() if at < rank)
        here = self.work.get(rank, 0.0) * (point % WHOLE) / WHOLE
        return below + here < part * sum(self.work.values())


class SheddingLevel:
    """One scheduler's level.  Times are microseconds on its caller's clock."""

    def __init__(self, bearable: float) -> None:
        self.bearable = max(1.0, bearable)  # the wait for a start that jobs can bear, a running mean
        self.waiting = 0  # attempts that have been sent and have not begun, as far as that is told
        self.up = False
        self.rises = 0  # times that it went up
        self.shed = 0  # jobs
        self._wait, self._wait_at = 0.0, 0
        self._expected, self._expected_at = 0.0, 0
        self._starts, self._starts_at, self._born = 0.0, 0, -1
        self._offered = Offered()
        self._told_at, self._told_rises = -1, 0

    def waited(self, wait: float, now: int) -> None:
        """An attempt has begun after that wait, or has waited so long and not begun."""
        gain = min(0.5, max(0.1, 1 - faded(self._wait_at, now, SEEN)))
        self._wait += (max(0.0, wait) - self._wait) * gain
        self._wait_at = now

    def ended(self, begun: bool, served: bool, now: int) -> None:
        """An attempt has ended, and its wait too if it never began."""
        self.waiting -= not begun
        if served:
            self._starts = self._starts * faded(self._starts_at, now, RATE) + 1
            self._starts_at = now

    def seen(self, now: int) -> float:
        """The wait of those that began of late, in bearable ones."""
        return self._wait * faded(self._wait_at, now, FORGET) / self.bearable

    def expected(self, run: float, now: int) -> float:
        """The wait of those that come now, in bearable ones; ``run`` is the part of a wait that is none."""
        if self._born < 0:
            self._born = now
        young = faded(self._born, now, RATE)  # what is not known yet is granted
        starts = self._starts * faded(self._starts_at, now, RATE) + FIRST * young
        rate = max(starts / (RATE * (1 - young) + self.bearable / 1e6 * young), 1 / RATE)
        guess = max(0.0, max(0, self.waiting) / rate * 1e6 - run)
        self._expected += (guess - self._expected) * (1 - faded(self._expected_at, now, SMOOTH))
        self._expected_at = now
        return self._expected / self.bearable

    def kept(self, run: float, now: int) -> float:
        """The part of the work offered that is kept now."""
        seen, expected = self.seen(now), self.expected(run, now)
        if not self.up and (seen > ON or expected > ON * STALL):
            self.up = True
            self.rises += 1
        elif seen < OFF and expected < ON * STALL:
            self.up = False
        return min(1.0, max(LEAST, 1 - (expected - OFF) / STEEP)) if self.up else 1.0

    def news(self, now: int) -> str:
        """A line for operators when it has gone up, once in a while; else none."""
        if self.rises == self._told_rises or 0 <= self._told_at > now - TOLD * 1e6:
            return ""
        self._told_at, self._told_rises = now, self.rises
        return (
            f"shed level up: starts are waited for {self._wait / 1e3:.0f} ms and expected after"
            f" {self._expected / 1e3:.0f} ms, {self.bearable / 1e3:.0f} ms can be borne"
        )

    def figures(self) -> dict[str, float]:
        """For operators."""
        return {
            "level_up": int(self.up),
            "level_rises": self.rises,
            "shed_by_level": self.shed,
            "attempts_waiting": max(0, self.waiting),
        }

    def sheds(self, rank: int, work: float, bearable: float, point: int, run: float, now: int) -> bool:
        """Whether a job that has just come is shed: by its standing, and by its point within that."""
        self.bearable += (max(1.0, bearable) - self.bearable) * 0.05
        self._offered.add(rank, work, now)
        kept = self.kept(run, now)
        shed = kept < 1 and self._offered.shed(1 - kept, rank, point)
        self.shed += shed
        return shed
