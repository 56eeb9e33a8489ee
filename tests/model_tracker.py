"""The real request tracker as a replacement for the model scheduler, in virtual time."""

from datetime import timedelta

from carthinge import interface as io
from carthinge.model.virtual_clock import micros
from carthinge.net import request_tracker as real
from carthinge.net.counters import Counters
from carthinge.net.loop import Timer


class VirtualLoop:
    """The part of the event loop that the tracker uses, in virtual time."""

    def __init__(self, scheduler):
        self.scheduler, self.clock = scheduler, self
        self.turns = 0

    @property
    def now(self):
        return CallableTime(microseconds=self.scheduler.clock.now)

    def call_at(self, due, call):
        timer = Timer(call)
        self.scheduler.clock.call_at(micros(due), self._fire, timer)
        return timer

    def _fire(self, timer):
        if timer.call is not None:
            timer.call()
            self.scheduler.tracker.decide_all()


class CallableTime(timedelta):
    """A time that serves as both ``loop.now`` and ``clock.now()``."""

    def __call__(self):
        return self


class RequestTracker(real.RequestTracker):
    """The real tracker; each turn continues until no events are left."""

    def decide_all(self):
        while self.events:
            self._loop.turns += 1
            self.decide()


class SentAttempt:
    """An attempt of the real tracker, in the form that a model worker expects."""

    def __init__(self, attempt, work):
        self.attempt, self.work, self.due = attempt, work, micros(attempt.due)
        self.on_withdrawn, self.key = None, 0

    @property
    def open(self):
        return self.attempt.open


class RealScheduler:
    """Replaces the model scheduler: connects the module to the real tracker."""

    def __init__(self, simulation, position):
        self.simulation, self.position, self.clock, self.module = simulation, position, simulation.clock, None
        self.sent, self.works, self.watching = {}, {}, False

    def start(self, module, listed):
        self.module = module
        self.targets = {
            entry.worker: real.WorkerEndpoint(str(entry.worker), entry.worker, ("127.0.0.1", 1))
            for entry in listed
        }
        self.tracker = RequestTracker(VirtualLoop(self), module, self.targets, Counters())
        self.tracker.transport, self.tracker.watch = self, lambda: None
        self.tracker.emit(io.WorkerList(io.Listing.CACHED, listed))
        self.tracker.decide_all()

    def accept(self, client, work, timeout, arrival):
        us = timedelta(microseconds=1)
        terms = real.Terms(arrival.job_class, "", arrival.tenant, "", timeout * us, hint=arrival.hint * us)

        class WaitingClient:
            def has_left(self):
                return False

            def serve(self, result):
                client.served()

            def shed(self, retry_after):
                client.refused(micros(retry_after))

            def fail(self, timed_out):
                client.failed()

        job = real.Job(f"{self.position}-{self.tracker._last_number}", b"", b"")
        self.works[job.id] = work
        tracked = self.tracker.take(job, terms, WaitingClient())
        self.tracker.decide_all()
        return tracked

    def abandon(self, tracked):
        self.tracker.abandon(tracked)
        self.tracker.decide_all()

    def send(self, attempt):
        work = self.simulation.draw_attempt_work(self.works[attempt.tracked.job.id], 0)
        sent = self.sent[attempt] = SentAttempt(attempt, work)
        worker = self.simulation.workers[attempt.target.number]
        self.clock.call_at(
            self.clock.now + self.simulation.worker_delay(), worker.receive_attempt, sent, self
        )

    def withdraw(self, attempt, on_withdrawn):
        sent = self.sent[attempt]
        sent.on_withdrawn = on_withdrawn
        worker = self.simulation.workers[attempt.target.number]
        self.clock.call_at(self.clock.now + self.simulation.worker_delay(), worker.withdraw, sent, self)

    def client_left(self, attempt):
        """Does nothing: a model worker has an attempt as soon as it is sent."""

    def report_progress(self, sent, done):
        self.tracker.report_progress(sent.attempt, done)
        self.tracker.decide_all()

    def report_result(self, sent, result, report):
        if result is io.Result.CANCELLED:
            sent.on_withdrawn()
        else:
            self.tracker.end(sent.attempt, result, report)
        self.tracker.decide_all()
