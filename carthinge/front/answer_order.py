"""Answers go out in the order of their requests: the first must not outlast those that wait behind it.

A request that was sent ahead behind one with more time left would have its answer too late, which counts as
none.  So the one in front is cut short: it still has its one final answer, and so has the other in its time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Final

from carthinge.front.translator import deadline_of
from carthinge.net.http import Request
from carthinge.net.loop import Loop, Timer

#: After the time of a request that waits: it earns nothing then, and is lost half a second after it.
CUT_SHORT_AFTER: Final = timedelta(milliseconds=250)


class AnswerOrder:
    """Calls ``cut_short`` when the request in front has to have its answer for another's sake."""

    def __init__(self, loop: Loop, cut_short: Callable[[], None]) -> None:
        self._loop = loop
        self._cut_short = cut_short
        self._timer: Timer | None = None

    def watch(self, waiting: Iterable[Request]) -> None:
        """These wait behind the one in front."""
        self.stop()
        due = min((by for request in waiting if (by := deadline_of(request)) is not None), default=None)
        if due is not None:
            self._timer = self._loop.call_at(due + CUT_SHORT_AFTER, self._cut_short)

    def stop(self) -> None:
        """The one in front has its answer, or its client has gone."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
