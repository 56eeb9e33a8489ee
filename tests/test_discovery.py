"""The real program and discovery: the watch goes on, failures pass, lists take effect."""

import json
import socket
import time
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from world import SETTINGS, Listener, World, member

from carthinge.net.discovery import WatchTiming
from carthinge.settings import Facts, read_site


@pytest.fixture
def world(tmp_path):
    with World(tmp_path) as started:
        yield started


def told(revision, *members, complete=False):
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def test_the_first_watch_goes_on_from_the_known_list_and_the_next_follows_at_once(world):
    peer, line = world.watched()
    assert line.startswith("GET /discovery/hosts?index=7&wait=")
    peer.answer(200, told(9))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=9&wait=")


def test_a_worker_that_is_listed_anew_is_used_and_one_that_drains_is_not(world):
    world.workers.append(type(world.discovery)())
    world.names.append("s-new")
    peer, _ = world.watched()
    peer.answer(
        200,
        told(
            8,
            member("s-new", world.workers[1].port),
            member("s-0", world.workers[0].port, phase="Terminating"),
        ),
    )
    peer.read()  # the next call: that answer has taken effect
    for number in range(4):
        world.submit(f"a{number}")
        assert world.take()[0] == 1


def test_a_list_may_come_byte_by_byte(world):
    peer, _ = world.watched()
    body = told(9)
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body:
        peer.send(bytes((byte,)))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=9&wait=")


def test_a_worker_that_moves_is_reached_at_its_new_address(world):
    moved = type(world.discovery)()
    peer, _ = world.watched()
    peer.answer(200, told(8, member("s-0", moved.port), complete=True))
    peer.read()
    world.workers[0].close()
    world.workers[0] = moved
    world.submit("a1")
    assert world.take()[2][1]["req-id"] == "a1"


@pytest.mark.parametrize("failure", ["status", "garbage", "reset", "broken off"])
def test_after_a_failure_discovery_is_asked_again_and_the_old_list_holds(world, failure):
    peer, _ = world.watched()
    if failure == "status":
        peer.answer(503)
    elif failure == "garbage":
        peer.answer(200, b'{"revision":8,"members":[{"id":"s-0","host_port":"nowhere","phase":"Ready"}]}')
    elif failure == "reset":
        peer.close()
    else:  # and nothing more comes, while the connection stays open
        since = time.monotonic()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        assert peer.ended() and time.monotonic() - since < 1.5
    world.submit("a1")
    assert world.take()[2][1]["req-id"] == "a1"
    assert world.watched()[1].startswith("GET /discovery/hosts?index=7")
    assert world.counters()["watch_failures"] == 1 and "discovery_failed" in world.log()


def test_a_watch_that_falls_silent_is_noticed_within_seconds(world):
    """Its connection stays open and nothing comes; meanwhile workers that leave would be sent jobs."""
    world.watched()
    since = time.monotonic()
    assert world.watched()[1].startswith("GET /discovery/hosts?index=7")
    assert time.monotonic() - since < 6 and "no answer in time" in world.log()


def test_sighup_moves_the_watch_and_the_old_list_holds_until_the_new_discovery_has_spoken(world):
    old, _ = world.watched()
    moved = Listener()
    world.reload(moved)
    peer = world.accept(moved)
    assert old.ended()
    assert peer.read()[0] == "GET /discovery/hosts HTTP/1.1"  # all of it: its revisions are its own
    world.submit("a1")
    assert world.take()[2][1]["req-id"] == "a1"
    peer.answer(200, told(3, member("s-0", world.workers[0].port, phase="Terminating"), complete=True))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=3&wait=")
    assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("503 Service Unavailable")
    peer.close()
    world.reload(world.discovery)  # and back
    assert world.watched()[1] == "GET /discovery/hosts HTTP/1.1"


def test_the_whole_list_is_asked_for_until_the_new_discovery_has_given_it(world):
    world.watched()
    moved = Listener()
    world.reload(moved)
    world.accept(moved).answer(503)
    assert world.accept(moved).read()[0] == "GET /discovery/hosts HTTP/1.1"


def test_a_file_that_cannot_be_read_changes_nothing(world):
    peer, _ = world.watched()
    world.reload('{"name": "n0"')
    world.wait_for_log("reload_failed")
    peer.answer(200, told(9))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=9&wait=")


def test_not_up_without_a_worker(tmp_path):
    with World(tmp_path, known=False) as world:
        assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("503 Service Unavailable")
        peer, _ = world.watched()
        peer.answer(200, told(8, member("s-0", world.workers[0].port), complete=True))
        peer.read()
        assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("200 OK")


def pushed(grace, dial_timeout=250_000):
    return {
        **SETTINGS,
        "membership_mode": "automatic",
        "instances": 300,
        "caps": {**SETTINGS["caps"], "dial_timeout": dial_timeout},
        "rules": {**SETTINGS["rules"], "drain_grace": grace, "ask_within": 0},
    }


def test_a_new_process_hears_the_agent_before_it_serves(tmp_path):
    """What the agent has counts as told from its first moment, whatever list it was started with."""
    with World(tmp_path, workers=2, settings=pushed(4_000_000, dial_timeout=9_000_000)) as world:
        world.kill()
        world.discovery = Listener()
        world.config["discovery"] = f"127.0.0.1:{world.discovery.port}"
        world.process = world.start()
        peer, line = world.watched()
        assert line == "GET /discovery/hosts HTTP/1.1"
        with pytest.raises(ConnectionRefusedError):
            world.connect()
        drained = [
            member("s-0", world.workers[0].port, phase="Terminating"),
            member("s-1", world.workers[1].port),
        ]
        peer.answer(200, told(8, *drained, complete=True))
        assert peer.read()[0].startswith("GET /discovery/hosts?index=8&wait=1000")
        world.wait_until_up()
        for number in range(4):
            world.submit(f"a{number}")
            assert world.take()[0] == 1


def test_a_process_that_takes_over_hears_the_agent_too(tmp_path):
    with World(tmp_path, workers=2, settings=pushed(4_000_000), held=True) as world:
        old = world.watched()[0]
        world.upgrade()
        peer, line = world.watched()
        assert line == "GET /discovery/hosts HTTP/1.1"
        old.close()
        peer.answer(200, told(8, member("s-1", world.workers[1].port), complete=True))
        peer.read()
        world.submit("a1")
        assert world.take()[0] == 1


@pytest.mark.parametrize("failure", ["reset", "silent", "status"])
def test_an_agent_is_heard_again_within_the_grace(tmp_path, failure):
    """While discovery is down its agent is silent; what it gets at the return counts as told at once."""
    with World(tmp_path, settings=pushed(2_000_000)) as world:
        for _ in range(3):
            peer, _ = world.watched()
            since = time.monotonic()
            if failure == "reset":
                peer.close()
            elif failure == "status":
                peer.answer(503)
        assert world.watched()[1].startswith("GET /discovery/hosts?index=7")
        assert time.monotonic() - since < 2
        assert world.counters()["watch_failures"] < 9, "a busy loop"
        world.submit("a1")
        assert world.take()[2][1]["req-id"] == "a1"


def test_a_list_that_is_pushed_from_a_reload_on_is_watched(tmp_path):
    asked = {
        **SETTINGS,
        "instances": 300,
        "position": 299,  # whose first watch comes much later
        "rules": {**SETTINGS["rules"], "ask_within": 3_600_000_000},
    }
    with World(tmp_path, settings=asked) as world:
        world.reload(pushed(2_000_000))
        assert world.watched()[1].startswith("GET /discovery/hosts?index=7&wait=500")


def test_nothing_is_sent_on_a_connection_that_comes_up_after_its_worker_was_told_to_drain(tmp_path):
    with World(tmp_path, settings=pushed(4_000_000, dial_timeout=900_000)) as world:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # from then on nobody's connection comes up there
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        peer, _ = world.watched()
        good, port = world.workers[0].port, full.getsockname()[1]
        peer.answer(200, told(8, member("s-1", port), complete=True))
        peer.read()
        world.submit("a1")
        world.wait_for_log("attempt_sent")
        peer.answer(200, told(9, member("s-1", port, phase="Terminating"), member("s-0", good)))
        assert world.take()[2][1]["req-id"] == "a1"
        counted = world.counters()
        assert (counted["attempt_not_sent"], counted["attempts_written"]) == (1, 1)
        for sock in [full, *fillers]:
            sock.close()


@given(grace=st.timedeltas(timedelta(milliseconds=100), timedelta(seconds=10)))
def test_whatever_the_grace_a_pushed_watch_is_made_anew_within_it(grace):
    timing = WatchTiming.of(read_site(Facts.from_nested(pushed(grace // timedelta(microseconds=1)))))
    assert timing.wait + timing.margin + timing.retry_interval < grace and timing.retry_interval >= timedelta(
        milliseconds=10
    )
    assert timing.retry_wait + timing.retry_margin + timing.retry_interval < grace
