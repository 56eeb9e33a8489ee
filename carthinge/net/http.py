"""HTTP/1.1 for both sides: parsing and encoding of requests and responses."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any, Final

import httptools

MAX_BODY_BYTES: Final = 64 * 1024
MAX_HEAD_BYTES: Final = 32 * 1024
MAX_HEADER_FIELDS: Final = 100  # each costs far more memory than its bytes
HEADER_FIELD_BYTES: Final = 200  # in memory, beside its name and value
MAX_PIPELINED_REQUESTS: Final = 8  # behind another one; clients of this protocol send one at a time
MAX_ANSWERS_AT_ONCE: Final = 8  # one is expected; the others are dropped with their connection
HEAD_FRAMING_BYTES: Final = 2048  # of a head, beside the names and values that MAX_HEAD_BYTES limits
PARSE_BYTES: Final = 8 * 1024  # at once; the limits are checked after each part
MAX_FRAMING_FACTOR: Final = 8  # of a message on the wire, including all framing, to its body limit
Headers = dict[bytes, bytes]


class BadRequestError(Exception):
    """Invalid input: it is answered with a status in the 400s and ends its connection."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.completed: list[Request] = []  # requests that were complete before it


@dataclass(slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    #: Earliest time at which its last byte can have arrived; set by the connection that read it.
    received_at: timedelta = timedelta()
    held_bytes: int = 0  #: what it holds in memory, roughly


@dataclass(slots=True)
class Answer:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


class _Message:
    """Collects what httptools reports about the current message and enforces the limits."""

    _parser: Any  # of httptools, which has no types

    def __init__(self, body_limit: int) -> None:
        self.keeps_body = True
        self._body_limit = body_limit
        self._bytes_fed = 0  # since the last complete message
        self._in_head = True
        self.on_message_begin()

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers: Headers = {}
        self.body = bytearray()
        self._head_bytes = self._body_bytes = self._fields = 0
        self.in_message = True

    def on_url(self, part: bytes) -> None:
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value.strip(b" \t")  # the parser keeps trailing blanks
        self._fields += 1
        if self._fields > MAX_HEADER_FIELDS:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head has too many fields")
        self._count_head(len(name) + len(value))

    def on_body(self, part: bytes) -> None:
        if self.keeps_body:
            self.body += part
        self._body_bytes += len(part)
        if self._body_bytes > self._body_limit:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def close(self) -> None:
        """Free all memory of the reader, which cannot be used any more.

        It and its parser refer to each other: only the garbage collector would free them, and that does not
        count bytes.
        """
        self._parser = None
        self._forget_content()
        self._head_bytes = self._fields = 0

    def _forget_content(self) -> None:
        """Free the memory of a complete message: the connection may rest for long."""
        self.target, self.headers = b"", {}
        self.body.clear()

    def _too_large(self) -> bool:
        """Guard against an endless line, which the parser buffers and reports only when it is complete."""
        limit = (
            MAX_HEAD_BYTES + HEAD_FRAMING_BYTES if self._in_head else MAX_FRAMING_FACTOR * self._body_limit
        )
        return self._bytes_fed > limit

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "the head is too large")


def _parts(data: bytes) -> Iterator[memoryview]:
    """Yield the data in parts of at most PARSE_BYTES."""
    view = memoryview(data)
    for start in range(0, len(data), PARSE_BYTES):
        yield view[start : start + PARSE_BYTES]


class RequestReader(_Message):
    """Parses requests from bytes that may be split anywhere."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._done: list[Request] = []
        self.expects_continue = False
        super().__init__(MAX_BODY_BYTES)
        self.in_message = False

    @property
    def held_bytes(self) -> int:
        """What an incomplete request holds in memory, roughly."""
        if self._parser is None or not self.in_message:
            return 0
        return self._bytes_fed + self._fields * HEADER_FIELD_BYTES

    def feed(self, data: bytes) -> list[Request]:
        """Return the requests that ``data`` completes; the reader is unusable after a BadRequestError."""
        try:
            if len(data) <= PARSE_BYTES:
                self._parse(data)
            else:
                for part in _parts(data):
                    self._parse(part)
        except BadRequestError as error:
            error.completed = self._take_done()
            raise
        return self._take_done()

    def _take_done(self) -> list[Request]:
        done, self._done = self._done, []
        return done

    def _parse(self, data: bytes | memoryview) -> None:
        completed = len(self._done)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "no other protocol is spoken here") from None
        except httptools.HttpParserError as fault:
            cause = fault.__context__  # errors raised in a parser callback are wrapped
            if isinstance(cause, BadRequestError):
                raise cause from None
            raise BadRequestError(HTTPStatus.BAD_REQUEST, f"not HTTP: {fault}") from None
        self._bytes_fed = 0 if len(self._done) > completed else self._bytes_fed + len(data)
        if self._too_large():
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "the request is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by the parser)."""
        if self._in_head:  # trailers must not replace headers
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the Content-Length (called by the parser)."""
        self._in_head = False
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.expects_continue = self.headers.get(b"expect", b"").lower() == b"100-continue"

    def on_message_complete(self) -> None:
        """Store the complete request (called by the parser)."""
        parser = self._parser
        self.in_message = self.expects_continue = False
        self._in_head = True
        self._done.append(
            Request(
                parser.get_method(),
                self.target,
                self.headers,
                bytes(self.body),
                parser.should_keep_alive(),
                held_bytes=self._head_bytes + self._fields * HEADER_FIELD_BYTES + len(self.body),
            )
        )
        self._forget_content()
        if len(self._done) > MAX_PIPELINED_REQUESTS + 1:
            raise too_many_requests()


def too_many_requests() -> BadRequestError:
    """Return the error of a connection on which too many requests wait."""
    return BadRequestError(HTTPStatus.BAD_REQUEST, "too many requests at once")


class AnswerReader(_Message):
    """Parses responses; interim ones (1xx) are skipped."""

    def __init__(self, body_limit: int) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._done: list[Answer] = []
        super().__init__(body_limit)
        self.in_message = False
        self._ends_with_connection = False

    def feed(self, data: bytes) -> list[Answer]:
        """Return the responses that ``data`` completes; raises the errors of httptools."""
        if len(data) <= PARSE_BYTES:
            self._parse(data)
        else:
            for part in _parts(data):
                self._parse(part)
        done, self._done = self._done, []
        return done

    def _parse(self, data: bytes | memoryview) -> None:
        completed = len(self._done)
        self._parser.feed_data(data)
        self._bytes_fed = 0 if len(self._done) > completed else self._bytes_fed + len(data)
        if self._too_large() or len(self._done) > MAX_ANSWERS_AT_ONCE:
            raise httptools.HttpParserError("more than one answer of a bearable size")

    def end(self) -> Answer | None:
        """Return the response that the end of the connection completes, None if it is incomplete."""
        if not (self.in_message and self._ends_with_connection):
            return None
        self.in_message = False
        return Answer(self._parser.get_status_code(), self.headers, bytes(self.body), keep_alive=False)

    def on_message_begin(self) -> None:
        """Start a response (called by the parser)."""
        super().on_message_begin()
        self._ends_with_connection = False
        self._in_head = True

    def on_headers_complete(self) -> None:
        """Determine whether the body ends with the connection (called by the parser)."""
        self._in_head = False
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        self._ends_with_connection = not framed and self._parser.get_status_code() >= HTTPStatus.OK

    def on_message_complete(self) -> None:
        """Store the complete response (called by the parser)."""
        self.in_message = False
        self._in_head = True
        status = self._parser.get_status_code()
        if status >= HTTPStatus.OK:
            keep_alive = self._parser.should_keep_alive()
            self._done.append(Answer(status, self.headers, bytes(self.body), keep_alive))
        self._forget_content()


MAX_PORT: Final = 65535
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


def encode_answer(
    status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = (), keep_alive: bool = True
) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if status != HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_request(
    method: str, target: bytes, host: str, headers: Iterable[tuple[str, bytes]] = (), body: bytes = b""
) -> bytes:
    """Encode a request."""
    parts = [method.encode(), b" ", target, b" HTTP/1.1\r\nHost: ", host.encode(), b"\r\n"]
    for name, value in headers:
        parts += (name.encode(), b": ", value, b"\r\n")
    if body or method == "POST":
        parts += (b"Content-Length: ", str(len(body)).encode(), b"\r\n")
    return b"".join(parts) + b"\r\n" + body


@dataclass(frozen=True, slots=True)
class Address:
    """A host and port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``; raises ValueError."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
            raise ValueError(f"not an address of the form host:port: {text!r}")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
