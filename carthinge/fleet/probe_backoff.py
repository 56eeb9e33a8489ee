"""Backoff for dead workers: the more schedulers share one, the less often each tries it."""

from typing import Final

MAX_COMBINED_RATE: Final = 8.0  # of tries by all schedulers together, in multiples of one scheduler's


def factor(sharers: float) -> float:
    """Returns the factor by which each of ``sharers`` schedulers extends its pause before it tries a dead
    worker, so that all of them together try it no more often than ``MAX_COMBINED_RATE`` schedulers."""
    return max(1.0, sharers / MAX_COMBINED_RATE)
