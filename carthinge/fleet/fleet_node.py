"""One scheduler's part in the fleet: the members, their summaries, and the view that follows from them.

Pure as its parts are: the time, messages and local observations go in, messages and a view come out.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final, Protocol

from carthinge.fleet.agreement import agreed, agreed_levels
from carthinge.fleet.budget_transfer import UNITS_PER_RETRY, BudgetTransfer
from carthinge.fleet.gossip import LIVE, Member, OutgoingPacket
from carthinge.fleet.membership import Membership
from carthinge.fleet.membership_limits import MAX_MEMBERS
from carthinge.fleet.packets import (
    MAX_CELLS,
    MAX_LEVEL,
    MAX_REPORTED_WORKERS,
    MemberState,
    Packet,
    PacketKind,
    Summary,
)
from carthinge.fleet.quota_lending import OWN_UNITS, Ledger
from carthinge.fleet.shared_ejections import EjectionDecision, SharedEjections
from carthinge.fleet.summary import MAX_PRESSURE, MAX_RETRIES, MICROSECOND, Summaries

CLEANUP_INTERVAL: Final = 64  # periods
LEVEL_FRESH_PERIODS: Final = 3  # age limit of reported levels: load changes within seconds
SHARE_VALIDITY_PERIODS: Final = 1.5  # a share has to hold that long: a round may be late


@dataclass(frozen=True, slots=True)
class Observations:
    """What the scheduler itself observes."""

    failures: Mapping[int, int] = field(default_factory=dict)  #: consecutive, by suspected worker
    #: The last sign of life by worker, of those that were asked for.
    healthy_at: Mapping[int, timedelta] = field(default_factory=dict)
    workers: int = 0  #: number of listed workers
    fill_levels: Mapping[int, float] = field(default_factory=dict)  #: of the lendable quotas, 0 to 1
    pressure: float = 0.0
    #: What the own level sheds by cell, in per cent; the largest cell comes first.
    levels: Mapping[int, int] = field(default_factory=dict)
    retries_spent: float = 0.0  #: since the last call
    retries_left: float = 0.0
    max_retries: float = 0.0  #: maximal balance of the retry budget


class Scheduler(Protocol):
    """The scheduler that the node belongs to."""

    def observe(self, workers: Collection[int]) -> Observations:
        """The current observations, with the last signs of life of these workers."""

    def retry_budget_left(self) -> float:
        """The current retry budget, less what was given away just now."""


@dataclass(slots=True)
class View:
    """The current joint decisions, as seen by this member."""

    ejections: EjectionDecision = field(default_factory=EjectionDecision)
    levels: dict[int, int] = field(default_factory=dict)  #: agreed, by cell with enough votes
    pressure: float = 0.0  #: the median
    quota_shares: dict[int, float] = field(default_factory=dict)  #: by quota; 1.0 is the member's own share
    voters: int = 1  #: members with a fresh summary, including this one


class FleetNode:
    """One scheduler's part in the fleet."""

    def __init__(
        self,
        membership: Membership,
        layout: int,
        budgets: Collection[int],
        run_id: int,
        scheduler: Scheduler,
        now: timedelta,
    ) -> None:
        """``run_id``: drawn at random at the start.  ``budgets``: lendable, the same at all members."""
        self.membership, self.scheduler, self.period = membership, scheduler, membership.period
        self.summaries = Summaries(layout, self.period)
        self.ledger = Ledger(membership.name, budgets, self.period, now, membership.gossip.incarnation)
        self.retry_transfer = BudgetTransfer(membership.gossip.incarnation)
        self.ejections = SharedEjections(membership.name, self.period)
        self.view = View(quota_shares=dict.fromkeys(budgets, 1.0))
        self.rounds = 0
        self.changes = 0  #: of the view
        self._transferred = 0
        self._run_id, self._layout = run_id, layout
        self._fill_levels: Mapping[int, float] = {}
        self._suspected: dict[int, tuple[int, timedelta]] = {}  # own: consecutive failures, since when
        self._cleared: dict[int, timedelta] = {}  # own suspicions that were cleared, with their times
        self._observed_workers: set[int] = set()
        self._next_round = now

    def due(self) -> timedelta:
        """When ``tick`` has to be called next."""
        return min(self._next_round, self.membership.due())

    def tick(self, now: timedelta) -> list[OutgoingPacket]:
        """Do what is due; the round, once a period, precedes the membership, which sends the new summary."""
        out = []
        if now >= self._next_round and not self.membership.left:
            self._next_round = now + self.period
            self._round(now)
            out = self.membership.gossip.take_queued()
        return out + self.membership.tick(now)

    def handle_packet(self, now: timedelta, packet: Packet) -> list[OutgoingPacket]:
        """Handle a message; return the messages to send at once."""
        out = self.membership.handle_packet(now, packet)
        sender = self.membership.members.get(packet.name)
        if sender is None or sender.state not in LIVE or self.membership.left:
            return out
        if packet.summary is not None:
            self.summaries.accept(now, packet.name, packet.summary)
            if self.summaries.count > 2 * MAX_MEMBERS:  # most are of members that were dropped since
                self.summaries.retain(self.membership.members.keys())
        if (
            packet.kind in (PacketKind.BUDGET_REQUEST, PacketKind.GRANT)
            and packet.budget_id == self.retry_transfer.budget
        ):
            self._transfer_retries(packet, sender)
        elif packet.kind is PacketKind.BUDGET_REQUEST:
            self.ledger.set_members([member.name for member in self.membership.live_members()])
            units = self.ledger.grant(
                now, packet.name, packet.budget_id, packet.number, packet.units, self._fill_levels
            )
            if units:
                self.view.quota_shares = self._shares(
                    now
                )  # lent units must not be used once the grant is sent
                self.changes += 1
                self.membership.gossip.queue(
                    PacketKind.GRANT, sender, packet.number, budget_id=packet.budget_id, units=units
                )
        elif packet.kind is PacketKind.GRANT:
            self.ledger.receive(now, packet.name, packet.budget_id, packet.number, packet.units)
        return out + self.membership.gossip.take_queued()

    def take_transferred_retries(self) -> float:
        """Return the retries received since the last call; negative if more were given away."""
        transferred, self._transferred = self._transferred / UNITS_PER_RETRY, 0
        return transferred

    def apply_settings(self, now: timedelta, layout: int, budgets: Collection[int]) -> None:
        """Apply new tenants, classes or quotas; loans of a budget that remains are kept."""
        self._layout = self.summaries.layout = layout
        self.ledger.budgets = budgets
        self._fill_levels = {}
        self.view.quota_shares = self._shares(now)
        self.changes += 1

    def standalone_shares(self, now: timedelta) -> dict[int, float]:
        """The shares for a scheduler that leaves the fleet: without borrowed units, less the lent ones."""
        ledger = self.ledger
        return {
            budget: ledger.available_units(now, budget, ledger.loan_duration) / OWN_UNITS
            for budget in ledger.budgets
        }

    def leave(self, now: timedelta) -> list[OutgoingPacket]:
        """Return the messages that tell all members that this scheduler leaves."""
        self._next_round = now + self.period * CLEANUP_INTERVAL
        return self.membership.leave(now)

    def _round(self, now: timedelta) -> None:
        self.rounds += 1
        members = {member.name: member for member in self.membership.live_members()}
        self.ledger.set_members(members.keys())
        observed = self.scheduler.observe(self._observed_workers)
        self._fill_levels = observed.fill_levels
        has_new = self._update_suspected(now, observed.failures)
        received = self.summaries.fresh(now, members.keys())
        oldest = now - self.period * LEVEL_FRESH_PERIODS
        levels = [other.levels for other in received.values() if other.at >= oldest]
        suspected = {
            worker: since
            for worker, (_, since) in self._suspected.items()
            if self._cleared.get(worker) != since
        }
        decision = self.ejections.decide(
            now, suspected, observed.healthy_at, received, members.keys(), observed.workers
        )
        self._cleared |= {worker: suspected[worker] for worker in decision.cleared}
        self._observed_workers = self.ejections.observed_workers()
        self.view = View(
            decision,
            agreed_levels(observed.levels, levels),
            agreed(observed.pressure, [other.pressure for other in received.values()]),
            self._shares(now),
            1 + len(received),
        )
        self.changes += 1
        self.membership.gossip.summary = self._summary(now, observed, suspected)
        if has_new:  # own suspicions, at most once a period: reported to all members at once
            for member in members.values():
                self.membership.gossip.queue(PacketKind.GOSSIP, member)
        for request in self.ledger.make_requests(now, observed.fill_levels):
            self.membership.gossip.queue(
                PacketKind.BUDGET_REQUEST,
                members[request.lender],
                request.number,
                budget_id=request.budget,
                units=request.units,
            )
        self.retry_transfer.set_max_retries(observed.max_retries)
        if retries := self.retry_transfer.make_request(observed.retries_left, self.ledger.lenders()):
            self.membership.gossip.queue(
                PacketKind.BUDGET_REQUEST,
                members[retries.lender],
                retries.number,
                budget_id=retries.budget,
                units=retries.units,
            )
        if self.rounds % CLEANUP_INTERVAL == 0:
            self.summaries.retain(self.membership.members.keys())

    def _transfer_retries(self, packet: Packet, sender: Member) -> None:
        """Handle a request for retry budget, or a grant."""
        transfer, units = self.retry_transfer, packet.units
        if packet.kind is PacketKind.GRANT:
            self._transferred += transfer.receive(packet.name, packet.number, units)
        elif units := transfer.grant(
            packet.name, packet.number, units, self.scheduler.retry_budget_left(), self.ledger.borrowers()
        ):
            self._transferred -= units
            self.membership.gossip.queue(
                PacketKind.GRANT, sender, packet.number, budget_id=packet.budget_id, units=units
            )
        self.changes += 1

    def _shares(self, now: timedelta) -> dict[int, float]:
        """The shares that hold at least until the next round: loans that end sooner are not counted."""
        ahead = self.period * SHARE_VALIDITY_PERIODS
        return {
            budget: self.ledger.available_units(now, budget, ahead) / OWN_UNITS
            for budget in self.ledger.budgets
        }

    def _update_suspected(self, now: timedelta, failures: Mapping[int, int]) -> bool:
        """Renew the suspicion of workers that failed once more; return whether there is a new one."""
        has_new = False
        for worker in self._suspected.keys() - failures.keys():
            del self._suspected[worker]
            self._cleared.pop(worker, None)
        for worker, count in failures.items():
            known = self._suspected.get(worker)
            if known is None or count > known[0]:
                has_new |= known is None
                self._suspected[worker] = (count, now)
            elif count < known[0]:
                self._suspected[worker] = (count, known[1])
        return has_new

    def _summary(self, now: timedelta, observed: Observations, suspected: Mapping[int, timedelta]) -> Summary:
        """Return a summary with as much as fits: the latest suspicions, the largest cells."""
        levels = [(cell, min(level, MAX_LEVEL)) for cell, level in list(observed.levels.items())[:MAX_CELLS]]
        return Summary(
            self._run_id,
            self.rounds,
            self._layout,
            _clamped(observed.pressure, MAX_PRESSURE),
            levels,
            _clamped(observed.retries_spent, MAX_RETRIES),
            _clamped(observed.retries_left, MAX_RETRIES),
            _to_ages(now, suspected),
            _to_ages(now, self.ejections.healthy_at),
        )

    def metrics(self) -> dict[str, object]:
        """The metrics of the fleet."""
        counts, decision, shares = (
            self.membership.counts(),
            self.view.ejections,
            self.view.quota_shares.values(),
        )
        return {
            **{f"members_{name}": counts[name] for name in ("alive", "suspect", "dead", "left")},
            "voices": self.view.voters,
            "pressure": round(self.view.pressure, 3),
            "level_most": max(self.view.levels.values(), default=0),
            "part_least": round(min(shares, default=1.0), 3),
            "part_most": round(max(shares, default=1.0), 3),
            "lent": self.ledger.granted,
            "asked_for": self.ledger.asked_for,
            "repeats_given": self.retry_transfer.given / UNITS_PER_RETRY,
            "repeats_taken": self.retry_transfer.taken / UNITS_PER_RETRY,
            "workers_doubted": decision.suspected_count,
            "workers_to_try": len(decision.to_try),
            "summaries_refused": sum(self.summaries.refused.values()),
        }

    def take_state_changes(self) -> list[tuple[str, MemberState]]:
        """Return the members whose state has changed since the last call."""
        changes, self.membership.state_changes = self.membership.state_changes, []
        return changes


def _clamped(value: float, maximum: float) -> float:
    return min(max(value, 0.0), maximum) if value == value else 0.0


def _to_ages(now: timedelta, since: Mapping[int, timedelta]) -> list[tuple[int, int]]:
    latest = sorted(since.items(), key=lambda item: item[1], reverse=True)[:MAX_REPORTED_WORKERS]
    return [(worker, max(0, (now - at) // MICROSECOND)) for worker, at in latest]
