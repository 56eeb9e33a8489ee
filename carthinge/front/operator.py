"""The operators' address: whether the program serves, its figures, and workers taken out by hand."""

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
from carthinge.net.http import Address, BadRequestError, Request, RequestReader, answer_bytes
from carthinge.net.listener import Listener, bind
from carthinge.net.loop import Loop, Timer
from carthinge.net.stream import Stream

MAX_CONNECTIONS: Final = (
    16  # at the operators' address, apart from all others, so that no client can keep an operator out
)
BACKLOG: Final = 64
WHOLE_CALL: Final = timedelta(seconds=5)  # from connecting to the last byte of the call
CALLS: Final = {
    b"/ready": b"GET",
    b"/metrics": b"GET",
    b"/workers/disable": b"POST",
    b"/workers/enable": b"POST",
}


class Operations(Protocol):
    """What operators may ask for and have done."""

    def serving(self) -> bool:
        """Whether the scheduler takes work."""

    def figures(self) -> dict[str, Any]:
        """Return the figures for ``/metrics``."""

    def by_hand(self, worker: str, out: bool, done: Callable[[bool], None]) -> None:
        """Takes a worker out or puts it back; ``done`` hears False where nobody has that id."""


class Operator:
    """The listener for operators and the few connections on it."""

    def __init__(self, loop: Loop, address: Address, operations: Operations, counters: Counters) -> None:
        self.loop = loop
        self.operations = operations
        self.counters = counters
        self.calls: OrderedDict[_Call, None] = OrderedDict()  # the longest open first
        self._listener = Listener(loop, bind(address, BACKLOG), self)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        for call in list(self.calls):
            call.close()

    # ---- the listener ---------------------------------------------------------------------

    def free(self) -> int:
        """Return how many connections fit without making room."""
        return MAX_CONNECTIONS - len(self.calls)

    def room(self) -> str | None:
        """Whoever is open still has sent no whole call, or has its answer: the first makes room."""
        if not self.free():
            next(iter(self.calls)).close()
        return None

    def enter(self, sock: socket.socket, since: timedelta) -> None:
        """Take in a connection that was accepted."""
        self.calls[_Call(self, sock)] = None

    def resting(self, why: str) -> None:
        """Log that no connection can be accepted for a moment."""
        log.logger().warning("operator_paused", why=why)


class _Call:
    """One connection with one call."""

    def __init__(self, operator: Operator, sock: socket.socket) -> None:
        self._operator = operator
        self._reader = RequestReader()
        self._asked = False
        self._stream = Stream(operator.loop, sock, self)
        # Guards against callers that connect and say nothing, or stop in the middle.
        self._patience: Timer = operator.loop.call_after(WHOLE_CALL, self.close)

    def close(self) -> None:
        self._operator.counters.operator_silent += not self._asked
        self._stream.close()
        self.ended("closed here")

    def received(self, data: bytes) -> None:
        if self._asked:  # one call a connection
            return
        try:
            requests = self._reader.feed(data)
            if requests:
                self._asked = True
                self._patience.cancel()
                self._operator.counters.operator_calls += 1
                self._handle(requests[0])
        except BadRequestError as fault:
            self._asked = True
            self._answer(fault.status, f"{fault}\n".encode())

    def flushed(self) -> None:
        """Nothing follows from that."""

    def ended(self, why: str) -> None:
        self._patience.cancel()
        self._operator.calls.pop(self, None)

    def _handle(self, request: Request) -> None:
        path, _, query = request.target.partition(b"?")
        method = CALLS.get(path)
        if method is None:
            raise BadRequestError(HTTPStatus.NOT_FOUND, "nothing here")
        if request.method != method:
            raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, f"only {method.decode()} here")
        operations = self._operator.operations
        if path == b"/ready":
            self._answer(HTTPStatus.OK if operations.serving() else HTTPStatus.SERVICE_UNAVAILABLE)
        elif path == b"/metrics":
            self._answer(HTTPStatus.OK, msgspec.json.encode(operations.figures()), json=True)
        else:
            operations.by_hand(_who(query), path == b"/workers/disable", self._done)

    def _done(self, known: bool) -> None:
        self._answer(HTTPStatus.OK if known else HTTPStatus.NOT_FOUND, b"" if known else b"no such worker\n")

    def _answer(self, status: int, body: bytes = b"", json: bool = False) -> None:
        headers = [("Content-Type", "application/json")] if json else []
        self._stream.write(answer_bytes(status, body, headers, keep_alive=False))
        self._stream.finish()


def _who(query: bytes) -> str:
    named = parse_qs(query.decode("latin-1"), keep_blank_values=True).get("who", [])
    if len(named) != 1 or not named[0]:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "who: one worker's id is wanted")
    return named[0]
