"""One connection that came in: requests in, answers out, in their order."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus
from math import inf
from typing import TYPE_CHECKING, Final

import msgspec

from carthinge.fleet.retry_after import stay_away
from carthinge.front.answer_order import AnswerOrder
from carthinge.front.call_backs import CALL_BACK, NO_ANSWER
from carthinge.front.gate import Gate
from carthinge.front.read_timer import ReadTimer
from carthinge.front.translator import JOBS
from carthinge.net import log
from carthinge.net.channel import Waiting
from carthinge.net.close_reason import CloseReason
from carthinge.net.http import GO_AHEAD, BadRequestError, Request, RequestReader, answer_bytes, call_bytes
from carthinge.net.loop import MICROSECOND, MILLISECOND
from carthinge.net.stream import Stream
from carthinge.net.tracked_request import TrackedRequest
from carthinge.records import mix

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.front.durable_front import DurableFront, JobCall

PIPELINED: Final = 8  # requests that may wait on one connection; clients of this protocol send one at a time
WAITING_SHARE: Final = 0.75  # of all slots: workers' call-backs need some, or no job would ever end


class ClientConnection:
    """One connection of a client or of a worker that calls back.  Answers go out in the order of requests."""

    def __init__(
        self, frontend: Gate, sock: socket.socket, connected: timedelta, unread_since: timedelta
    ) -> None:
        """It was made no earlier than ``connected``; what waits on it unread came after ``unread_since``."""
        self._frontend = frontend
        self.number = frontend.counters.connections_in + frontend.counters.connections_taken_over
        self._requests = 0  # whole ones that were read
        self._connected = connected
        self._unread_since = unread_since
        self._entered = frontend.loop.turns
        self._reader = RequestReader()
        self._waiting: deque[Request] = deque()
        self._current: Request | None = None
        self._exchange: TrackedRequest | None = None
        self._call: JobCall | None = None
        self.put_off = False  # its request is for the other process
        self._finished = False
        self._read_timer = ReadTimer(frontend.loop, self._overdue)
        self._order = AnswerOrder(frontend.loop, self._cut_short)
        self._accepted = frontend.loop.now
        self._stream = Stream(frontend.loop, sock, self)

    def idle(self) -> bool:
        """Whether no request is being read, handled or answered."""
        return not (
            self._current or self._waiting or self._reader.under_way or self._finished or self._stream.unsent
        )

    def silent(self) -> bool:
        """Whether nothing waits to be read or sent."""
        return not self._stream.unsent and self._stream.silent()

    def began(self) -> bool:
        """Whether a part of a request has been read."""
        return self._reader.under_way

    def has_left(self) -> bool:
        """Whether the client has closed the connection."""
        return self._stream.left()

    def at_rest(self) -> bool:
        """Its client waits for an answer, and has sent nothing more."""
        return not (
            self._current is None
            or self._waiting
            or self._reader.under_way
            or self._finished
            or self._stream.unsent
        )

    def keep_alive(self) -> bool:
        """Whether the client of the current request wants the connection kept."""
        return self._current is not None and self._current.keep_alive

    def put_off_since(self) -> timedelta:
        """When the request that was put off had come: its client's time has run since."""
        assert self._current is not None
        return self._current.came

    def unhandled(self) -> bytes:
        """The requests that were put off, as they may have come."""
        requests = [self._current, *self._waiting] if self._current is not None else []
        return b"".join(
            call_bytes(request.method.decode(), request.target, "", _as_sent(request.headers), request.body)
            for request in requests
        )

    def waiting_for(self) -> Waiting | None:
        """The durable job that its client waits for, where another process has it."""
        call = self._call
        if call is None or call.held is not None or not call.number or not self.at_rest():
            return None
        call.drop()
        return Waiting(call.name, call.in_place, call.until // MICROSECOND, self.keep_alive())

    def resume_call(self, durable: DurableFront, job: str, in_place: bool, wait: timedelta) -> None:
        """As where another process has begun to wait for that job."""
        assert self._current is not None
        request = self._current
        call = durable.resume(self, request, job, in_place, wait)
        if self._current is request:
            self._call = call

    def go_on(self) -> None:
        """Handles a request that was put off."""
        if self.put_off and self._current is not None:
            self.put_off = False
            self._waiting.appendleft(self._current)
            self._current = None
            self._next()

    def wait_for_answer(self, keep_alive: bool) -> None:
        """As where another process has read the request."""
        self._current = Request(b"POST", b"", {}, b"", keep_alive)

    def owe(self, tracked: TrackedRequest) -> None:
        """Wait for the answer to a job."""
        self._exchange = tracked
        self._frontend.waiting.add(self)

    def release(self) -> socket.socket:
        """Lets go of the socket, for another process to go on with."""
        self._frontend.slots.leave(self)
        self._frontend.waiting.discard(self)
        return self._stream.release()

    def close(self, reason: CloseReason) -> None:
        """Close at once; what its client waited for is abandoned."""
        owed = self._current is not None or bool(self._waiting)
        self._frontend.tracker.invariants.closing(self.number, owed, reason)
        self._stream.close()
        self.ended(reason.value)

    # ---- the stream -----------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Read requests from bytes, and handle what is whole."""
        try:
            requests = self._reader.feed(data)
            came = self._came_at()
            for request in requests:
                request.came = came
            self._waiting.extend(requests)
            self._requests += len(requests)
            if len(self._waiting) > PIPELINED:
                raise BadRequestError(HTTPStatus.BAD_REQUEST, "too many requests at once")
        except BadRequestError as fault:
            self._turn_away(fault)
            return
        if requests:
            self._frontend.slots.used(self)
        if requests or not self._reader.under_way:
            self._read_timer.stop()
        if self._reader.under_way:  # where requests are sent ahead it may be another one than before
            self._read_timer.progressed(came, came if self._requests else self._connected)
        self._next()
        self._go_ahead()

    def _go_ahead(self) -> None:
        """Tells a client that asks first to send the body; behind other requests once they are answered."""
        if not self._reader.expects_go_ahead or self._finished:
            return
        if self._current is not None or self._waiting:
            self._read_timer.stop()  # until then it is this side that is waited for
            return
        self._reader.expects_go_ahead = False
        self._stream.write(GO_AHEAD)
        now = self._frontend.loop.now
        self._read_timer.progressed(now, now)

    def _came_at(self) -> timedelta:
        """What is read now came no earlier than then."""
        loop = self._frontend.loop
        return self._unread_since if loop.turns <= self._entered + 1 else loop.since

    def flushed(self) -> None:
        """Nothing follows from that."""

    def ended(self, why: str) -> None:
        """The client has gone; what it waited for is not owed any more."""
        log.logger().debug(
            "connection_closed",
            connection=self.number,
            why=why,
            requests=self._requests,
            owed=self._current is not None or bool(self._waiting),
            half_read=self._reader.under_way,
        )
        self._frontend.slots.leave(self)
        self._waiting.clear()
        self._read_timer.stop()
        self._order.stop()
        self._abandon()

    def _abandon(self) -> None:
        tracked, self._exchange = self._exchange, None
        self._frontend.waiting.discard(self)
        if tracked is not None:
            self._frontend.tracker.abandon(tracked)
        call, self._call = self._call, None
        if call is not None:
            call.drop()

    def _overdue(self, last_sign: timedelta) -> None:
        """Guards against clients that begin a request and never end it: they are owed an error."""
        self._check_in_time(last_sign)
        self._turn_away(BadRequestError(HTTPStatus.REQUEST_TIMEOUT, "the request took too long to arrive"))

    def _check_in_time(self, last_sign: timedelta) -> None:
        now = self._frontend.loop.clock.now()
        self._frontend.tracker.invariants.half_request_ended(self.number, last_sign, self._accepted, now)

    def _turn_away(self, fault: BadRequestError) -> None:
        """Nothing more can be read here: all that waits on the connection is answered so, and it ends.

        Guards against what cannot be read being left to wait behind a tracked request that is under way.
        """
        self._abandon()
        refusal = answer_bytes(fault.status, f"{fault}\n".encode())
        self._stream.write(refusal * (len(self._waiting) + (self._current is not None)))
        self._waiting.clear()
        self._current = None
        self._refuse(fault, readable=False)

    # ---- requests -------------------------------------------------------------------------

    def _next(self) -> None:
        while self._current is None and self._waiting and not self._finished:
            self._current = self._waiting.popleft()
            try:
                self._handle(self._current)
            except BadRequestError as fault:
                self._refuse(fault)
        if self._current is not None and self._waiting:
            self._order.watch(self._waiting)

    def _cut_short(self) -> None:
        """What waits behind the current request has to have its answer."""
        if self._exchange is not None:
            self._frontend.tracker.cut_short(self._exchange)
        elif self._call is not None:
            self._call.cut_short()

    def _handle(self, request: Request) -> None:
        path = request.target.split(b"?", 1)[0]
        durable = self._frontend.durable
        if request.method == b"POST" and path == CALL_BACK:
            self._frontend.call_backs.take(request.body, lambda status: self.reply(request, status))
        elif durable is not None and durable.concerns(request, path):
            if durable.jobs.leaving:
                self.put_off = True
                return
            frontend = self._frontend
            call = durable.begin(
                self,
                request,
                path,
                frontend.translator,
                lambda asked: frontend.patience(asked, request.came),
                frontend.tracker.by_id.__contains__,
            )
            if self._current is request:  # else it is answered already
                self._call = call
        elif request.method == b"POST" and (path == JOBS or path.startswith(JOBS + b"/")):
            self._take(request)
        elif request.method == b"GET" and path == b"/up":
            self._answer(HTTPStatus.OK if self._frontend.up() else HTTPStatus.SERVICE_UNAVAILABLE)
        elif request.method == b"GET" and path == b"/counters":
            self._answer(
                HTTPStatus.OK,
                msgspec.json.encode(self._frontend.counters),
                [("Content-Type", "application/json")],
            )
        else:
            raise BadRequestError(HTTPStatus.NOT_FOUND, "nothing here")

    def reply(
        self, request: Request, status: int, body: bytes = b"", headers: list[tuple[str, str]] | None = None
    ) -> None:
        """The answer to a request that had to wait for something."""
        if self._current is request and not self._stream.closed:  # else whoever asked has gone meanwhile
            self._call = None
            if status == NO_ANSWER:
                self.close(CloseReason.CALL_BACK_ELSEWHERE)
            else:
                self._answer(status, body, headers)

    def _take(self, request: Request) -> None:
        job, terms = self._frontend.translator.read(request)
        if job.id in self._frontend.tracker.by_id:  # its call-backs could not be told from the other's
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Id: in use by another request")
        frontend = self._frontend
        if len(frontend.waiting) >= frontend.slots.most * WAITING_SHARE:
            frontend.counters.taken += 1
            frontend.counters.shed += 1
            frontend.counters.shed_for_room += 1
            frontend.tracker.ended.refused[terms.class_name] += 1
            point = mix(frontend.counters.shed_for_room)  # when there will be room is known to nobody
            away = stay_away(inf, 0, frontend.max_retry_after // MICROSECOND, point) * MICROSECOND
            self._shed(away, keep_alive=False)
            return
        terms = replace(terms, patience=frontend.patience(terms.patience, request.came))
        log.logger().debug(
            "request_taken",
            id=job.id,
            connection=self.number,
            job_class=terms.class_name,
            left_ms=terms.patience // MILLISECOND,
        )
        self.owe(frontend.tracker.take(job, terms, self))

    def _refuse(self, fault: BadRequestError, readable: bool = True) -> None:
        self._frontend.counters.bad_input += 1
        log.logger().debug("bad_input", connection=self.number, status=int(fault.status), why=str(fault))
        self._answer(fault.status, f"{fault}\n".encode(), readable=readable)
        self._frontend.slots.misused(self)

    # ---- answers --------------------------------------------------------------------------

    def serve(self, result: bytes) -> None:
        """Answer the job with its result."""
        self._answer(HTTPStatus.OK, result)

    def shed(self, stay_away: timedelta) -> None:
        """Answer that the job is refused, and when to come again."""
        self._shed(min(stay_away, self._frontend.max_retry_after))

    def _shed(self, away: timedelta, keep_alive: bool = True) -> None:
        headers = [("Retry-After", f"{away.total_seconds():.3f}")] if away else []
        self._answer(HTTPStatus.SERVICE_UNAVAILABLE, headers=headers, keep_alive=keep_alive)

    def fail(self, timed_out: bool) -> None:
        """Answer that the job has failed."""
        self._answer(HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY)

    def reject(self) -> None:
        """Answer that no worker can use the request."""
        self._answer(HTTPStatus.BAD_REQUEST, b"no worker can use this request\n")
        self._frontend.slots.misused(self)

    def _answer(
        self,
        status: int,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        keep_alive: bool = True,
        readable: bool = True,
    ) -> None:
        """``keep_alive``: the connection may go on; it does where more has been read of it, as that is owed
        an answer too, unless it is not ``readable`` any more."""
        self._order.stop()
        request, self._current, self._exchange = self._current, None, None
        self._frontend.waiting.discard(self)
        if request is not None and request.method == b"HEAD":
            body = b""
        more = bool(self._waiting) or self._reader.under_way
        keep_alive = (
            readable
            and (more or (keep_alive and self._frontend.keeps_connections()))
            and (request is None or request.keep_alive)
        )
        self._stream.write(answer_bytes(status, body, headers or (), keep_alive))
        if not keep_alive:
            self._finished = True
            self._read_timer.stop()
            self._frontend.slots.end(self)
            self._stream.finish()
        elif self._waiting:
            self._frontend.loop.soon(self._next)
        else:
            self._go_ahead()


def _as_sent(headers: dict[bytes, bytes]) -> list[tuple[str, bytes]]:
    """Without what is said of the framing: the request is framed anew."""
    framing = (b"host", b"content-length", b"transfer-encoding", b"expect")
    return [(name.decode("latin-1"), value) for name, value in headers.items() if name not in framing]
