"""Durable jobs on their way in: joined to an open one of their key, shed, or taken on when on disk."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from heapq import heappop, heappush
from typing import Final, Protocol

from carthinge.durable import records
from carthinge.durable.held import Ending, Held, HeldBy, Waiter
from carthinge.durable.job_names import key_digest, request_digest
from carthinge.durable.limits import Limits, Shed
from carthinge.durable.records import Accepted, Found, JobState
from carthinge.durable.register import Register
from carthinge.durable.writer import Writer
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Job, Terms

ACCEPTED_WITHIN: Final = timedelta(seconds=1)  # else a job is shed: its client must not wait for a sick disk
ACCEPTED_SHARE: Final = 0.5  # of its client's time, if that is less
LONGEST_HINT: Final = timedelta(days=365)  # what is written down of an absurd one has to fit
STAY_AWAY: Final = timedelta(seconds=1)  # after a refusal for want of disk or room


class Jobs(HeldBy, Protocol):
    """Whom jobs belong to once they are taken on."""

    writer: Writer | None
    leaving: bool  #: another process is to have the store, or has it

    def next(self) -> int:
        """A number that no job and no attempt of this store ever had."""

    def postpone(self, call: Callable[[], None]) -> None:
        """While the store is to leave: ``call`` is made if it stays."""


class Admission:
    """Takes durable jobs on."""

    def __init__(
        self,
        jobs: Jobs,
        loop: Loop,
        tracker: RequestTracker,
        limits: Limits,
        register: Register,
        terms_of: Callable[[Accepted, timedelta], Terms | None],
    ) -> None:
        self.shed_for: dict[str, int] = dict.fromkeys((why.name.lower() for why in Shed), 0)
        self._jobs = jobs
        self._loop = loop
        self._tracker = tracker
        self._limits = limits
        self._register = register
        self._terms_of = terms_of
        self._accepting: list[tuple[timedelta, int, Held]] = []  # a heap: until when, number, job
        self._accept_timer: Timer | None = None

    def take(self, job: Job, terms: Terms, key: bytes | None, waiter: Waiter, arrived: timedelta) -> None:
        """A whole request that came at ``arrived``; ``waiter`` hears what becomes of it."""
        digest = request_digest(job.subject, job.body)
        named = key_digest(terms.tenant_name, terms.class_name, key) if key is not None else None
        other = self._register.by_key.get(named) if named is not None else None
        if other is not None and not (other.ending and other.ending.state is JobState.REFUSED):
            self._join(other, digest, waiter)
            return
        writer = self._jobs.writer
        why = (
            Shed.FAILING
            if writer is None or self._jobs.leaving
            else self._limits.refusal(
                terms.tenant_name,
                len(job.body),
                writer.backlog,
                writer.usage.bytes_used,
                bool(writer.failing),
            )
        )
        if why is not None or writer is None:
            self._shed(waiter, why or Shed.FAILING)
            return
        hint = None if terms.hint is None else min(terms.hint, LONGEST_HINT) // MICROSECOND
        accepted = Accepted(
            self._jobs.next(),
            job.id,
            terms.tenant_name,
            terms.class_name,
            named,
            digest,
            job.subject,
            job.body,
            job.headers,
            records.Terms(terms.key, hint, terms.slots, terms.memory),
            arrived // MICROSECOND,
            (arrived + terms.patience) // MICROSECOND,
        )
        held = Held(self._jobs, accepted)
        held.add(waiter)
        self._register.enter(held)
        now = self._loop.now
        until = now + min(ACCEPTED_WITHIN, ACCEPTED_SHARE * (arrived + terms.patience - now))
        heappush(self._accepting, (until, accepted.number, held))
        if self._accept_timer is None or self._accepting[0][2] is held:
            if self._accept_timer is not None:
                self._accept_timer.cancel()
            self._accept_timer = self._loop.call_at(until, self._check_accepted)
        writer.write(accepted, partial(self._on_disk, held))

    def _on_disk(self, held: Held, found: Found | None) -> None:
        accepted, held.on_disk = held.accepted, True
        if found is not None:  # its key is another's
            self._register.drop(held)
            for waiter in held.waiters:
                self._found(found, accepted.digest, waiter)
            return
        if held.ending is not None:  # shed meanwhile
            return
        if self._jobs.leaving:
            self._jobs.postpone(partial(self._on_disk, held, None))
            return
        terms = self._terms_of(accepted, accepted.give_up * MICROSECOND - self._loop.now)
        if terms is None:
            held.reject()
            return
        held.tracked = self._tracker.take(held.job(), terms, held, held)
        for waiter in list(held.waiters):
            waiter.accepted(accepted.number)

    def _check_accepted(self) -> None:
        """One timer for all that wait for the disk: there are many, and nearly all are on disk by then."""
        self._accept_timer = None
        while self._accepting and self._accepting[0][0] <= self._loop.now:
            held = heappop(self._accepting)[2]
            if not held.on_disk and held.ending is None:
                self._not_accepted(held)
        if self._accepting:
            self._accept_timer = self._loop.call_at(self._accepting[0][0], self._check_accepted)

    def _not_accepted(self, held: Held) -> None:
        """The disk has not taken it in time.  Should it get there yet, it must not be run."""
        held.accepted.cancelled = True
        waiters, held.waiters = held.waiters, []
        for waiter in waiters:
            self._shed(waiter, Shed.BACKLOG)
        self._jobs.end(held, Ending(JobState.REFUSED))

    def _shed(self, waiter: Waiter, why: Shed) -> None:
        self.shed_for[why.name.lower()] += 1
        waiter.shed(why, STAY_AWAY)

    def _join(self, held: Held, digest: bytes, waiter: Waiter) -> None:
        if held.accepted.digest != digest:
            waiter.mismatch()
        elif held.told and held.ending is not None:
            waiter.ended(held.ending)
        else:
            held.add(waiter)
            if held.on_disk:
                waiter.accepted(held.accepted.number)

    def _found(self, found: Found, digest: bytes, waiter: Waiter) -> None:
        """The job with that key was here before, and has ended."""
        if found.digest != digest:
            waiter.mismatch()
        elif found.state is JobState.OPEN:
            held = self._register.by_number.get(found.number)
            if held is not None and held.ending is None:
                self._join(held, digest, waiter)
            else:  # it is being refused just now
                self._shed(waiter, Shed.BACKLOG)
        else:
            waiter.accepted(found.number)
            waiter.ended(Ending(found.state, found.result, found.timed_out))
