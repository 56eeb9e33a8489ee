"""Response timeouts: how long an attempt is waited for before its worker counts as silent.

One running quantile of the time to a start, and one of a run beyond its expected span: hints may be far off,
and slowness everywhere must not look like silence.  Times are microseconds.
"""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.records import Attempt, Job, Worker

GAIN: Final = 0.1  # weight of a new sample in learned paces and means
PATIENCE_START: Final = 4.0  # of the expected time to a sign, until a better one is learned
RUN_PATIENCE_LEAST: Final = 3.0  # times a run's span
RUN_PATIENCE_START: Final = 8.0
RUN_PATIENCE_MOST: Final = 30.0
RUN_LESSON: Final = 1.5  # by how much one job that was lost, or only long, changes it
PATIENCE_SHARE: Final = 0.03  # of attempts on well workers that may outlast the learned patience
SIGN_LEAST: Final = 0.25  # of the objective: no sign is expected sooner
NOTE_PATIENCE: Final = 2.5  # of the interval of progress notes


class ResponseTimeouts:
    """One patience until an attempt begins, and one for its run."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context
        self.begin_anew()

    def begin_anew(self) -> None:
        """Nothing is known yet of the jobs that come."""
        self.patience, self.run_patience = PATIENCE_START, RUN_PATIENCE_START
        self.prompt = self.context.mean_work / 16  # the median time from a send to its start

    def expected(self, worker: Worker, job: Job) -> float:
        """Time to the first sign of an attempt: its start where that is told, else its answer."""
        run = 0.0 if self.context.settings.tells_start else job.work * self.context.pace(worker)
        blind = self.context.settings.reports is io.Reports.OFF  # what is usual at all workers is not silence
        seen = self.context.queue.left(self.context.now) if blind else 0.0
        return job.spec.objective * SIGN_LEAST + run + seen + worker.work_out / max(1.0, worker.pool.slots)

    def due(self, attempt: Attempt) -> int:
        """How long from its send, its start or its last sign it is waited for."""
        notes = self.context.settings.progress * NOTE_PATIENCE
        if not attempt.begun:  # a queue is not silence
            return int(max(attempt.expected * self.patience, notes if attempt.job.hedged else 0))
        span = self.context.span(attempt)
        span *= self.run_patience if self._runs_well(attempt, span) else PATIENCE_START
        return int(min(span, notes or span))

    def begun(self, attempt: Attempt) -> None:
        """A running quantile: hints may be far off, and slowness everywhere must not look like silence."""
        late = self.context.now - attempt.sent > attempt.expected * self.patience
        self.patience *= 1 + GAIN * (1 - PATIENCE_SHARE) if late else 1 - GAIN * PATIENCE_SHARE

    def started(self, attempt: Attempt) -> None:
        """The time to a start, of those that did not wait for others there."""
        late = self.context.now - attempt.sent > self.prompt
        if attempt.alone or not late:
            self.prompt *= 1 + GAIN / 2 if late else 1 - GAIN / 2

    def ran(self, attempt: Attempt) -> None:
        """Whether jobs that were silent at well workers are lost or only long shows when they end."""
        span = self.context.span(attempt)
        spans = (self.context.now - attempt.begun) / span
        if spans <= 1:
            attempt.worker.well_at = self.context.now
        if spans > PATIENCE_START and self._runs_well(attempt, span):
            self.run_patience = min(RUN_PATIENCE_MOST, self.run_patience * RUN_LESSON)
        elif attempt.job.silent and spans < PATIENCE_START / 2:
            self.run_patience = max(RUN_PATIENCE_LEAST, self.run_patience / RUN_LESSON)

    def _runs_well(self, attempt: Attempt, span: float) -> bool:
        """Others end there as they should: one that is silent is long or lost, and its worker not slow."""
        return attempt.worker.well_at > max(attempt.begun, self.context.now - 2 * span)
