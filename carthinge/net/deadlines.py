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


STILL_ARRIVING: Final = timedelta(milliseconds=600)  # after SIGTERM clients are sent here for up to 0.4 s
MUST_BE_ANSWERED: Final = timedelta(milliseconds=700)  # what comes later than that, before SIGKILL
LONGEST_GRACE: Final = timedelta(seconds=3)  # SIGKILL may come so long after that, or a deadline if shorter
LAST_ANSWERS: Final = timedelta(milliseconds=300)  # before SIGKILL may come
LAST_MOVES: Final = timedelta(seconds=1)  # before that: clients turn to other schedulers, if there are any


@dataclass(frozen=True, slots=True)
class Drain:
    """Up to when what is done, once the program is to end."""

    arriving_until: timedelta  #: clients may still be sent here; what they send has its whole time
    answered_by: timedelta  #: the last answer to what comes after that
    kept_until: timedelta  #: from then on every answer ends its connection, so that clients turn elsewhere


def drain_schedule(told: timedelta, longest: timedelta, alone: bool, leaving: bool) -> Drain:
    """Of a program that was ``told`` to end no earlier than then; ``longest``: deadline of its classes.

    ``alone``: clients have no other scheduler to turn to, and in a rolling restart the one before this one
    may not serve again yet.  ``leaving``: connections move to the process that has taken over.
    """
    arriving_until = told + STILL_ARRIVING
    grace = min(longest, LONGEST_GRACE)
    last = told + MUST_BE_ANSWERED + grace - min(LAST_ANSWERS, grace / 2)  # some of a short one is left
    kept_until = last if alone or leaving else max(arriving_until, last - LAST_MOVES)
    return Drain(arriving_until, last, kept_until)


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
