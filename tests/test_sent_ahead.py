"""Requests pipelined on one connection: each is answered in time, and in the order of the requests."""

from datetime import timedelta

import pytest
from faults import advance_clock
from in_process import accept_next, encode_callback, read_next, run_until, set_workers
from world import job, member

LATE_LIMIT = timedelta(milliseconds=500)  # by the acceptance rules, a later answer counts as missing
SHORT_DEADLINE = timedelta(milliseconds=400)


def statuses(client, program, count):
    """Statuses of the answers that have arrived so far."""
    run_until(program, lambda: True)
    for _ in range(20):
        program.loop.turn(idle=False)
        program.tracker.decide()
    return [client.status() for _ in range(count)]


@pytest.mark.parametrize("kind", ["query", "charge"])
def test_short_deadline_met_behind_long_one(serve, dial, worker, kind):
    """Guards against an answer that waits for the one before it and is late by as much as that one takes."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind=kind, deadline="5000m") + job("a2", deadline="400m"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    run_until(program, lambda: not program.worker_client._calls)
    advance_clock(program, SHORT_DEADLINE - timedelta(milliseconds=50))
    program.loop.turn(idle=False)
    assert program.counters.failed == 0, "it was cut short before it had to be"
    advance_clock(program, timedelta(milliseconds=50) + LATE_LIMIT - timedelta(milliseconds=150))
    assert statuses(client, program, 2) == [504, 503]
    assert program.counters.invariants_violated == 0
    dial(program).send(encode_callback("s-0", "a1", result="late"))
    run_until(program, lambda: program.counters.job_events)
    assert program.counters.served == 0


def test_unsent_request_cut_short_is_refused(serve, dial):
    program = serve()
    client = dial(program).send(job("a1", deadline="5000m"))
    while not program.tracker.tracked_requests:
        program.loop.turn(idle=False)  # without a decision on it
    (tracked,) = program.tracker.tracked_requests.values()
    program.tracker.cut_short(tracked)
    assert statuses(client, program, 1) == [503] and program.counters.attempts == 0


def test_equal_deadlines_cut_nothing_short(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", deadline="3000m") + job("a2", deadline="3000m"))
    peer = accept_next(worker, program)
    for name in ("a1", "a2"):
        assert read_next(peer, program)[1]["req-id"] == name
        peer.answer(202)
        run_until(program, lambda: not program.worker_client._calls)
        advance_clock(program, timedelta(seconds=1))
        dial(program).send(encode_callback("s-0", name, result=name))
        assert read_next(client, program)[2] == name.encode()


def test_requests_without_deadline_cut_nothing_short(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    pipelined = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + job("a2", deadline="soon")
    client = dial(program).send(job("a1", deadline="5000m") + pipelined)
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    advance_clock(program, timedelta(seconds=1))
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"
    assert statuses(client, program, 2) == [200, 400]
