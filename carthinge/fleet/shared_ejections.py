"""Outlier ejection of workers, shared by the members, and which member tries an ejected worker again.

A worker that two members suspect from their own attempts is avoided by all members but one: the first by
rendezvous hashing.  When that one finds the worker healthy, it reports so, and earlier suspicions are void:
the others go back to their own observations.  If the first one has nothing to send to the worker, after a
while the second may try as well, then the third: a worker is never avoided for good, and never tried by all
at once.

Guards against two members that are faulty or partitioned from the workers themselves: a member that has a
later sign of life of the worker keeps using it and reports so; two such reports clear the worker for all, as
does the report of the member that is to try it; and if a large part of the fleet is suspected, the workers
are not the cause.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final

from carthinge.fleet.quota_lending import ring_position
from carthinge.fleet.summary import ReceivedSummary
from carthinge.records import mix

MIN_ACCUSERS: Final = 2  # members that suspect the worker from their own attempts
NEVER: Final = timedelta()
EJECTION_PERIODS: Final = 3  # for which a worker is avoided after each decision
FIRST_TRY_PERIODS: Final = 2  # until the member that is to try it does so, if it does not suspect it itself
MAX_SUSPECTED_SHARE: Final = 0.4  # of all workers: if more are suspected, none is ejected for that
NEXT_TRIER_PERIODS: Final = 60  # without a new suspicion, until one more member may try it


@dataclass(slots=True)
class EjectionDecision:
    """What follows for this scheduler, until the next decision."""

    avoid_until: dict[int, timedelta] = field(default_factory=dict)  #: workers to avoid, until when
    to_try: set[int] = field(default_factory=set)  #: suspected workers that this scheduler tries again
    cleared: set[int] = field(default_factory=set)  #: own suspicions older than a report that it is healthy
    suspected_count: int = 0  #: workers suspected by enough members and not cleared


class SharedEjections:
    """One member's view of the suspected workers."""

    def __init__(self, name: str, period: timedelta) -> None:
        self.name, self.period = name, period
        self.healthy_at: dict[int, timedelta] = {}  #: suspected workers that this member found healthy since
        self._since: dict[int, timedelta] = {}  # when each suspected worker was first known to be one
        self._members: frozenset[str] = frozenset()
        self._ranks: dict[int, dict[str, int]] = {}

    def decide(
        self,
        now: timedelta,
        own: Mapping[int, timedelta],
        healthy_at: Mapping[int, timedelta],
        received: Mapping[str, ReceivedSummary],
        live: Collection[str],
        workers: int,
    ) -> EjectionDecision:
        """``own``: the workers that this member suspects itself, since when; ``healthy_at``: the last signs
        of life that it has of workers; ``workers``: their number.

        ``received``: the fresh summaries of the members in ``live``, which does not contain this one.
        """
        self._set_members(live)
        reports = {**{name: received[name].suspected_since for name in received}, self.name: own}
        suspicions: dict[int, dict[str, timedelta]] = {}
        for name, suspected_since in reports.items():
            for worker, since in suspected_since.items():
                suspicions.setdefault(worker, {})[name] = since
        decision = EjectionDecision()
        for worker, accusers in suspicions.items():
            if len(accusers) < MIN_ACCUSERS:
                continue
            ranks, latest = self._ranks_of(worker), max(accusers.values())
            max_rank = max(timedelta(), now - latest) // (NEXT_TRIER_PERIODS * self.period)
            since = self._since.setdefault(worker, now)
            if healthy_at.get(worker, NEVER) > latest:
                self.healthy_at[worker] = healthy_at[worker]
            cleared_at = self._cleared_at(worker, received, ranks, max_rank)
            if worker in own and own[worker] <= cleared_at:
                decision.cleared.add(worker)
            if sum(at > cleared_at for at in accusers.values()) < MIN_ACCUSERS:
                continue
            decision.suspected_count += 1
            if self.healthy_at.get(worker, NEVER) > latest:
                continue
            if ranks[self.name] > max_rank:
                decision.avoid_until[worker] = now + EJECTION_PERIODS * self.period
                continue
            decision.to_try.add(worker)
            if worker not in own and now < since + FIRST_TRY_PERIODS * self.period:
                decision.avoid_until[worker] = since + FIRST_TRY_PERIODS * self.period
        if decision.suspected_count > max(1.0, MAX_SUSPECTED_SHARE * workers):
            decision.avoid_until.clear()
        for worker in self._since.keys() - suspicions.keys():
            del self._since[worker]
        for worker in [
            worker for worker, at in self.healthy_at.items() if now - at > NEXT_TRIER_PERIODS * self.period
        ]:
            del self.healthy_at[worker]
        return decision

    def _cleared_at(
        self, worker: int, received: Mapping[str, ReceivedSummary], ranks: Mapping[str, int], max_rank: int
    ) -> timedelta:
        """When the worker was last found healthy by a member that may try it, or by two members."""
        reports = {
            name: received[name].healthy_at[worker]
            for name in received
            if worker in received[name].healthy_at
        }
        if worker in self.healthy_at:
            reports[self.name] = self.healthy_at[worker]
        by_triers = [at for name, at in reports.items() if ranks.get(name, max_rank + 1) <= max_rank]
        return max([NEVER, *by_triers, *sorted(reports.values())[:-1]])

    def observed_workers(self) -> set[int]:
        """The workers whose signs of life the next decision needs."""
        return set(self._since)

    def _set_members(self, live: Collection[str]) -> None:
        members = frozenset(live) | {self.name}
        if members != self._members:
            self._members = members
            self._ranks.clear()

    def _ranks_of(self, worker: int) -> dict[str, int]:
        """The order in which members may try the worker, by rendezvous hashing."""
        ranks = self._ranks.get(worker)
        if ranks is None:
            mixed = mix(worker)
            order = sorted(self._members, key=lambda name: mix(ring_position(name) ^ mixed), reverse=True)
            ranks = self._ranks[worker] = {name: rank for rank, name in enumerate(order)}
        return ranks
