"""The operators' endpoint: readiness, metrics, and excluding workers."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, Final, Protocol
from urllib.parse import parse_qs

import msgspec

from carthinge.net import log
from carthinge.net.counters import Counters
from carthinge.net.http import Address, BadRequestError, Request, RequestReader, encode_answer
from carthinge.net.listener import Listener, bind
from carthinge.net.loop import Loop, Timer
from carthinge.net.stream import Stream

MAX_CONNECTIONS: Final = 16  # a separate limit, so that clients cannot lock operators out
BACKLOG: Final = 64
REQUEST_TIMEOUT: Final = timedelta(seconds=5)  # from the connect to the last byte of the request
METHOD_BY_PATH: Final = {
    b"/ready": b"GET",
    b"/metrics": b"GET",
    b"/workers/disable": b"POST",
    b"/workers/enable": b"POST",
}


class Operations(Protocol):
    """What the program offers to operators."""

    def serving(self) -> bool:
        """Whether the scheduler accepts jobs."""

    def metrics(self) -> dict[str, Any]:
        """Return the values for ``/metrics``."""

    def set_excluded(self, worker: str, excluded: bool, done: Callable[[bool], None]) -> None:
        """Exclude or re-admit a worker; ``done`` is called with whether the id is known."""


class Operator:
    """The operators' listener and its connections."""

    def __init__(self, loop: Loop, address: Address, operations: Operations, counters: Counters) -> None:
        self.loop = loop
        self.operations = operations
        self.counters = counters
        self.connections: OrderedDict[_Connection, None] = OrderedDict()  # oldest first
        self._listener = Listener(loop, bind(address, BACKLOG), self)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.close()

    # ---- the listener ---------------------------------------------------------------------

    def free_slots(self) -> int:
        """Return how many connections fit without making room."""
        return MAX_CONNECTIONS - len(self.connections)

    def make_room(self) -> str | None:
        """Close the oldest connection if all are in use.

        Every open connection either has sent no complete request or has its answer already.
        """
        if not self.free_slots():
            next(iter(self.connections)).close()
        return None

    def connection_accepted(self, sock: socket.socket, since: timedelta) -> None:
        """Add an accepted connection."""
        self.connections[_Connection(self, sock)] = None

    def accept_paused(self, why: str) -> None:
        """Log that accepting is paused."""
        log.logger().warning("operator_paused", why=why)


class _Connection:
    """A connection, which carries one request."""

    def __init__(self, operator: Operator, sock: socket.socket) -> None:
        self._operator = operator
        self._reader = RequestReader()
        self._received_request = False
        self._stream = Stream(operator.loop, sock, self)
        # Closes connections on which no request, or only a part of one, arrives.
        self._timeout: Timer = operator.loop.call_after(REQUEST_TIMEOUT, self.close)

    def close(self) -> None:
        self._operator.counters.operator_silent += not self._received_request
        self._stream.close()
        self.ended("closed by the scheduler")

    def received(self, data: bytes) -> None:
        if self._received_request:  # one request per connection
            return
        try:
            requests = self._reader.feed(data)
            if requests:
                self._received_request = True
                self._timeout.cancel()
                self._operator.counters.operator_calls += 1
                self._handle(requests[0])
        except BadRequestError as error:
            self._received_request = True
            self._answer(error.status, f"{error}\n".encode())

    def flushed(self) -> None:
        """Required by the stream; nothing to do."""

    def ended(self, why: str) -> None:
        self._timeout.cancel()
        self._operator.connections.pop(self, None)

    def _handle(self, request: Request) -> None:
        path, _, query = request.target.partition(b"?")
        method = METHOD_BY_PATH.get(path)
        if method is None:
            raise BadRequestError(HTTPStatus.NOT_FOUND, "nothing here")
        if request.method != method:
            raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, f"only {method.decode()} here")
        operations = self._operator.operations
        if path == b"/ready":
            self._answer(HTTPStatus.OK if operations.serving() else HTTPStatus.SERVICE_UNAVAILABLE)
        elif path == b"/metrics":
            self._answer(HTTPStatus.OK, msgspec.json.encode(operations.metrics()), json=True)
        else:
            operations.set_excluded(_worker_id(query), path == b"/workers/disable", self._on_excluded)

    def _on_excluded(self, known: bool) -> None:
        self._answer(HTTPStatus.OK if known else HTTPStatus.NOT_FOUND, b"" if known else b"no such worker\n")

    def _answer(self, status: int, body: bytes = b"", json: bool = False) -> None:
        headers = [("Content-Type", "application/json")] if json else []
        self._stream.write(encode_answer(status, body, headers, keep_alive=False))
        self._stream.finish()


def _worker_id(query: bytes) -> str:
    values = parse_qs(query.decode("latin-1"), keep_blank_values=True).get("who", [])
    if len(values) != 1 or not values[0]:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "who: one worker's id is wanted")
    return values[0]
