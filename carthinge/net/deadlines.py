"""Computation of client deadlines and of the schedule of a drain.

All times are on the loop's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from carthinge.net.loop import MILLISECOND

#: Subtracted from the client's timeout: the answer has to arrive before the client leaves.
ANSWER_MARGIN: Final = timedelta(milliseconds=10)
MAX_ANSWER_MARGIN_SHARE: Final = 0.05  # of the timeout at most: the margin could use up a short one
MIN_DEADLINE: Final = MILLISECOND  # a worker is never sent a deadline of zero

ARRIVAL_GRACE: Final = timedelta(milliseconds=600)  # after SIGTERM; clients are routed here for up to 0.4 s
KILL_DELAY: Final = timedelta(milliseconds=700)  # from SIGTERM plus the grace to the earliest SIGKILL
MAX_KILL_GRACE: Final = timedelta(seconds=3)  # the grace is the longest deadline, limited to this
KILL_MARGIN: Final = timedelta(milliseconds=300)  # from the last answers to the earliest SIGKILL
MOVE_TIME: Final = timedelta(seconds=1)  # before the last answers, for clients to move to other schedulers


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Points in time of a drain, once the program was told to stop."""

    arriving_until: timedelta  #: clients may still be routed here; their requests keep their full timeout
    answered_by: timedelta  #: the last answer to requests that arrive after that
    #: Afterwards every answer closes its connection, so that clients move elsewhere.
    keep_alive_until: timedelta


def drain_schedule(
    signalled: timedelta, max_deadline: timedelta, alone: bool, leaving: bool
) -> DrainSchedule:
    """Compute the drain of a program that got its signal at ``signalled`` or later.

    ``alone``: there is no other scheduler for clients to move to; where there are others, one that was
    restarted earlier in a rolling restart may not serve again yet.  ``leaving``: the successor takes over the
    connections.
    """
    arriving_until = signalled + ARRIVAL_GRACE
    grace = min(max_deadline, MAX_KILL_GRACE)
    last_answer = signalled + KILL_DELAY + grace - min(KILL_MARGIN, grace / 2)  # keeps half of a short grace
    kept_until = last_answer if alone or leaving else max(arriving_until, last_answer - MOVE_TIME)
    return DrainSchedule(arriving_until, last_answer, kept_until)


def remaining_timeout(
    timeout: timedelta, received: timedelta, now: timedelta, drain: DrainSchedule | None
) -> timedelta:
    """Return the time left of a client's timeout; the request's last byte arrived at ``received`` or later.

    In a drain it ends with the last answers: SIGKILL would leave requests that arrive late unanswered.
    """
    left = timeout - (now - received)
    if drain is None or now < drain.arriving_until:
        return left
    return min(left, drain.answered_by - now)


def answer_deadline(now: timedelta, timeout: timedelta) -> timedelta:
    """Return the latest time to send the final answer so that it arrives before the client leaves."""
    return now + timeout - min(ANSWER_MARGIN, MAX_ANSWER_MARGIN_SHARE * timeout)


def deadline_header(due: timedelta, now: timedelta) -> tuple[str, bytes]:
    """Return the header with the time left that a worker is sent, as of the writing of its request."""
    left = max(MIN_DEADLINE, due - now)
    return "Req-Deadline", b"%dm" % (left // MILLISECOND)
