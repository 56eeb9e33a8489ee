"""When those who were refused may come again: once there is room, by what is measured, and not together."""

from typing import Final

SPREAD: Final = 2  # the last stays away for so many times as long as the first
WHOLE: Final = 1 << 64  # of a request's point


def until_room(held: float, ended_per_s: float) -> float:
    """Microseconds until a scheduler that holds ``held`` has ended all of it at the rate at which it ends
    now (Little's law); infinite where nothing has ended yet."""
    return 1e6 * held / ended_per_s if ended_per_s > 0 else float("inf")


def stay_away(room: float, least: float, most: int, point: int) -> int:
    """Microseconds that a request stays away, at the most ``most``: at the least until there is room in
    ``room``, and by its ``point`` (a hash, 0 up to 2**64) so much longer that not all come back together.

    Where ``most`` is sooner than that, the spread keeps half of it: to be told the same span would bring
    all back at once, and to be told less is no promise either.
    """
    first = min(max(room, least), most / SPREAD)
    return min(most, int(first * (1 + (SPREAD - 1) * (point % WHOLE) / WHOLE)))
