"""Durable jobs on a disk that lags, is full, stands still, or holds something else."""

import contextlib
import json
import sqlite3
import subprocess
import sys
import time

import pytest
from durable_world import FILE, accept, get, locked, put
from world import HOST, World, free_port, job

OPERATOR_FILE = FILE  # of the fixture `world`


# ---- the store ----------------------------------------------------------------------------------


def test_two_processes_cannot_have_one_store(world, tmp_path):
    other = world.start(
        TMPDIR=str(tmp_path / "elsewhere"),
        RELAY_LISTEN=f"{HOST}:{free_port()}",
        RELAY_OPERATOR=f"{HOST}:{free_port()}",
    )
    assert other.wait(10) == 4
    assert f"in use by process {world.process.pid}" in world.log()


@pytest.mark.parametrize("column", ["body", "headers", "terms"])
def test_an_open_job_that_is_damaged_is_named_and_keeps_no_other_from_being_served(world, column):
    """The whole scheduler did not start until its store was mended: all other open jobs were late."""
    damaged, whole = put(world, "a1"), put(world, "a2", key="k2")
    world.kill()
    with contextlib.closing(sqlite3.connect(world.store / "jobs.db", isolation_level=None)) as database:
        database.execute(f"UPDATE jobs SET {column} = x'c1' WHERE req_id = 'a1'")
    world.restart()
    accept_and_end(world, "a2")
    assert get(world, whole)[0] == 200
    status, body, _ = get(world, damaged)
    assert (status, body) == (500, b"the record of the job is damaged\n")
    assert world.metrics()["durable"]["damaged"] == 1 and "job_damaged" in world.log()
    put(world, "a3", key="k3")
    accept_and_end(world, "a3")
    world.kill()
    with contextlib.closing(sqlite3.connect(world.store / "jobs.db", isolation_level=None)) as database:
        (kept,) = database.execute("SELECT state FROM jobs WHERE req_id = 'a1'").fetchone()
    assert kept == 0, "it stays as it is, for whoever mends it"


def accept_and_end(world, req_id):
    """Whatever worker it comes to serves it; attempts from before a kill may be repeated."""
    while True:
        number, taken, token = accept(world)
        assert world.tell(taken, "done", number, token=token, result="r") in (204, 409)
        if taken == req_id:
            return


def test_a_store_that_cannot_be_read_is_named_and_nothing_is_served(world):
    put(world, "a1")
    world.kill()
    for path in world.store.glob("jobs.db*"):
        path.write_bytes(b"not a database, and long enough to be taken for one" * 100)
    process = world.start()
    assert process.wait(10) == 4 and "jobs.db" in world.log()


# ---- a disk that lags, is full, or stands still ---------------------------------------------------


def test_while_the_disk_stands_still_durable_jobs_are_shed_and_others_go_on(world):
    stuck = locked(world)
    began = time.monotonic()
    first, headers, _ = put(world, "a1", prefer=None).read()
    assert first.split()[1] == "503" and "retry-after" in headers and time.monotonic() - began < 1.5
    client = world.submit("q1")
    number, peer, _ = world.take()
    peer.answer(202)
    world.tell("q1", "done", number, result="r")
    assert client.status() == 200
    world.wait_for_log("store_failing")
    assert world.metrics()["durable"]["failing"]
    assert put(world, "a2", key="k2", prefer=None).status() == 503
    stuck.rollback()
    world.wait_for_log("store_well")
    path = put(world, "a3")  # its key is free, since what was shed is not run
    number, req_id, _ = accept(world)
    assert req_id == "a3"
    world.tell(req_id, "done", number, result="r")
    assert get(world, path)[1] == b"r"
    assert world.counters()["attempts_written"] == 2


def test_a_crash_between_a_result_and_its_record_takes_the_call_back_again(world):
    path = put(world, "a1")
    number, req_id, token = accept(world)
    stuck = locked(world)
    body = json.dumps(
        {"id": req_id, "from": world.names[number], "state": "done", "result": "r", "token": token}
    ).encode()
    caller = world.connect()
    caller.send(b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    world.wait_for_log("store_failing")
    world.kill()
    assert caller.ended()  # it was not told that its call had come
    stuck.rollback()
    stuck.close()
    world.restart()
    assert get(world, path, prefer="")[0] == 202
    assert world.tell(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r"


def test_a_result_is_told_at_the_deadline_though_the_disk_stands_still(world):
    client = put(world, "a1", prefer=None, deadline="1500m")
    number, req_id, _ = accept(world, takes_part=False)
    stuck = locked(world)
    began = time.monotonic()
    body = json.dumps({"id": req_id, "from": world.names[number], "state": "done", "result": "r"}).encode()
    world.connect().send(
        b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    first, _, answer = client.read()
    assert (first.split()[1], answer) == ("200", b"r") and time.monotonic() - began < 1.6
    stuck.rollback()


def test_a_full_store_sheds_and_takes_jobs_again_when_there_is_room(tmp_path):
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
            time.sleep(0.05)  # nothing tells that there is room but the answer itself


@pytest.mark.parametrize("after", [0.0, 0.05, 0.15, 0.3])
def test_compacting_may_be_killed_at_any_time(world, after):
    path = put(world, "a1")
    number, req_id, token = accept(world, takes_part=False)
    world.kill()
    compacting = subprocess.Popen(
        [sys.executable, "-m", "carthinge", "store", "compact", str(world.store)], stdout=subprocess.DEVNULL
    )
    time.sleep(after)  # the point at which it is killed
    compacting.kill()
    compacting.wait()
    checked = subprocess.run(
        [sys.executable, "-m", "carthinge", "store", "check", str(world.store)],
        capture_output=True,
        check=False,
    )
    assert checked.returncode == 0, checked.stdout
    world.restart()
    assert world.tell(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r"
