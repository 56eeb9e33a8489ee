"""The simulated fleet: what it conserves, and that it handles actions as the real program does."""

import json
import os
import subprocess
import sys
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest
from helpers import settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from model_tracker import RealScheduler

from carthinge import Dispatcher
from carthinge import interface as io
from carthinge.model import (
    CancelSupport,
    Clients,
    FaultKind,
    JobProfile,
    Load,
    SchedulerKill,
    Simulation,
    Tally,
    WorkerFault,
    WorkerKind,
    World,
)
from carthinge.model.scheduler import Scheduler
from carthinge.model.virtual_clock import VirtualClock, micros
from carthinge.model.workers import ModelWorker
from carthinge.net.deadlines import ANSWER_MARGIN

MS = timedelta(milliseconds=1)
SPEC = io.JobClass(objective=300_000, deadline=3_000_000, stretch=1.75)
WORLD = World(
    settings=settings(
        SPEC,
        may_hedge=False,
        may_cancel=True,
        may_send_retry_after=True,
        max_retry_after=400_000,
        tells_start=True,
        progress=200_000,
        try_limit=4,
    ),
    kinds=(
        WorkerKind(0.5, cores=2, speed=1.5, queue=6, cancel=CancelSupport.NONE, drops_expired=False),
        WorkerKind(0.5, cores=1, speed=0.8, queue=3, cancel=CancelSupport.ALL, error_rate=0.1),
    ),
    job_profiles=(JobProfile(SPEC, 1.0, 100 * MS, noise=0.3),),
    loads=(Load(3 * timedelta(seconds=1), 1.3),),
    schedulers=2,
    workers=4,
    clients=Clients(retries=1.5, backoff=60 * MS),
    worker_faults=(
        WorkerFault(FaultKind.HANG, 700 * MS, 900 * MS, 0.25),
        WorkerFault(FaultKind.SILENT, 1800 * MS, 900 * MS, 0.25),
        WorkerFault(FaultKind.REFUSES, 2200 * MS, 600 * MS, 0.25),
    ),
    hints=0.3,
)

worlds = st.builds(
    lambda fault, cancel, drops_expired, reports, load, share, schedulers, retries: replace(
        WORLD,
        schedulers=schedulers,
        loads=(Load(2 * timedelta(seconds=1), load),),
        clients=replace(WORLD.clients, retries=retries),
        scheduler_kills=(SchedulerKill(900 * MS, share, 300 * MS, 200 * MS),),
        settings=replace(WORLD.settings, reports=reports, report_fields=("free_slots",)),
        kinds=tuple(replace(kind, cancel=cancel, drops_expired=drops_expired) for kind in WORLD.kinds),
        worker_faults=(WorkerFault(fault, 300 * MS, 800 * MS, 0.5, severity=2.0, delisted_after=400 * MS),),
    ),
    st.sampled_from(FaultKind),
    st.sampled_from(CancelSupport),
    st.booleans(),
    st.sampled_from(io.Reports),
    st.floats(0.3, 2.5),
    st.floats(0, 1),
    st.integers(1, 5),
    st.floats(0, 3),
)


@hypothesis_settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(worlds, st.integers(0, 99))
def test_simulation_conserves_jobs_and_worker_limits(world, seed):
    start = ModelWorker._start
    tallies = []
    with pytest.MonkeyPatch.context() as patch:

        def checked(worker):
            start(worker)
            assert len(worker.running) <= worker.kind.cores
            assert len(worker.running) <= worker.outstanding <= worker.kind.cores + worker.kind.queue

        patch.setattr(ModelWorker, "_start", checked)
        for _ in range(2):
            run = Simulation(world, seed)
            tallies.append(tally := run.run())
            assert (
                sum(tally.outcomes().values()) == run.clients.jobs == sum(s.arrivals for s in tally.seconds)
            )
            assert sum(sum(s.worth.values()) for s in tally.seconds) == pytest.approx(run.clients.jobs)
            assert 0 <= sum(s.wasted_us for s in tally.seconds) <= sum(s.busy_us for s in tally.seconds)
            assert sum(s.busy_us for s in tally.seconds) <= run.clock.now * tally.slots
    assert tallies[0] == tallies[1]


# ---- comparison with the real tracker ---------------------------------------------------------------


def decisions(scheduler_type, seed):
    """Return all events and actions of the modules with their times, and the outcomes of the jobs."""
    recorded = []

    class RecordingDispatcher(Dispatcher):
        def handle(self, now, events):
            actions = super().handle(now, events)
            recorded.append(
                (
                    now,
                    self.context.settings.position,
                    [repr(event) for event in events],
                    [repr(action) for action in actions],
                )
            )
            return actions

    simulation = Simulation(WORLD, seed, RecordingDispatcher)
    simulation.schedulers = [scheduler_type(simulation, position) for position in range(WORLD.schedulers)]
    simulation._routable = list(simulation.schedulers)
    return recorded, simulation.run().outcomes()


def test_real_tracker_yields_same_decisions():
    events_seen = ""
    for seed in (1, 4, 15):
        modelled, outcomes = decisions(Scheduler, seed)
        real, real_outcomes = decisions(RealScheduler, seed)
        events_seen += " ".join(event for _, _, events, _ in modelled for event in events)
        differ = (pair for pair in zip(modelled, real, strict=False) if pair[0] != pair[1])
        assert next(differ, None) is None
        assert len(modelled) == len(real) and outcomes == real_outcomes
    for kind in ("OK", "FULL", "ERROR", "CANCELLED", "TIMEOUT", "CONNECT_FAILED", "RESET"):
        assert f"Result.{kind}" in events_seen  # the seeds cover every result


# ---- single workers -----------------------------------------------------------------------------


class RecordingSender:
    """Sends attempts to one worker and records the reports on them."""

    def __init__(self, kind, **options):
        self.clock, self.reports, self.sent = VirtualClock(), [], []
        self.worker = ModelWorker(
            self.clock,
            Tally(kind.cores),
            kind,
            io.WorkerEntry(1),
            Random(1),
            settings(SPEC, **options),
            lambda: 100,
        )

    def send(self, *works, due=60_000_000):
        for work in works:
            attempt = type(
                "Sent", (), {"work": work, "due": due, "open": True, "key": 0, "number": len(self.sent)}
            )()
            self.sent.append(attempt)
            self.worker.receive_attempt(attempt, self)
        return self

    def report_progress(self, attempt, done):
        self.reports.append((attempt.number, "begun" if done is None else round(done, 2)))

    def report_result(self, attempt, result, report):
        attempt.open = False
        self.reports.append((attempt.number, result.name))

    def run_until(self, until):
        self.reports.clear()
        self.clock.run(until)
        return self.reports


KIND = WorkerKind(1.0, cores=1, speed=2.0, queue=1)


def test_worker_serves_in_order_and_answers_full():
    sender = RecordingSender(KIND, tells_start=True, progress=60_000).send(200_000, 20_000, 20_000)
    assert sender.run_until(400) == [(0, "begun"), (2, "FULL")]
    assert sender.run_until(200_000) == [(0, 0.6), (0, "OK"), (1, "begun"), (1, "OK")]


@pytest.mark.parametrize(
    ("cancel", "ran"),
    [(CancelSupport.NONE, 120_000), (CancelSupport.QUEUED, 100_000), (CancelSupport.ALL, 50_000)],
)
def test_withdrawal_saves_worker_time(cancel, ran):
    sender = RecordingSender(replace(KIND, cancel=cancel)).send(200_000, 40_000)
    sender.clock.run(50_000)
    for attempt in sender.sent:
        sender.worker.withdraw(attempt, sender)
        attempt.open = False
    assert (0, "CANCELLED") in sender.run_until(1_000_000)
    seconds = sender.worker._tally.seconds
    assert sum(second.busy_us for second in seconds) == sum(second.wasted_us for second in seconds) == ran


@pytest.mark.parametrize("drops", [True, False])
def test_expired_job_runs_only_if_kept(drops):
    sender = RecordingSender(replace(KIND, drops_expired=drops)).send(200_000).send(200_000, due=50_000)
    sender.run_until(1_000_000)
    assert sum(second.busy_us for second in sender.worker._tally.seconds) == (100_000 if drops else 200_000)


def test_hung_worker_resumes_and_dead_one_restarts():
    sender = RecordingSender(KIND, tells_start=False, cold_time=1_000_000, cold_start_share=0.5).send(200_000)
    sender.clock.run(40_000)
    sender.worker.inject_fault(FaultKind.HANG, 1.0)
    assert sender.send(2_000).run_until(500_000) == []
    sender.worker.recover()
    assert sender.run_until(560_000) == [] and sender.run_until(562_000) == [(0, "OK"), (1, "OK")]
    sender.send(200_000).worker.inject_fault(FaultKind.REFUSES, 1.0)
    assert sender.send(200_000).run_until(600_000) == [(2, "RESET"), (3, "CONNECT_FAILED")]
    sender.worker.recover()  # cold: at half speed
    assert sender.send(200_000).run_until(799_000) == [] and sender.run_until(801_000) == [(4, "OK")]


# ---- clients ------------------------------------------------------------------------------------


class RefusingModule:
    """Refuses all requests, with a Retry-After longer than the clients' own backoff."""

    def __init__(self, config, seed):
        self.arrivals = []

    def handle(self, now, events):
        arrivals = [event for event in events if isinstance(event, io.Arrival)]
        self.arrivals += [(now, event.give_up) for event in arrivals]
        return [io.Refuse(event.request, 700_000) for event in arrivals]


@pytest.mark.parametrize("follow_retry_after", [0.0, 1.0])
def test_refused_clients_retry_and_count_once(follow_retry_after):
    world = replace(
        WORLD,
        schedulers=1,
        clients=Clients(retries=2.0, backoff=100 * MS, follow_retry_after=follow_retry_after),
        loads=(Load(20 * MS, 5.0),),
    )
    simulation = Simulation(world, 3, RefusingModule)
    tally = simulation.run()
    arrivals = simulation.schedulers[0].module.arrivals
    margin_us = micros(ANSWER_MARGIN)
    first = [time for time, give_up in arrivals if abs(give_up - time + margin_us - SPEC.deadline) < 2000]
    assert len(first) == simulation.clients.jobs == sum(tally.outcomes().values()) > 0
    assert len(arrivals) == 3 * len(first) and sum(s.client_retries for s in tally.seconds) == 2 * len(first)
    retries_at = [time for time, _ in arrivals[len(first) :]]
    assert min(retries_at) >= min(first) + (700_000 if follow_retry_after else 50_000)
    assert max(retries_at) > 1_400_000 if follow_retry_after else max(retries_at) < 400_000


def test_benchmark_prints_json_last():
    bench = Path(__file__).parent.parent / "benchmarks" / "fleet_overload.py"
    command = [sys.executable, bench, "--quick", "--schedulers", "3", "--workers", "3", "--family", "blind"]
    output = subprocess.run(
        command,
        capture_output=True,
        text=True,
        check=True,
        cwd=bench.parent.parent,
        env={**os.environ, "PYTHONPATH": "."},
    ).stdout
    figures = json.loads(output.splitlines()[-1])["blind"]
    assert {"calm", "herd"} < figures["on"].keys()
    for state in ("off", "on"):
        assert 0 < figures[state]["worth_share"] < 1 <= figures[state]["attempts_per_job_peak"]
        assert {"recovery_s", "retry_after_peak_ratio"} < figures[state].keys()
        assert {f"{fault}_{count}" for fault in ("refuses", "silent") for count in (20, 200)} < set(
            figures[state]["probes_per_bad_worker_s"]
        )
