"""Who tries a dead worker again, where none knows the others: each more seldom, the more there are."""

from typing import Final

TRIED_AS_BY: Final = 8.0  # schedulers that try it as often as one alone would; more share their tries


def factor(sharers: float) -> float:
    """How many times as long each of ``sharers`` schedulers leaves a dead worker alone, so that a worker is
    tried as often by all of them as by ``TRIED_AS_BY``."""
    return max(1.0, sharers / TRIED_AS_BY)
