"""A listening socket in the event loop, which pauses when no connection can be accepted."""

from __future__ import annotations

import errno
import select
import socket
from datetime import timedelta
from typing import Final, Protocol

from carthinge.net.http import Address
from carthinge.net.loop import READ, Loop

MAX_ACCEPTS_PER_TURN: Final = 16  # few, so that accepted connections are read before they are evicted
MAX_ABORTS_PER_TURN: Final = 8  # more connections aborted before accept suggest a fault of this machine
ACCEPT_PAUSE: Final = timedelta(milliseconds=50)
ABORTED_ERRORS: Final = (errno.ECONNABORTED, errno.EPROTO)  # the connection has left the backlog


class ListenerOwner(Protocol):
    """Handles accepted connections."""

    def free_slots(self) -> int:
        """Return how many connections can be accepted without closing others."""

    def make_room(self) -> str | None:
        """Make room for one connection; return the reason if that is impossible, else None."""

    def connection_accepted(self, sock: socket.socket, since: timedelta) -> None:
        """Take over an accepted connection, which may have waited in the backlog since ``since``."""

    def accept_paused(self, why: str) -> None:
        """Handle that accepting is paused."""


def bind(address: Address, backlog: int) -> socket.socket:
    """Return a listening socket; raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((address.host, address.port))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts connections in the loop until it is closed."""

    def __init__(self, loop: Loop, sock: socket.socket, owner: ListenerOwner) -> None:
        self._loop = loop
        self._sock = sock
        self._owner = owner
        self._backing_off = self._paused = self._closed = self._registered = False
        self._since = loop.now  # connections in the backlog arrived no earlier
        self._remaining = False  # connections remained in the backlog, so that ``_since`` stays valid
        sock.setblocking(False)
        self._update()

    def close(self) -> None:
        """Close this process's descriptor; another process that shares the socket keeps accepting."""
        if not self._closed:
            self._closed = True
            self._update()
            self._loop.sockets.close(self._sock)

    def pause(self) -> None:
        """Leave connections in the backlog until ``resume``, or to another process that shares the socket."""
        if not (self._paused or self._remaining):
            self._since = self._loop.now
        self._paused = True
        self._update()

    def resume(self) -> None:
        """Accept again after ``pause``."""
        if self._paused and not self._closed:
            self._remaining = self._has_pending()
        self._paused = False
        self._update()

    def _accept(self, _: int) -> None:
        if not self._remaining:
            self._since = self._loop.ready_since
        self._remaining = True
        aborted = 0
        for number in range(MAX_ACCEPTS_PER_TURN):
            if not self._registered:
                return
            # Only the first connection is known to be pending: no room is made for further ones that are not.
            if number and not self._owner.free_slots() and not self._has_pending():
                break
            why = self._owner.make_room()
            if why is not None:
                self._back_off(why)
                return
            try:
                sock = self._loop.sockets.accept(self._sock)
            except BlockingIOError:
                self._remaining = False
                return
            except InterruptedError:
                continue
            except OSError as fault:
                aborted += fault.errno in ABORTED_ERRORS
                if fault.errno in ABORTED_ERRORS and aborted < MAX_ABORTS_PER_TURN:
                    continue
                self._back_off(str(fault))
                return
            self._enter(sock)
        # With one new connection in each turn, all of them would otherwise be dated to the first.
        self._remaining = self.has_pending_connections()

    def _enter(self, sock: socket.socket) -> None:
        try:
            self._owner.connection_accepted(sock, self._since)
        except OSError:  # already reset, or the selector is full
            self._loop.sockets.close(sock)

    def has_pending_connections(self) -> bool:
        """Whether a connection for this process is pending in the backlog."""
        return not (self._closed or self._paused) and self._has_pending()

    def _has_pending(self) -> bool:
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        return bool(poll.poll(0))

    def _back_off(self, why: str) -> None:
        """Pause, so that a listener that stays ready with no descriptor left does not spin."""
        self._owner.accept_paused(why)
        self._backing_off = True
        self._update()
        self._loop.call_after(ACCEPT_PAUSE, self._end_back_off)

    def _end_back_off(self) -> None:
        self._backing_off = False
        self._update()

    def _update(self) -> None:
        active = not (self._closed or self._paused or self._backing_off)
        if active != self._registered:
            self._registered = active
            if active:
                self._loop.register(self._sock, READ, self._accept)
            else:
                self._loop.unregister(self._sock)
