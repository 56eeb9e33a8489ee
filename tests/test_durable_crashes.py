"""Durable jobs through a scheduler that is killed, or ends, at any point."""

import contextlib
import sqlite3
import threading
import time
from pathlib import Path

import msgspec
import pytest
from durable_world import FILE, accept, get, put
from world import World

from carthinge import interface as io
from carthinge.durable.records import Ended, Granted, JobState
from carthinge.durable.store import Store, Time
from carthinge.net.worker_directory import number_of

OPERATOR_FILE = FILE  # of the fixture `world`


# ---- crashes ------------------------------------------------------------------------------------


def test_a_job_that_was_sent_survives_and_its_call_back_is_taken(world):
    path = put(world, "a1")
    number, req_id, token = accept(world)
    world.kill()
    world.restart()
    assert get(world, path, prefer="")[0] == 202
    assert world.tell(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r"
    assert world.counters()["attempts_written"] == 0


def test_a_job_that_waited_survives_and_is_sent(tmp_path):
    with World(tmp_path, workers=1, file=FILE.replace("0.4", "5")) as world:
        paths = [put(world, f"a{step}", key=f"k{step}") for step in range(5)]  # the worker gets four at first
        out = [accept(world) for _ in range(4)]
        world.kill()
        world.restart()
        assert world.metrics()["durable"]["open"] == 5
        for number, req_id, token in out:
            assert world.tell(req_id, "done", number, result=req_id, token=token) == 204
        number, req_id, token = accept(world)
        assert {req_id, *(sent[1] for sent in out)} == {f"a{step}" for step in range(5)}
        assert world.tell(req_id, "done", number, result=req_id, token=token) == 204
        assert [get(world, path)[1] for path in paths] == [f"a{step}".encode() for step in range(5)]


def test_the_same_key_after_a_crash_finds_the_job_and_then_its_result(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    world.kill()
    with pytest.raises((EOFError, ConnectionResetError)):
        client.read()
    world.restart()
    again = put(world, "a2", prefer=None)
    world.tell(req_id, "done", number, result="r", token=token)
    assert again.read()[2] == b"r"
    world.kill()
    world.restart()
    assert put(world, "a3", prefer=None).read()[2] == b"r"
    assert world.tell(req_id, "done", number, result="r", token=token) == 204  # its worker heard nothing
    assert world.tell(req_id, "done", number, result="x", token=token + 1) == 409
    assert world.counters()["attempts_written"] == 0


def test_a_deadline_that_passes_while_it_is_down_gets_one_failed_answer(world):
    path = put(world, "a1", deadline="700m")
    accept(world)
    world.kill()
    time.sleep(0.8)  # the deadline itself
    world.restart()
    status = get(world, path)[0]
    assert status in (503, 504) and get(world, path)[0] == status
    assert put(world, "a2", prefer="respond-async")


def test_a_token_is_never_used_twice(world):
    tokens = set()
    for step in range(4):
        put(world, f"a{step}", key=f"k{step}")
        tokens.add(accept(world)[2])
        world.kill()
        world.restart()
    assert len(tokens) == 4


def test_an_unsafe_job_that_may_have_run_is_not_run_again(world):
    path = put(world, "a1", kind="charge", deadline="3000m")
    accept(world)
    world.kill()
    world.restart()
    assert get(world, path)[0] in (502, 504)  # the former where it is known that its worker takes part
    assert world.counters()["attempts_written"] == 0


# ---- an ordinary end ------------------------------------------------------------------------------


def test_at_sigterm_those_who_wait_are_told_where_the_job_can_be_asked_for(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    served = threading.Event()

    def run():
        while not served.wait(0.1):
            with contextlib.suppress(OSError, EOFError):
                world.tell(req_id, "running", number, share=0.5, token=token)

    worker = threading.Thread(target=run)
    worker.start()
    world.terminate()
    first, headers, _ = client.read()
    assert first.split()[1] == "202"
    assert world.process.wait(10) == 0
    world.restart()
    served.set()
    worker.join()
    assert world.tell(req_id, "done", number, result="r", token=token) == 204
    assert get(world, headers["location"])[1] == b"r"


# ---- crashes at named points ----------------------------------------------------------------------


def write_down(world, *batch):
    """What a scheduler that has died had written last."""
    now = time.monotonic_ns() // 1000 + 86_400_000_000
    moment = Time(now, time.time_ns() // 1000, Path("/proc/sys/kernel/random/boot_id").read_text().strip())
    store = Store(world.store, 1 << 30)
    store.open(moment)
    jobs = {job.accepted.req_id: job.accepted.number for job in store.open_jobs(0, 100).jobs}
    store.apply([record(jobs, now) for record in batch], moment)
    store.close()


def granted(world, req_id, worker):
    """A grant of that job to that worker, of which nothing was sent."""
    entry = msgspec.msgpack.encode(io.WorkerEntry(number_of(world.names[worker])))
    address = f"127.0.0.1:{world.workers[worker].port}"
    return lambda jobs, now: Granted(
        1, jobs[req_id], 0, world.names[worker], address, entry, now, now + 9_000_000
    )


def waiting(world, kind, deadline="9000m"):
    """A job that waits for a worker, of a scheduler that is killed then: its name."""
    for step in range(8):  # as many as two workers get at first
        put(world, f"b{step}", key=f"b{step}")
        accept(world)
    path = put(world, "a1", kind=kind, deadline=deadline)
    world.kill()
    return path


def test_a_crash_between_recording_and_sending_counts_as_sent(world):
    path = waiting(world, "charge", deadline="3000m")
    write_down(world, granted(world, "a1", 0))
    world.restart()
    assert get(world, path)[0] == 504  # the class forbids a repeat, and nothing tells that it was not sent
    with contextlib.closing(sqlite3.connect(world.store / "jobs.db")) as database:
        assert database.execute(
            "SELECT count(*) FROM attempts WHERE job = " "(SELECT number FROM jobs WHERE req_id = 'a1')"
        ).fetchone() == (1,)


def test_a_crash_between_recording_and_sending_a_keyed_job_has_it_sent_elsewhere(tmp_path):
    with World(tmp_path, workers=2, file=FILE.replace("0.4", "5")) as world:
        path = waiting(world, "reindex")
        write_down(world, granted(world, "a1", 0))
        world.restart()
        line, headers = "", {}
        while not (line.startswith("POST") and headers["req-id"] == "a1"):  # others are moved, too
            number, peer, (line, headers, _) = world.take()
            peer.answer(202)
            if line.startswith("POST") and headers["req-id"] != "a1":  # one at a time: its cap has fallen
                world.tell(headers["req-id"], "done", number, result="r", token=int(headers["lease-token"]))
        assert number == 1
        assert world.tell("a1", "done", 1, result="r", token=int(headers["lease-token"])) == 204
        assert get(world, path)[1] == b"r"


def test_a_crash_between_sending_and_the_202_waits_for_the_worker(world):
    client = put(world, "a1", prefer=None)
    number, _, (_, headers, _) = world.take()  # and no 202
    world.kill()
    client.close()
    world.restart()
    token = int(headers["lease-token"])
    assert world.tell("a1", "done", number, result="r", token=token) == 204
    assert put(world, "a2", prefer=None).read()[2] == b"r"
    assert world.counters()["attempts_written"] == 0


def test_a_crash_between_recording_a_result_and_telling_it(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    world.kill()
    client.close()
    write_down(world, lambda jobs, now: Ended(jobs["a1"], JobState.SERVED, b"r", token, now, now + 10**8))
    world.restart()
    assert world.tell(req_id, "done", number, result="r", token=token) == 204
    assert put(world, "a2", prefer=None).read()[2] == b"r"
    assert world.counters()["attempts_written"] == 0
