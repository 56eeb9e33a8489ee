"""The operators' endpoint of the real program: readiness, metrics, and excluding workers."""

import json
import time

import pytest
from test_discovery import list_body
from world import SETTINGS, World, job, member, serve_next

CLASSES = ("query", "reindex", "charge")

# A re-admitted worker gets its full share at once.
NO_SLOW_START = {**SETTINGS, "rules": {**SETTINGS["rules"], "cold": 1}}


@pytest.fixture
def world(tmp_path):
    with World(tmp_path, workers=2, settings=NO_SLOW_START) as started:
        yield started


def counts_by_class(**known):
    return {**dict.fromkeys(CLASSES, 0), **known}


# ---- readiness and bad calls --------------------------------------------------------------------


def test_ready_requires_known_worker(tmp_path):
    with World(tmp_path, known=False) as world:
        assert world.operator_request("/ready")[0] == 503
        peer, _ = world.accept_watch()
        peer.answer(200, list_body(8, member("s-0", world.workers[0].port), complete=True))
        peer.read()
        assert world.operator_request("/ready")[0] == 200
        world.terminate()
        world.wait_for_log("draining")
        assert world.operator_request("/ready")[0] == 503


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/ready", 405),
        ("GET", "/workers/disable?who=s-0", 405),
        ("GET", "/nowhere", 404),
        ("POST", "/workers/disable", 400),
        ("POST", "/workers/disable?who=", 400),
        ("POST", "/workers/disable?who=s-0&who=s-1", 400),
        ("POST", "/workers/disable?who=nobody", 404),
        ("POST", "/workers/enable?who=nobody", 404),
    ],
)
def test_invalid_calls_rejected(world, method, path, status):
    assert world.operator_request(path, method)[0] == status
    assert world.metrics()["workers_excluded"] == 0


def test_bytewise_call_accepted_garbage_rejected(world):
    caller = world.connect_operator()
    for byte in b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n":
        caller.send(bytes((byte,)))
    assert caller.status() == 200 and caller.ended()  # one call per connection
    assert world.connect_operator().send(b"\x16\x03\x01\r\n\r\n").status() == 400


def test_silent_callers_disconnected(world):
    """Silent callers could otherwise hold all of the few connections for seconds."""
    silent = [world.connect_operator().send(b"GET /re") for _ in range(40)]
    start = time.monotonic()
    assert world.operator_request("/ready")[0] == 200 and time.monotonic() - start < 0.5
    assert silent[0].ended() and silent[-1].ended()
    assert 4 < time.monotonic() - start < 8


def test_operator_reachable_when_client_slots_full(tmp_path):
    with World(tmp_path, sockets=96) as world:
        clients = []
        for number in range(40):  # more than there are slots, each with a request in progress
            clients.append(world.submit(f"a{number}"))
            world.operator_request("/ready")  # the request is read, so its connection is not closed as silent
        assert clients[-1].status() == 503
        start = time.monotonic()
        assert world.operator_request("/ready")[0] == 200 and time.monotonic() - start < 1


# ---- metrics ------------------------------------------------------------------------------------


def test_metrics_count_jobs_and_attempts(world):
    metrics = world.metrics()
    memory = metrics.pop("memory")
    assert memory.keys() == {"resident", "held", "held_peak", "held_limit"}
    assert memory["held"] == memory["held_peak"] == 0
    assert memory["resident"] > 0 and 0 < memory["held_limit"] < 192 * 1024 * 1024
    assert metrics == {
        "served": counts_by_class(),
        "refused": counts_by_class(),
        "failed": counts_by_class(),
        "attempts": 0,
        "in_flight": 0,
        "workers_known": 2,
        "workers_excluded": 0,
        "reloads_ok": 0,
        "reloads_failed": 0,
        "overload": {
            "level_up": 0,
            "level_rises": 0,
            "shed_by_level": 0,
            "attempts_waiting": 0,
            "budget_left": 1.0,
            "budget_spent": 0,
        },
    }
    for number in range(3):
        client = world.submit(f"a{number}")
        serve_next(world, f"a{number}")
        assert client.status() == 200
    client = world.submit("b1", kind="charge")
    serve_next(world, "b1", state="failed")
    assert client.status() == 502
    client = world.submit("c1", kind="reindex", deadline="300m")
    world.next_request()[1].answer(202)
    assert world.metrics()["in_flight"] == 1
    assert client.status() == 503
    metrics = world.metrics()
    assert metrics["served"] == counts_by_class(query=3) and metrics["failed"] == counts_by_class(charge=1)
    assert metrics["refused"] == counts_by_class(reindex=1)
    assert metrics["attempts"] == 5 and metrics["in_flight"] == 0


def test_unconnected_attempt_not_counted(tmp_path):
    with World(tmp_path, workers=1) as world:
        world.workers.pop().close()
        world.names.pop()
        client = world.submit("a1", kind="charge", deadline="600m")
        assert client.status() == 503
        metrics = world.metrics()
        assert metrics["attempts"] == 0 and metrics["refused"] == counts_by_class(charge=1)
        assert metrics["workers_excluded"] == 1  # by the scheduler itself: it could not be reached


def test_metrics_count_listed_workers(world):
    peer, _ = world.accept_watch()
    peer.answer(
        200,
        list_body(
            8,
            member("s-0", world.workers[0].port, phase="Terminating"),
            member("s-1", world.workers[1].port, phase="Gone"),
        ),
    )
    peer.read()
    assert world.metrics()["workers_known"] == 1


def test_metrics_count_reloads(world):
    world.reload(world.discovery)
    world.wait_for_log("event=reloaded")
    world.reload("{")
    world.wait_for_log("reload_failed")
    metrics = world.metrics()
    assert (metrics["reloads_ok"], metrics["reloads_failed"]) == (1, 1)


# ---- excluding workers --------------------------------------------------------------------------


def serving_workers(world, prefix, count):
    """Serve jobs one after the other and return the workers that got them."""
    used = set()
    for number in range(count):
        client = world.submit(f"{prefix}{number}")
        used.add(serve_next(world, f"{prefix}{number}")[0])
        assert client.status() == 200
    return used


def test_excluded_worker_gets_no_jobs(world):
    assert serving_workers(world, "a", 8) == {0, 1}
    assert [world.control_worker("disable", "s-0") for _ in range(2)] == [200, 200]
    assert world.metrics()["workers_excluded"] == 1
    assert serving_workers(world, "b", 8) == {1}
    assert world.control_worker("enable", "s-0") == 200  # once is enough, although it was excluded twice
    assert world.metrics()["workers_excluded"] == 0
    assert serving_workers(world, "c", 12) == {0, 1}


def test_running_job_finishes_at_excluded_worker(world):
    client = world.submit("a1")
    number, peer, _ = world.next_request()
    assert world.control_worker("disable", world.names[number]) == 200
    peer.answer(202)
    world.send_callback("a1", "done", number, result="r")
    assert client.read()[2] == b"r"


def test_exclusion_survives_list_updates(world):
    """A worker that leaves, returns or restarts in discovery stays excluded until an operator enables it."""
    watch, _ = world.accept_watch()
    assert world.control_worker("disable", "s-0") == 200
    port = world.workers[0].port
    updates = [
        (member("s-0", port, phase="Gone"),),
        (member("s-0", port),),
        (member("s-0", port, up_since_ms=int(time.time() * 1000)),),
    ]
    for revision, members in enumerate(updates, 8):
        watch.answer(200, list_body(revision, *members))
        watch.read()
        if revision == 8:  # not listed: it can still be excluded or enabled, unlike other unlisted ids
            assert world.control_worker("disable", "s-0") == 200
            assert world.metrics()["workers_excluded"] == 0
    watch.answer(200, list_body(11, member("s-0", port), member("s-1", world.workers[1].port), complete=True))
    watch.read()
    world.reload(world.discovery)
    world.wait_for_log("event=reloaded")
    assert serving_workers(world, "a", 6) == {1}
    assert world.control_worker("enable", "s-0") == 200


def test_exclusion_closes_idle_connections(world):
    """The worker may be restarted meanwhile: a request on an old connection would be lost."""
    used = {}
    while len(used) < 2:
        client = world.submit(f"a{len(world.peers)}")
        number, peer, (_, headers, _) = world.next_request()
        peer.answer(202)
        world.send_callback(headers["req-id"], "done", number)
        assert client.status() == 200
        used[number] = peer
    assert world.control_worker("disable", "s-0") == 200
    assert used[0].ended()


def test_metrics_valid_json(world):
    body = world.operator_request("/metrics")[1]
    assert json.loads(body) and body.count(b'"served"') == 1


def test_metrics_not_served_to_clients(world):
    assert world.ask("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("404 Not Found")
    client = world.connect().send(job("a1"))
    serve_next(world, "a1")
    assert client.status() == 200
