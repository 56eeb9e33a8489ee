"""The store of durable jobs alone: torn or damaged files, a failing disk, its lock, and the command line."""

import json
import random
import shutil
import sqlite3
import subprocess
import sys
from datetime import timedelta
from itertools import count

import pytest
from store_shorthands import accepted, at, ended, granted, opened

from carthinge.durable.errors import StoreError
from carthinge.durable.records import ENDED_BY_CALLBACK, AttemptFailed, AttemptState, Renewed
from carthinge.durable.wal import examine
from carthinge.durable.writer import Writer
from carthinge.net.loop import READ, Loop

# ---- crashes and damage -------------------------------------------------------------------------


def test_torn_log_gives_whole_commits(tmp_path):
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
        except StoreError as fault:  # even before the commit that creates the tables, with no job yet
            raise AssertionError(f"cut at {cut}: {fault}") from None
        numbers = [job.accepted.number for job in torn.open_jobs(0, 100).jobs]
        torn.close()
        assert numbers == [10 * step + part for step in range(len(numbers) // 2) for part in (1, 2)], cut
        seen.append(len(numbers))
        shutil.rmtree(folder)
    assert seen == sorted(seen) and seen[-1] == 12


def test_log_damaged_in_the_middle_is_refused(tmp_path):
    store = opened(tmp_path / "store")
    for step in range(4):
        store.apply([accepted(step + 1)], at(step))
    folder = tmp_path / "store"
    log = bytearray((folder / "jobs.db-wal").read_bytes())
    frames = examine(bytes(log))
    assert frames.valid_commits >= 4 and not frames.damaged
    copies = {}
    for name, offset in (("torn", len(log) - 100), ("damaged", len(log) // 2)):
        copies[name] = tmp_path / name
        copies[name].mkdir()
        shutil.copy(folder / "jobs.db", copies[name])
        content = bytearray(log)
        content[offset] ^= 0xFF
        (copies[name] / "jobs.db-wal").write_bytes(content)
    store.close()
    torn = opened(copies["torn"])
    assert len(torn.open_jobs(0, 10).jobs) == 3
    torn.close()
    with pytest.raises(StoreError, match="damaged after"):
        opened(copies["damaged"])


def test_damaged_body_is_detected(tmp_path):
    store = opened(tmp_path)
    store.apply([accepted(1, body=b"precious"), accepted(2)], at(1))
    store.close()
    with sqlite3.connect(tmp_path / "jobs.db") as database:
        database.execute("UPDATE jobs SET body = x'00' WHERE number = 1")
    store = opened(tmp_path)
    found = store.open_jobs(0, 10)
    assert found.damaged == [1] and [job.accepted.number for job in found.jobs] == [2] and found.last == 2
    store.close()
    assert run_command("check", tmp_path, code=1)["faults"] == ["job 1: its body is damaged"]


@pytest.mark.parametrize(
    "change, message",
    [("PRAGMA user_version=99", "of format 99"), ("PRAGMA application_id=1", "not a store")],
)
def test_other_formats_and_files_are_refused(tmp_path, change, message):
    opened(tmp_path).close()
    with sqlite3.connect(tmp_path / "jobs.db") as database:
        database.execute(change)
    with pytest.raises(StoreError, match=message):
        opened(tmp_path)


def test_reboot_shifts_times_and_ends_windows(tmp_path):
    store = opened(tmp_path, at(50_000_000, "first", wall=1_000_000_000))
    store.apply(
        [accepted(1, deadline=60_000_000), granted(5, 1)], at(50_000_000, "first", wall=1_000_000_000)
    )
    store.close()
    store = opened(tmp_path, at(7_000_000, "second", wall=1_003_000_000))  # 3 s later by the wall clock
    (job,) = store.open_jobs(0, 10).jobs
    assert job.accepted.deadline == 7_000_000 + 10_000_000 - 3_000_000
    assert job.attempts[0].sent == 0 and job.attempts[0].state is AttemptState.ACTIVE
    store.close()
    store = opened(tmp_path, at(1_000_000, "third", wall=500_000_000))  # the wall clock was set back
    assert store.open_jobs(0, 10).jobs[0].accepted.deadline == 1_000_000 + 7_000_000
    store.close()


@pytest.mark.parametrize("by_callback", [False, True])
def test_store_knows_which_attempts_a_callback_ended(tmp_path, by_callback):
    """Guards against a start that forgets which workers may repeat a callback, also after a reboot."""
    store = opened(tmp_path)
    batch = [accepted(1), granted(5, 1), Renewed(5, 77, 5)]
    store.apply([*batch, AttemptFailed(5, AttemptState.NEVER_RAN, by_callback)], at(1))
    for boot, until in (("b", 77), ("second", 0)):
        store.close()
        store = opened(tmp_path, at(1, boot))
        (attempt,) = store.open_jobs(0, 10).jobs[0].attempts
        assert attempt.state is AttemptState.NEVER_RAN
        assert attempt.until == (ENDED_BY_CALLBACK if by_callback else until)
    store.close()


# ---- a failing disk -----------------------------------------------------------------------------


class FaultyConnection(sqlite3.Connection):
    """Fails at random statements, by seed: before or after they are executed."""

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
def test_failing_disk_keeps_records_once_and_in_order(tmp_path, seed, monkeypatch):
    monkeypatch.setattr("carthinge.durable.writer.MAX_BATCH_RECORDS", 7)
    monkeypatch.setattr("carthinge.durable.writer.MIN_RETRY_DELAY", timedelta(milliseconds=1))

    def faulty(path):
        return sqlite3.connect(path, isolation_level=None, check_same_thread=False, factory=FaultyConnection)

    FaultyConnection.rng, FaultyConnection.rate = random.Random(seed), 0.0
    store = opened(tmp_path, connect=faulty)
    loop, notified = Loop(), []
    writer = Writer(store, lambda: at(1), lambda sock, ready: loop.register(sock, READ, ready))
    FaultyConnection.rate = 0.1
    loop.call_after(timedelta(seconds=20), lambda: None)  # limits the wait of each turn
    for number in range(1, 60):
        writer.write(accepted(number), lambda found, number=number: notified.append(number))
        writer.write(granted(1000 + number, number))
        if number % 3 == 0:
            writer.write(ended(number), lambda found, number=number: notified.append(-number))
        if number % 10 == 0:
            loop.turn(idle=False)
    deadline = loop.clock.now() + timedelta(seconds=20)
    while len(notified) < 59 + 19:
        assert loop.clock.now() < deadline, f"seed {seed}: {len(notified)} callbacks"
        loop.turn()
    FaultyConnection.rate = 0.0
    assert writer.stop(timedelta(seconds=5))
    expected_order = [
        part for number in range(1, 60) for part in ([number, -number] if number % 3 == 0 else [number])
    ]
    assert notified == expected_order, f"seed {seed}"
    jobs = store.open_jobs(0, 100).jobs
    assert [job.accepted.number for job in jobs] == [n for n in range(1, 60) if n % 3], f"seed {seed}"
    assert all([sent.token for sent in job.attempts] == [1000 + job.accepted.number] for job in jobs)
    assert writer.failures > 0
    writer.close()
    store.close()
    loop.close()


def test_full_store_fails_until_space_is_freed(tmp_path):
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
    assert [job.accepted.number for job in store.open_jobs(0, 100).jobs] == [last, 1000]
    assert store.usage().bytes_used < 200_000
    store.close()


# ---- the lock and the command line --------------------------------------------------------------


def run_command(command, folder, code=0):
    ran = subprocess.run(
        [sys.executable, "-m", "carthinge", "store", command, str(folder), "--json"],
        capture_output=True,
        check=False,
        timeout=30,
    )
    assert ran.returncode == code, ran.stderr
    return json.loads(ran.stdout) if ran.stdout else ran.stderr.decode()


def test_locked_store_can_be_shown_and_checked(tmp_path):
    store = opened(tmp_path)
    store.apply([accepted(1), granted(5, 1), accepted(2), ended(2)], at(1))
    with pytest.raises(StoreError, match="in use by process"):
        opened(tmp_path)
    seen = run_command("show", tmp_path)
    assert seen["open"][0]["out_at"] == "s-0" and {row["state"]: row["jobs"] for row in seen["jobs"]} == {
        "open": 1,
        "served": 1,
    }
    assert run_command("check", tmp_path) == {"jobs": 2, "faults": []}
    assert "in use" in run_command("compact", tmp_path, code=2)
    store.close()


def test_compaction_frees_space_of_ended_jobs(tmp_path):
    store = opened(tmp_path)
    store.apply([accepted(number, body=b"x" * 10_000) for number in range(1, 300)], at(1))
    store.apply([ended(number) for number in range(1, 299)], at(1))
    store.close()
    compacted = run_command("compact", tmp_path)
    assert compacted["bytes_after"] < compacted["bytes_before"] / 5
    store = opened(tmp_path)
    assert [job.accepted.number for job in store.open_jobs(0, 10).jobs] == [299]
    store.close()


def test_other_folders_are_reported(tmp_path):
    assert "no such file" in run_command("show", tmp_path, code=2)
    (tmp_path / "jobs.db").write_bytes(b"something else" * 1000)
    assert "jobs.db" in run_command("check", tmp_path, code=2) or "not a database" in run_command(
        "check", tmp_path, code=2
    )
