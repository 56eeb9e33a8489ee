"""The timer of a request of which a part has been read."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from carthinge.net.loop import Loop, Timer
from carthinge.net.read_timeouts import PartialRequest


class ReadTimer:
    """Calls ``overdue`` once a request of one connection is not whole in time."""

    def __init__(self, loop: Loop, overdue: Callable[[], None]) -> None:
        self._loop = loop
        self._overdue = overdue
        self._partial: PartialRequest | None = None
        self._timer: Timer | None = None

    def progressed(self, first: bool, connected: timedelta) -> None:
        """A part of a request has come, which is not whole yet; ``first``: of its connection."""
        loop = self._loop
        if self._partial is None:
            self._partial = PartialRequest(connected if first else loop.since, loop.now, loop.since)
            self._timer = loop.call_at(self._partial.overdue_at(), self._check)
        else:
            self._partial.progressed = loop.since

    def stop(self) -> None:
        """The request is whole, or its connection is over."""
        self._partial = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        if self._partial is None:
            return
        due = self._partial.overdue_at()
        if self._loop.now < due:
            self._timer = self._loop.call_at(due, self._check)
        else:
            self.stop()
            self._overdue()
