"""Budgets that pass from idle members to busy ones, so that the sum of all parts never exceeds the whole.

Each member begins with ``BASE`` units of each purse, and all of them together are the whole.  A busy member
asks a neighbour; that one takes what it grants off its own part first, for a span, and the busy one adds it
to its own for the same span counted from when it *asked*.  It asked before the grant was made, so it stops
using the units before the other one takes them back: no clock is compared with another, only their rates must
be as good as ``DRIFT``.  Lost, late and repeated messages, cuts, stops and deaths can only leave units unused
for a span.

What one that lies can add: a member takes from each neighbour no more than its lane, and that one is lender
to ``NEIGHBOURS`` members, so a liar hands out no more than the half that a true member may lend.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from hashlib import blake2b
from typing import Final

BASE: Final = 1024  # units of each purse that a member begins with
LENDABLE: Final = BASE // 2  # of these at the most
NEIGHBOURS: Final = 8  # members that one lends to, and that one borrows from
SPAN: Final = 10  # periods of a loan
DRIFT: Final = 1.02  # a lender waits so much longer: clocks may run apart by a hundredth each
BUSY: Final = 0.25  # left of a purse's store: with less, its owner asks
IDLE: Final = 0.75  # with more, its owner lends
UNKNOWN: Final = 0.5  # neither
ASKS_MOST: Final = 8  # a period, of all purses together


@lru_cache(maxsize=8192)
def point(name: str) -> int:
    """A member's place among all, the same at every scheduler."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


def purse_of(name: str, *terms: float) -> int:
    """The name of a budget in messages: those with other terms (a quota, say) are others, and do not mix."""
    text = "\0".join([name, *map(repr, terms)])
    return int.from_bytes(blake2b(text.encode(), digest_size=5).digest(), "little")


def lane(members: int) -> int:
    """Units that a member may have from one lender, of so many members, itself included."""
    return LENDABLE // min(NEIGHBOURS, max(1, members - 1))


@dataclass(slots=True)
class _Loan:
    purse: int
    units: int
    until: timedelta


@dataclass(slots=True)
class _Ask:
    lender: str
    purse: int
    units: int
    at: timedelta


@dataclass(frozen=True, slots=True)
class Asking:
    """A message to a lender."""

    lender: str
    purse: int
    number: int
    units: int


class Ledger:
    """One member's parts of all purses.  All spans follow from the period."""

    def __init__(
        self, name: str, purses: Collection[int], period: timedelta, now: timedelta, number: int
    ) -> None:
        """``purses``: the names of the budgets that pass; one that only some members have stays with them.
        ``number``: asks are counted on from it; above those of the life before, where that can be had."""
        self.name, self.purses = name, purses
        self.span = SPAN * period
        self.lent: list[_Loan] = []
        self.borrowed: dict[str, list[_Loan]] = {}
        self.granted = self.asked_for = 0  #: units so far, for the figures
        self._number = number
        self._asks: dict[int, _Ask] = {}
        self._answered: dict[str, tuple[int, timedelta]] = {}  # the last number of each borrower
        # A life before this one may have lent units that are out still: they are not used here meanwhile.
        self._whole_at = now + self.span * DRIFT
        self._order: list[str] = []
        self._members: frozenset[str] = frozenset()

    def meet(self, here: Collection[str]) -> None:
        """The members that are here, this one not among them."""
        members = frozenset(here)
        if members != self._members:
            self._members = members
            self._order = sorted([*members, self.name], key=point)

    def part(self, now: timedelta, purse: int, ahead: timedelta = timedelta()) -> int:
        """The units that this member may use from now on for a span of ``ahead``, if it lends no more.

        From ``BASE - LENDABLE`` to ``BASE + LENDABLE``."""
        self._expire(now)
        own = BASE - (LENDABLE if now < self._whole_at else self._lent_of(purse))
        return own + sum(
            loan.units
            for loans in self.borrowed.values()
            for loan in loans
            if loan.purse == purse and loan.until > now + ahead
        )

    def ask(self, now: timedelta, left: Mapping[int, float]) -> list[Asking]:
        """What to ask for, by what is left in the store of each purse: the emptiest, one neighbour each."""
        self._expire(now)
        asks: list[Asking] = []
        lenders = self.lenders()
        empty = sorted(
            (left.get(purse, UNKNOWN), purse) for purse in self.purses if left.get(purse, UNKNOWN) < BUSY
        )
        for _, purse in empty[:ASKS_MOST] if lenders else ():
            units = lane(len(self._order)) // 2  # two loans at a time, so that one goes on as the other ends
            lender = lenders[(self._number + 1) % len(lenders)]
            if units and self._borrowed_of(lender, purse) + units <= 2 * units:
                self._number += 1
                self._asks[self._number] = _Ask(lender, purse, units, now)
                asks.append(Asking(lender, purse, self._number, units))
                self.asked_for += units
        return asks

    def grant(
        self, now: timedelta, borrower: str, purse: int, number: int, units: int, left: Mapping[int, float]
    ) -> int:
        """Units that this one hands out from now on; 0 for none, and then there is nothing to answer."""
        self._expire(now)
        known = self._answered.get(borrower)
        if purse not in self.purses or now < self._whole_at or (known is not None and number <= known[0]):
            return 0
        self._answered[borrower] = (number, now)
        room = LENDABLE - self._lent_of(purse)
        units = min(units, lane(len(self._order)) // 2, room)
        if units <= 0 or left.get(purse, UNKNOWN) <= IDLE or borrower not in self.borrowers():
            return 0
        self.lent.append(_Loan(purse, units, now + self.span * DRIFT))
        self.granted += units
        return units

    def receive(self, now: timedelta, lender: str, purse: int, number: int, units: int) -> bool:
        """Adds what was asked for, and no more; False for whatever was not asked for, or comes too late."""
        self._expire(now)
        ask = self._asks.get(number)
        if ask is None or ask.lender != lender or ask.purse != purse or not 0 < units <= ask.units:
            return False
        del self._asks[number]
        total = sum(loan.units for loans in self.borrowed.values() for loan in loans if loan.purse == purse)
        if total + units > LENDABLE:
            return False
        self.borrowed.setdefault(lender, []).append(_Loan(purse, units, ask.at + self.span))
        return True

    def _expire(self, now: timedelta) -> None:
        if any(loan.until <= now for loan in self.lent):
            self.lent = [loan for loan in self.lent if loan.until > now]
        for lender, loans in list(self.borrowed.items()):
            if any(loan.until <= now for loan in loans):
                self.borrowed[lender] = [loan for loan in loans if loan.until > now]
                if not self.borrowed[lender]:
                    del self.borrowed[lender]
        for number in [number for number, ask in self._asks.items() if ask.at + self.span <= now]:
            del self._asks[number]
        for borrower in [name for name, (_, at) in self._answered.items() if at + 2 * self.span <= now]:
            del self._answered[borrower]

    def _lent_of(self, purse: int) -> int:
        return sum(loan.units for loan in self.lent if loan.purse == purse)

    def _borrowed_of(self, lender: str, purse: int) -> int:
        """Units from one lender, those that are asked for included."""
        return sum(loan.units for loan in self.borrowed.get(lender, ()) if loan.purse == purse) + sum(
            ask.units for ask in self._asks.values() if (ask.lender, ask.purse) == (lender, purse)
        )

    def lenders(self) -> list[str]:
        """Those before this one in the order of all."""
        return self._near(-1)

    def borrowers(self) -> list[str]:
        """Those after this one."""
        return self._near(1)

    def _near(self, step: int) -> list[str]:
        size = len(self._order)
        if size < 2:
            return []
        at = self._order.index(self.name)
        return [self._order[(at + step * place) % size] for place in range(1, min(NEIGHBOURS, size - 1) + 1)]
