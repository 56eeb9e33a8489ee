"""The real program and its operators: its figures, and workers out by hand."""

import json
import time

import pytest
from test_discovery import told
from world import SETTINGS, World, job, member, serve_next

CLASSES = ("query", "reindex", "charge")


WARM = {**SETTINGS, "rules": {**SETTINGS["rules"], "cold": 1}}  # a worker is back at its full use at once


@pytest.fixture
def world(tmp_path):
    with World(tmp_path, workers=2, settings=WARM) as started:
        yield started


def counts(**known):
    return {**dict.fromkeys(CLASSES, 0), **known}


# ---- the address --------------------------------------------------------------------------------


def test_ready_once_a_worker_is_known(tmp_path):
    with World(tmp_path, known=False) as world:
        assert world.operate("/ready")[0] == 503
        peer, _ = world.watched()
        peer.answer(200, told(8, member("s-0", world.workers[0].port), complete=True))
        peer.read()
        assert world.operate("/ready")[0] == 200
        world.terminate()
        world.wait_for_log("draining")
        assert world.operate("/ready")[0] == 503


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
def test_what_cannot_be_done_is_answered_no(world, method, path, status):
    assert world.operate(path, method)[0] == status
    assert world.metrics()["workers_excluded"] == 0


def test_a_call_may_come_byte_by_byte_and_garbage_is_answered_400(world):
    caller = world.call()
    for byte in b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n":
        caller.send(bytes((byte,)))
    assert caller.status() == 200 and caller.ended()  # one call a connection
    assert world.call().send(b"\x16\x03\x01\r\n\r\n").status() == 400


def test_silent_callers_keep_nobody_out_and_are_cut_off(world):
    """The slots are few: without room made for the next caller, silent ones would hold them for seconds."""
    silent = [world.call().send(b"GET /re") for _ in range(40)]
    since = time.monotonic()
    assert world.operate("/ready")[0] == 200 and time.monotonic() - since < 0.5
    assert silent[0].ended() and silent[-1].ended()
    assert 4 < time.monotonic() - since < 8


def test_clients_that_hold_every_place_keep_no_operator_out(tmp_path):
    with World(tmp_path, sockets=96) as world:
        clients = []
        for number in range(40):  # more than there are slots, each with a request under way
            clients.append(world.submit(f"a{number}"))
            world.operate("/ready")  # it is read, and does not make room as one that says nothing
        assert clients[-1].status() == 503
        since = time.monotonic()
        assert world.operate("/ready")[0] == 200 and time.monotonic() - since < 1


# ---- figures ------------------------------------------------------------------------------------


def test_jobs_are_counted_by_class_and_attempts_once_written(world):
    assert world.metrics() == {
        "served": counts(),
        "refused": counts(),
        "failed": counts(),
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
    world.take()[1].answer(202)
    assert world.metrics()["in_flight"] == 1
    assert client.status() == 503
    figures = world.metrics()
    assert figures["served"] == counts(query=3) and figures["failed"] == counts(charge=1)
    assert figures["refused"] == counts(reindex=1)
    assert figures["attempts"] == 5 and figures["in_flight"] == 0


def test_an_attempt_that_cannot_connect_is_not_counted_as_written(tmp_path):
    with World(tmp_path, workers=1) as world:
        world.workers.pop().close()
        world.names.pop()
        client = world.submit("a1", kind="charge", deadline="600m")
        assert client.status() == 503
        figures = world.metrics()
        assert figures["attempts"] == 0 and figures["refused"] == counts(charge=1)
        assert figures["workers_excluded"] == 1  # by choice: it could not be reached


def test_workers_are_counted_as_listed(world):
    peer, _ = world.watched()
    peer.answer(
        200,
        told(
            8,
            member("s-0", world.workers[0].port, phase="Terminating"),
            member("s-1", world.workers[1].port, phase="Gone"),
        ),
    )
    peer.read()
    assert world.metrics()["workers_known"] == 1


def test_files_that_are_taken_and_turned_down_are_counted(world):
    world.reload(world.discovery)
    world.wait_for_log("event=reloaded")
    world.reload("{")
    world.wait_for_log("reload_failed")
    figures = world.metrics()
    assert (figures["reloads_ok"], figures["reloads_failed"]) == (1, 1)


# ---- out by hand --------------------------------------------------------------------------------


def takers(world, prefix, count):
    """The workers that get so many jobs, served one after the other."""
    used = set()
    for number in range(count):
        client = world.submit(f"{prefix}{number}")
        used.add(serve_next(world, f"{prefix}{number}")[0])
        assert client.status() == 200
    return used


def test_a_worker_out_by_hand_gets_nothing_until_it_is_put_back(world):
    assert takers(world, "a", 8) == {0, 1}
    assert [world.by_hand("disable", "s-0") for _ in range(2)] == [200, 200]
    assert world.metrics()["workers_excluded"] == 1
    assert takers(world, "b", 8) == {1}
    assert world.by_hand("enable", "s-0") == 200  # once, though it was taken out twice
    assert world.metrics()["workers_excluded"] == 0
    assert takers(world, "c", 12) == {0, 1}


def test_what_is_at_a_worker_may_finish_there_once_it_is_out(world):
    client = world.submit("a1")
    number, peer, _ = world.take()
    assert world.by_hand("disable", world.names[number]) == 200
    peer.answer(202)
    world.tell("a1", "done", number, result="r")
    assert client.read()[2] == b"r"


def test_no_list_puts_a_worker_back(world):
    """Its restart, its leaving and its return are news of discovery, and not of the operators."""
    watch, _ = world.watched()
    assert world.by_hand("disable", "s-0") == 200
    port = world.workers[0].port
    news = [
        (member("s-0", port, phase="Gone"),),
        (member("s-0", port),),
        (member("s-0", port, up_since_ms=int(time.time() * 1000)),),
    ]
    for revision, members in enumerate(news, 8):
        watch.answer(200, told(revision, *members))
        watch.read()
        if revision == 8:  # not listed: it can stay out or be put back, and others like it are unknown
            assert world.by_hand("disable", "s-0") == 200
            assert world.metrics()["workers_excluded"] == 0
    watch.answer(200, told(11, member("s-0", port), member("s-1", world.workers[1].port), complete=True))
    watch.read()
    world.reload(world.discovery)
    world.wait_for_log("event=reloaded")
    assert takers(world, "a", 6) == {1}
    assert world.by_hand("enable", "s-0") == 200


def test_a_worker_put_back_is_not_reached_on_connections_from_before(world):
    """It was restarted meanwhile: what is sent on an old connection would be lost."""
    used = {}
    while len(used) < 2:
        client = world.submit(f"a{len(world.opened)}")
        number, peer, (_, headers, _) = world.take()
        peer.answer(202)
        world.tell(headers["req-id"], "done", number)
        assert client.status() == 200
        used[number] = peer
    assert world.by_hand("disable", "s-0") == 200
    assert used[0].ended()


def test_metrics_stay_whole_json(world):
    body = world.operate("/metrics")[1]
    assert json.loads(body) and body.count(b'"served"') == 1


def test_a_client_s_connection_knows_nothing_of_the_operators_calls(world):
    assert world.ask("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("404 Not Found")
    client = world.connect().send(job("a1"))
    serve_next(world, "a1")
    assert client.status() == 200
