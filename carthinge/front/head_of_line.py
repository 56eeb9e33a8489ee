"""Limits head-of-line blocking on a connection with pipelined requests.

Answers go out in the order of the requests.  A pipelined request behind one with a later deadline would get
its answer too late, which counts as no answer.  The request in front is therefore answered early.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Final

from carthinge.front.translator import deadline_of
from carthinge.net.http import Request
from carthinge.net.loop import Loop, Timer

#: After the deadline of a waiting request: it is worth nothing by then, but counts as lost only 500 ms later.
HEAD_OF_LINE_GRACE: Final = timedelta(milliseconds=250)


class HeadOfLineTimer:
    """Calls ``cut_short`` when the request in front has to be answered so that a later one is not lost."""

    def __init__(self, loop: Loop, cut_short: Callable[[], None]) -> None:
        self._loop = loop
        self._cut_short = cut_short
        self._timer: Timer | None = None

    def watch(self, waiting: Iterable[Request]) -> None:
        """Set the timer from the deadlines of the requests that wait behind the first."""
        self.stop()
        due = min(
            (deadline for request in waiting if (deadline := deadline_of(request)) is not None), default=None
        )
        if due is not None:
            self._timer = self._loop.call_at(due + HEAD_OF_LINE_GRACE, self._cut_short)

    def stop(self) -> None:
        """Cancel the timer: the request in front is answered, or its client has gone."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Cancel the timer for good, and drop the reference to its user, whose connection has ended."""
        self.stop()
        self._cut_short = _ignore


def _ignore() -> None:
    """Do nothing: the connection has ended."""
