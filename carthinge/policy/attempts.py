"""Attempts: sends, hedges, checks of silent attempts, and what is learned from outcomes."""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.policy.load_reports import LoadReports
from carthinge.policy.outlier_ejection import OutlierEjector
from carthinge.policy.response_timeouts import EWMA_WEIGHT, ResponseTimeouts
from carthinge.policy.slow_start import SlowStart
from carthinge.policy.worker_selection import WorkerSelector
from carthinge.records import Attempt, Job, Worker

MAX_SAMPLE_RATIO: Final = 3.0  # of a sample to the learned slowdown: run times have heavy tails
MIN_CAP_SLOTS: Final = 0.5
CAP_DECREASE_FACTOR: Final = 0.7
FAULTLESS_RESULTS: Final = frozenset({io.Result.OK, io.Result.CANCELLED, io.Result.NOT_SENT})
HEDGE_DELAY_FACTOR: Final = 3.0  # times the median time to a start; a later start means a queue


class Attempts:
    """Follows each attempt from its send to its outcome."""

    def __init__(
        self, context: DispatchContext, reports: LoadReports, ejector: OutlierEjector, slow_start: SlowStart
    ) -> None:
        self.context, self.reports, self.ejector, self.slow_start = context, reports, ejector, slow_start
        self.selector, self.timeouts = WorkerSelector(context, reports, slow_start), ResponseTimeouts(context)

    def send(self, job: Job, worker: Worker) -> None:
        """Send a job to a worker and schedule the checks of the attempt."""
        context = self.context
        start_by = job.retry_deadline()
        attempt = job.sent(worker, context.now, self.timeouts.expected_response_time(worker, job))
        if self.slow_start.is_cold(worker):
            worker.cold_left -= job.work
        context.actions.append(io.Send(job.id, worker.id, start_by=start_by))
        self.schedule_check(attempt)
        context.shedding_level.waiting += 1
        if context.settings.tells_start:
            context.call_at(
                context.now + int(HEDGE_DELAY_FACTOR * self.timeouts.prompt), self._hedge_if_queued, attempt
            )

    def schedule_check(self, attempt: Attempt) -> None:
        """Check the attempt for silence once its timeout has passed."""
        self.context.call_at(self.context.now + self.timeouts.timeout(attempt), self._check_silence, attempt)

    def cancel_attempts(self, job: Job, kept: Attempt | None = None) -> None:
        """Cancel the open attempts of a job, except ``kept``."""
        if self.context.settings.may_cancel:
            self.context.actions.extend(
                io.Cancel(job.id, attempt.number)
                for attempt in job.attempts
                if attempt.open and attempt is not kept
            )

    def handle_progress(self, event: io.ProgressReport) -> None:
        """Handle a worker's report that an attempt has started or is running."""
        if attempt := self.context.find_attempt(event):
            self.ejector.mark_responsive(attempt.worker)
            attempt.last_report_at = self.context.now
            if event.begun and not attempt.begun:
                self.timeouts.record_response(attempt)
                self.timeouts.record_start(attempt)
                wait, now = self.context.now - attempt.sent, self.context.now
                attempt.begin(now)
                self.context.attempt_started(wait)
                attempt.worker.queue.add(wait, now)
                self.context.start_wait.add(wait, now, EWMA_WEIGHT)
                self.context.freed_workers.append(attempt.worker)
                if attempt.job.open > 1 and attempt.job.hedged:
                    self.cancel_attempts(attempt.job, attempt)
                self.schedule_check(attempt)

    def handle_outcome(self, attempt: Attempt, event: io.Outcome) -> None:
        """Close an attempt and update the worker's cap (AIMD) and its learned slowdown."""
        job, worker, result, now = attempt.job, attempt.worker, event.result, self.context.now
        attempt.close(result, event.by_callback)
        self.context.attempt_ended(attempt, result is io.Result.OK)
        if event.report:
            self.reports.handle_report(worker, event.report)
        elif result is not io.Result.FULL:
            worker.free += job.slots
        if result is io.Result.OK:
            self.ejector.mark_responsive(worker)
            worker.refusals = worker.errors = 0
            self.context.retry_budget.earn()
            (self.timeouts.record_run if attempt.begun else self.timeouts.record_response)(attempt)
            worker.cap += 1.0 / max(1.0, worker.cap)
            if attempt.begun or attempt.alone:
                previous = worker.known_slowdown()
                since = attempt.begun or attempt.sent
                sample = (
                    (now - since)
                    * self.context.capacity_share(worker, (since + now) // 2)
                    / max(1.0, job.work)
                )
                sample = min(max(sample, previous / MAX_SAMPLE_RATIO), previous * MAX_SAMPLE_RATIO)
                worker.pace = previous + (sample - previous) * EWMA_WEIGHT
                worker.kind_stats.slowdown += (sample - worker.kind_stats.slowdown) * EWMA_WEIGHT / 3
        elif result not in FAULTLESS_RESULTS:
            worker.cap = max(MIN_CAP_SLOTS, worker.cap * CAP_DECREASE_FACTOR)
            self.ejector.record_failure(worker, result)
        self.context.freed_workers.append(worker)

    def _hedge_if_queued(self, attempt: Attempt) -> None:
        """Hedge an attempt that has not started: it is queued, and a copy may start sooner elsewhere."""
        if not attempt.open or attempt.begun:
            return
        self.context.shedding_level.record_wait(self.context.now - attempt.sent, self.context.now)
        attempt.set_queued(True)  # stops further sends: jobs queued at a worker cannot be ordered by worth
        if attempt.job.hedged and not attempt.job.answered:
            attempt.alone = False  # its delay is recorded here; record_start must not count it again
            self.timeouts.prompt *= 1 + EWMA_WEIGHT / 2
            self._send_copy(attempt.job)

    def _send_copy(self, job: Job) -> None:
        if self.context.now < job.give_up and (
            worker := self.selector.best(job, self.selector.eligible(job))
        ):
            job.queue.deficit -= job.cost  # the tenant is charged for the copy
            self.send(job, worker)

    def _check_silence(self, attempt: Attempt) -> None:
        """Suspect the worker if no start, progress or result came in time: it may accept jobs and hang."""
        job, worker, settings = attempt.job, attempt.worker, self.context.settings
        if attempt.is_settled():
            return
        last_response = (
            min(worker.heard_at, attempt.last_report_at + settings.progress)
            if attempt.begun
            else worker.heard_at
        )
        due = max(attempt.begun or attempt.sent, last_response) + self.timeouts.timeout(attempt)
        # Responses about other attempts at the worker count, until this one's next progress report is due.
        if due > self.context.now:
            if attempt.open:
                self.context.call_at(due, self._check_silence, attempt)
            return
        self.ejector.suspect(worker)
        if settings.may_hedge:
            if self.context.retry_budget.allows() and not job.answered and job.open < 2:
                self.context.retry_budget.spend()
                self._send_copy(job)
        elif self.context.retries_need_budget() and not self.context.retry_budget.allows():
            self.schedule_check(attempt)
        elif (
            worker.strikes
            and settings.may_cancel
            and any(self.selector.may_retry(other, job) for other in self.selector.eligible(job))
        ):
            self.context.retry_budget.spend()
            job.silent = attempt.begun > 0  # the outcome of the cancelled attempt re-queues the job
            self.context.actions.append(io.Cancel(job.id, attempt.number))
