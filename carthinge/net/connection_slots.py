"""The slots for incoming connections, and which connection is evicted when all are taken."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Final, Protocol

from carthinge.net.close_reason import CloseReason
from carthinge.net.read_timeouts import silence_deadline

MAX_FRESH_FRACTION: Final = 0.5  # of all slots; beyond it, connections without a request evict each other


class InboundConnection(Protocol):
    """An incoming connection."""

    def idle(self) -> bool:
        """Whether no request is in progress, so that it may be closed if it is silent as well."""

    def silent(self) -> bool:
        """Whether there is no unread input and no unsent output."""

    def has_partial_request(self) -> bool:
        """Whether a request has been read in part."""

    def close(self, reason: CloseReason) -> None:
        """Close it at once."""

    def release(self) -> socket.socket:
        """Return its socket, which stays open, and stop using it."""


@dataclass(frozen=True, slots=True)
class ConnectionTimes:
    """The times at which a connection began."""

    connected: timedelta  #: earliest time at which its client can have connected
    accepted: timedelta  #: when it was accepted by this process


class ConnectionSlots:
    """The incoming connections, each in one of three queues according to its behaviour.

    Guards against clients that open hundreds of connections: these evict each other, while the idle
    keep-alive connections of well-behaved clients stay.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.fresh: OrderedDict[InboundConnection, ConnectionTimes] = OrderedDict()  # no request yet
        self.kept: OrderedDict[InboundConnection, None] = OrderedDict()  # least recently used first
        self.ending: OrderedDict[InboundConnection, None] = OrderedDict()  # their last response is written

    def __len__(self) -> int:
        return len(self.fresh) + len(self.kept) + len(self.ending)

    def all(self) -> list[InboundConnection]:
        """Return all connections."""
        return [*self.fresh, *self.kept, *self.ending]

    def add(self, connection: InboundConnection, times: ConnectionTimes) -> None:
        """Add a new connection."""
        self.fresh[connection] = times

    def mark_used(self, connection: InboundConnection) -> None:
        """Note that a complete request has been received on a connection."""
        self.fresh.pop(connection, None)
        if connection not in self.ending:
            self.kept[connection] = None
            self.kept.move_to_end(connection)

    def evict_first(self, connection: InboundConnection) -> None:
        """Note that a request was invalid: the connection becomes the first kept one to be evicted."""
        if connection in self.kept:
            self.kept.move_to_end(connection, last=False)

    def mark_ending(self, connection: InboundConnection) -> None:
        """Note that the last response on a connection is written."""
        if self.fresh.pop(connection, self) is not self or self.kept.pop(connection, self) is not self:
            self.ending[connection] = None

    def remove(self, connection: InboundConnection) -> None:
        """Remove a closed connection."""
        for queue in (self.fresh, self.kept, self.ending):
            queue.pop(connection, None)

    def overdue(self, now: timedelta) -> list[InboundConnection]:
        """Return the connections that have received nothing in time, not even unread input."""
        return [
            connection
            for connection, times in self.fresh.items()
            if now >= silence_deadline(times.connected, times.accepted)
            and not connection.has_partial_request()
            and connection.silent()
        ]

    def choose_eviction(self, now: timedelta, first_request_grace: timedelta) -> InboundConnection | None:
        """Return the connection to close for a new one if all slots are taken, None if all are busy.

        A connection with unread input counts as busy, and so does one that was accepted less than
        ``first_request_grace`` ago: its first request may be on its way.
        """
        # Only silent connections are closed: a request that has arrived unread would be lost.
        if ended := _first_silent(self.ending):
            return ended
        past_grace = [
            connection
            for connection, times in self.fresh.items()
            if now >= times.accepted + first_request_grace
        ]
        # Connections with a partly read request, which would be lost, are closed last.
        past_grace.sort(key=lambda connection: connection.has_partial_request())
        if len(self.fresh) > self.max_connections * MAX_FRESH_FRACTION:  # spares the kept ones
            return _first_silent(past_grace)
        return _first_silent(self.kept, idle=True) or _first_silent(past_grace)


def _first_silent(queue: Iterable[InboundConnection], idle: bool = False) -> InboundConnection | None:
    """Return the first silent connection that is also idle if ``idle`` is set."""
    return next(
        (connection for connection in queue if (not idle or connection.idle()) and connection.silent()), None
    )
