"""The real program in a shim: its system calls, its wall clock and its disk fail as its plan says.

Started as ``python -m soak.scheduler``; ``SOAK_FAULTS`` names a JSON list of ``[begins, ends, kind, much]``,
on the machine's monotonic clock.
"""

from __future__ import annotations

import errno
import json
import os
import random
import socket
import sqlite3
import sys
import time
from pathlib import Path
from types import SimpleNamespace

from carthinge.net import clock, loop
from carthinge.net.sockets import Sockets

PASSING = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM)  # the call may be made again, the connection stands
ACCEPT = (
    errno.EINTR,
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.EPROTO,
    errno.EPERM,
)
CONNECT = (
    errno.EINTR,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
)
CONNECTED = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.ECONNRESET)
BROKEN = (errno.ETIMEDOUT, errno.ECONNRESET, errno.EHOSTUNREACH, errno.EPIPE)
HOLD_MOST = 0.15  # seconds, by the page
FEW = 7  # bytes of a short read or write

RNG = random.Random(os.environ.get("SOAK_SEED", ""))
WINDOWS = json.loads(Path(os.environ["SOAK_FAULTS"]).read_text())


def much(kind):
    """How likely, or how much, a fault is now; 0 where it is not."""
    now = time.monotonic()
    return next(
        (size for begins, ends, which, size in WINDOWS if which == kind and begins <= now < ends), 0.0
    )


def fail(*errors):
    error = RNG.choice(errors)
    raise OSError(error, os.strerror(error))


class FailingSockets(Sockets):
    """What breaks a connection for good does so only on those that the program has opened itself.

    A client whose connection the machine breaks has gone, and is owed nothing.
    """

    def __init__(self):
        self.opened = set()  # descriptors

    def connect(self, host, port):
        if RNG.random() < much("sockets"):
            fail(*CONNECT)
        sock = super().connect(host, port)
        self.opened.add(sock.fileno())
        return sock

    def connect_error(self, sock):
        if RNG.random() < much("sockets"):
            return RNG.choice(CONNECTED)
        return super().connect_error(sock)

    def accept(self, listening):
        if RNG.random() < much("sockets"):
            fail(*ACCEPT)
        sock = super().accept(listening)
        self.opened.discard(sock.fileno())
        return sock

    def receive(self, sock, most):
        self._passing_or_broken(sock, errno.EINTR)
        return super().receive(sock, FEW if RNG.random() < much("sockets") else most)

    def send(self, sock, data):
        if RNG.random() < much("hold"):
            time.sleep(RNG.uniform(0, HOLD_MOST))
        self._passing_or_broken(sock, *PASSING)
        return super().send(sock, data[:FEW] if RNG.random() < much("sockets") else data)

    def close(self, sock):
        self.opened.discard(sock.fileno())
        super().close(sock)

    def _passing_or_broken(self, sock, *passing):
        if RNG.random() < much("sockets"):
            if sock.family == socket.AF_INET and sock.fileno() in self.opened and RNG.random() < 0.5:
                fail(*BROKEN)
            fail(*passing)


def failing_disk():
    """Writes and syncs of the store fail for a while, or take long."""
    from carthinge.durable.store import Store

    apply = Store.apply

    def failing(self, records, now):
        if much("disk"):
            if RNG.random() < 0.5:
                raise sqlite3.OperationalError("disk I/O error")
            time.sleep(RNG.uniform(0, 0.1))
        return apply(self, records, now)

    Store.apply = failing


def main():
    loop.Sockets = FailingSockets
    clock.time = SimpleNamespace(
        monotonic_ns=time.monotonic_ns, time_ns=lambda: time.time_ns() + int(much("wall") * 1e9)
    )
    if os.environ.get("CARTHINGE_FILE"):
        failing_disk()
    from carthinge.serving import serve

    return serve("debug")


if __name__ == "__main__":
    sys.exit(main())
