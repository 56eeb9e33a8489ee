"""Two processes of one scheduler, the old and the new, while one takes over from the other."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable, Iterator
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Final, Protocol

from carthinge.net import log
from carthinge.net.channel import (
    FORMAT,
    Beat,
    Begun,
    ByHandCall,
    CallBack,
    Channel,
    Done,
    Hello,
    Incoming,
    Message,
    Open,
    Outgoing,
    State,
    Waiting,
)
from carthinge.net.http import Address
from carthinge.net.listener import ACCEPT_PAUSE
from carthinge.net.loop import MICROSECOND, READ, Loop, Timer
from carthinge.net.sockets import NOT_READY

STATE_WITHIN: Final = timedelta(seconds=2)  # of asking to take over; else the other is taken for stuck
BEAT: Final = timedelta(milliseconds=100)  # how often each tells the other what it has at the workers
DONE_WITHIN: Final = timedelta(milliseconds=500)  # of passing a call on; operators are owed an answer in 1 s


class Scheduler(Protocol):
    """What the process on the other side of the channel may want of this one."""

    def state(self) -> State:
        """Return what the process that takes over goes on from."""

    def begin(self, state: State | None) -> None:
        """Starts to serve, from the other's state or, without one, alone."""

    def leave(self, leaving: bool) -> None:
        """The other serves new clients from now on, or, where not ``leaving``, this one does again."""

    @property
    def needs_word(self) -> bool:
        """The one who takes over can fail at that still, and says when it has not."""

    def let_go(self, done: Callable[[bool], None]) -> None:
        """Frees what only one process can have; ``done`` hears whether the other may have it now."""

    def alone(self) -> None:
        """The process before this one has ended."""

    def call_back(self, body: bytes, known: Callable[[bool], None]) -> None:
        """A call-back that came to the other; ``known`` hears False where its job is not here."""

    def by_hand_here(self, worker: str, out: bool, sure: bool) -> bool:
        """Take a worker out or put it back; return whether it is known."""

    def adopt_incoming(self, sock: socket.socket, incoming: Incoming) -> None:
        """Take over a client's connection."""

    def adopt_waiting(self, sock: socket.socket, waiting: Waiting) -> None:
        """Take over a connection whose client waits for a durable job."""

    def adopt_open(self, sock: socket.socket, tracked: Open) -> None:
        """Take over an open request with its connection."""

    def adopt_outgoing(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """Take over an idle connection to a worker."""

    def beat(self) -> Beat:
        """Return what this process holds just now."""

    def heard(self, beat: Beat | None) -> None:
        """What the other holds; nothing once it has gone."""


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """The same path by way of its folder's descriptor: a Unix socket's may have 107 bytes and no more."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Upgrade:
    """Finds the process that serves already, and is found by the one that comes next."""

    scheduler: Scheduler  #: to be set before the other process is looked for

    def __init__(self, loop: Loop, name: str) -> None:
        self._loop = loop
        folder = os.environ.get("TMPDIR")  # private to one scheduler; without it there is no other process
        self._path = Path(folder, f"carthinge-{name.replace(':', '-')}") if folder else None
        self._listener: socket.socket | None = None
        self._inode = 0
        self._channel: Channel | None = None
        self._taking_over = False  # this is the new one, and the old one is there still
        self._leaving = False  # this is the old one
        self._handed_over = False  # and the new one serves
        self._patience: Timer | None = None
        self._number = 0
        self._waiting: dict[int, Callable[[bool], None]] = {}

    @property
    def paired(self) -> bool:
        """Another process of this scheduler is there."""
        return self._channel is not None

    @property
    def passing(self) -> bool:
        """Something is on its way to the other still."""
        return self._channel is not None and self._channel.unsent

    @property
    def leaving(self) -> bool:
        """Whether this is the old process."""
        return self._leaving

    @property
    def handed_over(self) -> bool:
        """The new process takes what is passed on to it."""
        return self._handed_over

    # ---- finding each other ---------------------------------------------------------------

    def find(self) -> None:
        """Asks the process that serves to hand over, if there is one; begins alone if not."""
        if self._path is None:
            self.scheduler.begin(None)
            return
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with _short(self._path) as path:
                sock.connect(path)
        except OSError:  # nobody has been there, or it has died and left its socket
            sock.close()
            self.scheduler.begin(None)
            return
        self._taking_over = True
        self._open(sock)
        self._patience = self._loop.call_after(STATE_WITHIN, self._give_up)
        self._send(Hello(FORMAT))

    def listen(self) -> None:
        """Takes the place of whoever was found there before, in one step."""
        if self._path is None:
            return
        new = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                new.unlink()
            with _short(new) as path:
                sock.bind(path)
            sock.listen(4)
            self._inode = new.stat().st_ino
            new.rename(self._path)
        except OSError as fault:
            sock.close()
            log.logger().warning("no_upgrade", why=str(fault), path=str(self._path))
            return
        sock.setblocking(False)
        self._listener = sock
        self._loop.register(sock, READ, self._accept)

    def close(self) -> None:
        """Close the channel and stop listening."""
        if self._channel is not None:
            self._channel.close()
        self._end_listening()

    def _end_listening(self) -> None:
        if self._listener is not None:
            with contextlib.suppress(KeyError):  # it rests
                self._loop.forget(self._listener)
            self._loop.sockets.close(self._listener)
            self._listener = None
            with contextlib.suppress(OSError):
                if self._path is not None and self._path.stat().st_ino == self._inode:
                    self._path.unlink()

    def _accept(self, _: int) -> None:
        assert self._listener is not None
        try:
            sock = self._loop.sockets.accept(self._listener)
        except NOT_READY:
            return
        except OSError as fault:  # it stays ready, and the loop would turn for nothing
            log.logger().warning("upgrade_paused", why=str(fault))
            self._loop.forget(self._listener)
            self._loop.call_after(ACCEPT_PAUSE, partial(self._accept_again, self._listener))
            return
        if self._channel is not None:  # one at a time
            sock.close()
            return
        self._open(sock)

    def _accept_again(self, listener: socket.socket) -> None:
        if self._listener is listener:
            self._loop.register(listener, READ, self._accept)

    def _open(self, sock: socket.socket) -> None:
        self._channel = Channel(self._loop, sock, self._received, self._lost)

    def _give_up(self) -> None:
        """Guards against an old process that is stuck: what it holds cannot be had."""
        if self._channel is not None and self._taking_over:
            self._channel.close()
            self._lost([])

    # ---- messages -------------------------------------------------------------------------

    def pass_incoming(self, sock: socket.socket, incoming: Incoming) -> None:
        """Hand over a client's connection."""
        self._send(incoming, sock)

    def pass_waiting(self, sock: socket.socket, waiting: Waiting) -> None:
        """Hand over a connection whose client waits for a durable job."""
        self._send(waiting, sock)

    def pass_open(self, sock: socket.socket, tracked: Open) -> None:
        """Hand over an open request with its connection."""
        self._send(tracked, sock)

    def pass_outgoing(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """Hand over an idle connection to a worker."""
        self._send(Outgoing(str(address), idle_since // MICROSECOND), sock)

    def forward_callback(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Hand over a call-back; ``done`` hears whether its job is known there."""
        self._ask(lambda number: CallBack(number, body), done)

    def pass_by_hand(self, worker: str, out: bool, sure: bool, done: Callable[[bool], None]) -> None:
        """Hand over an operator's call; ``done`` hears whether the worker is known there."""
        self._ask(lambda number: ByHandCall(number, worker, out, sure), done)

    def _ask(self, message: Callable[[int], Message], done: Callable[[bool], None]) -> None:
        self._number += 1
        number = self._number
        self._waiting[number] = done
        self._loop.call_after(DONE_WITHIN, lambda: self._done(number, False))
        self._send(message(number))

    def _send(self, message: Message, along: socket.socket | None = None) -> None:
        assert self._channel is not None
        self._channel.send(message, along)

    def _answer(self, number: int, known: bool) -> None:
        if self._channel is not None:
            self._send(Done(number, known))

    def _done(self, number: int, known: bool) -> None:
        done = self._waiting.pop(number, None)
        if done is not None:
            done(known)

    def _received(self, message: Message, along: socket.socket | None) -> None:
        scheduler = self.scheduler
        match message:
            case Hello(format=spoken):
                if spoken == FORMAT:
                    self._loop.soon(self._hand_over)  # once all that has come up is decided on
                elif self._channel is not None:
                    self._channel.close()
                    self._channel = None
            case State():
                if self._patience is not None:
                    self._patience.cancel()
                    self._patience = None
                    scheduler.begin(message)
                    if scheduler.needs_word:
                        self._send(Begun())
                    self._beat()
            case Begun():
                self._handed_over = self._leaving
            case Incoming() | Waiting() | Open() | Outgoing() if along is not None:
                self._adopt(message, along)
            case CallBack(number=number, body=body):
                scheduler.call_back(body, partial(self._answer, number))
            case ByHandCall(number=number, worker=worker, out=out, sure=sure):
                self._send(Done(number, scheduler.by_hand_here(worker, out, sure)))
            case Done(number=number, known=known):
                self._done(number, known)
            case Beat():
                scheduler.heard(message)

    def _adopt(self, message: Message, sock: socket.socket) -> None:
        """Guards against one connection that this machine has no room for taking all others with it."""
        try:
            match message:
                case Incoming():
                    self.scheduler.adopt_incoming(sock, message)
                case Waiting():
                    self.scheduler.adopt_waiting(sock, message)
                case Open():
                    self.scheduler.adopt_open(sock, message)
                case Outgoing(address=address, idle_since_us=since):
                    self.scheduler.adopt_outgoing(sock, Address.parse(address), since * MICROSECOND)
        except OSError as fault:
            log.logger().warning("not_adopted", what=type(message).__name__, why=str(fault))
            self._loop.sockets.close(sock)

    def _hand_over(self) -> None:
        if self._channel is not None and not self._leaving:
            self._leaving = True
            self.scheduler.leave(True)
            self.scheduler.let_go(self._let_go)

    def _let_go(self, free: bool) -> None:
        channel = self._channel
        if channel is None or not self._leaving:  # the other has ended meanwhile
            return
        if not free:
            channel.close()
            self._lost([])
            return
        self._handed_over = not self.scheduler.needs_word
        self._send(self.scheduler.state())
        self._beat()
        log.logger().info("handed_over")

    def _beat(self) -> None:
        if self._channel is not None:
            self._send(self.scheduler.beat())
            self._loop.call_after(BEAT, self._beat)

    def _lost(self, unsent: list[tuple[Message, socket.socket]]) -> None:
        """The other has ended, or died: what was on its way to it is kept."""
        self._channel = None
        for number in list(self._waiting):
            self._done(number, False)
        if self._patience is not None:  # it never said what it knows
            self._patience.cancel()
            self._patience = None
            self._taking_over = False
            log.logger().warning("not_handed_over")
            self.scheduler.begin(None)
            return
        self.scheduler.heard(None)
        if self._leaving:
            self._leaving = self._handed_over = False
            log.logger().warning("taken_back")
            self._end_listening()  # the other had put its own in that place
            self.listen()
            self.scheduler.leave(False)
            for message, sock in unsent:
                if isinstance(message, Outgoing):
                    sock.close()
                else:
                    self._adopt(message, sock)
        elif self._taking_over:
            self._taking_over = False
            log.logger().info("alone")
            self.scheduler.alone()
