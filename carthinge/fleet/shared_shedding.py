"""The shed level by tenant and class: what one scheduler tells of its own, and what it does with the agreed.

Each tells what its own level alone would shed of each cell, never what it sheds on the word of others: so no
level holds itself up by being repeated, and the agreed one falls as the members' own pressure does.

The agreed one acts where a scheduler has little of its own to go by: as far as fewer jobs have come of late
than its own level grants a start to unseen.  It only adds to the own one, and keeps what that always keeps.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from carthinge.fleet.load_shedding import FIRST, LEAST, OFFERED, Offered, faded

Cell = tuple[int, int]  #: a tenant and a class, by their positions
FULL: Final = 100  # all of a cell's work is shed: levels are per cent
FORGOTTEN: Final = 4 * OFFERED  # seconds without work, after which nothing is known of a cell


class SharedSheddingLevel:
    """One scheduler's part of it.  Times are microseconds on its caller's clock."""

    def __init__(self) -> None:
        self.agreed: Mapping[Cell, int] = {}  #: a cell that is not in it goes by the own level alone
        self._offered: dict[Cell, Offered] = {}
        self._jobs, self._jobs_at = 0.0, 0  # that have come, fading as offered work does

    def told(self, kept: float, now: int) -> dict[Cell, int]:
        """What is shed of each cell where that part of all work is kept, the largest cell first; empty where
        all is kept."""
        cells = {}
        for cell, offered in list(self._offered.items()):
            if now - offered.since > FORGOTTEN * 1e6:
                del self._offered[cell]
                continue
            fade = faded(offered.since, now, OFFERED)
            cells[cell] = {rank: work * fade for rank, work in offered.work.items()}
        if kept >= 1:
            return {}
        ranks: dict[int, float] = {}
        for works in cells.values():
            for rank, work in works.items():
                ranks[rank] = ranks.get(rank, 0.0) + work
        sizes = {cell: sum(works.values()) for cell, works in cells.items()}
        left, parts = (1 - kept) * sum(sizes.values()), {}  # what is still to be shed, from the low end on
        for rank, work in sorted(ranks.items()):
            parts[rank] = min(1.0, left / work) if work else 0.0
            left = max(0.0, left - work)
        shed = {
            cell: sum(parts[rank] * work for rank, work in works.items()) for cell, works in cells.items()
        }
        return {
            cell: round(FULL * shed[cell] / sizes[cell])
            for cell in sorted(sizes, key=sizes.__getitem__, reverse=True)
            if sizes[cell]
        }

    def sheds(self, cell: Cell, rank: int, work: float, point: int, now: int) -> bool:
        """Whether a job that has just come is shed by the agreed level."""
        jobs = self._jobs * faded(self._jobs_at, now, OFFERED)
        self._jobs, self._jobs_at = jobs + 1, now
        offered = self._offered.get(cell)
        if offered is None:
            offered = self._offered[cell] = Offered(since=now)
        offered.add(rank, work, now)
        part = min(1 - LEAST, self.agreed.get(cell, 0) / FULL) * max(0.0, 1 - jobs / FIRST)
        return part > 0 and offered.shed(part, rank, point)
