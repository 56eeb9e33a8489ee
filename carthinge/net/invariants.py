"""Invariants of sending, retrying, closing and starting, checked where they could be violated.

The checks are a second line of defence behind the decisions that should ensure them.  A violation is counted
and logged, and the violating action is not carried out where it can still be prevented.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Final

from carthinge import interface as io
from carthinge.net import log
from carthinge.net.close_reason import CloseReason
from carthinge.net.counters import Counters
from carthinge.net.read_timeouts import MIN_READ_TIME, STOPPED_CLIENT_LIMIT
from carthinge.net.tracked_request import Attempt


class Rule(Enum):
    """The values appear in the log."""

    ONE_ATTEMPT = "no attempt is sent while another one is open"
    NO_UNSAFE_RETRY = "an unsafe job that may have run is not sent again"
    NO_AMBIGUOUS_CALLBACK = "a job is not sent again to a worker that may repeat a callback on it"
    ANSWER_BEFORE_CLOSE = "a complete request is answered before its connection is closed"
    PARTIAL_REQUEST = "an incomplete request is ended by an error or a close in time"
    ONE_START = "a scheduler starts serving once"


#: A worker retries a callback that got no answer.
UNANSWERED_REASONS: Final = frozenset({CloseReason.CALLBACK_FOR_SUCCESSOR})


class Invariants:
    """Checks the rules and counts violations; one per process."""

    def __init__(self, counters: Counters, may_hedge: Callable[[], bool]) -> None:
        """``may_hedge``: whether the current settings allow two open attempts of one request."""
        self._counters = counters
        self._may_hedge = may_hedge
        self._started = False

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may be sent, given the other attempts of its request."""
        tracked = attempt.tracked
        others = [other for other in tracked.attempts if other is not attempt]
        open_others = [other for other in others if other.open]
        if open_others and (
            tracked.effect is io.Effect.UNSAFE
            or not self._may_hedge()
            or any(other.target.id == attempt.target.id for other in open_others)
        ):
            self._violated(Rule.ONE_ATTEMPT, id=tracked.job.id, worker=attempt.target.id)
            return False
        if tracked.effect is io.Effect.UNSAFE and any(other.may_have_run for other in others):
            self._violated(Rule.NO_UNSAFE_RETRY, id=tracked.job.id, worker=attempt.target.id)
            return False
        if any(other.ended_by_callback and other.target.id == attempt.target.id for other in others):
            self._violated(Rule.NO_AMBIGUOUS_CALLBACK, id=tracked.job.id, worker=attempt.target.id)
            return False
        return True

    def check_close(self, connection: int, unanswered: bool, reason: CloseReason) -> None:
        """Check the close of a client connection; ``unanswered``: a request read on it has no answer."""
        if unanswered and reason not in UNANSWERED_REASONS:
            self._violated(Rule.ANSWER_BEFORE_CLOSE, connection=connection, why=reason.value)

    def check_partial_request(
        self, connection: int, last_activity: timedelta, accepted: timedelta, now: timedelta
    ) -> None:
        """Check that a client that stopped in the middle of a request gets its error in time, ``now``.

        ``last_activity``: when it connected or sent the last part of its request, whichever is later;
        ``accepted``: when its connection was accepted, possibly later than it connected.
        """
        if now > max(last_activity + STOPPED_CLIENT_LIMIT, accepted + 2 * MIN_READ_TIME):
            elapsed = now - last_activity
            self._violated(Rule.PARTIAL_REQUEST, connection=connection, after=elapsed.total_seconds())

    def start(self) -> bool:
        """Whether the program may start to serve; False from the second call on."""
        if self._started:
            self._violated(Rule.ONE_START)
            return False
        self._started = True
        return True

    def _violated(self, rule: Rule, **fields: object) -> None:
        self._counters.invariants_violated += 1
        log.logger().error("invariant_violated", rule=rule.value, **fields)
