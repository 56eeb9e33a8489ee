"""Response timeouts: how long an attempt may be silent before its worker is suspected.

One timeout factor is learned for the time to a start and one for the run: hints may be far off, and a slow
fleet must not look like a silent one.  Times are microseconds.
"""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.records import Attempt, Job, Worker

EWMA_WEIGHT: Final = 0.1  # of a new sample in learned slowdowns and means
INITIAL_TIMEOUT_FACTOR: Final = 4.0  # of the expected response time, until one is learned
MIN_RUN_TIMEOUT_FACTOR: Final = 3.0  # of the expected run time
INITIAL_RUN_TIMEOUT_FACTOR: Final = 8.0
MAX_RUN_TIMEOUT_FACTOR: Final = 30.0
RUN_TIMEOUT_STEP: Final = 1.5  # factor by which one job that was lost or only long changes it
TARGET_LATE_SHARE: Final = 0.03  # of attempts at healthy workers that may exceed the timeout
MIN_RESPONSE_SHARE: Final = 0.25  # of the objective: no response is expected sooner
PROGRESS_TIMEOUT_FACTOR: Final = 2.5  # of the progress report interval


class ResponseTimeouts:
    """Learns one timeout factor until an attempt starts and one for its run."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context
        self.reset()

    def reset(self) -> None:
        """Forget what was learned, before jobs of unknown classes."""
        self.patience, self.run_patience = INITIAL_TIMEOUT_FACTOR, INITIAL_RUN_TIMEOUT_FACTOR
        self.prompt = self.context.mean_work / 16  # the median time from a send to its start

    def expected_response_time(self, worker: Worker, job: Job) -> float:
        """Return the expected time to the first response: the start if that is reported, else the result."""
        run = 0.0 if self.context.settings.tells_start else job.work * self.context.slowdown(worker)
        # A wait that is usual at all workers is not silence.
        unreported = self.context.settings.reports is io.Reports.OFF
        wait = self.context.start_wait.expected(self.context.now) if unreported else 0.0
        return (
            job.spec.objective * MIN_RESPONSE_SHARE
            + run
            + wait
            + worker.outstanding_work / max(1.0, worker.kind_stats.slots)
        )

    def timeout(self, attempt: Attempt) -> int:
        """Return how long after its send, start or last response an attempt may be silent."""
        progress_timeout = self.context.settings.progress * PROGRESS_TIMEOUT_FACTOR
        if not attempt.begun:  # waiting in a queue is not silence
            return int(max(attempt.expected * self.patience, progress_timeout if attempt.job.hedged else 0))
        run_time = self.context.expected_run_time(attempt)
        run_time *= (
            self.run_patience if self._worker_is_healthy(attempt, run_time) else INITIAL_TIMEOUT_FACTOR
        )
        return int(min(run_time, progress_timeout or run_time))

    def record_response(self, attempt: Attempt) -> None:
        """Move the start timeout towards the quantile that TARGET_LATE_SHARE of the attempts exceed."""
        late = self.context.now - attempt.sent > attempt.expected * self.patience
        self.patience *= (
            1 + EWMA_WEIGHT * (1 - TARGET_LATE_SHARE) if late else 1 - EWMA_WEIGHT * TARGET_LATE_SHARE
        )

    def record_start(self, attempt: Attempt) -> None:
        """Update the median time to a start, from attempts that did not queue behind others."""
        late = self.context.now - attempt.sent > self.prompt
        if attempt.alone or not late:
            self.prompt *= 1 + EWMA_WEIGHT / 2 if late else 1 - EWMA_WEIGHT / 2

    def record_run(self, attempt: Attempt) -> None:
        """Adjust the run timeout: the result shows whether a silent job was lost or only long."""
        run_time = self.context.expected_run_time(attempt)
        ratio = (self.context.now - attempt.begun) / run_time
        if ratio <= 1:
            attempt.worker.well_at = self.context.now
        if ratio > INITIAL_TIMEOUT_FACTOR and self._worker_is_healthy(attempt, run_time):
            self.run_patience = min(MAX_RUN_TIMEOUT_FACTOR, self.run_patience * RUN_TIMEOUT_STEP)
        elif attempt.job.silent and ratio < INITIAL_TIMEOUT_FACTOR / 2:
            self.run_patience = max(MIN_RUN_TIMEOUT_FACTOR, self.run_patience / RUN_TIMEOUT_STEP)

    def _worker_is_healthy(self, attempt: Attempt, run_time: float) -> bool:
        """Whether other jobs end there in time: then a silent job is long or lost, the worker not slow."""
        return attempt.worker.well_at > max(attempt.begun, self.context.now - 2 * run_time)
