"""What is out: sends, second copies, looks at what is silent, and what is learned of ends."""

from typing import Final

from carthinge import interface as io
from carthinge.desk import Desk
from carthinge.policy.health import ColdBudget, Doubts
from carthinge.policy.news import Reports
from carthinge.policy.pick import Pick
from carthinge.records import Attempt, Job, Worker

GAIN: Final = 0.1  # weight of a new sample in learned paces and means
OUTLIER: Final = 3.0  # one job may not move a learned pace by more than this ratio (heavy tails)
CAP_FLOOR: Final = 0.5
CAP_FALL: Final = 0.7
UNTROUBLED: Final = frozenset({io.Result.OK, io.Result.CANCELLED, io.Result.MOOT})
HEDGE_AFTER: Final = 3.0  # times the usual time to a start: what has not begun by then waits in a queue
PATIENCE_START: Final = 4.0  # of the expected time to a sign, until a better one is learned
RUN_PATIENCE: Final = (3.0, 8.0, 30.0)  # times a run's span: the least, at the start, the most
RUN_LESSON: Final = 1.5  # by how much one job that was lost, or only long, changes it
PATIENCE_SHARE: Final = 0.03  # of attempts on well workers that may outlast the learned patience
SIGN_LEAST: Final = 0.25  # of the objective: no sign is expected sooner
NOTE_PATIENCE: Final = 2.5  # of the interval of progress notes


class Signs:
    """One patience until an attempt begins, and one for its run."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.begin_anew()

    def begin_anew(self) -> None:
        """Nothing is known yet of the jobs that come."""
        self.patience, self.run_patience = PATIENCE_START, RUN_PATIENCE[1]
        self.prompt = self.desk.mean_work / 16  # the median time from a send to its start

    def expected(self, worker: Worker, job: Job) -> float:
        """Time to the first sign of an attempt: its start where that is told, else its answer."""
        run = 0.0 if self.desk.settings.tells_start else job.work * self.desk.pace(worker)
        blind = self.desk.settings.reports is io.Reports.OFF  # what is usual at all workers is not silence
        seen = self.desk.queue.left(self.desk.now) if blind else 0.0
        return job.spec.objective * SIGN_LEAST + run + seen + worker.work_out / max(1.0, worker.pool.slots)

    def due(self, attempt: Attempt) -> int:
        """How long from its send, its start or its last sign it is waited for."""
        notes = self.desk.settings.progress * NOTE_PATIENCE
        if not attempt.begun:  # a queue is not silence
            return int(max(attempt.expected * self.patience, notes if attempt.job.hedged else 0))
        span = self.desk.span(attempt)
        span *= self.run_patience if self._runs_well(attempt, span) else PATIENCE_START
        return int(min(span, notes or span))

    def begun(self, attempt: Attempt) -> None:
        """A running quantile: hints may be far off, and slowness everywhere must not look like silence."""
        late = self.desk.now - attempt.sent > attempt.expected * self.patience
        self.patience *= 1 + GAIN * (1 - PATIENCE_SHARE) if late else 1 - GAIN * PATIENCE_SHARE

    def started(self, attempt: Attempt) -> None:
        """The time to a start, of those that did not wait for others there."""
        late = self.desk.now - attempt.sent > self.prompt
        if attempt.alone or not late:
            self.prompt *= 1 + GAIN / 2 if late else 1 - GAIN / 2

    def ran(self, attempt: Attempt) -> None:
        """Whether jobs that were silent at well workers are lost or only long shows when they end."""
        span = self.desk.span(attempt)
        spans = (self.desk.now - attempt.begun) / span
        least, _, most = RUN_PATIENCE
        if spans <= 1:
            attempt.worker.well_at = self.desk.now
        if spans > PATIENCE_START and self._runs_well(attempt, span):
            self.run_patience = min(most, self.run_patience * RUN_LESSON)
        elif attempt.job.silent and spans < PATIENCE_START / 2:
            self.run_patience = max(least, self.run_patience / RUN_LESSON)

    def _runs_well(self, attempt: Attempt, span: float) -> bool:
        """Others end there as they should: one that is silent is long or lost, and its worker not slow."""
        return attempt.worker.well_at > max(attempt.begun, self.desk.now - 2 * span)


class Attempts:
    """From a send to its outcome."""

    def __init__(self, desk: Desk, reports: Reports, doubts: Doubts, cold: ColdBudget) -> None:
        self.desk, self.reports, self.doubts, self.cold = desk, reports, doubts, cold
        self.pick, self.signs = Pick(desk, reports, cold), Signs(desk)

    def send(self, job: Job, worker: Worker) -> None:
        desk = self.desk
        start_by = job.repeat_by()
        attempt = job.sent(worker, desk.now, self.signs.expected(worker, job))
        if self.cold.is_cold(worker):
            worker.cold_left -= job.work
        desk.actions.append(io.Send(job.id, worker.id, start_by=start_by))
        self.attend(attempt)
        desk.level.waiting += 1
        if desk.settings.tells_start:
            desk.after(desk.now + int(HEDGE_AFTER * self.signs.prompt), self._waits, attempt)

    def attend(self, attempt: Attempt) -> None:
        """Looks at it again when it ought to have given a sign."""
        self.desk.after(self.desk.now + self.signs.due(attempt), self._check, attempt)

    def call_off(self, job: Job, kept: Attempt | None = None) -> None:
        """What is still out beside ``kept`` is not wanted any more."""
        if self.desk.settings.may_cancel:
            self.desk.actions.extend(
                io.Cancel(job.id, attempt.number)
                for attempt in job.attempts
                if attempt.open and attempt is not kept
            )

    def hear(self, event: io.Note) -> None:
        if attempt := self.desk.attempt(event):
            self.doubts.heard(attempt.worker)
            attempt.sign = self.desk.now
            if event.begun and not attempt.begun:
                self.signs.begun(attempt)
                self.signs.started(attempt)
                wait, now = self.desk.now - attempt.sent, self.desk.now
                attempt.begin(now)
                self.desk.began(wait)
                attempt.worker.queue.add(wait, now)
                self.desk.queue.add(wait, now, GAIN)
                self.desk.freed.append(attempt.worker)
                if attempt.job.open > 1 and attempt.job.hedged:
                    self.call_off(attempt.job, attempt)
                self.attend(attempt)

    def end(self, attempt: Attempt, event: io.Outcome) -> None:
        """The worker's cap falls on trouble and rises on served jobs; its pace follows what was timed."""
        job, worker, result, now = attempt.job, attempt.worker, event.result, self.desk.now
        attempt.close(result)
        self.desk.ended(attempt, result is io.Result.OK)
        if event.report:
            self.reports.take(worker, event.report)
        elif result is not io.Result.FULL:
            worker.free += job.slots
        if result is io.Result.OK:
            self.doubts.heard(worker)
            worker.refusals = worker.errors = 0
            self.desk.budget.earn()
            (self.signs.ran if attempt.begun else self.signs.begun)(attempt)
            worker.cap += 1.0 / max(1.0, worker.cap)
            if attempt.begun or attempt.alone:
                old = worker.known_pace()
                since = attempt.begun or attempt.sent
                sample = (now - since) * self.desk.warmth(worker, (since + now) // 2) / max(1.0, job.work)
                sample = min(max(sample, old / OUTLIER), old * OUTLIER)
                worker.pace = old + (sample - old) * GAIN
                worker.pool.pace += (sample - worker.pool.pace) * GAIN / 3
        elif result not in UNTROUBLED:
            worker.cap = max(CAP_FLOOR, worker.cap * CAP_FALL)
            self.doubts.failed(worker, result)
        self.desk.freed.append(worker)

    def _waits(self, attempt: Attempt) -> None:
        """An attempt that has not begun waits in a queue: a copy may begin sooner elsewhere."""
        if not attempt.open or attempt.begun:
            return
        self.desk.level.waited(self.desk.now - attempt.sent, self.desk.now)
        attempt.stand(True)  # more would wait there, out of reach of worth
        if attempt.job.hedged and not attempt.job.answered:
            attempt.alone = False  # and its delay is counted here, not again at its start
            self.signs.prompt *= 1 + GAIN / 2
            self._copy(attempt.job)

    def _copy(self, job: Job) -> None:
        if self.desk.now < job.give_up and (choice := self.pick.best(job, self.pick.eligible(job))):
            job.queue.deficit -= job.cost  # a copy is its tenant's to pay
            self.send(job, choice)

    def _check(self, attempt: Attempt) -> None:
        """No start, progress or answer in time: the worker may take jobs and answer none (hang)."""
        job, worker, settings = attempt.job, attempt.worker, self.desk.settings
        if attempt.over():
            return
        sign = min(worker.heard_at, attempt.sign + settings.progress) if attempt.begun else worker.heard_at
        due = max(attempt.begun or attempt.sent, sign) + self.signs.due(attempt)
        if due > self.desk.now:  # its worker's signs speak for it, until its own next note should have come
            if attempt.open:
                self.desk.after(due, self._check, attempt)
            return
        self.doubts.doubt(worker)
        if settings.may_copy:
            if self.desk.budget.allows() and not job.answered and job.open < 2:
                self.desk.budget.spend()
                self._copy(job)
        elif self.desk.rationed() and not self.desk.budget.allows():
            self.attend(attempt)
        elif (
            worker.strikes
            and settings.may_cancel
            and any(self.pick.may_repeat(other, job) for other in self.pick.eligible(job))
        ):
            self.desk.budget.spend()
            job.silent = attempt.begun > 0  # it is called off, and its end sends the job back to its heap
            self.desk.actions.append(io.Cancel(job.id, attempt.number))
