"""The state of an incoming connection, as the slots, the request tracker and a handover query it."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from carthinge.net.http import Request, RequestReader, encode_request
from carthinge.net.stream import Stream


class ConnectionState:
    """The queries about a connection; none of them changes it.  The subclass sets the attributes."""

    _reader: RequestReader
    _waiting: deque[Request]
    _current: Request | None
    _finished: bool
    _stream: Stream

    def handled_bytes(self) -> int:
        """What is held in memory for the current request, roughly."""
        return self._current.held_bytes if self._current is not None else 0

    def unhandled_bytes(self) -> int:
        """What is held for requests that are not being handled yet; nothing once the connection is ending."""
        if self._finished:
            return 0
        return self._reader.held_bytes + sum(request.held_bytes for request in self._waiting)

    def unread_bytes(self) -> int:
        """What is held for answers that the client has not read."""
        return self._stream.unsent

    def idle(self) -> bool:
        """Whether no request is being read, handled or answered."""
        return not (
            self._current or self._waiting or self._reader.in_message or self._finished or self._stream.unsent
        )

    def silent(self) -> bool:
        """Whether there is nothing to read or to send."""
        return not self._stream.unsent and self._stream.input_empty()

    def has_partial_request(self) -> bool:
        """Whether a request has been read in part."""
        return self._reader.in_message

    def has_left(self) -> bool:
        """Whether the client has closed the connection."""
        return self._stream.closed_by_peer()

    def awaits_answer(self) -> bool:
        """Whether the client waits for an answer and has sent nothing more."""
        return not (
            self._current is None
            or self._waiting
            or self._reader.in_message
            or self._finished
            or self._stream.unsent
        )

    def keep_alive(self) -> bool:
        """Whether the client of the current request wants the connection kept."""
        return self._current is not None and self._current.keep_alive

    def deferred_arrival(self) -> timedelta:
        """Return the arrival time of the deferred request, from which its deadline runs."""
        assert self._current is not None
        return self._current.received_at

    def deferred_requests(self) -> bytes:
        """Return the deferred requests, encoded again."""
        requests = [self._current, *self._waiting] if self._current is not None else []
        return b"".join(
            encode_request(
                request.method.decode(), request.target, "", _unframed(request.headers), request.body
            )
            for request in requests
        )


def _unframed(headers: dict[bytes, bytes]) -> list[tuple[str, bytes]]:
    """Return the headers without those of the framing, which is generated again."""
    framing = (b"host", b"content-length", b"transfer-encoding", b"expect")
    return [(name.decode("latin-1"), value) for name, value in headers.items() if name not in framing]
