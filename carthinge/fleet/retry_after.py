"""The retry_after of refused requests: from the measured load, and spread so that retries do not coincide."""

from typing import Final

SPREAD_FACTOR: Final = 2  # the longest retry_after over the shortest
POINT_RANGE: Final = 1 << 64


def time_until_capacity(held: float, ended_per_s: float) -> float:
    """The time in microseconds in which a scheduler finishes the ``held`` work at the current rate (Little's
    law); infinite if nothing has finished yet."""
    return 1e6 * held / ended_per_s if ended_per_s > 0 else float("inf")


def compute_retry_after(until_capacity: float, minimum: float, maximum: int, point: int) -> int:
    """Return the retry_after of a request in microseconds, at most ``maximum``: at least the time
    ``until_capacity``, and longer by the request's ``point`` (a hash, 0 up to 2**64) to spread retries.

    If ``maximum`` is shorter than that, half of it is used for the spread: with the same retry_after for all
    requests their retries would coincide, and a shorter one would not promise capacity either.
    """
    shortest = min(max(until_capacity, minimum), maximum / SPREAD_FACTOR)
    return min(maximum, int(shortest * (1 + (SPREAD_FACTOR - 1) * (point % POINT_RANGE) / POINT_RANGE)))
