"""Model workers: cores, a queue served in order, and injected faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, Protocol

from carthinge import interface as io
from carthinge.model.tally import Tally
from carthinge.model.virtual_clock import VirtualClock
from carthinge.model.world import CancelSupport, FaultKind, WorkerKind

DELETE_TIMEOUT_US: Final = 100_000  # a withdrawal that is not answered counts as received after this time
ERROR_DELAY_US: Final = 2_000  # until a worker reports an immediate error
UNRESPONSIVE: Final = frozenset({FaultKind.HANG, FaultKind.REFUSES, FaultKind.SILENT})  # no attempt is served


class Attempt(Protocol):
    """An attempt, as its worker knows it."""

    work: int  #: actual work, which may differ from the hint
    key: int  #: the program that it needs, or 0
    due: int  #: when its client leaves
    open: bool  #: its scheduler still waits for it


class Sender(Protocol):
    """The scheduler that sent an attempt; called when a report arrives there."""

    def report_progress(self, attempt: Attempt, done: float | None) -> None:
        """Receive the start or the progress of a job."""

    def report_result(self, attempt: Attempt, result: io.Result, report: tuple[float, ...]) -> None:
        """Receive the result of a job."""


@dataclass(slots=True, eq=False)
class Task:
    """An attempt that waits or runs at its worker."""

    attempt: Attempt
    sender: Sender
    started_at: int = -1
    remaining: int = 0  # running time left, while the worker hangs
    running_time: int = 1
    generation: int = 0  # scheduled ends of earlier generations are void
    removed: bool = False


class ProgramStore:
    """The store of programs: a fetch takes at least ``min_fetch``, and all workers together fetch at most
    ``rate`` programs per microsecond; ``fetches`` counts them."""

    def __init__(self, clock: VirtualClock, min_fetch: int, rate: float) -> None:
        self._clock, self._min_fetch, self._interval = clock, min_fetch, 1 / rate
        self._free_at = 0.0
        self.fetches = self.lookups = 0

    def fetch(self) -> int:
        """Return the duration of a fetch that begins now."""
        now = self._clock.now
        self.fetches += 1
        self._free_at = max(float(now), self._free_at) + self._interval
        return max(self._min_fetch, int(self._free_at) - now)


class ModelWorker:
    """One worker.  ``delay`` draws the one-way network delay; ``cache_size`` programs are cached."""

    def __init__(
        self,
        clock: VirtualClock,
        tally: Tally,
        kind: WorkerKind,
        entry: io.WorkerEntry,
        rng: Random,
        settings: io.Settings,
        delay: Callable[[], int],
        connect_timeout: int = 250_000,
        store: ProgramStore | None = None,
        cache_size: int = 0,
    ) -> None:
        self.kind, self.entry, self.settings = kind, entry, settings
        self.speed = max(0.1 * kind.speed, rng.gauss(kind.speed, kind.speed * kind.speed_spread))
        self.fault: FaultKind | None = None
        self.severity = 1.0
        self.detected_by: set[int] = set()  # schedulers that have detected its fault
        self.restarted_at = -1  # -1 if it has not restarted
        self.outstanding = 0  # jobs running and waiting
        self.running: list[Task] = []
        self.queue: deque[Task] = deque()
        self._tasks: dict[Attempt, Task] = {}
        self._last_report: tuple[float, ...] = ()
        self._clock, self._tally, self._rng, self._delay = clock, tally, rng, delay
        self._connect_timeout = connect_timeout
        self._store, self._cache_size = store, cache_size
        self._cache: dict[int, None] = {}  # in the order of last use

    # ---- requests of schedulers -----------------------------------------------------------

    def receive_attempt(self, attempt: Attempt, sender: Sender) -> None:
        """Receive an attempt, or let it fail as the current fault requires."""
        task = Task(attempt, sender)
        if self.fault is FaultKind.SILENT:
            self._clock.call_at(
                self._clock.now + self._connect_timeout,
                sender.report_result,
                attempt,
                io.Result.CONNECT_FAILED,
                (),
            )
        elif self.fault is FaultKind.REFUSES:
            self._send_result(task, io.Result.CONNECT_FAILED)
        elif self.fault is FaultKind.ERRORS and self._rng.random() < self.severity:
            self._clock.call_at(self._clock.now + ERROR_DELAY_US, self._send_result, task, io.Result.ERROR)
        elif len(self._tasks) >= self.kind.cores + self.kind.queue:
            if self.fault is not FaultKind.HANG:
                self._send_result(task, io.Result.FULL)
        else:
            self._tasks[attempt] = task
            self.outstanding += 1
            self.queue.append(task)
            self._start()

    def withdraw(self, attempt: Attempt, sender: Sender) -> None:
        """Receive a withdrawal; its scheduler is notified as soon as the end is certain."""
        if self.fault is FaultKind.SILENT:
            return  # retried without success up to the client's deadline
        wait = DELETE_TIMEOUT_US if self.fault is FaultKind.HANG else self._delay()
        self._clock.call_at(self._clock.now + wait, sender.report_result, attempt, io.Result.CANCELLED, ())
        task = self._tasks.get(attempt)
        if task is None or self.fault is FaultKind.HANG or self.kind.cancel is CancelSupport.NONE:
            return
        if task.started_at < 0 or self.kind.cancel is CancelSupport.ALL:
            self._remove(task)
            self._start()

    def probe(self, answer: Callable[[int, io.Result, tuple[float, ...]], None]) -> None:
        """Answer a shallow health check; a worker that hangs answers it as well."""
        if self.fault is FaultKind.SILENT:
            wait, result = self._connect_timeout, io.Result.CONNECT_FAILED
        else:
            wait, result = self._delay(), io.Result.OK
            if self.fault is FaultKind.REFUSES:
                result = io.Result.CONNECT_FAILED
        report = self._last_report if result is io.Result.OK else ()
        self._clock.call_at(self._clock.now + wait, answer, self.entry.worker, result, report)

    def refresh(self, interval: int) -> None:
        """Refresh the reported number of free slots periodically."""
        self._last_report = (float(max(0, self.kind.cores - self.outstanding)),)
        self._clock.call_at(self._clock.now + interval, self.refresh, interval)

    # ---- jobs -----------------------------------------------------------------------------

    def _start(self) -> None:
        while self.fault is not FaultKind.HANG and self.queue and len(self.running) < self.kind.cores:
            task = self.queue.popleft()
            if task.removed:
                continue
            if self.kind.drops_expired and self._clock.now >= task.attempt.due:
                self._remove(task)
                continue
            now = task.started_at = self._clock.now
            task.running_time = max(1, int(task.attempt.work / self._job_speed())) + self._fetch_time(
                task.attempt.key
            )
            self.running.append(task)
            self._clock.call_at(now + task.running_time, self._finish, task, task.generation)
            if self.settings.tells_start:
                self._clock.call_at(now + self._delay(), task.sender.report_progress, task.attempt, None)
            if self.settings.progress:
                self._clock.call_at(now + self.settings.progress, self._progress, task)

    def _fetch_time(self, key: int) -> int:
        """Return the time to fetch a program, 0 if it is cached."""
        if not key or self._store is None:
            return 0
        self._store.lookups += 1
        wait = 0 if key in self._cache else self._store.fetch()
        self._cache.pop(key, None)
        self._cache[key] = None
        if len(self._cache) > self._cache_size:
            del self._cache[next(iter(self._cache))]
        return wait

    def _job_speed(self) -> float:
        """Return the work per unit of time of a job that begins now."""
        rate = self.speed * self._cold_factor()
        if self.fault is FaultKind.SLOW:
            rate /= self.severity
        excess = self.outstanding / self.kind.cores - self.kind.thrash_at
        return rate / (1.0 + self.kind.thrash * excess) if excess > 0 else rate

    def _cold_factor(self) -> float:
        if self.restarted_at < 0 or not self.settings.cold_time:
            return 1.0
        warmed_up = min(1.0, (self._clock.now - self.restarted_at) / self.settings.cold_time)
        return self.settings.cold_start_share + (1 - self.settings.cold_start_share) * warmed_up

    def _progress(self, task: Task) -> None:
        if task.removed:
            return
        now, interval = self._clock.now, self.settings.progress
        if self.fault is not FaultKind.HANG:
            done = min(1.0, (now - task.started_at) / task.running_time)
            self._clock.call_at(now + self._delay(), task.sender.report_progress, task.attempt, done)
        self._clock.call_at(now + interval, self._progress, task)

    def _finish(self, task: Task, generation: int) -> None:
        if task.removed or task.generation != generation:
            return
        wasted = not task.attempt.open
        self._remove(task, wasted)
        failed = self.kind.error_rate > 0 and self._rng.random() < self.kind.error_rate
        self._send_result(task, io.Result.ERROR if failed else io.Result.OK)
        self._start()

    def _remove(self, task: Task, wasted: bool = True) -> None:
        """Remove a waiting or running task."""
        task.removed = True
        del self._tasks[task.attempt]
        self.outstanding -= 1
        if task.started_at >= 0:
            self.running.remove(task)
            second = self._tally.second_at(self._clock.now)
            second.busy_us += self._clock.now - task.started_at
            second.wasted_us += (self._clock.now - task.started_at) * wasted

    def _send_result(self, task: Task, result: io.Result) -> None:
        report = self._last_report if self.settings.reports is not io.Reports.OFF else ()
        self._clock.call_at(
            self._clock.now + self._delay(), task.sender.report_result, task.attempt, result, report
        )

    # ---- faults ---------------------------------------------------------------------------

    def inject_fault(self, fault: FaultKind, severity: float) -> None:
        """Inject a fault that lasts until :meth:`recover`."""
        self.fault, self.severity, self.detected_by = fault, severity, set()
        if fault is FaultKind.HANG:
            for task in self.running:
                task.generation += 1
                task.remaining = max(1, task.started_at + task.running_time - self._clock.now)
        elif fault in (FaultKind.REFUSES, FaultKind.SILENT):
            for task in list(self._tasks.values()):
                self._remove(task)
                if fault is FaultKind.REFUSES:
                    self._clock.call_at(
                        self._clock.now + self._delay(),
                        task.sender.report_result,
                        task.attempt,
                        io.Result.RESET,
                        (),
                    )
            self.queue.clear()
            self._cache.clear()

    def recover(self) -> None:
        """End the fault: a worker that hung resumes its jobs, one that was dead starts cold."""
        previous, self.fault, now = self.fault, None, self._clock.now
        if previous is FaultKind.HANG:
            for task in self.running:
                task.running_time = now - task.started_at + task.remaining
                self._clock.call_at(now + task.remaining, self._finish, task, task.generation)
        elif previous in (FaultKind.REFUSES, FaultKind.SILENT):
            self.restarted_at = now
        self._start()


def draw_workers(kinds: Sequence[WorkerKind], count: int, rng: Random) -> list[WorkerKind]:
    """Assign a kind to each of ``count`` workers: shares rounded to whole numbers, in random order."""
    total, share_sum = sum(kind.share for kind in kinds), 0.0
    drawn: list[WorkerKind] = []
    for kind in kinds:
        share_sum += kind.share
        drawn += [kind] * (round(count * share_sum / total) - len(drawn))
    rng.shuffle(drawn)
    return drawn
