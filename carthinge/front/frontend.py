"""Frontend: the address for clients' jobs and workers' call-backs, and the connections that came in on it."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING, Final, cast

from carthinge.front.call_backs import CallBacks, Elsewhere
from carthinge.front.connection import ClientConnection
from carthinge.front.translator import Translator
from carthinge.net import log
from carthinge.net.channel import Incoming, Waiting
from carthinge.net.close_reason import CloseReason
from carthinge.net.connection_slots import ConnectionSlots, Holder, Opened
from carthinge.net.counters import Counters
from carthinge.net.deadlines import Drain, patience_left
from carthinge.net.listener import Listener
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.worker_client import WorkerClient
from carthinge.settings import Site

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.front.durable_front import DurableFront

PAUSE_TOLD: Final = timedelta(seconds=10)  # pauses that follow on one another are logged once in a while
FRESH_CHECKED: Final = timedelta(milliseconds=200)  # how often it is looked at who has sent nothing


class Frontend:
    """The listening socket and the connections that came in on it."""

    def __init__(
        self,
        loop: Loop,
        site: Site,
        tracker: RequestTracker,
        worker_client: WorkerClient,
        counters: Counters,
        most: int,
        ready: Callable[[], bool],
        elsewhere: Elsewhere,
    ) -> None:
        self.loop = loop
        self.tracker = tracker
        self.counters = counters
        self.translator = Translator(site)
        self.max_retry_after = site.max_retry_after
        self._greeting = site.connect_timeout  # whoever connects writes its first bytes within that, too
        self._ready = ready
        self.draining: Drain | None = None
        self.call_backs = CallBacks(tracker, worker_client, counters, elsewhere)
        self.durable: DurableFront | None = None
        self.slots = ConnectionSlots(most)
        self.waiting: set[Holder] = set()  # their clients wait for the answer to a job
        self._listener: Listener | None = None
        self._checking = False
        self._pause_told = timedelta()

    def listen(self, sock: socket.socket) -> None:
        """Begin to accept connections."""
        self._listener = Listener(self.loop, sock, self)

    def retune(self, site: Site) -> None:
        """Requests that are read from now on are meant by this site's names."""
        self.translator = Translator(site)
        self.max_retry_after = site.max_retry_after
        self._greeting = site.connect_timeout

    def up(self) -> bool:
        """Whether new jobs are welcome."""
        return self._ready() and self.draining is None

    def keeps_connections(self) -> bool:
        """Whether connections may go on after an answer."""
        return self.draining is None or self.loop.now < self.draining.kept_until

    def patience(self, asked: timedelta, came: timedelta) -> timedelta:
        """What is left of it, for a request that ``came`` then: its client's time ran while it was unread."""
        return patience_left(asked, came, self.loop.now, self.draining)

    def rest(self) -> None:
        """Takes no new connection in; they wait for another process that listens on the same socket."""
        if self._listener is not None:
            self._listener.pause()

    def resume(self) -> None:
        """Accept connections again after ``rest``."""
        if self._listener is not None:
            self._listener.resume()

    def adopt(self, sock: socket.socket, incoming: Incoming) -> None:
        """A connection that another process took in; what was read there is handled here."""
        self.counters.connections_taken_over += 1
        now = self.loop.now // MICROSECOND
        connected = now if incoming.connected_us is None else incoming.connected_us
        came = now if incoming.came_us is None else incoming.came_us
        connection = self._hold(sock, connected * MICROSECOND, came * MICROSECOND)
        if not incoming.fresh:
            self.slots.used(connection)
        if incoming.read:
            connection.received(incoming.read)

    def adopt_waiting(
        self, sock: socket.socket, keep_alive: bool, job: str, in_place: bool, until: timedelta
    ) -> None:
        """The same for a connection whose client waits for a durable job."""
        connection = self.adopt_open(sock, keep_alive)
        if self.durable is not None:
            connection.resume_call(self.durable, job, in_place, until - self.loop.now)

    def adopt_open(self, sock: socket.socket, keep_alive: bool) -> ClientConnection:
        """The same for a connection whose client waits for an answer."""
        self.counters.connections_taken_over += 1
        connection = self._hold(sock)
        self.slots.used(connection)
        connection.wait_for_answer(keep_alive)
        return connection

    def release_idle(self) -> Iterator[tuple[socket.socket, Incoming]]:
        """Lets go of the connections on which nothing is under way; what is known of each comes along."""
        came = self.loop.since // MICROSECOND
        for connection in self._connections():
            if connection.idle():
                opened = self.slots.fresh.get(connection)
                connected = came if opened is None else opened.connected // MICROSECOND
                yield connection.release(), Incoming(opened is not None, b"", connected, came)

    def release_put_off(self) -> Iterator[tuple[socket.socket, Incoming]]:
        """Lets go of the connections whose request is for the other process, with that request."""
        for connection in self._connections():
            if connection.put_off and not connection.began():  # the half of another would be lost
                came = connection.put_off_since() // MICROSECOND
                read = connection.unhandled()
                yield connection.release(), Incoming(False, read, came, came)

    def release_waiting(self) -> Iterator[tuple[socket.socket, Waiting]]:
        """Lets go of the connections whose clients wait for a durable job that is the other process's."""
        for connection in self._connections():
            waiting = connection.waiting_for()
            if waiting is not None:
                yield connection.release(), waiting

    def _connections(self) -> list[ClientConnection]:
        return cast("list[ClientConnection]", self.slots.all())

    def go_on(self) -> None:
        """There is no other process any more: requests that were put off are handled here."""
        for connection in self._connections():
            connection.go_on()

    def end_idle(self) -> None:
        """Ends the connections on which nothing is under way; one that has just come in may say something.

        They are closed at once: a request that crosses the end is not read, and its client sends it again
        elsewhere.  No answer can be lost with it, as a client has its answer before it asks again.
        """
        for connection in self._connections():
            opened = self.slots.fresh.get(connection)
            if opened is not None and self.loop.now < opened.entered + self._greeting:
                continue
            if connection.idle() and connection.silent():
                connection.close(CloseReason.IDLE_IN_DRAIN)

    def somebody_waits(self) -> bool:
        """A connection has come in and was not accepted yet: what is on it is taken already."""
        return self._listener is not None and self._listener.somebody_waits()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in self.slots.all():
            connection.close(CloseReason.PROGRAM_ENDS)

    # ---- the listener ---------------------------------------------------------------------

    def free(self) -> int:
        """Return how many connections fit without making room."""
        return self.slots.most - len(self.slots)

    def room(self) -> str | None:
        """Makes room, where all slots are taken, by closing a connection."""
        if len(self.slots) < self.slots.most:
            return None
        holder = self.slots.make_room(self.loop.now, self._greeting)
        if holder is None:
            return "every connection has a request under way or unread"
        self.counters.connections_in_closed_early += 1
        holder.close(CloseReason.SLOT_NEEDED)
        return None

    def enter(self, sock: socket.socket, since: timedelta) -> None:
        """Take in a connection that was accepted."""
        self.counters.connections_in += 1
        self._hold(sock, since)

    def _hold(
        self, sock: socket.socket, connected: timedelta | None = None, came: timedelta | None = None
    ) -> ClientConnection:
        """``connected`` no earlier than then; what may wait on it unread ``came`` no earlier than then."""
        connected = self.loop.now if connected is None else connected
        connection = ClientConnection(self, sock, connected, connected if came is None else came)
        self.slots.enter(connection, Opened(connected, self.loop.now))
        if not self._checking:
            self._checking = True
            self.loop.call_after(FRESH_CHECKED, self._check_fresh)
        return connection

    def resting(self, why: str) -> None:
        """Log that no connection can be accepted for a moment."""
        self.counters.accept_pauses += 1
        if self.loop.now >= self._pause_told + PAUSE_TOLD:
            self._pause_told = self.loop.now
            log.logger().warning("accept_paused", why=why, connections=len(self.slots))

    def _check_fresh(self) -> None:
        """Guards against clients that connect and say nothing."""
        for holder in self.slots.overdue(self.loop.now):
            self.counters.connections_in_silent += 1
            holder.close(CloseReason.NO_REQUEST)
        self._checking = bool(self.slots.fresh)
        if self._checking:
            self.loop.call_after(FRESH_CHECKED, self._check_fresh)
