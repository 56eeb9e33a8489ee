"""The upgrade channel between two processes of one scheduler: messages, and open sockets with them."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Final

import msgspec

from carthinge.interface import JobMemory, Memory
from carthinge.net import log
from carthinge.net.decoding import UndecodableError, decode
from carthinge.net.loop import READ, WRITE, Loop, Timer
from carthinge.net.members import Member
from carthinge.net.sockets import NOT_READY, RETRY_DELAY, RETRYABLE_ERRORS

FORMAT: Final = 2  # version of the messages; processes with different versions hand nothing over
LENGTH_BYTES: Final = 4  # length prefix of a message
RECEIVE_BYTES: Final = 65536
MAX_SOCKETS_PER_RECEIVE: Final = 32
MAX_MESSAGE_BYTES: Final = 8 * 1024 * 1024  # the state of a scheduler with 4,096 workers fits
MAX_UNCLAIMED_SOCKETS: Final = 32  # received before the end of their messages
CONGESTED_BYTES: Final = 1024 * 1024  # unsent; beyond it the peer is given nothing that can wait
STALL_TIMEOUT: Final = timedelta(seconds=2)  # without progress, while the peer has something to read


class Hello(msgspec.Struct, frozen=True, tag=True):
    """Requests the handover from the predecessor."""

    format: int
    answers_queries: bool = False  # older versions do not know the fields with defaults


class Target(msgspec.Struct, frozen=True):
    """A worker in the worker directory."""

    id: str
    address: str
    ready: bool
    listed: bool
    member: Member | None  #: as last listed by discovery, if ever
    started_us: int  #: last start on the monotonic clock, 0 for long ago


class State(msgspec.Struct, frozen=True, tag=True):
    """The state that the successor starts from."""

    discovery: str
    revision: int | None
    targets: list[Target]
    memory: Memory
    classes: tuple[str, ...]  #: names by their positions in ``memory``; so are the next two
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]
    recent_ids: list[str] = []  #: of requests that may have run
    answers_queries: bool = False


class Begun(msgspec.Struct, frozen=True, tag=True):
    """The successor has received everything and serves."""


class Incoming(msgspec.Struct, frozen=True, tag=True):
    """A connection of a client or of a worker that sends a callback, passed with its socket."""

    fresh: bool
    read: bytes = b""  # received on it and not handled yet
    connected_us: int | None = None  # on the monotonic clock; the read timeout of a fresh one starts then
    came_us: int | None = None  # earliest arrival of its input that is not handled yet, read or unread


class Waiting(msgspec.Struct, frozen=True, tag=True):
    """A client that waits for a durable job, passed with its socket."""

    job: str
    in_place: bool
    until_us: int
    keep_alive: bool


class OpenAttempt(msgspec.Struct, frozen=True):
    """An attempt of a tracked request; its worker by id."""

    worker: str
    address: str
    sent_us: int
    due_us: int
    open: bool
    result: int | None = None  #: how it ended, if known
    ended_by_callback: bool = False  #: its worker may report its end again


class Open(msgspec.Struct, frozen=True, tag=True):
    """A tracked request with no I/O in progress, passed with its client's socket."""

    id: str
    subject: bytes
    body: bytes
    headers: list[tuple[str, bytes]]
    class_name: str
    tenant: str
    give_up_us: int
    keep_alive: bool
    attempts: list[OpenAttempt]
    memory: JobMemory


class Outgoing(msgspec.Struct, frozen=True, tag=True):
    """An idle connection to a worker, passed with its socket."""

    address: str
    idle_since_us: int


class ForwardedCallback(msgspec.Struct, frozen=True, tag="CallBack"):
    """A worker's callback for a job that is not known to the process that received it."""

    number: int
    body: bytes


class ForwardedExclusion(msgspec.Struct, frozen=True, tag="ByHandCall"):
    """An operator's call to exclude a worker or not; ``sure`` if the process that was called knows the id."""

    number: int
    worker: str
    out: bool
    sure: bool


class JobQuery(msgspec.Struct, frozen=True, tag=True):
    """Asks whether an id is in use; sent only to a process that answers queries."""

    number: int
    id: str


class Done(msgspec.Struct, frozen=True, tag=True):
    """A forwarded message was handled; ``known`` if there was such a job or worker."""

    number: int
    known: bool


class Heartbeat(msgspec.Struct, frozen=True, tag="Beat"):
    """The number of slots and the loads that the sender currently holds."""

    slots: int
    loads: bytes
    ended_ids: list[str] = []  #: of requests that may have run, since the last one


Message = (
    Hello
    | State
    | Begun
    | Incoming
    | Waiting
    | Open
    | Outgoing
    | ForwardedCallback
    | ForwardedExclusion
    | JobQuery
    | Done
    | Heartbeat
)
_WITH_SOCKET: Final = (Incoming, Waiting, Open, Outgoing)  # messages that are passed with a socket
_DECODER: Final[msgspec.msgpack.Decoder[Message]] = msgspec.msgpack.Decoder(Message)


class Channel:
    """A connected Unix socket in the event loop.  A passed socket is closed here after it was sent."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        received: Callable[[Message, socket.socket | None], None],
        lost: Callable[[list[tuple[Message, socket.socket]]], None],
    ) -> None:
        """``lost`` is called with the messages and sockets that could not be sent."""
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._received = received
        self._lost = lost
        self._in = bytearray()
        self._sockets: deque[socket.socket] = deque()
        self._out: deque[tuple[bytearray, Message, socket.socket | None]] = deque()
        self._unsent_bytes = self._sent = 0
        self._stall_timer: Timer | None = None
        self._send_retry: Timer | None = None  # this and the next are set while buffers are short
        self._receive_retry: Timer | None = None
        self._interest = READ
        sock.setblocking(False)
        loop.register(sock, READ, self._ready)

    @property
    def unsent(self) -> bool:
        """Whether there is unsent output."""
        return bool(self._out)

    @property
    def congested(self) -> bool:
        """Whether the peer has much to read, so that nothing more should be sent that can wait."""
        return self._unsent_bytes > CONGESTED_BYTES

    def send(self, message: Message, passed: socket.socket | None = None) -> None:
        """Send a message, optionally with an open socket."""
        body = msgspec.msgpack.encode(message)
        self._unsent_bytes += LENGTH_BYTES + len(body)
        self._out.append((bytearray(len(body).to_bytes(LENGTH_BYTES, "big") + body), message, passed))
        self._flush()

    def close(self) -> None:
        """Close the channel and the received sockets that no message has claimed."""
        if not self.closed:
            self.closed = True
            self._loop.unregister(self._sock)
            for timer in (self._stall_timer, self._send_retry, self._receive_retry):
                if timer is not None:
                    timer.cancel()
            for sock in (self._sock, *self._sockets):
                self._loop.sockets.close(sock)

    def receive_rest(self) -> None:
        """Receive what has been sent to this end: the peer has given away the connections that it passed.

        Stops at a receive that fails, even if only for want of buffers.
        """
        while not self.closed and self._receive():
            pass

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            self._receive()

    def _receive(self) -> bool:
        """Receive once; return whether there may be more to receive."""
        try:
            data, sockets = self._loop.sockets.receive_with_sockets(
                self._sock, RECEIVE_BYTES, MAX_SOCKETS_PER_RECEIVE
            )
        except NOT_READY:
            return False
        except OSError as error:
            if error.errno in RETRYABLE_ERRORS:
                self._receive_retry = self._loop.call_after(RETRY_DELAY, self._resume_receive)
                self._update_interest()
            else:
                self._end(str(error))
            return False
        self._sockets.extend(sockets)
        self._in += data
        if not data:
            self._end("closed by the peer")
        elif len(self._sockets) > MAX_UNCLAIMED_SOCKETS:
            self._end("too many sockets without messages")
        else:
            self._handle_messages()
        return not self.closed

    def _resume_receive(self) -> None:
        self._receive_retry = None
        self._update_interest()

    def _handle_messages(self) -> None:
        while not self.closed and len(self._in) >= LENGTH_BYTES:
            size = int.from_bytes(self._in[:LENGTH_BYTES], "big")
            if size > MAX_MESSAGE_BYTES:
                self._end("a message is too large")
                return
            if len(self._in) < LENGTH_BYTES + size:
                return
            body = bytes(self._in[LENGTH_BYTES : LENGTH_BYTES + size])
            del self._in[: LENGTH_BYTES + size]
            try:
                message = decode(_DECODER, body)
                passed = self._sockets.popleft() if isinstance(message, _WITH_SOCKET) else None
            except (UndecodableError, IndexError) as error:
                self._end(f"a message cannot be decoded: {error}")
                return
            self._received(message, passed)

    def _flush(self) -> None:
        if self._send_retry is not None:
            return
        try:
            while self._out and not self.closed:
                self._send_first()
        except NOT_READY:
            pass
        except OSError as error:
            if error.errno not in RETRYABLE_ERRORS:
                self._loop.call_soon(partial(self._end_after_receiving, str(error)))
                return
            self._send_retry = self._loop.call_after(RETRY_DELAY, self._resume_flush)
        self._update_interest()
        if self._out and self._stall_timer is None and not self.closed:
            self._watch_peer()

    def _send_first(self) -> None:
        """Send as much of the first message as possible."""
        data, message, passed = self._out[0]
        if passed is not None:
            sent = self._loop.sockets.send_with_socket(self._sock, data, passed)
            passed.close()
            self._out[0] = (data, message, None)
        else:
            sent = self._loop.sockets.send(self._sock, data)
        del data[:sent]
        self._unsent_bytes -= sent
        self._sent += sent
        if not data:
            self._out.popleft()

    def _resume_flush(self) -> None:
        self._send_retry = None
        self._flush()

    def _update_interest(self) -> None:
        """Register the events that the channel currently waits for."""
        writing = bool(self._out) and self._send_retry is None
        reading = self._receive_retry is None
        interest = (READ if reading else 0) | (WRITE if writing else 0)
        if interest != self._interest and not self.closed:
            self._loop.modify(self._sock, interest, self._ready)
            self._interest = interest

    def _watch_peer(self) -> None:
        """End the channel unless the peer goes on reading."""
        sent = self._sent

        def check() -> None:
            self._stall_timer = None
            if self._out and self._sent == sent:
                self._end_after_receiving("the peer does not read")
            elif self._out:
                self._watch_peer()

        self._stall_timer = self._loop.call_after(STALL_TIMEOUT, check)

    def _end_after_receiving(self, why: str) -> None:
        self.receive_rest()
        self._end(why)

    def _end(self, why: str) -> None:
        if not self.closed:
            self.close()
            unsent = [(message, passed) for _, message, passed in self._out if passed is not None]
            self._out.clear()
            log.logger().info("upgrade_channel_ended", why=why, unsent=len(unsent))
            self._lost(unsent)
