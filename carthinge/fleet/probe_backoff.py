"""Backoff for dead workers: the more schedulers use one, the less often each tries it."""

from typing import Final

MAX_COMBINED_RATE: Final = 8.0  # of tries by all schedulers together, in multiples of one scheduler's


def factor(schedulers: float) -> float:
    """Return the factor by which each of that many schedulers extends its pause before it tries a dead
    worker, so that all of them together try it no more often than ``MAX_COMBINED_RATE`` schedulers."""
    return max(1.0, schedulers / MAX_COMBINED_RATE)
