"""One shed level by tenant and class, out of what the members say.

The rule is the lower median, each member's own level among the others: of three voices and more one liar
moves it from one true level to the next true one at the most, and never beyond what some true member says.
Of one or two voices nothing can be agreed on: each keeps its own level.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

VOICES: Final = 3  # with fewer a single one could decide


def agreed(own: float, others: Sequence[float]) -> float:
    """The lower median of all voices; the own one where they are too few."""
    voices = sorted([own, *others])
    return voices[(len(voices) - 1) // 2] if len(voices) >= VOICES else own


def agreed_levels(own: Mapping[int, int], others: Iterable[Mapping[int, int]]) -> dict[int, int]:
    """Of each cell that enough speak of.  Who names no cell at all sheds nothing, and says 0 of each; one
    that names some has seen no work in the others, and has no voice there."""
    told = [own, *others]
    levels = {}
    for cell in sorted({cell for voice in told for cell in voice}):
        voices = [voice.get(cell, 0) for voice in told if cell in voice or not voice]
        if len(voices) >= VOICES:
            levels[cell] = int(agreed(voices[0], voices[1:]))
    return levels
