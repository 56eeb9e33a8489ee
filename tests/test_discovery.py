"""The real program and discovery: continued watches, recovery from failures, effect of lists."""

import contextlib
import json
import socket
import threading
import time
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from world import SETTINGS, Listener, World, member

from carthinge.net.discovery import WatchTiming
from carthinge.settings import SettingsTable, read_site


@pytest.fixture
def world(tmp_path):
    with World(tmp_path) as started:
        yield started


def list_body(revision, *members, complete=False):
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def test_watch_continues_from_known_revision(world):
    peer, line = world.accept_watch()
    assert line.startswith("GET /discovery/hosts?index=7&wait=")
    peer.answer(200, list_body(9))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=9&wait=")


def test_new_worker_used_and_draining_one_not(world):
    world.workers.append(type(world.discovery)())
    world.names.append("s-new")
    peer, _ = world.accept_watch()
    peer.answer(
        200,
        list_body(
            8,
            member("s-new", world.workers[1].port),
            member("s-0", world.workers[0].port, phase="Terminating"),
        ),
    )
    peer.read()  # the next call shows that the list was applied
    for number in range(4):
        world.submit(f"a{number}")
        assert world.next_request()[0] == 1


def test_list_arriving_byte_by_byte_is_read(world):
    peer, _ = world.accept_watch()
    body = list_body(9)
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body:
        peer.send(bytes((byte,)))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=9&wait=")


def test_moved_worker_is_reached_at_new_address(world):
    moved = type(world.discovery)()
    peer, _ = world.accept_watch()
    peer.answer(200, list_body(8, member("s-0", moved.port), complete=True))
    peer.read()
    world.workers[0].close()
    world.workers[0] = moved
    world.submit("a1")
    assert world.next_request()[2][1]["req-id"] == "a1"


@pytest.mark.parametrize("failure", ["status", "garbage", "reset", "broken off"])
def test_failed_call_is_retried_and_list_kept(world, failure):
    peer, _ = world.accept_watch()
    if failure == "status":
        peer.answer(503)
    elif failure == "garbage":
        peer.answer(200, b'{"revision":8,"members":[{"id":"s-0","host_port":"nowhere","phase":"Ready"}]}')
    elif failure == "reset":
        peer.close()
    else:  # the connection stays open without further data
        since = time.monotonic()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        assert peer.ended() and time.monotonic() - since < 1.5
    world.submit("a1")
    assert world.next_request()[2][1]["req-id"] == "a1"
    assert world.accept_watch()[1].startswith("GET /discovery/hosts?index=7")
    assert world.counters()["watch_failures"] == 1 and "discovery_failed" in world.log()


def test_silent_watch_times_out_within_seconds(world):
    """Guards against a connection that stays open without data, while jobs go to workers that have left."""
    world.accept_watch()
    since = time.monotonic()
    assert world.accept_watch()[1].startswith("GET /discovery/hosts?index=7")
    assert time.monotonic() - since < 6 and "no answer in time" in world.log()


def test_sighup_moves_watch_and_keeps_list(world):
    old, _ = world.accept_watch()
    moved = Listener()
    world.reload(moved)
    peer = world.accept(moved)
    assert old.ended()
    assert peer.read()[0] == "GET /discovery/hosts HTTP/1.1"  # revisions differ between discoveries
    world.submit("a1")
    assert world.next_request()[2][1]["req-id"] == "a1"
    peer.answer(200, list_body(3, member("s-0", world.workers[0].port, phase="Terminating"), complete=True))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=3&wait=")
    assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("503 Service Unavailable")
    peer.close()
    world.reload(world.discovery)  # move back
    assert world.accept_watch()[1] == "GET /discovery/hosts HTTP/1.1"


def test_new_discovery_is_asked_for_whole_list(world):
    world.accept_watch()
    moved = Listener()
    world.reload(moved)
    world.accept(moved).answer(503)
    assert world.accept(moved).read()[0] == "GET /discovery/hosts HTTP/1.1"


def test_unreadable_file_changes_nothing(world):
    peer, _ = world.accept_watch()
    world.reload('{"name": "n0"')
    world.wait_for_log("reload_failed")
    peer.answer(200, list_body(9))
    assert peer.read()[0].startswith("GET /discovery/hosts?index=9&wait=")


def test_not_up_without_worker(tmp_path):
    with World(tmp_path, known=False) as world:
        assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("503 Service Unavailable")
        peer, _ = world.accept_watch()
        peer.answer(200, list_body(8, member("s-0", world.workers[0].port), complete=True))
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


def test_new_process_waits_for_agent_list(tmp_path):
    """Changes that the agent has count as known from the start, whatever list is configured."""
    with World(tmp_path, workers=2, settings=pushed(4_000_000, dial_timeout=9_000_000)) as world:
        world.kill()
        world.discovery = Listener()
        world.config["discovery"] = f"127.0.0.1:{world.discovery.port}"
        world.process = world.start()
        peer, line = world.accept_watch()
        assert line == "GET /discovery/hosts HTTP/1.1"
        with pytest.raises(ConnectionRefusedError):
            world.connect()
        drained = [
            member("s-0", world.workers[0].port, phase="Terminating"),
            member("s-1", world.workers[1].port),
        ]
        peer.answer(200, list_body(8, *drained, complete=True))
        assert peer.read()[0].startswith("GET /discovery/hosts?index=8&wait=1000")
        world.wait_until_up()
        for number in range(4):
            world.submit(f"a{number}")
            assert world.next_request()[0] == 1


@contextlib.contextmanager
def answered_calls(world, peer):
    """Answer the calls on a connection meanwhile, so that its process does not time out and open another."""
    members = [member(name, worker.port) for name, worker in zip(world.names, world.workers, strict=True)]
    stopped = threading.Event()

    def answer():
        with contextlib.suppress(EOFError, ConnectionError):  # the process no longer watches
            while not stopped.wait(0.1):  # the agent's wait for a change
                peer.answer(200, list_body(7, *members, complete=True))
                peer.read()

    thread = threading.Thread(target=answer)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


def test_successor_requests_agent_list(tmp_path):
    with World(tmp_path, workers=2, settings=pushed(4_000_000), inherited_socket=True) as world:
        old = world.accept_watch()[0]
        with answered_calls(world, old):  # until the successor calls, however long it takes to start
            world.upgrade()
            peer, line = world.accept_watch()
        assert line == "GET /discovery/hosts HTTP/1.1"
        old.close()
        peer.answer(200, list_body(8, member("s-1", world.workers[1].port), complete=True))
        peer.read()
        world.submit("a1")
        assert world.next_request()[0] == 1


@pytest.mark.parametrize("failure", ["reset", "silent", "status"])
def test_agent_is_called_again_within_grace(tmp_path, failure):
    """An agent does not respond while discovery is down; changes it gets later count as known at once."""
    with World(tmp_path, settings=pushed(2_000_000)) as world:
        for _ in range(3):
            peer, _ = world.accept_watch()
            since = time.monotonic()
            if failure == "reset":
                peer.close()
            elif failure == "status":
                peer.answer(503)
        assert world.accept_watch()[1].startswith("GET /discovery/hosts?index=7")
        assert time.monotonic() - since < 2
        assert world.counters()["watch_failures"] < 9, "a busy loop"
        world.submit("a1")
        assert world.next_request()[2][1]["req-id"] == "a1"


def test_reload_to_pushed_mode_starts_watch(tmp_path):
    polled = {
        **SETTINGS,
        "instances": 300,
        "position": 299,  # its first watch would start much later
        "rules": {**SETTINGS["rules"], "ask_within": 3_600_000_000},
    }
    with World(tmp_path, settings=polled) as world:
        world.reload(pushed(2_000_000))
        assert world.accept_watch()[1].startswith("GET /discovery/hosts?index=7&wait=500")


def test_connecting_attempt_to_draining_worker_is_not_sent(tmp_path):
    with World(tmp_path, settings=pushed(4_000_000, dial_timeout=900_000)) as world:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # fills the backlog: further connects stay pending
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        peer, _ = world.accept_watch()
        good, port = world.workers[0].port, full.getsockname()[1]
        peer.answer(200, list_body(8, member("s-1", port), complete=True))
        peer.read()
        world.submit("a1")
        world.wait_for_log("attempt_sent")
        peer.answer(200, list_body(9, member("s-1", port, phase="Terminating"), member("s-0", good)))
        assert world.next_request()[2][1]["req-id"] == "a1"
        counted = world.counters()
        assert (counted["attempt_not_sent"], counted["attempts_written"]) == (1, 1)
        for sock in [full, *fillers]:
            sock.close()


@given(grace=st.timedeltas(timedelta(milliseconds=100), timedelta(seconds=10)))
def test_pushed_watch_is_renewed_within_grace(grace):
    timing = WatchTiming.of(read_site(SettingsTable.from_nested(pushed(grace // timedelta(microseconds=1)))))
    assert timing.wait + timing.margin + timing.retry_interval < grace and timing.retry_interval >= timedelta(
        milliseconds=10
    )
    assert timing.retry_wait + timing.retry_margin + timing.retry_interval < grace
