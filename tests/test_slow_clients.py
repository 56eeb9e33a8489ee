"""Clients that write slowly, stop in the middle of a request or say nothing, turn by turn."""

from datetime import timedelta

import pytest
from faults import FaultySockets, let_pass
from in_process import UP, call_back, drained, lists, reading, taken, turns
from world import SETTINGS, job, member

from carthinge.net.read_timeouts import MAX_PART_INTERVAL, MAX_REQUEST_DURATION, READ_TIMEOUT
from carthinge.net.stream import LINGER_TIMEOUT

OWED_WITHIN = timedelta(seconds=3)  # by the standing test's page, and not by the program
MANY = {**SETTINGS, "instances": 5}


def one_read(program):
    """What a client has just sent is read, and what is due by then done."""
    made = program.loop.sockets = FaultySockets()
    turns(program, lambda: made.made["receive"])


def test_one_that_says_nothing_is_ended_and_one_that_writes_slowly_is_not(serve, dial):
    program = serve()
    silent, slow = dial(program), dial(program).send(UP[:4])
    turns(program, lambda: len(program.frontend.slots.fresh) == 2)
    for _ in range(3):
        program.loop.turn(idle=False)
    for at in range(4, len(UP)):  # for longer than a request that stops may take
        let_pass(program, timedelta(milliseconds=200))
        slow.send(UP[at : at + 1])
        one_read(program)
    assert silent.ended() and program.counters.connections_in_silent == 1
    assert reading(slow, program)[0].endswith("200 OK") and program.counters.bad_input == 0


def test_a_slow_writer_may_pause_for_most_of_the_time_that_is_owed_to_one_that_stops(serve, dial):
    program = serve()
    slow = dial(program).send(UP[:4])
    turns(program, lambda: program.frontend.slots.fresh)
    one_read(program)
    for at, pause in ((4, READ_TIMEOUT), (8, MAX_PART_INTERVAL), (12, MAX_PART_INTERVAL)):
        let_pass(program, pause - timedelta(milliseconds=300))
        program.loop.turn(idle=False)
        slow.send(UP[at : at + 4])
        one_read(program)
    slow.send(UP[16:])
    assert reading(slow, program)[0].endswith("200 OK")


@pytest.mark.parametrize("asked", [False, True], ids=["its first", "a later one"])
def test_one_that_never_ends_its_request_is_told_so_within_what_is_owed(serve, dial, asked):
    program = serve()
    client = dial(program)
    if asked:
        client.send(UP)
        assert reading(client, program)[0].endswith("200 OK")
    client.send(UP[:4])
    turns(program, lambda: program.frontend.slots.all() and program.frontend.slots.all()[0].began())
    let_pass(program, OWED_WITHIN - timedelta(milliseconds=150))  # it may be held up for that
    program.loop.turn(idle=False)
    assert reading(client, program)[0].endswith("408 Request Timeout") and client.ended()


def test_one_that_writes_on_without_end_is_told_so_too(serve, dial):
    program = serve()
    client = dial(program).send(b"GET /up HTTP/1.1\r\nX: ")
    turns(program, lambda: program.frontend.slots.fresh)
    passed = timedelta()
    while not program.counters.bad_input and passed <= MAX_REQUEST_DURATION:
        client.send(b"x")
        one_read(program)
        let_pass(program, step := timedelta(milliseconds=200))
        passed += step
    assert program.counters.bad_input and reading(client, program)[0].endswith("408 Request Timeout")


def test_requests_sent_ahead_that_come_cut_in_their_middle_are_each_on_their_own_clock(serve, dial):
    """As long as each of them is whole in time, their client writes well."""
    program = serve()
    client = dial(program).send(UP[:9])
    for _ in range(40):
        let_pass(program, timedelta(milliseconds=400))
        client.send(UP[9:] + UP[:9])
        assert reading(client, program)[0].endswith("200 OK")
    assert program.counters.bad_input == 0


def test_the_place_of_a_request_that_has_begun_is_the_last_to_go(serve, dial):
    program = serve(sockets=64)
    begun = [dial(program).send(UP[:4]) for _ in range(4)]
    turns(program, lambda: len(program.frontend.slots.fresh) == 4)
    for _ in range(3):
        program.loop.turn(idle=False)
    silent = [dial(program) for _ in range(program.frontend.slots.most)]
    turns(program, lambda: len(program.frontend.slots) == program.frontend.slots.most)
    let_pass(program, timedelta(seconds=1))
    turns(program, lambda: program.counters.connections_in_closed_early == 4)
    assert all(peer.ended() for peer in silent[:4])
    for client in begun:
        client.send(UP[4:])
        assert reading(client, program)[0].endswith("200 OK")


def test_a_reader_that_goes_on_too_slowly_is_cut_off_in_the_end(serve, dial):
    program = serve(settings=MANY)
    client = dial(program).send(UP)
    drained(program)
    turns(program, lambda: program.frontend.slots.ending or not len(program.frontend.slots))
    let_pass(program, LINGER_TIMEOUT)
    turns(program, lambda: len(program.frontend.slots) == 0)
    assert client.status() == 503


def test_nothing_follows_the_last_answer_of_a_connection_once_its_half_request_is_overdue(serve, dial):
    """The timer of the half request went on after the connection's last answer, and wrote behind it."""
    program = serve()
    client = dial(program).send(UP[:9])
    turns(program, lambda: program.frontend.slots.fresh)
    one_read(program)
    let_pass(program, READ_TIMEOUT - timedelta(milliseconds=500))
    client.send(b"\x00\x01 not HTTP\r\n\r\n")
    assert reading(client, program)[0].endswith("400 Bad Request")
    let_pass(program, timedelta(seconds=1))
    program.loop.turn(idle=False)
    assert program.counters.bad_input == 1
    assert all(connection.silent() for connection in program.frontend.slots.ending)
    assert client.ended()


def test_a_client_that_waits_to_be_told_to_go_ahead_behind_another_request_is_told(serve, dial, worker):
    """It was never told, waited for the word, and was turned away as one that had stopped."""
    program = serve()
    lists(program, member("s-0", worker.port))
    head, body = job("a2", Expect="100-continue", body=b"large").split(b"\r\n\r\n")
    client = dial(program).send(job("a1") + head + b"\r\n\r\n")
    peer = taken(worker, program)
    for name in ("a1", "a2"):
        assert reading(peer, program)[1]["req-id"] == name
        peer.answer(202)
        dial(program).send(call_back("s-0", name, result=name))
        assert reading(client, program)[2] == name.encode()
        if name == "a1":
            assert client.read()[0] == "HTTP/1.1 100 Continue"  # it came with the answer
            client.send(body)
