"""Bounds on what the channel between the two processes of an upgrade keeps."""

import contextlib
import socket
from datetime import timedelta

import pytest
from faults import advance_clock
from in_process import run_until

from carthinge.net.channel import (
    CONGESTED_BYTES,
    LENGTH_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_UNCLAIMED_SOCKETS,
    Channel,
    ForwardedCallback,
)
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
