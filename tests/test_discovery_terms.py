"""Failures of discovery: a change must be known 6 s after discovery has it and is reachable."""

import errno
import json
from datetime import timedelta

import pytest
from faults import advance_clock, inject_faults
from helpers import listing, make_dispatcher, only, settings
from hypothesis import given
from hypothesis import strategies as st
from in_process import accept_next, read_next, run_until
from world import SETTINGS, Listener, job, member

from carthinge import interface as io
from carthinge.net.discovery import RESPONSE_MARGIN, RETRY_RESPONSE_MARGIN, RETRY_WAIT, WatchState
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND
from carthinge.net.worker_directory import worker_number

MAX_PROPAGATION = timedelta(seconds=6)


@pytest.fixture
def discovery(worker):
    return worker


@pytest.fixture
def watching(serve, discovery):
    """A program that has made its first call of discovery, and the connection of that call."""
    program = serve()
    program.watch.set_address(Address("127.0.0.1", discovery.port))
    peer = accept_next(discovery, program)
    assert read_next(peer, program)[0] == "GET /discovery/hosts HTTP/1.1"
    return program, peer


def answer(program, peer, revision, *members, complete=True):
    """Answer a call of discovery; return the request line of the next call."""
    body = json.dumps({"revision": revision, "complete": complete, "members": members}, indent=4).encode()
    peer.answer(200, body)
    return read_next(peer, program)[0]


def advance(program, duration):
    """Advance the clock in small steps with a turn of the loop after each."""
    until = program.loop.clock.now() + duration
    while program.loop.clock.now() < until:
        advance_clock(program, timedelta(milliseconds=50))
        program.loop.turn(idle=False)
        program.tracker.decide()


@given(
    failures=st.integers(1, 60),
    instances=st.integers(1, 230),
    ask_within=st.integers(1_000_000, 60_000_000),
    seed=st.integers(0, 2**32),
)
def test_retry_pause_and_timeout_stay_below_limit(failures, instances, ask_within, seed):
    """Guards against a pause that grows with each failure, which reached ten seconds, so that a recovered
    discovery is called too late."""
    gateway = make_dispatcher(
        settings(subscribe=True, instances=instances, ask_within=ask_within), 1, seed=seed
    )
    now = 30_000_000
    gateway.handle(now, [])
    for _ in range(failures):
        now += 1000
        gateway.handle(now, [listing(kind=io.Listing.FAILED)])
        paused = now
        while not only(io.Watch, gateway.handle(now, [io.Timer(0)])):
            now += 50_000
    assert (now - paused) * MICROSECOND + RESPONSE_MARGIN < MAX_PROPAGATION
    few = min(instances, 100) == instances
    assert not few or (now - paused) * MICROSECOND + RETRY_WAIT + RETRY_RESPONSE_MARGIN < MAX_PROPAGATION


def test_call_after_failure_has_short_timeout(watching, discovery):
    """Guards against a long watch right after a failure: without a response, it kept the list outdated."""
    program, peer = watching
    assert "wait=1000" in answer(program, peer, 9, member("s-0", 1))
    peer.close()
    run_until(program, lambda: program.counters.watch_failures == 1)
    advance(program, timedelta(seconds=1))
    silent = accept_next(discovery, program)
    assert read_next(silent, program)[0] == "GET /discovery/hosts?index=9&wait=1 HTTP/1.1"
    advance(program, RETRY_WAIT + RETRY_RESPONSE_MARGIN + timedelta(seconds=2))
    again = accept_next(discovery, program)
    read_next(again, program)
    assert silent.ended() and "wait=1000" in answer(program, again, 10, member("s-0", 1))


@pytest.mark.parametrize("instances", [1, 200])
def test_silent_watch_is_renewed_after_its_wait(serve, discovery, instances):
    program = serve(settings={**SETTINGS, "instances": instances})
    program.watch.set_address(Address("127.0.0.1", discovery.port))
    peer = accept_next(discovery, program)
    read_next(peer, program)
    line = answer(program, peer, 9, member("s-0", 1))
    wait = timedelta(milliseconds=int(line.split("wait=")[1].split()[0]))
    advance(program, wait + RESPONSE_MARGIN + timedelta(milliseconds=500))
    again = accept_next(discovery, program)
    assert read_next(again, program)[0].endswith("index=9&wait=1 HTTP/1.1") and peer.ended()


@pytest.mark.parametrize("complete", [True, False])
def test_older_list_is_not_applied(watching, complete):
    """Guards against an older list that makes a draining worker ready again."""
    program, peer = watching
    ready = member("s-0", 1)
    drained = member("s-0", 1, phase="Terminating")
    assert "index=9&" in answer(program, peer, 9, drained)
    line = answer(program, peer, 8, ready, complete=complete)
    assert line == "GET /discovery/hosts HTTP/1.1", "the whole list must be requested"
    assert (
        program.directory.ready == set() and program.directory.targets[worker_number("s-0")].draining_or_gone
    )
    assert "index=10&" in answer(program, peer, 10, ready)
    assert program.directory.ready == {"s-0"}


def test_restarted_discovery_is_trusted_by_whole_list(watching):
    """Its revisions restart as well, so a watch from an old revision would wait forever."""
    program, peer = watching
    assert "index=900&" in answer(program, peer, 900, member("s-0", 1))
    answer(program, peer, 2, complete=False)
    assert "index=2&" in answer(program, peer, 2, member("s-1", 1))
    assert program.directory.ready == {"s-1"}


def test_response_of_old_discovery_ignored_after_move(watching):
    """The old discovery's response is unread when the address changes; it must not count for the new one."""
    program, old = watching
    assert "index=9&" in answer(program, old, 9, member("s-0", 1))
    moved = Listener()
    body = json.dumps({"revision": 12, "complete": True, "members": []}).encode()
    old.answer(200, body)  # still unread when the address changes
    program.watch.set_address(Address("127.0.0.1", moved.port))
    peer = accept_next(moved, program)
    assert read_next(peer, program)[0] == "GET /discovery/hosts HTTP/1.1" and old.ended()
    assert program.directory.ready == {"s-0"} and program.directory.revision is None
    assert "index=3&" in answer(program, peer, 3, member("s-1", 1))
    moved.close()


def test_move_after_failure_keeps_new_call(serve, discovery):
    """Guards against the failure of the old call, reported a turn later, ending the new one."""
    program = serve()
    # The connect fails in the call itself, not by a selector event.
    inject_faults(program).fail("connect", errno.ECONNREFUSED)
    program.watch.set_address(Address("127.0.0.1", 1))
    program.watch.set_address(Address("127.0.0.1", discovery.port))
    call = program.watch._connection.call
    for _ in range(20):
        program.loop.turn(idle=False)
        program.tracker.decide()
    assert program.watch._connection.call is call and program.watch.state is WatchState.CALLING
    assert program.counters.watch_failures == 0
    read_next(accept_next(discovery, program), program)


@pytest.mark.parametrize("cut", ["half a line", "reset"])
def test_drain_at_return_of_discovery_is_applied(watching, discovery, cut):
    """Discovery breaks a connection off, is down for a while, and drains a worker as it returns."""
    program, peer = watching
    answer(program, peer, 9, member("s-0", 1))
    if cut == "half a line":
        peer.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"revision": 10, "compl')
        advance(program, timedelta(milliseconds=400))
    else:
        peer.close()
    run_until(program, lambda: program.counters.watch_failures == 1)
    discovery.sock.listen(0)
    for _ in range(6):  # calls that are answered with an error
        advance(program, timedelta(seconds=2))
        accept_next(discovery, program).answer(503)
        run_until(program, lambda: program.watch.state is WatchState.PAUSING)
    advance(program, timedelta(seconds=2))
    back = accept_next(discovery, program)
    read_next(back, program)
    answer(program, back, 10, member("s-0", 1, phase="Terminating"), complete=False)
    assert program.directory.targets[worker_number("s-0")].draining_or_gone


def test_connecting_attempt_stops_when_worker_drains(dial, watching, monkeypatch):
    """No byte is sent even if the list and the connect complete in one turn, in this order."""
    program, peer = watching
    worker = Listener()
    answer(program, peer, 9, member("s-0", worker.port))
    body = json.dumps(
        {"revision": 10, "complete": False, "members": [member("s-0", worker.port, phase="Terminating")]}
    ).encode()
    sockets = inject_faults(program)
    sockets.before("connect", lambda host, port: peer.answer(200, body))
    select, watched = program.loop._selector.select, program.watch._connection._stream._sock
    monkeypatch.setattr(
        program.loop._selector,
        "select",
        lambda timeout=None: sorted(select(timeout), key=lambda ready: ready[0].fileobj is not watched),
        raising=False,
    )
    client = dial(program).send(job("a1"))
    run_until(program, lambda: program.counters.attempts)
    assert program.worker_client._calls
    run_until(program, lambda: program.counters.attempt_not_sent)
    assert (
        program.counters.attempts_written == 0
        and program.directory.targets[worker_number("s-0")].draining_or_gone
    )
    client.close()
    worker.close()
