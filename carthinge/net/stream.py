"""A TCP connection in the loop that never blocks: bytes in, bytes out, one end."""

from __future__ import annotations

import errno
import os
import socket
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

from carthinge.net.loop import READ, WRITE, Loop, Timer
from carthinge.net.sockets import NOT_READY, TRY_AGAIN

CHUNK: Final = 65536  # bytes
UNREAD_LIMIT: Final = 512 * 1024  # bytes, far more than a peer that sends one message at a time has to read
LINGER: Final = timedelta(seconds=2)  # without any progress, from the last answer to the end
TRY_AGAIN_AFTER: Final = timedelta(milliseconds=10)  # where this machine is short of buffers


class StreamState(Enum):
    """A connection's life; it only ever goes on to a later state.

    CONNECTING -> OPEN -> FINISHING -> HALF_CLOSED -> BROKEN -> CLOSED, where each may be left out.
    """

    CONNECTING = 1  #: ours, and not up yet
    OPEN = 2  #: bytes go both ways
    FINISHING = 3  #: the last bytes are being written; what comes in is dropped
    HALF_CLOSED = 4  #: all is written and the other side was told so; its own end is waited for
    BROKEN = 5  #: something could not be sent; its owner hears of the end in the next turn
    CLOSED = 6


class StreamOwner(Protocol):
    """Who is told what happens on a stream; after ``ended`` nothing more comes."""

    def received(self, data: bytes) -> None:
        """Take bytes that have come."""

    def flushed(self) -> None:
        """Hear that all that was written has gone out."""

    def ended(self, why: str) -> None:
        """Hear that the connection has ended by itself."""


class ConnectingOwner(StreamOwner, Protocol):
    """The owner of a stream that this side has opened."""

    def connected(self) -> None:
        """Hear that the connection is up."""


class Stream:
    """Calls its owner from the loop only, but for ``flushed``, which may come from within ``write``."""

    def __init__(
        self, loop: Loop, sock: socket.socket, owner: StreamOwner, connecting: ConnectingOwner | None = None
    ) -> None:
        """``connecting``: the owner again, where the socket is not up yet.  OSError as for any socket."""
        self.state = StreamState.OPEN if connecting is None else StreamState.CONNECTING
        self.reset = False  # the other side broke it off; it may be well, and there still
        self._loop = loop
        self._sock = sock
        self._owner = owner
        self._connecting_owner = connecting
        self._out = bytearray()
        self._linger: Timer | None = None
        self._send_again: Timer | None = None  # these two are set while this machine is short of buffers
        self._receive_again: Timer | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._interest = READ if connecting is None else WRITE
        loop.register(sock, self._interest, self._ready)

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self.state is StreamState.CLOSED

    @property
    def connecting(self) -> bool:
        """Whether the connection is not up yet."""
        return self.state is StreamState.CONNECTING

    @property
    def unsent(self) -> int:
        """How many bytes wait to be sent."""
        return len(self._out)

    def write(self, data: bytes) -> None:
        """Sends as soon as that is possible; nothing more may be written after ``finish``."""
        self._out += data
        if not self.connecting:
            self._flush()
        if len(self._out) > UNREAD_LIMIT:  # guards against a client that asks and asks and never reads
            self._loop.soon(lambda: self._end("what was written was not read there"))

    def silent(self) -> bool:
        """Nothing has come in unread, not even the other side's end."""
        try:
            self._loop.sockets.peek(self._sock)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def left(self) -> bool:
        """The other side has ended it, as far as this machine knows by now; what it sent before is read."""
        if self.state is StreamState.CLOSED:
            return True
        try:
            return not self._loop.sockets.peek(self._sock)
        except NOT_READY:
            return False
        except OSError as fault:
            return fault.errno not in TRY_AGAIN

    def finish(self) -> None:
        """Closes once all is written and the other side has had the time to read it.

        Closing at once, with input unread, would reset the connection and take the last answer with it: so
        this side ends, what still comes in is read and dropped, and the other side's end is waited for.
        """
        if self.state is StreamState.OPEN:
            self.state = StreamState.FINISHING
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
        """At once, whatever is unsent or unread."""
        if not self.closed:
            self._leave_loop()
            self._loop.sockets.close(self._sock)

    def release(self) -> socket.socket:
        """Takes the socket out of the loop as it stands, with whatever is unread in it."""
        assert self.state is StreamState.OPEN and not self._out
        self._leave_loop()
        return self._sock

    def _leave_loop(self) -> None:
        self.state = StreamState.CLOSED
        for timer in (self._linger, self._send_again, self._receive_again):
            if timer is not None:  # a flood of these would hold their memory for as long
                timer.cancel()
        self._loop.forget(self._sock)

    def _ready(self, mask: int) -> None:
        if self.closed:  # by what happened earlier in this turn
            return
        if self.connecting and not self._connect():
            return
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            self._receive()

    def _connect(self) -> bool:
        """Whether it is up and still wanted."""
        error = self._loop.sockets.connect_error(self._sock)
        if error:
            self.reset = error == errno.ECONNRESET
            self._end(f"connect failed: {os.strerror(error)}")
            return False
        self.state = StreamState.OPEN
        if self._connecting_owner is not None:
            self._connecting_owner.connected()
        self._want()
        return not self.closed

    def _receive(self) -> None:
        try:
            data = self._loop.sockets.receive(self._sock, CHUNK)
        except NOT_READY:
            return
        except OSError as fault:
            if fault.errno in TRY_AGAIN:
                self._receive_again = self._loop.call_after(TRY_AGAIN_AFTER, self._read_on)
                self._want()
                return
            self.reset = True
            self._end(str(fault))
            return
        if not data:
            self.reset = True
            self._end("ended by the other side")
        elif self.state is StreamState.OPEN:
            self._owner.received(data)

    def _read_on(self) -> None:
        self._receive_again = None
        self._want()

    def _flush(self) -> None:
        if self.state not in (StreamState.OPEN, StreamState.FINISHING) or self._send_again is not None:
            return
        try:
            had = len(self._out)
            while self._out:
                del self._out[: self._loop.sockets.send(self._sock, self._out)]
            if self.state is StreamState.FINISHING:
                self.state = StreamState.HALF_CLOSED
                self._loop.sockets.end_sending(self._sock)
            elif had:
                self._owner.flushed()
        except NOT_READY:
            pass
        except OSError as fault:
            if fault.errno not in TRY_AGAIN:
                self.reset = True
                self.state = StreamState.BROKEN
                why = str(fault)
                self._loop.soon(lambda: self._end(why))
                return
            self._send_again = self._loop.call_after(TRY_AGAIN_AFTER, self._flush_again)
        self._want()

    def _flush_again(self) -> None:
        self._send_again = None
        self._flush()

    def _want(self) -> None:
        """Asks the loop for what can be done next."""
        writing = self.connecting or (self._out and self._send_again is None)
        reading = not self.connecting and self._receive_again is None
        interest = (READ if reading else 0) | (WRITE if writing else 0)
        if not self.closed and interest != self._interest:
            self._loop.change(self._sock, interest, self._ready)
            self._interest = interest

    def _end(self, why: str) -> None:
        if not self.closed:
            self.close()
            self._owner.ended(why)
