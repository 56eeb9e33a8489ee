"""An incoming connection: reads requests and writes their answers in order."""

from __future__ import annotations

import socket
from collections import deque
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from carthinge.front.callbacks import CALLBACK_PATH, NO_ANSWER
from carthinge.front.connection_state import ConnectionState
from carthinge.front.frontend_protocol import FrontendProtocol
from carthinge.front.head_of_line import HeadOfLineTimer
from carthinge.front.job_admission import admit
from carthinge.front.read_timer import ReadTimer
from carthinge.front.translator import JOBS_PATH
from carthinge.net import log
from carthinge.net.channel import Waiting
from carthinge.net.close_reason import CloseReason
from carthinge.net.http import (
    CONTINUE,
    MAX_PIPELINED_REQUESTS,
    BadRequestError,
    Request,
    RequestReader,
    encode_answer,
    too_many_requests,
)
from carthinge.net.loop import MICROSECOND, MIN_RECEIVE_BYTES
from carthinge.net.memory_budget import UNCOUNTED_BYTES
from carthinge.net.stream import Stream
from carthinge.net.tracked_request import TrackedRequest

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.front.durable_front import DurableFront, JobCall

MAX_UNREAD_BYTES: Final = 16 * 1024  # of answers that a client has not read, before its next request


class ClientConnection(ConnectionState):
    """A connection of a client, or of a worker that sends callbacks.  Answers keep the order of requests."""

    def __init__(
        self, frontend: FrontendProtocol, sock: socket.socket, connected: timedelta, unread_since: timedelta
    ) -> None:
        """``connected``: earliest time of the connect.  ``unread_since``: earliest arrival of unread data."""
        self._frontend = frontend
        self.number = frontend.counters.connections_in + frontend.counters.connections_taken_over
        self._requests = 0  # complete requests read
        self._connected_at = connected
        self._unread_since = unread_since
        self._accepted_turn = frontend.loop.turns
        self._reader = RequestReader()
        self._waiting: deque[Request] = deque()
        self._current: Request | None = None
        self._tracked: TrackedRequest | None = None
        self._job_call: JobCall | None = None
        self.deferred = False  # the current request is left to the other process
        self._finished = False
        self._read_timer = ReadTimer(frontend.loop, self._read_timed_out)
        self._head_of_line = HeadOfLineTimer(frontend.loop, self._cut_short)
        self._accepted_at = frontend.loop.now
        self._paused_by_unread = False
        self._counted = False  # the memory budget may know of bytes held here
        self._stream = Stream(frontend.loop, sock, self, end_if_unread=True)

    def waiting_job(self) -> Waiting | None:
        """Return the durable job that the client waits for, if another process has that job."""
        job_call = self._job_call
        if (
            job_call is None
            or job_call.durable_job is not None
            or not job_call.number
            or not self.awaits_answer()
        ):
            return None
        job_call.detach()
        return Waiting(job_call.name, job_call.in_place, job_call.until // MICROSECOND, self.keep_alive())

    def resume_job_call(self, durable: DurableFront, job: str, in_place: bool, wait: timedelta) -> None:
        """Go on waiting for a durable job, as begun in another process."""
        assert self._current is not None
        request = self._current
        job_call = durable.resume(self, request, job, in_place, wait)
        if self._current is request:
            self._job_call = job_call

    def awaits_answer_to(self, request: Request) -> bool:
        """Whether the client still waits for the answer to a request."""
        return self._current is request and not self._stream.closed

    def handle_deferred(self) -> None:
        """Handle a deferred request."""
        if self.deferred and self._current is not None:
            self.deferred = False
            self._waiting.appendleft(self._current)
            self._current = None
            self._handle_next()

    def expect_answer(self, keep_alive: bool) -> None:
        """Expect the answer to a request that another process has read."""
        self._current = Request(b"POST", b"", {}, b"", keep_alive)

    def wait_for_result(self, tracked: TrackedRequest) -> None:
        """Wait for the result of a job."""
        self._tracked = tracked
        self._frontend.waiting.add(self)

    def release(self) -> socket.socket:
        """Detach the socket and return it, to be handed over to another process."""
        self._frontend.slots.remove(self)
        self._frontend.waiting.discard(self)
        return self._stream.release()

    def close(self, reason: CloseReason) -> None:
        """Close at once and abandon the tracked request, if any."""
        owed = self._current is not None or bool(self._waiting)
        self._frontend.tracker.invariants.check_close(self.number, owed, reason)
        self._stream.close()
        self.ended(reason.value)

    # ---- the stream -----------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse received bytes and handle complete requests."""
        try:
            requests = self._reader.feed(data)
            arrived = self._earliest_arrival()
            for request in requests:
                request.received_at = arrived
            self._waiting.extend(requests)
            self._requests += len(requests)
            if len(self._waiting) > MAX_PIPELINED_REQUESTS:
                raise too_many_requests()
        except BadRequestError as error:
            self._waiting.extend(error.completed)
            self._reject_all(error)
            return
        if requests:
            self._frontend.slots.mark_used(self)
        if requests or not self._reader.in_message:
            self._read_timer.stop()
        if self._reader.in_message:  # with pipelining it may be another one than before
            self._read_timer.progressed(arrived, arrived if self._requests else self._connected_at)
        if not self._more_arrived(data):
            self._handle_next()
            self._send_continue()
        self._update_held()

    def _more_arrived(self, data: bytes) -> bool:
        """Whether more input has arrived, so that it is unknown whether the client is still there."""
        return len(data) >= MIN_RECEIVE_BYTES and not self._stream.input_empty()

    def _send_continue(self) -> None:
        """Answer ``Expect: 100-continue``, once all earlier requests are answered."""
        if not self._reader.expects_continue or self._finished:
            return
        if self._current is not None or self._waiting:
            self._read_timer.stop()  # until then the client waits for this side
            return
        self._reader.expects_continue = False
        self._stream.write(CONTINUE)
        now = self._frontend.loop.now
        self._read_timer.progressed(now, now)

    def _earliest_arrival(self) -> timedelta:
        """Return the earliest time at which the data being read can have arrived."""
        loop = self._frontend.loop
        return self._unread_since if loop.turns <= self._accepted_turn + 1 else loop.ready_since

    def flushed(self) -> None:
        """Go on with the next request, if it waited for the client to read."""
        if self._paused_by_unread:
            self._paused_by_unread = False
            self._frontend.loop.call_soon(self._handle_next)

    def ended(self, why: str) -> None:
        """The connection has ended: its requests no longer need an answer."""
        log.logger().debug(
            "connection_closed",
            connection=self.number,
            why=why,
            requests=self._requests,
            owed=self._current is not None or bool(self._waiting),
            half_read=self._reader.in_message,
        )
        self._frontend.slots.remove(self)
        self._waiting.clear()
        self._read_timer.close()
        self._head_of_line.close()
        self._abandon()
        self._current = None
        self._reader.close()
        self._frontend.memory.update(self, 0)

    def _abandon(self) -> None:
        tracked, self._tracked = self._tracked, None
        self._frontend.waiting.discard(self)
        if tracked is not None:
            self._frontend.tracker.abandon(tracked)
        job_call, self._job_call = self._job_call, None
        if job_call is not None:
            job_call.detach()

    def _read_timed_out(self, last_progress: timedelta) -> None:
        """Answer a request that was not completed in time with an error."""
        self._check_invariant(last_progress)
        self._reject_all(BadRequestError(HTTPStatus.REQUEST_TIMEOUT, "the request took too long to arrive"))

    def _check_invariant(self, last_progress: timedelta) -> None:
        now = self._frontend.loop.clock.now()
        self._frontend.tracker.invariants.check_partial_request(
            self.number, last_progress, self._accepted_at, now
        )

    # ---- memory ---------------------------------------------------------------------------

    def _update_held(self) -> None:
        """Tell the memory budget what this connection holds; not for each of the usual small requests."""
        holds_much = (
            self._reader.in_message
            or self._waiting
            or self._stream.unsent
            or self.handled_bytes() > UNCOUNTED_BYTES
        )
        if (holds_much or self._counted) and not self._stream.closed:
            self._counted = bool(holds_much)
            handled = self.handled_bytes()
            held = handled + self.unhandled_bytes() + self.unread_bytes()
            self._frontend.memory.update(self, held, handled)

    def free_memory(self) -> None:
        """Answer the current request, refuse those behind it, and end the connection."""
        if not self.unhandled_bytes():
            self.close(CloseReason.MEMORY_NEEDED)
            return
        self._cut_short()
        self._reject_all(BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "too much memory is in use"))

    def _reject_all(self, error: BadRequestError) -> None:
        """Answer all waiting requests with an error and end the connection, which cannot be read further.

        The error must not wait behind a tracked request that is still in progress.
        """
        self._abandon()
        answer = encode_answer(error.status, f"{error}\n".encode())
        # The last answer is for the unreadable part, or for the last request completed right before it.
        earlier = len(self._waiting) + (self._current is not None) - bool(error.completed)
        self._stream.write(answer * earlier)
        self._waiting.clear()
        self._current = None
        self.refuse_bad_request(error, readable=False)

    # ---- requests -------------------------------------------------------------------------

    def _handle_next(self) -> None:
        while self._current is None and self._waiting and not self._finished:
            if self._stream.unsent > MAX_UNREAD_BYTES:
                self._paused_by_unread = True
                break
            self._current = self._waiting.popleft()
            try:
                self._handle(self._current)
            except BadRequestError as error:
                self.refuse_bad_request(error)
        if self._current is not None and self._waiting:
            self._head_of_line.watch(self._waiting)

    def _cut_short(self) -> None:
        """Answer the current request early, for the sake of those behind it."""
        if self._tracked is not None:
            self._frontend.tracker.cut_short(self._tracked)
        elif self._job_call is not None:
            self._job_call.cut_short()

    def _handle(self, request: Request) -> None:
        path = request.target.split(b"?", 1)[0]
        durable = self._frontend.durable
        if request.method == b"POST" and path == CALLBACK_PATH:
            self._frontend.callbacks.handle(request.body, lambda status: self.reply(request, status))
        elif durable is not None and durable.handles(request, path):
            if durable.jobs.handing_over:
                self.deferred = True
                return
            frontend = self._frontend
            job_call = durable.begin(
                self,
                request,
                path,
                frontend.translator,
                lambda timeout: frontend.remaining_time(timeout, request.received_at),
                frontend.job_ids.in_use,
            )
            if self._current is request:  # otherwise it is answered already
                self._job_call = job_call
        elif request.method == b"POST" and (path == JOBS_PATH or path.startswith(JOBS_PATH + b"/")):
            admit(self, request, self._frontend)
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
        """Answer a request asynchronously."""
        if self.awaits_answer_to(request):  # otherwise the client has left
            self._job_call = None
            if status == NO_ANSWER:
                self.close(CloseReason.CALLBACK_FOR_SUCCESSOR)
            else:
                self._answer(status, body, headers)

    def refuse_bad_request(self, error: BadRequestError, readable: bool = True) -> None:
        """Answer the current request with an error."""
        self._frontend.counters.bad_input += 1
        log.logger().debug("bad_input", connection=self.number, status=int(error.status), why=str(error))
        self._answer(error.status, f"{error}\n".encode(), readable=readable)
        self._frontend.slots.evict_first(self)

    # ---- answers --------------------------------------------------------------------------

    def serve(self, result: bytes) -> None:
        """Answer the job with its result."""
        self._answer(HTTPStatus.OK, result)

    def shed(self, retry_after: timedelta) -> None:
        """Answer that the job is refused, with the time to wait before a retry."""
        self.refuse(min(retry_after, self._frontend.max_retry_after))

    def refuse(self, retry_after: timedelta, keep_alive: bool = True) -> None:
        """Answer that the job is refused; the connection ends unless ``keep_alive``."""
        headers = [("Retry-After", f"{retry_after.total_seconds():.3f}")] if retry_after else []
        self._answer(HTTPStatus.SERVICE_UNAVAILABLE, headers=headers, keep_alive=keep_alive)

    def fail(self, timed_out: bool) -> None:
        """Answer that the job has failed."""
        self._answer(HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY)

    def reject(self) -> None:
        """Answer that no worker can use the request."""
        self._answer(HTTPStatus.BAD_REQUEST, b"no worker can use this request\n")
        self._frontend.slots.evict_first(self)

    def _answer(
        self,
        status: int,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        keep_alive: bool = True,
        readable: bool = True,
    ) -> None:
        """Write an answer.  The connection goes on if ``keep_alive`` is true or if more requests were read.

        It always ends if it is no longer ``readable``.
        """
        self._head_of_line.stop()
        request, self._current, self._tracked = self._current, None, None
        self._frontend.waiting.discard(self)
        if request is not None and request.method == b"HEAD":
            body = b""
        more_to_answer = bool(self._waiting) or self._reader.in_message
        keep_alive = (
            readable
            and (more_to_answer or (keep_alive and self._frontend.keeps_connections()))
            and (request is None or request.keep_alive)
        )
        self._stream.write(encode_answer(status, body, headers or (), keep_alive))
        if not keep_alive:
            self._finished = True
            self._read_timer.stop()
            self._frontend.slots.mark_ending(self)
            self._reader.close()
            self._stream.finish()
        elif self._waiting:
            self._frontend.loop.call_soon(self._handle_next)
        else:
            self._send_continue()
        self._update_held()
