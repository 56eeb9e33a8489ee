"""Shedding levels by tenant and class: what a scheduler reports, and how it applies the agreed ones.

Each scheduler reports what its own level alone would shed of each cell, never what it sheds because of the
agreed level: otherwise a level would sustain itself by being repeated.  So the agreed level falls with the
members' own measured load.

The agreed level applies while a scheduler has seen few jobs itself: in proportion to how far its recent jobs
fall short of the starts that its own level assumes.  It sheds in addition to the own level, and keeps the
same minimum share.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from carthinge.fleet.load_shedding import (
    INITIAL_STARTS,
    MIN_KEPT_SHARE,
    OFFERED_WORK_DECAY_S,
    OfferedWork,
    decay_factor,
)

Cell = tuple[int, int]  #: a tenant and a class, by their positions
PER_CENT: Final = 100  # levels are per cent of a cell's work
CELL_RETENTION_S: Final = 4 * OFFERED_WORK_DECAY_S  # time without work after which a cell is dropped


class SharedSheddingLevel:
    """One scheduler's part in the agreed shedding level.  Times are microseconds on the caller's clock."""

    def __init__(self) -> None:
        self.agreed: Mapping[Cell, int] = {}  #: cells that are missing follow the own level alone
        self._offered: dict[Cell, OfferedWork] = {}
        self._jobs, self._jobs_at = 0.0, 0  # recent arrivals, which decay as offered work does

    def own_levels(self, kept: float, now: int) -> dict[Cell, int]:
        """What is shed of each cell, in per cent, if the share ``kept`` of all work is kept; the largest cell
        comes first.  Empty if all is kept."""
        cells = {}
        for cell, offered in list(self._offered.items()):
            if now - offered.since > CELL_RETENTION_S * 1e6:
                del self._offered[cell]
                continue
            decay = decay_factor(offered.since, now, OFFERED_WORK_DECAY_S)
            cells[cell] = {rank: work * decay for rank, work in offered.work.items()}
        if kept >= 1:
            return {}
        ranks: dict[int, float] = {}
        for works in cells.values():
            for rank, work in works.items():
                ranks[rank] = ranks.get(rank, 0.0) + work
        sizes = {cell: sum(works.values()) for cell, works in cells.items()}
        # The work to shed, which is assigned from the lowest rank up.
        remaining, shares = (1 - kept) * sum(sizes.values()), {}
        for rank, work in sorted(ranks.items()):
            shares[rank] = min(1.0, remaining / work) if work else 0.0
            remaining = max(0.0, remaining - work)
        shed = {
            cell: sum(shares[rank] * work for rank, work in works.items()) for cell, works in cells.items()
        }
        return {
            cell: round(PER_CENT * shed[cell] / sizes[cell])
            for cell in sorted(sizes, key=sizes.__getitem__, reverse=True)
            if sizes[cell]
        }

    def sheds(self, cell: Cell, rank: int, work: float, point: int, now: int) -> bool:
        """Whether the agreed level sheds a job that has just arrived."""
        jobs = self._jobs * decay_factor(self._jobs_at, now, OFFERED_WORK_DECAY_S)
        self._jobs, self._jobs_at = jobs + 1, now
        offered = self._offered.get(cell)
        if offered is None:
            offered = self._offered[cell] = OfferedWork(since=now)
        offered.add(rank, work, now)
        share = min(1 - MIN_KEPT_SHARE, self.agreed.get(cell, 0) / PER_CENT) * max(
            0.0, 1 - jobs / INITIAL_STARTS
        )
        return share > 0 and offered.is_in_lowest(share, rank, point)
