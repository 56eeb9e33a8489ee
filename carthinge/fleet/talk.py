"""One scheduler's part in what all decide together: who is there, what they say, and what follows from it.

Pure as its parts are: the time, messages and what the scheduler sees go in; messages and a view come out.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final, Protocol

from carthinge.fleet.agreement import agreed, agreed_levels
from carthinge.fleet.budget_transfer import UNITS, BudgetTransfer
from carthinge.fleet.gossip import HERE, Member, Sending
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import CELLS_MOST, DOUBTS_MOST, LEVEL_MOST, Kind, Packet, Standing, Summary
from carthinge.fleet.quota_lending import BASE, Ledger
from carthinge.fleet.shared_ejections import Ruling, SharedDoubts
from carthinge.fleet.summary import BUDGET_MOST, MICROSECOND, PRESSURE_MOST, Summaries

FORGET_EVERY: Final = 64  # periods
LEVELS_FRESH: Final = 3  # periods for which a word on levels counts: pressure changes in seconds
AHEAD: Final = 1.5  # periods: a round may come late


@dataclass(frozen=True, slots=True)
class Facts:
    """What the scheduler itself sees."""

    doubted: Mapping[int, int] = field(default_factory=dict)  #: workers, and how often in a row each failed
    well: Mapping[int, timedelta] = field(default_factory=dict)  #: of those asked for, the last good sign
    workers: int = 0  #: that are listed
    left: Mapping[int, float] = field(default_factory=dict)  #: of the store of each purse, 0 to 1
    pressure: float = 0.0
    levels: Mapping[int, int] = field(default_factory=dict)  #: shed here by cell, per cent, largest first
    spent: float = 0.0  #: of the budget for repeats, since it was last asked
    repeats_left: float = 0.0
    repeats_most: float = 0.0  #: that may be left


class Scheduler(Protocol):
    """The scheduler that talks."""

    def look(self, workers: Collection[int]) -> Facts:
        """The facts of now, with the last signs of these workers."""

    def repeats(self) -> float:
        """What is left of the budget for repeats now, less what was just given away."""


@dataclass(slots=True)
class View:
    """What all decide together, as this one sees it now."""

    ruling: Ruling = field(default_factory=Ruling)
    levels: dict[int, int] = field(default_factory=dict)  #: agreed ones, of each cell that enough speak of
    pressure: float = 0.0  #: the median
    parts: dict[int, float] = field(default_factory=dict)  #: of each purse, 1.0 for the own one
    voices: int = 1  #: that count, the own one included


class Talk:
    """Everything of one scheduler that has to do with the others."""

    def __init__(
        self,
        membership: Membership,
        shape: int,
        purses: Collection[int],
        life: int,
        scheduler: Scheduler,
        now: timedelta,
    ) -> None:
        """``life``: drawn at random at the start.  ``purses``: budgets that pass, the same at all members."""
        self.membership, self.scheduler, self.period = membership, scheduler, membership.period
        self.summaries = Summaries(shape, self.period)
        self.ledger = Ledger(membership.name, purses, self.period, now, membership.voice.incarnation)
        self.gifts = BudgetTransfer(membership.voice.incarnation)
        self.doubts = SharedDoubts(membership.name, self.period)
        self.view = View(parts=dict.fromkeys(purses, 1.0))
        self.rounds = 0
        self.changes = 0  #: of the view
        self._passed = 0
        self._life, self._shape = life, shape
        self._left: Mapping[int, float] = {}
        self._own: dict[int, tuple[int, timedelta]] = {}  # doubts: how often in a row, and since when
        self._answered: dict[int, timedelta] = {}  # of these the ones that were found well since
        self._asked_of: set[int] = set()
        self._next = now

    def due(self) -> timedelta:
        """When ``tick`` is wanted next."""
        return min(self._next, self.membership.due())

    def tick(self, now: timedelta) -> list[Sending]:
        """Does what is due; a round of its own once a period, before what the membership sends of it."""
        out = []
        if now >= self._next and not self.membership.left:
            self._next = now + self.period
            self._round(now)
            out = self.membership.voice.sent()
        return out + self.membership.tick(now)

    def hear(self, now: timedelta, packet: Packet) -> list[Sending]:
        """Takes in a message; returns what is to be sent at once."""
        out = self.membership.hear(now, packet)
        sender = self.membership.members.get(packet.name)
        if sender is None or sender.standing not in HERE or self.membership.left:
            return out
        if packet.summary is not None:
            self.summaries.take(now, packet.name, packet.summary)
        if packet.kind in (Kind.ASK, Kind.GRANT) and packet.purse == self.gifts.purse:
            self._pass_on(packet, sender)
        elif packet.kind is Kind.ASK:
            self.ledger.meet([member.name for member in self.membership.here()])
            units = self.ledger.grant(now, packet.name, packet.purse, packet.number, packet.units, self._left)
            if units:
                self.view.parts = self._parts(now)  # before the other one knows of it
                self.changes += 1
                self.membership.voice.say(Kind.GRANT, sender, packet.number, purse=packet.purse, units=units)
        elif packet.kind is Kind.GRANT:
            self.ledger.receive(now, packet.name, packet.purse, packet.number, packet.units)
        return out + self.membership.voice.sent()

    def passed(self) -> float:
        """Attempts of the budget for repeats that have come since this was last asked; below 0: gone."""
        passed, self._passed = self._passed / UNITS, 0
        return passed

    def retune(self, now: timedelta, shape: int, purses: Collection[int]) -> None:
        """Other tenants, classes or quotas hold here; what is lent of a purse that is kept stays lent."""
        self._shape = self.summaries.shape = shape
        self.ledger.purses = purses
        self._left = {}
        self.view.parts = self._parts(now)
        self.changes += 1

    def alone(self, now: timedelta) -> dict[int, float]:
        """The parts where no more is heard of the others: without what is borrowed, less what is lent."""
        ledger = self.ledger
        return {purse: ledger.part(now, purse, ledger.span) / BASE for purse in ledger.purses}

    def leave(self, now: timedelta) -> list[Sending]:
        """Tells everybody that this scheduler ends."""
        self._next = now + self.period * FORGET_EVERY
        return self.membership.leave(now)

    def _round(self, now: timedelta) -> None:
        self.rounds += 1
        members = {member.name: member for member in self.membership.here()}
        self.ledger.meet(members.keys())
        facts = self.scheduler.look(self._asked_of)
        self._left = facts.left
        new = self._note(now, facts.doubted)
        heard = self.summaries.fresh(now, members.keys())
        late = now - self.period * LEVELS_FRESH
        levels = [other.levels for other in heard.values() if other.at >= late]
        told = {
            worker: since for worker, (_, since) in self._own.items() if self._answered.get(worker) != since
        }
        ruling = self.doubts.decide(now, told, facts.well, heard, members.keys(), facts.workers)
        self._answered |= {worker: told[worker] for worker in ruling.answered}
        self._asked_of = self.doubts.asked_of()
        self.view = View(
            ruling,
            agreed_levels(facts.levels, levels),
            agreed(facts.pressure, [other.pressure for other in heard.values()]),
            self._parts(now),
            1 + len(heard),
        )
        self.changes += 1
        self.membership.voice.summary = self._summary(now, facts, told)
        if new:  # at first hand, and at most once a period: all hear of it at once
            for member in members.values():
                self.membership.voice.say(Kind.BEAT, member)
        for asking in self.ledger.ask(now, facts.left):
            self.membership.voice.say(
                Kind.ASK, members[asking.lender], asking.number, purse=asking.purse, units=asking.units
            )
        self.gifts.retune(facts.repeats_most)
        if gift := self.gifts.ask(facts.repeats_left, self.ledger.lenders()):
            self.membership.voice.say(
                Kind.ASK, members[gift.lender], gift.number, purse=gift.purse, units=gift.units
            )
        if self.rounds % FORGET_EVERY == 0:
            self.summaries.forget(self.membership.members.keys())

    def _pass_on(self, packet: Packet, sender: Member) -> None:
        """An ask for a part of the budget for repeats, or its answer."""
        gifts, units = self.gifts, packet.units
        if packet.kind is Kind.GRANT:
            self._passed += gifts.receive(packet.name, packet.number, units)
        elif units := gifts.grant(
            packet.name, packet.number, units, self.scheduler.repeats(), self.ledger.borrowers()
        ):
            self._passed -= units
            self.membership.voice.say(Kind.GRANT, sender, packet.number, purse=packet.purse, units=units)
        self.changes += 1

    def _parts(self, now: timedelta) -> dict[int, float]:
        """What may be used until the next round at the least: what ends sooner is left out now."""
        ahead = self.period * AHEAD
        return {purse: self.ledger.part(now, purse, ahead) / BASE for purse in self.ledger.purses}

    def _note(self, now: timedelta, doubted: Mapping[int, int]) -> bool:
        """A worker that fails once more is doubted from now on; tells whether there is one."""
        new = False
        for worker in self._own.keys() - doubted.keys():
            del self._own[worker]
            self._answered.pop(worker, None)
        for worker, times in doubted.items():
            known = self._own.get(worker)
            if known is None or times > known[0]:
                new |= known is None
                self._own[worker] = (times, now)
            elif times < known[0]:
                self._own[worker] = (times, known[1])
        return new

    def _summary(self, now: timedelta, facts: Facts, doubts: Mapping[int, timedelta]) -> Summary:
        """As much as fits of each: the newest doubts, the largest cells."""
        levels = [(cell, min(level, LEVEL_MOST)) for cell, level in list(facts.levels.items())[:CELLS_MOST]]
        return Summary(
            self._life,
            self.rounds,
            self._shape,
            _within(facts.pressure, PRESSURE_MOST),
            levels,
            _within(facts.spent, BUDGET_MOST),
            _within(facts.repeats_left, BUDGET_MOST),
            _aged(now, doubts),
            _aged(now, self.doubts.well),
        )

    def figures(self) -> dict[str, object]:
        """What operators see of it."""
        counts, ruling, parts = self.membership.counts(), self.view.ruling, self.view.parts.values()
        return {
            **{f"members_{name}": counts[name] for name in ("alive", "suspect", "dead", "left")},
            "voices": self.view.voices,
            "pressure": round(self.view.pressure, 3),
            "level_most": max(self.view.levels.values(), default=0),
            "part_least": round(min(parts, default=1.0), 3),
            "part_most": round(max(parts, default=1.0), 3),
            "lent": self.ledger.granted,
            "asked_for": self.ledger.asked_for,
            "repeats_given": self.gifts.given / UNITS,
            "repeats_taken": self.gifts.taken / UNITS,
            "workers_doubted": ruling.doubted,
            "workers_to_try": len(ruling.mine),
            "summaries_refused": sum(self.summaries.refused.values()),
        }

    def news(self) -> list[tuple[str, Standing]]:
        """Members whose standing has changed since this was last asked."""
        news, self.membership.news = self.membership.news, []
        return news


def _within(value: float, most: float) -> float:
    return min(max(value, 0.0), most) if value == value else 0.0


def _aged(now: timedelta, since: Mapping[int, timedelta]) -> list[tuple[int, int]]:
    newest = sorted(since.items(), key=lambda item: item[1], reverse=True)[:DOUBTS_MOST]
    return [(worker, max(0, (now - at) // MICROSECOND)) for worker, at in newest]
