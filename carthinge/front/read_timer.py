"""The read timeout of a partially received request."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from carthinge.net.loop import Loop, Timer
from carthinge.net.read_timeouts import PartialRequest


class ReadTimer:
    """Calls ``overdue`` with the time of the last progress if a request is not complete in time."""

    def __init__(self, loop: Loop, overdue: Callable[[timedelta], None]) -> None:
        self._loop = loop
        self._overdue = overdue
        self._partial: PartialRequest | None = None
        self._timer: Timer | None = None

    def progressed(self, arrived: timedelta, began: timedelta) -> None:
        """Record that a part of an incomplete request was read; it arrived no earlier than ``arrived``.

        ``began``: start of the timeout if this is the first part.
        """
        if self._partial is None:
            self._partial = PartialRequest(began, self._loop.now, arrived)
            self._timer = self._loop.call_at(self._partial.overdue_at(), self._check)
        else:
            self._partial.progressed = arrived

    def stop(self) -> None:
        """Stop the timer: the request is complete, or its connection has ended."""
        self._partial = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop the timer for good, and drop the reference to its user, whose connection has ended."""
        self.stop()
        self._overdue = _ignore

    def _check(self) -> None:
        if self._partial is None:
            return
        due = self._partial.overdue_at()
        if self._loop.now < due:
            self._timer = self._loop.call_at(due, self._check)
        else:
            last_progress = max(self._partial.began, self._partial.progressed)
            self.stop()
            self._overdue(last_progress)


def _ignore(last_progress: timedelta) -> None:
    """Do nothing: the connection has ended."""
