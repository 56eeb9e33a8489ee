"""The front end: the listener for clients' jobs and workers' callbacks, and its connections."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING, Final, Protocol, cast

from carthinge.front.callbacks import Callbacks, OtherProcess
from carthinge.front.connection import ClientConnection
from carthinge.front.job_ids import JobIds
from carthinge.front.job_ids import OtherProcess as JobIdsElsewhere
from carthinge.front.translator import Translator
from carthinge.net import log
from carthinge.net.channel import Incoming, Waiting
from carthinge.net.close_reason import CloseReason
from carthinge.net.connection_slots import ConnectionSlots, ConnectionTimes, InboundConnection
from carthinge.net.counters import Counters
from carthinge.net.deadlines import DrainSchedule, remaining_timeout
from carthinge.net.listener import Listener
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.memory_budget import MemoryBudget
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.worker_client import WorkerClient
from carthinge.settings import Site

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.front.durable_front import DurableFront

PAUSE_LOG_INTERVAL: Final = timedelta(seconds=10)  # between log lines of repeated pauses
MAX_WAITING_SHARE: Final = 0.75  # of all slots; worker callbacks, without which no job ends, need the rest
SHED_PER_PAUSE: Final = 16  # connections, while no new one can be accepted
FRESH_CHECK_INTERVAL: Final = timedelta(milliseconds=200)  # between checks for connections without a request


class Upgrading(OtherProcess, JobIdsElsewhere, Protocol):
    """The other process of this scheduler during an upgrade, as all parts of the front end see it."""


class Frontend:
    """The listening socket and the connections accepted on it."""

    def __init__(
        self,
        loop: Loop,
        site: Site,
        tracker: RequestTracker,
        worker_client: WorkerClient,
        counters: Counters,
        max_connections: int,
        memory: MemoryBudget,
        ready: Callable[[], bool],
        other_process: Upgrading,
    ) -> None:
        self.loop = loop
        self.tracker = tracker
        self.counters = counters
        self.translator = Translator(site)
        self.max_retry_after = site.max_retry_after
        self._first_bytes_timeout = site.connect_timeout  # the same for a client's first bytes
        self._ready = ready
        self.draining: DrainSchedule | None = None
        self.callbacks = Callbacks(tracker, worker_client, counters, other_process)
        self.job_ids = JobIds(tracker, other_process)
        self.durable: DurableFront | None = None
        self.slots = ConnectionSlots(max_connections)
        self.memory = memory
        self.waiting: set[InboundConnection] = set()  # connections whose clients wait for the answer to a job
        self._listener: Listener | None = None
        self._checking_fresh = False
        self._pause_logged_at = timedelta()

    def listen(self, sock: socket.socket) -> None:
        """Begin to accept connections."""
        self._listener = Listener(self.loop, sock, self)

    def retune(self, site: Site) -> None:
        """Apply the settings of a site to all requests read from now on."""
        self.translator = Translator(site)
        self.max_retry_after = site.max_retry_after
        self._first_bytes_timeout = site.connect_timeout

    def up(self) -> bool:
        """Whether new jobs are accepted."""
        return self._ready() and self.draining is None

    def refuses_jobs(self) -> bool:
        """Whether a new job has to be refused for want of a connection or of memory; counts the refusal."""
        no_room = len(self.waiting) >= self.slots.max_connections * MAX_WAITING_SHARE
        no_memory = (
            not self.memory.admits_jobs()
            or len(self.tracker.tracked_requests) >= self.memory.max_tracked_requests
        )
        self.counters.shed_for_room += no_room
        self.counters.shed_for_memory += no_memory and not no_room
        return no_room or no_memory

    def keeps_connections(self) -> bool:
        """Whether connections are kept open after an answer."""
        return self.draining is None or self.loop.now < self.draining.keep_alive_until

    def remaining_time(self, timeout: timedelta, arrived: timedelta) -> timedelta:
        """Return what is left of the timeout of a request, which runs from its arrival, even while unread."""
        return remaining_timeout(timeout, arrived, self.loop.now, self.draining)

    def pause_accepting(self) -> None:
        """Stop accepting; connections wait for another process that listens on the same socket."""
        if self._listener is not None:
            self._listener.pause()

    def resume_accepting(self) -> None:
        """Accept connections again after ``pause_accepting``."""
        if self._listener is not None:
            self._listener.resume()

    def adopt(self, sock: socket.socket, incoming: Incoming) -> None:
        """Take over a connection from another process, and handle what was read there."""
        self.counters.connections_taken_over += 1
        now = self.loop.now // MICROSECOND
        connected = now if incoming.connected_us is None else incoming.connected_us
        arrived = now if incoming.came_us is None else incoming.came_us
        connection = self._add_connection(sock, connected * MICROSECOND, arrived * MICROSECOND)
        if not incoming.fresh:
            self.slots.mark_used(connection)
        if incoming.read:
            connection.received(incoming.read)

    def adopt_waiting(
        self, sock: socket.socket, keep_alive: bool, job: str, in_place: bool, until: timedelta
    ) -> None:
        """Take over a connection whose client waits for a durable job."""
        connection = self.adopt_open(sock, keep_alive)
        if self.durable is not None:
            connection.resume_job_call(self.durable, job, in_place, until - self.loop.now)

    def adopt_open(self, sock: socket.socket, keep_alive: bool) -> ClientConnection:
        """Take over a connection whose client waits for an answer."""
        self.counters.connections_taken_over += 1
        connection = self._add_connection(sock)
        self.slots.mark_used(connection)
        connection.expect_answer(keep_alive)
        return connection

    def release_idle(self) -> Iterator[tuple[socket.socket, Incoming]]:
        """Release all idle connections, each with its state."""
        arrived = self.loop.ready_since // MICROSECOND
        for connection in self._connections():
            if connection.idle():
                times = self.slots.fresh.get(connection)
                connected = arrived if times is None else times.connected // MICROSECOND
                yield connection.release(), Incoming(times is not None, b"", connected, arrived)

    def release_deferred(self) -> Iterator[tuple[socket.socket, Incoming]]:
        """Release the connections whose request is left to the other process, with that request."""
        for connection in self._connections():
            # A partially read request would be lost.
            if connection.deferred and not connection.has_partial_request():
                arrived = connection.deferred_arrival() // MICROSECOND
                read = connection.deferred_requests()
                yield connection.release(), Incoming(False, read, arrived, arrived)

    def release_waiting(self) -> Iterator[tuple[socket.socket, Waiting]]:
        """Release the connections whose clients wait for a durable job that the other process has."""
        for connection in self._connections():
            waiting = connection.waiting_job()
            if waiting is not None:
                yield connection.release(), waiting

    def _connections(self) -> list[ClientConnection]:
        return cast("list[ClientConnection]", self.slots.all())

    def handle_deferred(self) -> None:
        """Handle all deferred requests here, as the other process has ended."""
        for connection in self._connections():
            connection.handle_deferred()

    def close_idle(self) -> None:
        """Close all idle connections, except new ones whose first request may be on its way.

        A request that arrives during the close is not read; its client sends it again to another scheduler.
        No answer is lost, since a client has its answer before it sends the next request.
        """
        for connection in self._connections():
            times = self.slots.fresh.get(connection)
            if times is not None and self.loop.now < times.accepted + self._first_bytes_timeout:
                continue
            if connection.idle() and connection.silent():
                connection.close(CloseReason.IDLE_IN_DRAIN)

    def has_backlog(self) -> bool:
        """Whether a connection waits in the backlog, whose requests count as received already."""
        return self._listener is not None and self._listener.has_pending_connections()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in self.slots.all():
            connection.close(CloseReason.PROGRAM_EXITING)

    # ---- the listener ---------------------------------------------------------------------

    def free_slots(self) -> int:
        """Return how many connections fit without making room."""
        return self.slots.max_connections - len(self.slots)

    def make_room(self) -> str | None:
        """Close a connection if all slots are taken; returns the reason if none can be closed."""
        if len(self.slots) < self.slots.max_connections:
            return None
        connection = self.slots.choose_eviction(self.loop.now, self._first_bytes_timeout)
        if connection is None:
            self.memory.shed_largest(SHED_PER_PAUSE)  # their slots are free after the pause
            return "every connection has a request in progress or unread"
        self.counters.connections_in_closed_early += 1
        connection.close(CloseReason.SLOT_NEEDED)
        return None

    def connection_accepted(self, sock: socket.socket, since: timedelta) -> None:
        """Add an accepted connection."""
        self.counters.connections_in += 1
        self._add_connection(sock, since)

    def _add_connection(
        self, sock: socket.socket, connected: timedelta | None = None, arrived: timedelta | None = None
    ) -> ClientConnection:
        """``connected``: earliest time of the connect.  ``arrived``: earliest arrival of unread data."""
        connected = self.loop.now if connected is None else connected
        connection = ClientConnection(self, sock, connected, connected if arrived is None else arrived)
        self.slots.add(connection, ConnectionTimes(connected, self.loop.now))
        if not self._checking_fresh:
            self._checking_fresh = True
            self.loop.call_after(FRESH_CHECK_INTERVAL, self._check_fresh)
        return connection

    def accept_paused(self, why: str) -> None:
        """Log that accepting is paused."""
        self.counters.accept_pauses += 1
        if self.loop.now >= self._pause_logged_at + PAUSE_LOG_INTERVAL:
            self._pause_logged_at = self.loop.now
            log.logger().warning(
                "accept_paused",
                why=why,
                connections=len(self.slots),
                fresh=len(self.slots.fresh),
                ending=len(self.slots.ending),
                half_read=sum(connection.has_partial_request() for connection in self.slots.all()),
                waiting=len(self.waiting),
                held=self.memory.held,
            )

    def _check_fresh(self) -> None:
        """Close connections on which no request has begun in time."""
        for connection in self.slots.overdue(self.loop.now):
            self.counters.connections_in_silent += 1
            connection.close(CloseReason.NO_REQUEST)
        self._checking_fresh = bool(self.slots.fresh)
        if self._checking_fresh:
            self.loop.call_after(FRESH_CHECK_INTERVAL, self._check_fresh)
