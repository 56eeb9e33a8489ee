"""Ingress: clients' jobs and workers' call-backs, which come to the same address."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from http import HTTPStatus
from typing import Final, Literal, Protocol

import msgspec

from carthinge.interface import Result
from carthinge.net import log
from carthinge.net.counters import Counters
from carthinge.net.egress import Egress
from carthinge.net.exchange import Attempt, Book, Exchange
from carthinge.net.http import GO_AHEAD, BadRequestError, Request, RequestReader, answer_bytes
from carthinge.net.listener import Listener
from carthinge.net.loop import Loop, Timer
from carthinge.net.places import Places
from carthinge.net.stream import Stream
from carthinge.net.translator import JOBS, Translator
from carthinge.settings import Site

CALL_BACK: Final = b"/v1/job-events"
PIPELINED: Final = 8  # requests that may wait on one connection; clients of this protocol send one at a time
PAUSE_TOLD: Final = timedelta(seconds=10)  # pauses that follow on one another are logged once in a while
FIRST_REQUEST: Final = timedelta(milliseconds=2500)  # from connecting to the last byte of a first request
FRESH_CHECKED: Final = timedelta(milliseconds=200)  # how often that is looked at
SLOW_REQUEST: Final = timedelta(seconds=10)  # from the first byte of a later request to its last
ENDINGS: Final = {"done": Result.OK, "failed": Result.ERROR, "returned": Result.FULL, "lost": Result.RESET}


class JobEvent(msgspec.Struct, frozen=True, rename={"sender": "from"}):
    """What a worker tells of a job."""

    id: str
    sender: str
    state: Literal["started", "running", "done", "failed", "returned", "lost"]
    share: float = 0.0
    result: str = ""
    load: dict[str, float] = {}


_EVENTS: Final[msgspec.json.Decoder[JobEvent]] = msgspec.json.Decoder(JobEvent)


@dataclass(frozen=True, slots=True)
class Drain:
    """Up to when what is done, once the program is to end."""

    arriving_until: timedelta  #: clients may still be sent here; what they send has its whole time
    answered_by: timedelta  #: the last answer to what comes after that
    kept_until: timedelta  #: from then on every answer ends its connection, so that clients turn elsewhere


class Elsewhere(Protocol):
    """Another process of this scheduler, while there is one."""

    @property
    def paired(self) -> bool: ...

    def pass_call_back(self, body: bytes, done: Callable[[bool], None]) -> None: ...


class Ingress:
    """The listening socket and the connections that came in on it."""

    def __init__(self, loop: Loop, site: Site, book: Book, egress: Egress, counters: Counters, most: int,
                 ready: Callable[[], bool], elsewhere: Elsewhere) -> None:
        self.loop = loop
        self.book = book
        self.counters = counters
        self.translator = Translator(site)
        self.max_retry_after = site.max_retry_after
        self.ready = ready
        self.draining: Drain | None = None
        self.elsewhere: Elsewhere = elsewhere
        self.places = Places(most)
        self._egress = egress
        self._listener: Listener | None = None
        self._checking = False
        self._pause_told = timedelta()

    def listen(self, sock: socket.socket) -> None:
        self._listener = Listener(self.loop, sock, self)

    def retune(self, site: Site) -> None:
        """Requests that are read from now on are meant by this site's names."""
        self.translator = Translator(site)
        self.max_retry_after = site.max_retry_after

    def keeps_connections(self) -> bool:
        return self.draining is None or self.loop.now < self.draining.kept_until

    def patience(self, asked: timedelta) -> timedelta:
        """Guards against SIGKILL, which would find unanswered what came late in a drain."""
        drain, now = self.draining, self.loop.now
        return asked if drain is None or now < drain.arriving_until else min(asked, drain.answered_by - now)

    def rest(self) -> None:
        """Takes no new connection in; they wait for another process that listens on the same socket."""
        if self._listener is not None:
            self._listener.pause()

    def resume(self) -> None:
        if self._listener is not None:
            self._listener.resume()

    def adopt(self, sock: socket.socket, fresh: bool) -> None:
        """A connection that another process took in; nothing is under way on it."""
        self.counters.connections_taken_over += 1
        connection = self._hold(sock)
        if not fresh:
            self.places.used(connection)

    def adopt_open(self, sock: socket.socket, keep_alive: bool) -> IngressConnection:
        """The same for a connection whose client waits for an answer."""
        self.counters.connections_taken_over += 1
        connection = self._hold(sock)
        self.places.used(connection)
        connection.wait_for_answer(keep_alive)
        return connection

    def release_idle(self) -> Iterator[tuple[socket.socket, bool]]:
        """Lets go of the connections on which nothing is under way, and says which had no request yet."""
        for connection in self.places.all():
            if connection.idle():
                fresh = connection in self.places.fresh
                yield connection.release(), fresh

    def close_idle(self) -> None:
        """Ends the connections on which nothing is under way."""
        for connection in self.places.all():
            if connection.idle():
                connection.close()

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for connection in self.places.all():
            connection.close()

    def job_event(self, body: bytes, done: Callable[[], None]) -> None:
        """A call-back; ``done`` is called once it has got to where its job is."""
        event = self._read_event(body)
        if event.id in self.book.by_id or not self.elsewhere.paired:
            self._job_event(event)
            done()
        else:
            self.counters.job_events_passed_on += 1
            self.elsewhere.pass_call_back(body, lambda known: self._passed_on(event, known, done))

    def _passed_on(self, event: JobEvent, known: bool, done: Callable[[], None]) -> None:
        """Guards against a call-back that crosses its exchange, which was on its way here."""
        if not known:
            self._job_event(event)
        done()

    def call_back(self, body: bytes) -> bool:
        """A call-back that came to another process of this scheduler."""
        event = self._read_event(body)
        known = event.id in self.book.by_id
        if known:
            self._job_event(event)
        return known

    def _read_event(self, body: bytes) -> JobEvent:
        try:
            return _EVENTS.decode(body)
        except msgspec.MsgspecError as fault:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, f"not a job event: {fault}") from None

    def _job_event(self, event: JobEvent) -> None:
        """It counts only for the attempt that is out at its sender, and that has got there."""
        self.counters.job_events += 1
        exchange = self.book.by_id.get(event.id)
        attempt = exchange.current() if exchange is not None else None
        if attempt is None or not attempt.arrived or attempt.target.id != event.sender:
            self.counters.job_events_stale += 1
            return
        self._tell(attempt, event)

    def _tell(self, attempt: Attempt, event: JobEvent) -> None:
        result = ENDINGS.get(event.state)
        if result is None:
            self.book.note(attempt, event.share if event.state == "running" else None)
            return
        self._egress.forsake(attempt)
        self.book.end(attempt, result, self._egress.report(event.load), event.result.encode())

    # ---- the listener ---------------------------------------------------------------------

    def free(self) -> int:
        return self.places.most - len(self.places)

    def room(self) -> str | None:
        """Makes room, where all places are taken, by closing a connection."""
        if len(self.places) < self.places.most:
            return None
        holder = self.places.make_room()
        if holder is None:
            return "every connection has a request under way"
        self.counters.connections_in_closed_early += 1
        holder.close()
        return None

    def enter(self, sock: socket.socket) -> None:
        self.counters.connections_in += 1
        self._hold(sock)

    def _hold(self, sock: socket.socket) -> IngressConnection:
        connection = IngressConnection(self, sock)
        self.places.enter(connection, self.loop.now)
        if not self._checking:
            self._checking = True
            self.loop.call_after(FRESH_CHECKED, self._check_fresh)
        return connection

    def resting(self, why: str) -> None:
        self.counters.accept_pauses += 1
        if self.loop.now >= self._pause_told + PAUSE_TOLD:
            self._pause_told = self.loop.now
            log.logger().warning("accept_paused", why=why, connections=len(self.places))

    def _check_fresh(self) -> None:
        """Guards against clients that connect and say nothing, or never end their first request."""
        for holder in self.places.overdue(self.loop.now, FIRST_REQUEST):
            self.counters.connections_in_silent += 1
            holder.close()
        self._checking = bool(self.places.fresh)
        if self._checking:
            self.loop.call_after(FRESH_CHECKED, self._check_fresh)


class IngressConnection:
    """One connection of a client or of a worker that calls back.  Answers go out in the order of requests."""

    def __init__(self, ingress: Ingress, sock: socket.socket) -> None:
        self._ingress = ingress
        self._reader = RequestReader()
        self._waiting: deque[Request] = deque()
        self._current: Request | None = None
        self._exchange: Exchange | None = None
        self._finished = False
        self._slow: Timer | None = None  # for the rest of a later request
        self._stream = Stream(ingress.loop, sock, self)

    def idle(self) -> bool:
        return not (self._current or self._waiting or self._reader.under_way or self._finished
                    or self._stream.unsent)

    def at_rest(self) -> bool:
        """Its client waits for an answer, and has sent nothing more."""
        return not (self._current is None or self._waiting or self._reader.under_way or self._finished
                    or self._stream.unsent)

    def keep_alive(self) -> bool:
        return self._current is not None and self._current.keep_alive

    def wait_for_answer(self, keep_alive: bool) -> None:
        """As where another process has read the request."""
        self._current = Request(b"POST", b"", {}, b"", keep_alive)

    def owe(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def release(self) -> socket.socket:
        """Lets go of the socket, for another process to go on with."""
        self._ingress.places.leave(self)
        return self._stream.release()

    def close(self) -> None:
        self._stream.close()
        self.ended("closed here")

    # ---- the stream -----------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        try:
            requests = self._reader.feed(data)
            self._waiting.extend(requests)
            if len(self._waiting) > PIPELINED:
                raise BadRequestError(HTTPStatus.BAD_REQUEST, "too many requests at once")
        except BadRequestError as fault:
            self._turn_away(fault)
            return
        if self._reader.expects_go_ahead and self._current is None and not self._waiting:
            self._reader.expects_go_ahead = False
            self._stream.write(GO_AHEAD)
        if requests:
            self._ingress.places.used(self)
        self._watch_slow()
        self._next()

    def flushed(self) -> None:
        """Nothing follows from that."""

    def ended(self, why: str) -> None:
        """The client has gone; what it waited for is not owed any more."""
        self._ingress.places.leave(self)
        self._waiting.clear()
        if self._slow is not None:
            self._slow.cancel()
        self._abandon()

    def _abandon(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._ingress.book.abandon(exchange)

    def _watch_slow(self) -> None:
        """Guards against clients that begin a request and never end it: they would hold their places."""
        if not self._reader.under_way:
            if self._slow is not None:
                self._slow.cancel()
                self._slow = None
        elif self._slow is None and self not in self._ingress.places.fresh:
            fault = BadRequestError(HTTPStatus.BAD_REQUEST, "the request took too long to arrive")
            self._slow = self._ingress.loop.call_after(SLOW_REQUEST, lambda: self._turn_away(fault))

    def _turn_away(self, fault: BadRequestError) -> None:
        """Nothing more can be read here: all that waits on the connection is answered so, and it ends.

        Guards against what cannot be read being left to wait behind an exchange that is under way.
        """
        self._abandon()
        refusal = answer_bytes(fault.status, f"{fault}\n".encode())
        self._stream.write(refusal * (len(self._waiting) + (self._current is not None)))
        self._waiting.clear()
        self._current = None
        self._refuse(fault, keep_alive=False)

    # ---- requests -------------------------------------------------------------------------

    def _next(self) -> None:
        while self._current is None and self._waiting and not self._finished:
            self._current = self._waiting.popleft()
            try:
                self._handle(self._current)
            except BadRequestError as fault:
                self._refuse(fault)

    def _handle(self, request: Request) -> None:
        path = request.target.split(b"?", 1)[0]
        if request.method == b"POST" and path == CALL_BACK:
            self._ingress.job_event(request.body, lambda: self._called_back(request))
        elif request.method == b"POST" and (path == JOBS or path.startswith(JOBS + b"/")):
            self._take(request)
        elif request.method == b"GET" and path == b"/up":
            up = self._ingress.ready() and self._ingress.draining is None
            self._answer(HTTPStatus.OK if up else HTTPStatus.SERVICE_UNAVAILABLE)
        elif request.method == b"GET" and path == b"/counters":
            self._answer(HTTPStatus.OK, msgspec.json.encode(self._ingress.counters),
                         [("Content-Type", "application/json")])
        else:
            raise BadRequestError(HTTPStatus.NOT_FOUND, "nothing here")

    def _called_back(self, request: Request) -> None:
        if self._current is request and not self._stream.closed:  # else its worker has gone meanwhile
            self._answer(HTTPStatus.NO_CONTENT)

    def _take(self, request: Request) -> None:
        job, terms = self._ingress.translator.read(request)
        if job.id in self._ingress.book.by_id:  # its call-backs could not be told from the other's
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Id: in use by another request")
        terms = replace(terms, patience=self._ingress.patience(terms.patience))
        self._exchange = self._ingress.book.take(job, terms, self)

    def _refuse(self, fault: BadRequestError, keep_alive: bool = True) -> None:
        self._ingress.counters.bad_input += 1
        log.logger().debug("bad_input", status=int(fault.status), why=str(fault))
        self._answer(fault.status, f"{fault}\n".encode(), keep_alive=keep_alive)
        self._ingress.places.misused(self)

    # ---- answers --------------------------------------------------------------------------

    def serve(self, result: bytes) -> None:
        self._answer(HTTPStatus.OK, result)

    def shed(self, stay_away: timedelta) -> None:
        away = min(stay_away, self._ingress.max_retry_after)
        headers = [("Retry-After", f"{away.total_seconds():.3f}")] if away else []
        self._answer(HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)

    def fail(self, timed_out: bool) -> None:
        self._answer(HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY)

    def reject(self) -> None:
        self._answer(HTTPStatus.BAD_REQUEST, b"no worker can use this request\n")
        self._ingress.places.misused(self)

    def _answer(self, status: int, body: bytes = b"", headers: list[tuple[str, str]] | None = None,
                keep_alive: bool = True) -> None:
        request, self._current, self._exchange = self._current, None, None
        if request is not None and request.method == b"HEAD":
            body = b""
        keep_alive &= self._ingress.keeps_connections() and (request is None or request.keep_alive)
        self._stream.write(answer_bytes(status, body, headers or (), keep_alive))
        if not keep_alive:
            self._finished = True
            self._ingress.places.end(self)
            self._stream.finish()
        elif self._waiting:
            self._ingress.loop.soon(self._next)
