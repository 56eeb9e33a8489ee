"""The end of connections: every request that was read gets its final answer, whatever happens meanwhile."""

import signal
import socket
from datetime import timedelta

import pytest
from faults import advance_clock, inject_faults
from in_process import (
    UP_REQUEST,
    accept_next,
    drain_program,
    encode_callback,
    read_next,
    readable,
    run_until,
    set_workers,
)
from world import SETTINGS, job, member

FIVE_SCHEDULERS = {**SETTINGS, "instances": 5}


def ended(program, answers=()):
    """Run turns until the program has ended, letting time pass; return whether it has."""
    for _ in range(400):
        program.loop.turn(idle=False)
        program.tracker.decide()
        if program._finished:
            return True
        advance_clock(program, timedelta(milliseconds=25))
    return False


# ---- drain --------------------------------------------------------------------------------------


def test_sigterm_between_accept_and_first_byte(serve, dial):
    """Guards against closing an accepted connection unread, whose request a new connection then rejects."""
    program = serve(settings=FIVE_SCHEDULERS)
    drain_program(program)
    client = dial(program)
    run_until(program, lambda: program.frontend.slots.fresh)
    for _ in range(5):
        advance_clock(program, timedelta(milliseconds=40))  # in all, less than a client may need to connect
        program.loop.turn(idle=False)
        assert not program._finished
    client.send(UP_REQUEST)
    assert read_next(client, program)[0].endswith("503 Service Unavailable")
    assert client.ended() and ended(program)


def test_silent_connection_does_not_delay_drain(serve, dial):
    program = serve(settings=FIVE_SCHEDULERS)
    drain_program(program)
    silent = dial(program)
    run_until(program, lambda: program.frontend.slots.fresh)
    assert ended(program) and silent.ended()


def test_sigterm_during_partial_request(serve, dial, worker):
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    text = job("a1")
    client = dial(program).send(text[:70])
    run_until(program, lambda: program.frontend.slots.fresh)
    for _ in range(3):
        program.loop.turn(idle=False)
    drain_program(program)
    client.send(text[70:])
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    first, headers, body = read_next(client, program)
    assert (first, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"r")
    assert client.ended() and ended(program)


def test_sigterm_between_parsing_and_decision(serve, dial, worker):
    """Both in one turn: the request was read before the signal, so it has to be answered."""
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    take = program.tracker.take

    def take_then_signal(*arguments):
        tracked = take(*arguments)
        program._handle_signals(bytes((signal.SIGTERM,)))
        return tracked

    program.tracker.take = take_then_signal
    run_until(program, lambda: program.counters.taken)
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    assert not program._finished
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"


def test_sigterm_between_decision_and_connect(serve, dial, worker):
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    client = dial(program).send(job("a1"))
    sockets.before("connect", lambda host, port: program._handle_signals(bytes((signal.SIGTERM,))))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r" and not program._finished


def test_sigterm_between_answer_and_flush(serve, dial):
    """The answer does not fit the socket buffers; it is sent completely before the program ends."""
    program = serve(settings=FIVE_SCHEDULERS)
    sockets = inject_faults(program)
    client = dial(program)
    run_until(program, lambda: program.frontend.slots.fresh)
    (connection,) = program.frontend.slots.all()
    connection._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    answer = connection._answer
    connection._answer = lambda status, *args, **kwargs: answer(status, b"x" * 300_000)
    sockets.after("send", lambda sock, data: program._handle_signals(bytes((signal.SIGTERM,))))
    client.send(UP_REQUEST)
    run_until(program, lambda: program.frontend.draining is not None)
    assert connection._stream.unsent
    read = b""
    while not read.endswith(b"x" * 10) or len(read) < 300_000:
        run_until(program, lambda: readable(client.sock))
        chunk = client.sock.recv(4096)
        assert chunk, f"cut off after {len(read)} bytes"
        read += chunk
        advance_clock(program, timedelta(milliseconds=50))  # four seconds in all, past the end of the drain
    assert not program._finished
    client.close()
    assert ended(program)


def test_pipelined_requests_answered_before_drain_close(serve, dial, worker):
    """Guards against a first answer that closes the connection, so that requests behind it get no answer."""
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1") + job("a2") + UP_REQUEST)
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    drain_program(program)
    dial(program).send(encode_callback("s-0", "a1", result="r1"))
    first, headers, body = read_next(client, program)
    assert body == b"r1" and "connection" not in headers
    read_next(peer, program)
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a2", result="r2"))
    assert read_next(client, program)[2] == b"r2"
    first, headers, _ = read_next(client, program)
    assert first.endswith("503 Service Unavailable") and headers["connection"] == "close"


def test_request_meeting_idle_close_not_sent(serve, dial, worker):
    """It is not read: its client sees the close and sends it again elsewhere, so it must not run here."""
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(UP_REQUEST)
    assert read_next(client, program)[0].endswith("200 OK")
    sockets = inject_faults(program)
    read = sockets.call_counts["receive"]
    sockets.before("close", lambda sock: client.send(job("a1")))
    drain_program(program)
    assert client.ended() and sockets.call_counts["receive"] == read
    for _ in range(20):
        program.loop.turn(idle=False)
        program.tracker.decide()
    assert program.counters.taken == program.counters.attempts == 0
    client.close()
    assert ended(program)


def test_answer_survives_trailing_input(serve, dial):
    """A close with unread input resets the connection, which would lose the answer."""
    program = serve(settings=FIVE_SCHEDULERS)
    drain_program(program)
    client = dial(program).send(UP_REQUEST)
    sockets = inject_faults(program)
    sockets.before("shut_down_sending", lambda sock: client.send(b"x" * 100_000))
    run_until(program, lambda: program.frontend.slots.ending)
    for _ in range(10):
        program.loop.turn(idle=False)
    assert read_next(client, program)[0].endswith("503 Service Unavailable") and client.ended()


def test_backlog_connection_served_before_exit(serve, dial, monkeypatch):
    """Closing the listener would reset a connection whose whole request is in the backlog."""
    program = serve(settings=FIVE_SCHEDULERS)
    drain_program(program)
    while program._quiet_since is None:
        program.loop.turn(idle=False)
        advance_clock(program, timedelta(milliseconds=10))
    # The selector reports the listener late.
    program.frontend._listener._loop.unregister(program.frontend._listener._sock)
    program.frontend._listener._registered = False
    client = dial(program).send(UP_REQUEST)
    advance_clock(program, timedelta(seconds=1))
    program.loop.turn(idle=False)
    assert not program._finished
    program.frontend._listener._update()
    assert read_next(client, program)[0].endswith("503 Service Unavailable")
    assert ended(program)


def test_repeated_signals_change_nothing(serve, dial, worker):
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    program._handle_signals(bytes((signal.SIGHUP, signal.SIGTERM)))
    drain = program.frontend.draining
    advance_clock(program, timedelta(milliseconds=300))
    program.loop.turn(idle=False)
    program._handle_signals(bytes((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
    assert program.frontend.draining is drain and not program._finished
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"
    client.close()
    assert ended(program)


def test_sigterm_while_discovery_is_down(serve, dial, worker):
    program = serve(settings=FIVE_SCHEDULERS)
    set_workers(program, member("s-0", worker.port))
    run_until(program, lambda: program.counters.watch_failures)
    client = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    drain_program(program)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"
    assert ended(program)


# ---- workers ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "unsolicited", [b"HTTP/1.1 503 Servi", b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"]
)
def test_worker_connection_with_unsolicited_data_not_reused(serve, dial, worker, unsolicited):
    """Guards against half a line from a worker parsed as part of the next call's answer."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    first = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a1", result="r1"))
    assert read_next(first, program)[2] == b"r1"
    run_until(program, lambda: program.worker_client._idle)
    peer.send(unsolicited)
    run_until(program, lambda: not any(caller.usable() for caller in program.worker_client._idle))
    for _ in range(3):
        program.loop.turn(idle=False)
    second = dial(program).send(job("a2"))
    next_peer = accept_next(worker, program)
    assert read_next(next_peer, program)[1]["req-id"] == "a2"
    next_peer.answer(503, Srv_Declined=1)
    run_until(program, lambda: program.counters.attempt_full)
    second.close()


def test_202_ended_by_close_is_accepted(serve, dial, worker):
    """An answer without a length ends with its connection, which is no reset."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.send(b"HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\ntaken").close()
    run_until(program, lambda: not program.worker_client._calls)
    assert program.counters.attempt_reset == 0
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"


def test_truncated_answer_is_a_reset(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 50\r\n\r\ntak").close()
    run_until(program, lambda: program.counters.failed)
    assert client.status() == 502 and program.counters.attempt_reset == program.counters.attempts == 1


def test_late_sigterm_counts_from_earliest_arrival(serve):
    """SIGKILL is timed from the signal: timed from the turn that reads it, late requests get no answer."""
    program = serve(settings=FIVE_SCHEDULERS)
    program.loop.ready_since = signalled = program.loop.now - timedelta(milliseconds=400)
    program._handle_signals(bytes((signal.SIGTERM,)))
    drain = program.frontend.draining
    assert drain.arriving_until < signalled + timedelta(milliseconds=700)
    assert drain.answered_by < signalled + timedelta(milliseconds=3700)


def test_connections_disable_nagle(serve, dial, worker):
    """Data that the kernel delays is lost if the connection is reset."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    read_next(accept_next(worker, program), program)
    clients = [connection._stream for connection in program.frontend.slots.all()]
    workers = [call.connection._stream for call in program.worker_client._calls.values()]
    assert len(clients) == len(workers) == 1
    for stream in clients + workers:
        assert stream._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    client.close()
