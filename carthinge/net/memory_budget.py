"""The memory that clients can make this program hold, limited for all connections together.

The limits on one message fit for one connection; with hundreds of connections their sum would not.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final, NamedTuple, Protocol

from carthinge.net import log
from carthinge.net.counters import Counters
from carthinge.net.loop import Loop
from carthinge.net.process_memory import measure

HELD_SHARE: Final = 0.4  # of what is free at the start; copies and fragmentation need the rest
ADMISSION_SHARE: Final = 0.75  # of the limit; beyond it new jobs are refused, whose bodies cannot be shed
UNCOUNTED_BYTES: Final = 4 * 1024  # of each connection, so that small requests cost nothing here
TRACKED_REQUEST_BYTES: Final = 4 * 1024  # a tracked request with its attempts and timers, without its body
UPGRADE_SHARE: Final = 0.5  # of the limit, while two processes share the memory
SHED_LOG_INTERVAL: Final = timedelta(seconds=10)


class Holder(Protocol):
    """A connection that holds memory for its client."""

    number: int

    def unhandled_bytes(self) -> int:
        """What it holds for requests that are not being handled yet."""

    def unread_bytes(self) -> int:
        """What it holds for answers that its client has not read."""

    def free_memory(self) -> None:
        """Answer all requests and end the connection."""


class _Share(NamedTuple):
    """What one connection holds, in bytes."""

    held: int
    handled: int


class MemoryBudget:
    """Adds up what connections hold; beyond the limit, those that hold most are shed."""

    def __init__(self, loop: Loop, counters: Counters, available: int) -> None:
        """``available``: free memory of the process, in bytes."""
        self.held = self.peak = 0  # bytes
        self.handled = 0  # bytes of these that belong to requests being handled, which are not shed
        self.limit = self._full_limit = int(available * HELD_SHARE)
        self._loop = loop
        self._counters = counters
        self._holders: dict[Holder, _Share] = {}
        self._logged_at: timedelta | None = None
        self._shedding = False  # answers that are written meanwhile change what connections hold

    @property
    def max_tracked_requests(self) -> int:
        """The number of tracked requests that fit, those included whose clients have left."""
        return self.limit // TRACKED_REQUEST_BYTES

    def admits_jobs(self) -> bool:
        """Whether there is room for the bodies of further jobs."""
        return self.handled < self.limit * ADMISSION_SHARE

    def share_with_other_process(self, shared: bool) -> None:
        """Use a part of the limit while another process of this scheduler has the same memory.

        What this one holds beyond that part is shed.
        """
        self.limit = int(self._full_limit * UPGRADE_SHARE) if shared else self._full_limit
        self._shed_excess()

    def update(self, holder: Holder, held: int, handled: int = 0) -> None:
        """Set what a connection holds now, and which part of it for the request being handled, in bytes.

        May shed any connection, this one included.
        """
        previous = self._holders.pop(holder, None)
        if previous is not None:
            self.held -= previous.held
            self.handled -= previous.handled
        if held <= UNCOUNTED_BYTES:
            return
        self._holders[holder] = _Share(held, handled)
        self.held += held
        self.handled += handled
        self._shed_excess()
        self.peak = max(self.peak, self.held)

    def shed_largest(self, count: int) -> None:
        """Shed the connections that hold most for requests not yet handled, for the sake of waiting ones."""
        self._shedding = True
        largest = sorted(self._holders, key=lambda holder: holder.unhandled_bytes(), reverse=True)[:count]
        for holder in largest:
            if holder.unhandled_bytes() > UNCOUNTED_BYTES:
                self._end(holder, holder.unhandled_bytes())
        self._shedding = False

    def metrics(self) -> dict[str, int]:
        """Return the current metrics, in bytes."""
        return {
            "resident": measure().total,
            "held": self.held,
            "held_peak": self.peak,
            "held_limit": self.limit,
        }

    def _shed_excess(self) -> None:
        """Shed the connections that hold most, until the rest fits; those last that would lose an answer."""
        if self.held <= self.limit or self._shedding:
            return
        self._shedding = True
        self._shed_by(lambda holder: holder.unhandled_bytes())
        self._shed_by(lambda holder: holder.unread_bytes())
        self._shedding = False

    def _shed_by(self, size: Callable[[Holder], int]) -> None:
        for holder in sorted(self._holders, key=size, reverse=True):
            if self.held <= self.limit or not size(holder):
                return
            self._end(holder, size(holder))

    def _end(self, holder: Holder, freed: int) -> None:
        self._log(holder, freed)
        self._counters.connections_in_shed += 1
        holder.free_memory()

    def _log(self, holder: Holder, freed: int) -> None:
        now = self._loop.now
        log_line = log.logger().debug
        if self._logged_at is None or now >= self._logged_at + SHED_LOG_INTERVAL:
            self._logged_at, log_line = now, log.logger().warning
        log_line(
            "connection_shed",
            connection=holder.number,
            freed=freed,
            held=self.held,
            limit=self.limit,
            holders=len(self._holders),
        )
