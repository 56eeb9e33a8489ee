"""The event loop, its clock and its streams."""

import select
import socket
import time
from datetime import timedelta

from carthinge.net.loop import READ, Loop
from carthinge.net.stream import Stream


def test_timer_in_a_century_does_not_overflow():
    loop = Loop()
    local, peer = socket.socketpair()
    with local, peer:
        seen = []
        loop.register(local, READ, seen.append)
        loop.call_after(timedelta(days=36500), lambda: seen.append("due"))
        peer.send(b"x")
        loop.turn()
        assert seen == [READ]
    loop.close()


class Owner:
    def __init__(self):
        self.ends = []

    def received(self, data):
        raise AssertionError("unexpected data")

    def flushed(self):
        pass

    def ended(self, why):
        self.ends.append(why)


def test_peer_that_never_reads_is_closed():
    loop, owner = Loop(), Owner()
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as peer,
    ):
        stream = Stream(loop, listener.accept()[0], owner)
        for _ in range(1000):
            stream.write(b"x" * 65536)
            if stream.unsent > 1024 * 1024:
                break
        assert not owner.ends
        loop.turn(idle=False)
        assert stream.closed and owner.ends == ["the peer does not read what is sent"]
        peer.close()
    loop.close()


def test_timers_run_in_order_unless_cancelled():
    loop = Loop()
    seen = []
    for name, delay_ms in (("second", 2), ("first", 1), ("cancelled", 0)):
        timer = loop.call_after(timedelta(milliseconds=delay_ms), lambda name=name: seen.append(name))
    timer.cancel()
    while len(seen) < 2:
        loop.turn()
    assert seen == ["first", "second"]
    loop.close()


def test_start_time_is_stable_and_old_one_zero():
    clock = Loop().clock
    recent = int((time.time() - 3) * 1000)
    started = clock.from_unix_ms(recent)
    assert started == clock.from_unix_ms(recent)  # a different time would look like a restart
    assert timedelta(seconds=2) < clock.now() - started < timedelta(seconds=60)
    assert clock.from_unix_ms(1) == timedelta()


def test_cancelled_timers_are_swept():
    """Guards against memory use that grows with the job rate times the deadlines."""
    loop = Loop()
    seen = []
    kept = [loop.call_after(timedelta(milliseconds=1), lambda n=n: seen.append(n)) for n in range(10)]
    for _ in range(20_000):
        loop.call_after(timedelta(seconds=60), kept.clear).cancel()
    assert len(loop._timers) <= 256
    while len(seen) < 10:
        loop.turn()
    assert seen == list(range(10))
    loop.close()


def test_slow_reader_gets_whole_last_response(monkeypatch):
    """A stream closed by the linger timeout while its peer still reads would truncate the response."""
    monkeypatch.setattr("carthinge.net.stream.LINGER_TIMEOUT", timedelta())
    loop, owner, answer = Loop(), Owner(), b"x" * 400_000
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        with socket.socket() as peer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            peer.connect(listener.getsockname())
            peer.setblocking(False)
            sock = listener.accept()[0]
            stream = Stream(loop, sock, owner)
            stream.write(answer)
            assert stream.unsent
            stream.finish()
            read = b""
            while len(read) < len(answer):
                assert select.select([peer], [], [], 10)[0]
                part = peer.recv(65536)
                assert part, f"{len(read)} bytes, then closed: {owner.ends}"
                read += part
                if stream.unsent and select.select([], [sock], [], 0)[1]:
                    loop.turn(idle=False)
    loop.close()
