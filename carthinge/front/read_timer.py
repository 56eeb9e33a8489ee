"""The timer of a request of which a part has been read."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from carthinge.net.loop import Loop, Timer
from carthinge.net.read_timeouts import PartialRequest


class ReadTimer:
    """Calls ``overdue`` with its last sign once a request of one connection is not whole in time."""

    def __init__(self, loop: Loop, overdue: Callable[[timedelta], None]) -> None:
        self._loop = loop
        self._overdue = overdue
        self._partial: PartialRequest | None = None
        self._timer: Timer | None = None

    def progressed(self, came: timedelta, began: timedelta) -> None:
        """A part of a request was read, which ``came`` no earlier than then; it is not whole yet.

        ``began``: where this was its first part, when its time began.
        """
        if self._partial is None:
            self._partial = PartialRequest(began, self._loop.now, came)
            self._timer = self._loop.call_at(self._partial.overdue_at(), self._check)
        else:
            self._partial.progressed = came

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
            last_sign = max(self._partial.began, self._partial.progressed)
            self.stop()
            self._overdue(last_sign)
