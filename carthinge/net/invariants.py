"""What must never happen, checked where it would: one guard for sending, repeating, closing and starting.

Each check stands behind the decisions that ought to make it hold.  Where one fails, the violation is counted
and logged, and what can still be left undone is left undone.
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
from carthinge.net.read_timeouts import LAST_CHANCE, OWED_WITHIN
from carthinge.net.tracked_request import Attempt


class Rule(Enum):
    """The values are the words in the log."""

    ONE_ATTEMPT = "no attempt goes out where another one is out"
    NO_UNSAFE_REPEAT = "what may have run is not sent again where a repeat does harm"
    ANSWER_BEFORE_CLOSE = "a request that was read is answered before its connection is closed"
    HALF_REQUEST = "a client that stops in the middle of a request has its error or a close in time"
    ONE_START = "a scheduler begins to serve once"


#: A worker calls again where its call-back has no answer.
UNANSWERED_ON_PURPOSE: Final = frozenset({CloseReason.CALL_BACK_ELSEWHERE})


class Invariants:
    """Checks and counts; each process has one."""

    def __init__(self, counters: Counters, may_copy: Callable[[], bool]) -> None:
        """``may_copy``: whether the settings of now allow two attempts of one request at a time."""
        self._counters = counters
        self._may_copy = may_copy
        self._started = False

    def may_send(self, attempt: Attempt) -> bool:
        """Whether a first or further attempt may go out beside and after the others of its request."""
        tracked = attempt.tracked
        others = [other for other in tracked.attempts if other is not attempt]
        out = [other for other in others if other.open]
        if out and (
            tracked.effect is io.Effect.UNSAFE
            or not self._may_copy()
            or any(other.target.id == attempt.target.id for other in out)
        ):
            self._violated(Rule.ONE_ATTEMPT, id=tracked.job.id, worker=attempt.target.id)
            return False
        if tracked.effect is io.Effect.UNSAFE and any(_may_have_run(other) for other in others):
            self._violated(Rule.NO_UNSAFE_REPEAT, id=tracked.job.id, worker=attempt.target.id)
            return False
        return True

    def closing(self, connection: int, owed: bool, reason: CloseReason) -> None:
        """This side closes a client's connection; ``owed``: a whole request on it has no answer yet."""
        if owed and reason not in UNANSWERED_ON_PURPOSE:
            self._violated(Rule.ANSWER_BEFORE_CLOSE, connection=connection, why=reason.value)

    def half_request_ended(
        self, connection: int, last_sign: timedelta, accepted: timedelta, now: timedelta
    ) -> None:
        """A client that has stopped in the middle of a request gets its error ``now``.

        ``last_sign``: its connecting or the last part of its request; it was ``accepted`` no earlier.
        """
        if now > max(last_sign + OWED_WITHIN, accepted + 2 * LAST_CHANCE):
            late = now - last_sign
            self._violated(Rule.HALF_REQUEST, connection=connection, after=late.total_seconds())

    def start(self) -> bool:
        """Whether the program may begin to serve, which it does once."""
        if self._started:
            self._violated(Rule.ONE_START)
            return False
        self._started = True
        return True

    def _violated(self, rule: Rule, **facts: object) -> None:
        self._counters.invariants_violated += 1
        log.logger().error("invariant_violated", rule=rule.value, **facts)


def _may_have_run(attempt: Attempt) -> bool:
    """Where its end is not known, as from a process before this one, the module's word counts alone."""
    ended = attempt.result
    return not attempt.open and attempt.arrived and ended is not None and ended not in io.NEVER_RAN
