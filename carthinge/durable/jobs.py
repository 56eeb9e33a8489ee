"""The durable jobs of a running scheduler: between the fronts, the tracker and the store.

A job is taken on once its record is on disk; only then does the tracker, and with it the decision module,
hear of it.  An attempt is sent once its grant is on disk.  An end is told (to clients, and to the worker that
called back) once it is on disk.  So whatever anybody outside has seen is there after a crash.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Final

from carthinge import interface as io
from carthinge.durable.admission import Admission
from carthinge.durable.attempt_leases import AttemptLeases
from carthinge.durable.held import Ending, Held, Waiter
from carthinge.durable.job_names import job_name, job_number
from carthinge.durable.limits import Limits
from carthinge.durable.read_back import ReadBack
from carthinge.durable.records import (
    Accepted,
    Collected,
    Ended,
    Found,
    JobState,
)
from carthinge.durable.register import Register
from carthinge.durable.store import Store, Time
from carthinge.durable.writer import Writer
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, READ, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt, Job, Terms
from carthinge.net.worker_directory import WorkerEndpoint
from carthinge.operator_file import Options

EPOCH_BITS: Final = 31  # of a number that counts within one opening of the store


class DurableJobs:
    """All durable jobs of this scheduler, and the store they are in."""

    def __init__(
        self,
        loop: Loop,
        tracker: RequestTracker,
        options: Options,
        boot: str,
        terms_of: Callable[[Accepted, timedelta], Terms | None],
        entry_of: Callable[[int], io.WorkerEntry],
        target_of: Callable[[str, Address], WorkerEndpoint],
    ) -> None:
        """``terms_of``: a stored job's class and tenant by the settings of now, None where they are gone."""
        durable = options.durable
        self.loop = loop
        self.classes = frozenset(durable.classes)
        self.limits = Limits(
            durable.max_open,
            durable.max_open_per_tenant,
            durable.max_open_bytes,
            durable.max_store_bytes,
            durable.max_backlog,
        )
        self.register = Register(self.limits)
        self.attempt_leases = AttemptLeases(
            loop, options.leases.duration, entry_of, target_of, tracker.expire
        )
        self.late_results = self.stale_calls = 0
        self.writer: Writer | None = None
        self._tracker = tracker
        self._admission = Admission(self, loop, tracker, self.limits, self.register, terms_of)
        self._options = durable
        self._boot = boot
        self._store = Store(Path(durable.folder), durable.max_store_bytes)
        self.reading = ReadBack(
            self,
            loop,
            tracker,
            self.register,
            self.attempt_leases,
            durable.recover_per_s,
            self._store.path,
            terms_of,
        )
        self._postponed: list[Callable[[], None]] = []  # what came up while the store was to leave
        self._count = 0
        self.leaving = False  #: another process is to have the store, or has it
        self._stopped = False

    @property
    def loaded(self) -> bool:
        """All open jobs are known."""
        return self.reading.loaded

    # ---- start and end --------------------------------------------------------------------

    def open(self) -> None:
        """Takes the store; StoreError where that cannot be had.  Open jobs follow turn by turn."""
        self._store.open(self.time())
        self.leaving = self._stopped = False
        self._count = 0
        self.writer = Writer(self._store, self.time, lambda sock, call: self.loop.register(sock, READ, call))
        self.reading.begin(self.writer)

    def close(self, patience: timedelta = timedelta(seconds=5)) -> bool:
        """Writes down what has come up and lets go of the store; False where the disk would not take it."""
        writer, self.writer = self.writer, None
        if writer is None:
            return True
        self._stopped = True
        self.reading.stop()
        whole = writer.stop(patience)
        writer.deliver()
        self.loop.forget(writer.wake_in)
        writer.close()
        if writer.stopped:  # else its thread has the store still; that ends with the process
            self._store.close()
        return whole

    def forget_all(self) -> None:
        """What is open goes on from the store, here or elsewhere; those who wait know its name."""
        for held in list(self.register.by_number.values()):
            for waiter in held.waiters:
                waiter.moved(held.accepted.number)
            if held.tracked is not None:
                self._tracker.give_away(held.tracked)
            self.register.drop(held)
            self.reading.entrance.drop(held)
        self.attempt_leases.clear()
        self._postponed.clear()

    def under_way(self, busy: Callable[[Attempt], bool]) -> bool:
        """Something is on its way to a worker, or is about to be."""
        return any(
            (attempt.held_back and attempt.token) or busy(attempt)
            for held in self.register.by_number.values()
            if held.tracked is not None
            for attempt in held.tracked.out()
        )

    def known(self, req_id: str) -> bool:
        """A durable job of that request is open here."""
        return req_id in self.register.by_req

    def figures(self) -> dict[str, object]:
        """For the operators, as of now."""
        writer = self.writer
        return {
            "open": self.limits.open,
            "open_bytes": self.limits.bytes,
            "waiting_to_enter": len(self.reading.entrance),
            "leases": len(self.attempt_leases.leases),
            "leases_expired": self.attempt_leases.expired,
            "late_results": self.late_results,
            "stale_calls": self.stale_calls,
            "recovered": self.reading.recovered,
            "loaded": self.loaded,
            "damaged": len(self.reading.damaged),
            "shed": self._admission.shed_for,
            "failing": bool(writer and writer.failing),
            "failures": writer.failures if writer else 0,
            "backlog": writer.backlog if writer else 0,
            "commits": writer.commits if writer else 0,
            "store_bytes": writer.usage.bytes_used if writer else 0,
            "store_bytes_free": writer.usage.bytes_free if writer else 0,
        }

    def time(self) -> Time:
        """For the store; also called from its thread."""
        clock = self.loop.clock
        return Time(clock.now() // MICROSECOND, clock.wall() // MICROSECOND, self._boot)

    def name(self, number: int) -> str:
        """What clients know the job of that number by."""
        return job_name(number, self._store.secret)

    def next(self) -> int:
        """A number that no job and no attempt of this store ever had: openings are counted on disk."""
        self._count += 1
        assert self._count < 1 << EPOCH_BITS
        return self._store.epoch << EPOCH_BITS | self._count

    # ---- taking jobs on -------------------------------------------------------------------

    def take(self, job: Job, terms: Terms, key: bytes | None, waiter: Waiter) -> None:
        """A whole request for a durable job; ``waiter`` hears what becomes of it."""
        if not self.loaded:  # whether its key is known cannot be told yet
            arrived = self.loop.now
            self.reading.defer(lambda: self._admission.take(job, terms, key, waiter, arrived))
        else:
            self._admission.take(job, terms, key, waiter, self.loop.now)

    # ---- asking for jobs ------------------------------------------------------------------

    def ask(self, name: str, done: Callable[[Held | Found | int], None]) -> None:
        """The job of that name, open or ended; else 404 where there never was one, 410 once it is forgotten,
        and 503 where that cannot be told just now."""
        if not self.loaded:
            self.reading.defer(lambda: self.ask(name, done))
            return
        number = job_number(name, self._store.secret)
        if number is None:
            done(HTTPStatus.NOT_FOUND)
        elif number in self.reading.damaged:
            done(HTTPStatus.INTERNAL_SERVER_ERROR)
        elif (held := self.register.by_number.get(number)) is not None and held.on_disk:
            done(held)
        elif self.writer is None:
            done(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.writer.ask(lambda store: store.find(number), lambda found: done(_asked(found)))

    def wait(self, held: Held, waiter: Waiter) -> None:
        """``waiter`` hears of its end."""
        if held.told and held.ending is not None:
            waiter.ended(held.ending)
        else:
            held.add(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Its client has gone, or waits no more.  The job goes on."""
        if waiter.held is not None and waiter in waiter.held.waiters:
            waiter.held.waiters.remove(waiter)
        waiter.held = None

    def give_up(self, held: Held, done: Callable[[], None]) -> bool:
        """Its client does not want it any more; ``done`` once that is on disk.  False where it has ended."""
        if held.ending is not None:
            return False
        held.calls.append(lambda _: done())
        tracked = held.tracked
        self.end(held, Ending(JobState.GIVEN_UP))
        if tracked is not None:
            self._tracker.abandon(tracked)
        return True

    def collected(self, number: int) -> None:
        """A client has had the result: it need not be kept as long."""
        if self.writer is not None:
            until = self.loop.clock.now() + self._options.keep_collected
            self.writer.write(Collected(number, until // MICROSECOND), soon=False)

    # ---- the tracker's side ------------------------------------------------------------------

    def grant(self, held: Held, attempt: Attempt, go: Callable[[], None]) -> None:
        """Record that an attempt is about to be sent; call ``go`` once that is on disk."""
        if self.leaving:
            self.postpone(lambda: self.grant(held, attempt, go) if attempt.open else None)
        elif self.writer is not None:
            attempt.token = held.last_token = self.next()
            self.attempt_leases.grant(
                self.writer, held.accepted.number, attempt, lambda _: None if self._stopped else go()
            )

    def postpone(self, call: Callable[[], None]) -> None:
        """While the store is to leave: another process goes on with its jobs, or this one if that fails."""
        self._postponed.append(call)

    def stay(self) -> None:
        """The store stays here after all: what came up meanwhile is carried out."""
        self.leaving = False
        postponed, self._postponed = self._postponed, []
        for call in postponed:
            call()

    def renew(self, attempt: Attempt, begun: bool) -> None:
        """Extend an attempt's lease after a sign of its worker."""
        self.attempt_leases.renew(self.writer, attempt, begun)

    def attempt_ended(self, held: Held, attempt: Attempt, result: io.Result) -> None:
        """Record the end of an attempt, and whose result counts."""
        if result is io.Result.OK and held.ending is None:  # of two copies the first to end has the result
            held.winner = attempt.token
        self.attempt_leases.end(self.writer, attempt, result)

    # ---- call-backs -----------------------------------------------------------------------

    def acknowledge(self, held: Held, done: Callable[[int], None]) -> None:
        """The worker is told that its call has come once what follows from it is on disk."""
        if held.ending is not None:
            held.calls.append(done)
        else:
            done(HTTPStatus.NO_CONTENT)

    def unmatched(self, req_id: str, token: int, result: bytes | None, done: Callable[[int], None]) -> None:
        """A call-back whose token is not that of an attempt that is out; ``result`` where it brings one.

        It is taken only from whoever had the job last, while nobody has it since; and acknowledged again
        where it is on disk already.
        """
        held = self.register.by_req.get(req_id)
        if held is None:
            self._known_already(token, done)
        elif held.ending is not None and held.winner == token:
            held.calls.append(done)
        elif result is not None and held.ending is None and held.last_token == token and not held.out():
            self.late_results += 1
            held.winner = token
            held.calls.append(done)
            if held.tracked is not None:
                self._tracker.serve_late(held.tracked, result)
            else:
                held.serve(result)
        else:
            self.stale_calls += 1
            done(HTTPStatus.CONFLICT)

    def _known_already(self, token: int, done: Callable[[int], None]) -> None:
        def answer(found: object) -> None:
            ours = isinstance(found, Found) and found.state is JobState.SERVED and found.token == token
            self.stale_calls += not ours
            done(HTTPStatus.NO_CONTENT if ours else HTTPStatus.CONFLICT)

        if self.writer is None:
            done(HTTPStatus.CONFLICT)
        else:
            self.writer.ask(lambda store: store.find_by_token(token), answer)

    def when_loaded(self, call: Callable[[], None]) -> bool:
        """Makes the call once all open jobs are known; False where they are, and the call is not made."""
        if not self.loaded and not self.leaving:
            self.reading.defer(call)
            return True
        return False

    # ---- ends -----------------------------------------------------------------------------

    def end(self, held: Held, ending: Ending) -> None:
        """Writes it down, and tells whoever waits once that is done; who has no time left asks before."""
        if held.ending is not None:
            return
        held.ending = ending
        self.reading.entrance.drop(held)
        now = self.loop.now
        waited_for = held.waiters and ending.state is JobState.SERVED
        keep = self._options.keep_collected if waited_for else self._options.keep_results
        if self.writer is not None:
            self.writer.write(
                Ended(
                    held.accepted.number,
                    ending.state,
                    ending.result,
                    held.winner,
                    now // MICROSECOND,
                    (now + keep) // MICROSECOND,
                    ending.timed_out,
                ),
                partial(self._ended, held),
            )

    def _ended(self, held: Held, _: Found | None) -> None:
        self._tell(held)
        self.register.drop(held)
        calls, held.calls = held.calls, []
        for call in calls:
            call(HTTPStatus.NO_CONTENT)

    def _tell(self, held: Held) -> None:
        ending = held.ending
        if not held.told and ending is not None:
            held.told = True
            waiters, held.waiters = held.waiters, []
            for waiter in waiters:
                waiter.ended(ending)


def _asked(found: object) -> Found | int:
    if isinstance(found, Found):
        return found
    return HTTPStatus.GONE if found is None else HTTPStatus.SERVICE_UNAVAILABLE
