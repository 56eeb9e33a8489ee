"""OutlierEjector of workers, shared by all that hear of them from two, and who tries such a worker again.

A worker that two members doubt at first hand is left alone by all but one: the first in the order of the
members' hashes with it.  When that one finds it well, it says so, and doubts from before that count no more:
the others go back to what each knows itself.  If the first one has nothing to try it with, after a while the
second may as well, then the third: a worker is never left alone for good, and never tried by all at once.

Guards against two that are ill themselves, or cut off from the workers: whoever has a later sign of a worker
at first hand goes on with it and says so; two such words clear it for all, as does that of the one that is
to try it; and where much of the fleet is doubted it is not the workers that are ill.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final

from carthinge.fleet.quota_lending import point
from carthinge.fleet.summary import Heard
from carthinge.records import mix

ACCUSERS: Final = 2  # at first hand
NEVER: Final = timedelta()
HOLD: Final = 3  # periods for which a worker is left alone by one view
FIRST_TRY: Final = 2  # periods until its owner tries it, if that has not doubted it itself
DOUBT_LIMIT: Final = 0.4  # of all workers: if more are doubted, none is left alone on that account
NEXT_OWNER: Final = 60  # periods without news, until one more may try it


@dataclass(slots=True)
class Ruling:
    """What follows for this scheduler, until the next one."""

    alone: dict[int, timedelta] = field(default_factory=dict)  #: workers to leave alone, until when
    mine: set[int] = field(default_factory=set)  #: doubted ones that this one tries again
    answered: set[int] = field(default_factory=set)  #: own doubts from before their worker was found well
    doubted: int = 0  #: corroborated and not cleared, in all


class SharedDoubts:
    """One member's view of them."""

    def __init__(self, name: str, period: timedelta) -> None:
        self.name, self.period = name, period
        self.well: dict[int, timedelta] = {}  #: doubted ones that this one has found so since, and when
        self._since: dict[int, timedelta] = {}  # since when each of those now doubted is known as that here
        self._members: frozenset[str] = frozenset()
        self._ranks: dict[int, dict[str, int]] = {}

    def decide(
        self,
        now: timedelta,
        own: Mapping[int, timedelta],
        well: Mapping[int, timedelta],
        heard: Mapping[str, Heard],
        here: Collection[str],
        workers: int,
    ) -> Ruling:
        """``own``: doubts at first hand, since when; ``well``: when workers last showed here that they are;
        ``workers``: how many there are.

        ``heard``: the fresh words of the members in ``here``, this one not among them.
        """
        self._meet(here)
        voices = {**{name: heard[name].doubts for name in heard}, self.name: own}
        accused: dict[int, dict[str, timedelta]] = {}
        for name, doubts in voices.items():
            for worker, since in doubts.items():
                accused.setdefault(worker, {})[name] = since
        ruling = Ruling()
        for worker, accusers in accused.items():
            if len(accusers) < ACCUSERS:
                continue
            ranks, latest = self._ranks_of(worker), max(accusers.values())
            may_try = max(timedelta(), now - latest) // (NEXT_OWNER * self.period)
            since = self._since.setdefault(worker, now)
            if well.get(worker, NEVER) > latest:
                self.well[worker] = well[worker]
            cleared = self._cleared(worker, heard, ranks, may_try)
            if worker in own and own[worker] <= cleared:
                ruling.answered.add(worker)
            if sum(at > cleared for at in accusers.values()) < ACCUSERS:
                continue
            ruling.doubted += 1
            if self.well.get(worker, NEVER) > latest:
                continue
            if ranks[self.name] > may_try:
                ruling.alone[worker] = now + HOLD * self.period
                continue
            ruling.mine.add(worker)
            if worker not in own and now < since + FIRST_TRY * self.period:
                ruling.alone[worker] = since + FIRST_TRY * self.period
        if ruling.doubted > max(1.0, DOUBT_LIMIT * workers):
            ruling.alone.clear()
        for worker in self._since.keys() - accused.keys():
            del self._since[worker]
        for worker in [worker for worker, at in self.well.items() if now - at > NEXT_OWNER * self.period]:
            del self.well[worker]
        return ruling

    def _cleared(
        self, worker: int, heard: Mapping[str, Heard], ranks: Mapping[str, int], may_try: int
    ) -> timedelta:
        """When it was last found well, by one that may try it or by two others."""
        words = {name: heard[name].well[worker] for name in heard if worker in heard[name].well}
        if worker in self.well:
            words[self.name] = self.well[worker]
        called = [at for name, at in words.items() if ranks.get(name, may_try + 1) <= may_try]
        return max([NEVER, *called, *sorted(words.values())[:-1]])

    def asked_of(self) -> set[int]:
        """The workers whose signs matter for the next ruling."""
        return set(self._since)

    def _meet(self, here: Collection[str]) -> None:
        members = frozenset(here) | {self.name}
        if members != self._members:
            self._members = members
            self._ranks.clear()

    def _ranks_of(self, worker: int) -> dict[str, int]:
        """The members in the order in which they may try it, by rendezvous hashing."""
        ranks = self._ranks.get(worker)
        if ranks is None:
            mixed = mix(worker)
            order = sorted(self._members, key=lambda name: mix(point(name) ^ mixed), reverse=True)
            ranks = self._ranks[worker] = {name: rank for rank, name in enumerate(order)}
        return ranks
