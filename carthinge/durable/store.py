"""The store: an SQLite database in a folder of its own, with one owner at a time.  Its calls block.

Durability: WAL with ``synchronous=FULL``.  A commit returns once its frames are synced to the log, so a batch
that ``apply`` has returned from survives a power loss.  At the next start a torn commit is ignored, since the
checksums of its frames do not match; the commits before it are kept.  ``apply`` is idempotent: after an error
it may be called again with the same batch, whether or not the failed call was committed.

Each statement writes many rows.  SQLite releases the interpreter's lock at each step, and a busy loop then
holds it for milliseconds; with one statement per row that would be the limit, not the disk.
"""

from __future__ import annotations

import contextlib
import os
import secrets
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from carthinge.durable.database import Connect, Database, connect
from carthinge.durable.errors import StoreError
from carthinge.durable.files import Files
from carthinge.durable.records import (
    Accepted,
    AttemptFailed,
    AttemptState,
    Collected,
    Ended,
    FoundJob,
    Granted,
    JobState,
    OpenJobs,
    Record,
    Renewed,
    StoredAttempt,
    StoredJob,
)
from carthinge.durable.rows import FOUND_COLUMNS, body_crc, decode_found, decode_job, result_crc
from carthinge.durable.schema import APPLICATION_ID, FORMAT, PAGE_BYTES, TABLES
from carthinge.durable.wal import examine
from carthinge.net import log

DATABASE_FILE: Final = "jobs.db"
LOCK_FILE: Final = "owner.lock"
CHECKPOINT_PAGES: Final = 1000  # of the log, after which it is checkpointed into the database
FORGET_BATCH_JOBS: Final = 500  # per transaction, which must not delay the next commit for long
SENT_LONG_AGO_US: Final = 0
VACUUM_PAGES: Final = 256  # returned to the file system at a time


@dataclass(frozen=True, slots=True)
class Time:
    """The time passed to the store, which reads no clock itself; in microseconds."""

    now: int  #: the loop's clock, monotonic until the machine restarts
    wall: int  #: since 1970
    boot: str  #: boot id of the machine: each boot has its own monotonic clock


@dataclass(frozen=True, slots=True)
class Usage:
    """Space used in the database file."""

    bytes_used: int
    bytes_free: int  #: free pages in the file, which are used before it grows


def acquire_lock(folder: Path, files: Files) -> int:
    """Lock a folder and return the descriptor that holds the lock; StoreError if another process has it."""
    lock = files.open_lock(folder / LOCK_FILE)
    try:
        files.lock(lock)
    except OSError as fault:
        owner = files.owner(lock) if isinstance(fault, BlockingIOError) else ""
        files.close(lock)
        if not isinstance(fault, BlockingIOError):
            raise
        raise StoreError(f"{folder}: in use by process {owner or 'unknown'}") from None
    with contextlib.suppress(OSError):  # a full disk: the owner is only informational
        files.note_owner(lock, str(os.getpid()))
    return lock


class Store(Database):
    """The store in a folder.  After ``open``, it may be used by one thread at a time."""

    def __init__(
        self,
        folder: str | Path,
        max_bytes: int,
        connect: Connect = connect,
        files: Files | None = None,
    ) -> None:
        """``connect`` and ``files`` make the disk calls; tests inject faults through them."""
        super().__init__()
        self._files = files or Files()
        self.folder = Path(folder)
        self.path = self.folder / DATABASE_FILE
        self.secret = b""
        self.epoch = 0  #: incremented at each opening
        self._max_pages = max(64, max_bytes // PAGE_BYTES)
        self._connect = connect
        self._lock: int | None = None
        self._saved_time: Time | None = None

    # ---- opening and closing --------------------------------------------------------------

    def open(self, time: Time) -> None:
        """Lock the folder, create what is missing, and convert stored times to the current clock."""
        try:
            self._files.make_folder(self.folder)
            self._lock = acquire_lock(self.folder, self._files)
            self._check_log()
            self._database = self._connect(str(self.path))
            self._prepare(time)
        except (OSError, sqlite3.Error, StoreError) as fault:
            self.close()
            if isinstance(fault, StoreError):
                raise
            raise StoreError(f"{self.path}: {fault}") from fault

    def close(self) -> None:
        """Close the database and release the folder."""
        database, self._database = self._database, None
        try:
            if database is not None:
                database.close()
        except sqlite3.Error as fault:  # applied batches are on disk anyway
            log.logger().warning("store_not_closed", why=str(fault), path=str(self.path))
        finally:
            lock, self._lock = self._lock, None
            if lock is not None:
                self._files.close(lock)

    def _check_log(self) -> None:
        """Refuse a log that is damaged in the middle: SQLite would silently ignore what follows."""
        wal = self.path.with_name(f"{DATABASE_FILE}-wal")
        content = self._files.read(wal)
        if content is not None and (found := examine(content)).damaged:
            raise StoreError(
                f"{wal}: damaged after {found.valid_commits} commits, with {found.later_commits} more behind "
                "that, whose jobs would be lost. Restore it, or move it away to continue without them"
            )

    def _prepare(self, time: Time) -> None:
        execute = self._execute
        new = not self._fetch_value("SELECT count(*) FROM sqlite_schema")
        if new:
            execute(f"PRAGMA page_size={PAGE_BYTES}")
            execute("PRAGMA auto_vacuum=INCREMENTAL")
        elif self._fetch_value("PRAGMA application_id") != APPLICATION_ID:
            raise StoreError(f"{self.path}: not a store of carthinge")
        elif (found := self._fetch_value("PRAGMA user_version")) != FORMAT:
            raise StoreError(f"{self.path}: of format {found}; this program reads format {FORMAT}")
        if self._fetch_value("PRAGMA journal_mode=WAL") != "wal":
            raise StoreError(f"{self.path}: its folder cannot hold a write-ahead log")
        for pragma in (
            "synchronous=FULL",
            f"wal_autocheckpoint={CHECKPOINT_PAGES}",
            "cell_size_check=ON",
            f"journal_size_limit={2 * CHECKPOINT_PAGES * PAGE_BYTES}",
            "cache_size=-2000",
            f"max_page_count={self._max_pages}",
        ):
            execute(f"PRAGMA {pragma}")
        execute("BEGIN IMMEDIATE")
        if new:
            for statement in TABLES.split(";"):
                execute(statement)
            execute(f"PRAGMA application_id={APPLICATION_ID}")
            execute(f"PRAGMA user_version={FORMAT}")
            self._set_meta(
                secret=secrets.token_bytes(32), epoch=0, boot=time.boot, now=time.now, wall=time.wall
            )
        else:
            self._shift_times(time)
        meta = dict(self._fetch_all("SELECT name, value FROM meta"))
        self.secret, self.epoch = bytes(meta["secret"]), int(meta["epoch"]) + 1
        self._set_meta(epoch=self.epoch)
        execute("COMMIT")
        self._saved_time = time

    def _set_meta(self, **values: object) -> None:
        for name, value in values.items():
            self._execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (name, value))

    def _shift_times(self, time: Time) -> None:
        """Convert stored times after a reboot, which restarts the monotonic clock, by the wall clock.

        The wall clock may have been set back.  So no attempt that may have run counts as within its window
        any more: too early an end costs a retry, too late an end would run a job twice.
        """
        saved = dict(self._fetch_all("SELECT name, value FROM meta"))
        if saved["boot"] != time.boot:
            shift = time.now - int(saved["now"]) - max(0, time.wall - int(saved["wall"]))
            self._execute(
                "UPDATE jobs SET came = came + ?1, give_up = give_up + ?1, ended = ended + ?1, "
                "forget_at = forget_at + ?1",
                (shift,),
            )
            self._execute(
                "UPDATE attempts SET sent = ?2, due = due + ?1, until = min(until, 0), begun = 0",
                (shift, SENT_LONG_AGO_US),
            )
        self._set_meta(boot=time.boot, now=time.now, wall=time.wall)

    # ---- writing --------------------------------------------------------------------------

    def apply(self, batch: Sequence[Record], time: Time) -> dict[int, FoundJob]:
        """Commit a batch in one transaction; after a sqlite3.Error it may or may not be on disk.

        Returns, by number of each accepted job that was not stored since its key is in use, the job with
        that key.
        """
        execute = self._execute
        try:
            execute("BEGIN IMMEDIATE")
            existing = self._accept([r for r in batch if isinstance(r, Accepted) and not r.cancelled])
            self._execute_rows(
                "INSERT OR REPLACE INTO attempts VALUES ",
                "(?,?,?,?,?,?,?,?,0,0,0)",
                "",
                [
                    (r.token, r.job, r.number, r.worker, r.address, r.entry, r.sent, r.due)
                    for r in batch
                    if isinstance(r, Granted)
                ],
            )
            last = {r.token: r for r in batch if isinstance(r, Renewed)}
            self._execute_rows(
                "WITH v(token, until, begun) AS (VALUES ",
                "(?,?,?)",
                ") UPDATE attempts SET until = v.until, begun = max(attempts.begun, v.begun) "
                "FROM v WHERE attempts.token = v.token",
                [(r.token, r.until, r.begun) for r in last.values()],
            )
            self._execute_rows(
                "WITH v(token, state, until) AS (VALUES ",
                "(?,?,?)",
                ") UPDATE attempts SET state = v.state, until = coalesce(v.until, attempts.until) "
                "FROM v WHERE attempts.token = v.token",
                [(r.token, int(r.state), r.stored_until) for r in batch if isinstance(r, AttemptFailed)],
            )
            self._execute_rows(
                "WITH v(number, state, result, token, ended, forget_at, timed_out, crc) AS (VALUES ",
                "(?,?,?,?,?,?,?,?)",
                ") UPDATE jobs SET state = v.state, result = v.result, token = "
                "v.token, ended = v.ended, forget_at = v.forget_at, timed_out = v.timed_out, crc = "
                f"v.crc, body = x'', key = iif(v.state = {int(JobState.REFUSED)}, NULL, jobs.key) "
                "FROM v WHERE jobs.number = v.number AND jobs.state = 0",
                [
                    (
                        r.number,
                        int(r.state),
                        r.result,
                        r.token,
                        r.at,
                        r.forget_at,
                        int(r.timed_out),
                        result_crc(r.number, r.state, r.result),
                    )
                    for r in batch
                    if isinstance(r, Ended)
                ],
            )
            self._execute_rows(
                "WITH v(number, forget_at) AS (VALUES ",
                "(?,?)",
                ") UPDATE jobs SET forget_at = "
                "min(jobs.forget_at, v.forget_at) FROM v WHERE jobs.number = v.number",
                [(r.number, r.forget_at) for r in batch if isinstance(r, Collected)],
            )
            if self._saved_time is None or time.now - self._saved_time.now > 1_000_000:
                self._set_meta(now=time.now, wall=time.wall)
                self._saved_time = time
            execute("COMMIT")
        except BaseException:
            self._roll_back()
            raise
        return existing

    def _accept(self, jobs: list[Accepted]) -> dict[int, FoundJob]:
        keyed = {job.key: job for job in jobs if job.key is not None}
        existing: dict[int, FoundJob] = {}
        keys = list(keyed)
        for start in range(0, len(keys), 500):
            chunk = keys[start : start + 500]
            placeholders = ",".join("?" * len(chunk))
            for key, *rest in self._fetch_all(
                f"SELECT key, {FOUND_COLUMNS} FROM jobs WHERE key IN ({placeholders})", chunk
            ):
                found = decode_found(rest)
                if keyed[key].number != found.number:  # else the batch is applied again
                    existing[keyed[key].number] = found
        self._execute_rows(
            "INSERT OR IGNORE INTO jobs VALUES ",
            "(?,?,?,?,?,?,?,?,?,?,?,?,0,NULL,0,0,NULL,NULL,?)",
            "",
            [
                (
                    job.number,
                    job.req_id,
                    job.tenant,
                    job.class_name,
                    job.key,
                    job.digest,
                    job.subject,
                    job.body,
                    msgspec.msgpack.encode(job.headers),
                    msgspec.msgpack.encode(job.terms),
                    job.received,
                    job.deadline,
                    body_crc(job.number, job.subject, job.body),
                )
                for job in jobs
                if job.number not in existing
            ],
        )
        return existing

    def forget(self, now: int) -> int:
        """Delete a batch of ended jobs whose retention is over; return how many were deleted."""
        execute = self._execute
        try:
            execute("BEGIN IMMEDIATE")
            numbers = [
                row[0]
                for row in self._fetch_all(
                    "SELECT number FROM jobs WHERE forget_at <= ? ORDER BY forget_at LIMIT ?",
                    (now, FORGET_BATCH_JOBS),
                )
            ]
            placeholders = ",".join("?" * len(numbers))
            if numbers:
                execute(f"DELETE FROM attempts WHERE job IN ({placeholders})", numbers)
                execute(f"DELETE FROM jobs WHERE number IN ({placeholders})", numbers)
            execute("COMMIT")
        except BaseException:
            self._roll_back()
            raise
        if numbers:
            self._fetch_all(f"PRAGMA incremental_vacuum({VACUUM_PAGES})")
        return len(numbers)

    # ---- reading --------------------------------------------------------------------------

    def open_jobs(self, after: int, count: int) -> OpenJobs:
        """Return a batch of open jobs with numbers above ``after``, in order."""
        jobs: dict[int, StoredJob] = {}
        damaged: list[int] = []
        last = 0
        for row in self._fetch_all(
            "SELECT number, req_id, tenant, class, key, digest, subject, body, headers, "
            "terms, came, give_up, crc FROM jobs WHERE state = 0 AND number > ? "
            "ORDER BY number LIMIT ?",
            (after, count),
        ):
            last = row[0]
            try:
                jobs[last] = decode_job(row)
            except (ValueError, TypeError, msgspec.MsgspecError):
                damaged.append(last)
        if jobs:
            for job, *rest in self._fetch_all(
                "SELECT job, token, number, worker, address, entry, sent, due, until, begun, state FROM "
                "attempts WHERE job BETWEEN ? AND ? ORDER BY job, number",
                (min(jobs), max(jobs)),
            ):
                if job in jobs:  # other jobs in this range have ended
                    rest[-1] = AttemptState(rest[-1])
                    jobs[job].attempts.append(StoredAttempt(*rest))
        return OpenJobs(list(jobs.values()), damaged, last)

    def find(self, number: int) -> FoundJob | None:
        """Return a job by its number; StoreError if it is damaged."""
        rows = self._fetch_all(f"SELECT {FOUND_COLUMNS}, crc FROM jobs WHERE number = ?", (number,))
        if not rows:
            return None
        *rest, crc = rows[0]
        found = decode_found(rest)
        if found.state is not JobState.OPEN and crc != result_crc(number, found.state, found.result):
            raise StoreError(f"{self.path}: job {number:x} is damaged")
        return found

    def find_by_token(self, token: int) -> FoundJob | None:
        """Return the job of an attempt."""
        rows = self._fetch_all("SELECT job FROM attempts WHERE token = ?", (token,))
        return self.find(rows[0][0]) if rows else None

    def usage(self) -> Usage:
        """Return how full the database is."""
        pages, free = self._fetch_value("PRAGMA page_count"), self._fetch_value("PRAGMA freelist_count")
        return Usage((pages - free) * PAGE_BYTES, free * PAGE_BYTES)
