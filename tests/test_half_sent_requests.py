"""Clients that stop in the middle of a request get an error or a close in time (report 70c9d1)."""

import select
import signal
import time

import pytest
from world import SETTINGS, World, job

UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
# Seconds from the connect or from the request's first byte, by the operators' acceptance rules.
STOPPED_CLIENT_LIMIT = 3.0
MAX_WAIT = 12.0  # seconds: clients without an end by then count as never ended
WHOLE = job("half", body=b"x" * 200)
HEAD, BODY = WHOLE[:60], WHOLE[:-100]
PARTIAL_CALLBACK = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{"
EXPECT_CONTINUE = job("asks", Expect="100-continue", body=b"abc")[:-3]
TIGHT = 64  # descriptors: ten slots for incoming connections
FIVE_SCHEDULERS = {**SETTINGS, "instances": 5}


class StoppedClient:
    """A client that has sent a part of a request and keeps its connection open."""

    def __init__(self, world, data, kept=None, name=""):
        """``kept`` is a connection that has had a response already; without it a new one is opened."""
        self.name = name or f"{data[:70]!r}{' on a kept connection' if kept else ''}"
        self.began = time.monotonic()
        self.peer = kept or world.connect()
        self.peer.sock.sendall(data)
        self.ended_after = None

    def receive(self):
        """Record when an error or close arrives; 1xx and responses to complete requests do not count."""
        try:
            got = self.peer.sock.recv(65536)
        except ConnectionResetError:
            got = b""
        if not got or b"HTTP/1.1 4" in got or b"HTTP/1.1 5" in got:
            self.ended_after = time.monotonic() - self.began


def kept(world, count):
    """Return connections that have had a response."""
    peers = [world.connect() for _ in range(count)]
    for peer in peers:
        peer.send(UP_REQUEST).read()
    return peers


def ended_late(clients):
    """Wait for all clients; return those that had no error or close in time."""
    waiting = {client.peer.sock.fileno(): client for client in clients}
    poll = select.poll()
    for number in waiting:
        poll.register(number, select.POLLIN)
    until = time.monotonic() + MAX_WAIT
    while waiting and time.monotonic() < until:
        for number, _ in poll.poll(100):
            waiting[number].receive()
            if waiting[number].ended_after is not None:
                poll.unregister(number)
                del waiting[number]
    return {
        client.name: client.ended_after
        for client in clients
        if (client.ended_after or MAX_WAIT) > STOPPED_CLIENT_LIMIT
    }


def test_stopped_client_gets_end_within_3_s(world):
    parts = [b"", WHOLE[:1], HEAD, BODY, UP_REQUEST + HEAD, EXPECT_CONTINUE, PARTIAL_CALLBACK]
    clients = [StoppedClient(world, part) for part in parts]
    parts = [WHOLE[:1], HEAD, BODY, UP_REQUEST + BODY, PARTIAL_CALLBACK]
    clients += [StoppedClient(world, part, peer) for part, peer in zip(parts, kept(world, 5), strict=True)]
    assert ended_late(clients) == {}


def test_client_stopped_after_pieces_gets_error(world):
    client = StoppedClient(world, WHOLE[:20])
    for at in range(20, 60, 8):
        time.sleep(0.2)  # still a slow writer here
        client.peer.sock.sendall(WHOLE[at : at + 8])
    assert ended_late([client]) == {}


def test_partial_requests_in_all_slots_delay_no_end(tmp_path):
    """The time of clients that wait in the backlog runs from their connect."""
    with World(tmp_path, sockets=TIGHT) as world:
        peers = kept(world, 10)
        holders = [StoppedClient(world, HEAD, peer, f"holder {number}") for number, peer in enumerate(peers)]
        time.sleep(0.3)  # past the grace in which a new connection is spared
        newcomers = [
            StoppedClient(world, part, name=f"newcomer {part[:9]!r}") for part in (HEAD, BODY, b"", b"")
        ]
        assert ended_late(holders + newcomers) == {}


def test_silent_client_keeps_timeout_across_upgrade(tmp_path):
    with World(tmp_path, inherited_socket=True) as world:
        clients = [StoppedClient(world, part) for part in (b"", HEAD)]
        time.sleep(1.2)  # a part of its timeout passes before the upgrade
        old, _ = world.upgrade()
        old.send_signal(signal.SIGTERM)
        assert ended_late(clients) == {}


@pytest.mark.parametrize("after", [0.0, 2.0])
def test_partial_request_in_drain_ends_within_3_s(tmp_path, after):
    with World(tmp_path, settings=FIVE_SCHEDULERS) as world:
        idle = kept(world, 3)
        world.terminate()
        time.sleep(after)
        parts = [WHOLE[:1], HEAD, BODY]
        clients = [StoppedClient(world, part, peer) for part, peer in zip(parts, idle, strict=True)]
        assert ended_late(clients) == {}
