"""A non-blocking TCP connection in the event loop."""

from __future__ import annotations

import errno
import os
import socket
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

from carthinge.net import log
from carthinge.net.loop import READ, WRITE, Loop, Timer
from carthinge.net.sockets import NOT_READY, PEER_CLOSED, RETRY_DELAY, RETRYABLE_ERRORS

MAX_UNSENT_BYTES: Final = 512 * 1024  # far more than a peer has to read that sends one message at a time
LINGER_TIMEOUT: Final = timedelta(seconds=2)  # without progress, after the last response
READ_STALL_TIMEOUT: Final = timedelta(seconds=2)  # without progress, while a peer has something to read


class StreamState(Enum):
    """The states of a connection, which only changes to later ones.

    CONNECTING -> OPEN -> FINISHING -> HALF_CLOSED -> BROKEN -> CLOSED, where any may be skipped.
    """

    CONNECTING = 1  #: outgoing, not established yet
    OPEN = 2  #: established in both directions
    FINISHING = 3  #: the last bytes are being written; received data is dropped
    HALF_CLOSED = 4  #: everything is written and sending is shut down; waits for the peer to close
    BROKEN = 5  #: a send failed; the owner is notified in the next turn
    CLOSED = 6


class StreamOwner(Protocol):
    """Receives the events of a stream; ``ended`` is the last one."""

    def received(self, data: bytes) -> None:
        """Handle received bytes."""

    def flushed(self) -> None:
        """Handle that all written bytes have been sent."""

    def ended(self, why: str) -> None:
        """Handle the end of a connection that was not closed by its owner."""


class ConnectingOwner(StreamOwner, Protocol):
    """The owner of an outgoing stream."""

    def connected(self) -> None:
        """Handle that the connection is established."""


class _NoOwner:
    """Takes the place of the owner of a closed stream, so that neither keeps the other in memory."""

    def received(self, data: bytes) -> None:
        pass

    def flushed(self) -> None:
        pass

    def ended(self, why: str) -> None:
        pass


_NO_OWNER: Final = _NoOwner()


class Stream:
    """Calls its owner only from the loop, except ``flushed``, which ``write`` may call directly."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: StreamOwner,
        connecting: ConnectingOwner | None = None,
        end_if_unread: bool = False,
    ) -> None:
        """``connecting`` is the owner again if the socket is still connecting; raises OSError.

        ``end_if_unread``: end the connection if the peer reads nothing of what it is sent in time.
        """
        self.state = StreamState.OPEN if connecting is None else StreamState.CONNECTING
        self.reset = False  # closed or reset by the peer, which may still be healthy
        self._loop = loop
        self._sock = sock
        self._owner: StreamOwner = owner
        self._connecting_owner = connecting
        self._out = bytearray()
        self._sent = 0  # bytes
        self._end_if_unread = end_if_unread
        self._stall_timer: Timer | None = None
        self._linger_timer: Timer | None = None
        self._send_retry: Timer | None = None  # this and the next are set while buffers are short
        self._receive_retry: Timer | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._interest = READ if connecting is None else WRITE
        loop.register(sock, self._interest, self._ready)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self.state is StreamState.CLOSED

    @property
    def connecting(self) -> bool:
        """Whether the connection is not established yet."""
        return self.state is StreamState.CONNECTING

    @property
    def unsent(self) -> int:
        """Number of bytes not sent yet."""
        return len(self._out)

    def write(self, data: bytes) -> None:
        """Send data as soon as possible; not allowed after ``finish``."""
        self._out += data
        if not self.connecting:
            self._flush()
        if len(self._out) > MAX_UNSENT_BYTES:  # guards against a client that sends requests and never reads
            self._loop.call_soon(lambda: self._end("the peer does not read what is sent"))

    def input_empty(self) -> bool:
        """Whether nothing is waiting to be read, not even the end of the stream."""
        try:
            self._loop.sockets.peek(self._sock)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def closed_by_peer(self) -> bool:
        """Whether the peer has closed the connection, even if data that it sent before is unread."""
        if self.state is StreamState.CLOSED:
            return True
        events = self._loop.sockets.poll_input(self._sock)
        if not events:
            return False
        if events & PEER_CLOSED:
            return True
        try:
            return not self._loop.sockets.peek(self._sock)
        except NOT_READY:
            return False
        except OSError as fault:
            return fault.errno not in RETRYABLE_ERRORS

    def finish(self) -> None:
        """Close after everything is written and the peer has had time to read it.

        Closing with unread input would reset the connection and could destroy the last response.  Therefore
        sending is shut down, further input is dropped, and the peer is given time to close.
        """
        if self.state is StreamState.OPEN:
            self.state = StreamState.FINISHING
            self._flush()
            if not self.closed:
                self._start_linger()

    def _start_linger(self) -> None:
        """Restart the timeout whenever bytes were sent, so that a slow reader gets its whole response."""
        unsent = len(self._out)

        def expire() -> None:
            if len(self._out) < unsent:
                self._start_linger()
            else:
                self._end("the peer did not close in time")

        self._linger_timer = self._loop.call_after(LINGER_TIMEOUT, expire)

    def close(self) -> None:
        """Close at once, dropping unsent and unread data."""
        if not self.closed:
            self._detach()
            self._loop.sockets.close(self._sock)

    def release(self) -> socket.socket:
        """Remove the open socket from the loop, with its unread data, and return it."""
        assert self.state is StreamState.OPEN and not self._out
        self._detach()
        return self._sock

    def _detach(self) -> None:
        self.state = StreamState.CLOSED
        for timer in (self._linger_timer, self._send_retry, self._receive_retry, self._stall_timer):
            if timer is not None:  # pending timers would keep closed streams in memory
                timer.cancel()
        self._owner, self._connecting_owner = _NO_OWNER, None
        self._loop.unregister(self._sock)

    def _ready(self, mask: int) -> None:
        if self.closed:  # by an earlier event of this turn
            return
        if self.connecting and not self._connect():
            return
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            self._receive()

    def _connect(self) -> bool:
        """Complete the connect; return whether the stream is open afterwards."""
        error = self._loop.sockets.connect_error(self._sock)
        if error:
            self.reset = error == errno.ECONNRESET
            self._end(f"connect failed: {os.strerror(error)}")
            return False
        self.state = StreamState.OPEN
        if self._connecting_owner is not None:
            self._connecting_owner.connected()
        self._update_interest()
        return not self.closed

    def _receive(self) -> None:
        try:
            data = self._loop.sockets.receive(self._sock, self._loop.receive_bytes)
        except NOT_READY:
            return
        except OSError as fault:
            if fault.errno in RETRYABLE_ERRORS:
                self._receive_retry = self._loop.call_after(RETRY_DELAY, self._resume_receive)
                self._update_interest()
                return
            self.reset = True
            self._end(str(fault))
            return
        if not data:
            self.reset = True
            self._end("closed by the peer")
        elif self.state is StreamState.OPEN:
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        """Pass received data to the owner; a fault of this program ends only the connection."""
        try:
            self._owner.received(data)
        except Exception:
            log.logger().exception("input_failed")
            self._end("its input could not be handled")

    def _resume_receive(self) -> None:
        self._receive_retry = None
        self._update_interest()

    def _flush(self) -> None:
        if self.state not in (StreamState.OPEN, StreamState.FINISHING) or self._send_retry is not None:
            return
        try:
            had_unsent = len(self._out)
            while self._out:
                sent = self._loop.sockets.send(self._sock, self._out)
                self._sent += sent
                del self._out[:sent]
            if self.state is StreamState.FINISHING:
                self.state = StreamState.HALF_CLOSED
                self._loop.sockets.shut_down_sending(self._sock)
            elif had_unsent:
                self._owner.flushed()
        except NOT_READY:
            pass
        except OSError as fault:
            if fault.errno not in RETRYABLE_ERRORS:
                self.reset = True
                self.state = StreamState.BROKEN
                why = str(fault)
                self._loop.call_soon(lambda: self._end(why))
                return
            self._send_retry = self._loop.call_after(RETRY_DELAY, self._resume_flush)
        self._update_interest()

    def _resume_flush(self) -> None:
        self._send_retry = None
        self._flush()

    def _watch_reader(self) -> None:
        """End the connection unless the peer goes on reading."""
        sent = self._sent

        def check() -> None:
            self._stall_timer = None
            if self._sent == sent and self._out:
                self._end("the peer does not read what is sent")
            else:
                self._update_interest()

        self._stall_timer = self._loop.call_after(READ_STALL_TIMEOUT, check)

    def _update_interest(self) -> None:
        """Register the events that the stream currently waits for."""
        if self._out and self._end_if_unread and self._stall_timer is None and not self.closed:
            self._watch_reader()
        writing = self.connecting or (self._out and self._send_retry is None)
        reading = not self.connecting and self._receive_retry is None
        interest = (READ if reading else 0) | (WRITE if writing else 0)
        if not self.closed and interest != self._interest:
            self._loop.modify(self._sock, interest, self._ready)
            self._interest = interest

    def _end(self, why: str) -> None:
        if not self.closed:
            owner = self._owner
            self.close()
            owner.ended(why)
