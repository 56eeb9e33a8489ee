"""HTTP client for workers: sends and withdraws attempts over a pool of reused connections."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Final

from carthinge.interface import Result
from carthinge.net import log
from carthinge.net.close_reason import CloseReason
from carthinge.net.counters import Counters
from carthinge.net.deadlines import deadline_header
from carthinge.net.http import Address, Answer, encode_request
from carthinge.net.load import read_load
from carthinge.net.loop import MILLISECOND, Loop
from carthinge.net.outgoing_connection import OutgoingConnection
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt
from carthinge.net.worker_calls import AttemptCall, Withdrawal
from carthinge.settings import Site

IDLE_MARGIN: Final = timedelta(milliseconds=300)  # between our close of an idle connection and its worker's
DELETE_RETRY_DELAY: Final = timedelta(milliseconds=20)  # after a DELETE that was reset or could not be sent
MAX_DELETE_RETRY_DELAY: Final = timedelta(milliseconds=320)  # after several of them in a row
DELETE_TRANSIT_SHARE: Final = 0.4  # of the connect timeout, a round trip: a DELETE goes one way
MIN_DELETE_TRANSIT: Final = timedelta(milliseconds=100)  # on a fast network the worker may be slow to read
WORKER_LEAVING: Final = "the worker is leaving"
CLIENT_LEFT: Final = "the client has left"
REQUIRED_FIELDS: Final = ("free_slots",)  # in a load report
LATE_ANSWER_FACTOR: Final = 8  # connect timeouts, for an answer on which nothing depends any more


class WorkerClient:
    """The pool of connections to workers, and the calls in progress on them."""

    def __init__(
        self, loop: Loop, site: Site, tracker: RequestTracker, counters: Counters, max_connections: int
    ) -> None:
        self._loop = loop
        self._site = site
        self._tracker = tracker
        self._counters = counters
        self.max_connections = max_connections
        self.lease_duration = timedelta()  # duration of a lease, where attempts have one
        self._open: set[OutgoingConnection] = set()
        self._idle: OrderedDict[OutgoingConnection, timedelta] = OrderedDict()  # idle since, oldest first
        self._calls: dict[Attempt, AttemptCall] = {}
        self._expiry_scheduled = False

    def retune(self, site: Site) -> None:
        """Use other settings for calls from now on."""
        self._site = site

    def load_report(self, values: dict[str, float]) -> tuple[float, ...]:
        """Return a load report in the dispatcher's order; empty if a required value is missing."""
        site = self._site
        # A missing value that the dispatcher does not read must not invalidate the others.
        if not values or any(
            decision_field in REQUIRED_FIELDS and name not in values
            for name, decision_field in zip(
                site.report_fields, site.dispatcher_settings.report_fields, strict=True
            )
        ):
            return ()
        return tuple(values.get(name, 0.0) for name in site.report_fields)

    # ---- attempts -------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        connection = self._acquire(attempt.target.address)
        call = self._calls[attempt] = AttemptCall(self, connection, attempt)
        connection.start(call)

    def encode_attempt(self, attempt: Attempt) -> bytes | None:
        """Encode an attempt whose connection is up; None if it must not be sent any more.

        It is not encoded earlier: a connection may come up late, and the time left that the worker is sent
        has to be true when the request is written.
        """
        reason = self._tracker.why_not_sent(attempt)
        if reason is not None:
            self._calls.pop(attempt, None)
            self.ended(attempt, Result.NOT_SENT, None, reason)
            return None
        job = attempt.tracked.job
        headers = [
            ("Req-Id", job.id.encode()),
            deadline_header(attempt.due, self._loop.clock.now()),
            *job.headers,
        ]
        if attempt.token:
            headers += [
                ("Lease-Token", b"%d" % attempt.token),
                ("Lease-Duration", b"%dm" % (self.lease_duration // MILLISECOND)),
            ]
        return encode_request("POST", job.subject, str(attempt.target.address), headers, job.body)

    def cancel_unsent(self) -> None:
        """Cancel the attempts at leaving workers whose connection is not up yet.

        A connection may take longer to come up than the grace of a drain: an attempt that begins after that
        would be new work for a worker that accepts none.
        """
        for attempt, call in list(self._calls.items()):
            if attempt.target.draining_or_gone and call.connection.connecting:
                self._cancel_unsent(attempt, call, WORKER_LEAVING)

    def client_left(self, attempt: Attempt) -> None:
        """Cancel an attempt whose connection is not up yet, even if the settings allow no withdrawals: its
        worker does not know of it."""
        call = self._calls.get(attempt)
        if call is not None and call.connection.connecting:
            self._cancel_unsent(attempt, call, CLIENT_LEFT)

    def _cancel_unsent(self, attempt: Attempt, call: AttemptCall, why: str) -> None:
        del self._calls[attempt]
        self._close(call.connection, CloseReason.ATTEMPT_WITHDRAWN)
        self.ended(attempt, Result.NOT_SENT, None, why)

    def withdraw(self, attempt: Attempt, on_withdrawn: Callable[[], None]) -> None:
        """Withdraw an attempt; calls ``on_withdrawn`` once its worker knows or is certain to learn of it."""
        call = self._calls.pop(attempt, None)
        if call is not None:  # closing is enough before the 202, but the 202 may be on its way
            self._close(call.connection, CloseReason.ATTEMPT_WITHDRAWN)
            if not attempt.written:
                self.log_withdrawn(attempt, "never sent")
                on_withdrawn()
                return
        self._counters.withdrawn += 1
        self._delete(attempt, on_withdrawn, DELETE_RETRY_DELAY)

    def _delete(self, attempt: Attempt, on_withdrawn: Callable[[], None], delay: timedelta) -> None:
        connection = self._acquire(attempt.target.address)
        connect = self._site.connect_timeout
        transit_time = max(MIN_DELETE_TRANSIT, DELETE_TRANSIT_SHARE * connect)
        withdrawal = Withdrawal(self._loop, self, connection, attempt, on_withdrawn, delay, transit_time)
        withdrawal.timer = self._loop.call_after(LATE_ANSWER_FACTOR * connect, withdrawal.time_out)
        connection.start(withdrawal)

    def retry_delete(
        self, attempt: Attempt, on_withdrawn: Callable[[], None], delay: timedelta, why: str
    ) -> None:
        """Retry a DELETE that was reset or could not be sent, after ``delay``: a worker that is unreachable,
        or draining and accepts no connections, still runs the attempt, and the next attempt would be a
        second copy.  The death of a worker is reported by its agent.
        """
        log.logger().debug("not_withdrawn", id=attempt.tracked.job.id, worker=attempt.target.id, why=why)
        give_up = attempt.tracked.give_up
        if not attempt.open:
            on_withdrawn()
        elif self._loop.clock.now() + delay < give_up:
            self._counters.withdrawn_again += 1
            next_delay = min(2 * delay, MAX_DELETE_RETRY_DELAY)
            self._loop.call_after(delay, lambda: self._delete(attempt, on_withdrawn, next_delay))
        else:  # not earlier: another attempt could follow in the time left
            self._loop.call_at(give_up, on_withdrawn)

    def log_withdrawn(self, attempt: Attempt, how: str) -> None:
        """Log that a worker knows of a withdrawal, or will before it receives anything sent later."""
        log.logger().debug("withdrawn", id=attempt.tracked.job.id, worker=attempt.target.id, how=how)

    def ended(self, attempt: Attempt, result: Result, answer: Answer | None, why: str) -> None:
        """Report the end of an attempt to the tracker."""
        self._tracker.end(attempt, result, self._report_of(answer), why=why)

    def reject(self, attempt: Attempt, why: str) -> None:
        """Report to the tracker that a worker rejected the request as unusable."""
        self._tracker.reject(attempt, why)

    def attempt_written(self, attempt: Attempt) -> None:
        """Report to the tracker that the last byte of an attempt is written."""
        self._tracker.attempt_written(attempt)

    def lease_accepted(self, attempt: Attempt) -> None:
        """Renew the lease of an attempt: its worker supports leases and holds one from now on."""
        journal = attempt.tracked.journal
        if journal is not None and attempt.open:
            journal.renew(attempt, False)

    def post_in_progress(self, attempt: Attempt) -> bool:
        """Whether the POST of an attempt is in progress, up to its 202."""
        return attempt in self._calls

    def call_ended(self, attempt: Attempt) -> None:
        """Forget the call of an attempt, which has ended; the attempt may go on."""
        self._calls.pop(attempt, None)

    def limit_answer_wait(self, attempt: Attempt) -> None:
        """Limit the wait for the 202 of an attempt that was ended by a callback."""
        call = self._calls.get(attempt)
        if call is not None:
            self._loop.call_after(LATE_ANSWER_FACTOR * self._site.connect_timeout, call.time_out)

    def _report_of(self, answer: Answer | None) -> tuple[float, ...]:
        raw = answer.headers.get(b"srv-load") if answer is not None else None
        if raw is None:
            return ()
        return self.load_report(read_load(raw))

    # ---- connections ----------------------------------------------------------------------

    def acquire(self, address: Address) -> OutgoingConnection:
        """Acquire a connection for a call that is not an attempt; ``free`` returns it to the pool."""
        return self._acquire(address)

    def _acquire(self, address: Address) -> OutgoingConnection:
        """Acquire an idle connection, the most recently used first, or open a new one."""
        for connection in reversed(self._idle):
            if connection.address == address:
                del self._idle[connection]
                if connection.usable():
                    return connection
                # Closed by its worker: a call on it would end in a reset, which leaves open whether it ran.
                self._close(connection, CloseReason.WORKER_CLOSED)
                return self._acquire(address)
        connection = OutgoingConnection(self._loop, address, self._site.connect_timeout)
        connection.may_open = lambda: self._reserve(connection)
        connection.open()
        return connection

    def _reserve(self, connection: OutgoingConnection) -> bool:
        """Reserve room in the pool for a connection, closing an idle one if needed; False if it is full."""
        if connection in self._open:  # admitted before, but the connect met a local resource shortage
            return True
        if len(self._open) >= self.max_connections:
            if not self._idle:
                return False
            self._close(next(iter(self._idle)), CloseReason.POOL_FULL)
        self._open.add(connection)
        self._counters.connections_out += 1
        return True

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a worker that may be restarted by hand: calls on them would fail."""
        for connection in [connection for connection in self._idle if connection.address == address]:
            self._close(connection, CloseReason.WORKER_EXCLUDED)

    def adopt(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """Add an idle connection of the predecessor process to the pool."""
        connection = OutgoingConnection(self._loop, address, self._site.connect_timeout)
        connection.adopt(sock)
        self._open.add(connection)
        self._add_idle(connection, idle_since)

    def release_idle(self) -> Iterator[tuple[socket.socket, Address, timedelta]]:
        """Remove the idle connections from the pool: yield the usable ones, close the others."""
        idle, self._idle = self._idle, OrderedDict()
        for connection, since in idle.items():
            self._open.discard(connection)
            if connection.usable():
                yield connection.release(), connection.address, since
            else:
                connection.close()

    def free(self, connection: OutgoingConnection) -> None:
        """Return a connection to the pool after a call, or drop it if it is closed."""
        if connection.closed:
            self._close(connection, CloseReason.UNUSABLE)
        else:
            self._add_idle(connection, self._loop.now)

    def free_later(self, connection: OutgoingConnection) -> None:
        """Return a connection whose call was dropped to the pool, in the next turn of the loop."""
        self._loop.call_soon(lambda: self.free(connection))

    def _add_idle(self, connection: OutgoingConnection, since: timedelta) -> None:
        self._idle[connection] = since
        if not self._expiry_scheduled:
            self._expiry_scheduled = True
            self._loop.call_after(self._idle_timeout(), self._close_expired)

    def _close(self, connection: OutgoingConnection, reason: CloseReason) -> None:
        log.logger().debug("worker_connection_closed", address=str(connection.address), why=reason.value)
        connection.close()
        self._idle.pop(connection, None)
        self._open.discard(connection)

    def _idle_timeout(self) -> timedelta:
        return max(self._site.idle_close - IDLE_MARGIN, self._site.idle_close / 2)

    def _close_expired(self) -> None:
        """Close connections that their worker would close soon; reschedule for the next one."""
        now = self._loop.clock.now()
        while self._idle:
            connection, since = next(iter(self._idle.items()))
            if not connection.closed and now < since + self._idle_timeout():
                self._loop.call_at(since + self._idle_timeout(), self._close_expired)
                return
            self._close(connection, CloseReason.IDLE_TOO_LONG)
        self._expiry_scheduled = False
