"""How connections end: every request that was read has its final answer, whatever comes in between."""

import signal
import socket
from datetime import timedelta

import pytest
from faults import faulty, let_pass
from in_process import UP, call_back, drained, lists, readable, reading, taken, turns
from world import SETTINGS, job, member

MANY = {**SETTINGS, "instances": 5}


def over(program, answers=()):
    """Turns up to the end of the program; time passes where nothing else happens."""
    for _ in range(400):
        program.loop.turn(idle=False)
        program.tracker.decide()
        if program._over:
            return True
        let_pass(program, timedelta(milliseconds=25))
    return False


# ---- told to end --------------------------------------------------------------------------------


def test_sigterm_between_accept_and_first_byte(serve, dial):
    """The connection had been taken in: closed unread, its request was turned away on a new connection."""
    program = serve(settings=MANY)
    drained(program)
    client = dial(program)
    turns(program, lambda: program.frontend.slots.fresh)
    for _ in range(5):
        let_pass(program, timedelta(milliseconds=40))  # less than anybody needs to connect, in all
        program.loop.turn(idle=False)
        assert not program._over
    client.send(UP)
    assert reading(client, program)[0].endswith("503 Service Unavailable")
    assert client.ended() and over(program)


def test_one_that_says_nothing_in_a_drain_does_not_keep_the_program_from_its_end(serve, dial):
    program = serve(settings=MANY)
    drained(program)
    silent = dial(program)
    turns(program, lambda: program.frontend.slots.fresh)
    assert over(program) and silent.ended()


def test_sigterm_in_a_half_read_request(serve, dial, worker):
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    text = job("a1")
    client = dial(program).send(text[:70])
    turns(program, lambda: program.frontend.slots.fresh)
    for _ in range(3):
        program.loop.turn(idle=False)
    drained(program)
    client.send(text[70:])
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    dial(program).send(call_back("s-0", "a1", result="r"))
    first, headers, body = reading(client, program)
    assert (first, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"r")
    assert client.ended() and over(program)


def test_sigterm_between_parsing_and_the_decision(serve, dial, worker):
    """Both in one turn: the request was read, and owed its answer, before the program was told to end."""
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    take = program.tracker.take

    def told_then(*given):
        tracked = take(*given)
        program._signalled(bytes((signal.SIGTERM,)))
        return tracked

    program.tracker.take = told_then
    turns(program, lambda: program.counters.taken)
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    assert not program._over
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"


def test_sigterm_between_the_decision_and_the_connect(serve, dial, worker):
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    client = dial(program).send(job("a1"))
    sockets.before("connect", lambda host, port: program._signalled(bytes((signal.SIGTERM,))))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r" and not program._over


def test_sigterm_between_an_answer_and_its_flush(serve, dial):
    """The answer does not fit the buffers: it goes out whole before the program ends."""
    program = serve(settings=MANY)
    sockets = faulty(program)
    client = dial(program)
    turns(program, lambda: program.frontend.slots.fresh)
    (connection,) = program.frontend.slots.all()
    connection._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    answer = connection._answer
    connection._answer = lambda status, *more, **named: answer(status, b"x" * 300_000)
    sockets.after("send", lambda sock, data: program._signalled(bytes((signal.SIGTERM,))))
    client.send(UP)
    turns(program, lambda: program.frontend.draining is not None)
    assert connection._stream.unsent
    read = b""
    while not read.endswith(b"x" * 10) or len(read) < 300_000:
        turns(program, lambda: readable(client.sock))
        part = client.sock.recv(4096)
        assert part, f"cut off after {len(read)} bytes"
        read += part
        let_pass(program, timedelta(milliseconds=50))  # four seconds in all, so that it is told to end
    assert not program._over
    client.close()
    assert over(program)


def test_requests_sent_ahead_are_all_answered_before_a_drain_closes_their_connection(serve, dial, worker):
    """The first answer ended the connection, and the requests that had been read behind it with it."""
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1") + job("a2") + UP)
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    drained(program)
    dial(program).send(call_back("s-0", "a1", result="r1"))
    first, headers, body = reading(client, program)
    assert body == b"r1" and "connection" not in headers
    reading(peer, program)
    peer.answer(202)
    dial(program).send(call_back("s-0", "a2", result="r2"))
    assert reading(client, program)[2] == b"r2"
    first, headers, _ = reading(client, program)
    assert first.endswith("503 Service Unavailable") and headers["connection"] == "close"


def test_a_request_that_meets_the_close_of_a_resting_connection_is_not_sent_on(serve, dial, worker):
    """It is not read: its client sees the end and sends it again elsewhere, so it must not run here."""
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    client = dial(program).send(UP)
    assert reading(client, program)[0].endswith("200 OK")
    sockets = faulty(program)
    read = sockets.made["receive"]
    sockets.before("close", lambda sock: client.send(job("a1")))
    drained(program)
    assert client.ended() and sockets.made["receive"] == read
    for _ in range(20):
        program.loop.turn(idle=False)
        program.tracker.decide()
    assert program.counters.taken == program.counters.attempts == 0
    client.close()
    assert over(program)


def test_an_answer_is_not_lost_to_what_comes_in_behind_its_request(serve, dial):
    """Closed with input unread, the connection would be reset, and take the answer with it."""
    program = serve(settings=MANY)
    drained(program)
    client = dial(program).send(UP)
    sockets = faulty(program)
    sockets.before("end_sending", lambda sock: client.send(b"x" * 100_000))
    turns(program, lambda: program.frontend.slots.ending)
    for _ in range(10):
        program.loop.turn(idle=False)
    assert reading(client, program)[0].endswith("503 Service Unavailable") and client.ended()


def test_a_connection_in_the_backlog_is_served_before_the_program_ends(serve, dial, monkeypatch):
    """With its last byte in the backlog the request was taken; the end of the listener was its reset."""
    program = serve(settings=MANY)
    drained(program)
    while program._quiet_since is None:
        program.loop.turn(idle=False)
        let_pass(program, timedelta(milliseconds=10))
    program.frontend._listener._loop.forget(program.frontend._listener._sock)  # the selector is late to tell
    program.frontend._listener._registered = False
    client = dial(program).send(UP)
    let_pass(program, timedelta(seconds=1))
    program.loop.turn(idle=False)
    assert not program._over
    program.frontend._listener._update()
    assert reading(client, program)[0].endswith("503 Service Unavailable")
    assert over(program)


def test_a_second_sigterm_and_a_sighup_before_the_first_change_nothing(serve, dial, worker):
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    program._signalled(bytes((signal.SIGHUP, signal.SIGTERM)))
    drain = program.frontend.draining
    let_pass(program, timedelta(milliseconds=300))
    program.loop.turn(idle=False)
    program._signalled(bytes((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
    assert program.frontend.draining is drain and not program._over
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"
    client.close()
    assert over(program)


def test_sigterm_while_discovery_is_down(serve, dial, worker):
    program = serve(settings=MANY)
    lists(program, member("s-0", worker.port))
    turns(program, lambda: program.counters.watch_failures)
    client = dial(program).send(job("a1"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    drained(program)
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"
    assert over(program)


# ---- workers ------------------------------------------------------------------------------------


@pytest.mark.parametrize("stray", [b"HTTP/1.1 503 Servi", b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"])
def test_a_worker_s_connection_on_which_something_came_unasked_is_not_used_again(serve, dial, worker, stray):
    """Half a line from a worker was read together with the next call's answer."""
    program = serve()
    lists(program, member("s-0", worker.port))
    first = dial(program).send(job("a1"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    dial(program).send(call_back("s-0", "a1", result="r1"))
    assert reading(first, program)[2] == b"r1"
    turns(program, lambda: program.worker_client._idle)
    peer.send(stray)
    turns(program, lambda: not any(caller.usable() for caller in program.worker_client._idle))
    for _ in range(3):
        program.loop.turn(idle=False)
    second = dial(program).send(job("a2"))
    again = taken(worker, program)
    assert reading(again, program)[1]["req-id"] == "a2"
    again.answer(503, Srv_Declined=1)
    turns(program, lambda: program.counters.attempt_full)
    second.close()


def test_a_202_that_ends_with_its_connection_is_a_202(serve, dial, worker):
    """Without a length the end of the connection is the end of the answer; it counted as a reset."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind="charge"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.send(b"HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\ntaken").close()
    turns(program, lambda: not program.worker_client._calls)
    assert program.counters.attempt_reset == 0
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"


def test_an_answer_that_breaks_off_is_a_reset(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind="charge"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 50\r\n\r\ntak").close()
    turns(program, lambda: program.counters.failed)
    assert client.status() == 502 and program.counters.attempt_reset == program.counters.attempts == 1


def test_a_sigterm_that_was_heard_late_counts_from_when_it_may_have_come(serve):
    """SIGKILL follows the signal, not the turn that read it: what came late was found unanswered by it."""
    program = serve(settings=MANY)
    program.loop.since = told = program.loop.now - timedelta(milliseconds=400)
    program._signalled(bytes((signal.SIGTERM,)))
    drain = program.frontend.draining
    assert drain.arriving_until < told + timedelta(milliseconds=700)
    assert drain.answered_by < told + timedelta(milliseconds=3700)


def test_no_connection_holds_small_writes_back(serve, dial, worker):
    """What the system held back would go with a connection that is reset."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    reading(taken(worker, program), program)
    clients = [connection._stream for connection in program.frontend.slots.all()]
    workers = [call.caller._stream for call in program.worker_client._calls.values()]
    assert len(clients) == len(workers) == 1
    for stream in clients + workers:
        assert stream._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    client.close()
