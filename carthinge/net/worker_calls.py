"""The calls that a worker client makes: the POST of an attempt, and the DELETE that withdraws it."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Final, Protocol

from carthinge.interface import Result
from carthinge.net.http import Answer, encode_request
from carthinge.net.loop import Loop, Timer
from carthinge.net.outgoing_connection import OutgoingConnection
from carthinge.net.tracked_request import Attempt

REJECTED_STATUSES: Final = (HTTPStatus.BAD_REQUEST, HTTPStatus.NOT_FOUND)  # due to the request


class CallOwner(Protocol):
    """The worker client, as its calls see it."""

    def encode_attempt(self, attempt: Attempt) -> bytes | None:
        """Encode an attempt whose connection is up; None if it must not be sent any more."""

    def attempt_written(self, attempt: Attempt) -> None:
        """Note that the last byte of an attempt has been written."""

    def call_ended(self, attempt: Attempt) -> None:
        """Forget the call of an attempt, which has ended; the attempt may go on."""

    def lease_accepted(self, attempt: Attempt) -> None:
        """Note that the worker holds the lease of an attempt."""

    def reject(self, attempt: Attempt, why: str) -> None:
        """Report that a worker rejected the request as unusable."""

    def ended(self, attempt: Attempt, result: Result, answer: Answer | None, why: str) -> None:
        """Report the end of an attempt."""

    def retry_delete(
        self, attempt: Attempt, on_withdrawn: Callable[[], None], delay: timedelta, why: str
    ) -> None:
        """Withdraw an attempt again, after ``delay``."""

    def log_withdrawn(self, attempt: Attempt, how: str) -> None:
        """Log that a worker knows of a withdrawal."""

    def free(self, connection: OutgoingConnection) -> None:
        """Return a connection to the pool after a call."""

    def free_later(self, connection: OutgoingConnection) -> None:
        """Return a connection to the pool in the next turn of the loop."""


class AttemptCall:
    """The POST of an attempt, whose end follows from the connection until the 202, then from callbacks."""

    reads_body = False

    def __init__(self, worker_client: CallOwner, connection: OutgoingConnection, attempt: Attempt) -> None:
        self._worker_client = worker_client
        self.connection = connection
        self._attempt = attempt

    def request(self) -> bytes | None:
        """Encode the attempt, unless it must not be sent any more."""
        data = self._worker_client.encode_attempt(self._attempt)
        if data is None:
            self._worker_client.free_later(self.connection)
        return data

    def written(self) -> None:
        """Note that the last byte of the attempt has been written."""
        self._worker_client.attempt_written(self._attempt)

    def answered(self, answer: Answer) -> None:
        """Go on waiting for callbacks after a 202; end the attempt otherwise."""
        self._worker_client.call_ended(self._attempt)
        self._worker_client.free(self.connection)
        if answer.status == HTTPStatus.ACCEPTED:
            token = self._attempt.token
            if token and answer.headers.get(b"lease-token") == b"%d" % token:
                self._worker_client.lease_accepted(self._attempt)
            return
        if answer.status in REJECTED_STATUSES:
            self._worker_client.reject(self._attempt, f"status {answer.status}")
            return
        declined = answer.headers.get(b"srv-declined") == b"1"
        unstarted = declined and answer.status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
        result = Result.FULL if unstarted else Result.ERROR
        self._worker_client.ended(self._attempt, result, answer, f"status {answer.status}")

    def broken(self, written: bool, why: str) -> None:
        """End the attempt, which cannot have run if its last byte was not written and may have run otherwise.

        A local resource shortage counts as NOT_SENT, since the worker was never contacted.
        """
        self._worker_client.call_ended(self._attempt)
        self._worker_client.free(self.connection)
        unsent_result = Result.NOT_SENT if self.connection.local_shortage else Result.CONNECT_FAILED
        self._worker_client.ended(self._attempt, Result.RESET if written else unsent_result, None, why)

    def time_out(self) -> None:
        """Stop waiting for the 202 of an attempt that has ended by a callback."""
        if self.connection.call is self:
            self.connection.close()
            self._worker_client.call_ended(self._attempt)
            self._worker_client.free(self.connection)


class Withdrawal:
    """The DELETE of an attempt; the answer does not matter, only that the DELETE has reached the worker."""

    reads_body = False

    def __init__(
        self,
        loop: Loop,
        worker_client: CallOwner,
        connection: OutgoingConnection,
        attempt: Attempt,
        on_withdrawn: Callable[[], None],
        delay: timedelta,
        transit_time: timedelta,
    ) -> None:
        self._loop = loop
        self._worker_client = worker_client
        self._connection = connection
        self._attempt = attempt
        self._on_withdrawn = on_withdrawn
        self._delay = delay
        self._transit_time = transit_time
        self._done = False
        self.timer: Timer | None = None  # calls ``time_out``

    def request(self) -> bytes:
        """Encode the DELETE."""
        path = f"/jobs/{self._attempt.tracked.job.id}".encode()
        return encode_request("DELETE", path, str(self._attempt.target.address))

    def written(self) -> None:
        """Give the DELETE, on its own connection, time to arrive: no attempt elsewhere may overtake it."""
        self._loop.call_after(self._transit_time, lambda: self._confirm("written"))

    def answered(self, answer: Answer) -> None:
        """The worker knows of the withdrawal."""
        self._cancel_timer()
        self._confirm(f"answered {answer.status}")
        self._worker_client.free(self._connection)

    def broken(self, written: bool, why: str) -> None:
        """Withdraw again if the worker may not know of it."""
        self._cancel_timer()
        if not self._done and (self._connection.reset or not written):
            self._done = True
            self._worker_client.retry_delete(self._attempt, self._on_withdrawn, self._delay, why)
        else:
            self._confirm(why)
        self._worker_client.free(self._connection)

    def time_out(self) -> None:
        """Close the connection of a worker that does not answer, which would be held forever otherwise."""
        if self._connection.call is self:
            self._connection.close()
            self.broken(self._done, "no answer in time")

    def _cancel_timer(self) -> None:
        """A pending timer would keep the attempt in memory."""
        if self.timer is not None:
            self.timer.cancel()

    def _confirm(self, how: str) -> None:
        if not self._done:
            self._done = True
            self._worker_client.log_withdrawn(self._attempt, how)
            self._on_withdrawn()
