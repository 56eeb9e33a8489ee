"""The real program's tracker around the module, in the place of the model's scheduler and in its time."""

from datetime import timedelta

from carthinge import interface as io
from carthinge.model.agenda import micros
from carthinge.net import request_tracker as real
from carthinge.net.counters import Counters
from carthinge.net.loop import Timer


class VirtualLoop:
    """The loop as the tracker knows it, in the model's time."""

    def __init__(self, scheduler):
        self.scheduler, self.clock = scheduler, self
        self.turns = 0

    @property
    def now(self):
        return NowAndCall(microseconds=self.scheduler.agenda.now)

    def call_at(self, due, call):
        timer = Timer(call)
        self.scheduler.agenda.at(micros(due), self._ring, timer)
        return timer

    def _ring(self, timer):
        if timer.call is not None:
            timer.call()
            self.scheduler.tracker.decide_all()


class NowAndCall(timedelta):
    """``clock.now()`` and ``loop.now`` are the same here."""

    def __call__(self):
        return self


class RequestTracker(real.RequestTracker):
    """The real one; each of its turns goes on until nothing more comes up."""

    def decide_all(self):
        while self.events:
            self._loop.turns += 1
            self.decide()


class Sent:
    """An attempt of the real tracker, as a model worker knows it."""

    def __init__(self, attempt, work):
        self.attempt, self.work, self.due = attempt, work, micros(attempt.due)
        self.gone, self.key = None, 0

    @property
    def open(self):
        return self.attempt.open


class RealScheduler:
    """In the place of the model's scheduler: the real tracker around the module."""

    def __init__(self, play, position):
        self.play, self.position, self.agenda, self.module = play, position, play.agenda, None
        self.sent, self.works, self.watching = {}, {}, False

    def start(self, module, listed):
        self.module = module
        self.targets = {
            entry.worker: real.WorkerEndpoint(str(entry.worker), entry.worker, ("127.0.0.1", 1))
            for entry in listed
        }
        self.tracker = RequestTracker(VirtualLoop(self), module, self.targets, Counters())
        self.tracker.target, self.tracker.watch = self, lambda: None
        self.tracker.tell(io.WorkerList(io.Listing.CACHED, listed))
        self.tracker.decide_all()

    def take(self, client, work, patience, arrival):
        us = timedelta(microseconds=1)
        terms = real.Terms(arrival.job_class, "", arrival.tenant, "", patience * us, hint=arrival.hint * us)

        class Waiting:
            def has_left(self):
                return False

            def serve(self, result):
                client.served()

            def shed(self, stay_away):
                client.refused(micros(stay_away))

            def fail(self, timed_out):
                client.failed()

        job = real.Job(f"{self.position}-{self.tracker._count}", b"", b"")
        self.works[job.id] = work
        tracked = self.tracker.take(job, terms, Waiting())
        self.tracker.decide_all()
        return tracked

    def abandon(self, tracked):
        self.tracker.abandon(tracked)
        self.tracker.decide_all()

    def send(self, attempt):
        work = self.play.attempt_work(self.works[attempt.tracked.job.id], 0)
        sent = self.sent[attempt] = Sent(attempt, work)
        worker = self.play.workers[attempt.target.number]
        self.agenda.at(self.agenda.now + self.play.worker_delay(), worker.take, sent, self)

    def withdraw(self, attempt, gone):
        sent = self.sent[attempt]
        sent.gone = gone
        worker = self.play.workers[attempt.target.number]
        self.agenda.at(self.agenda.now + self.play.worker_delay(), worker.withdraw, sent, self)

    def client_left(self, attempt):
        """A model's worker has an attempt as soon as it is sent."""

    def note(self, sent, done):
        self.tracker.note(sent.attempt, done)
        self.tracker.decide_all()

    def end(self, sent, result, report):
        if result is io.Result.CANCELLED:
            sent.gone()
        else:
            self.tracker.end(sent.attempt, result, report)
        self.tracker.decide_all()
