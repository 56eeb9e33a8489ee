"""What all clients together can make the program hold."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest
from in_process import UP_REQUEST, accept_next, read_next, readable, run_until, set_workers
from test_peer_limits import let_peers_read
from world import job, member, settings_with_caps

from carthinge.net.process_memory import (
    MEBIBYTE,
    MIN_FREE_BYTES,
    SUCCESSOR_WORKING_BYTES,
    free_bytes,
    measure,
)
from carthinge.net.read_timeouts import MAX_PART_INTERVAL

ROOT = Path(__file__).resolve().parent.parent
KIB = 1024
HALF_SENT = b"POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + bytes(50_000)


@pytest.fixture
def program(serve, worker):
    """A program with room for three requests of 50 KB."""
    program = serve(settings=settings_with_caps(try_limit=1))
    set_workers(program, member("s-0", worker.port))
    program.frontend.memory.limit = 160 * KIB
    return program


def turns(program, count=30):
    for _ in range(count):
        program.loop.turn(idle=False)
        program.tracker.decide()


def test_half_sent_requests_are_refused_beyond_the_limit(program, dial):
    clients = [dial(program).send(HALF_SENT) for _ in range(10)]
    turns(program)
    refused = [client for client in clients if readable(client.sock)]
    assert program.frontend.memory.held <= program.frontend.memory.limit
    assert len(refused) == program.counters.connections_in_shed == 7
    assert all(client.status() == 503 and client.ended() for client in refused)
    served = next(client for client in clients if client not in refused).send(bytes(10_000))
    assert read_next(served, program)[0].split()[1] == "400"  # complete, and handled: it has no id


def test_half_sent_requests_are_refused_at_once_when_an_upgrade_begins(program, dial):
    """Guards against a predecessor that keeps what it holds beyond its part of the memory."""
    program.frontend.memory._full_limit = program.frontend.memory.limit
    clients = [dial(program).send(HALF_SENT) for _ in range(3)]
    run_until(program, lambda: program.frontend.memory.held > 3 * 50_000)
    program.handover_peer.set_leaving(True)
    assert program.frontend.memory.held <= 80 * KIB
    turns(program)
    assert [client.status() for client in clients if readable(client.sock)] == [503, 503]


@pytest.mark.parametrize("may_have_successor", [False, True])
def test_free_memory_leaves_room_for_a_successor(may_have_successor):
    used = measure()
    taken = used.total + may_have_successor * (used.private + SUCCESSOR_WORKING_BYTES)
    assert 0 < used.private < used.total
    assert abs(free_bytes(1000, may_have_successor) - (1000 * MEBIBYTE - taken)) < MEBIBYTE
    assert free_bytes(1, may_have_successor) == MIN_FREE_BYTES


def test_inherited_socket_leaves_room_for_a_successor(make_program):
    without = make_program().frontend.memory.limit
    with socket.create_server(("127.0.0.1", 0)) as listening:
        assert make_program(inherited=listening).frontend.memory.limit < without - MEBIBYTE


def test_large_blocks_return_to_the_system():
    """Guards against freed bodies that stay resident behind small objects, while a new process needs room."""
    code = (
        "from carthinge.net.process_memory import measure, return_large_blocks\n"
        "return_large_blocks()\n"
        "before = measure().private\n"
        "held = [(bytearray(b'x' * 40_000), bytearray(b'y' * 2_000)) for _ in range(400)]\n"
        "grown = measure().private - before\n"
        "held = [small for _, small in held]\n"
        "print(grown, measure().private - before)"
    )
    command = [sys.executable, "-c", code]
    output = subprocess.run(command, capture_output=True, text=True, check=True, cwd=ROOT).stdout
    grown, left = map(int, output.split())
    assert grown > 400 * 40_000 and left < grown / 4


def test_small_requests_are_served_beside_a_crowd(program, dial, worker):
    for _ in range(10):
        dial(program).send(HALF_SENT)
    turns(program)
    client = dial(program).send(job("a1"))
    assert read_next(accept_next(worker, program), program)[1]["req-id"] == "a1"
    assert not readable(client.sock)


def test_request_ahead_of_a_refused_one_gets_its_own_answer(program, dial, worker):
    """Guards against a promise that a job never ran, when it may have."""
    client = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    client.send(job("a2") + HALF_SENT)
    turns(program)
    program.frontend.memory.limit = 1
    dial(program).send(HALF_SENT)
    assert [int(read_next(client, program)[0].split()[1]) for _ in range(3)] == [504, 503, 503]
    assert program.counters.invariants_violated == 0


def test_jobs_are_refused_while_bodies_fill_the_memory(program, dial, worker):
    for number in range(3):
        dial(program).send(job(f"a{number}", body=bytes(50_000)))
    turns(program)
    client = dial(program).send(job("b1"))
    first, headers, _ = read_next(client, program)
    assert first.split()[1] == "503" and "retry-after" in headers
    assert program.counters.shed_for_memory == 1 and program.counters.connections_in_shed == 0


def test_number_of_tracked_requests_is_limited(program, dial):
    """Guards against requests of clients that have left, at workers that never end them."""
    program.frontend.memory.limit = 4 * KIB * 2
    for number in range(2):
        dial(program).send(job(f"a{number}"))
    turns(program)
    assert read_next(dial(program).send(job("b1")), program)[0].split()[1] == "503"


def test_unread_answers_are_dropped_last(program, dial):
    """Guards against answers that a slow reader would lose while requests can still be refused."""
    slow, half_sent = dial(program), dial(program)
    let_peers_read(program, 0)
    slow.send(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n" * 8)
    turns(program)
    half_sent.send(HALF_SENT)
    turns(program)
    program.frontend.memory.limit = 40 * KIB
    dial(program).send(HALF_SENT)
    let_peers_read(program, KIB * KIB)
    turns(program)
    assert half_sent.status() == 503 and slow.status() == 200


def test_memory_is_released_with_the_connections(program, dial):
    clients = [dial(program).send(HALF_SENT) for _ in range(3)]
    turns(program)
    assert program.frontend.memory.held > 3 * 50_000
    for client in clients:
        client.close()
    run_until(program, lambda: not len(program.frontend.slots))
    assert program.frontend.memory.held == 0
    assert read_next(dial(program).send(UP_REQUEST), program)[0].endswith("200 OK")


def test_large_requests_leave_their_slots_to_waiting_connections(serve, dial):
    """Guards against connections in the backlog that wait until the clients before them have timed out."""
    program = serve(sockets=80)
    slots = program.frontend.slots
    clients = [dial(program).send(UP_REQUEST) for _ in range(slots.max_connections)]
    for client in clients:
        assert read_next(client, program)[0].endswith("200 OK")
        client.send(HALF_SENT)
    turns(program)
    assert not any(connection.idle() for connection in slots.all())
    began = program.loop.now
    assert read_next(dial(program).send(UP_REQUEST), program)[0].endswith("200 OK")
    assert program.loop.now - began < MAX_PART_INTERVAL  # the earliest time-out of such a request
    refused = [client for client in clients if readable(client.sock)]
    assert refused and all(client.status() == 503 for client in refused)


def test_waiting_connections_are_accepted_together_when_all_slots_are_taken(serve, dial):
    """Guards against a backlog that moves by one connection a turn."""
    program = serve(sockets=80)
    slots = program.frontend.slots
    for _ in range(slots.max_connections):
        assert read_next(dial(program).send(UP_REQUEST), program)
    for _ in range(8):
        dial(program).send(UP_REQUEST)
    before = program.counters.connections_in
    program.loop.turn(idle=False)
    assert program.counters.connections_in == before + 8
