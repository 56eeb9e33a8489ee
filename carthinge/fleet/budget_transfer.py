"""Further attempts that pass from idle members to busy ones: given away for good, as quotas are not.

A quota is a rate, and a part of it can be lent for a span.  The budget for further attempts is a store that
served jobs fill: what lies idle in a full one is handed over itself.  The giver takes it out of its store
before the message leaves, and the taker puts it into its own at most once for each ask: so whatever is lost,
late, repeated, cut or stopped, all stores together only ever hold what was earned and not yet spent.

What one that lies can add: a member asks one neighbour a period, for a piece, and takes no more; a liar has
``NEIGHBOURS`` takers, each of which asks it every so many periods.  That is a piece a period at the most.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from carthinge.fleet.quota_lending import BUSY, IDLE, NEIGHBOURS, Asking, purse_of
from carthinge.fleet.retry_budget import SHARE

UNITS: Final = 1000  # of an attempt
PIECES: Final = 8  # that the most in a store is passed on in
OPEN: Final = 2 * NEIGHBOURS  # asks that are waited for: one that is older than two rounds is given up


class BudgetTransfer:
    """One member's part of it."""

    def __init__(self, number: int) -> None:
        """``number``: asks are counted on from it; above those of the life before, where that can be had."""
        self.given = self.taken = 0  #: units so far, for the figures
        self.purse, self.most = -1, 0.0
        self._number = number
        self._asks: dict[int, str] = {}  # number, and whom
        self._answered: dict[str, int] = {}  # the last number of each that has asked

    def retune(self, most: float) -> None:
        """What a store here holds at the most; members with another one have another budget."""
        if most != self.most:
            self.most, self.purse = most, purse_of("\0attempts", SHARE, most)

    def ask(self, left: float, givers: Sequence[str]) -> Asking | None:
        """What to ask for, with so many attempts left here: once a period."""
        if not givers or left >= BUSY * self.most:
            return None
        self._number += 1
        giver = givers[self._number % len(givers)]
        self._asks[self._number] = giver
        while len(self._asks) > OPEN:
            del self._asks[next(iter(self._asks))]
        return Asking(giver, self.purse, self._number, self._piece())

    def grant(self, taker: str, number: int, units: int, left: float, takers: Sequence[str]) -> int:
        """Units that are handed out; they are no more part of what is left here.  0 for none."""
        if number <= self._answered.get(taker, -1) or taker not in takers:
            return 0
        self._answered = {name: last for name, last in self._answered.items() if name in takers}
        self._answered[taker] = number
        units = min(units, self._piece(), int((left - IDLE * self.most) * UNITS))
        if units <= 0:
            return 0
        self.given += units
        return units

    def receive(self, giver: str, number: int, units: int) -> int:
        """Units that come into the store here: of what was asked for, once; else 0."""
        if self._asks.get(number) != giver or not 0 < units <= self._piece():
            return 0
        del self._asks[number]
        self.taken += units
        return units

    def _piece(self) -> int:
        return int(self.most * UNITS) // PIECES
