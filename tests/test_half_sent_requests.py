"""Report 70c9d1: clients that stopped in the middle of a request got neither an error nor a close in time."""

import select
import signal
import time

import pytest
from world import SETTINGS, World, job

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
OWED_WITHIN = 3.0  # seconds, by the standing test's page, from connecting or from the request's first byte
GIVEN_UP = 12.0  # seconds: what has not ended by then is taken for never
WHOLE = job("half", body=b"x" * 200)
HEAD, BODY = WHOLE[:60], WHOLE[:-100]
CALL_BACK = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{"
EXPECTING = job("asks", Expect="100-continue", body=b"abc")[:-3]
TIGHT = 64  # descriptors: ten slots for connections that come in
MANY = {**SETTINGS, "instances": 5}


class Stopped:
    """A client that has sent a part of a request and stays."""

    def __init__(self, world, data, kept=None, name=""):
        """``kept``: a connection that has had an answer already; else a new one."""
        self.name = name or f"{data[:70]!r}{' on a kept connection' if kept else ''}"
        self.began = time.monotonic()
        self.peer = kept or world.connect()
        self.peer.sock.sendall(data)
        self.took = None

    def heard(self):
        """An error or an end has come; announcements and answers to whole requests before it do not count."""
        try:
            got = self.peer.sock.recv(65536)
        except ConnectionResetError:
            got = b""
        if not got or b"HTTP/1.1 4" in got or b"HTTP/1.1 5" in got:
            self.took = time.monotonic() - self.began


def kept(world, count):
    """Connections that have had an answer."""
    peers = [world.connect() for _ in range(count)]
    for peer in peers:
        peer.send(UP).read()
    return peers


def late(clients):
    """Waits for all of them; those that were owed an end and did not have it in time."""
    waiting = {client.peer.sock.fileno(): client for client in clients}
    poll = select.poll()
    for number in waiting:
        poll.register(number, select.POLLIN)
    until = time.monotonic() + GIVEN_UP
    while waiting and time.monotonic() < until:
        for number, _ in poll.poll(100):
            waiting[number].heard()
            if waiting[number].took is not None:
                poll.unregister(number)
                del waiting[number]
    return {client.name: client.took for client in clients if (client.took or GIVEN_UP) > OWED_WITHIN}


def test_a_client_that_stops_in_the_middle_of_a_request_has_an_error_or_a_close_within_3_s(world):
    parts = [b"", WHOLE[:1], HEAD, BODY, UP + HEAD, EXPECTING, CALL_BACK]
    clients = [Stopped(world, part) for part in parts]
    parts = [WHOLE[:1], HEAD, BODY, UP + BODY, CALL_BACK]
    clients += [Stopped(world, part, peer) for part, peer in zip(parts, kept(world, 5), strict=True)]
    assert late(clients) == {}


def test_a_client_that_stops_after_some_pieces_has_its_error_within_3_s_of_the_last_one(world):
    client = Stopped(world, WHOLE[:20])
    for at in range(20, 60, 8):
        time.sleep(0.2)  # a slow writer, up to here
        client.peer.sock.sendall(WHOLE[at : at + 8])
    assert late([client]) == {}


def test_half_requests_that_hold_every_slot_keep_nobody_from_an_end_within_3_s(tmp_path):
    """Who waits to be accepted meanwhile has connected already: its time runs."""
    with World(tmp_path, sockets=TIGHT) as world:
        peers = kept(world, 10)
        holders = [Stopped(world, HEAD, peer, f"holder {number}") for number, peer in enumerate(peers)]
        time.sleep(0.3)  # past the moment in which a newcomer is spared
        newcomers = [Stopped(world, part, name=f"newcomer {part[:9]!r}") for part in (HEAD, BODY, b"", b"")]
        assert late(holders + newcomers) == {}


def test_a_silent_client_keeps_its_clock_when_an_upgrade_moves_it(tmp_path):
    with World(tmp_path, held=True) as world:
        clients = [Stopped(world, part) for part in (b"", HEAD)]
        time.sleep(1.2)  # a good part of its time is over when it moves
        old, _ = world.upgrade()
        old.send_signal(signal.SIGTERM)
        assert late(clients) == {}


@pytest.mark.parametrize("after", [0.0, 2.0])
def test_a_half_request_in_a_drain_has_its_end_within_3_s(tmp_path, after):
    with World(tmp_path, settings=MANY) as world:
        resting = kept(world, 3)
        world.terminate()
        time.sleep(after)
        parts = [WHOLE[:1], HEAD, BODY]
        clients = [Stopped(world, part, peer) for part, peer in zip(parts, resting, strict=True)]
        assert late(clients) == {}
