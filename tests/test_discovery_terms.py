"""Discovery that fails: a change counts as told 6 s after discovery had it and could be reached."""

import errno
import json
from datetime import timedelta

import pytest
from faults import faulty, let_pass
from helpers import listing, of, settings, started
from hypothesis import given
from hypothesis import strategies as st
from in_process import reading, taken, turns
from world import SETTINGS, Listener, job, member

from carthinge import interface as io
from carthinge.net.discovery import RESPONSE_MARGIN, RETRY_RESPONSE_MARGIN, RETRY_WAIT, WatchState
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND
from carthinge.net.worker_directory import number_of

TOLD_AFTER = timedelta(seconds=6)


@pytest.fixture
def discovery(worker):
    return worker


@pytest.fixture
def watching(serve, discovery):
    """A program with its first call of discovery, and the connection that it came on."""
    program = serve()
    program.watch.move(Address("127.0.0.1", discovery.port))
    peer = taken(discovery, program)
    assert reading(peer, program)[0] == "GET /discovery/hosts HTTP/1.1"
    return program, peer


def tell(program, peer, revision, *members, complete=True):
    """An answer of discovery, and the call after it."""
    body = json.dumps({"revision": revision, "complete": complete, "members": members}, indent=4).encode()
    peer.answer(200, body)
    return reading(peer, program)[0]


def passes(program, span):
    """So much time, a little at a time."""
    until = program.loop.clock.now() + span
    while program.loop.clock.now() < until:
        let_pass(program, timedelta(milliseconds=50))
        program.loop.turn(idle=False)
        program.tracker.decide()


@given(
    failures=st.integers(1, 60),
    instances=st.integers(1, 230),
    ask_within=st.integers(1_000_000, 60_000_000),
    seed=st.integers(0, 2**32),
)
def test_however_often_it_failed_a_call_and_the_pause_before_it_stay_below_the_term(
    failures, instances, ask_within, seed
):
    """The pause grew with each failure, to as much as ten seconds: so long after its return was it called."""
    gateway = started(settings(subscribe=True, instances=instances, ask_within=ask_within), 1, seed=seed)
    now = 30_000_000
    gateway.handle(now, [])
    for _ in range(failures):
        now += 1000
        gateway.handle(now, [listing(kind=io.Listing.FAILED)])
        paused = now
        while not of(io.Watch, gateway.handle(now, [io.Timer(0)])):
            now += 50_000
    assert (now - paused) * MICROSECOND + RESPONSE_MARGIN < TOLD_AFTER
    few = min(instances, 100) == instances
    assert not few or (now - paused) * MICROSECOND + RETRY_WAIT + RETRY_RESPONSE_MARGIN < TOLD_AFTER


def test_after_a_failure_an_answer_is_due_at_once_and_not_waited_for_long(watching, discovery):
    """A watch of many seconds begun then, and fallen silent, kept the list old for all of these."""
    program, peer = watching
    assert "wait=1000" in tell(program, peer, 9, member("s-0", 1))
    peer.close()
    turns(program, lambda: program.counters.watch_failures == 1)
    passes(program, timedelta(seconds=1))
    silent = taken(discovery, program)
    assert reading(silent, program)[0] == "GET /discovery/hosts?index=9&wait=1 HTTP/1.1"
    passes(program, RETRY_WAIT + RETRY_RESPONSE_MARGIN + timedelta(seconds=2))
    again = taken(discovery, program)
    reading(again, program)
    assert silent.ended() and "wait=1000" in tell(program, again, 10, member("s-0", 1))


@pytest.mark.parametrize("instances", [1, 200])
def test_a_watch_that_falls_silent_is_made_anew_within_its_wait_and_two_seconds(serve, discovery, instances):
    program = serve(settings={**SETTINGS, "instances": instances})
    program.watch.move(Address("127.0.0.1", discovery.port))
    peer = taken(discovery, program)
    reading(peer, program)
    line = tell(program, peer, 9, member("s-0", 1))
    wait = timedelta(milliseconds=int(line.split("wait=")[1].split()[0]))
    passes(program, wait + RESPONSE_MARGIN + timedelta(milliseconds=500))
    again = taken(discovery, program)
    assert reading(again, program)[0].endswith("index=9&wait=1 HTTP/1.1") and peer.ended()


@pytest.mark.parametrize("complete", [True, False])
def test_an_older_list_takes_nothing_back(watching, complete):
    """It would have a worker ready again that was told to drain."""
    program, peer = watching
    ready = member("s-0", 1)
    drained = member("s-0", 1, phase="Terminating")
    assert "index=9&" in tell(program, peer, 9, drained)
    line = tell(program, peer, 8, ready, complete=complete)
    assert line == "GET /discovery/hosts HTTP/1.1", "what counts now is its whole list"
    assert program.table.ready == set() and program.table.targets[number_of("s-0")].left
    assert "index=10&" in tell(program, peer, 10, ready)
    assert program.table.ready == {"s-0"}


def test_a_discovery_that_has_begun_anew_is_believed_by_its_whole_list(watching):
    """Its revisions begin anew too, and a watch from one of the old ones would wait for ever."""
    program, peer = watching
    assert "index=900&" in tell(program, peer, 900, member("s-0", 1))
    tell(program, peer, 2, complete=False)
    assert "index=2&" in tell(program, peer, 2, member("s-1", 1))
    assert program.table.ready == {"s-1"}


def test_a_move_while_a_call_is_open_and_answered_in_the_same_turn(watching):
    """The answer of the old discovery came after the move, and would have counted for the new one."""
    program, old = watching
    assert "index=9&" in tell(program, old, 9, member("s-0", 1))
    moved = Listener()
    body = json.dumps({"revision": 12, "complete": True, "members": []}).encode()
    old.answer(200, body)  # unread when the move comes
    program.watch.move(Address("127.0.0.1", moved.port))
    peer = taken(moved, program)
    assert reading(peer, program)[0] == "GET /discovery/hosts HTTP/1.1" and old.ended()
    assert program.table.ready == {"s-0"} and program.table.revision is None
    assert "index=3&" in tell(program, peer, 3, member("s-1", 1))
    moved.close()


def test_a_move_after_a_failure_in_the_same_turn_keeps_the_new_call(serve, discovery):
    """The failure of the old one was told a moment later, and ended the call that had begun meanwhile."""
    program = serve()
    faulty(program).fail("connect", errno.ECONNREFUSED)  # told at once, and not by the selector
    program.watch.move(Address("127.0.0.1", 1))
    program.watch.move(Address("127.0.0.1", discovery.port))
    call = program.watch._caller.call
    for _ in range(20):
        program.loop.turn(idle=False)
        program.tracker.decide()
    assert program.watch._caller.call is call and program.watch.state is WatchState.CALLING
    assert program.counters.watch_failures == 0
    reading(taken(discovery, program), program)


@pytest.mark.parametrize("cut", ["half a line", "reset"])
def test_a_drain_in_the_instant_of_its_return_is_heard(watching, discovery, cut):
    """It breaks off, is down for a while, and has a worker drained as it comes back."""
    program, peer = watching
    tell(program, peer, 9, member("s-0", 1))
    if cut == "half a line":
        peer.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"revision": 10, "compl')
        passes(program, timedelta(milliseconds=400))
    else:
        peer.close()
    turns(program, lambda: program.counters.watch_failures == 1)
    discovery.sock.listen(0)
    for _ in range(6):  # calls that are refused or answered with a failure
        passes(program, timedelta(seconds=2))
        taken(discovery, program).answer(503)
        turns(program, lambda: program.watch.state is WatchState.PAUSING)
    passes(program, timedelta(seconds=2))
    back = taken(discovery, program)
    reading(back, program)
    tell(program, back, 10, member("s-0", 1, phase="Terminating"), complete=False)
    assert program.table.targets[number_of("s-0")].left


def test_a_list_that_drains_a_worker_while_an_attempt_to_it_is_connecting(dial, watching, monkeypatch):
    """Nothing of it goes out, also where the list and the connection come up in one turn, in this order."""
    program, peer = watching
    worker = Listener()
    tell(program, peer, 9, member("s-0", worker.port))
    body = json.dumps(
        {"revision": 10, "complete": False, "members": [member("s-0", worker.port, phase="Terminating")]}
    ).encode()
    sockets = faulty(program)
    sockets.before("connect", lambda host, port: peer.answer(200, body))
    select, watched = program.loop._selector.select, program.watch._caller._stream._sock
    monkeypatch.setattr(
        program.loop._selector,
        "select",
        lambda timeout=None: sorted(select(timeout), key=lambda ready: ready[0].fileobj is not watched),
        raising=False,
    )
    client = dial(program).send(job("a1"))
    turns(program, lambda: program.counters.attempts)
    assert program.worker_client._calls
    turns(program, lambda: program.counters.attempt_not_sent)
    assert program.counters.attempts_written == 0 and program.table.targets[number_of("s-0")].left
    client.close()
    worker.close()
