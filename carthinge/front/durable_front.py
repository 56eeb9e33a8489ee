"""HTTP interface of durable jobs: ``Prefer: respond-async`` (RFC 7240), and requests for a job by name."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum, auto
from http import HTTPStatus
from typing import Final, Protocol

import msgspec

from carthinge.durable.durable_job import DurableJob, Ending
from carthinge.durable.jobs import DurableJobs
from carthinge.durable.limits import ShedReason
from carthinge.durable.records import FoundJob, JobState
from carthinge.front.translator import JOBS_PATH, Translator, header_text
from carthinge.net import log
from carthinge.net.http import BadRequestError, Request
from carthinge.net.loop import Loop, Timer

JOB_PATH_PREFIX: Final = b"/v1/jobs/"
JOB_LOCATION: Final = JOB_PATH_PREFIX.decode()
WAIT_PREFERENCE: Final = re.compile(r"wait\s*=\s*\"?(\d{1,6})\"?")
MAX_WAIT: Final = timedelta(minutes=5)
TIMEOUT_MARGIN: Final = timedelta(milliseconds=2)  # before the client stops waiting
STATE_NAMES: Final = {state: state.name.lower().replace("_", "-") for state in JobState}
Headers = list[tuple[str, str]]


class Connection(Protocol):
    """The connection of a request."""

    number: int  #: of the connection, as the log names it

    def reply(self, request: Request, status: int, body: bytes, headers: Headers) -> None:
        """Write the only answer to a request; does nothing if the client has gone."""


class Mode(Enum):
    """What an answer waits for."""

    IN_PLACE = auto()  #: the job's end
    ASYNC = auto()  #: the job to be on disk, or to end within the client's wait
    WATCH = auto()  #: the same, for a job that is already on disk


@dataclass(frozen=True, slots=True)
class Preference:
    """The ``Prefer`` header; unknown preferences are ignored, as the RFC says."""

    respond_async: bool
    wait: timedelta

    @classmethod
    def of(cls, request: Request) -> Preference:
        """Read the ``Prefer`` header of a request."""
        raw = header_text(request.headers, b"prefer")
        if not raw:
            return NO_PREFERENCE
        preferences = [part.strip() for part in raw.lower().split(",")]
        waits = [match for part in preferences if (match := WAIT_PREFERENCE.fullmatch(part))]
        wait = timedelta(seconds=int(waits[0][1])) if waits else timedelta()
        return cls("respond-async" in preferences, min(wait, MAX_WAIT))


NO_PREFERENCE: Final = Preference(False, timedelta())


class DurableFront:
    """Handles requests for durable jobs, and keeps those that wait."""

    def __init__(self, loop: Loop, jobs: DurableJobs, max_retry_after: Callable[[], timedelta]) -> None:
        self.loop = loop
        self.jobs = jobs
        self.max_retry_after = max_retry_after
        self.waiting: dict[JobCall, None] = {}

    def handles(self, request: Request, path: bytes) -> bool:
        """Whether a request concerns durable jobs."""
        if path.startswith(JOB_PATH_PREFIX):
            return True
        return (
            request.method == b"POST"
            and (path == JOBS_PATH or path.startswith(JOBS_PATH + b"/"))
            and header_text(request.headers, b"req-kind") in self.jobs.classes
        )

    def begin(
        self,
        connection: Connection,
        request: Request,
        path: bytes,
        translator: Translator,
        remaining_time: Callable[[timedelta], timedelta],
        known: Callable[[str], bool],
    ) -> JobCall:
        """Start handling a request; raises BadRequestError if it is invalid."""
        preference = Preference.of(request)
        if not path.startswith(JOB_PATH_PREFIX):
            job, terms = translator.read(request)
            if known(job.id) or self.jobs.has_request(job.id):
                raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Id: in use by another request")
            remaining = remaining_time(terms.timeout)
            if remaining != terms.timeout:
                terms = replace(terms, timeout=remaining)
            mode = Mode.ASYNC if preference.respond_async else Mode.IN_PLACE
            wait = preference.wait if preference.respond_async else terms.timeout - TIMEOUT_MARGIN
            call = JobCall(self, connection, request, mode, wait)
            self.jobs.submit(job, terms, request.headers.get(b"idempotency-key") or None, call)
            return call
        if request.method not in (b"GET", b"DELETE"):
            raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "only GET and DELETE here")
        name = path.removeprefix(JOB_PATH_PREFIX).decode("latin-1")
        call = JobCall(self, connection, request, Mode.WATCH, preference.wait)
        self.jobs.look_up(name, call.watch(name) if request.method == b"GET" else call.give_up(name))
        return call

    def resume(
        self, connection: Connection, request: Request, name: str, in_place: bool, wait: timedelta
    ) -> JobCall:
        """Go on with a client that waited for a job at another process of this scheduler."""
        call = JobCall(self, connection, request, Mode.IN_PLACE if in_place else Mode.WATCH, wait)
        self.jobs.look_up(name, call.watch(name))
        return call

    def resume_all(self) -> None:
        """Look up the jobs of all waiting clients again, after the store was taken back."""
        for call in list(self.waiting):
            if call.durable_job is None and call.number:
                self.jobs.look_up(call.name, call.watch(call.name))

    def answer_all_pending(self) -> None:
        """Answer all waiting clients with the location of their job, as the program ends."""
        for call in list(self.waiting):
            call.answer_pending()


class JobCall:
    """A request for a durable job until its answer.  Implements the job's ``Waiter`` protocol."""

    def __init__(
        self, front: DurableFront, connection: Connection, request: Request, mode: Mode, wait: timedelta
    ) -> None:
        self.durable_job: DurableJob | None = None
        self.number = 0  # of its job; 0 until known
        self.mode = mode
        self.in_place = mode is Mode.IN_PLACE
        self.until = front.loop.clock.now() + wait
        self._front = front
        self._connection = connection
        self._request = request
        self._timer: Timer | None = None
        self._finished = False
        self._asked_after_end = False  # the request came after the job's end
        front.waiting[self] = None
        if mode is Mode.IN_PLACE:
            self._timer = front.loop.call_at(self.until, self._timed_out)

    # ---- the waiter -----------------------------------------------------------------------

    @property
    def name(self) -> str:
        """The name of its job; empty while that is unknown."""
        return self._front.jobs.name(self.number) if self.number else ""

    def accepted(self, number: int) -> None:
        """Note that the job is on disk, which an asynchronous request waits for."""
        self.number = number
        if self.mode is Mode.ASYNC:
            self.mode = Mode.WATCH
            self._wait_or_answer()

    def ended(self, ending: Ending) -> None:
        """Answer with the outcome of the job."""
        headers = [("Job-State", STATE_NAMES[ending.state])]
        if self.number:
            headers.append(("Location", JOB_LOCATION + self.name))
        if ending.state is JobState.SERVED:
            if self._asked_after_end:
                self._front.jobs.mark_collected(self.number)
            self._reply(HTTPStatus.OK, ending.result, headers)
        elif ending.state is JobState.REFUSED:
            self._reply(
                HTTPStatus.SERVICE_UNAVAILABLE, b"", headers + self._retry_after_header(ending.retry_after)
            )
        elif ending.state is JobState.GIVEN_UP:
            self._reply(HTTPStatus.GONE, b"given up by its client\n", headers)
        elif ending.result:
            self._reply(HTTPStatus.BAD_REQUEST, ending.result, headers)
        else:
            timed_out = ending.timed_out
            self._reply(HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY, b"", headers)

    def handed_over(self, number: int) -> None:
        """Detach from the job, with which another process goes on."""
        self.number = number
        self.durable_job = None

    def shed(self, why: ShedReason, retry_after: timedelta) -> None:
        """Answer that the job is not accepted."""
        self._reply(
            HTTPStatus.SERVICE_UNAVAILABLE, f"{why.value}\n".encode(), self._retry_after_header(retry_after)
        )

    def key_mismatch(self) -> None:
        """Answer that the key belongs to another request."""
        self._reply(HTTPStatus.UNPROCESSABLE_ENTITY, b"Idempotency-Key: belongs to another request\n", [])

    # ---- requests for a job by name -------------------------------------------------------

    def watch(self, name: str) -> Callable[[DurableJob | FoundJob | int], None]:
        """Return a function that handles the result of the lookup of that name, to wait for the job."""

        def found(job: DurableJob | FoundJob | int) -> None:
            if self._finished:
                return
            if isinstance(job, DurableJob):
                self.number = job.accepted.number
                self._front.jobs.add_waiter(job, self)
                self._wait_or_answer()
            elif isinstance(job, FoundJob):
                self.number, self._asked_after_end = job.number, True
                self.ended(Ending(job.state, job.result, job.timed_out))
            else:
                self._missing(job)

        return found

    def give_up(self, name: str) -> Callable[[DurableJob | FoundJob | int], None]:
        """Return a function that handles the result of the lookup, to give the job up."""

        def found(job: DurableJob | FoundJob | int) -> None:
            if isinstance(job, DurableJob):
                if not self._front.jobs.give_up(job, lambda: self._reply(HTTPStatus.NO_CONTENT, b"", [])):
                    self._reply(HTTPStatus.CONFLICT, b"the job has ended\n", [])
            elif isinstance(job, FoundJob):
                given_up = job.state is JobState.GIVEN_UP
                self._reply(
                    HTTPStatus.NO_CONTENT if given_up else HTTPStatus.CONFLICT,
                    b"" if given_up else b"the job has ended\n",
                    [],
                )
            else:
                self._missing(job)

        return found

    def _missing(self, status: int) -> None:
        texts = {
            HTTPStatus.NOT_FOUND: b"no such job\n",
            HTTPStatus.GONE: b"the job is forgotten\n",
            HTTPStatus.INTERNAL_SERVER_ERROR: b"the record of the job is damaged\n",
        }
        headers = [] if status in texts else self._retry_after_header(timedelta(seconds=1))
        self._reply(status, texts.get(HTTPStatus(status), b"the store cannot be read\n"), headers)

    # ---- the answer -----------------------------------------------------------------------

    def detach(self) -> None:
        """Stop waiting, as the client has gone; the job goes on."""
        self._finish()

    def cut_short(self) -> None:
        """Answer now, before the job has ended; the job goes on."""
        if self.in_place:
            self._timed_out()
        else:
            self.answer_pending()

    def answer_pending(self) -> None:
        """Answer that the job is still open, with its location."""
        if self.number:
            name = self.name
            location = JOB_LOCATION + name
            body = msgspec.json.encode({"job": name, "state": STATE_NAMES[JobState.OPEN]})
            headers = [("Location", location), ("Content-Type", "application/json"), ("Job-State", "open")]
            if self._request.method == b"POST":
                headers.append(("Preference-Applied", "respond-async"))
            self._reply(HTTPStatus.ACCEPTED, body, headers)

    def _wait_or_answer(self) -> None:
        if self._finished:
            return
        if self.until <= self._front.loop.clock.now() and self.mode is Mode.WATCH:
            self.answer_pending()
        elif self._timer is None:
            self._timer = self._front.loop.call_at(self.until, self.answer_pending)

    def _timed_out(self) -> None:
        """Answer before the client's deadline, even with an outcome that is not on disk yet.

        An answer in time matters more than that.  There is no outcome if the job did not end in time, or if
        the request joined a job with a later deadline.
        """
        if self.durable_job is not None and self.durable_job.ending is not None:
            self.ended(self.durable_job.ending)
            return
        self._reply(
            HTTPStatus.GATEWAY_TIMEOUT, b"", [("Location", JOB_LOCATION + self.name)] if self.number else []
        )

    def _retry_after_header(self, wait: timedelta) -> Headers:
        retry_after = min(wait, self._front.max_retry_after())
        return [("Retry-After", f"{retry_after.total_seconds():.3f}")] if retry_after else []

    def _reply(self, status: int, body: bytes, headers: Headers) -> None:
        if not self._finished:
            self._finish()
            log.logger().debug(
                "durable_request_answered",
                connection=self._connection.number,
                job=f"{self.number:x}",
                status=int(status),
            )
            self._connection.reply(self._request, status, body, headers)

    def _finish(self) -> None:
        self._finished = True
        self._front.waiting.pop(self, None)
        self._front.jobs.remove_waiter(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
