"""What comes of clients whose bytes arrive within one and the same turn, or long before they are read."""

import contextlib
import socket
import time

import pytest
from world import Peer

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
TIGHT = 64  # descriptors: what is not kept back leaves places for ten connections


@pytest.fixture
def dial():
    with contextlib.ExitStack() as opened:

        def dial(program):
            listen = program.config.listen
            sock = opened.enter_context(socket.create_connection((listen.host, listen.port)))
            return Peer(sock)

        yield dial


def turns(program, until):
    """Turns that do not wait, until that holds; the other side's bytes need a moment on loopback."""
    end = time.monotonic() + 10
    while not until():
        assert time.monotonic() < end
        program.loop.turn(idle=False)
        program.book.decide()


def listener_first(program, monkeypatch):
    """The order in which sockets are ready is the kernel's; this is the one that loses something."""
    select, listening = program.loop._selector.select, program.ingress._listener._sock

    def sorted_select(timeout=None):
        return sorted(select(timeout), key=lambda ready: ready[0].fileobj is not listening)

    monkeypatch.setattr(program.loop._selector, "select", sorted_select, raising=False)


def kept(program, dial):
    """As many connections as there are places, each answered once."""
    peers = []
    while len(program.ingress.places) < program.ingress.places.most:
        peers.append(dial(program).send(UP))
        turns(program, lambda: len(program.ingress.places.kept) == len(peers))
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
    turns(program, lambda: program.ingress.places.fresh == {})
    assert late.status() == 200 and program.counters.connections_in_closed_early == 1


def test_a_first_request_that_came_at_the_last_moment_is_read_and_not_cut_off(serve, dial, monkeypatch):
    program = serve()
    peer = dial(program)
    turns(program, lambda: len(program.ingress.places) == 1)
    peer.send(UP)  # unread when the next look at those that are overdue comes
    monkeypatch.setattr(type(program.loop.clock), "HISTORY", program.loop.clock.HISTORY * 2)
    program.loop.now = program.loop.clock.now()
    program.ingress._check_fresh()
    turns(program, lambda: program.ingress.places.fresh == {})
    assert peer.status() == 200
