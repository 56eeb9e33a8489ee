"""The loop and its clock by themselves."""

import socket
import time
from datetime import timedelta

from carthinge.net.loop import READ, Loop


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
