"""Bounds on what a single peer can make the program keep; see docs/incidents/81aa6e.md for all of them."""

import contextlib
import gc
import socket
from datetime import timedelta

import pytest
from faults import advance_clock
from in_process import UP_REQUEST, accept_next, encode_callback, read_next, readable, run_until, set_workers
from world import job, member, settings_with_caps

from carthinge.front.connection import MAX_UNREAD_BYTES, ClientConnection
from carthinge.net.http import (
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    MAX_PIPELINED_REQUESTS,
    BadRequestError,
    RequestReader,
)
from carthinge.net.loop import MIN_RECEIVE_BYTES
from carthinge.net.outgoing_connection import OutgoingConnection
from carthinge.net.worker_directory import worker_number

BAD_CLIENT_LIMIT = timedelta(seconds=3)  # from the acceptance rules: an error or a close


def head_with_fields(count):
    return b"GET /up HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % number for number in range(count))


def test_head_of_very_many_fields_is_rejected(serve, dial):
    program = serve()
    assert (
        read_next(dial(program).send(head_with_fields(MAX_HEADER_FIELDS + 2)), program)[0].split()[1] == "431"
    )
    sound = dial(program).send(head_with_fields(MAX_HEADER_FIELDS) + b"\r\n")
    assert read_next(sound, program)[0].endswith("200 OK")


@pytest.mark.parametrize("before", [b"", UP_REQUEST], ids=["first", "behind another"])
def test_endless_header_field_is_not_collected(before):
    reader = RequestReader()
    reader.feed(before + b"GET /up HTTP/1.1\r\nX: ")
    with pytest.raises(BadRequestError):
        reader.feed(b"x" * (MAX_HEAD_BYTES + 16 * 1024))


def test_requests_complete_before_garbage_are_answered(serve, dial):
    program = serve()
    client = dial(program).send(UP_REQUEST + UP_REQUEST + b"garbage\r\n\r\n")
    assert [read_next(client, program)[0].split()[1] for _ in range(2)] == ["400", "400"]


def test_complete_request_is_not_kept_by_its_reader():
    reader = RequestReader()
    (request,) = reader.feed(b"POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + bytes(60000))
    assert len(request.body) == 60000 and b"content-length" in request.headers
    assert not reader.body and not reader.headers


@pytest.fixture
def without_collector():
    """Switch off the cyclic garbage collector."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_objects(*types):
    return sum(isinstance(found, types) for found in gc.get_objects())


@pytest.mark.parametrize("leaves", [False, True], ids=["both end", "client leaves"])
def test_closed_connections_are_freed_at_once(serve, dial, worker, without_collector, leaves):
    """Guards against memory that grows with the rate of connections until the collector runs."""
    program = serve()
    program.watch.stop()  # it has connections of its own
    set_workers(program, member("s-0", worker.port))
    before = count_objects(ClientConnection, RequestReader, OutgoingConnection)
    client = dial(program).send(job("a1", body=bytes(60000)))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    if not leaves:
        dial(program).send(encode_callback("s-0", "a1")).sock.shutdown(socket.SHUT_WR)
        read_next(client, program)
    client.close()
    run_until(program, lambda: not (len(program.frontend.slots) or program.tracker.tracked_requests))
    peer.close()
    program.worker_client.close_idle(program.directory.targets[worker_number("s-0")].address)
    run_until(program, lambda: not program.worker_client._open)
    assert count_objects(ClientConnection, RequestReader, OutgoingConnection) == before


def test_body_is_freed_when_its_client_leaves(serve, dial, worker):
    """Guards against bodies kept until the attempts of requests without clients end."""
    program = serve(settings=settings_with_caps(cancel=False))
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", body=bytes(60000)))
    peer = accept_next(worker, program)
    read_next(peer, program)
    (tracked,) = program.tracker.tracked_requests.values()
    client.close()
    run_until(program, lambda: program.counters.client_gone)
    assert program.tracker.tracked_requests and not tracked.job.body


def test_requests_beyond_the_limit_are_not_parsed():
    """Guards against a turn that parses thousands of requests only to reject them."""
    reader = RequestReader()
    with pytest.raises(BadRequestError) as raised:
        reader.feed(UP_REQUEST * 1000)
    assert len(raised.value.completed) == MAX_PIPELINED_REQUESTS + 2


def test_turn_receives_a_bounded_amount_from_all_sockets(serve, dial):
    program = serve()
    clients = [dial(program) for _ in range(100)]
    run_until(program, lambda: len(program.frontend.slots) == 100)
    for client in clients:
        client.send(b"POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + bytes(50000))
    received = []
    receive = program.loop.sockets.receive
    program.loop.sockets.receive = lambda *arguments: received.append(receive(*arguments)) or received[-1]
    program.loop.turn(idle=False)
    assert 0 < sum(map(len, received)) <= 100 * MIN_RECEIVE_BYTES


def let_peers_read(program, size):
    """Let all peers read ``size`` bytes more, and then nothing."""
    left = size

    def send(sock, data):
        nonlocal left
        if not left:
            raise BlockingIOError
        sent = sock.send(data[:left])
        left -= sent
        return sent

    program.loop.sockets.send = send


def ask_for_counters(client, program, count):
    for number in range(count):
        client.send(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n")
        if number % 4 == 3:
            program.loop.turn(idle=False)


def test_client_that_never_reads_is_closed(serve, dial):
    """Guards against a client that holds a slot and its unread answers for ever."""
    program = serve()
    client = dial(program)
    run_until(program, lambda: len(program.frontend.slots))
    (connection,) = program.frontend.slots.all()
    let_peers_read(program, 0)
    client.send(UP_REQUEST)
    run_until(program, lambda: connection._stream.unsent)
    advance_clock(program, BAD_CLIENT_LIMIT)
    run_until(program, lambda: not len(program.frontend.slots))


def test_requests_wait_for_a_client_that_does_not_read(serve, dial):
    """Guards against hundreds of kilobytes of answers for each of many clients that never read."""
    program = serve()
    client = dial(program)
    run_until(program, lambda: len(program.frontend.slots))
    (connection,) = program.frontend.slots.all()
    let_peers_read(program, 0)
    unsent = 0
    while not connection._finished:
        unsent = connection._stream.unsent
        ask_for_counters(client, program, 4)
    assert unsent <= MAX_UNREAD_BYTES + 2048


def test_client_that_reads_slowly_gets_all_answers(serve, dial):
    program = serve()
    client = dial(program)
    let_peers_read(program, 0)
    ask_for_counters(client, program, 8)
    data = b""
    while data.count(b"HTTP/1.1 200") < 8 or not data.endswith(b"}"):
        advance_clock(program, timedelta(seconds=1))
        let_peers_read(program, 1024)
        run_until(program, lambda: readable(client.sock))
        data += client.sock.recv(1024)
        assert data


ENDLESS_ANSWERS = {
    "field": (b"HTTP/1.1 202 Accepted\r\nX: ", b"x" * 8192),
    "fields": (b"HTTP/1.1 202 Accepted\r\n", b"".join(b"%x:\r\n" % number for number in range(1000))),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
    "chunk extension": (b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x" * 8192),
    "body": (b"HTTP/1.1 500 Error\r\n\r\n", b"x" * 8192),
}


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_of_a_worker_ends_its_connection(serve, dial, worker, kind):
    """Guards against memory that a worker fills until the attempt's time is over."""
    begin, part = ENDLESS_ANSWERS[kind]
    program = serve(settings=settings_with_caps(try_limit=1))
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.send(begin)
    for _ in range(100):  # 800 KB at most
        if program.counters.attempt_reset:
            break
        peer.sock.setblocking(False)
        with contextlib.suppress(OSError):
            peer.sock.send(part)
        program.loop.turn(idle=False)
    assert program.counters.attempt_reset == 1
    assert read_next(client, program)[0].split()[1] in ("502", "503")


def test_body_of_a_worker_s_answer_is_not_kept(serve, dial, worker):
    program = serve()
    program.watch.stop()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.send(b"HTTP/1.1 500 Error\r\nContent-Length: 60000\r\n\r\n" + bytes(50_000))
    (connection,) = program.worker_client._open
    run_until(program, lambda: connection._reader._body_bytes == 50_000)
    assert not connection._reader.body
    client.close()
