"""Durable jobs on a disk that is slow, full or blocked, and with a damaged store."""

import contextlib
import json
import sqlite3
import subprocess
import sys
import time

import pytest
from durable_world import FILE, accept, get, lock_store, put
from world import HOST, World, free_port, job

OPERATOR_FILE = FILE  # of the fixture `world`


# ---- the store ----------------------------------------------------------------------------------


def test_two_processes_cannot_open_one_store(world, tmp_path):
    other = world.start(
        TMPDIR=str(tmp_path / "elsewhere"),
        RELAY_LISTEN=f"{HOST}:{free_port()}",
        RELAY_OPERATOR=f"{HOST}:{free_port()}",
    )
    assert other.wait(10) == 4
    assert f"in use by process {world.process.pid}" in world.log()


@pytest.mark.parametrize("column", ["body", "headers", "terms"])
def test_damaged_job_does_not_block_others(world, column):
    """The scheduler did not start until the damaged record was repaired, so all open jobs were late."""
    damaged, intact = put(world, "a1"), put(world, "a2", key="k2")
    world.kill()
    with contextlib.closing(sqlite3.connect(world.store / "jobs.db", isolation_level=None)) as database:
        database.execute(f"UPDATE jobs SET {column} = x'c1' WHERE req_id = 'a1'")
    world.restart()
    accept_and_end(world, "a2")
    assert get(world, intact)[0] == 200
    status, body, _ = get(world, damaged)
    assert (status, body) == (500, b"the record of the job is damaged\n")
    assert world.metrics()["durable"]["damaged"] == 1 and "job_damaged" in world.log()
    put(world, "a3", key="k3")
    accept_and_end(world, "a3")
    world.kill()
    with contextlib.closing(sqlite3.connect(world.store / "jobs.db", isolation_level=None)) as database:
        (kept,) = database.execute("SELECT state FROM jobs WHERE req_id = 'a1'").fetchone()
    assert kept == 0, "the damaged record must stay as it is, for repair"


def accept_and_end(world, req_id):
    """Serve jobs until this one, at any worker; attempts from before a kill may be retried first."""
    while True:
        number, taken, token = accept(world)
        assert world.send_callback(taken, "done", number, token=token, result="r") in (204, 409)
        if taken == req_id:
            return


def test_unreadable_store_prevents_start(world):
    put(world, "a1")
    world.kill()
    for path in world.store.glob("jobs.db*"):
        path.write_bytes(b"not a database, and long enough to be taken for one" * 100)
    process = world.start()
    assert process.wait(10) == 4 and "jobs.db" in world.log()


# ---- a slow, full or blocked disk -----------------------------------------------------------------


def test_blocked_disk_sheds_only_durable_jobs(world):
    blocker = lock_store(world)
    began = time.monotonic()
    first, headers, _ = put(world, "a1", prefer=None).read()
    assert first.split()[1] == "503" and "retry-after" in headers and time.monotonic() - began < 1.5
    client = world.submit("q1")
    number, peer, _ = world.next_request()
    peer.answer(202)
    world.send_callback("q1", "done", number, result="r")
    assert client.status() == 200
    world.wait_for_log("store_failing")
    assert world.metrics()["durable"]["failing"]
    assert put(world, "a2", key="k2", prefer=None).status() == 503
    blocker.rollback()
    world.wait_for_log("store_well")
    path = put(world, "a3")  # its key is free, since a shed job is not run
    number, req_id, _ = accept(world)
    assert req_id == "a3"
    world.send_callback(req_id, "done", number, result="r")
    assert get(world, path)[1] == b"r"
    assert world.counters()["attempts_written"] == 2


def test_crash_before_result_is_recorded_accepts_callback_again(world):
    path = put(world, "a1")
    number, req_id, token = accept(world)
    blocker = lock_store(world)
    body = json.dumps(
        {"id": req_id, "from": world.names[number], "state": "done", "result": "r", "token": token}
    ).encode()
    caller = world.connect()
    caller.send(b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    world.wait_for_log("store_failing")
    world.kill()
    assert caller.ended()  # the callback was not answered
    blocker.rollback()
    blocker.close()
    world.restart()
    assert get(world, path, prefer="")[0] == 202
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r"


def test_blocked_disk_does_not_delay_result_past_deadline(world):
    client = put(world, "a1", prefer=None, deadline="1500m")
    number, req_id, _ = accept(world, takes_part=False)
    blocker = lock_store(world)
    began = time.monotonic()
    body = json.dumps({"id": req_id, "from": world.names[number], "state": "done", "result": "r"}).encode()
    world.connect().send(
        b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    first, _, answer = client.read()
    assert (first.split()[1], answer) == ("200", b"r") and time.monotonic() - began < 1.6
    blocker.rollback()


def test_full_store_sheds_until_space_is_free(tmp_path):
    small = "max_store_bytes = 1048576\nkeep_results = 1\nkeep_collected = 0\n[leases]"
    file = FILE.replace("[leases]", small)
    with World(tmp_path, workers=2, file=file) as world:
        paths, refused = [], None
        while refused is None and len(paths) < 80:
            first, headers, body = (
                world.connect()
                .send(
                    job(
                        f"a{len(paths)}",
                        kind="reindex",
                        deadline="9000m",
                        body=b"x" * 30000,
                        Idempotency_Key=f"k{len(paths)}",
                        Prefer="respond-async",
                    )
                )
                .read()
            )
            if first.split()[1] == "202":
                paths.append(headers["location"])
            else:
                refused = body
        assert refused == b"the store is full\n" and 10 < len(paths) < 40
        for path in paths:
            assert get(world, path, "DELETE")[0] == 204
        until = time.monotonic() + 9
        while (
            status := world.connect()
            .send(
                job(
                    f"b{time.monotonic()}",
                    kind="reindex",
                    deadline="9000m",
                    body=b"x" * 30000,
                    Idempotency_Key=str(time.monotonic()),
                    Prefer="respond-async",
                )
            )
            .status()
        ) != 202:
            assert status == 503 and time.monotonic() < until
            time.sleep(0.05)  # polls: only the answer shows that there is space


@pytest.mark.parametrize("after", [0.0, 0.05, 0.15, 0.3])
def test_killed_compaction_keeps_the_store(world, after):
    path = put(world, "a1")
    number, req_id, token = accept(world, takes_part=False)
    world.kill()
    compacting = subprocess.Popen(
        [sys.executable, "-m", "carthinge", "store", "compact", str(world.store)], stdout=subprocess.DEVNULL
    )
    time.sleep(after)  # kills it at different points
    compacting.kill()
    compacting.wait()
    checked = subprocess.run(
        [sys.executable, "-m", "carthinge", "store", "check", str(world.store)],
        capture_output=True,
        check=False,
    )
    assert checked.returncode == 0, checked.stdout
    world.restart()
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r"
