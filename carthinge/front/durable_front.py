"""The clients' side of durable jobs: ``Prefer: respond-async`` (RFC 7240), and jobs asked for by name."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum, auto
from http import HTTPStatus
from typing import Final, Protocol

import msgspec

from carthinge.durable.held import Ending, Held
from carthinge.durable.jobs import DurableJobs
from carthinge.durable.limits import Shed
from carthinge.durable.records import Found, JobState
from carthinge.front.translator import JOBS, Translator, text
from carthinge.net.http import BadRequestError, Request
from carthinge.net.loop import Loop, Timer

BY_NAME: Final = b"/v1/jobs/"
BASE: Final = BY_NAME.decode()
WAIT: Final = re.compile(r"wait\s*=\s*\"?(\d{1,6})\"?")
LONGEST_WAIT: Final = timedelta(minutes=5)
JUST_IN_TIME: Final = timedelta(milliseconds=2)  # before its client leaves
STATES: Final = {state: state.name.lower().replace("_", "-") for state in JobState}
Headers = list[tuple[str, str]]


class Connection(Protocol):
    """Where a request came in."""

    def reply(self, request: Request, status: int, body: bytes, headers: Headers) -> None:
        """The one answer to it; nothing happens where its client has gone."""


class Mode(Enum):
    """What an answer waits for."""

    IN_PLACE = auto()  #: the job's end
    ASYNC = auto()  #: the job's being on disk, or its end within the time that the client gives
    WATCH = auto()  #: the same for a job that is on disk already


@dataclass(frozen=True, slots=True)
class Preference:
    """What ``Prefer`` asks for; what is not known there is passed over, as the RFC says."""

    respond_async: bool
    wait: timedelta

    @classmethod
    def of(cls, request: Request) -> Preference:
        """Read the ``Prefer`` header of a request."""
        raw = text(request.headers, b"prefer")
        if not raw:
            return NO_PREFERENCE
        asked = [part.strip() for part in raw.lower().split(",")]
        waits = [found for part in asked if (found := WAIT.fullmatch(part))]
        wait = timedelta(seconds=int(waits[0][1])) if waits else timedelta()
        return cls("respond-async" in asked, min(wait, LONGEST_WAIT))


NO_PREFERENCE: Final = Preference(False, timedelta())


class DurableFront:
    """Requests that concern durable jobs, and the ones that wait."""

    def __init__(self, loop: Loop, jobs: DurableJobs, max_retry_after: Callable[[], timedelta]) -> None:
        self.loop = loop
        self.jobs = jobs
        self.max_retry_after = max_retry_after
        self.waiting: dict[JobCall, None] = {}

    def concerns(self, request: Request, path: bytes) -> bool:
        """It is one for this front."""
        if path.startswith(BY_NAME):
            return True
        return (
            request.method == b"POST"
            and (path == JOBS or path.startswith(JOBS + b"/"))
            and text(request.headers, b"req-kind") in self.jobs.classes
        )

    def begin(
        self,
        connection: Connection,
        request: Request,
        path: bytes,
        translator: Translator,
        patience: Callable[[timedelta], timedelta],
        known: Callable[[str], bool],
    ) -> JobCall:
        """Takes a request on; BadRequestError with what is wrong with it."""
        preference = Preference.of(request)
        if not path.startswith(BY_NAME):
            job, terms = translator.read(request)
            if known(job.id) or self.jobs.known(job.id):
                raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Id: in use by another request")
            granted = patience(terms.patience)
            if granted != terms.patience:
                terms = replace(terms, patience=granted)
            mode = Mode.ASYNC if preference.respond_async else Mode.IN_PLACE
            wait = preference.wait if preference.respond_async else terms.patience - JUST_IN_TIME
            call = JobCall(self, connection, request, mode, wait)
            self.jobs.take(job, terms, request.headers.get(b"idempotency-key") or None, call)
            return call
        if request.method not in (b"GET", b"DELETE"):
            raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "only GET and DELETE here")
        name = path.removeprefix(BY_NAME).decode("latin-1")
        call = JobCall(self, connection, request, Mode.WATCH, preference.wait)
        self.jobs.ask(name, call.watch(name) if request.method == b"GET" else call.give_up(name))
        return call

    def resume(
        self, connection: Connection, request: Request, name: str, in_place: bool, wait: timedelta
    ) -> JobCall:
        """A client that another process of this scheduler had waiting for a job."""
        call = JobCall(self, connection, request, Mode.IN_PLACE if in_place else Mode.WATCH, wait)
        self.jobs.ask(name, call.watch(name))
        return call

    def resume_all(self) -> None:
        """After the store was taken back: those who wait do so again."""
        for call in list(self.waiting):
            if call.held is None and call.number:
                self.jobs.ask(call.name, call.watch(call.name))

    def let_go(self) -> None:
        """The program ends: whoever waits for a job is told where it can be asked for."""
        for call in list(self.waiting):
            call.pend()


class JobCall:
    """One request, from where it is read to its one answer.  A waiter of its job."""

    def __init__(
        self, front: DurableFront, connection: Connection, request: Request, mode: Mode, wait: timedelta
    ) -> None:
        self.held: Held | None = None
        self.number = 0  # of its job, once that is known
        self.mode = mode
        self.in_place = mode is Mode.IN_PLACE
        self.until = front.loop.clock.now() + wait
        self._front = front
        self._connection = connection
        self._request = request
        self._timer: Timer | None = None
        self._over = False
        self._asked_later = False  # after the job had ended
        front.waiting[self] = None
        if mode is Mode.IN_PLACE:
            self._timer = front.loop.call_at(self.until, self._late)

    # ---- the waiter -----------------------------------------------------------------------

    @property
    def name(self) -> str:
        """Of its job; empty while that is not known."""
        return self._front.jobs.name(self.number) if self.number else ""

    def accepted(self, number: int) -> None:
        """Answer that the job is taken on, if that is waited for."""
        self.number = number
        if self.mode is Mode.ASYNC:
            self.mode = Mode.WATCH
            self._watch()

    def ended(self, ending: Ending) -> None:
        """Answer with the job's end."""
        headers = [("Job-State", STATES[ending.state])]
        if self.number:
            headers.append(("Location", BASE + self.name))
        if ending.state is JobState.SERVED:
            if self._asked_later:
                self._front.jobs.collected(self.number)
            self._reply(HTTPStatus.OK, ending.result, headers)
        elif ending.state is JobState.REFUSED:
            self._reply(HTTPStatus.SERVICE_UNAVAILABLE, b"", headers + self._stay_away(ending.stay_away))
        elif ending.state is JobState.GIVEN_UP:
            self._reply(HTTPStatus.GONE, b"given up by its client\n", headers)
        elif ending.result:
            self._reply(HTTPStatus.BAD_REQUEST, ending.result, headers)
        else:
            late = ending.timed_out
            self._reply(HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY, b"", headers)

    def moved(self, number: int) -> None:
        """Note that another process goes on with the job."""
        self.number = number
        self.held = None

    def shed(self, why: Shed, stay_away: timedelta) -> None:
        """Answer that the job is not taken on."""
        self._reply(HTTPStatus.SERVICE_UNAVAILABLE, f"{why.value}\n".encode(), self._stay_away(stay_away))

    def mismatch(self) -> None:
        """Answer that the key belongs to another request."""
        self._reply(HTTPStatus.UNPROCESSABLE_ENTITY, b"Idempotency-Key: belongs to another request\n", [])

    # ---- asked for by name ----------------------------------------------------------------

    def watch(self, name: str) -> Callable[[Held | Found | int], None]:
        """What to do with the job of that name, once it is found."""

        def found(job: Held | Found | int) -> None:
            if self._over:
                return
            if isinstance(job, Held):
                self.number = job.accepted.number
                self._front.jobs.wait(job, self)
                self._watch()
            elif isinstance(job, Found):
                self.number, self._asked_later = job.number, True
                self.ended(Ending(job.state, job.result, job.timed_out))
            else:
                self._missing(job)

        return found

    def give_up(self, name: str) -> Callable[[Held | Found | int], None]:
        """The same for a job that its client does not want any more."""

        def found(job: Held | Found | int) -> None:
            if isinstance(job, Held):
                if not self._front.jobs.give_up(job, lambda: self._reply(HTTPStatus.NO_CONTENT, b"", [])):
                    self._reply(HTTPStatus.CONFLICT, b"the job has ended\n", [])
            elif isinstance(job, Found):
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
        known = {
            HTTPStatus.NOT_FOUND: b"no such job\n",
            HTTPStatus.GONE: b"the job is forgotten\n",
            HTTPStatus.INTERNAL_SERVER_ERROR: b"the record of the job is damaged\n",
        }
        headers = [] if status in known else self._stay_away(timedelta(seconds=1))
        self._reply(status, known.get(HTTPStatus(status), b"the store cannot be read\n"), headers)

    # ---- the answer -----------------------------------------------------------------------

    def drop(self) -> None:
        """The client has gone; the job goes on."""
        self._finish()

    def cut_short(self) -> None:
        """Its answer is due now; the job goes on."""
        if self.in_place:
            self._late()
        else:
            self.pend()

    def pend(self) -> None:
        """Answers that the job is not over yet, and where it can be asked for."""
        if self.number:
            name = self.name
            location = BASE + name
            body = msgspec.json.encode({"job": name, "state": STATES[JobState.OPEN]})
            headers = [("Location", location), ("Content-Type", "application/json"), ("Job-State", "open")]
            if self._request.method == b"POST":
                headers.append(("Preference-Applied", "respond-async"))
            self._reply(HTTPStatus.ACCEPTED, body, headers)

    def _watch(self) -> None:
        if self._over:
            return
        if self.until <= self._front.loop.clock.now() and self.mode is Mode.WATCH:
            self.pend()
        elif self._timer is None:
            self._timer = self._front.loop.call_at(self.until, self.pend)

    def _late(self) -> None:
        """Its client is about to leave.  It gets an end that is not on disk yet: its time counts for more.

        Without one it has joined a job that has more time than it has, or the job has not ended in time.
        """
        if self.held is not None and self.held.ending is not None:
            self.ended(self.held.ending)
            return
        self._reply(HTTPStatus.GATEWAY_TIMEOUT, b"", [("Location", BASE + self.name)] if self.number else [])

    def _stay_away(self, span: timedelta) -> Headers:
        away = min(span, self._front.max_retry_after())
        return [("Retry-After", f"{away.total_seconds():.3f}")] if away else []

    def _reply(self, status: int, body: bytes, headers: Headers) -> None:
        if not self._over:
            self._finish()
            self._connection.reply(self._request, status, body, headers)

    def _finish(self) -> None:
        self._over = True
        self._front.waiting.pop(self, None)
        self._front.jobs.leave(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
