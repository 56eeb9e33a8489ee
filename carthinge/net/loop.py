"""The one loop of the program: a selector, a heap of timers and a clock."""

from __future__ import annotations

import selectors
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from heapq import heapify, heappop, heappush
from typing import Final

from carthinge.net.clock import Clock
from carthinge.net.sockets import Sockets

READ: Final = selectors.EVENT_READ
WRITE: Final = selectors.EVENT_WRITE
MICROSECOND: Final = timedelta(microseconds=1)
MILLISECOND: Final = timedelta(milliseconds=1)
SMALL_HEAP: Final = 256  # timers; below that nothing is gained by sweeping out the cancelled ones
LONGEST_WAIT: Final = timedelta(minutes=1)  # a selector overflows where a client is patient for years


class Timer:
    """A call that is due at a time, unless it is cancelled before."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Have the call not made."""
        self.call = None


class Loop:
    """Calls back who owns a socket that is ready or a timer that is due; runs turn by turn."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.sockets = Sockets()
        self.now = self.clock.now()  # the time of this turn
        self.since = self.now  # what is ready in this turn became so no earlier
        self.turns = 0  # so many have begun
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._sweep_at = SMALL_HEAP
        self._count = 0
        self._soon: deque[Callable[[], None]] = deque()

    def register(self, sock: socket.socket, interest: int, ready: Callable[[int], None]) -> None:
        """Call ``ready`` with the mask when the socket is ready; OSError where there is no room."""
        self._selector.register(sock, interest, ready)

    def change(self, sock: socket.socket, interest: int, ready: Callable[[int], None]) -> None:
        """Ask for other readiness of a registered socket."""
        self._selector.modify(sock, interest, ready)

    def forget(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        self._selector.unregister(sock)

    def call_at(self, due: timedelta, call: Callable[[], None]) -> Timer:
        """Make a call in the first turn after ``due``."""
        timer = Timer(call)
        self._count += 1
        if len(self._timers) >= self._sweep_at:  # cancelled ones would stay until they are due
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapify(self._timers)
            self._sweep_at = max(SMALL_HEAP, 2 * len(self._timers))
        heappush(self._timers, (due, self._count, timer))
        return timer

    def call_after(self, span: timedelta, call: Callable[[], None]) -> Timer:
        """Make a call in the first turn after a span of time."""
        return self.call_at(self.clock.now() + span, call)

    def soon(self, call: Callable[[], None]) -> None:
        """For the next turn: whoever asks is in the middle of something."""
        self._soon.append(call)

    def turn(self, idle: bool = True) -> None:
        """Waits until something is ready or due (not at all unless ``idle``) and makes all its calls."""
        asked = self.clock.now()
        ready = self._selector.select(self._patience(idle))
        before, self.now = self.now, self.clock.now()
        self.clock.check_for_step(self.now)
        # What wakes the selector is news; what was there may have come at any time since the last look.
        self.since = self.now if self.now - asked >= MILLISECOND else before
        self.turns += 1
        for _ in range(len(self._soon)):
            self._soon.popleft()()
        for key, mask in ready:
            key.data(mask)
        while self._timers and self._timers[0][0] <= self.now:
            call = heappop(self._timers)[2].call
            if call is not None:
                call()

    def close(self) -> None:
        """Close the selector."""
        self._selector.close()

    def _patience(self, idle: bool) -> float:
        if self._soon or not idle:
            return 0.0
        while self._timers and self._timers[0][2].call is None:
            heappop(self._timers)
        wait = self._timers[0][0] - self.clock.now() if self._timers else LONGEST_WAIT
        return min(max(wait, timedelta()), LONGEST_WAIT).total_seconds()
