"""Requests that are sent ahead on one connection: each has its answer in its time, and in their order."""

from datetime import timedelta

import pytest
from faults import let_pass
from in_process import call_back, lists, reading, taken, turns
from world import job, member

LOST = timedelta(milliseconds=500)  # so long after its time an answer counts as none, by the standing test
SHORT = timedelta(milliseconds=400)


def statuses(client, program, count):
    """Of the answers that have come by now."""
    turns(program, lambda: True)
    for _ in range(20):
        program.loop.turn(idle=False)
        program.tracker.decide()
    return [client.status() for _ in range(count)]


@pytest.mark.parametrize("kind", ["query", "charge"])
def test_one_with_little_time_has_its_answer_in_it_behind_one_with_much(serve, dial, worker, kind):
    """It waited for the answer before it, and had its own as much too late as that one took."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind=kind, deadline="5000m") + job("a2", deadline="400m"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    turns(program, lambda: not program.worker_client._calls)
    let_pass(program, SHORT - timedelta(milliseconds=50))
    program.loop.turn(idle=False)
    assert program.counters.failed == 0, "it was cut short before that was needed"
    let_pass(program, timedelta(milliseconds=50) + LOST - timedelta(milliseconds=150))
    assert statuses(client, program, 2) == [504, 503]
    assert program.counters.invariants_violated == 0
    dial(program).send(call_back("s-0", "a1", result="late"))
    turns(program, lambda: program.counters.job_events)
    assert program.counters.served == 0


def test_one_that_has_not_been_sent_is_refused_for_it(serve, dial):
    program = serve()
    client = dial(program).send(job("a1", deadline="5000m"))
    while not program.tracker.tracked_requests:
        program.loop.turn(idle=False)  # nothing is decided on yet
    (tracked,) = program.tracker.tracked_requests.values()
    program.tracker.cut_short(tracked)
    assert statuses(client, program, 1) == [503] and program.counters.attempts == 0


def test_one_with_as_much_time_cuts_nothing_short(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", deadline="3000m") + job("a2", deadline="3000m"))
    peer = taken(worker, program)
    for name in ("a1", "a2"):
        assert reading(peer, program)[1]["req-id"] == name
        peer.answer(202)
        turns(program, lambda: not program.worker_client._calls)
        let_pass(program, timedelta(seconds=1))
        dial(program).send(call_back("s-0", name, result=name))
        assert reading(client, program)[2] == name.encode()


def test_what_is_no_job_or_has_no_time_holds_nobody_to_anything(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    behind = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + job("a2", deadline="soon")
    client = dial(program).send(job("a1", deadline="5000m") + behind)
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    let_pass(program, timedelta(seconds=1))
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"
    assert statuses(client, program, 2) == [200, 400]
