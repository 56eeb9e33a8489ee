"""Helpers for tests of the store: records of each kind, and an open store."""

import msgspec

from carthinge import interface as io
from carthinge.durable.records import Accepted, Ended, Granted, JobState, Terms
from carthinge.durable.store import Store, Time

ENTRY = msgspec.msgpack.encode(io.WorkerEntry(7))
MAX_STORE_BYTES = 64 * 1024 * 1024


def at(now, boot="b", wall=None):
    return Time(now, now if wall is None else wall, boot)


def accepted(number, key=None, body=b"body", deadline=10_000_000):
    return Accepted(
        number,
        f"r{number}",
        "acme",
        "reindex",
        key,
        b"d" * 16,
        b"/api/x",
        body,
        (("Idempotency-Key", b"k"),),
        Terms(1, 20_000, 1.0, 0.0),
        1,
        deadline,
    )


def granted(token, job, number=0):
    return Granted(token, job, number, "s-0", "127.0.0.1:1", ENTRY, 5, 10_000_000)


def ended(number, state=JobState.SERVED, result=b"r", forget_at=100):
    return Ended(number, state, result, 0, 9, forget_at)


def opened(folder, time=None, **more):
    store = Store(folder, more.pop("max_bytes", MAX_STORE_BYTES), **more)
    store.open(time or at(1))
    return store
