"""A listening socket in the loop, which rests for a while when nothing more can be taken in."""

from __future__ import annotations

import errno
import select
import socket
from datetime import timedelta
from typing import Final, Protocol

from carthinge.net.http import Address
from carthinge.net.loop import READ, Loop

ACCEPTED_AT_ONCE: Final = 16  # few: what was accepted before is read in between, and not pushed out unread
GONE_AT_ONCE: Final = 8  # more that were gone before they were accepted look like a fault of this machine
ACCEPT_PAUSE: Final = timedelta(milliseconds=50)
GONE_UNACCEPTED: Final = (errno.ECONNABORTED, errno.EPROTO)  # with the connection it is off the backlog


class ListenerOwner(Protocol):
    """Who takes connections in."""

    def free(self) -> int:
        """How many connections can be taken in without making room."""

    def room(self) -> str | None:
        """Makes room for one connection; where that is not possible, says why."""

    def enter(self, sock: socket.socket, since: timedelta) -> None:
        """A connection has come in; it may have waited here since then, with a request on it."""

    def resting(self, why: str) -> None:
        """Nothing is taken in for a while."""


def bind(address: Address, backlog: int) -> socket.socket:
    """A socket that listens; raises OSError where it cannot."""
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
    """Accepts in the loop until it is closed."""

    def __init__(self, loop: Loop, sock: socket.socket, owner: ListenerOwner) -> None:
        self._loop = loop
        self._sock = sock
        self._owner = owner
        self._resting = self._paused = self._closed = self._registered = False
        self._since = loop.now  # whoever waits to be accepted has come no earlier
        self._left = False  # somebody was left waiting, so that ``_since`` holds on
        sock.setblocking(False)
        self._update()

    def close(self) -> None:
        """Ends only this process's hold of the socket: another that holds it goes on to accept."""
        if not self._closed:
            self._closed = True
            self._update()
            self._loop.sockets.close(self._sock)

    def pause(self) -> None:
        """Leaves those who come waiting, until ``resume`` or for another process that listens here."""
        if not (self._paused or self._left):
            self._since = self._loop.now
        self._paused = True
        self._update()

    def resume(self) -> None:
        """Accept again after ``pause``."""
        if self._paused and not self._closed:
            self._left = self._backlog()
        self._paused = False
        self._update()

    def _accept(self, _: int) -> None:
        if not self._left:
            self._since = self._loop.since
        self._left = True
        gone = 0
        # Guards against room made for a connection that is not there: only the first is known to wait.
        for _ in range(min(ACCEPTED_AT_ONCE, max(1, self._owner.free()))):
            if not self._registered:
                return
            why = self._owner.room()
            if why is not None:
                self._rest(why)
                return
            try:
                sock = self._loop.sockets.accept(self._sock)
            except BlockingIOError:
                self._left = False
                return
            except InterruptedError:
                continue
            except OSError as fault:
                gone += fault.errno in GONE_UNACCEPTED
                if fault.errno in GONE_UNACCEPTED and gone < GONE_AT_ONCE:
                    continue
                self._rest(str(fault))
                return
            self._enter(sock)
        # Guards against one who comes in each turn, and would be taken for as old as the first of them.
        self._left = self.somebody_waits()

    def _enter(self, sock: socket.socket) -> None:
        try:
            self._owner.enter(sock, self._since)
        except OSError:  # it is gone already, or this machine has no room for it in the selector
            self._loop.sockets.close(sock)

    def somebody_waits(self) -> bool:
        """A connection has come in for this process and was not accepted yet."""
        return not (self._closed or self._paused) and self._backlog()

    def _backlog(self) -> bool:
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        return bool(poll.poll(0))

    def _rest(self, why: str) -> None:
        """Guards against spinning on a listener that stays ready while no descriptor is left."""
        self._owner.resting(why)
        self._resting = True
        self._update()
        self._loop.call_after(ACCEPT_PAUSE, self._rested)

    def _rested(self) -> None:
        self._resting = False
        self._update()

    def _update(self) -> None:
        wanted = not (self._closed or self._paused or self._resting)
        if wanted != self._registered:
            self._registered = wanted
            if wanted:
                self._loop.register(self._sock, READ, self._accept)
            else:
                self._loop.forget(self._sock)
