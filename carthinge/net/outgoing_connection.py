"""Outgoing connections: opening one and carrying calls on it, one at a time."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

import httptools

from carthinge.net.http import MAX_BODY_BYTES, Address, Answer, AnswerReader
from carthinge.net.loop import Loop, Timer
from carthinge.net.sockets import LOCAL_SHORTAGES
from carthinge.net.stream import Stream

OPEN_RETRY_DELAY: Final = timedelta(milliseconds=20)  # after a local shortage, such as of file descriptors


class Call(Protocol):
    """One request on an outgoing connection: ``request``, ``written``, then ``answered`` or ``broken``.

    ``broken`` may be called at any time; nothing is called after it or after ``answered``.
    """

    reads_body: bool  #: whether the body of the answer matters; otherwise it is not kept

    def request(self) -> bytes | None:
        """Return the request to write now that the connection is up, or None if it is no longer wanted."""

    def written(self) -> None:
        """Called when the last byte of the request has been written."""

    def answered(self, answer: Answer) -> None:
        """Called with the complete answer."""

    def broken(self, written: bool, why: str) -> None:
        """Called when there will be no answer; ``written`` if the whole request was written."""


class OutgoingConnectionState(Enum):
    """Life cycle of an outgoing connection; states only move forward."""

    NEW = 1
    WAITING = 2  #: for a file descriptor, or for room in the connection pool
    CONNECTING = 3
    UP = 4
    CLOSED = 5


def _unlimited() -> bool:
    return True


@dataclass(slots=True, eq=False)
class OutgoingConnection:
    """An outgoing connection that carries one call at a time."""

    loop: Loop
    address: Address
    connect_timeout: timedelta
    body_limit: int = MAX_BODY_BYTES
    stall_timeout: timedelta | None = None  # between two parts of an answer
    may_open: Callable[[], bool] = _unlimited  # whether the pool has room for this connection
    call: Call | None = None
    state: OutgoingConnectionState = OutgoingConnectionState.NEW
    local_shortage: bool = False  # no connect was attempted: no local resources or no room in the pool
    _stream: Stream | None = None
    _reader: AnswerReader = field(init=False)
    _timer: Timer | None = None  # for the connect, later for the rest of an answer
    _open_retry: Timer | None = None

    def __post_init__(self) -> None:
        self._reader = AnswerReader(self.body_limit)

    def open(self) -> None:
        """Start to connect; the call is notified of the outcome from the event loop, never from here."""
        self.state = OutgoingConnectionState.WAITING
        self._timer = self.loop.call_after(self.connect_timeout, self._check_connected)
        self._connect()

    def _connect(self) -> None:
        """Connect, retrying on a local resource shortage until the connect timeout."""
        self._open_retry = None
        if not self.may_open():
            self._open_retry = self.loop.call_after(OPEN_RETRY_DELAY, self._connect)
            return
        try:
            sock = self.loop.sockets.connect(self.address.host, self.address.port)
            try:
                self._stream = Stream(self.loop, sock, self, connecting=self)
            except OSError:
                self.loop.sockets.close(sock)
                raise
        except OSError as error:
            if error.errno in LOCAL_SHORTAGES:
                self._open_retry = self.loop.call_after(OPEN_RETRY_DELAY, self._connect)
                return
            why = str(error)
            self.loop.call_soon(lambda: self._break(why))
            return
        self.state = OutgoingConnectionState.CONNECTING

    def adopt(self, sock: socket.socket) -> None:
        """Take over an idle connection that another process opened."""
        self._stream = Stream(self.loop, sock, self)
        self.state = OutgoingConnectionState.UP

    def release(self) -> socket.socket:
        """Give up an idle connection and return its socket, still connected."""
        assert self.call is None and self._stream is not None and self.state is OutgoingConnectionState.UP
        self._cancel_timers()
        self.state = OutgoingConnectionState.CLOSED
        return self._stream.release()

    def start(self, call: Call) -> None:
        """Start a call; its request is asked for once the connection is up."""
        assert self.call is None
        self.call = call
        self._reader.keeps_body = call.reads_body
        if self.state is OutgoingConnectionState.UP:
            self._write_request()

    def usable(self) -> bool:
        """Whether it can carry a call: idle, and not closed by the peer."""
        return (
            self.state is OutgoingConnectionState.UP
            and self.call is None
            and self._stream is not None
            and self._stream.input_empty()
        )

    def close(self) -> None:
        """Close the connection without notifying the call."""
        self.call = None
        self.state = OutgoingConnectionState.CLOSED
        self.may_open = _unlimited
        self._cancel_timers()
        self._reader.close()
        if self._stream is not None:
            self._stream.close()

    @property
    def reset(self) -> bool:
        """Whether the peer reset the connection, which does not prove that the peer is down."""
        return self._stream is not None and self._stream.reset

    @property
    def connecting(self) -> bool:
        """Whether it is not connected yet, so that nothing of a call has been sent."""
        return self.state in (
            OutgoingConnectionState.NEW,
            OutgoingConnectionState.WAITING,
            OutgoingConnectionState.CONNECTING,
        )

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self.state is OutgoingConnectionState.CLOSED

    # ---- the stream -----------------------------------------------------------------------

    def connected(self) -> None:
        """Write the request that has waited for the connection, if there is one."""
        self.state = OutgoingConnectionState.UP
        self._cancel_timers()
        if self.call is not None:
            self._write_request()

    def flushed(self) -> None:
        """Notify the call that its request has been written."""
        if self.call is not None:
            self.call.written()

    def received(self, data: bytes) -> None:
        """Parse received bytes and pass on a complete answer."""
        if self.call is None:  # unsolicited data could be mistaken for the next call's answer
            self.close()
            return
        try:
            answers = self._reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._break(f"not HTTP: {error}")
            return
        self._cancel_timers()
        if answers:
            self._answered(answers[0], further=len(answers) > 1 or self._reader.in_message)
        elif self.stall_timeout is not None:
            self._timer = self.loop.call_after(self.stall_timeout, lambda: self._break("answer stalled"))

    def ended(self, why: str) -> None:
        """Handle the end of the stream, which also ends an answer without a length."""
        answer = self._reader.end() if self.call is not None else None
        if answer is not None:
            self._answered(answer, further=True)
        else:
            self._break(why)

    # ---- the call -------------------------------------------------------------------------

    def _write_request(self) -> None:
        call, stream = self.call, self._stream
        assert call is not None and stream is not None
        data = call.request()
        if data is None:
            self.call = None
        elif self.call is call:
            stream.write(data)

    def _answered(self, answer: Answer, further: bool) -> None:
        """Deliver an answer; ``further``: more than it was received, so the connection cannot be reused."""
        call, stream = self.call, self._stream
        assert call is not None and stream is not None
        self.call = None
        if further or not answer.keep_alive or stream.unsent or stream.closed:
            self.close()
        call.answered(answer)

    def _check_connected(self) -> None:
        if self.connecting:
            self._break("connect timed out")

    def _break(self, why: str) -> None:
        """Close the connection and notify the call that there will be no answer."""
        if self.closed:
            return
        stream, call = self._stream, self.call
        written = not self.connecting and stream is not None and not stream.unsent
        self.local_shortage = self.state is OutgoingConnectionState.WAITING and self._open_retry is not None
        self.close()
        if call is not None:
            call.broken(written, why)

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._open_retry):
            if timer is not None:
                timer.cancel()
        self._timer = self._open_retry = None
