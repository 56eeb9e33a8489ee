"""The event loop of the program: a selector, a heap of timers and a clock."""

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
MIN_SWEEP_TIMERS: Final = 256  # removing cancelled timers from a smaller heap gains nothing
MAX_RECEIVE_BYTES: Final = 64 * 1024  # by one call
MIN_RECEIVE_BYTES: Final = 4 * 1024
TURN_RECEIVE_BYTES: Final = 256 * 1024  # by all sockets together, so that a crowd does not hold up a turn
MAX_SELECT_TIMEOUT: Final = timedelta(minutes=1)  # a deadline that is years away overflows the selector


class Timer:
    """A scheduled call, which can be cancelled until it is made."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class Loop:
    """Calls the callbacks of ready sockets and due timers, one turn of the loop at a time."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.sockets = Sockets()
        self.now = self.clock.now()  # time at which this turn's select returned
        self.ready_since = self.now  # earliest time at which a socket of this turn can have become ready
        self.turns = 0  # number of turns begun
        self.receive_bytes = MAX_RECEIVE_BYTES  # that each socket may receive in this turn
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._sweep_size = MIN_SWEEP_TIMERS
        self._timer_count = 0
        self._next_turn_calls: deque[Callable[[], None]] = deque()

    def register(self, sock: socket.socket, interest: int, ready: Callable[[int], None]) -> None:
        """Call ``ready`` with the event mask when the socket is ready; OSError if the selector is full."""
        self._selector.register(sock, interest, ready)

    def modify(self, sock: socket.socket, interest: int, ready: Callable[[int], None]) -> None:
        """Change the events that a registered socket is watched for."""
        self._selector.modify(sock, interest, ready)

    def unregister(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        self._selector.unregister(sock)

    def call_at(self, due: timedelta, call: Callable[[], None]) -> Timer:
        """Schedule a call for the first turn after ``due``."""
        timer = Timer(call)
        self._timer_count += 1
        if len(self._timers) >= self._sweep_size:  # cancelled timers would stay until due
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapify(self._timers)
            self._sweep_size = max(MIN_SWEEP_TIMERS, 2 * len(self._timers))
        heappush(self._timers, (due, self._timer_count, timer))
        return timer

    def call_after(self, delay: timedelta, call: Callable[[], None]) -> Timer:
        """Schedule a call for the first turn after a delay."""
        return self.call_at(self.clock.now() + delay, call)

    def call_soon(self, call: Callable[[], None]) -> None:
        """Schedule a call for the next turn, so that the caller can finish first."""
        self._next_turn_calls.append(call)

    def turn(self, idle: bool = True) -> None:
        """Wait for ready sockets or due timers (only poll unless ``idle``) and make all their calls."""
        started = self.clock.now()
        ready = self._selector.select(self._select_timeout(idle))
        previous, self.now = self.now, self.clock.now()
        self.clock.check_for_step(self.now)
        # An event that ended a wait is new; one found at once may date back to the previous select.
        self.ready_since = self.now if self.now - started >= MILLISECOND else previous
        self.turns += 1
        share = TURN_RECEIVE_BYTES // (len(ready) or 1)
        self.receive_bytes = min(MAX_RECEIVE_BYTES, max(MIN_RECEIVE_BYTES, share))
        for _ in range(len(self._next_turn_calls)):
            self._next_turn_calls.popleft()()
        for key, mask in ready:
            key.data(mask)
        while self._timers and self._timers[0][0] <= self.now:
            call = heappop(self._timers)[2].call
            if call is not None:
                call()

    def close(self) -> None:
        """Close the selector."""
        self._selector.close()

    def _select_timeout(self, idle: bool) -> float:
        if self._next_turn_calls or not idle:
            return 0.0
        while self._timers and self._timers[0][2].call is None:
            heappop(self._timers)
        wait = self._timers[0][0] - self.clock.now() if self._timers else MAX_SELECT_TIMEOUT
        return min(max(wait, timedelta()), MAX_SELECT_TIMEOUT).total_seconds()
