"""Steps of the wall clock, which may be set at any time: durations use the monotonic clock."""

import json
import time
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from in_process import run_until, set_workers
from world import SETTINGS, job, member

from carthinge.interface import Listing
from carthinge.net.clock import MAX_PERIODS, MIN_STEP, Clock
from carthinge.net.loop import MICROSECOND
from carthinge.net.members import Member, MemberList
from carthinge.net.worker_directory import WorkerDirectory, worker_number
from carthinge.settings import SettingsTable, read_site

STEPS = [timedelta(hours=1), timedelta(hours=-1), timedelta(seconds=3), timedelta(seconds=-3)]
S = timedelta(seconds=1)


class Machine:
    """Both clocks of a machine, controlled by a test."""

    def __init__(self, monkeypatch):
        self.monotonic, self.wall = timedelta(days=3), timedelta(days=20_000)
        monkeypatch.setattr(time, "monotonic_ns", lambda: self.monotonic // MICROSECOND * 1000)
        monkeypatch.setattr(time, "time_ns", lambda: self.wall // MICROSECOND * 1000)

    def advance(self, duration):
        self.monotonic += duration
        self.wall += duration

    def step(self, by):
        self.wall += by

    def wall_ms(self):
        return self.wall // timedelta(milliseconds=1)


@pytest.fixture
def machine(monkeypatch):
    return Machine(monkeypatch)


@pytest.mark.parametrize("step", STEPS, ids=str)
def test_starts_around_step_keep_their_age(machine, step):
    clock = Clock()
    machine.advance(60 * S)
    clock.check_for_step(clock.now())
    before, before_at = machine.wall_ms(), clock.now()
    machine.advance(2 * S)
    clock.check_for_step(clock.now())
    machine.step(step)
    clock.check_for_step(clock.now())
    machine.advance(2 * S)
    after, after_at = machine.wall_ms(), clock.now()
    machine.advance(S)
    clock.check_for_step(clock.now())
    assert clock.from_unix_ms(after) == after_at
    converted = clock.from_unix_ms(before)
    later = converted > before_at and step < timedelta()
    assert converted == before_at or later, "of several possible times, the latest"
    assert converted <= clock.now()


@given(
    st.lists(
        st.tuples(
            st.timedeltas(timedelta(), timedelta(minutes=5)),
            st.timedeltas(-timedelta(days=2), timedelta(days=2)),
        ),
        max_size=8,
    ),
    st.integers(0, 2**44),
)
def test_converted_readings_are_in_valid_range(steps, reading):
    with pytest.MonkeyPatch.context() as monkeypatch:
        machine = Machine(monkeypatch)
        clock = Clock()
        for duration, by in steps:
            machine.advance(duration)
            machine.step(by)
            clock.check_for_step(clock.now())
            just_now = clock.from_unix_ms(machine.wall_ms())
            assert timedelta() <= clock.now() - just_now <= MIN_STEP + timedelta(milliseconds=1)
        assert timedelta() <= clock.from_unix_ms(reading) <= clock.now()


def test_number_of_periods_is_limited(machine):
    clock = Clock()
    for _ in range(3 * MAX_PERIODS):
        machine.advance(S)
        machine.step(S)
        clock.check_for_step(clock.now())
    assert len(clock._periods) <= MAX_PERIODS + 1


@pytest.mark.parametrize("step", STEPS, ids=str)
def test_step_is_not_taken_for_worker_restart(machine, step):
    """Guards against a start converted to another time, which would discard all data about the worker."""
    clock = Clock()
    directory = WorkerDirectory(read_site(SettingsTable.from_nested(SETTINGS)), clock)
    machine.advance(30 * S)
    listed = MemberList(revision=1, members=[Member(**member("s-0", 1, up_since_ms=machine.wall_ms()))])
    (first,) = directory.apply_list(listed, Listing.WHOLE).entries
    machine.advance(4 * S)
    machine.step(step)
    clock.check_for_step(clock.now())
    (again,) = directory.apply_list(listed, Listing.WHOLE).entries
    assert again.started == first.started == (clock.now() - 4 * S) // MICROSECOND
    relisted = MemberList(revision=2, members=[Member(**member("s-0", 1, up_since_ms=machine.wall_ms()))])
    (restarted,) = directory.apply_list(relisted, Listing.WHOLE).entries
    assert restarted.started == clock.now() // MICROSECOND


@pytest.mark.parametrize("step", STEPS, ids=str)
def test_cold_worker_stays_cold_after_step(serve, monkeypatch, step):
    """Guards against a just started worker treated as warm after a step of an hour, and given a full load."""
    program = serve()
    real = time.time_ns
    program.loop.turn(idle=False)
    monkeypatch.setattr(time, "time_ns", lambda: real() + step // MICROSECOND * 1000)
    program.loop.turn(idle=False)
    set_workers(program, member("s-0", 1, up_since_ms=time.time_ns() // 1_000_000))
    run_until(program, lambda: not program.tracker.events)
    worker = program.dispatcher.fleet.workers[worker_number("s-0")]
    assert 0.3 < program.dispatcher.context.capacity_share(worker) < 0.4


@pytest.mark.parametrize("step", STEPS, ids=str)
def test_deadlines_and_timers_ignore_wall_clock(serve, dial, monkeypatch, step):
    program = serve()
    client = dial(program).send(job("a1", deadline="5000m"))
    run_until(program, lambda: program.tracker.tracked_requests)
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + step // MICROSECOND * 1000)
    monkeypatch.setattr(time, "time", lambda: time.time_ns() / 1e9)
    (tracked,) = program.tracker.tracked_requests.values()
    left, due = tracked.give_up - program.loop.clock.now(), program.loop._timers[0][0]
    assert timedelta(seconds=4) < left < timedelta(seconds=5)
    for _ in range(5):
        program.loop.turn(idle=False)
        program.tracker.decide()
    assert tracked.pending and program.loop._timers[0][0] >= due
    again = dial(program).send(job("b1", deadline="5000m"))
    run_until(program, lambda: "b1" in program.tracker.by_id)
    left = program.tracker.by_id["b1"].give_up - program.loop.clock.now()
    assert timedelta(seconds=4) < left < timedelta(seconds=5)
    client.close()
    again.close()


def test_only_listed_modules_read_wall_clock():
    """They display it, store it with the monotonic time, or convert it; no duration is measured with it."""
    from pathlib import Path

    allowed = {"net/clock.py", "durable/jobs.py", "scheduler/fleet_link.py"}
    folder = Path(__file__).parent.parent / "carthinge"
    reads = {
        str(file.relative_to(folder))
        for file in folder.rglob("*.py")
        if any(word in file.read_text() for word in ("time.time", ".wall()", "datetime.now", "utcnow"))
    }
    assert reads == allowed, json.dumps(sorted(reads ^ allowed))
