"""Property test: the protocol's rules hold under any legal sequence of events."""

import math
from dataclasses import dataclass, field

from helpers import settings
from hypothesis import HealthCheck, given
from hypothesis import settings as example_settings
from hypothesis import strategies as st

from carthinge import Dispatcher
from carthinge import interface as io

DEADLINE = 3_000_000
CLASSES = tuple(
    io.JobClass(
        objective=200_000,
        deadline=DEADLINE,
        effect=effect,
        scope=scope,
        window=window,
        stretch=stretch,
        late_worth=late,
        kind=kind,
    )
    for effect, scope, window, stretch, late, kind in (
        (io.Effect.SAFE, io.Scope.ALL, 0, 1.5, 0.3, -1),
        (io.Effect.SAFE, io.Scope.ALL, 0, 2.0, 0.0, 1),
        (io.Effect.KEYED, io.Scope.ALL, 800_000, 1.5, 0.3, -1),
        (io.Effect.KEYED, io.Scope.ZONE, 800_000, 1.5, 0.0, -1),
        (io.Effect.KEYED, io.Scope.CELL, 800_000, 0.0, 0.3, -1),
        (io.Effect.UNSAFE, io.Scope.ALL, 0, 1.5, 0.3, -1),
    )
)


@dataclass
class Attempt:
    worker: io.WorkerEntry
    sent: int
    open: bool = True
    may_have_run: bool = True


@dataclass
class Request:
    spec: io.JobClass
    give_up: int
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False


class Checker:
    """Feeds events to one dispatcher and checks each of its actions against its own bookkeeping."""

    def __init__(self, config, seed):
        self.config = config
        self.dispatcher = Dispatcher(config, seed)
        self.now = 1_000
        self.requests: dict[int, Request] = {}
        self.listed: dict[int, io.WorkerEntry] = {}
        self.timers: list[int] = []
        self.slow_start: dict[tuple[int, int], list[tuple[int, float]]] = {}
        self.hints: dict[int, int] = {}
        self.served: list[tuple[int, float]] = []

    def feed(self, *events):
        for action in self.dispatcher.handle(self.now, list(events)):
            self.check_action(action)

    def check_action(self, action):
        if isinstance(action, io.SetTimer):
            assert action.due > self.now
            self.timers.append(action.due)
        elif isinstance(action, io.Send):
            self.check_send(action)
        elif isinstance(action, io.Refuse | io.Fail):
            request = self.requests[action.request]
            assert not request.ended, "rule 1: two final answers"
            assert self.now <= request.give_up + self.config.answer_grace, "rule 1: late answer"
            assert not any(t.open for t in request.attempts), "an attempt is still open"
            if isinstance(action, io.Refuse) and any(t.may_have_run for t in request.attempts):
                spec = request.spec
                assert spec.effect is io.Effect.SAFE or (
                    spec.effect is io.Effect.KEYED and spec.scope is io.Scope.ALL
                ), "rule 2: refused"
            request.ended = True
        elif isinstance(action, io.Cancel):
            assert self.config.may_cancel
            assert action.attempt < len(self.requests[action.request].attempts)
        elif isinstance(action, io.Probe):
            assert self.config.may_probe
        elif isinstance(action, io.SendMessage):
            assert self.config.may_send_messages and len(action.body) <= 256

    def check_send(self, action):
        request, worker = self.requests[action.request], self.listed[action.worker]
        spec = request.spec
        assert (
            not request.ended and self.now <= request.give_up
        ), "rule 1: sent after the final answer or deadline"
        assert len(request.attempts) < self.config.try_limit
        assert worker.state is io.State.READY, "rule 3: sent to a worker that drains or is gone"
        assert spec.kind in (-1, worker.kind)
        assert self.config.may_hedge or not any(t.open for t in request.attempts)
        for earlier in request.attempts:
            if earlier.may_have_run and spec.effect is not io.Effect.SAFE:
                assert spec.effect is io.Effect.KEYED, "rule 2: unsafe resent"
                assert self.now < earlier.sent + spec.window, "rule 2: window"
                assert spec.scope is not io.Scope.ZONE or earlier.worker.zone == worker.zone, "rule 2: zone"
                assert spec.scope is not io.Scope.CELL or earlier.worker.cell == worker.cell, "rule 2: cell"
        request.attempts.append(Attempt(worker, self.now))
        self.check_slow_start(worker, action.request)

    def check_slow_start(self, worker, request):
        """In any window a cold worker gets at most twice a fair part of the served work, and four jobs."""
        age = self.now - worker.started
        if not worker.started or age >= self.config.cold_time:
            return
        # Own count of the work served: a decaying rate over ten seconds, as the design page states.
        rate = sum(work * math.exp((at - self.now) / 10e6) for at, work in self.served) / 10
        assert rate > 0 or self.hints[request] == 0, "rule 4: nothing served yet"
        spent = self.slow_start.setdefault((worker.worker, worker.started), [])
        spent.append((self.now, self.hints[request]))
        window = [work for at, work in spent if at > self.now - self.config.fall_window]
        fair_work = rate * self.config.fall_window / 1e6
        largest = max(1, min(spec.objective for spec in self.config.classes), *self.hints.values())
        assert sum(window) <= 2 * fair_work + 4 * largest, "rule 4: too much work"

    def overdue(self):
        return [
            r
            for r in self.requests.values()
            if not r.ended and self.now > r.give_up + self.config.answer_grace
        ]

    def end(self, number, attempt, result):
        request = self.requests[number]
        tried_attempt = request.attempts[attempt]
        tried_attempt.open = False
        if result in io.NEVER_RAN:
            tried_attempt.may_have_run = False
        if result is io.Result.OK:
            self.served.append((self.now, self.hints[number]))
        if result is io.Result.OK and not request.ended:
            request.ended = True
        latency = self.now - tried_attempt.sent
        self.feed(io.Outcome(number, attempt, tried_attempt.worker.worker, result, latency, request.ended))

    def advance(self, until):
        """Deliver timers, and timeouts at the clients' deadlines, in order of time."""
        while True:
            due = [at for at in self.timers if at <= until]
            deadlines = [r.give_up for r in self.requests.values() if any(t.open for t in r.attempts)]
            at = min([*due, *(cut for cut in deadlines if cut <= until)], default=None)
            if at is None:
                self.now = until
                return
            self.now = max(self.now, at)
            if at in due:
                self.timers = [t for t in self.timers if t > at]
                self.feed(io.Timer(at))
            for number, request in list(self.requests.items()):
                if request.give_up <= self.now:
                    for attempt, tried_attempt in enumerate(request.attempts):
                        if tried_attempt.open:
                            self.end(number, attempt, io.Result.TIMEOUT)
            assert not self.overdue(), "rule 1: unanswered"


WORKER = st.builds(
    io.WorkerEntry,
    worker=st.integers(1, 9),
    zone=st.integers(0, 1),
    kind=st.integers(0, 1),
    cell=st.integers(0, 1),
    rating=st.floats(0, 10),
    state=st.sampled_from([*[io.State.READY] * 5, io.State.DRAINING, io.State.GONE]),
    started=st.sampled_from([0, 0, 0, 1, 500_000, 1_500_000]),
)
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 5), st.integers(0, 3), st.sampled_from([0, 20_000, 900_000])),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(io.Result)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from([io.Result.OK, io.Result.ERROR])),
    st.tuples(st.just("wait"), st.sampled_from([1, 4_000, 100_000, 900_000])),
    st.tuples(st.just("list"), st.lists(WORKER, max_size=6, unique_by=lambda w: w.worker), st.booleans()),
    st.tuples(st.just("progress"), st.integers(0, 50), st.booleans()),
    st.tuples(st.just("extra_event"), st.integers(0, 5)),
)


@st.composite
def configs(draw):
    return settings(
        *CLASSES,
        may_hedge=draw(st.booleans()),
        may_cancel=draw(st.booleans()),
        may_probe=draw(st.booleans()),
        may_send_messages=draw(st.booleans()),
        tells_start=draw(st.booleans()),
        try_limit=draw(st.integers(1, 5)),
        reports=draw(st.sampled_from(io.Reports)),
        report_fields=("free_slots", "held"),
        weights=draw(st.sampled_from(io.Weights)),
        instances=draw(st.integers(1, 40)),
        price_fetch=draw(st.sampled_from([0.0, 0.1])),
        price_connection=draw(st.sampled_from([0.0, 0.1])),
        progress=draw(st.sampled_from([0, 300_000])),
        position=0,
        subscribe=draw(st.booleans()),
        cold_time=2_000_000,
        fall_window=500_000,
    )


def play(config, workers, steps):
    world = Checker(config, 7)
    world.listed = {w.worker: w for w in workers}
    world.feed(io.WorkerList(io.Listing.CACHED, tuple(workers)))
    number = 0
    for kind, *rest in steps:
        sent = [(n, a) for n, r in world.requests.items() for a, t in enumerate(r.attempts) if t.open]
        if kind == "arrive":
            number += 1
            world.requests[number] = Request(CLASSES[rest[0]], world.now + DEADLINE)
            world.hints[number] = rest[2]
            world.feed(io.Arrival(number, rest[0], world.now + DEADLINE, rest[1], key=rest[1], hint=rest[2]))
        elif kind == "wait":
            world.advance(world.now + rest[0])
        elif kind == "list":
            whole = rest[1]
            if whole:
                world.listed = {
                    k: io.WorkerEntry(k, v.zone, v.kind, v.cell, io.State.GONE)
                    for k, v in world.listed.items()
                }
            world.listed.update({w.worker: w for w in rest[0]})
            world.feed(io.WorkerList(io.Listing.WHOLE if whole else io.Listing.CHANGES, tuple(rest[0])))
        elif kind == "end" and sent:
            world.end(*sent[rest[0] % len(sent)], rest[1])
        elif kind == "progress" and sent:
            request, attempt = sent[rest[0] % len(sent)]
            worker = world.requests[request].attempts[attempt].worker.worker
            world.feed(io.ProgressReport(request, attempt, worker, 0.5 if rest[1] else None))
        elif kind == "extra_event" and number:
            oldest = world.requests[1 + rest[0] % number]
            extra_event = [
                io.Abandoned(1 + rest[0] % number),
                io.WorkerList(io.Listing.FAILED),
                io.Timer(5),
                io.Outcome(10**6, 0, 1, io.Result.OK, 1, True),
                io.ProbeResult(3, io.Result.OK, 9, (2.0, 1.0)),
                io.Message(0, b"\x01\x02\x03\x04"),
            ][rest[0]]
            if isinstance(extra_event, io.Abandoned):
                oldest.ended = True
            world.feed(extra_event)
    world.advance(world.now + 2 * DEADLINE)
    assert all(request.ended for request in world.requests.values()), "rule 1: unanswered"
    assert not world.dispatcher.jobs, "ended jobs are still held"


@example_settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(
    configs(),
    st.lists(WORKER, min_size=1, max_size=6, unique_by=lambda w: w.worker),
    st.lists(STEP, max_size=60),
)
def test_rules_hold_under_any_sequence(config, workers, steps):
    play(config, workers, steps)
