"""What is out: sends, second copies, looks at what is silent, and what is learned of ends."""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.policy.load_reports import LoadReports
from carthinge.policy.outlier_ejection import OutlierEjector
from carthinge.policy.response_timeouts import GAIN, ResponseTimeouts
from carthinge.policy.slow_start import SlowStart
from carthinge.policy.worker_selection import WorkerSelector
from carthinge.records import Attempt, Job, Worker

OUTLIER: Final = 3.0  # one job may not move a learned pace by more than this ratio (heavy tails)
CAP_FLOOR: Final = 0.5
CAP_FALL: Final = 0.7
UNTROUBLED: Final = frozenset({io.Result.OK, io.Result.CANCELLED, io.Result.NOT_SENT})
HEDGE_AFTER: Final = 3.0  # times the usual time to a start: what has not begun by then waits in a queue


class Attempts:
    """From a send to its outcome."""

    def __init__(
        self, context: DispatchContext, reports: LoadReports, ejector: OutlierEjector, cold: SlowStart
    ) -> None:
        self.context, self.reports, self.ejector, self.slow_start = context, reports, ejector, cold
        self.selector, self.timeouts = WorkerSelector(context, reports, cold), ResponseTimeouts(context)

    def send(self, job: Job, worker: Worker) -> None:
        """Send a job to a worker, and watch the attempt from now on."""
        context = self.context
        start_by = job.repeat_by()
        attempt = job.sent(worker, context.now, self.timeouts.expected(worker, job))
        if self.slow_start.is_cold(worker):
            worker.cold_left -= job.work
        context.actions.append(io.Send(job.id, worker.id, start_by=start_by))
        self.attend(attempt)
        context.level.waiting += 1
        if context.settings.tells_start:
            context.after(context.now + int(HEDGE_AFTER * self.timeouts.prompt), self._waits, attempt)

    def attend(self, attempt: Attempt) -> None:
        """Looks at it again when it ought to have given a sign."""
        self.context.after(self.context.now + self.timeouts.due(attempt), self._check, attempt)

    def call_off(self, job: Job, kept: Attempt | None = None) -> None:
        """What is still out beside ``kept`` is not wanted any more."""
        if self.context.settings.may_cancel:
            self.context.actions.extend(
                io.Cancel(job.id, attempt.number)
                for attempt in job.attempts
                if attempt.open and attempt is not kept
            )

    def hear(self, event: io.Note) -> None:
        """Take a worker's note of a start or of progress."""
        if attempt := self.context.attempt(event):
            self.ejector.heard(attempt.worker)
            attempt.sign = self.context.now
            if event.begun and not attempt.begun:
                self.timeouts.begun(attempt)
                self.timeouts.started(attempt)
                wait, now = self.context.now - attempt.sent, self.context.now
                attempt.begin(now)
                self.context.began(wait)
                attempt.worker.queue.add(wait, now)
                self.context.queue.add(wait, now, GAIN)
                self.context.freed.append(attempt.worker)
                if attempt.job.open > 1 and attempt.job.hedged:
                    self.call_off(attempt.job, attempt)
                self.attend(attempt)

    def end(self, attempt: Attempt, event: io.Outcome) -> None:
        """The worker's cap falls on trouble and rises on served jobs; its pace follows what was timed."""
        job, worker, result, now = attempt.job, attempt.worker, event.result, self.context.now
        attempt.close(result)
        self.context.ended(attempt, result is io.Result.OK)
        if event.report:
            self.reports.take(worker, event.report)
        elif result is not io.Result.FULL:
            worker.free += job.slots
        if result is io.Result.OK:
            self.ejector.heard(worker)
            worker.refusals = worker.errors = 0
            self.context.budget.earn()
            (self.timeouts.ran if attempt.begun else self.timeouts.begun)(attempt)
            worker.cap += 1.0 / max(1.0, worker.cap)
            if attempt.begun or attempt.alone:
                old = worker.known_pace()
                since = attempt.begun or attempt.sent
                sample = (now - since) * self.context.warmth(worker, (since + now) // 2) / max(1.0, job.work)
                sample = min(max(sample, old / OUTLIER), old * OUTLIER)
                worker.pace = old + (sample - old) * GAIN
                worker.pool.pace += (sample - worker.pool.pace) * GAIN / 3
        elif result not in UNTROUBLED:
            worker.cap = max(CAP_FLOOR, worker.cap * CAP_FALL)
            self.ejector.failed(worker, result)
        self.context.freed.append(worker)

    def _waits(self, attempt: Attempt) -> None:
        """An attempt that has not begun waits in a queue: a copy may begin sooner elsewhere."""
        if not attempt.open or attempt.begun:
            return
        self.context.level.waited(self.context.now - attempt.sent, self.context.now)
        attempt.stand(True)  # more would wait there, out of reach of worth
        if attempt.job.hedged and not attempt.job.answered:
            attempt.alone = False  # and its delay is counted here, not again at its start
            self.timeouts.prompt *= 1 + GAIN / 2
            self._copy(attempt.job)

    def _copy(self, job: Job) -> None:
        if self.context.now < job.give_up and (
            choice := self.selector.best(job, self.selector.eligible(job))
        ):
            job.queue.deficit -= job.cost  # a copy is its tenant's to pay
            self.send(job, choice)

    def _check(self, attempt: Attempt) -> None:
        """No start, progress or answer in time: the worker may take jobs and answer none (hang)."""
        job, worker, settings = attempt.job, attempt.worker, self.context.settings
        if attempt.over():
            return
        sign = min(worker.heard_at, attempt.sign + settings.progress) if attempt.begun else worker.heard_at
        due = max(attempt.begun or attempt.sent, sign) + self.timeouts.due(attempt)
        # Its worker's signs speak for it, until its own next note should have come.
        if due > self.context.now:
            if attempt.open:
                self.context.after(due, self._check, attempt)
            return
        self.ejector.doubt(worker)
        if settings.may_copy:
            if self.context.budget.allows() and not job.answered and job.open < 2:
                self.context.budget.spend()
                self._copy(job)
        elif self.context.rationed() and not self.context.budget.allows():
            self.attend(attempt)
        elif (
            worker.strikes
            and settings.may_cancel
            and any(self.selector.may_repeat(other, job) for other in self.selector.eligible(job))
        ):
            self.context.budget.spend()
            job.silent = attempt.begun > 0  # it is called off, and its end sends the job back to its heap
            self.context.actions.append(io.Cancel(job.id, attempt.number))
