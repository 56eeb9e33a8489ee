"""The store of durable jobs by itself: against a dictionary, torn, damaged, and on a disk that fails."""

import json
import random
import shutil
import sqlite3
import subprocess
import sys
import tempfile
from datetime import timedelta
from itertools import count

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from carthinge import interface as io
from carthinge.durable.errors import StoreError
from carthinge.durable.limits import Limits, Shed
from carthinge.durable.records import (
    Accepted,
    AttemptState,
    Collected,
    Ended,
    Granted,
    HandedBack,
    JobState,
    Renewed,
    Terms,
)
from carthinge.durable.recovery import Entrance
from carthinge.durable.seal import job_name, job_number
from carthinge.durable.store import Store, Time
from carthinge.durable.wal import examine
from carthinge.durable.writer import Writer
from carthinge.net.loop import READ, Loop

ENTRY = msgspec.msgpack.encode(io.WorkerEntry(7))
ROOM = 64 * 1024 * 1024


def at(now, boot="b", wall=None):
    return Time(now, now if wall is None else wall, boot)


def accepted(number, key=None, body=b"body", give_up=10_000_000):
    return Accepted(number, f"r{number}", "acme", "reindex", key, b"d" * 16, b"/api/x", body,
                    (("Idempotency-Key", b"k"),), Terms(1, 20_000, 1.0, 0.0), 1, give_up)


def granted(token, job, number=0):
    return Granted(token, job, number, "s-0", "127.0.0.1:1", ENTRY, 5, 10_000_000)


def ended(number, state=JobState.SERVED, result=b"r", forget_at=100):
    return Ended(number, state, result, 0, 9, forget_at)


def opened(folder, time=None, **more):
    store = Store(folder, more.pop("max_bytes", ROOM), **more)
    store.open(time or at(1))
    return store


class StoreMachine(RuleBasedStateMachine):
    """Batches of everything, applied once or twice, with crashes between them."""

    def __init__(self):
        super().__init__()
        self.folder = tempfile.mkdtemp(prefix="store")
        self.jobs, self.attempts, self.keys, self.numbers, self.now = {}, {}, {}, count(1), 1

    @initialize()
    def start(self):
        self.store = opened(self.folder)

    def teardown(self):
        self.store.close()
        shutil.rmtree(self.folder)

    @rule(keys=st.lists(st.sampled_from([None, b"k1", b"k2", b"k3"]), min_size=1, max_size=20),
          twice=st.booleans())
    def accept(self, keys, twice):
        batch, taken = [], set()
        for key in keys:
            if key is None or key not in taken:
                taken.add(key)
                batch.append(accepted(next(self.numbers), key, bytes(next(self.numbers) % 50)))
        others = self.apply(batch, twice)
        for record in batch:
            holder = self.keys.get(record.key)
            assert (others[record.number].number if record.number in others else None) == holder
            if holder is None:
                self.jobs[record.number] = [JobState.OPEN, record.body, record.key, None]
                if record.key is not None:
                    self.keys[record.key] = record.number

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), twice=st.booleans())
    def attempt(self, data, twice):
        job = data.draw(st.sampled_from(sorted(self.jobs)))
        token = next(self.numbers)
        state = data.draw(st.sampled_from(AttemptState))
        batch = [granted(token, job), Renewed(token, 77, 5)]
        if state is not AttemptState.OUT:
            batch.append(HandedBack(token, state))
        self.apply(batch, twice)
        self.attempts[token] = (job, state)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), state=st.sampled_from(list(JobState)[1:]), twice=st.booleans())
    def end(self, data, state, twice):
        number = data.draw(st.sampled_from(sorted(self.jobs)))
        self.apply([ended(number, state, b"result %d" % state, self.now + 50)], twice)
        job = self.jobs[number]
        if job[0] is JobState.OPEN:  # only the first end counts
            self.jobs[number] = [state, b"result %d" % state, job[2], self.now + 50]
            if state is JobState.REFUSED and job[2] is not None:
                del self.keys[job[2]]
                self.jobs[number][2] = None

    @precondition(lambda self: any(job[3] for job in self.jobs.values()))
    @rule(data=st.data(), forget_at=st.integers(1, 200))
    def collect(self, data, forget_at):
        number = data.draw(st.sampled_from(sorted(n for n, job in self.jobs.items() if job[3])))
        self.apply([Collected(number, forget_at)], False)
        self.jobs[number][3] = min(self.jobs[number][3], forget_at)

    @rule(span=st.integers(1, 60))
    def forget(self, span):
        self.now += span
        while self.store.forget(self.now):
            pass
        for number in [n for n, job in self.jobs.items() if job[3] and job[3] <= self.now]:
            key = self.jobs.pop(number)[2]
            if key is not None:
                del self.keys[key]
            self.attempts = {token: known for token, known in self.attempts.items() if known[0] != number}

    @rule()
    def crash(self):
        """The log is left as it is, as by a process that is killed."""
        self.store.close()
        epoch = self.store.epoch
        self.store = opened(self.folder, at(self.now))
        assert self.store.epoch == epoch + 1

    def apply(self, batch, twice):
        others = self.store.apply(batch, at(self.now))
        return self.store.apply(batch, at(self.now)) if twice else others

    @invariant()
    def agrees(self):
        if not hasattr(self, "store"):
            return
        open_jobs = {job.accepted.number: job for job in self.store.open_jobs(0, 1000)}
        assert sorted(open_jobs) == sorted(n for n, job in self.jobs.items() if job[0] is JobState.OPEN)
        for number, job in open_jobs.items():
            assert job.accepted.body == self.jobs[number][1] and job.accepted.key == self.jobs[number][2]
            assert {(sent.token, sent.state) for sent in job.attempts} == \
                {(token, state) for token, (of, state) in self.attempts.items() if of == number}
        for number, (state, result, _, forget_at) in self.jobs.items():
            found = self.store.find(number)
            assert found.state is state and (forget_at is None or found.result == result)


TestStore = StoreMachine.TestCase
TestStore.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)


# ---- what a crash leaves ------------------------------------------------------------------------


def test_a_log_torn_at_any_byte_gives_whole_commits_and_never_a_part_of_one(tmp_path):
    store = opened(tmp_path / "store")
    for step in range(6):  # each commit has two jobs
        store.apply([accepted(10 * step + 1), accepted(10 * step + 2, body=b"x" * 300)], at(step))
    whole = (tmp_path / "store" / "jobs.db-wal").read_bytes()
    database = (tmp_path / "store" / "jobs.db").read_bytes()
    store.close()
    rng = random.Random(9)
    cuts = sorted({len(whole), *range(len(whole) - 60, len(whole)), *rng.sample(range(len(whole)), 150)})
    seen = []
    for cut in cuts:
        folder = tmp_path / f"cut{cut}"
        folder.mkdir()
        (folder / "jobs.db").write_bytes(database)
        (folder / "jobs.db-wal").write_bytes(whole[:cut])
        try:
            torn = opened(folder)
        except StoreError as fault:  # cut before the commit that made the tables: no job was taken on yet
            raise AssertionError(f"cut at {cut}: {fault}") from None
        numbers = [job.accepted.number for job in torn.open_jobs(0, 100)]
        torn.close()
        assert numbers == [10 * step + part for step in range(len(numbers) // 2) for part in (1, 2)], cut
        seen.append(len(numbers))
        shutil.rmtree(folder)
    assert seen == sorted(seen) and seen[-1] == 12


def test_a_log_that_is_damaged_in_the_middle_is_refused_and_the_last_commit_torn_is_not(tmp_path):
    store = opened(tmp_path / "store")
    for step in range(4):
        store.apply([accepted(step + 1)], at(step))
    folder = tmp_path / "store"
    log = bytearray((folder / "jobs.db-wal").read_bytes())
    verdict = examine(bytes(log))
    assert verdict.commits >= 4 and not verdict.damaged
    copies = {}
    for name, place in (("torn", len(log) - 100), ("damaged", len(log) // 2)):
        copies[name] = tmp_path / name
        copies[name].mkdir()
        shutil.copy(folder / "jobs.db", copies[name])
        bad = bytearray(log)
        bad[place] ^= 0xFF
        (copies[name] / "jobs.db-wal").write_bytes(bad)
    store.close()
    torn = opened(copies["torn"])
    assert len(torn.open_jobs(0, 10)) == 3
    torn.close()
    with pytest.raises(StoreError, match="damaged after"):
        opened(copies["damaged"])


def test_a_damaged_body_is_refused_when_it_is_read(tmp_path):
    store = opened(tmp_path)
    store.apply([accepted(1, body=b"precious"), accepted(2)], at(1))
    store.close()
    with sqlite3.connect(tmp_path / "jobs.db") as database:
        database.execute("UPDATE jobs SET body = x'00' WHERE number = 1")
    store = opened(tmp_path)
    with pytest.raises(StoreError, match="job 1 is damaged"):
        store.open_jobs(0, 10)
    store.close()
    assert run("check", tmp_path, code=1)["faults"] == ["job 1: its body is damaged"]


@pytest.mark.parametrize("change, message", [("PRAGMA user_version=99", "of format 99"),
                                             ("PRAGMA application_id=1", "not a store")])
def test_other_formats_and_other_files_are_refused(tmp_path, change, message):
    opened(tmp_path).close()
    with sqlite3.connect(tmp_path / "jobs.db") as database:
        database.execute(change)
    with pytest.raises(StoreError, match=message):
        opened(tmp_path)


def test_after_a_restart_of_the_machine_times_go_on_and_windows_are_over(tmp_path):
    store = opened(tmp_path, at(50_000_000, "first", wall=1_000_000_000))
    store.apply([accepted(1, give_up=60_000_000), granted(5, 1)], at(50_000_000, "first", wall=1_000_000_000))
    store.close()
    store = opened(tmp_path, at(7_000_000, "second", wall=1_003_000_000))  # 3 s later by the wall
    job, = store.open_jobs(0, 10)
    assert job.accepted.give_up == 7_000_000 + 10_000_000 - 3_000_000
    assert job.attempts[0].sent == 0 and job.attempts[0].state is AttemptState.OUT
    store.close()
    store = opened(tmp_path, at(1_000_000, "third", wall=500_000_000))  # the wall clock was set back
    assert store.open_jobs(0, 10)[0].accepted.give_up == 1_000_000 + 7_000_000
    store.close()


# ---- a disk that fails --------------------------------------------------------------------------


class Faulty(sqlite3.Connection):
    """Fails at statements drawn by seed: before they are carried out, or after."""

    rng = random.Random()
    rate = 0.0

    def execute(self, text, *values):
        fails = self.rng.random() < self.rate and not text.startswith(("PRAGMA", "SELECT"))
        if fails and self.rng.random() < 0.5:
            raise sqlite3.OperationalError("disk I/O error")
        result = super().execute(text, *values)
        if fails:
            raise sqlite3.OperationalError("database or disk is full")
        return result


@pytest.mark.parametrize("seed", range(6))
def test_what_is_written_on_a_failing_disk_is_there_once_and_in_order(tmp_path, seed, monkeypatch):
    monkeypatch.setattr("carthinge.durable.writer.BATCH", 7)
    monkeypatch.setattr("carthinge.durable.writer.AGAIN_FIRST", timedelta(milliseconds=1))

    def faulty(path):
        return sqlite3.connect(path, isolation_level=None, check_same_thread=False, factory=Faulty)

    Faulty.rng, Faulty.rate = random.Random(seed), 0.0
    store = opened(tmp_path, connect=faulty)
    loop, heard = Loop(), []
    writer = Writer(store, lambda: at(1), lambda sock, ready: loop.register(sock, READ, ready))
    Faulty.rate = 0.1
    loop.call_after(timedelta(seconds=20), lambda: None)  # so that no turn waits for longer
    for number in range(1, 60):
        writer.write(accepted(number), lambda found, number=number: heard.append(number))
        writer.write(granted(1000 + number, number))
        if number % 3 == 0:
            writer.write(ended(number), lambda found, number=number: heard.append(-number))
        if number % 10 == 0:
            loop.turn(idle=False)
    deadline = loop.clock.now() + timedelta(seconds=20)
    while len(heard) < 59 + 19:
        assert loop.clock.now() < deadline, f"seed {seed}: heard {len(heard)}"
        loop.turn()
    Faulty.rate = 0.0
    assert writer.stop(timedelta(seconds=5))
    order = [part for number in range(1, 60) for part in ([number, -number] if number % 3 == 0 else [number])]
    assert heard == order, f"seed {seed}"
    jobs = store.open_jobs(0, 100)
    assert [job.accepted.number for job in jobs] == [n for n in range(1, 60) if n % 3], f"seed {seed}"
    assert all([sent.token for sent in job.attempts] == [1000 + job.accepted.number] for job in jobs)
    assert writer.failures > 0
    writer.close()
    store.close()
    loop.close()


def test_a_store_that_is_full_says_so_and_recovers_when_there_is_room_again(tmp_path):
    store = opened(tmp_path, max_bytes=1024 * 1024)
    numbers = count(1)
    with pytest.raises(sqlite3.OperationalError, match="full"):
        while True:
            number = next(numbers)
            store.apply([accepted(number, body=b"x" * 20_000)], at(1))
    last = number - 1
    store.apply([ended(number, forget_at=5) for number in range(1, last)], at(2))
    assert store.forget(10) == last - 1
    store.apply([accepted(1000, body=b"x" * 20_000)], at(11))
    assert [job.accepted.number for job in store.open_jobs(0, 100)] == [last, 1000]
    assert store.usage().bytes_used < 200_000
    store.close()


# ---- one owner, and the command line ------------------------------------------------------------


def run(command, folder, code=0):
    ran = subprocess.run([sys.executable, "-m", "carthinge", "store", command, str(folder), "--json"],
                         capture_output=True, check=False, timeout=30)
    assert ran.returncode == code, ran.stderr
    return json.loads(ran.stdout) if ran.stdout else ran.stderr.decode()


def test_a_folder_has_one_owner_and_can_be_looked_at_meanwhile(tmp_path):
    store = opened(tmp_path)
    store.apply([accepted(1), granted(5, 1), accepted(2), ended(2)], at(1))
    with pytest.raises(StoreError, match="in use by process"):
        opened(tmp_path)
    seen = run("show", tmp_path)
    assert seen["open"][0]["out_at"] == "s-0" and {row["state"]: row["jobs"] for row in seen["jobs"]} == \
        {"open": 1, "served": 1}
    assert run("check", tmp_path) == {"jobs": 2, "faults": []}
    assert "in use" in run("compact", tmp_path, code=2)
    store.close()


def test_compacting_gives_the_room_of_ended_jobs_back(tmp_path):
    store = opened(tmp_path)
    store.apply([accepted(number, body=b"x" * 10_000) for number in range(1, 300)], at(1))
    store.apply([ended(number) for number in range(1, 299)], at(1))
    store.close()
    told = run("compact", tmp_path)
    assert told["bytes_after"] < told["bytes_before"] / 5
    store = opened(tmp_path)
    assert [job.accepted.number for job in store.open_jobs(0, 10)] == [299]
    store.close()


def test_what_is_no_store_is_named(tmp_path):
    assert "no such file" in run("show", tmp_path, code=2)
    (tmp_path / "jobs.db").write_bytes(b"something else" * 1000)
    assert "jobs.db" in run("check", tmp_path, code=2) or "not a database" in run("check", tmp_path, code=2)


# ---- what is decided beside it ------------------------------------------------------------------


def test_limits_name_what_is_short_and_count_what_is_open():
    limits = Limits(max_open=3, max_open_per_tenant=2, max_open_bytes=100, max_store_bytes=10_000,
                    max_backlog=5)
    fine = {"tenant": "a", "size": 10, "backlog": 0, "store_bytes": 0, "failing": False}
    assert limits.refusal(**fine) is None
    assert limits.refusal(**{**fine, "failing": True}) is Shed.FAILING
    assert limits.refusal(**{**fine, "backlog": 5}) is Shed.BACKLOG
    assert limits.refusal(**{**fine, "store_bytes": 8_500}) is Shed.FULL
    assert limits.refusal(**{**fine, "size": 101}) is Shed.BYTES
    limits.enter("a", 10)
    limits.enter("a", 10)
    assert limits.refusal(**fine) is Shed.TENANT and limits.refusal(**{**fine, "tenant": "b"}) is None
    limits.enter("b", 10)
    assert limits.refusal(**{**fine, "tenant": "c"}) is Shed.OPEN
    limits.leave("a", 10)
    assert limits.refusal(**fine) is None and limits.bytes == 20


def test_recovered_jobs_enter_at_their_pace_and_those_whose_time_is_over_at_once():
    entrance = Entrance(per_s=100)
    for job in range(50):
        entrance.park(job, timedelta(seconds=1000))
    entrance.park("late", timedelta(seconds=1))
    assert entrance.enter(timedelta(seconds=0)) == []
    entered, now = [], timedelta()
    while now < timedelta(milliseconds=300):
        due = entrance.due(now)
        assert now < due <= now + timedelta(milliseconds=20)
        now = due
        entered += entrance.enter(now)
    assert 28 <= len(entered) <= 32 and entered == list(range(len(entered)))
    assert entrance.drop(40) and not entrance.drop(40)
    at_its_end = entrance.enter(timedelta(seconds=1))
    assert at_its_end[0] == "late"
    entered += at_its_end[1:]
    while len(entrance):
        entered += entrance.enter(now := entrance.due(now))
    assert set(entered) == set(range(50)) - {40} and entrance.due(now) is None


def test_names_of_jobs_cannot_be_made_up():
    name = job_name(12345, b"secret")
    assert job_number(name, b"secret") == 12345 and job_number(name, b"other") is None
    for bad in ("", "-", "3039", "03039" + name[4:], name.upper(), name[:-1], "x" * 300, name + "\u00e9"):
        assert job_number(bad, b"secret") is None
