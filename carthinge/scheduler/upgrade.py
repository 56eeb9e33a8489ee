"""Upgrade: a new process of a scheduler, the successor, takes over from the running one, the predecessor."""

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
    Begun,
    Channel,
    Done,
    ForwardedCallback,
    ForwardedExclusion,
    Heartbeat,
    Hello,
    Incoming,
    JobQuery,
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

# For the state after Hello; without it the predecessor is considered stuck.
STATE_TIMEOUT: Final = timedelta(seconds=2)
HEARTBEAT_INTERVAL: Final = timedelta(milliseconds=100)  # between reports of each process's load
FORWARD_TIMEOUT: Final = timedelta(milliseconds=500)  # operators need an answer within 1 s


class HandoverHandler(Protocol):
    """What the peer process can request from this one."""

    def state(self) -> State:
        """Return the state that the successor goes on from."""

    def start_serving(self, state: State | None) -> None:
        """Start serving, from the predecessor's state if there is one."""

    def set_leaving(self, leaving: bool) -> None:
        """Leave new clients to the successor or, if not ``leaving``, serve them again."""

    @property
    def needs_confirmation(self) -> bool:
        """Whether the successor can still fail to take over, and has to confirm that it serves."""

    def release_store(self, done: Callable[[bool], None]) -> None:
        """Release the store, which only one process can have; call ``done`` with whether it is free."""

    def has_job(self, job_id: str) -> bool:
        """Whether an id is in use here."""

    def peer_ended(self) -> None:
        """Note that the predecessor has ended."""

    def handle_callback(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Handle a callback that the peer received; call ``done`` with whether its job is known here."""

    def set_excluded_here(self, worker: str, excluded: bool, confirmed: bool) -> bool:
        """Exclude or re-admit a worker; return whether it is known."""

    def adopt_incoming(self, sock: socket.socket, incoming: Incoming) -> None:
        """Take over a client's connection."""

    def adopt_waiting(self, sock: socket.socket, waiting: Waiting) -> None:
        """Take over a connection whose client waits for a durable job."""

    def adopt_open(self, sock: socket.socket, tracked: Open) -> None:
        """Take over an open request with its connection."""

    def adopt_outgoing(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """Take over an idle connection to a worker."""

    def heartbeat(self) -> Heartbeat:
        """Return the current load of this process."""

    def handle_heartbeat(self, heartbeat: Heartbeat | None) -> None:
        """Note the load of the peer; None once it has ended."""


@contextlib.contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """Yield a path through the folder's descriptor, since a Unix socket's path is limited to 107 bytes."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Upgrade:
    """Finds the predecessor, if there is one, and is found by the successor."""

    handler: HandoverHandler  #: must be set before ``find_predecessor`` is called

    def __init__(self, loop: Loop, name: str) -> None:
        self._loop = loop
        folder = os.environ.get("TMPDIR")  # private to one scheduler; without it upgrades are not possible
        self._path = Path(folder, f"carthinge-{name.replace(':', '-')}") if folder else None
        self._listener: socket.socket | None = None
        self._inode = 0
        self._channel: Channel | None = None
        self._answers_queries = False  # the peer is of a version that does
        self._taking_over = False  # this is the successor, and the predecessor still runs
        self._leaving = False  # this is the predecessor
        self._handed_over = False  # and the successor serves
        self._state_timer: Timer | None = None
        self._last_number = 0
        self._pending: dict[int, Callable[[bool], None]] = {}

    @property
    def has_peer(self) -> bool:
        """Whether another process of this scheduler is connected."""
        return self._channel is not None

    @property
    def answers_queries(self) -> bool:
        """Whether another process is connected that can be asked about ids."""
        return self._channel is not None and self._answers_queries

    @property
    def has_unsent(self) -> bool:
        """Whether messages to the peer are still unsent."""
        return self._channel is not None and self._channel.unsent

    @property
    def congested(self) -> bool:
        """Whether the peer has much to read already."""
        return self._channel is not None and self._channel.congested

    @property
    def leaving(self) -> bool:
        """Whether this is the predecessor."""
        return self._leaving

    @property
    def handed_over(self) -> bool:
        """Whether the successor accepts what is handed over to it."""
        return self._handed_over

    # ---- connecting -----------------------------------------------------------------------

    def find_predecessor(self) -> None:
        """Ask the predecessor to hand over; start serving at once if there is none."""
        if self._path is None:
            self.handler.start_serving(None)
            return
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with _short_path(self._path) as path:
                sock.connect(path)
        except OSError:  # no process has run, or it died and left its socket behind
            sock.close()
            self.handler.start_serving(None)
            return
        self._taking_over = True
        self._open_channel(sock)
        self._state_timer = self._loop.call_after(STATE_TIMEOUT, self._state_timed_out)
        self._send(Hello(FORMAT, answers_queries=True))

    def listen(self) -> None:
        """Listen for a successor, replacing the predecessor's socket atomically."""
        if self._path is None:
            return
        new = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                new.unlink()
            with _short_path(new) as path:
                sock.bind(path)
            sock.listen(4)
            self._inode = new.stat().st_ino
            new.rename(self._path)
        except OSError as error:
            sock.close()
            log.logger().warning("no_upgrade", why=str(error), path=str(self._path))
            return
        sock.setblocking(False)
        self._listener = sock
        self._loop.register(sock, READ, self._accept)

    def close(self) -> None:
        """Close the channel and stop listening."""
        if self._channel is not None:
            self._channel.close()
        self._stop_listening()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            with contextlib.suppress(KeyError):  # accepting is paused
                self._loop.unregister(self._listener)
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
        except OSError as error:  # it stays readable, which would make the loop spin
            log.logger().warning("upgrade_paused", why=str(error))
            self._loop.unregister(self._listener)
            self._loop.call_after(ACCEPT_PAUSE, partial(self._accept_again, self._listener))
            return
        if self._channel is not None:  # one peer at a time
            sock.close()
            return
        self._open_channel(sock)

    def _accept_again(self, listener: socket.socket) -> None:
        if self._listener is listener:
            self._loop.register(listener, READ, self._accept)

    def _open_channel(self, sock: socket.socket) -> None:
        self._channel = Channel(self._loop, sock, self._on_message, self._on_peer_lost)

    def _state_timed_out(self) -> None:
        """Start without the state of a predecessor that is stuck."""
        if self._channel is not None and self._taking_over:
            self._channel.receive_rest()
            if self._state_timer is not None:  # the state was not among it
                self._channel.close()
                self._on_peer_lost([])

    # ---- messages -------------------------------------------------------------------------

    def hand_over(self, sock: socket.socket, state: Incoming | Waiting | Open | Outgoing) -> None:
        """Hand over a connection with its state."""
        self._send(state, sock)

    def forward_callback(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Forward a callback; call ``done`` with whether its job is known at the peer."""
        self._request(lambda number: ForwardedCallback(number, body), done)

    def forward_set_excluded(
        self, worker: str, excluded: bool, confirmed: bool, done: Callable[[bool], None]
    ) -> None:
        """Forward an operator's call; call ``done`` with whether the worker is known at the peer."""
        self._request(lambda number: ForwardedExclusion(number, worker, excluded, confirmed), done)

    def query_job(self, job_id: str, done: Callable[[bool], None]) -> None:
        """Call ``done`` with whether an id is in use at the peer."""
        self._request(lambda number: JobQuery(number, job_id), done)

    def _request(self, message: Callable[[int], Message], done: Callable[[bool], None]) -> None:
        self._last_number += 1
        number = self._last_number
        self._pending[number] = done
        if self.congested:
            self._loop.call_soon(lambda: self._resolve(number, False))
            return
        self._loop.call_after(FORWARD_TIMEOUT, lambda: self._resolve(number, False))
        self._send(message(number))

    def _send(self, message: Message, attached: socket.socket | None = None) -> None:
        assert self._channel is not None
        self._channel.send(message, attached)

    def _answer(self, number: int, known: bool) -> None:
        if self._channel is not None:
            self._send(Done(number, known))

    def _resolve(self, number: int, known: bool) -> None:
        done = self._pending.pop(number, None)
        if done is not None:
            done(known)

    def _on_message(self, message: Message, attached: socket.socket | None) -> None:
        handler = self.handler
        match message:
            case Hello(format=peer_format):
                self._answers_queries = message.answers_queries
                if peer_format == FORMAT:
                    self._loop.call_soon(self._hand_over)  # after decisions on all pending events
                elif self._channel is not None:
                    self._channel.close()
                    self._channel = None
            case State():
                if self._state_timer is not None:
                    self._state_timer.cancel()
                    self._state_timer = None
                    self._answers_queries = message.answers_queries
                    handler.start_serving(message)
                    if handler.needs_confirmation:
                        self._send(Begun())
                    self._send_heartbeat()
            case Begun():
                self._handed_over = self._leaving
            case Incoming() | Waiting() | Open() | Outgoing() if attached is not None:
                self._adopt(message, attached)
            case ForwardedCallback(number=number, body=body):
                handler.handle_callback(body, partial(self._answer, number))
            case ForwardedExclusion(number=number, worker=worker, out=excluded, sure=confirmed):
                self._send(Done(number, handler.set_excluded_here(worker, excluded, confirmed)))
            case JobQuery(number=number, id=job_id):
                self._answer(number, handler.has_job(job_id))
            case Done(number=number, known=known):
                self._resolve(number, known)
            case Heartbeat():
                handler.handle_heartbeat(message)

    def _adopt(self, message: Message, sock: socket.socket) -> None:
        """Adopt a connection; an OSError affects only this connection and not the others."""
        try:
            match message:
                case Incoming():
                    self.handler.adopt_incoming(sock, message)
                case Waiting():
                    self.handler.adopt_waiting(sock, message)
                case Open():
                    self.handler.adopt_open(sock, message)
                case Outgoing(address=address, idle_since_us=since):
                    self.handler.adopt_outgoing(sock, Address.parse(address), since * MICROSECOND)
        except OSError as error:
            log.logger().warning("not_adopted", what=type(message).__name__, why=str(error))
            self._loop.sockets.close(sock)

    def _hand_over(self) -> None:
        if self._channel is not None and not self._leaving:
            self._leaving = True
            self.handler.set_leaving(True)
            self.handler.release_store(self._on_released)

    def _on_released(self, free: bool) -> None:
        channel = self._channel
        if channel is None or not self._leaving:  # the peer has ended meanwhile
            return
        if not free:
            channel.close()
            self._on_peer_lost([])
            return
        self._handed_over = not self.handler.needs_confirmation
        self._send(self.handler.state())
        self._send_heartbeat()
        log.logger().info("handed_over")

    def _send_heartbeat(self) -> None:
        if self._channel is not None:
            if not self._channel.unsent:  # the next one tells the same
                self._send(self.handler.heartbeat())
            self._loop.call_after(HEARTBEAT_INTERVAL, self._send_heartbeat)

    def _on_peer_lost(self, unsent: list[tuple[Message, socket.socket]]) -> None:
        """Handle the end of the peer; ``unsent`` connections stay here."""
        self._channel = None
        self._answers_queries = False
        for number in list(self._pending):
            self._resolve(number, False)
        if self._state_timer is not None:  # it never sent its state
            self._state_timer.cancel()
            self._state_timer = None
            self._taking_over = False
            log.logger().warning("not_handed_over")
            self.handler.start_serving(None)
            return
        self.handler.handle_heartbeat(None)
        if self._leaving:
            self._leaving = self._handed_over = False
            log.logger().warning("taken_back")
            self._stop_listening()  # the successor had replaced it
            self.listen()
            self.handler.set_leaving(False)
            for message, sock in unsent:
                if isinstance(message, Outgoing):
                    sock.close()
                else:
                    self._adopt(message, sock)
        elif self._taking_over:
            self._taking_over = False
            log.logger().info("alone")
            self.handler.peer_ended()
