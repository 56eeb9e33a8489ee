"""Durable jobs when the scheduler is killed or ends at various points."""

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
from carthinge.net.worker_directory import worker_number

OPERATOR_FILE = FILE  # of the fixture `world`


# ---- crashes ------------------------------------------------------------------------------------


def test_sent_job_survives_crash(world):
    path = put(world, "a1")
    number, req_id, token = accept(world)
    world.kill()
    world.restart()
    assert get(world, path, prefer="")[0] == 202
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r"
    assert world.counters()["attempts_written"] == 0


def test_waiting_job_survives_crash_and_is_sent(tmp_path):
    with World(tmp_path, workers=1, file=FILE.replace("0.4", "5")) as world:
        # The worker's initial limit is four.
        paths = [put(world, f"a{step}", key=f"k{step}") for step in range(5)]
        running = [accept(world) for _ in range(4)]
        world.kill()
        world.restart()
        assert world.metrics()["durable"]["open"] == 5
        for number, req_id, token in running:
            assert world.send_callback(req_id, "done", number, result=req_id, token=token) == 204
        number, req_id, token = accept(world)
        assert {req_id, *(sent[1] for sent in running)} == {f"a{step}" for step in range(5)}
        assert world.send_callback(req_id, "done", number, result=req_id, token=token) == 204
        assert [get(world, path)[1] for path in paths] == [f"a{step}".encode() for step in range(5)]


def test_same_key_finds_job_and_result_after_crash(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    world.kill()
    with pytest.raises((EOFError, ConnectionResetError)):
        client.read()
    world.restart()
    again = put(world, "a2", prefer=None)
    world.send_callback(req_id, "done", number, result="r", token=token)
    assert again.read()[2] == b"r"
    world.kill()
    world.restart()
    assert put(world, "a3", prefer=None).read()[2] == b"r"
    # The worker got no answer and repeats its callback.
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert world.send_callback(req_id, "done", number, result="x", token=token + 1) == 409
    assert world.counters()["attempts_written"] == 0


def test_deadline_passed_while_down_fails_once(world):
    path = put(world, "a1", deadline="700m")
    accept(world)
    world.kill()
    time.sleep(0.8)  # past the deadline
    world.restart()
    status = get(world, path)[0]
    assert status in (503, 504) and get(world, path)[0] == status
    assert put(world, "a2", prefer="respond-async")


def test_tokens_are_unique_across_crashes(world):
    tokens = set()
    for step in range(4):
        put(world, f"a{step}", key=f"k{step}")
        tokens.add(accept(world)[2])
        world.kill()
        world.restart()
    assert len(tokens) == 4


def test_unsafe_job_is_not_rerun_after_crash(world):
    path = put(world, "a1", kind="charge", deadline="3000m")
    accept(world)
    world.kill()
    world.restart()
    assert get(world, path)[0] in (502, 504)  # 502 if its worker is known to take part in leases
    assert world.counters()["attempts_written"] == 0


# ---- orderly shutdown -----------------------------------------------------------------------------


def test_sigterm_gives_waiting_clients_a_location(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    served = threading.Event()

    def run():
        while not served.wait(0.1):
            with contextlib.suppress(OSError, EOFError):
                world.send_callback(req_id, "running", number, share=0.5, token=token)

    worker = threading.Thread(target=run)
    worker.start()
    world.terminate()
    first, headers, _ = client.read()
    assert first.split()[1] == "202"
    assert world.process.wait(10) == 0
    world.restart()
    served.set()
    worker.join()
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert get(world, headers["location"])[1] == b"r"


# ---- crashes at named points ----------------------------------------------------------------------


def append_records(world, *batch):
    """Apply records to the store, as if the killed scheduler had written them last."""
    now = time.monotonic_ns() // 1000 + 86_400_000_000
    moment = Time(now, time.time_ns() // 1000, Path("/proc/sys/kernel/random/boot_id").read_text().strip())
    store = Store(world.store, 1 << 30)
    store.open(moment)
    jobs = {job.accepted.req_id: job.accepted.number for job in store.open_jobs(0, 100).jobs}
    store.apply([record(jobs, now) for record in batch], moment)
    store.close()


def granted(world, req_id, worker):
    """Return a grant of the job to the worker, of which nothing was sent."""
    entry = msgspec.msgpack.encode(io.WorkerEntry(worker_number(world.names[worker])))
    address = f"127.0.0.1:{world.workers[worker].port}"
    return lambda jobs, now: Granted(
        1, jobs[req_id], 0, world.names[worker], address, entry, now, now + 9_000_000
    )


def kill_with_waiting_job(world, kind, deadline="9000m"):
    """Submit a job that waits for a worker and kill the scheduler; return the job's path."""
    for step in range(8):  # the initial limit of two workers
        put(world, f"b{step}", key=f"b{step}")
        accept(world)
    path = put(world, "a1", kind=kind, deadline=deadline)
    world.kill()
    return path


def test_crash_between_grant_and_send_counts_as_sent(world):
    path = kill_with_waiting_job(world, "charge", deadline="3000m")
    append_records(world, granted(world, "a1", 0))
    world.restart()
    assert get(world, path)[0] == 504  # the class forbids a retry, and it may have been sent
    with contextlib.closing(sqlite3.connect(world.store / "jobs.db")) as database:
        assert database.execute(
            "SELECT count(*) FROM attempts WHERE job = " "(SELECT number FROM jobs WHERE req_id = 'a1')"
        ).fetchone() == (1,)


def test_crash_after_grant_of_keyed_job_sends_it_elsewhere(tmp_path):
    with World(tmp_path, workers=2, file=FILE.replace("0.4", "5")) as world:
        path = kill_with_waiting_job(world, "reindex")
        append_records(world, granted(world, "a1", 0))
        world.restart()
        line, headers = "", {}
        while not (line.startswith("POST") and headers["req-id"] == "a1"):  # other jobs move as well
            number, peer, (line, headers, _) = world.next_request()
            peer.answer(202)
            # The worker's limit has fallen to one job at a time.
            if line.startswith("POST") and headers["req-id"] != "a1":
                world.send_callback(
                    headers["req-id"], "done", number, result="r", token=int(headers["lease-token"])
                )
        assert number == 1
        assert world.send_callback("a1", "done", 1, result="r", token=int(headers["lease-token"])) == 204
        assert get(world, path)[1] == b"r"


def test_crash_before_202_waits_for_worker(world):
    client = put(world, "a1", prefer=None)
    number, _, (_, headers, _) = world.next_request()  # without a 202
    world.kill()
    client.close()
    world.restart()
    token = int(headers["lease-token"])
    assert world.send_callback("a1", "done", number, result="r", token=token) == 204
    assert put(world, "a2", prefer=None).read()[2] == b"r"
    assert world.counters()["attempts_written"] == 0


def test_crash_between_recording_and_reporting_result(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    world.kill()
    client.close()
    append_records(world, lambda jobs, now: Ended(jobs["a1"], JobState.SERVED, b"r", token, now, now + 10**8))
    world.restart()
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert put(world, "a2", prefer=None).read()[2] == b"r"
    assert world.counters()["attempts_written"] == 0
