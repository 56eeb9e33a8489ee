"""Input that no peer should send ends its connection or call, and never the process."""

import json
import socket

import pytest
from in_process import UP_REQUEST, accept_next, read_next, readable, run_until, set_workers
from world import Listener, job, member

from carthinge.fleet.codec import VERSION, BadPacketError
from carthinge.fleet.codec import decode as decode_packet
from carthinge.net.channel import LENGTH_BYTES, Channel
from carthinge.net.http import Address
from carthinge.net.load import read_load

NESTED = b"[" * 20000  # deeper than the interpreter's recursion limit


def callback(body):
    return b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def event(**more):
    return json.dumps({"id": "a", "from": "b", "state": "done", **more}).encode()


@pytest.mark.parametrize(
    "body",
    [event()[:-1] + b',"x":' + NESTED, event(token=10**30), event(token=-1), event(result=1)],
    ids=["nested", "large token", "negative token", "wrong type"],
)
def test_malformed_callback_is_answered(serve, dial, body):
    program = serve()
    assert read_next(dial(program).send(callback(body)), program)[0].split()[1] == "400"
    assert read_next(dial(program).send(UP_REQUEST), program)[0]


@pytest.mark.parametrize(
    "body",
    [b'{"revision":9,"x":' + NESTED, json.dumps({"members": [member("s-0", 99999)]}).encode()],
    ids=["nested", "impossible port"],
)
def test_malformed_list_is_a_failed_call(serve, body):
    program = serve()
    discovery = Listener()
    program.watch.set_address(Address("127.0.0.1", discovery.port))
    peer = accept_next(discovery, program)
    read_next(peer, program)
    failures = program.counters.watch_failures
    peer.answer(200, body)
    run_until(program, lambda: program.counters.watch_failures > failures)
    discovery.close()


def test_nested_load_report_has_no_values():
    assert read_load(b'{"a":' + NESTED) == {}


@pytest.mark.parametrize("host", ["127.0.0.1\0", "x" * 300 + "\u20ac"], ids=["null", "too long"])
def test_impossible_address_is_a_failed_connect(serve, dial, host):
    program = serve()
    set_workers(program, {**member("s-0", 1), "host_port": f"{host}:80"})
    client = dial(program).send(job("a1", deadline="500m"))
    assert read_next(client, program)[0].split()[1] in ("503", "504")


def test_nested_datagram_is_dropped():
    with pytest.raises(BadPacketError):
        decode_packet(VERSION + b"\x9a\x00\xa1a\x01\xa1b\x00" + b"\x91" * 1400, b"")


def test_nested_message_ends_upgrade_channel(serve):
    program = serve()
    mine, theirs = socket.socketpair(socket.AF_UNIX)
    lost = []
    Channel(program.loop, mine, lambda message, sock: None, lost.append)
    body = b"\x82\xa4type\xa5Hello\xa1x" + b"\x91" * 20000
    theirs.sendall(len(body).to_bytes(LENGTH_BYTES, "big") + body)
    run_until(program, lambda: lost)
    theirs.close()


def test_fault_in_handling_ends_only_its_connection(serve, dial):
    """Guards against any other exception that a peer's input causes."""
    program = serve()

    def read(request):
        raise RuntimeError("a fault of this program")

    program.frontend.translator.read = read
    client = dial(program).send(job("a1"))
    run_until(program, lambda: readable(client.sock))
    assert client.ended()
    assert read_next(dial(program).send(UP_REQUEST), program)[0]
