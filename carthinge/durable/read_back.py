"""Open jobs that are read back from the store after a start, a part of them at a time."""

from __future__ import annotations

import gc
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Final

from carthinge.durable.attempt_leases import AttemptLeases
from carthinge.durable.errors import StoreError
from carthinge.durable.held import Ending, Held, HeldBy
from carthinge.durable.records import Accepted, AttemptState, JobState, OpenJobs, StoredJob
from carthinge.durable.recovery import Entrance
from carthinge.durable.register import Register
from carthinge.durable.writer import Writer
from carthinge.net import log
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Terms

LOADED_AT_ONCE: Final = 500  # jobs, between two turns of the loop


class ReadBack:
    """Has the jobs of a store enter the tracker again; what needs all of them waits until then."""

    def __init__(
        self,
        jobs: HeldBy,
        loop: Loop,
        tracker: RequestTracker,
        register: Register,
        attempt_leases: AttemptLeases,
        per_s: float,
        path: Path,
        terms_of: Callable[[Accepted, timedelta], Terms | None],
    ) -> None:
        """``per_s``: how many jobs a second may enter; ``terms_of``: as for the jobs themselves."""
        self.loaded = False  #: all of them have been read
        self.recovered = 0  #: so many
        self.damaged: set[int] = set()  #: numbers of those whose records cannot be read
        self.entrance: Entrance[Held] = Entrance(per_s)
        self._jobs = jobs
        self._loop = loop
        self._tracker = tracker
        self._register = register
        self._tenure = attempt_leases
        self._path = path
        self._terms_of = terms_of
        self._writer: Writer | None = None
        self._deferred: list[Callable[[], None]] = []

    def begin(self, writer: Writer) -> None:
        """Reads the jobs of a store that was just opened."""
        gc.disable()  # until all is read back: it would go through that again and again, for 0.2 s each
        self._writer = writer
        self.loaded = False
        self.recovered = 0
        self.damaged.clear()
        self._load(0)

    def stop(self) -> None:
        """The store is given up; nothing more enters from it."""
        self._writer = None
        self.loaded = False
        gc.enable()

    def defer(self, call: Callable[[], None]) -> None:
        """``call`` is made once all jobs are known."""
        self._deferred.append(call)

    def _load(self, after: int) -> None:
        writer = self._writer
        if writer is not None:
            writer.ask(
                lambda store: store.open_jobs(after, LOADED_AT_ONCE),
                lambda found: self._take(found) if self._writer is writer else None,
            )

    def _take(self, found: object) -> None:
        if isinstance(found, StoreError):
            # What cannot be read cannot be answered, and more must not be put on top of it.
            log.logger().error("store_unreadable", why=str(found))
            raise found
        assert isinstance(found, OpenJobs)
        for stored in found.jobs:
            self._recover(stored)
        for number in found.damaged:  # it stays as it is for whoever mends it, and harms no other
            self.damaged.add(number)
            log.logger().error("job_damaged", job=f"{number:x}", path=str(self._path))
        if found.last:
            self._load(found.last)
        else:
            self._end()

    def _end(self) -> None:
        self.loaded = True
        gc.enable()
        log.logger().info("store_loaded", jobs=self.recovered, path=str(self._path))
        deferred, self._deferred = self._deferred, []
        for call in deferred:
            call()
        self._enter()

    def _recover(self, stored: StoredJob) -> None:
        accepted = stored.accepted
        held = Held(self._jobs, accepted, on_disk=True, restored=stored.attempts)
        held.last_token = max((sent.token for sent in stored.attempts), default=0)
        self.recovered += 1
        self._register.enter(held)
        if any(sent.state is AttemptState.OUT for sent in stored.attempts):
            self._restore(held)
        else:
            self.entrance.park(held, accepted.give_up * MICROSECOND)

    def _enter(self) -> None:
        now = self._loop.clock.now()
        for held in self.entrance.enter(now):
            self._restore(held)
        due = self.entrance.due(now)
        if due is not None:
            self._loop.call_at(due, self._enter)

    def _restore(self, held: Held) -> None:
        """The tracker takes it on, with the attempts that it has had."""
        accepted = held.accepted
        left = accepted.give_up * MICROSECOND - self._loop.now
        terms = self._terms_of(accepted, left)
        if terms is None:
            self._jobs.end(held, Ending(JobState.FAILED, b"its class or tenant is no longer served\n"))
            return
        stored, held.restored = held.restored, []
        held.tracked = self._tracker.restore(
            held.job(), terms, held, held, [self._tenure.read_back(attempt) for attempt in stored]
        )
        for attempt, known in zip(held.tracked.attempts, stored, strict=True):
            if attempt.open and known.until:
                self._tenure.resume(attempt)
