"""The channel between the two processes of an upgrade: what it keeps, and what failed calls do to it."""

import contextlib
import errno
import socket
import time
from datetime import timedelta

import msgspec
import pytest
from faults import FaultySockets, advance_clock
from in_process import UP_REQUEST, run_until
from world import HOST, WAIT

from carthinge.net.channel import (
    CONGESTED_BYTES,
    LENGTH_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_UNCLAIMED_SOCKETS,
    STALL_TIMEOUT,
    Channel,
    ForwardedCallback,
    Heartbeat,
    Incoming,
)
from carthinge.net.loop import Loop
from carthinge.net.sockets import RETRY_DELAY
from carthinge.scheduler.upgrade import FORWARD_TIMEOUT, STATE_TIMEOUT


@pytest.fixture
def peers(serve):
    """A program and two channels: its own, and the socket of a peer that reads nothing."""
    program = serve()
    mine, theirs = socket.socketpair(socket.AF_UNIX)
    lost = []
    channel = Channel(program.loop, mine, lambda message, sock: None, lost.append)
    yield program, channel, theirs, lost
    channel.close()
    theirs.close()


def fill(channel):
    while not channel.congested:
        channel.send(ForwardedCallback(1, bytes(60_000)))


def test_peer_that_does_not_read_loses_the_channel(peers):
    """Guards against output that grows for as long as the other process is stuck."""
    program, channel, _, lost = peers
    fill(channel)
    assert channel._unsent_bytes <= CONGESTED_BYTES + 70_000
    advance_clock(program, STATE_TIMEOUT + timedelta(milliseconds=100))
    run_until(program, lambda: lost)


def test_peer_that_reads_slowly_keeps_the_channel(peers):
    program, channel, theirs, lost = peers
    theirs.setblocking(False)
    fill(channel)
    for _ in range(5):
        for _ in range(4):
            with contextlib.suppress(BlockingIOError):
                theirs.recv(65536)
        for _ in range(3):
            program.loop.turn(idle=False)
        advance_clock(program, timedelta(seconds=1))
        program.loop.turn(idle=False)
    assert not lost and channel._unsent_bytes < CONGESTED_BYTES


def test_nothing_is_forwarded_to_a_congested_peer(peers):
    program, channel, _, _ = peers
    upgrade, results = program.upgrade, []
    upgrade._channel = channel
    fill(channel)
    unsent = channel._unsent_bytes
    for _ in range(10):
        upgrade.forward_callback(bytes(60_000), results.append)
        upgrade._send_heartbeat()
    run_until(program, lambda: len(results) == 10)
    assert results == [False] * 10 and channel._unsent_bytes <= unsent
    advance_clock(program, FORWARD_TIMEOUT)
    upgrade._channel = None


@pytest.mark.parametrize("kind", ["length", "sockets"])
def test_excessive_message_ends_the_channel(peers, kind):
    program, _, theirs, lost = peers
    if kind == "length":
        theirs.sendall((MAX_MESSAGE_BYTES + 1).to_bytes(LENGTH_BYTES, "big"))
    else:
        theirs.sendall((1000).to_bytes(LENGTH_BYTES, "big"))
        for _ in range(MAX_UNCLAIMED_SOCKETS + 2):
            socket.send_fds(theirs, [b"x"], [theirs.fileno()])
    run_until(program, lambda: lost)


class ChannelEnd:
    """One end of a channel, in a loop of its own."""

    def __init__(self, sock):
        self.loop = Loop()
        self.loop.sockets = FaultySockets()
        self.received, self.lost = [], []
        self.channel = Channel(
            self.loop, sock, lambda *message: self.received.append(message), self.lost.extend
        )

    @property
    def messages(self):
        return [message for message, _ in self.received]

    def close(self):
        self.channel.close()
        self.loop.close()


@pytest.fixture
def ends():
    old, new = (ChannelEnd(sock) for sock in socket.socketpair(socket.AF_UNIX))
    yield old, new
    old.close()
    new.close()


def turn_until(condition, *ends):
    until = time.monotonic() + WAIT
    while not condition():
        assert time.monotonic() < until
        for end in ends:
            end.loop.turn(idle=False)


def pass_connection(end):
    """Pass a TCP connection; return the client's side of it."""
    with socket.create_server((HOST, 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        passed = listener.accept()[0]
    end.channel.send(Incoming(fresh=True), passed)
    return client


def is_connected(client, sock):
    client.send(b"x")
    return sock.recv(1) == b"x"


TEMPORARY = (errno.EINTR, errno.ENOMEM, errno.ENOBUFS, errno.ETOOMANYREFS)
CALLS = ("send", "send_with_socket", "receive_with_sockets")


@pytest.mark.parametrize("error", TEMPORARY, ids=errno.errorcode.get)
@pytest.mark.parametrize("call", CALLS)
def test_temporary_failure_breaks_no_handover(ends, call, error):
    """Guards against a shortage of buffers that ended the channel and lost the connections on their way."""
    old, new = ends
    for end in ends:
        end.loop.sockets.fail(call, error, error)
    old.channel.send(Heartbeat(1, b""))
    client = pass_connection(old)
    old.channel.send(Heartbeat(2, b""))
    new.channel.send(Heartbeat(3, b""))
    turn_until(lambda: len(new.received) == 3 and old.received, old, new)
    assert new.messages == [Heartbeat(1, b""), Incoming(fresh=True), Heartbeat(2, b"")]
    assert old.messages == [Heartbeat(3, b"")]
    assert old.loop.sockets.pending(call) == 0 and not old.lost and not new.lost
    assert is_connected(client, new.received[1][1])


@pytest.mark.parametrize("call", CALLS)
def test_shortage_does_not_spin(ends, call):
    """Guards against a busy loop: the socket is ready while the calls on it fail."""
    old, new = ends
    end = new if call == "receive_with_sockets" else old
    end.loop.sockets.fail(call, *[errno.ENOBUFS] * 1000)
    old.channel.send(Heartbeat(1, b""))
    pass_connection(old)
    began = time.monotonic()
    while time.monotonic() < began + 3 * RETRY_DELAY.total_seconds():
        end.loop.turn()
    assert 1 <= end.loop.sockets.call_counts[call] <= 4
    assert end.loop.turns <= 8


@pytest.mark.parametrize("error", [errno.EPIPE, errno.ECONNRESET], ids=errno.errorcode.get)
def test_connection_that_was_not_passed_is_kept(ends, error):
    old, _ = ends
    old.loop.sockets.fail("send_with_socket", error)
    client = pass_connection(old)
    old.loop.turn(idle=False)
    ((message, kept),) = old.lost
    assert isinstance(message, Incoming) and is_connected(client, kept)


@pytest.mark.parametrize("error", TEMPORARY[1:], ids=errno.errorcode.get)
def test_connection_that_was_not_passed_in_a_lasting_shortage_is_kept(ends, error):
    old, _ = ends
    old.loop.sockets.fail("send_with_socket", *[error] * 10_000)
    client = pass_connection(old)
    advance_clock(old, STALL_TIMEOUT)
    old.loop.turn(idle=False)
    ((message, kept),) = old.lost
    assert isinstance(message, Incoming) and is_connected(client, kept)


@pytest.mark.parametrize("cause", ["failed send", "stalled peer"])
def test_connections_passed_before_the_channel_ends_are_received(ends, cause):
    """Guards against requests without an answer: the process that has passed them has given them away."""
    old, new = ends
    if cause == "stalled peer":
        while not new.channel.congested:
            new.channel.send(ForwardedCallback(1, bytes(60_000)))
    clients = [pass_connection(old) for _ in range(3)]
    if cause == "failed send":
        new.loop.sockets.fail("send", errno.EPIPE)
        new.channel.send(Heartbeat(1, b""))
    else:
        advance_clock(new, STALL_TIMEOUT)
    turn_until(lambda: new.channel.closed, new)
    assert len(new.received) == 3
    assert all(is_connected(client, sock) for client, (_, sock) in zip(clients, new.received, strict=True))


def test_state_that_came_in_time_is_used(make_program):
    """Guards against a successor that was held up and dropped what its predecessor had passed in time."""
    program = make_program()
    upgrade = program.upgrade
    mine, theirs = socket.socketpair(socket.AF_UNIX)
    upgrade._taking_over = True
    upgrade._open_channel(mine)
    upgrade._state_timer = program.loop.call_after(STATE_TIMEOUT, upgrade._state_timed_out)
    old = ChannelEnd(theirs)
    state = program.handover_peer.state()
    old.channel.send(msgspec.structs.replace(state, recent_ids=["x" * 1000] * 100))  # more than one read
    client = pass_connection(old)
    assert not old.channel.unsent
    advance_clock(program, STATE_TIMEOUT)
    program.loop.turn(idle=False)
    assert upgrade.has_peer
    (connection,) = program.frontend.slots.all()
    client.send(UP_REQUEST)
    run_until(program, lambda: connection not in program.frontend.slots.fresh)
    assert client.recv(1)
    old.close()
