"""Ids of requests that may have run: a client that sends such an id again must not run its job twice."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import Final

from carthinge.net.loop import Loop

MEMORY_TIME: Final = timedelta(minutes=1)  # longer than clients repeat a request
MAX_RECENT_IDS: Final = 8192  # the oldest are forgotten first


class RecentIds:
    """Remembers ids for a limited time, and a limited number of them."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._until: dict[str, timedelta] = {}  # oldest first
        self._unreported: list[str] | None = None  # None while no other process is told

    def __contains__(self, request_id: str) -> bool:
        until = self._until.get(request_id)
        return until is not None and self._loop.now < until

    def add(self, request_id: str) -> None:
        """Remember an id from now on."""
        now = self._loop.now
        self._until.pop(request_id, None)
        self._until[request_id] = now + MEMORY_TIME
        while (oldest := next(iter(self._until))) != request_id and (
            len(self._until) > MAX_RECENT_IDS or self._until[oldest] <= now
        ):
            del self._until[oldest]
        if self._unreported is not None and len(self._unreported) < MAX_RECENT_IDS:
            self._unreported.append(request_id)

    def extend(self, request_ids: Iterable[str]) -> None:
        """Remember the ids that another process reports."""
        for request_id in request_ids:
            self.add(request_id)

    def begin_report(self) -> list[str]:
        """Return all ids; from now on ``take_unreported`` returns those that have been added since."""
        self._unreported = []
        return list(self._until)

    def take_unreported(self) -> list[str]:
        """Return the ids added since the last report."""
        unreported = self._unreported or []
        if unreported:
            self._unreported = []
        return unreported

    def end_report(self) -> None:
        """Note that there is no other process any more."""
        self._unreported = None
