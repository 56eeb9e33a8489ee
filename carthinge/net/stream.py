"""A TCP connection in the loop that never blocks: bytes in, bytes out, one end."""

from __future__ import annotations

import errno
import socket
from datetime import timedelta
from typing import Final, Protocol

from carthinge.net.loop import READ, WRITE, Loop, Timer

CHUNK: Final = 65536
UNREAD_LIMIT: Final = 512 * 1024  # far more than a peer that sends one message at a time can have to read
LINGER: Final = timedelta(seconds=2)


class StreamOwner(Protocol):
    """Who is told what happens on a stream; after ``ended`` nothing more comes."""

    def received(self, data: bytes) -> None: ...

    def flushed(self) -> None: ...

    def ended(self, why: str) -> None: ...


class Stream:
    """Calls its owner from the loop only, but for ``flushed``, which may come from within ``write``."""

    def __init__(self, loop: Loop, sock: socket.socket, owner: StreamOwner, connecting: bool = False) -> None:
        self.connecting = connecting
        self.closed = False
        self.reset = False  # the other side broke it off; it may be well, and there still
        self._loop = loop
        self._sock = sock
        self._owner = owner
        self._out = bytearray()
        self._finishing = False
        self._linger: Timer | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._interest = WRITE if connecting else READ
        loop.register(sock, self._interest, self._ready)

    @property
    def unsent(self) -> int:
        return len(self._out)

    def write(self, data: bytes) -> None:
        self._out += data
        if not self.connecting:
            self._flush()
        if len(self._out) > UNREAD_LIMIT:  # guards against a client that asks and asks and never reads
            self._loop.soon(lambda: self._end("what was written was not read there"))

    def silent(self) -> bool:
        """Nothing has come in unread, not even the other side's end."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def finish(self) -> None:
        """Closes once all is written and the other side has had the time to read it.

        Closing at once, with input unread, would reset the connection and take the last answer with it.
        """
        if not self._finishing and not self.closed:
            self._finishing = True
            self._flush()
            if not self.closed:
                self._linger_on()

    def _linger_on(self) -> None:
        """Guards against a slow reader's answer being cut off in its middle: each part gets its time."""
        left = len(self._out)

        def over() -> None:
            if len(self._out) < left:
                self._linger_on()
            else:
                self._end("not ended there in time")

        self._linger = self._loop.call_after(LINGER, over)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self._linger is not None:  # a flood of these would hold their memory for as long
                self._linger.cancel()
            self._loop.forget(self._sock)
            self._sock.close()

    def release(self) -> socket.socket:
        """Takes the socket out of the loop as it stands, with whatever is unread in it."""
        assert not self.closed and not self._out
        self.closed = True
        self._loop.forget(self._sock)
        return self._sock

    def _ready(self, mask: int) -> None:
        if self.closed:  # by what happened earlier in this turn
            return
        if self.connecting:
            error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.reset = error == errno.ECONNRESET
                self._end(f"connect failed: error {error}")
                return
            self.connecting = False
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            self._receive()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError as fault:
            self.reset = True
            self._end(str(fault))
            return
        if not data:
            self.reset = True
            self._end("ended by the other side")
        elif not self._finishing:
            self._owner.received(data)

    def _flush(self) -> None:
        if self.closed or self.connecting:
            return
        try:
            had = len(self._out)
            while self._out:
                del self._out[:self._sock.send(self._out)]
            if self._finishing:
                self._sock.shutdown(socket.SHUT_WR)
            elif had:
                self._owner.flushed()
        except BlockingIOError:
            pass
        except OSError as fault:
            self.reset = True
            why = str(fault)
            self._loop.soon(lambda: self._end(why))
            return
        self._want()

    def _want(self) -> None:
        interest = (0 if self.connecting else READ) | (WRITE if self._out or self.connecting else 0)
        if not self.closed and interest != self._interest:
            self._loop.change(self._sock, interest, self._ready)
            self._interest = interest

    def _end(self, why: str) -> None:
        if not self.closed:
            self.close()
            self._owner.ended(why)
