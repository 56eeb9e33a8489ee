"""The channel between two processes of one scheduler: whole messages, and open sockets beside them."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

from carthinge.interface import JobMemory, Memory
from carthinge.net.loop import READ, WRITE, Loop
from carthinge.net.members import Member
from carthinge.net.sockets import NOT_READY

FORMAT: Final = 2  # of these messages: a process that speaks another one is left alone
LENGTH: Final = 4  # bytes of a message's length before it
CHUNK: Final = 65536
SOCKETS_AT_ONCE: Final = 32
LONGEST: Final = 64 * 1024 * 1024


class Hello(msgspec.Struct, frozen=True, tag=True):
    """Asks to take over."""

    format: int


class Target(msgspec.Struct, frozen=True):
    """A worker as the route table holds it."""

    id: str
    address: str
    ready: bool
    listed: bool
    member: Member | None  #: as discovery has named it last, if it has
    started_us: int  #: its last start on the monotonic clock, 0 for long ago


class State(msgspec.Struct, frozen=True, tag=True):
    """Everything that the one who takes over goes on from."""

    discovery: str
    revision: int | None
    targets: list[Target]
    memory: Memory
    classes: tuple[str, ...]  #: what the positions in ``memory`` stand for
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]


class Begun(msgspec.Struct, frozen=True, tag=True):
    """The one who takes over has all that it needs, and serves."""


class Incoming(msgspec.Struct, frozen=True, tag=True):
    """A connection of a client or of a worker that calls back; its socket comes along."""

    fresh: bool
    read: bytes = b""  # what came on it and waits to be handled
    connected_us: int | None = None  # on the monotonic clock; a fresh one's time to send something began then
    came_us: int | None = None  # what waits on it, read or unread, came no earlier


class Waiting(msgspec.Struct, frozen=True, tag=True):
    """A client that waits for a durable job; its socket comes along."""

    job: str
    in_place: bool
    until_us: int
    keep_alive: bool


class OpenAttempt(msgspec.Struct, frozen=True):
    """One send of a tracked request; its worker by id."""

    worker: str
    address: str
    sent_us: int
    due_us: int
    open: bool
    result: int | None = None  #: how it has ended, where that is known


class Open(msgspec.Struct, frozen=True, tag=True):
    """A tracked request that is at rest; its client's socket comes along."""

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
    """An idle connection to a worker; its socket comes along."""

    address: str
    idle_since_us: int


class CallBack(msgspec.Struct, frozen=True, tag=True):
    """A worker's call-back for a job that is not known where it came."""

    number: int
    body: bytes


class ByHandCall(msgspec.Struct, frozen=True, tag=True):
    """An operator's call; ``sure`` where the id is known to who got it."""

    number: int
    worker: str
    out: bool
    sure: bool


class Done(msgspec.Struct, frozen=True, tag=True):
    """What was passed on is carried out; ``known`` where there was such a job or worker."""

    number: int
    known: bool


class Beat(msgspec.Struct, frozen=True, tag=True):
    """What the sender holds just now."""

    slots: int
    loads: bytes


Message = Hello | State | Begun | Incoming | Waiting | Open | Outgoing | CallBack | ByHandCall | Done | Beat
_ALONG: Final = (Incoming, Waiting, Open, Outgoing)  # a socket comes with these
_DECODER: Final[msgspec.msgpack.Decoder[Message]] = msgspec.msgpack.Decoder(Message)


class Channel:
    """A connected Unix socket in the loop.  A socket that is sent along is closed here once it is gone."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        received: Callable[[Message, socket.socket | None], None],
        lost: Callable[[list[tuple[Message, socket.socket]]], None],
    ) -> None:
        """``lost`` is told of the sockets that did not get there any more."""
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._received = received
        self._lost = lost
        self._in = bytearray()
        self._sockets: deque[socket.socket] = deque()
        self._out: deque[tuple[bytearray, Message, socket.socket | None]] = deque()
        self._interest = READ
        sock.setblocking(False)
        loop.register(sock, READ, self._ready)

    @property
    def unsent(self) -> bool:
        """Whether something waits to be sent."""
        return bool(self._out)

    def send(self, message: Message, along: socket.socket | None = None) -> None:
        """Send a message, and an open socket with it."""
        body = msgspec.msgpack.encode(message)
        self._out.append((bytearray(len(body).to_bytes(LENGTH, "big") + body), message, along))
        self._flush()

    def close(self) -> None:
        """Close the channel and the sockets that came on it unclaimed."""
        if not self.closed:
            self.closed = True
            self._loop.forget(self._sock)
            for sock in (self._sock, *self._sockets):
                self._loop.sockets.close(sock)

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            self._receive()

    def _receive(self) -> None:
        try:
            data, sockets = self._loop.sockets.receive_with_sockets(self._sock, CHUNK, SOCKETS_AT_ONCE)
        except NOT_READY:
            return
        except OSError:
            self._end()
            return
        self._sockets.extend(sockets)
        self._in += data
        if not data:
            self._end()
            return
        while not self.closed and len(self._in) >= LENGTH:
            size = int.from_bytes(self._in[:LENGTH], "big")
            if size > LONGEST:
                self._end()
                return
            if len(self._in) < LENGTH + size:
                return
            body = bytes(self._in[LENGTH : LENGTH + size])
            del self._in[: LENGTH + size]
            try:
                message = _DECODER.decode(body)
                along = self._sockets.popleft() if isinstance(message, _ALONG) else None
            except (msgspec.MsgspecError, IndexError):
                self._end()
                return
            self._received(message, along)

    def _flush(self) -> None:
        try:
            while self._out and not self.closed:
                data, message, along = self._out[0]
                if along is not None:
                    sent = self._loop.sockets.send_with_socket(self._sock, data, along)
                    along.close()
                    self._out[0] = (data, message, None)
                else:
                    sent = self._loop.sockets.send(self._sock, data)
                del data[:sent]
                if not data:
                    self._out.popleft()
        except NOT_READY:
            pass
        except OSError:
            self._loop.soon(self._end)
            return
        interest = READ | (WRITE if self._out else 0)
        if interest != self._interest and not self.closed:
            self._interest = interest
            self._loop.change(self._sock, interest, self._ready)

    def _end(self) -> None:
        if not self.closed:
            self.close()
            unsent = [(message, along) for _, message, along in self._out if along is not None]
            self._out.clear()
            self._lost(unsent)
