"""Faults at the seam of the socket calls, and time that goes on at a test's word."""

import contextlib
import errno
import os
from collections import defaultdict, deque

from carthinge.net.sockets import Sockets

CALLS = (
    "connect",
    "connect_error",
    "accept",
    "receive",
    "peek",
    "send",
    "shut_down_sending",
    "close",
    "receive_with_sockets",
    "send_with_socket",
    "send_to",
)


class FaultySockets(Sockets):
    """The real calls; some of them fail first, or something happens right before or after them."""

    def __init__(self):
        self.made = defaultdict(int)  # calls, the failed ones included
        self._faults = defaultdict(deque)
        self._before = defaultdict(deque)
        self._after = defaultdict(deque)

    def fail(self, call, *errors):
        """The next calls of that name fail so, one after the other."""
        self._faults[call].extend(errors)

    def before(self, call, hook):
        """``hook`` is called with the arguments of the next such call, right before it."""
        self._before[call].append(hook)

    def after(self, call, hook):
        """The same right after it."""
        self._after[call].append(hook)

    def left(self, call):
        """Faults that have not come up yet."""
        return len(self._faults[call])

    def _made(self, call, *given):
        self.made[call] += 1
        if self._before[call]:
            self._before[call].popleft()(*given)
        if self._faults[call]:
            error = self._faults[call].popleft()
            raise OSError(error, os.strerror(error))
        result = getattr(super(), call)(*given)
        if self._after[call]:
            self._after[call].popleft()(*given)
        return result


def _through(call):
    return lambda self, *given: FaultySockets._made(self, call, *given)


for _call in CALLS:
    setattr(FaultySockets, _call, _through(_call))


def faulty(program):
    """Puts faults between a program of the test's own process and its sockets."""
    program.loop.sockets = FaultySockets()
    return program.loop.sockets


def let_pass(program, span):
    """So much time passes at once, for the program alone."""
    program.loop.clock.HISTORY += span


@contextlib.contextmanager
def clock_stopped(program):
    """No time passes for the program meanwhile, however busy this machine is."""
    clock = program.loop.clock
    stopped = clock.now()
    clock.now = lambda: stopped
    yield
    del clock.now


LOCAL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE)
