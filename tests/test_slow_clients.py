"""Clients that write slowly, stop in the middle of a request or send nothing, one turn at a time."""

from datetime import timedelta

import pytest
from faults import FaultySockets, advance_clock
from in_process import (
    UP_REQUEST,
    accept_next,
    drain_program,
    encode_callback,
    read_next,
    run_until,
    set_workers,
)
from world import SETTINGS, job, member

from carthinge.net.read_timeouts import MAX_PART_INTERVAL, MAX_REQUEST_DURATION, READ_TIMEOUT
from carthinge.net.stream import LINGER_TIMEOUT

STOPPED_CLIENT_LIMIT = timedelta(seconds=3)  # from the operators' acceptance rules, not from the program
FIVE_SCHEDULERS = {**SETTINGS, "instances": 5}


def run_until_read(program):
    """Run turns until a client's data has been read."""
    sockets = program.loop.sockets = FaultySockets()
    run_until(program, lambda: sockets.call_counts["receive"])


def test_silent_client_is_closed_slow_writer_served(serve, dial):
    program = serve()
    silent, slow = dial(program), dial(program).send(UP_REQUEST[:4])
    run_until(program, lambda: len(program.frontend.slots.fresh) == 2)
    for _ in range(3):
        program.loop.turn(idle=False)
    for at in range(4, len(UP_REQUEST)):  # for longer than a stopped request may take
        advance_clock(program, timedelta(milliseconds=200))
        slow.send(UP_REQUEST[at : at + 1])
        run_until_read(program)
    assert silent.ended() and program.counters.connections_in_silent == 1
    assert read_next(slow, program)[0].endswith("200 OK") and program.counters.bad_input == 0


def test_slow_writer_may_pause_between_parts(serve, dial):
    program = serve()
    slow = dial(program).send(UP_REQUEST[:4])
    run_until(program, lambda: program.frontend.slots.fresh)
    run_until_read(program)
    for at, pause in ((4, READ_TIMEOUT), (8, MAX_PART_INTERVAL), (12, MAX_PART_INTERVAL)):
        advance_clock(program, pause - timedelta(milliseconds=300))
        program.loop.turn(idle=False)
        slow.send(UP_REQUEST[at : at + 4])
        run_until_read(program)
    slow.send(UP_REQUEST[16:])
    assert read_next(slow, program)[0].endswith("200 OK")


@pytest.mark.parametrize("later", [False, True], ids=["first request", "later request"])
def test_unfinished_request_gets_408_in_time(serve, dial, later):
    program = serve()
    client = dial(program)
    if later:
        client.send(UP_REQUEST)
        assert read_next(client, program)[0].endswith("200 OK")
    client.send(UP_REQUEST[:4])
    run_until(
        program,
        lambda: program.frontend.slots.all() and program.frontend.slots.all()[0].has_partial_request(),
    )
    # A margin is left for delays of the scheduler.
    advance_clock(program, STOPPED_CLIENT_LIMIT - timedelta(milliseconds=150))
    program.loop.turn(idle=False)
    assert read_next(client, program)[0].endswith("408 Request Timeout") and client.ended()


def test_endless_request_gets_408(serve, dial):
    program = serve()
    client = dial(program).send(b"GET /up HTTP/1.1\r\nX: ")
    run_until(program, lambda: program.frontend.slots.fresh)
    passed = timedelta()
    while not program.counters.bad_input and passed <= MAX_REQUEST_DURATION:
        client.send(b"x")
        run_until_read(program)
        advance_clock(program, step := timedelta(milliseconds=200))
        passed += step
    assert program.counters.bad_input and read_next(client, program)[0].endswith("408 Request Timeout")


def test_each_pipelined_request_has_own_timeout(serve, dial):
    """A client is not slow as long as each of its pipelined requests is complete in time."""
    program = serve()
    client = dial(program).send(UP_REQUEST[:9])
    for _ in range(40):
        advance_clock(program, timedelta(milliseconds=400))
        client.send(UP_REQUEST[9:] + UP_REQUEST[:9])
        assert read_next(client, program)[0].endswith("200 OK")
    assert program.counters.bad_input == 0


def test_partial_request_is_evicted_last(serve, dial):
    program = serve(sockets=64)
    partial = [dial(program).send(UP_REQUEST[:4]) for _ in range(4)]
    run_until(program, lambda: len(program.frontend.slots.fresh) == 4)
    for _ in range(3):
        program.loop.turn(idle=False)
    silent = [dial(program) for _ in range(program.frontend.slots.max_connections)]
    run_until(program, lambda: len(program.frontend.slots) == program.frontend.slots.max_connections)
    advance_clock(program, timedelta(seconds=1))
    run_until(program, lambda: program.counters.connections_in_closed_early == 4)
    assert all(peer.ended() for peer in silent[:4])
    for client in partial:
        client.send(UP_REQUEST[4:])
        assert read_next(client, program)[0].endswith("200 OK")


def test_too_slow_reader_is_closed_in_drain(serve, dial):
    program = serve(settings=FIVE_SCHEDULERS)
    client = dial(program).send(UP_REQUEST)
    drain_program(program)
    run_until(program, lambda: program.frontend.slots.ending or not len(program.frontend.slots))
    advance_clock(program, LINGER_TIMEOUT)
    run_until(program, lambda: len(program.frontend.slots) == 0)
    assert client.status() == 503


def test_nothing_sent_after_last_response(serve, dial):
    """Guards against the timer of a partial request writing a 408 after the connection's last response."""
    program = serve()
    client = dial(program).send(UP_REQUEST[:9])
    run_until(program, lambda: program.frontend.slots.fresh)
    run_until_read(program)
    advance_clock(program, READ_TIMEOUT - timedelta(milliseconds=500))
    client.send(b"\x00\x01 not HTTP\r\n\r\n")
    assert read_next(client, program)[0].endswith("400 Bad Request")
    advance_clock(program, timedelta(seconds=1))
    program.loop.turn(idle=False)
    assert program.counters.bad_input == 1
    assert all(connection.silent() for connection in program.frontend.slots.ending)
    assert client.ended()


def test_pipelined_expect_continue_is_answered(serve, dial, worker):
    """Guards against a 100 Continue that is never sent, so that the waiting client counts as stopped."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    head, body = job("a2", Expect="100-continue", body=b"large").split(b"\r\n\r\n")
    client = dial(program).send(job("a1") + head + b"\r\n\r\n")
    peer = accept_next(worker, program)
    for name in ("a1", "a2"):
        assert read_next(peer, program)[1]["req-id"] == name
        peer.answer(202)
        dial(program).send(encode_callback("s-0", name, result=name))
        assert read_next(client, program)[2] == name.encode()
        if name == "a1":
            assert client.read()[0] == "HTTP/1.1 100 Continue"  # was sent with the response
            client.send(body)
