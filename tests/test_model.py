"""The model of a fleet: what it must conserve, and that it does with actions what the real program does."""

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
from hypothesis import settings as limits
from hypothesis import strategies as st
from model_tracker import RealScheduler

from carthinge import Dispatcher
from carthinge import interface as io
from carthinge.model import (
    Cancels,
    Clients,
    Herd,
    Ill,
    JobSort,
    Load,
    Play,
    Tally,
    Trouble,
    WorkerKind,
    World,
)
from carthinge.model.agenda import Agenda, micros
from carthinge.model.scheduler import Scheduler
from carthinge.model.workers import ModelWorker
from carthinge.net.deadlines import ANSWER_MARGIN

MS = timedelta(milliseconds=1)
SPEC = io.JobClass(objective=300_000, deadline=3_000_000, stretch=1.75)
WORLD = World(
    settings=settings(
        SPEC,
        may_copy=False,
        may_cancel=True,
        may_advise=True,
        max_retry_after=400_000,
        tells_start=True,
        progress=200_000,
        try_limit=4,
    ),
    kinds=(
        WorkerKind(0.5, cores=2, speed=1.5, queue=6, cancel=Cancels.NONE, drops_expired=False),
        WorkerKind(0.5, cores=1, speed=0.8, queue=3, cancel=Cancels.ALL, error_rate=0.1),
    ),
    sorts=(JobSort(SPEC, 1.0, 100 * MS, noise=0.3),),
    loads=(Load(3 * timedelta(seconds=1), 1.3),),
    schedulers=2,
    workers=4,
    clients=Clients(retries=1.5, backoff=60 * MS),
    troubles=(
        Trouble(Ill.HANG, 700 * MS, 900 * MS, 0.25),
        Trouble(Ill.SILENT, 1800 * MS, 900 * MS, 0.25),
        Trouble(Ill.REFUSES, 2200 * MS, 600 * MS, 0.25),
    ),
    hints=0.3,
)

worlds = st.builds(
    lambda ill, cancel, expires, reports, load, part, schedulers, retries: replace(
        WORLD,
        schedulers=schedulers,
        loads=(Load(2 * timedelta(seconds=1), load),),
        clients=replace(WORLD.clients, retries=retries),
        herds=(Herd(900 * MS, part, 300 * MS, 200 * MS),),
        settings=replace(WORLD.settings, reports=reports, report_fields=("free_slots",)),
        kinds=tuple(replace(kind, cancel=cancel, drops_expired=expires) for kind in WORLD.kinds),
        troubles=(Trouble(ill, 300 * MS, 800 * MS, 0.5, size=2.0, noticed=400 * MS),),
    ),
    st.sampled_from(Ill),
    st.sampled_from(Cancels),
    st.booleans(),
    st.sampled_from(io.Reports),
    st.floats(0.3, 2.5),
    st.floats(0, 1),
    st.integers(1, 5),
    st.floats(0, 3),
)


@limits(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(worlds, st.integers(0, 99))
def test_every_job_ends_once_and_no_worker_does_more_than_it_can(world, seed):
    begin = ModelWorker._start
    tallies = []
    with pytest.MonkeyPatch.context() as patch:

        def checked(worker):
            begin(worker)
            assert len(worker.running) <= worker.kind.cores
            assert len(worker.running) <= worker.held <= worker.kind.cores + worker.kind.queue

        patch.setattr(ModelWorker, "_start", checked)
        for _ in range(2):
            played = Play(world, seed)
            tallies.append(tally := played.run())
            assert sum(tally.ends().values()) == played.clients.jobs == sum(s.arrivals for s in tally.seconds)
            assert sum(sum(s.worth.values()) for s in tally.seconds) == pytest.approx(played.clients.jobs)
            assert 0 <= sum(s.wasted for s in tally.seconds) <= sum(s.busy for s in tally.seconds)
            assert sum(s.busy for s in tally.seconds) <= played.agenda.now * tally.slots
    assert tallies[0] == tallies[1]


# ---- against the real program's tracker ------------------------------------------------------------


def decisions(scheduler_type, seed):
    """All that the modules decide, with its time, and how the jobs ended."""
    seen = []

    class Recorded(Dispatcher):
        def handle(self, now, events):
            actions = super().handle(now, events)
            seen.append(
                (
                    now,
                    self.context.settings.position,
                    [repr(event) for event in events],
                    [repr(action) for action in actions],
                )
            )
            return actions

    play = Play(WORLD, seed, Recorded)
    play.schedulers = [scheduler_type(play, position) for position in range(WORLD.schedulers)]
    play._fronted = list(play.schedulers)
    return seen, play.run().ends()


def test_modules_hear_and_decide_the_same_around_the_real_book():
    heard = ""
    for seed in (1, 4, 15):
        modelled, ends = decisions(Scheduler, seed)
        played, real_ends = decisions(RealScheduler, seed)
        heard += " ".join(event for _, _, events, _ in modelled for event in events)
        differ = (pair for pair in zip(modelled, played, strict=False) if pair[0] != pair[1])
        assert next(differ, None) is None
        assert len(modelled) == len(played) and ends == real_ends
    for kind in ("OK", "FULL", "ERROR", "CANCELLED", "TIMEOUT", "CONNECT_FAILED", "RESET"):
        assert f"Result.{kind}" in heard  # else the small cases show little


# ---- workers one by one -------------------------------------------------------------------------


class Home:
    """Who sends to one worker, and writes down what comes of it."""

    def __init__(self, kind, **more):
        self.agenda, self.news, self.sent = Agenda(), [], []
        self.worker = ModelWorker(
            self.agenda,
            Tally(kind.cores),
            kind,
            io.WorkerEntry(1),
            Random(1),
            settings(SPEC, **more),
            lambda: 100,
        )

    def send(self, *works, due=60_000_000):
        for work in works:
            attempt = type(
                "Sent", (), {"work": work, "due": due, "open": True, "key": 0, "number": len(self.sent)}
            )()
            self.sent.append(attempt)
            self.worker.take(attempt, self)
        return self

    def note(self, attempt, done):
        self.news.append((attempt.number, "begun" if done is None else round(done, 2)))

    def end(self, attempt, result, report):
        attempt.open = False
        self.news.append((attempt.number, result.name))

    def after(self, until):
        self.news.clear()
        self.agenda.run(until)
        return self.news


KIND = WorkerKind(1.0, cores=1, speed=2.0, queue=1)


def test_jobs_are_served_in_order_with_notes_and_beyond_the_queue_it_is_full():
    home = Home(KIND, tells_start=True, progress=60_000).send(200_000, 20_000, 20_000)
    assert home.after(400) == [(0, "begun"), (2, "FULL")]
    assert home.after(200_000) == [(0, 0.6), (0, "OK"), (1, "begun"), (1, "OK")]


@pytest.mark.parametrize(
    ("cancel", "ran"), [(Cancels.NONE, 120_000), (Cancels.QUEUED, 100_000), (Cancels.ALL, 50_000)]
)
def test_what_a_withdrawal_spares_a_worker(cancel, ran):
    home = Home(replace(KIND, cancel=cancel)).send(200_000, 40_000)
    home.agenda.run(50_000)
    for attempt in home.sent:
        home.worker.withdraw(attempt, home)
        attempt.open = False
    assert (0, "CANCELLED") in home.after(1_000_000)
    seconds = home.worker._tally.seconds
    assert sum(second.busy for second in seconds) == sum(second.wasted for second in seconds) == ran


@pytest.mark.parametrize("drops", [True, False])
def test_a_job_whose_client_has_left_is_begun_only_where_expired_ones_are_kept(drops):
    home = Home(replace(KIND, drops_expired=drops)).send(200_000).send(200_000, due=50_000)
    home.after(1_000_000)
    assert sum(second.busy for second in home.worker._tally.seconds) == (100_000 if drops else 200_000)


def test_a_hung_worker_goes_on_where_it_stopped_and_a_dead_one_has_lost_all():
    home = Home(KIND, tells_start=False, cold_time=1_000_000, cold_start_share=0.5).send(200_000)
    home.agenda.run(40_000)
    home.worker.fall_ill(Ill.HANG, 1.0)
    assert home.send(2_000).after(500_000) == []
    home.worker.recover()
    assert home.after(560_000) == [] and home.after(562_000) == [(0, "OK"), (1, "OK")]
    home.send(200_000).worker.fall_ill(Ill.REFUSES, 1.0)
    assert home.send(200_000).after(600_000) == [(2, "RESET"), (3, "CONNECT_FAILED")]
    home.worker.recover()  # cold: at half its speed
    assert home.send(200_000).after(799_000) == [] and home.after(801_000) == [(4, "OK")]


# ---- clients ------------------------------------------------------------------------------------


class Refuses:
    """Refuses all, and tells clients to stay away for longer than they would."""

    def __init__(self, config, seed):
        self.came = []

    def handle(self, now, events):
        came = [event for event in events if isinstance(event, io.Arrival)]
        self.came += [(now, event.give_up) for event in came]
        return [io.Refuse(event.request, 700_000) for event in came]


@pytest.mark.parametrize("honour", [0.0, 1.0])
def test_refused_clients_come_again_as_told_or_as_they_like_and_count_once(honour):
    world = replace(
        WORLD,
        schedulers=1,
        clients=Clients(retries=2.0, backoff=100 * MS, honour=honour),
        loads=(Load(20 * MS, 5.0),),
    )
    play = Play(world, 3, Refuses)
    tally = play.run()
    came = play.schedulers[0].module.came
    margin = micros(ANSWER_MARGIN)
    first = [time for time, give_up in came if abs(give_up - time + margin - SPEC.deadline) < 2000]
    assert len(first) == play.clients.jobs == sum(tally.ends().values()) > 0
    assert len(came) == 3 * len(first) and sum(s.tries for s in tally.seconds) == 2 * len(first)
    again = [time for time, _ in came[len(first) :]]
    assert min(again) >= min(first) + (700_000 if honour else 50_000)
    assert max(again) > 1_400_000 if honour else max(again) < 400_000


def test_the_benchmark_ends_with_its_figures_as_json():
    bench = Path(__file__).parent.parent / "benchmarks" / "fleet_overload.py"
    command = [sys.executable, bench, "--quick", "--schedulers", "3", "--workers", "3", "--family", "blind"]
    shown = subprocess.run(
        command,
        capture_output=True,
        text=True,
        check=True,
        cwd=bench.parent.parent,
        env={**os.environ, "PYTHONPATH": "."},
    ).stdout
    figures = json.loads(shown.splitlines()[-1])["blind"]
    assert {"calm", "herd"} < figures["on"].keys()
    for state in ("off", "on"):
        assert 0 < figures[state]["worth_share"] < 1 <= figures[state]["attempts_per_job_peak"]
        assert {"recovery_s", "retry_after_peak_ratio"} < figures[state].keys()
        assert {f"{ill}_{count}" for ill in ("refuses", "silent") for count in (20, 200)} < set(
            figures[state]["probes_per_bad_worker_s"]
        )
