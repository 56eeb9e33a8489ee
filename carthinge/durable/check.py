"""Looks at a store from outside, beside its owner or without one."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from carthinge.durable import wal
from carthinge.durable.errors import StoreError
from carthinge.durable.files import Files
from carthinge.durable.records import JobState
from carthinge.durable.rows import body_crc, result_crc
from carthinge.durable.schema import APPLICATION, FORMAT, PAGE
from carthinge.durable.store import DATABASE, take

AT_ONCE: Final = 200  # rows read between two steps of the progress


@contextmanager
def reader(folder: Path) -> Iterator[sqlite3.Connection]:
    """A connection that reads and never writes; StoreError where there is no store."""
    path = folder / DATABASE
    if not path.is_file():
        raise StoreError(f"{path}: no such file")
    uri = f"file:{quote(str(path.absolute()))}?mode=ro"
    with closing(sqlite3.connect(uri, uri=True, isolation_level=None)) as database:
        if database.execute("PRAGMA application_id").fetchone()[0] != APPLICATION:
            raise StoreError(f"{path}: not a store of carthinge")
        found = database.execute("PRAGMA user_version").fetchone()[0]
        if found != FORMAT:
            raise StoreError(f"{path}: of format {found}; this program reads format {FORMAT}")
        yield database


def faults_of(database: sqlite3.Connection, folder: Path, step: Callable[[], None]) -> Iterator[str]:
    """All that is wrong; ``step`` is called for each job that has been read."""
    for (line,) in database.execute("PRAGMA integrity_check"):
        if line != "ok":
            yield f"database: {line}"
    rows = database.execute("SELECT number, subject, body, state, result, crc FROM jobs")
    while part := rows.fetchmany(AT_ONCE):
        for number, subject, body, state, result, crc in part:
            step()
            what, right = (
                ("body", body_crc(number, subject, body))
                if state == JobState.OPEN
                else ("result", result_crc(number, state, result or b""))
            )
            if crc != right:
                yield f"job {number:x}: its {what} is damaged"
    for token, job in database.execute(
        "SELECT token, job FROM attempts WHERE job NOT IN " "(SELECT number FROM jobs)"
    ):
        yield f"attempt {token:x}: its job {job:x} is not there"
    log = folder / f"{DATABASE}-wal"
    if log.is_file() and wal.examine(log.read_bytes()).damaged and not _in_use(folder):
        yield f"{log.name}: damaged in the middle: what was committed after that cannot be read"


def overview(database: sqlite3.Connection, most: int) -> dict[str, Any]:
    """What a store holds, for people."""

    def one(text: str) -> Any:
        return database.execute(text).fetchone()[0]

    free = one("PRAGMA freelist_count") * PAGE
    return {
        "format": one("PRAGMA user_version"),
        "epoch": one("SELECT value FROM meta WHERE name = 'epoch'"),
        "bytes_used": one("PRAGMA page_count") * PAGE - free,
        "bytes_free": free,
        "jobs": [
            {"class": name, "tenant": tenant, "state": JobState(state).name.lower(), "jobs": count}
            for name, tenant, state, count in database.execute(
                "SELECT class, tenant, state, count(*) FROM jobs GROUP BY 1, 2, 3 ORDER BY 1, 2, 3"
            )
        ],
        "open": [
            {
                "number": number,
                "req_id": req_id,
                "class": name,
                "tenant": tenant,
                "attempts": attempts,
                "out_at": out_at,
            }
            for number, req_id, name, tenant, attempts, out_at in database.execute(
                "SELECT number, req_id, class, tenant, (SELECT count(*) FROM attempts WHERE job = "
                "jobs.number), (SELECT worker FROM attempts WHERE job = jobs.number AND state = 0) "
                "FROM jobs WHERE state = 0 ORDER BY number LIMIT ?",
                (most,),
            )
        ],
    }


def compact(folder: Path) -> tuple[int, int]:
    """Writes the store anew; the bytes on disk before and after.  StoreError where somebody has it."""
    with reader(folder):  # it is one
        pass
    lock = take(folder, Files())
    try:
        with closing(sqlite3.connect(folder / DATABASE, isolation_level=None)) as database:
            before = _bytes(folder)
            database.execute("VACUUM")
            database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            return before, _bytes(folder)
    except sqlite3.Error as fault:
        raise StoreError(f"{folder / DATABASE}: {fault}") from None
    finally:
        os.close(lock)


def _bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.glob(f"{DATABASE}*"))


def _in_use(folder: Path) -> bool:
    """Somebody writes to the log while it is read: what it looks like then tells nothing."""
    try:
        os.close(take(folder, Files()))
    except StoreError:
        return True
    return False
