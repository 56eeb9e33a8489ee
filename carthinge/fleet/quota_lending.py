"""Lending of quotas from idle members to busy ones; the sum of all shares never exceeds the total.

Each member owns the same number of units of each budget; together they own the total.  A busy member asks a
neighbour, which deducts the granted units from its own share first, for the duration of the loan; the busy
one adds them to its share for the same duration, counted from when it *asked*.  It asked before the grant
was made, so it stops using the units before the lender takes them back: clocks are never compared, only
their rates must agree to within ``DRIFT``.  Lost, late and repeated messages, partitions, stopped processes
and crashes can only leave units unused for the duration of a loan.

What a faulty member can add: a member borrows from each neighbour no more than ``max_loan``, and each member
is a lender to ``NEIGHBOURS`` others, so a faulty one hands out no more than the half that any may lend.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from hashlib import blake2b
from typing import Final

OWN_UNITS: Final = 1024  # units of each budget that a member owns
LENDABLE_UNITS: Final = OWN_UNITS // 2  # the most of these that it lends, and that it borrows
NEIGHBOURS: Final = 8  # members that a member lends to, and as many that it borrows from
LOAN_PERIODS: Final = 10
DRIFT: Final = 1.02  # the lender's loan is longer by that: clock rates may be off by one per cent each
BUSY_FILL_LEVEL: Final = 0.25  # below that a quota's owner borrows
IDLE_FILL_LEVEL: Final = 0.75  # above that it lends
ASSUMED_FILL_LEVEL: Final = 0.5  # if not known; its owner neither borrows nor lends
MAX_REQUESTS: Final = 8  # per period, for all budgets together


@lru_cache(maxsize=8192)
def ring_position(name: str) -> int:
    """A member's position in the ring of all members, the same at every scheduler."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


def budget_id(name: str, *terms: float) -> int:
    """The identifier of a budget in messages.  Budgets with other terms (a quota, for example) get another
    one, so that their units are not mixed."""
    text = "\0".join([name, *map(repr, terms)])
    return int.from_bytes(blake2b(text.encode(), digest_size=5).digest(), "little")


def max_loan(members: int) -> int:
    """The units of a budget that one member may borrow from another in a fleet of ``members``."""
    return LENDABLE_UNITS // min(NEIGHBOURS, max(1, members - 1))


@dataclass(slots=True)
class _Loan:
    budget: int
    units: int
    until: timedelta


@dataclass(slots=True)
class _PendingRequest:
    lender: str
    budget: int
    units: int
    at: timedelta


@dataclass(frozen=True, slots=True)
class BudgetRequest:
    """A request to a lender."""

    lender: str
    budget: int
    number: int
    units: int


class Ledger:
    """One member's shares of all budgets.  All durations follow from the period."""

    def __init__(
        self, name: str, budgets: Collection[int], period: timedelta, now: timedelta, number: int
    ) -> None:
        """``budgets``: the identifiers of the budgets that may be lent; one that only some members have is
        lent among them.  ``number``: the number of the last request before; if possible, above those of the
        previous run."""
        self.name, self.budgets = name, budgets
        self.loan_duration = LOAN_PERIODS * period
        self.lent: list[_Loan] = []
        self.borrowed: dict[str, list[_Loan]] = {}
        self.granted = self.asked_for = 0  #: units in total, for the metrics
        self._number = number
        self._pending: dict[int, _PendingRequest] = {}
        self._answered: dict[str, tuple[int, timedelta]] = {}  # the last number of each borrower
        # The previous run may have lent units; they are not used until its loans have expired.
        self._loans_known_at = now + self.loan_duration * DRIFT
        self._ring: list[str] = []
        self._members: frozenset[str] = frozenset()

    def set_members(self, others: Collection[str]) -> None:
        """Set the live members, without this one."""
        members = frozenset(others)
        if members != self._members:
            self._members = members
            self._ring = sorted([*members, self.name], key=ring_position)

    def available_units(self, now: timedelta, budget: int, ahead: timedelta = timedelta()) -> int:
        """The units that this member may use from now on for a duration of ``ahead``, if it lends no more.

        At least its own units less the lendable ones, at most its own units and as many as are lendable."""
        self._expire(now)
        own = OWN_UNITS - (LENDABLE_UNITS if now < self._loans_known_at else self._lent_units(budget))
        return own + sum(
            loan.units
            for loans in self.borrowed.values()
            for loan in loans
            if loan.budget == budget and loan.until > now + ahead
        )

    def make_requests(self, now: timedelta, fill_levels: Mapping[int, float]) -> list[BudgetRequest]:
        """Return requests for the emptiest budgets by ``fill_levels``, one neighbour each."""
        self._expire(now)
        requests: list[BudgetRequest] = []
        lenders = self.lenders()
        empty = sorted(
            (fill_levels.get(budget, ASSUMED_FILL_LEVEL), budget)
            for budget in self.budgets
            if fill_levels.get(budget, ASSUMED_FILL_LEVEL) < BUSY_FILL_LEVEL
        )
        for _, budget in empty[:MAX_REQUESTS] if lenders else ():
            units = max_loan(len(self._ring)) // 2  # two loans at a time, so that they can overlap
            lender = lenders[(self._number + 1) % len(lenders)]
            if units and self._borrowed_units(lender, budget) + units <= 2 * units:
                self._number += 1
                self._pending[self._number] = _PendingRequest(lender, budget, units, now)
                requests.append(BudgetRequest(lender, budget, self._number, units))
                self.asked_for += units
        return requests

    def grant(
        self,
        now: timedelta,
        borrower: str,
        budget: int,
        number: int,
        units: int,
        fill_levels: Mapping[int, float],
    ) -> int:
        """Lend units from now on and return their number; 0 for none, which needs no reply."""
        self._expire(now)
        answered = self._answered.get(borrower)
        if (
            budget not in self.budgets
            or now < self._loans_known_at
            or borrower not in self.borrowers()
            or (answered is not None and number <= answered[0])
        ):
            return 0
        self._answered[borrower] = (number, now)
        lendable = LENDABLE_UNITS - self._lent_units(budget)
        units = min(units, max_loan(len(self._ring)) // 2, lendable)
        if units <= 0 or fill_levels.get(budget, ASSUMED_FILL_LEVEL) <= IDLE_FILL_LEVEL:
            return 0
        self.lent.append(_Loan(budget, units, now + self.loan_duration * DRIFT))
        self.granted += units
        return units

    def receive(self, now: timedelta, lender: str, budget: int, number: int, units: int) -> bool:
        """Add granted units; return False for a grant that was not requested, is too large or too late."""
        self._expire(now)
        request = self._pending.get(number)
        if (
            request is None
            or request.lender != lender
            or request.budget != budget
            or not 0 < units <= request.units
        ):
            return False
        del self._pending[number]
        total = sum(loan.units for loans in self.borrowed.values() for loan in loans if loan.budget == budget)
        if total + units > LENDABLE_UNITS:
            return False
        self.borrowed.setdefault(lender, []).append(_Loan(budget, units, request.at + self.loan_duration))
        return True

    def _expire(self, now: timedelta) -> None:
        if any(loan.until <= now for loan in self.lent):
            self.lent = [loan for loan in self.lent if loan.until > now]
        for lender, loans in list(self.borrowed.items()):
            if any(loan.until <= now for loan in loans):
                self.borrowed[lender] = [loan for loan in loans if loan.until > now]
                if not self.borrowed[lender]:
                    del self.borrowed[lender]
        for number in [
            number for number, request in self._pending.items() if request.at + self.loan_duration <= now
        ]:
            del self._pending[number]
        for borrower in [
            name for name, (_, at) in self._answered.items() if at + 2 * self.loan_duration <= now
        ]:
            del self._answered[borrower]

    def _lent_units(self, budget: int) -> int:
        return sum(loan.units for loan in self.lent if loan.budget == budget)

    def _borrowed_units(self, lender: str, budget: int) -> int:
        """The units borrowed from one lender, with those that are requested."""
        return sum(loan.units for loan in self.borrowed.get(lender, ()) if loan.budget == budget) + sum(
            request.units
            for request in self._pending.values()
            if (request.lender, request.budget) == (lender, budget)
        )

    def lenders(self) -> list[str]:
        """The neighbours before this member in the ring."""
        return self._neighbours(-1)

    def borrowers(self) -> list[str]:
        """The neighbours after this member in the ring."""
        return self._neighbours(1)

    def _neighbours(self, step: int) -> list[str]:
        size = len(self._ring)
        if size < 2:
            return []
        at = self._ring.index(self.name)
        return [
            self._ring[(at + step * distance) % size] for distance in range(1, min(NEIGHBOURS, size - 1) + 1)
        ]
