"""A connection that this side opens, and the calls that it carries one after the other."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

import httptools

from carthinge.net.http import BODY_LIMIT, Address, Answer, AnswerReader
from carthinge.net.loop import Loop, Timer
from carthinge.net.sockets import LOCAL_SHORTAGES
from carthinge.net.stream import Stream

OPEN_AGAIN: Final = timedelta(milliseconds=20)  # where this machine is short of descriptors or the like


class Call(Protocol):
    """One request on a caller: ``request``, ``written``, then ``answered`` or ``broken``.

    ``broken`` may come at any time; after it or ``answered`` nothing more comes.
    """

    def request(self) -> bytes | None:
        """What is to be written now that the connection is up; None where nothing is wanted any more."""

    def written(self) -> None:
        """The last byte of the request has gone out."""

    def answered(self, answer: Answer) -> None:
        """Hear the answer."""

    def broken(self, written: bool, why: str) -> None:
        """Hear that there will be no answer; ``written``: the whole request went out."""


class CallerState(Enum):
    """A caller's life; it only ever goes on to a later state."""

    NEW = 1
    WAITING = 2  #: for a descriptor, or for room in the pool of connections
    CONNECTING = 3
    UP = 4
    CLOSED = 5


def _always() -> bool:
    return True


@dataclass(slots=True, eq=False)
class Caller:
    """A connection that we opened; it carries one call at a time."""

    loop: Loop
    address: Address
    connect_timeout: timedelta
    body_limit: int = BODY_LIMIT
    broken_off: timedelta | None = None  # so long after a part of an answer the rest does not come any more
    admitted: Callable[[], bool] = _always  # whether one more connection may be opened just now
    call: Call | None = None
    state: CallerState = CallerState.NEW
    short: bool = False  # it ended without a try: this machine, or the pool, had no room for it
    _stream: Stream | None = None
    _reader: AnswerReader = field(init=False)
    _timer: Timer | None = None  # for the connection to come up, later for the rest of an answer
    _opening: Timer | None = None

    def __post_init__(self) -> None:
        self._reader = AnswerReader(self.body_limit)

    def open(self) -> None:
        """Starts to connect; whatever comes of that, its call hears it from the loop."""
        self.state = CallerState.WAITING
        self._timer = self.loop.call_after(self.connect_timeout, self._check_connected)
        self._connect()

    def _connect(self) -> None:
        """A shortage of this machine is waited out for as long as a connection may take to come up."""
        self._opening = None
        if not self.admitted():
            self._opening = self.loop.call_after(OPEN_AGAIN, self._connect)
            return
        try:
            sock = self.loop.sockets.connect(self.address.host, self.address.port)
            try:
                self._stream = Stream(self.loop, sock, self, connecting=self)
            except OSError:
                self.loop.sockets.close(sock)
                raise
        except OSError as fault:
            if fault.errno in LOCAL_SHORTAGES:
                self._opening = self.loop.call_after(OPEN_AGAIN, self._connect)
                return
            why = str(fault)
            self.loop.soon(lambda: self._break(why))
            return
        self.state = CallerState.CONNECTING

    def adopt(self, sock: socket.socket) -> None:
        """Goes on with a connection that another process opened and has no call on."""
        self._stream = Stream(self.loop, sock, self)
        self.state = CallerState.UP

    def release(self) -> socket.socket:
        """Lets go of an idle connection as it stands."""
        assert self.call is None and self._stream is not None and self.state is CallerState.UP
        self._cancel_timers()
        self.state = CallerState.CLOSED
        return self._stream.release()

    def start(self, call: Call) -> None:
        """Carries a call, whose request is asked for once the connection is up."""
        assert self.call is None
        self.call = call
        if self.state is CallerState.UP:
            self._write_request()

    def usable(self) -> bool:
        """Free for a call, and the other side has not ended it."""
        return (
            self.state is CallerState.UP
            and self.call is None
            and self._stream is not None
            and self._stream.silent()
        )

    def close(self) -> None:
        """Ends it without a word to the call."""
        self.call = None
        self.state = CallerState.CLOSED
        self._cancel_timers()
        if self._stream is not None:
            self._stream.close()

    @property
    def reset(self) -> bool:
        """The other side broke the connection off, but is not known to be down."""
        return self._stream is not None and self._stream.reset

    @property
    def connecting(self) -> bool:
        """Not up yet: nothing of a call has gone out."""
        return self.state in (CallerState.NEW, CallerState.WAITING, CallerState.CONNECTING)

    @property
    def closed(self) -> bool:
        """Whether it is of no further use."""
        return self.state is CallerState.CLOSED

    # ---- the stream -----------------------------------------------------------------------

    def connected(self) -> None:
        """Write the request that has waited for the connection."""
        self.state = CallerState.UP
        self._cancel_timers()
        if self.call is not None:
            self._write_request()

    def flushed(self) -> None:
        """Tell the call that its request went out."""
        if self.call is not None:
            self.call.written()

    def received(self, data: bytes) -> None:
        """Read the answer from bytes."""
        if self.call is None:  # nobody has asked: what follows could be taken for the next call's answer
            self.close()
            return
        try:
            answers = self._reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            self._break(f"not HTTP: {fault}")
            return
        self._cancel_timers()
        if answers:
            self._answered(answers[0], further=len(answers) > 1 or self._reader.under_way)
        elif self.broken_off is not None:
            self._timer = self.loop.call_after(self.broken_off, lambda: self._break("the answer broke off"))

    def ended(self, why: str) -> None:
        """By the other side, which may be how it marks the end of its answer."""
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
        """``further``: more has come than one answer, so that the connection is of no more use."""
        call, stream = self.call, self._stream
        assert call is not None and stream is not None
        self.call = None
        if further or not answer.keep_alive or stream.unsent or stream.closed:
            self.close()
        call.answered(answer)

    def _check_connected(self) -> None:
        if self.connecting:
            self._break("no connection in time")

    def _break(self, why: str) -> None:
        """The call has ended without an answer."""
        if self.closed:
            return
        stream, call = self._stream, self.call
        written = not self.connecting and stream is not None and not stream.unsent
        self.short = self.state is CallerState.WAITING and self._opening is not None
        self.close()
        if call is not None:
            call.broken(written, why)

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._opening):
            if timer is not None:
                timer.cancel()
        self._timer = self._opening = None
