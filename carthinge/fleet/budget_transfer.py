"""Transfers of retry budget from idle members to busy ones; unlike quotas, it is given and not lent.

A quota is a rate, and a part of it can be lent for a while.  The retry budget is a balance that served jobs
fill: what is unused in a full one is transferred itself.  The giver deducts it before the message leaves, and
the taker adds it at most once for each request: so whatever is lost, late, repeated, partitioned or stopped,
all balances together never exceed what was earned and not yet spent.

What a faulty member can add: a member requests one piece from one neighbour in a period, and accepts no more;
a faulty one has ``NEIGHBOURS`` takers, each of which asks it once in as many periods.  That is at most one
piece a period.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from carthinge.fleet.quota_lending import (
    BUSY_FILL_LEVEL,
    IDLE_FILL_LEVEL,
    NEIGHBOURS,
    BudgetRequest,
    budget_id,
)
from carthinge.fleet.retry_budget import EARNED_PER_SERVED_JOB

UNITS_PER_RETRY: Final = 1000
PIECES_PER_BALANCE: Final = 8  # the maximal balance over the units of one transfer
MAX_PENDING_REQUESTS: Final = 2 * NEIGHBOURS  # older ones than two passes over the givers are dropped


class BudgetTransfer:
    """One member's requests and grants."""

    def __init__(self, number: int) -> None:
        """``number``: the number before the first request's; higher than in the previous run if possible."""
        self.given = self.taken = 0  #: units in total, for the metrics
        self.budget, self.max_retries = -1, 0.0
        self._number = number
        self._pending: dict[int, str] = {}  # giver by number
        self._answered: dict[str, int] = {}  # the last number of each taker

    def set_max_retries(self, max_retries: float) -> None:
        """Set the maximal balance; units are exchanged only among members with the same one."""
        if max_retries != self.max_retries:
            self.max_retries, self.budget = (
                max_retries,
                budget_id("\0attempts", EARNED_PER_SERVED_JOB, max_retries),
            )

    def make_request(self, retries_left: float, givers: Sequence[str]) -> BudgetRequest | None:
        """Return a request if the balance ``retries_left`` is low; called once a period."""
        if not givers or retries_left >= BUSY_FILL_LEVEL * self.max_retries:
            return None
        self._number += 1
        giver = givers[self._number % len(givers)]
        self._pending[self._number] = giver
        while len(self._pending) > MAX_PENDING_REQUESTS:
            del self._pending[next(iter(self._pending))]
        return BudgetRequest(giver, self.budget, self._number, self._piece())

    def grant(self, taker: str, number: int, units: int, retries_left: float, takers: Sequence[str]) -> int:
        """Return the units to transfer, or 0; the caller deducts them from the balance ``retries_left``."""
        if number <= self._answered.get(taker, -1) or taker not in takers:
            return 0
        self._answered = {name: last for name, last in self._answered.items() if name in takers}
        self._answered[taker] = number
        units = min(
            units, self._piece(), int((retries_left - IDLE_FILL_LEVEL * self.max_retries) * UNITS_PER_RETRY)
        )
        if units <= 0:
            return 0
        self.given += units
        return units

    def receive(self, giver: str, number: int, units: int) -> int:
        """Return the units to add to the balance: those of a pending request, once; else 0."""
        if self._pending.get(number) != giver or not 0 < units <= self._piece():
            return 0
        del self._pending[number]
        self.taken += units
        return units

    def _piece(self) -> int:
        return int(self.max_retries * UNITS_PER_RETRY) // PIECES_PER_BALANCE
