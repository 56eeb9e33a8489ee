"""Durable jobs during upgrades of a scheduler."""

import contextlib
import signal
import threading

import pytest
from durable_world import FILE, accept, get, put
from world import HOST, SETTINGS, World, free_port, job

from carthinge.durable.limits import ShedReason

BACKLOG_ANSWER = f"{ShedReason.BACKLOG.value}\n".encode()


#: Long objectives: a stub that is slow once is not marked unhealthy, and its job is not sent elsewhere.
PATIENT_SERVICES = [{**spec, "objective": 9_000_000} for spec in SETTINGS["services"]]


@pytest.fixture
def world(tmp_path):
    file, settings = FILE.replace("0.4", "9"), {**SETTINGS, "services": PATIENT_SERVICES}
    with World(tmp_path, workers=2, settings=settings, file=file, inherited_socket=True) as running:
        yield running


def test_upgrade_hands_over_store_and_waiting_clients(world):
    in_place = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    path = put(world, "a2", key="k2")
    other, its_id, its_token = accept(world)
    watching = world.connect().send(f"GET {path} HTTP/1.1\r\nHost: x\r\nPrefer: wait=9\r\n\r\n".encode())
    old, _ = world.upgrade()
    old.send_signal(signal.SIGTERM)
    world.wait_for_log("event=alone")
    old.wait()
    assert world.send_callback(req_id, "done", number, result="one", token=token) == 204
    assert world.send_callback(its_id, "done", other, result="two", token=its_token) == 204
    assert in_place.read()[2] == b"one" and watching.read()[2] == b"two"
    assert get(world, path)[1] == b"two"
    assert world.counters()["attempts_written"] == 0


def test_store_returns_if_new_process_is_killed(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    (old, operator), new = world.upgrade(), world.process
    new.kill()
    new.wait()
    world.process, world.operator = old, operator
    world.wait_for_log("taken_back")
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert put(world, "a2", prefer=None).read()[2] == b"r"
    client.close()


def test_new_process_without_store_changes_nothing(world):
    client = put(world, "a1", prefer=None)
    number, req_id, token = accept(world)
    refused = world.start(RELAY_OPERATOR=f"{HOST}:{free_port()}", CARTHINGE_FILE=str(other_file(world)))
    assert refused.wait(10) == 4
    world.wait_for_log("taken_back")
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert client.read()[2] == b"r"


def other_file(world):
    """Write an operator's file with a store folder that cannot be created."""
    path = world.file_path.with_name("other.toml")
    path.write_text(FILE.replace("{folder}", str(world.config_path / "not-a-folder")))
    return path


def test_upgrades_under_load_run_each_job_once(world):
    """Clients send job after job on kept connections, and workers serve at once."""
    stop, sent, statuses, errors = threading.Event(), [], [], []

    def ask(name):
        peer = world.connect()
        for step in range(1000):
            if stop.is_set():
                return
            req_id = f"{name}-{step}"
            try:
                peer.send(job(req_id, kind="reindex", deadline="9000m", Idempotency_Key=req_id))
                first, headers, body = peer.read()
                # A busy disk may cause this refusal at any time, with or without an upgrade.
                if body != BACKLOG_ANSWER:
                    statuses.append((first, body.decode(), req_id))
                if headers.get("connection") == "close":
                    peer = world.connect()
            except (OSError, EOFError) as error:
                errors.append((req_id, repr(error)))
                peer = world.connect()

    def work():
        while True:
            try:
                number, peer, (line, headers, _) = world.next_request()
            except (AssertionError, ValueError, OSError):  # the test is over
                return
            with contextlib.suppress(OSError, EOFError):  # withdrawn in the meantime: continue with the next
                peer.answer(202)
                if line.startswith("POST"):
                    sent.append(headers["req-id"])
                    world.send_callback(headers["req-id"], "done", number, result=headers["req-id"])

    threads = [threading.Thread(target=ask, args=(f"c{n}",)) for n in range(6)]
    worker = threading.Thread(target=work, daemon=True)
    for thread in (*threads, worker):
        thread.start()
    for _ in range(2):
        old, _ = world.upgrade()
        old.send_signal(signal.SIGTERM)
        old.wait()
    stop.set()
    for thread in threads:
        thread.join(20)
    assert not errors and {first for first, _, _ in statuses} == {"HTTP/1.1 200 OK"}, (errors, statuses[-5:])
    assert all(body == req_id for _, body, req_id in statuses) and len(statuses) > 20
    # A second attempt may only follow one that was withdrawn, which a stub that reads slowly may cause.
    withdrawn = [line for line in world.log().splitlines() if "attempt_ended" in line and "CANCELLED" in line]
    repeated = {req_id for req_id in sent if sent.count(req_id) > 1}
    assert all(any(f"id={req_id} " in line for line in withdrawn) for req_id in repeated), repeated
