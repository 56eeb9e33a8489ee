"""Runs the scheduler with faults in its system calls, its wall clock and its disk, as the plan says.

Started as ``python -m soak.scheduler``; ``SOAK_FAULTS`` names a file with a JSON list of
``[begins, ends, kind, magnitude]``, in seconds on the monotonic clock.
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

TRANSIENT_ERRORS = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM)  # repeatable; the connection stays open
ACCEPT_ERRORS = (
    errno.EINTR,
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.EPROTO,
    errno.EPERM,
)
CONNECT_ERRORS = (
    errno.EINTR,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
)
CONNECT_RESULTS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.ECONNRESET)
CONNECTION_ERRORS = (errno.ETIMEDOUT, errno.ECONNRESET, errno.EHOSTUNREACH, errno.EPIPE)
MAX_HOLD = 0.15  # seconds, as specified
SHORT_IO_BYTES = 7  # bytes of a short read or write

RNG = random.Random(os.environ.get("SOAK_SEED", ""))
WINDOWS = json.loads(Path(os.environ["SOAK_FAULTS"]).read_text())


def magnitude(kind):
    """Return the current probability or size of a fault; 0 outside its windows."""
    now = time.monotonic()
    return next((size for begins, ends, name, size in WINDOWS if name == kind and begins <= now < ends), 0.0)


def fail(*errors):
    error = RNG.choice(errors)
    raise OSError(error, os.strerror(error))


class FailingSockets(Sockets):
    """Breaks only connections that the program has opened itself.

    A client whose connection breaks counts as gone and is not owed an answer.
    """

    def __init__(self):
        self.opened = set()  # descriptors

    def connect(self, host, port):
        if RNG.random() < magnitude("sockets"):
            fail(*CONNECT_ERRORS)
        sock = super().connect(host, port)
        self.opened.add(sock.fileno())
        return sock

    def connect_error(self, sock):
        if RNG.random() < magnitude("sockets"):
            return RNG.choice(CONNECT_RESULTS)
        return super().connect_error(sock)

    def accept(self, listening):
        if RNG.random() < magnitude("sockets"):
            fail(*ACCEPT_ERRORS)
        sock = super().accept(listening)
        self.opened.discard(sock.fileno())
        return sock

    def receive(self, sock, max_bytes):
        self._maybe_fail(sock, errno.EINTR)
        return super().receive(sock, SHORT_IO_BYTES if RNG.random() < magnitude("sockets") else max_bytes)

    def send(self, sock, data):
        if RNG.random() < magnitude("hold"):
            time.sleep(RNG.uniform(0, MAX_HOLD))
        self._maybe_fail(sock, *TRANSIENT_ERRORS)
        return super().send(sock, data[:SHORT_IO_BYTES] if RNG.random() < magnitude("sockets") else data)

    def receive_with_sockets(self, sock, max_bytes, max_sockets):
        self._maybe_fail(sock, *TRANSIENT_ERRORS)
        return super().receive_with_sockets(sock, max_bytes, max_sockets)

    def send_with_socket(self, sock, data, passed):
        self._maybe_fail(sock, *TRANSIENT_ERRORS, errno.ETOOMANYREFS)
        return super().send_with_socket(sock, data, passed)

    def close(self, sock):
        self.opened.discard(sock.fileno())
        super().close(sock)

    def _maybe_fail(self, sock, *transient_errors):
        if RNG.random() < magnitude("sockets"):
            if sock.family == socket.AF_INET and sock.fileno() in self.opened and RNG.random() < 0.5:
                fail(*CONNECTION_ERRORS)
            fail(*transient_errors)


def inject_disk_faults():
    """Make the store's commits fail or take long while the fault lasts."""
    from carthinge.durable.store import Store

    apply = Store.apply

    def apply_or_fail(self, records, now):
        if magnitude("disk"):
            if RNG.random() < 0.5:
                raise sqlite3.OperationalError("disk I/O error")
            time.sleep(RNG.uniform(0, 0.1))
        return apply(self, records, now)

    Store.apply = apply_or_fail


def main():
    loop.Sockets = FailingSockets
    clock.time = SimpleNamespace(
        monotonic_ns=time.monotonic_ns, time_ns=lambda: time.time_ns() + int(magnitude("wall") * 1e9)
    )
    if os.environ.get("CARTHINGE_FILE"):
        inject_disk_faults()
    from carthinge.serving import serve

    return serve("debug")


if __name__ == "__main__":
    sys.exit(main())
