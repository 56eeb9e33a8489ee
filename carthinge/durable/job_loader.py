"""Loading of open jobs from the store after a start, in batches."""

from __future__ import annotations

import gc
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Final

from carthinge.durable.attempt_leases import AttemptLeases
from carthinge.durable.durable_job import DurableJob, Ending, JobRecorder
from carthinge.durable.errors import StoreError
from carthinge.durable.job_index import JobIndex
from carthinge.durable.records import Accepted, AttemptState, JobState, OpenJobs, StoredJob
from carthinge.durable.recovery import RecoveryQueue
from carthinge.durable.writer import Writer
from carthinge.net import log
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Terms

LOAD_BATCH_JOBS: Final = 500  # per turn of the loop


class JobLoader:
    """Loads the open jobs of a store and readmits them; defers calls that need all of them."""

    def __init__(
        self,
        jobs: JobRecorder,
        loop: Loop,
        tracker: RequestTracker,
        index: JobIndex,
        attempt_leases: AttemptLeases,
        per_s: float,
        path: Path,
        terms_of: Callable[[Accepted, timedelta], Terms | None],
    ) -> None:
        """``per_s``: maximum rate of readmission; ``terms_of``: as in ``DurableJobs``."""
        self.loaded = False  #: whether all open jobs have been read
        self.recovered = 0  #: number of jobs read
        self.damaged: set[int] = set()  #: numbers of jobs whose records cannot be read
        self.recovery_queue: RecoveryQueue[DurableJob] = RecoveryQueue(per_s)
        self._jobs = jobs
        self._loop = loop
        self._tracker = tracker
        self._index = index
        self._attempt_leases = attempt_leases
        self._path = path
        self._terms_of = terms_of
        self._writer: Writer | None = None
        self._deferred: list[Callable[[], None]] = []

    def begin(self, writer: Writer) -> None:
        """Start to load the open jobs of a store that was just opened."""
        gc.disable()  # until all is loaded: else each collection would traverse the loaded jobs, for 0.2 s
        self._writer = writer
        self.loaded = False
        self.recovered = 0
        self.damaged.clear()
        self._load(0)

    def stop(self) -> None:
        """Stop loading and readmitting: the store is being closed."""
        self._writer = None
        self.loaded = False
        gc.enable()

    def defer(self, call: Callable[[], None]) -> None:
        """Defer ``call`` until all open jobs are loaded."""
        self._deferred.append(call)

    def _load(self, after: int) -> None:
        writer = self._writer
        if writer is not None:
            writer.read_store(
                lambda store: store.open_jobs(after, LOAD_BATCH_JOBS),
                lambda found: self._handle_batch(found) if self._writer is writer else None,
            )

    def _handle_batch(self, found: object) -> None:
        if isinstance(found, StoreError):
            # Jobs that cannot be read cannot be answered, and no more may be added to such a store.
            log.logger().error("store_unreadable", why=str(found))
            raise found
        assert isinstance(found, OpenJobs)
        for stored in found.jobs:
            self._recover(stored)
        for number in found.damaged:  # left as it is for repair; other jobs are served
            self.damaged.add(number)
            log.logger().error("job_damaged", job=f"{number:x}", path=str(self._path))
        if found.last:
            self._load(found.last)
        else:
            self._finish()

    def _finish(self) -> None:
        self.loaded = True
        gc.enable()
        log.logger().info("store_loaded", jobs=self.recovered, path=str(self._path))
        deferred, self._deferred = self._deferred, []
        for call in deferred:
            call()
        self._readmit_due()

    def _recover(self, stored: StoredJob) -> None:
        accepted = stored.accepted
        durable_job = DurableJob(self._jobs, accepted, on_disk=True, stored_attempts=stored.attempts)
        durable_job.last_token = max((attempt.token for attempt in stored.attempts), default=0)
        self.recovered += 1
        self._index.add(durable_job)
        if any(attempt.state is AttemptState.ACTIVE for attempt in stored.attempts):
            self._restore(durable_job)
        else:
            self.recovery_queue.add(durable_job, accepted.deadline * MICROSECOND)

    def _readmit_due(self) -> None:
        now = self._loop.clock.now()
        for durable_job in self.recovery_queue.pop_due(now):
            self._restore(durable_job)
        due = self.recovery_queue.next_due(now)
        if due is not None:
            self._loop.call_at(due, self._readmit_due)

    def _restore(self, durable_job: DurableJob) -> None:
        """Pass a job to the tracker, with its earlier attempts."""
        accepted = durable_job.accepted
        time_left = accepted.deadline * MICROSECOND - self._loop.now
        terms = self._terms_of(accepted, time_left)
        if terms is None:
            self._jobs.end(durable_job, Ending(JobState.FAILED, b"its class or tenant is no longer served\n"))
            return
        stored, durable_job.stored_attempts = durable_job.stored_attempts, []
        durable_job.tracked = self._tracker.restore(
            durable_job.job(),
            terms,
            durable_job,
            durable_job,
            [self._attempt_leases.convert(attempt) for attempt in stored],
        )
        for attempt, stored_attempt in zip(durable_job.tracked.attempts, stored, strict=True):
            if attempt.open and stored_attempt.until:
                self._attempt_leases.resume(attempt)
