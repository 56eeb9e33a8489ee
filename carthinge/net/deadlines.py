"""A client's deadline on its way through a scheduler: the one place where it is computed.

All times are on the loop's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from carthinge.net.loop import MILLISECOND

#: Taken off the client's patience: the answer has a way to go, and has to arrive before the client leaves.
ANSWER_MARGIN: Final = timedelta(milliseconds=10)
ANSWER_SHARE: Final = 0.05  # of a patience, at the most: of a short one the margin would take all
LEAST_TOLD: Final = MILLISECOND  # a worker is never told that there is no time at all


@dataclass(frozen=True, slots=True)
class Drain:
    """Up to when what is done, once the program is to end."""

    arriving_until: timedelta  #: clients may still be sent here; what they send has its whole time
    answered_by: timedelta  #: the last answer to what comes after that
    kept_until: timedelta  #: from then on every answer ends its connection, so that clients turn elsewhere


def patience_left(asked: timedelta, came: timedelta, now: timedelta, drain: Drain | None) -> timedelta:
    """What is left now of a client's patience; the request's last byte was here no earlier than ``came``.

    Guards against SIGKILL, too, which would find unanswered what came late in a drain.
    """
    left = asked - (now - came)
    if drain is None or now < drain.arriving_until:
        return left
    return min(left, drain.answered_by - now)


def give_up_at(now: timedelta, patience: timedelta) -> timedelta:
    """When the final answer goes out at the latest, so that it is there before the client leaves."""
    return now + patience - min(ANSWER_MARGIN, ANSWER_SHARE * patience)


def deadline_header(due: timedelta, now: timedelta) -> tuple[str, bytes]:
    """What a worker is told of the time that is left, as its request is written."""
    left = max(LEAST_TOLD, due - now)
    return "Req-Deadline", b"%dm" % (left // MILLISECOND)
