"""Records the requests, attempts and answers of a run, and checks its invariants on them."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

MAX_ANSWER_DELAY = 0.5  # seconds after the deadline, from which on an answer counts as missing
GONE_MARGIN = 0.1  # seconds after the client left, from which on no attempt may begin
DEADLINE_MARGIN = 0.15  # seconds by which a worker's deadline may exceed the client's remaining time
SILENT_CLIENT_LIMIT = 3.0  # seconds until a client silent before or in a request gets an error or a close
TIME_TOLERANCE = 0.05  # seconds of tolerance on each time limit
DISCOVERY_DELAY = 6.0  # seconds until a change at a reachable discovery counts as known
LAG_WINDOW = 2.0  # seconds for which a lag of this process extends the limits
REORDER_WINDOW = 0.02  # seconds within which messages on two connections may be read out of order
ANSWER_TURNS = 3  # turns of this process's loop from an answer's arrival to its check
ARRIVAL_TURNS = 8  # the same for a request on a new connection: accept, task, first byte, head, body
KILL_UNCERTAINTY = 0.05  # seconds around a kill in which what was sent may not have arrived


@dataclass
class Request:
    """A request and what has become of it."""

    id: str
    kind: str
    node: int
    timeout: float
    began: float = 0.0  # the client began to connect, or to write on an idle connection
    sent: float = 0.0
    left: float | None = None  # when the client closed the connection
    unread: bool = False  # the connection ended without an answer: no attempt may follow
    forwarded: float | None = None
    durable: bool = False


@dataclass
class Job:
    """The attempts of a request at its workers."""

    # Workers of the attempts that have neither ended nor been withdrawn, by attempt.
    open_attempts: dict[int, int] = field(default_factory=dict)
    may_have_run: dict[int, float] = field(default_factory=dict)  # start times by attempt
    attempts: int = 0


class Ledger:
    """All times are on the monotonic clock."""

    def __init__(self, plan):
        self.plan = plan
        self.findings = []
        self.requests = {}
        self.jobs = {}
        self.answers = {}  # counts by status
        self.classes = {spec["name"]: spec for spec in plan.settings["services"]}
        self.may_hedge = plan.settings["caps"]["second_copies"]
        self.grace = plan.settings["rules"]["drain_grace"] / 1e6
        self._lags = deque()
        self._lag_measured_at = time.monotonic()
        self.peak_mb = 0.0  # of any process
        self.slowest = 0.0  # turn of this process's loop

    def report(self, text):
        self.findings.append(f"{time.monotonic():.3f} {text}")

    # ---- lag of this process -----------------------------------------------------------------

    async def measure_lag(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.005)
            self._lag_measured_at = now = time.monotonic()
            self._lags.append((now, now - began - 0.005))
            self.slowest = max(self.slowest, now - began - 0.005)
            while self._lags[0][0] < now - LAG_WINDOW:
                self._lags.popleft()

    def measured_lag(self, turns):
        since = time.monotonic() - self._lag_measured_at  # a lag in progress is not recorded yet
        return turns * max([lag for _, lag in self._lags] + [since])

    @property
    def lag(self):
        """Return by how much a time measured at a client may be too late."""
        return self.measured_lag(ANSWER_TURNS)

    @property
    def arrival_lag(self):
        """Return by how much a time measured at a worker may be too late."""
        return self.measured_lag(ARRIVAL_TURNS)

    # ---- workers ----------------------------------------------------------------------------

    def record_attempt(self, req_id, worker, remaining, began):
        """Record an attempt that a worker has read, and check it; return its number."""
        request, now = self.requests.get(req_id), time.monotonic()
        if request is None:
            self.report(f"{req_id}: an id that no client sent")
            return 0
        job = self.jobs.setdefault(req_id, Job())
        request.forwarded = request.forwarded or now
        spec = self.classes[request.kind]
        unsafe = spec["effect"] == "non_idempotent"
        if request.unread:
            self.report(f"{req_id}: forwarded after its connection had ended unanswered")
        if (
            request.left is not None
            and not request.durable
            and began > request.left + GONE_MARGIN + self.arrival_lag
        ):
            self.report(f"{req_id}: begins {began - request.left:.3f} s after its client left")
        if (
            not request.durable
            and request.sent
            and remaining > max(request.sent + request.timeout - now, 0) + DEADLINE_MARGIN + self.arrival_lag
        ):
            self.report(
                f"{req_id}: worker got {remaining:.3f} s of {request.sent + request.timeout - now:.3f} s left"
            )
        if worker in job.open_attempts.values() or (job.open_attempts and (unsafe or not self.may_hedge)):
            others = set(job.open_attempts)
            loop = asyncio.get_running_loop()
            loop.call_later(REORDER_WINDOW + self.arrival_lag, self.check_hedge, req_id, worker, others)
        if job.may_have_run and unsafe:
            self.report(f"{req_id}: unsafe, and sent again to worker {worker} after it may have run")
        if job.may_have_run and spec["effect"] == "idempotency_key" and not request.durable:
            first = min(job.may_have_run.values())
            if began > first + spec["window"] / 1e6 + TIME_TOLERANCE + self.arrival_lag:
                self.report(f"{req_id}: a keyed retry {began - first:.3f} s after the first")
        job.attempts += 1
        job.open_attempts[job.attempts] = worker
        job.may_have_run[job.attempts] = began
        return job.attempts

    def check_hedge(self, req_id, worker, others):
        """Report a second attempt beside an open one.

        Connections are read in any order; by now an end that came before the attempt has been read.
        """
        open_attempts = self.jobs[req_id].open_attempts
        still_open = [open_attempts[attempt] for attempt in others if attempt in open_attempts]
        if still_open:
            self.report(f"{req_id}: a second attempt at worker {worker} beside {still_open}")

    def attempt_ended(self, req_id, attempt, ran=True):
        """Record that an attempt has ended at its worker or was withdrawn there."""
        job = self.jobs.get(req_id)
        if job is not None:
            job.open_attempts.pop(attempt, None)
            if not ran:
                job.may_have_run.pop(attempt, None)

    def attempts_withdrawn(self, req_id, worker):
        """Record that a worker's attempts of a request are withdrawn."""
        job = self.jobs.get(req_id)
        if job is not None:
            job.open_attempts = {attempt: at for attempt, at in job.open_attempts.items() if at != worker}

    def is_open(self, req_id, attempt):
        return attempt in self.jobs[req_id].open_attempts

    def node_lost(self, node):
        """Forget the open attempts of a process that has died: the next one may not know of them."""
        for req_id, request in self.requests.items():
            if request.node == node and not request.durable and req_id in self.jobs:
                self.jobs[req_id].open_attempts.clear()

    # ---- clients ----------------------------------------------------------------------------

    def record_answer(self, request, status, body):
        self.answers[status] = self.answers.get(status, 0) + 1
        if status == 200:
            if body != f"of {request.id}".encode():
                self.report(f"{request.id}: 200 with {body[:60]!r}, which no worker made for it")
        elif status in (429, 503):
            unsafe = self.classes[request.kind]["effect"] == "non_idempotent"
            job = self.jobs.get(request.id)
            if unsafe and job is not None and job.may_have_run:
                self.report(f"{request.id}: refused, though it may have run")
        elif status not in (502, 504):
            self.report(f"{request.id}: {status} {body[:80]!r}")

    def is_late(self, request, now):
        return request.sent + request.timeout + MAX_ANSWER_DELAY + self.lag < now
