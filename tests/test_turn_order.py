"""Input that arrives within the same turn as other events, or long before it is read."""

import threading
import time
from datetime import timedelta

from in_process import UP_REQUEST, run_until
from world import job

from carthinge.net.deadlines import ANSWER_MARGIN
from carthinge.net.listener import MAX_ACCEPTS_PER_TURN

TIGHT = 64  # descriptors: after the reserve, ten slots for connections remain


def listener_first(program, monkeypatch):
    """Report the listener first: the kernel may choose any order, and this one can lose a request."""
    select, listening = program.loop._selector.select, program.frontend._listener._sock

    def sorted_select(timeout=None):
        return sorted(select(timeout), key=lambda ready: ready[0].fileobj is not listening)

    monkeypatch.setattr(program.loop._selector, "select", sorted_select, raising=False)


def fill_slots(program, dial):
    """Fill all slots with connections that have had a response."""
    peers = []
    while len(program.frontend.slots) < program.frontend.slots.max_connections:
        peers.append(dial(program).send(UP_REQUEST))
        run_until(program, lambda: len(program.frontend.slots.kept) == len(peers))
    for peer in peers:
        assert peer.status() == 200
    return peers


def test_kept_connection_with_unread_request_is_not_evicted(serve, dial, monkeypatch):
    """Guards against an eviction before a received request is read: it was lost, and the reset destroyed
    the previous response."""
    program = serve(sockets=TIGHT)
    peers = fill_slots(program, dial)
    listener_first(program, monkeypatch)
    late = dial(program)  # needs a slot in the same turn
    for peer in peers:
        peer.send(UP_REQUEST)
    run_until(program, lambda: program.counters.accept_pauses > 0)
    assert program.counters.connections_in_closed_early == 0
    for peer in peers:
        assert peer.status() == 200
    run_until(program, lambda: program.counters.connections_in > len(peers))  # then one of them is evicted
    late.send(UP_REQUEST)
    run_until(program, lambda: program.frontend.slots.fresh == {})
    assert late.status() == 200 and program.counters.connections_in_closed_early == 1


def test_first_request_at_last_moment_is_read(serve, dial, monkeypatch):
    program = serve()
    peer = dial(program)
    run_until(program, lambda: len(program.frontend.slots) == 1)
    peer.send(UP_REQUEST)  # still unread at the next check for overdue connections
    monkeypatch.setattr(type(program.loop.clock), "HISTORY", program.loop.clock.HISTORY * 2)
    program.loop.now = program.loop.clock.now()
    program.frontend._check_fresh()
    run_until(program, lambda: program.frontend.slots.fresh == {})
    assert peer.status() == 200


def test_deadline_includes_wait_for_accept(serve, dial):
    """Counted from the read, the final response would be late by the time for which the loop was busy."""
    program = serve()
    run_until(program, lambda: program.loop.turns > 3)
    first = program.loop.now
    peer = dial(program).send(job("a1", deadline="5000m"))
    time.sleep(0.05)  # the loop is busy
    run_until(program, lambda: program.tracker.tracked_requests)
    (tracked,) = program.tracker.tracked_requests.values()
    latest = first + timedelta(seconds=5)
    assert tracked.give_up <= latest < program.loop.now + timedelta(seconds=5)
    peer.close()


def test_request_during_idle_wait_has_whole_deadline(serve, dial):
    program = serve()
    peer = dial(program)
    run_until(program, lambda: program.frontend.slots.fresh)
    run_until(program, lambda: not program.tracker.events)
    timer = threading.Timer(0.05, peer.send, [job("a1", deadline="5000m")])
    timer.start()
    while not program.tracker.tracked_requests:
        program.loop.turn()
    (tracked,) = program.tracker.tracked_requests.values()
    assert tracked.give_up == program.loop.now + timedelta(seconds=5) - ANSWER_MARGIN
    timer.join()


def test_backlog_wait_counts_towards_deadline(serve, dial):
    """More connections than one turn accepts, then none for a while: the old wait must not count any more."""
    program = serve()
    run_until(program, lambda: program.loop.turns > 3)
    first = program.loop.now
    peers = [dial(program).send(job(f"a{number}")) for number in range(MAX_ACCEPTS_PER_TURN * 2)]
    run_until(program, lambda: len(program.tracker.tracked_requests) == len(peers))
    deadlines = {tracked.give_up for tracked in program.tracker.tracked_requests.values()}
    assert deadlines == {first + timedelta(seconds=5) - ANSWER_MARGIN}
    time.sleep(0.05)
    run_until(program, lambda: program.loop.turns > 100)
    later = program.loop.now
    dial(program).send(job("b1"))
    run_until(program, lambda: "b1" in program.tracker.by_id)
    assert program.tracker.by_id["b1"].give_up >= later + timedelta(seconds=5) - ANSWER_MARGIN


def test_request_expired_before_read_is_shed_at_once(serve, dial):
    program = serve()
    run_until(program, lambda: program.loop.turns > 3)
    peer = dial(program).send(job("a1", deadline="20m"))
    time.sleep(0.05)
    run_until(program, lambda: program.counters.shed)
    assert peer.status() == 503 and program.counters.attempts == 0


def test_waiting_clients_leave_room_for_callbacks(serve, dial):
    """With a waiting client in every slot, no worker could report that a job is done."""
    program = serve(sockets=TIGHT)
    peers = [dial(program).send(job(f"a{number}")) for number in range(9)]
    counters = program.counters
    run_until(program, lambda: counters.taken == len(peers))
    assert (len(program.tracker.tracked_requests), counters.shed, counters.shed_for_room) == (8, 1, 1)
    first, headers, _ = peers[-1].read()
    assert " 503 " in first and headers["connection"] == "close" and float(headers["retry-after"]) > 0
    caller = dial(program).send(
        b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 39\r\n\r\n"
        b'{"id":"a0","from":"s-0","state":"done"}'
    )
    run_until(program, lambda: counters.job_events)
    assert caller.status() == 204


def test_connection_in_each_turn_keeps_own_age(serve, dial):
    """With all slots taken, one connection is accepted per turn.  The listener has to see that the backlog
    is empty after each, or it dates all of them to the first."""
    program = serve(sockets=TIGHT)
    fill_slots(program, dial)
    for _ in range(5):
        sock = dial(program)
        turn = program.loop.turns
        run_until(program, lambda turn=turn: program.loop.turns == turn + 1)
        time.sleep(0.02)
        sock.send(UP_REQUEST)
    listener = program.frontend._listener
    dial(program)
    run_until(program, lambda: program.loop.turns == turn + 2)
    assert listener._since >= program.loop.ready_since - timedelta(milliseconds=30)
