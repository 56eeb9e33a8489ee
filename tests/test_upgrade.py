"""Upgrades: a new process takes over from the old one on an inherited listener."""

import contextlib
import json
import socket
import threading
import time

import msgspec
import pytest
from test_operator import NO_SLOW_START, serving_workers
from world import SETTINGS, WAIT, World, job, serve_next

from carthinge.net.channel import FORMAT


@pytest.fixture
def world(tmp_path):
    with World(tmp_path, workers=2, settings=NO_SLOW_START, inherited_socket=True) as started:
        yield started


def hold_jobs(world, count, **more):
    """Start jobs that stay at their workers; return the client, worker and id of each."""
    held = []
    for number in range(count):
        client = world.submit(f"held{number}", kind="reindex", deadline="9000m", **more)
        at, peer, _ = world.next_request()
        peer.answer(202)
        assert (
            world.send_callback(f"held{number}", "started", at) == 204
        )  # keeps the worker from being suspected
        held.append((client, at, f"held{number}"))
    world.counters()  # the 202s are read
    return held


def wait_for_handover(world, count):
    """Wait until the new process has the given number of jobs; readiness does not imply that."""
    until = time.monotonic() + WAIT
    while world.metrics()["in_flight"] < count:
        assert time.monotonic() < until, world.log()
        time.sleep(0.01)


def count_events(log, event):
    return sum(f"event={event}" in line for line in log.splitlines())


def test_inherited_listener_stays_open(world):
    assert serving_workers(world, "a", 4) == {0, 1}
    world.terminate()
    assert world.process.wait(WAIT) == 0
    waiting = world.submit("late")  # waits in the backlog of the inherited listener
    world.process = world.start()
    serve_next(world, "late")
    assert waiting.status() == 200


def test_connections_handed_over_without_lost_jobs(world):
    kept = [world.connect() for _ in range(5)]
    for number, client in enumerate(kept):
        client.send(job(f"a{number}"))
        serve_next(world, f"a{number}")
        assert client.status() == 200
    unused = world.connect()  # without a request so far
    busy = hold_jobs(world, 1)[0]
    old, _ = world.upgrade()
    old.terminate()
    for number, client in enumerate([*kept, unused]):
        client.send(job(f"b{number}"))
        serve_next(world, f"b{number}")
        assert client.status() == 200
    client, at, name = busy
    assert world.send_callback(name, "done", at, result="from the old one") == 204
    assert client.read()[2] == b"from the old one"
    client.send(job("c1"))  # the connection was handed over after its answer
    serve_next(world, "c1")
    assert client.status() == 200
    assert old.wait(WAIT) == 0
    assert count_events(world.log(), "handed_over") == 1 and count_events(world.log(), "alone") == 1
    assert world.counters()["connections_taken_over"] >= 7


def test_callbacks_forwarded_to_owning_process(world):
    """Both processes accept on the same listener; the owner of the job handles and counts a callback once."""
    caller = world.connect()  # stays at the old process, with a half sent callback
    body = json.dumps({"id": "new", "from": "s-0", "state": "done", "result": "x"}).encode()
    caller.send(b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body))
    early = world.submit("early", kind="reindex")
    at, _, _ = world.next_request()  # without a 202 this job stays at the old process, too
    world.send_callback("early", "started", at)
    world.counters()  # the half callback is read
    world.upgrade()
    assert world.send_callback("early", "done", at, result="y") == 204  # accepted by the new process
    assert early.read()[2] == b"y"
    while True:  # until a job is at the worker that the half callback names
        client = world.submit("new")
        at, peer, _ = world.next_request()
        peer.answer(202)
        if at == 0:
            break
        world.send_callback("new", "done", at)
        client.status()
    world.counters()  # the 202 is read
    caller.send(body)
    assert caller.status() == 204 and client.read()[2] == b"x"
    assert sum(world.metrics()["served"].values()) == world.counters()["served"]
    assert world.counters()["job_events_passed_on"] == 1


def test_open_jobs_survive_old_process(world):
    """Open jobs survive a SIGKILL of the old process, and their earlier attempts still limit retries."""
    held = hold_jobs(world, 2)
    charge = world.submit("charge", kind="charge", deadline="9000m")
    at, peer, _ = world.next_request()
    peer.answer(202)
    world.send_callback("charge", "started", at)
    retried = world.submit("again", kind="query", deadline="9000m")
    first, peer, _ = world.next_request()
    peer.answer(202)
    world.send_callback("again", "lost", first)
    last, peer, _ = world.next_request()
    peer.answer(202)
    world.send_callback("again", "started", last)
    world.counters()  # the 202 is read
    old, _ = world.upgrade()
    wait_for_handover(world, 4)
    old.kill()
    assert old.wait(WAIT)
    world.wait_for_log("event=alone")
    assert world.metrics()["in_flight"] == 4
    for client, worker, name in held:
        assert world.send_callback(name, "done", worker, result=name) == 204
        assert client.read()[2] == name.encode()
    world.send_callback("charge", "lost", at)
    assert charge.status() == 502  # it may have run
    world.send_callback("again", "lost", last)
    assert first != last and retried.status() == 503  # it has been at every worker already
    assert world.metrics()["in_flight"] == 0


def test_queued_job_sent_by_new_process(tmp_path):
    with World(tmp_path, workers=1, settings=NO_SLOW_START, inherited_socket=True) as world:
        held = hold_jobs(world, 4)  # as many as an unknown worker gets
        waiting = world.submit("waiting", deadline="9000m")
        world.counters()  # the request is read
        old, _ = world.upgrade()
        wait_for_handover(world, 5)
        old.kill()
        assert old.wait(WAIT)
        for client, at, name in held:
            world.send_callback(name, "done", at)
            assert client.status() == 200
        serve_next(world, "waiting")
        assert waiting.status() == 200


def test_exclusions_shared_between_processes(world):
    serving_workers(world, "a", 4)
    assert world.control_worker("disable", "s-0") == 200
    _, before = world.upgrade()
    after = world.operator
    assert serving_workers(world, "b", 6) == {1}
    assert world.metrics()["workers_excluded"] == 1
    world.operator = before
    assert world.control_worker("enable", "s-0") == 200 and world.control_worker("enable", "nobody") == 404
    assert serving_workers(world, "c", 12) == {0, 1}
    world.operator = after
    assert world.control_worker("disable", "s-1") == 200
    world.operator = before
    assert world.metrics()["workers_excluded"] == 1
    assert serving_workers(world, "d", 6) == {0}


def test_new_process_continues_discovery_revision(world):
    watch, _ = world.accept_watch()
    watch.answer(200, json.dumps({"revision": 31, "complete": False, "members": []}).encode())
    watch.read()
    world.upgrade()
    peer = world.accept(world.discovery)
    assert peer.read()[0].startswith("GET /discovery/hosts?index=31&wait=")  # not the configured revision


def test_upgrades_under_load_lose_no_jobs(tmp_path):
    """Clients on kept and on new connections, served by stub workers, through two upgrades."""
    lenient = [{**SETTINGS["services"][0], "objective": 5_000_000}]  # a stub that is slow once stays healthy
    with World(
        tmp_path, workers=2, settings={**NO_SLOW_START, "services": lenient}, inherited_socket=True
    ) as world:
        run_clients_during_upgrades(world)


def run_clients_during_upgrades(world):
    stop = threading.Event()
    answers, errors = [], []

    def accept_connections(listener, name):
        with contextlib.suppress(OSError):
            while not stop.is_set():
                threading.Thread(target=serve, args=(listener.accept(), name), daemon=True).start()

    def serve(peer, name):
        with contextlib.suppress(OSError, EOFError):
            while True:
                line, headers, _ = peer.read()
                peer.answer(202)
                if line.startswith("DELETE"):
                    continue
                event = json.dumps({"id": headers["req-id"], "from": name, "state": "done"}).encode()
                with socket.create_connection((world.listening_socket.getsockname()), WAIT) as callback_sock:
                    callback_sock.sendall(
                        b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
                        % (len(event), event)
                    )
                    assert callback_sock.recv(1000).startswith(b"HTTP/1.1 204")

    def run_client(name):
        client = None
        try:
            for number in range(10**6):
                if stop.is_set():
                    return
                client = client if client and number % 7 else world.connect()
                client.send(job(f"{name}-{number}"))
                answers.append(client.status())
        except (OSError, EOFError) as error:
            errors.append(error)

    threads = [
        threading.Thread(target=accept_connections, args=pair)
        for pair in zip(world.workers, world.names, strict=True)
    ]
    threads += [threading.Thread(target=run_client, args=(f"c{number}",)) for number in range(6)]
    for thread in threads:
        thread.start()
    for _ in range(2):
        old, _ = world.upgrade()
        old.terminate()
        assert old.wait(WAIT) == 0
    served = len(answers)
    until = time.monotonic() + WAIT
    while len(answers) < served + 50:
        assert time.monotonic() < until
    stop.set()
    for thread in threads[2:]:
        thread.join()
    ends = [line for line in world.log().splitlines() if "state=refused" in line or "state=failed" in line]
    assert set(answers) == {200} and not errors, (set(answers), errors, ends)


def test_failed_start_keeps_old_process(world):
    serving_workers(world, "a", 4)
    failing = world.start(RELAY_OPERATOR=f"192.0.2.1:{world.operator}")  # not an address of this machine
    assert failing.wait(WAIT) == 3
    dying_process = socket.socket(socket.AF_UNIX)
    dying_process.connect(str(next(world.temporary_folder.iterdir())))
    hello = msgspec.msgpack.encode({"type": "Hello", "format": FORMAT})
    dying_process.send(len(hello).to_bytes(4, "big") + hello)
    dying_process.close()  # asks to take over, then dies
    world.wait_for_log("taken_back")
    assert serving_workers(world, "b", 6) == {0, 1}
    assert world.upgrade() and serving_workers(world, "c", 6) == {0, 1}


def test_stale_socket_or_stuck_process_ignored(world):
    """A new process must serve within 6 s even if the old one died or does not respond on its socket."""
    world.process.kill()
    world.process.wait()
    path = next(world.temporary_folder.iterdir())
    assert world.upgrade() and serving_workers(world, "a", 4) == {0, 1}
    world.process.kill()
    world.process.wait()
    path.unlink()
    with socket.socket(socket.AF_UNIX) as stuck:
        stuck.bind(str(path))
        stuck.listen()
        start = time.monotonic()
        world.upgrade()
        assert time.monotonic() - start < 5 and serving_workers(world, "b", 4) == {0, 1}
        assert count_events(world.log(), "not_handed_over") == 1


def test_old_process_killed_during_upgrade(world):
    client = world.submit("a1", kind="reindex")
    at, _, _ = world.next_request()  # without a 202 it cannot be handed over
    world.send_callback("a1", "started", at)  # otherwise it would be tried at another worker soon
    old, _ = world.upgrade()
    old.kill()
    old.wait()
    assert client.ended()
    assert world.send_callback("a1", "done", at) == 204  # no process has the job any more
    assert serving_workers(world, "b", 6) == {0, 1}
    assert world.control_worker("disable", "s-0") == 200 and serving_workers(world, "c", 4) == {1}


def test_new_process_killed_after_upgrade(world):
    old, before = world.upgrade()
    world.process.kill()
    world.process.wait()
    world.process, world.operator = old, before
    world.wait_for_log("taken_back")
    assert serving_workers(world, "b", 6) == {0, 1}
    assert world.upgrade() and serving_workers(world, "c", 6) == {0, 1}


@pytest.mark.parametrize("ended", [False, True], ids=["open", "ended"])
def test_id_that_returns_at_the_other_process_is_not_run_twice(world, ended):
    """Guards against a job that the old process has, or had, and the new one does not know."""
    client, at, name = hold_jobs(world, 1)[0]
    client.close()
    while world.counters()["client_gone"] == 0:
        time.sleep(0.01)
    old, _ = world.upgrade()
    if ended:
        assert world.send_callback(name, "done", at) == 204
        old.terminate()
        assert old.wait(WAIT) == 0
    again = world.submit(name, kind="reindex", deadline="9000m")
    assert again.status() == 400
    assert world.counters()["attempts"] == 0


def test_ids_that_come_to_both_processes_run_once(world):
    """Guards against both processes taking a job that neither has yet."""
    kept = hold_jobs(world, 4)
    world.upgrade()
    names = [f"both{number}" for number in range(4)]
    for (client, _, _), name in zip(kept, names, strict=True):  # behind a job that the old process has
        client.send(job(name))
    fresh = [world.submit(name) for name in names]
    for _, at, name in kept:
        assert world.send_callback(name, "done", at) == 204
    attempts = []
    for _ in names:
        at, peer, request = world.next_request()
        peer.answer(202)
        attempts.append(request[1]["req-id"])
        world.send_callback(request[1]["req-id"], "done", at)
    statuses = [client.status() for client in fresh]
    for client, _, _ in kept:
        assert client.status() == 200
        statuses.append(client.status())
    assert sorted(attempts) == names and sorted(statuses) == [200] * 4 + [400] * 4
