"""What comes of clients whose bytes arrive within one and the same turn, or long before they are read."""

import threading
import time
from datetime import timedelta

from in_process import UP, turns
from world import job

from carthinge.net.deadlines import ANSWER_MARGIN
from carthinge.net.listener import MAX_ACCEPTS_PER_TURN

TIGHT = 64  # descriptors: what is not kept back leaves slots for ten connections


def listener_first(program, monkeypatch):
    """The order in which sockets are ready is the kernel's; this is the one that loses something."""
    select, listening = program.loop._selector.select, program.frontend._listener._sock

    def sorted_select(timeout=None):
        return sorted(select(timeout), key=lambda ready: ready[0].fileobj is not listening)

    monkeypatch.setattr(program.loop._selector, "select", sorted_select, raising=False)


def kept(program, dial):
    """As many connections as there are slots, each answered once."""
    peers = []
    while len(program.frontend.slots) < program.frontend.slots.most:
        peers.append(dial(program).send(UP))
        turns(program, lambda: len(program.frontend.slots.kept) == len(peers))
    for peer in peers:
        assert peer.status() == 200
    return peers


def test_no_kept_connection_makes_room_while_its_next_request_is_unread(serve, dial, monkeypatch):
    """It was taken with its last byte: closed before it was read, it was lost, and reset what came before."""
    program = serve(sockets=TIGHT)
    peers = kept(program, dial)
    listener_first(program, monkeypatch)
    late = dial(program)  # wants a place in the same turn
    for peer in peers:
        peer.send(UP)
    turns(program, lambda: program.counters.accept_pauses > 0)
    assert program.counters.connections_in_closed_early == 0
    for peer in peers:
        assert peer.status() == 200
    turns(program, lambda: program.counters.connections_in > len(peers))  # and then one of them does
    late.send(UP)
    turns(program, lambda: program.frontend.slots.fresh == {})
    assert late.status() == 200 and program.counters.connections_in_closed_early == 1


def test_a_first_request_that_came_at_the_last_moment_is_read_and_not_cut_off(serve, dial, monkeypatch):
    program = serve()
    peer = dial(program)
    turns(program, lambda: len(program.frontend.slots) == 1)
    peer.send(UP)  # unread when the next look at those that are overdue comes
    monkeypatch.setattr(type(program.loop.clock), "HISTORY", program.loop.clock.HISTORY * 2)
    program.loop.now = program.loop.clock.now()
    program.frontend._check_fresh()
    turns(program, lambda: program.frontend.slots.fresh == {})
    assert peer.status() == 200


def test_a_client_s_time_runs_while_its_request_waits_to_be_accepted_and_read(serve, dial):
    """Counted from when it was read, the last answer would come as much too late as the loop was busy."""
    program = serve()
    turns(program, lambda: program.loop.turns > 3)
    first = program.loop.now
    peer = dial(program).send(job("a1", deadline="5000m"))
    time.sleep(0.05)  # the loop is elsewhere
    turns(program, lambda: program.tracker.tracked_requests)
    (tracked,) = program.tracker.tracked_requests.values()
    latest = first + timedelta(seconds=5)
    assert tracked.give_up <= latest < program.loop.now + timedelta(seconds=5)
    peer.close()


def test_one_that_comes_while_the_loop_waits_has_all_of_its_time(serve, dial):
    program = serve()
    peer = dial(program)
    turns(program, lambda: program.frontend.slots.fresh)
    turns(program, lambda: not program.tracker.events)
    timer = threading.Timer(0.05, peer.send, [job("a1", deadline="5000m")])
    timer.start()
    while not program.tracker.tracked_requests:
        program.loop.turn()
    (tracked,) = program.tracker.tracked_requests.values()
    assert tracked.give_up == program.loop.now + timedelta(seconds=5) - ANSWER_MARGIN
    timer.join()


def test_what_was_left_in_the_backlog_is_as_old_as_that(serve, dial):
    """More than are accepted in a turn, and then nobody for a while: an old wait must not count then."""
    program = serve()
    turns(program, lambda: program.loop.turns > 3)
    first = program.loop.now
    peers = [dial(program).send(job(f"a{number}")) for number in range(MAX_ACCEPTS_PER_TURN * 2)]
    turns(program, lambda: len(program.tracker.tracked_requests) == len(peers))
    given_up = {tracked.give_up for tracked in program.tracker.tracked_requests.values()}
    assert given_up == {first + timedelta(seconds=5) - ANSWER_MARGIN}
    time.sleep(0.05)
    turns(program, lambda: program.loop.turns > 100)
    later = program.loop.now
    dial(program).send(job("b1"))
    turns(program, lambda: "b1" in program.tracker.by_id)
    assert program.tracker.by_id["b1"].give_up >= later + timedelta(seconds=5) - ANSWER_MARGIN


def test_a_request_whose_time_was_over_before_it_was_read_is_refused_at_once(serve, dial):
    program = serve()
    turns(program, lambda: program.loop.turns > 3)
    peer = dial(program).send(job("a1", deadline="20m"))
    time.sleep(0.05)
    turns(program, lambda: program.counters.shed)
    assert peer.status() == 503 and program.counters.attempts == 0


def test_clients_that_wait_leave_room_for_the_call_backs_that_end_their_jobs(serve, dial):
    """With every place taken by a waiting client, no worker could say that a job is done."""
    program = serve(sockets=TIGHT)
    peers = [dial(program).send(job(f"a{number}")) for number in range(9)]
    counters = program.counters
    turns(program, lambda: counters.taken == len(peers))
    assert (len(program.tracker.tracked_requests), counters.shed, counters.shed_for_room) == (8, 1, 1)
    first, headers, _ = peers[-1].read()
    assert " 503 " in first and headers["connection"] == "close" and float(headers["retry-after"]) > 0
    caller = dial(program).send(
        b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 39\r\n\r\n"
        b'{"id":"a0","from":"s-0","state":"done"}'
    )
    turns(program, lambda: counters.job_events)
    assert caller.status() == 204


def test_one_who_comes_in_each_turn_is_not_taken_for_as_old_as_the_first_of_them(serve, dial):
    """With all slots taken one is accepted a turn: the backlog is empty after each, which has to be seen."""
    program = serve(sockets=TIGHT)
    kept(program, dial)
    for _ in range(5):
        sock = dial(program)
        came = program.loop.turns
        turns(program, lambda came=came: program.loop.turns == came + 1)
        time.sleep(0.02)
        sock.send(UP)
    listener = program.frontend._listener
    dial(program)
    turns(program, lambda: program.loop.turns == came + 2)
    assert listener._since >= program.loop.since - timedelta(milliseconds=30)
