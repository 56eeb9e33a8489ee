"""Who is owed what, what workers were given, and what was found broken: the judge of a run."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

LATE = 0.5  # seconds after its time: by then an answer is lost
GONE = 0.1  # seconds after its client has left: by then no attempt may begin
TOLD = 0.15  # seconds more than its client has left may be told to a worker
OWED_END = 3.0  # seconds, to a client that says nothing or stops in the middle of a request
RULE_SLACK = 0.05  # seconds, of each limit in time
HEARD = 6.0  # seconds after discovery had a change and could be reached: by then it counts as told
LAG_KEPT = 2.0  # seconds, for which this process's own slowness excuses what it has measured
IN_ORDER = 0.02  # seconds: what two connections bring in an order is read in it by then
TURNS_READ = 3  # of this process's loop, from an answer's arrival to its being judged
TURNS_ARRIVED = 8  # the same of a request, perhaps on a new connection: accept, task, first byte, head, body
MOMENT = 0.05  # seconds around a kill in which what this process has written may not have got there


@dataclass
class Asked:
    """A request, from its last byte on."""

    id: str
    kind: str
    node: int
    patience: float
    began: float = 0.0  # its client began to connect, or to write on a kept connection
    sent: float = 0.0
    left: float | None = None  # its client closed the connection then
    unread: bool = False  # its connection ended without an answer: it must not be sent on any more
    forwarded: float | None = None
    durable: bool = False


@dataclass
class Job:
    """What the workers know of a request."""

    out: dict[int, int] = field(
        default_factory=dict
    )  # attempts neither ended nor given up, and their workers
    may_have_run: dict[int, float] = field(default_factory=dict)  # attempts, and when they began
    attempts: int = 0


class Ledger:
    """All times are those of the monotonic clock."""

    def __init__(self, plan):
        self.plan = plan
        self.findings = []
        self.asked = {}
        self.jobs = {}
        self.answers = {}  # how many of each status
        self.classes = {spec["name"]: spec for spec in plan.settings["services"]}
        self.may_hedge = plan.settings["caps"]["second_copies"]
        self.grace = plan.settings["rules"]["drain_grace"] / 1e6
        self._lags = deque()
        self._felt = time.monotonic()
        self.slowest = 0.0  # turn of this process's loop

    def found(self, text):
        self.findings.append(f"{time.monotonic():.3f} {text}")

    # ---- this process's own slowness --------------------------------------------------------

    async def feel_lag(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.005)
            self._felt = now = time.monotonic()
            self._lags.append((now, now - began - 0.005))
            self.slowest = max(self.slowest, now - began - 0.005)
            while self._lags[0][0] < now - LAG_KEPT:
                self._lags.popleft()

    def slowness(self, turns):
        since = time.monotonic() - self._felt  # it may be slow just now, and not have felt that yet
        return turns * max([lag for _, lag in self._lags] + [since])

    @property
    def lag(self):
        """What is measured at a client may be too late by."""
        return self.slowness(TURNS_READ)

    @property
    def arrival_lag(self):
        """What is measured at a worker may be too late by."""
        return self.slowness(TURNS_ARRIVED)

    # ---- workers ----------------------------------------------------------------------------

    def attempt(self, req_id, worker, told, began):
        """An attempt has come whole to a worker; returns its number."""
        asked, now = self.asked.get(req_id), time.monotonic()
        if asked is None:
            self.found(f"{req_id}: an id that no client sent")
            return 0
        job = self.jobs.setdefault(req_id, Job())
        asked.forwarded = asked.forwarded or now
        spec = self.classes[asked.kind]
        unsafe = spec["effect"] == "non_idempotent"
        if asked.unread:
            self.found(f"{req_id}: sent on after its connection had ended unanswered")
        if asked.left is not None and not asked.durable and began > asked.left + GONE + self.arrival_lag:
            self.found(f"{req_id}: begins {began - asked.left:.3f} s after its client left")
        if (
            not asked.durable
            and asked.sent
            and told > max(asked.sent + asked.patience - now, 0) + TOLD + self.arrival_lag
        ):
            self.found(f"{req_id}: told {told:.3f} s, left {asked.sent + asked.patience - now:.3f} s")
        if worker in job.out.values() or (job.out and (unsafe or not self.may_hedge)):
            beside = set(job.out)
            loop = asyncio.get_running_loop()
            loop.call_later(IN_ORDER + self.arrival_lag, self.check_copy, req_id, worker, beside)
        if job.may_have_run and unsafe:
            self.found(f"{req_id}: unsafe, and sent again to worker {worker} after it may have run")
        if job.may_have_run and spec["effect"] == "idempotency_key" and not asked.durable:
            first = min(job.may_have_run.values())
            if began > first + spec["window"] / 1e6 + RULE_SLACK + self.arrival_lag:
                self.found(f"{req_id}: a keyed repeat {began - first:.3f} s after the first")
        job.attempts += 1
        job.out[job.attempts] = worker
        job.may_have_run[job.attempts] = began
        return job.attempts

    def check_copy(self, req_id, worker, beside):
        """Two connections are read in any order: an end that came before the attempt has been read by now."""
        out = self.jobs[req_id].out
        still = [out[attempt] for attempt in beside if attempt in out]
        if still:
            self.found(f"{req_id}: a second attempt at worker {worker} beside {still}")

    def ended(self, req_id, attempt, ran=True):
        """An attempt has ended at its worker, or was given up there."""
        job = self.jobs.get(req_id)
        if job is not None:
            job.out.pop(attempt, None)
            if not ran:
                job.may_have_run.pop(attempt, None)

    def given_up(self, req_id, worker):
        """Whatever a worker has of a request is not wanted there any more."""
        job = self.jobs.get(req_id)
        if job is not None:
            job.out = {attempt: at for attempt, at in job.out.items() if at != worker}

    def is_out(self, req_id, attempt):
        return attempt in self.jobs[req_id].out

    def node_lost(self, node):
        """A process has died: what it held is gone with it, and the next one may know nothing of that."""
        for req_id, asked in self.asked.items():
            if asked.node == node and not asked.durable and req_id in self.jobs:
                self.jobs[req_id].out.clear()

    # ---- clients ----------------------------------------------------------------------------

    def answered(self, asked, status, body):
        self.answers[status] = self.answers.get(status, 0) + 1
        if status == 200:
            if body != f"of {asked.id}".encode():
                self.found(f"{asked.id}: 200 with {body[:60]!r}, which no worker made for it")
        elif status in (429, 503):
            unsafe = self.classes[asked.kind]["effect"] == "non_idempotent"
            job = self.jobs.get(asked.id)
            if unsafe and job is not None and job.may_have_run:
                self.found(f"{asked.id}: refused, though it may have run")
        elif status not in (502, 504):
            self.found(f"{asked.id}: {status} {body[:80]!r}")

    def late(self, asked, now):
        return asked.sent + asked.patience + LATE + self.lag < now
