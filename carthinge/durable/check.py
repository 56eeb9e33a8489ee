"""Inspection and compaction of a store from outside the scheduler."""

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
from carthinge.durable.schema import APPLICATION_ID, FORMAT, PAGE_BYTES
from carthinge.durable.store import DATABASE_FILE, acquire_lock

FETCH_ROWS: Final = 200  # fetched at a time


@contextmanager
def open_read_only(folder: Path) -> Iterator[sqlite3.Connection]:
    """Open a read-only connection; StoreError if there is no store."""
    path = folder / DATABASE_FILE
    if not path.is_file():
        raise StoreError(f"{path}: no such file")
    uri = f"file:{quote(str(path.absolute()))}?mode=ro"
    with closing(sqlite3.connect(uri, uri=True, isolation_level=None)) as database:
        if database.execute("PRAGMA application_id").fetchone()[0] != APPLICATION_ID:
            raise StoreError(f"{path}: not a store of carthinge")
        found = database.execute("PRAGMA user_version").fetchone()[0]
        if found != FORMAT:
            raise StoreError(f"{path}: of format {found}; this program reads format {FORMAT}")
        yield database


def find_faults(database: sqlite3.Connection, folder: Path, step: Callable[[], None]) -> Iterator[str]:
    """Yield all faults of a store; ``step`` is called for each job that is read."""
    for (line,) in database.execute("PRAGMA integrity_check"):
        if line != "ok":
            yield f"database: {line}"
    rows = database.execute("SELECT number, subject, body, state, result, crc FROM jobs")
    while rows_read := rows.fetchmany(FETCH_ROWS):
        for number, subject, body, state, result, crc in rows_read:
            step()
            part, expected_crc = (
                ("body", body_crc(number, subject, body))
                if state == JobState.OPEN
                else ("result", result_crc(number, state, result or b""))
            )
            if crc != expected_crc:
                yield f"job {number:x}: its {part} is damaged"
    for token, job in database.execute(
        "SELECT token, job FROM attempts WHERE job NOT IN (SELECT number FROM jobs)"
    ):
        yield f"attempt {token:x}: its job {job:x} does not exist"
    log = folder / f"{DATABASE_FILE}-wal"
    if log.is_file() and wal.examine(log.read_bytes()).damaged and not _in_use(folder):
        yield f"{log.name}: damaged in the middle: the commits after that cannot be read"


def overview(database: sqlite3.Connection, max_open: int) -> dict[str, Any]:
    """Summarize the content of a store."""

    def fetch_value(text: str) -> Any:
        return database.execute(text).fetchone()[0]

    free = fetch_value("PRAGMA freelist_count") * PAGE_BYTES
    return {
        "format": fetch_value("PRAGMA user_version"),
        "epoch": fetch_value("SELECT value FROM meta WHERE name = 'epoch'"),
        "bytes_used": fetch_value("PRAGMA page_count") * PAGE_BYTES - free,
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
                (max_open,),
            )
        ],
    }


def compact(folder: Path) -> tuple[int, int]:
    """Rewrite a store without free pages; return the bytes before and after.  StoreError if it is in use."""
    with open_read_only(folder):  # checks that it is a store
        pass
    lock = acquire_lock(folder, Files())
    try:
        with closing(sqlite3.connect(folder / DATABASE_FILE, isolation_level=None)) as database:
            before = _files_bytes(folder)
            database.execute("VACUUM")
            database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            return before, _files_bytes(folder)
    except sqlite3.Error as fault:
        raise StoreError(f"{folder / DATABASE_FILE}: {fault}") from None
    finally:
        os.close(lock)


def _files_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.glob(f"{DATABASE_FILE}*"))


def _in_use(folder: Path) -> bool:
    """Whether a process uses the store: a log that is read while it is written may look damaged."""
    try:
        os.close(acquire_lock(folder, Files()))
    except StoreError:
        return True
    return False
