"""Agreement on one shedding level per tenant and class from the levels that the members report.

The rule is the lower median, with each member's own level included: among three or more votes one faulty
member shifts the result at most to the next level of a correct member, and never beyond all of them.  One or
two votes allow no agreement: each member keeps its own level.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

MIN_VOTES: Final = 3  # with fewer a single member could decide


def agreed(own: float, others: Sequence[float]) -> float:
    """The lower median of all votes; the own one if there are too few."""
    votes = sorted([own, *others])
    return votes[(len(votes) - 1) // 2] if len(votes) >= MIN_VOTES else own


def agreed_levels(own: Mapping[int, int], others: Iterable[Mapping[int, int]]) -> dict[int, int]:
    """The agreed level of each cell with enough votes.  A member that reports no cell sheds nothing and votes
    0 for each; one that reports some cells has seen no work in the others, and has no vote there."""
    reported = [own, *others]
    levels = {}
    for cell in sorted({cell for report in reported for cell in report}):
        votes = [report.get(cell, 0) for report in reported if cell in report or not report]
        if len(votes) >= MIN_VOTES:
            levels[cell] = int(agreed(votes[0], votes[1:]))
    return levels
