"""Injected faults in socket calls, and a clock that a test controls."""

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
    """Makes the real calls; a test can make the next ones fail, or run a hook right before or after them."""

    def __init__(self):
        self.call_counts = defaultdict(int)  # calls by name, including the failed ones
        self._faults = defaultdict(deque)
        self._before = defaultdict(deque)
        self._after = defaultdict(deque)

    def fail(self, call, *errors):
        """Make the next calls of that name fail with these errors, one after the other."""
        self._faults[call].extend(errors)

    def before(self, call, hook):
        """Call ``hook`` with the arguments of the next call of that name, right before it."""
        self._before[call].append(hook)

    def after(self, call, hook):
        """Call ``hook`` likewise, right after the call."""
        self._after[call].append(hook)

    def pending(self, call):
        """Return how many faults of that call are still to come."""
        return len(self._faults[call])

    def _make_call(self, call, *arguments):
        self.call_counts[call] += 1
        if self._before[call]:
            self._before[call].popleft()(*arguments)
        if self._faults[call]:
            error = self._faults[call].popleft()
            raise OSError(error, os.strerror(error))
        result = getattr(super(), call)(*arguments)
        if self._after[call]:
            self._after[call].popleft()(*arguments)
        return result


def _wrapped(call):
    return lambda self, *arguments: FaultySockets._make_call(self, call, *arguments)


for _call in CALLS:
    setattr(FaultySockets, _call, _wrapped(_call))


def inject_faults(program):
    """Replace the socket calls of a program in the test process by faulty ones; return them."""
    program.loop.sockets = FaultySockets()
    return program.loop.sockets


def advance_clock(program, duration):
    """Advance the program's clock, and no other."""
    program.loop.clock.HISTORY += duration


@contextlib.contextmanager
def stopped_clock(program):
    """Stop the program's clock meanwhile, however busy the machine is."""
    clock = program.loop.clock
    stopped = clock.now()
    clock.now = lambda: stopped
    yield
    del clock.now


LOCAL_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
)
CONNECTION_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE)
