"""The loop and its clock by themselves."""

import select
import socket
import time
from datetime import timedelta

from carthinge.net.loop import READ, Loop
from carthinge.net.stream import Stream


def test_a_timer_that_is_due_in_a_century_does_not_overflow_the_selector():
    loop = Loop()
    here, there = socket.socketpair()
    with here, there:
        seen = []
        loop.register(here, READ, seen.append)
        loop.call_after(timedelta(days=36500), lambda: seen.append("due"))
        there.send(b"x")
        loop.turn()
        assert seen == [READ]
    loop.close()


class Owner:
    def __init__(self):
        self.ends = []

    def received(self, data):
        raise AssertionError("nothing is sent here")

    def flushed(self):
        pass

    def ended(self, why):
        self.ends.append(why)


def test_a_peer_that_does_not_read_is_cut_off_before_its_answers_fill_the_memory():
    loop, owner = Loop(), Owner()
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as there,
    ):
        stream = Stream(loop, listener.accept()[0], owner)
        for _ in range(1000):
            stream.write(b"x" * 65536)
            if stream.unsent > 1024 * 1024:
                break
        assert not owner.ends
        loop.turn(idle=False)
        assert stream.closed and owner.ends == ["the peer does not read what is sent"]
        there.close()
    loop.close()


def test_timers_come_in_the_order_of_their_times_and_not_after_they_are_cancelled():
    loop = Loop()
    seen = []
    for name, span in (("second", 2), ("first", 1), ("cancelled", 0)):
        timer = loop.call_after(timedelta(milliseconds=span), lambda name=name: seen.append(name))
    timer.cancel()
    while len(seen) < 2:
        loop.turn()
    assert seen == ["first", "second"]
    loop.close()


def test_a_start_keeps_its_time_and_a_long_ago_one_is_zero():
    clock = Loop().clock
    recent = int((time.time() - 3) * 1000)
    started = clock.of_unix_ms(recent)
    assert started == clock.of_unix_ms(recent)  # another time would look like another start
    assert timedelta(seconds=2) < clock.now() - started < timedelta(seconds=60)
    assert clock.of_unix_ms(1) == timedelta()


def test_timers_that_were_cancelled_do_not_stay_until_they_are_due():
    """Guards against memory that grows with the rate of jobs times their deadlines."""
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


def test_the_last_answer_on_a_connection_has_its_time_for_as_long_as_its_reader_goes_on(monkeypatch):
    """Cut off in its middle, it would be no whole answer."""
    monkeypatch.setattr("carthinge.net.stream.LINGER_TIMEOUT", timedelta())
    loop, owner, answer = Loop(), Owner(), b"x" * 400_000
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        with socket.socket() as there:
            there.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            there.connect(listener.getsockname())
            there.setblocking(False)
            sock = listener.accept()[0]
            stream = Stream(loop, sock, owner)
            stream.write(answer)
            assert stream.unsent
            stream.finish()
            read = b""
            while len(read) < len(answer):
                assert select.select([there], [], [], 10)[0]
                part = there.recv(65536)
                assert part, f"{len(read)} bytes, then the end: {owner.ends}"
                read += part
                if stream.unsent and select.select([], [sock], [], 0)[1]:
                    loop.turn(idle=False)
    loop.close()
