"""Comparison of three stores of durable jobs: SQLite (the program's store), LMDB, and a plain log.

    python benchmarks/stores.py [--quick]

Each writes the same jobs in the same batches (one accepted, granted and ended record for each job) from a
thread, while the main thread is idle and while it runs a busy loop.  The log is minimal:
checksummed frames, one fdatasync per batch, read back into a dictionary.  The last line is JSON.
Requires lmdb in addition: pip install -r benchmarks/requirements.txt
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import struct
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol
from zlib import crc32

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent))
import lmdb
import msgspec
from harness import percentile

from carthinge.durable.records import Accepted, Ended, Granted, JobState, Terms
from carthinge.durable.store import Store, Time

NOW = Time(1, 1, "boot")
BODY = b"x" * 200


class Engine(Protocol):
    def apply(self, numbers: range, end: bool) -> None:
        """Accept and grant these jobs, and end them if ``end`` is set; durable on return."""

    def recover(self) -> int:
        """Read all open jobs back into memory, as after a start, and return their number."""


def records(numbers: range, end: bool) -> list[Any]:
    batch: list[Any] = []
    for number in numbers:
        batch.append(
            Accepted(
                number,
                f"r{number}",
                "acme",
                "reindex",
                number.to_bytes(16, "big"),
                b"d" * 16,
                b"/api",
                BODY,
                (("Idempotency-Key", b"k"),),
                Terms(1, 2, 1.0, 0.0),
                1,
                1 << 60,
            )
        )
        batch.append(Granted(number, number, 0, "s-1", "127.0.0.1:1", b"entry", 1, 1 << 60))
        if end:
            batch.append(Ended(number, JobState.SERVED, b"result", number, 2, 1 << 60))
    return batch


class Sqlite:
    def __init__(self, folder: Path) -> None:
        self._store = Store(folder, 4 << 30)
        self._store.open(NOW)

    def apply(self, numbers: range, end: bool) -> None:
        self._store.apply(records(numbers, end), NOW)

    def recover(self) -> int:
        self._store.close()
        self._store.open(NOW)
        jobs, after = 0, 0
        while page := self._store.open_jobs(after, 500).jobs:
            jobs, after = jobs + len(page), page[-1].accepted.number
        return jobs


def encode_fields(record: Any) -> bytes:
    return msgspec.msgpack.encode([getattr(record, name) for name in record.__slots__])


class Lmdb:
    def __init__(self, folder: Path) -> None:
        self._path = str(folder)
        self._open()

    def _open(self) -> None:
        self._env = lmdb.open(self._path, map_size=4 << 30, max_dbs=3)
        self._jobs, self._attempts, self._ended = (
            self._env.open_db(name) for name in (b"jobs", b"attempts", b"ended")
        )

    def apply(self, numbers: range, end: bool) -> None:
        with self._env.begin(write=True) as transaction:
            for record in records(numbers, end):
                if isinstance(record, Accepted):
                    transaction.put(record.number.to_bytes(8, "big"), encode_fields(record), db=self._jobs)
                elif isinstance(record, Granted):
                    transaction.put(record.token.to_bytes(8, "big"), encode_fields(record), db=self._attempts)
                else:
                    transaction.delete(record.number.to_bytes(8, "big"), db=self._jobs)
                    transaction.put(record.number.to_bytes(8, "big"), encode_fields(record), db=self._ended)

    def recover(self) -> int:
        self._env.close()
        self._open()
        with self._env.begin() as transaction:
            decode = msgspec.msgpack.decode
            attempts = [decode(value) for _, value in transaction.cursor(self._attempts)]
            jobs = {bytes(key): decode(value) for key, value in transaction.cursor(self._jobs)}
            return len(jobs) if attempts else 0


class Log:
    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        self._path = folder / "log"
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND)

    def apply(self, numbers: range, end: bool) -> None:
        body = msgspec.msgpack.encode(
            [(type(record).__name__, encode_fields(record)) for record in records(numbers, end)]
        )
        os.write(self._file, struct.pack("<II", len(body), crc32(body)) + body)
        os.fdatasync(self._file)

    def recover(self) -> int:
        jobs: dict[int, Any] = {}
        data, offset = self._path.read_bytes(), 0
        while offset + 8 <= len(data):
            size, crc = struct.unpack_from("<II", data, offset)
            body = data[offset + 8 : offset + 8 + size]
            if len(body) < size or crc32(body) != crc:
                break
            for name, packed in msgspec.msgpack.decode(body):
                values = msgspec.msgpack.decode(packed)
                if name == "Accepted":
                    jobs[values[0]] = values
                elif name == "Ended":
                    jobs.pop(values[0], None)
            offset += 8 + size
        return len(jobs)


def measure(make: Callable[[Path], Engine], seconds: float, batch: int, open_jobs: int) -> dict[str, float]:
    folder = Path(tempfile.mkdtemp(prefix="stores"))
    engine = make(folder / "store")
    result: dict[str, float] = {}
    number = 1

    def write(latencies: list[float]) -> None:
        nonlocal number
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            began = time.perf_counter()
            engine.apply(range(number, number + batch), True)
            latencies.append(time.perf_counter() - began)
            number += batch

    for name, busy in (("idle", False), ("busy", True)):
        latencies: list[float] = []
        thread = threading.Thread(target=write, args=(latencies,))
        thread.start()
        if busy:
            while thread.is_alive():  # like the event loop of a fully loaded scheduler
                sum(len(str(step)) for step in range(200))
        thread.join()
        result[f"jobs_per_s_{name}"] = round(len(latencies) * batch / sum(latencies))
        result[f"commit_p50_ms_{name}"] = round(percentile(latencies, 0.5) * 1000, 2)
        result[f"commit_p99_ms_{name}"] = round(percentile(latencies, 0.99) * 1000, 2)
    for start in range(number, number + open_jobs, 1000):
        engine.apply(range(start, min(start + 1000, number + open_jobs)), False)
    size = sum(path.stat().st_blocks * 512 for path in folder.rglob("*") if path.is_file())
    result["bytes_per_job"] = round(size / (number + open_jobs))
    began = time.perf_counter()
    assert engine.recover() == open_jobs
    result["recovery_s"] = round(time.perf_counter() - began, 2)
    shutil.rmtree(folder)
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    sys.setswitchinterval(0.00025)  # as in the program
    seconds, open_jobs = (1.0, 20_000) if arguments.quick else (5.0, 100_000)
    engines: dict[str, Callable[[Path], Engine]] = {"sqlite": Sqlite, "lmdb": Lmdb, "log": Log}
    results = {name: measure(make, seconds, 30, open_jobs) for name, make in engines.items()}
    for name, figures in results.items():
        print(f"{name:8}", "  ".join(f"{what} {value}" for what, value in figures.items()))
    print(json.dumps({"batch": 30, "open_jobs": open_jobs, **results}))


if __name__ == "__main__":
    main()
