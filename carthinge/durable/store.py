"""The store: an SQLite database in a folder of its own, with one owner at a time.  Its calls block.

How it keeps its promises.  WAL with ``synchronous=FULL``: a commit returns once its frames are synced to the
log, so what ``apply`` has returned from is there after a power loss.  A commit that was torn is not taken at
the next start, since the checksums of its frames do not fit; the one before it is.  ``apply`` may be called
again with the same batch after an error, whether or not the failed call got through: everything in it is
written in such a way that twice is once.

Statements write many rows each.  SQLite lets go of the interpreter's lock at each step, and a busy loop takes
it for milliseconds then; a statement for each row would be limited by that and not by the disk.
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
    AttemptState,
    Collected,
    Ended,
    Found,
    Granted,
    HandedBack,
    JobState,
    OpenJobs,
    Record,
    Renewed,
    StoredAttempt,
    StoredJob,
)
from carthinge.durable.rows import FOUND_COLUMNS, body_crc, found_job, result_crc, stored_job
from carthinge.durable.schema import APPLICATION, FORMAT, PAGE, TABLES
from carthinge.durable.wal import examine
from carthinge.net import log

DATABASE: Final = "jobs.db"
LOCK: Final = "owner.lock"
WAL_PAGES: Final = 1000  # after so many the log is folded into the database
FORGET_AT_ONCE: Final = 500  # jobs of one transaction, which must not hold up the next commit for long
LONG_AGO: Final = 0
SPACE_PAGES: Final = 256  # given back at once


@dataclass(frozen=True, slots=True)
class Time:
    """What the store is told of the time: it reads no clock itself."""

    now: int  #: the loop's clock, which goes on while the machine runs
    wall: int  #: microseconds since 1970
    boot: str  #: names this run of the machine: times of another one are on another clock


@dataclass(frozen=True, slots=True)
class Usage:
    """How full the store is."""

    bytes_used: int
    bytes_free: int  #: of the file, to be used before it grows


def take(folder: Path, files: Files) -> int:
    """The lock of a folder, as a descriptor that holds it; StoreError where another process has it."""
    lock = files.open_lock(folder / LOCK)
    try:
        files.lock(lock)
    except OSError as fault:
        holder = files.owner(lock) if isinstance(fault, BlockingIOError) else ""
        files.close(lock)
        if not isinstance(fault, BlockingIOError):
            raise
        raise StoreError(f"{folder}: in use by process {holder or 'unknown'}") from None
    with contextlib.suppress(OSError):  # a full disk: the lock is what counts, the name is for people
        files.note_owner(lock, str(os.getpid()))
    return lock


class Store(Database):
    """One owner's hold of a folder.  ``open`` first; then from one thread at a time."""

    def __init__(
        self,
        folder: str | Path,
        max_bytes: int,
        connect: Connect = connect,
        files: Files | None = None,
    ) -> None:
        """``connect`` and ``files``: the calls of the disk, which tests have fail."""
        super().__init__()
        self._files = files or Files()
        self.folder = Path(folder)
        self.path = self.folder / DATABASE
        self.secret = b""
        self.epoch = 0  #: one higher at each opening
        self._max_pages = max(64, max_bytes // PAGE)
        self._connect = connect
        self._lock: int | None = None
        self._told: Time | None = None

    # ---- one owner ------------------------------------------------------------------------

    def open(self, time: Time) -> None:
        """Takes the folder, makes what is missing, and brings times onto this clock."""
        try:
            self._files.make_folder(self.folder)
            self._lock = take(self.folder, self._files)
            self._examine_log()
            self._database = self._connect(str(self.path))
            self._prepare(time)
        except (OSError, sqlite3.Error, StoreError) as fault:
            self.close()
            if isinstance(fault, StoreError):
                raise
            raise StoreError(f"{self.path}: {fault}") from fault

    def close(self) -> None:
        """Lets go of the folder; what was applied stays."""
        database, self._database = self._database, None
        try:
            if database is not None:
                database.close()
        except sqlite3.Error as fault:  # what was applied is on disk all the same
            log.logger().warning("store_not_closed", why=str(fault), path=str(self.path))
        finally:
            lock, self._lock = self._lock, None
            if lock is not None:
                self._files.close(lock)

    def _examine_log(self) -> None:
        """Guards against damage further up in the log, after which SQLite silently takes no more."""
        wal = self.path.with_name(f"{DATABASE}-wal")
        content = self._files.read(wal)
        if content is not None and (found := examine(content)).damaged:
            raise StoreError(
                f"{wal}: damaged after {found.commits} commits, with {found.beyond} more behind "
                "that: what was taken on then would be lost. Restore it, or move it away to go "
                "on without them"
            )

    def _prepare(self, time: Time) -> None:
        run = self._run
        new = not self._one("SELECT count(*) FROM sqlite_schema")
        if new:
            run(f"PRAGMA page_size={PAGE}")
            run("PRAGMA auto_vacuum=INCREMENTAL")
        elif self._one("PRAGMA application_id") != APPLICATION:
            raise StoreError(f"{self.path}: not a store of carthinge")
        elif (found := self._one("PRAGMA user_version")) != FORMAT:
            raise StoreError(f"{self.path}: of format {found}; this program reads format {FORMAT}")
        if self._one("PRAGMA journal_mode=WAL") != "wal":
            raise StoreError(f"{self.path}: its folder cannot hold a write-ahead log")
        for pragma in (
            "synchronous=FULL",
            f"wal_autocheckpoint={WAL_PAGES}",
            "cell_size_check=ON",
            f"journal_size_limit={2 * WAL_PAGES * PAGE}",
            "cache_size=-2000",
            f"max_page_count={self._max_pages}",
        ):
            run(f"PRAGMA {pragma}")
        run("BEGIN IMMEDIATE")
        if new:
            for statement in TABLES.split(";"):
                run(statement)
            run(f"PRAGMA application_id={APPLICATION}")
            run(f"PRAGMA user_version={FORMAT}")
            self._set(secret=secrets.token_bytes(32), epoch=0, boot=time.boot, now=time.now, wall=time.wall)
        else:
            self._move_times(time)
        meta = dict(self._all("SELECT name, value FROM meta"))
        self.secret, self.epoch = bytes(meta["secret"]), int(meta["epoch"]) + 1
        self._set(epoch=self.epoch)
        run("COMMIT")
        self._told = time

    def _set(self, **values: object) -> None:
        for name, value in values.items():
            self._run("INSERT OR REPLACE INTO meta VALUES (?, ?)", (name, value))

    def _move_times(self, time: Time) -> None:
        """After a restart of the machine its clock began anew: times are moved by what the wall clock says.

        That clock may have been set back meanwhile.  So nothing that may have run then is taken to be in its
        window still: taken to be over too early it costs a repeat, too late it would run a job twice.
        """
        then = dict(self._all("SELECT name, value FROM meta"))
        if then["boot"] != time.boot:
            by = time.now - int(then["now"]) - max(0, time.wall - int(then["wall"]))
            self._run(
                "UPDATE jobs SET came = came + ?1, give_up = give_up + ?1, ended = ended + ?1, "
                "forget_at = forget_at + ?1",
                (by,),
            )
            self._run("UPDATE attempts SET sent = ?2, due = due + ?1, until = 0, begun = 0", (by, LONG_AGO))
        self._set(boot=time.boot, now=time.now, wall=time.wall)

    # ---- writing --------------------------------------------------------------------------

    def apply(self, batch: Sequence[Record], time: Time) -> dict[int, Found]:
        """One transaction, on disk when this returns; sqlite3.Error where it is not, or perhaps not.

        Returns, for each accepted job that is none since its key is another's, that other one.
        """
        run = self._run
        try:
            run("BEGIN IMMEDIATE")
            others = self._accept([r for r in batch if isinstance(r, Accepted) and not r.cancelled])
            self._rows(
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
            self._rows(
                "WITH v(token, until, begun) AS (VALUES ",
                "(?,?,?)",
                ") UPDATE attempts SET until = v.until, begun = max(attempts.begun, v.begun) "
                "FROM v WHERE attempts.token = v.token",
                [(r.token, r.until, r.begun) for r in last.values()],
            )
            self._rows(
                "WITH v(token, state) AS (VALUES ",
                "(?,?)",
                ") UPDATE attempts SET state = v.state " "FROM v WHERE attempts.token = v.token",
                [(r.token, int(r.state)) for r in batch if isinstance(r, HandedBack)],
            )
            self._rows(
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
            self._rows(
                "WITH v(number, forget_at) AS (VALUES ",
                "(?,?)",
                ") UPDATE jobs SET forget_at = "
                "min(jobs.forget_at, v.forget_at) FROM v WHERE jobs.number = v.number",
                [(r.number, r.forget_at) for r in batch if isinstance(r, Collected)],
            )
            if self._told is None or time.now - self._told.now > 1_000_000:
                self._set(now=time.now, wall=time.wall)
                self._told = time
            run("COMMIT")
        except BaseException:
            self._roll_back()
            raise
        return others

    def _accept(self, jobs: list[Accepted]) -> dict[int, Found]:
        keyed = {job.key: job for job in jobs if job.key is not None}
        others: dict[int, Found] = {}
        keys = list(keyed)
        for start in range(0, len(keys), 500):
            part = keys[start : start + 500]
            marks = ",".join("?" * len(part))
            for key, *rest in self._all(
                f"SELECT key, {FOUND_COLUMNS} FROM jobs WHERE key IN ({marks})", part
            ):
                found = found_job(rest)
                if keyed[key].number != found.number:  # else this batch is applied for the second time
                    others[keyed[key].number] = found
        self._rows(
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
                    job.came,
                    job.give_up,
                    body_crc(job.number, job.subject, job.body),
                )
                for job in jobs
                if job.number not in others
            ],
        )
        return others

    def forget(self, now: int) -> int:
        """Removes ended jobs whose time is over, a part of them at a time; returns how many."""
        run = self._run
        try:
            run("BEGIN IMMEDIATE")
            numbers = [
                row[0]
                for row in self._all(
                    "SELECT number FROM jobs WHERE forget_at <= ? ORDER BY forget_at LIMIT ?",
                    (now, FORGET_AT_ONCE),
                )
            ]
            marks = ",".join("?" * len(numbers))
            if numbers:
                run(f"DELETE FROM attempts WHERE job IN ({marks})", numbers)
                run(f"DELETE FROM jobs WHERE number IN ({marks})", numbers)
            run("COMMIT")
        except BaseException:
            self._roll_back()
            raise
        if numbers:
            self._all(f"PRAGMA incremental_vacuum({SPACE_PAGES})")
        return len(numbers)

    # ---- reading --------------------------------------------------------------------------

    def open_jobs(self, after: int, count: int) -> OpenJobs:
        """Open jobs with numbers above ``after``, in order."""
        jobs: dict[int, StoredJob] = {}
        damaged: list[int] = []
        last = 0
        for row in self._all(
            "SELECT number, req_id, tenant, class, key, digest, subject, body, headers, "
            "terms, came, give_up, crc FROM jobs WHERE state = 0 AND number > ? "
            "ORDER BY number LIMIT ?",
            (after, count),
        ):
            last = row[0]
            try:
                jobs[last] = stored_job(row)
            except (ValueError, TypeError, msgspec.MsgspecError):
                damaged.append(last)
        if jobs:
            for job, *rest in self._all(
                "SELECT job, token, number, worker, address, entry, sent, due, until, begun, state FROM "
                "attempts WHERE job BETWEEN ? AND ? ORDER BY job, number",
                (min(jobs), max(jobs)),
            ):
                if job in jobs:  # others in that span have ended
                    rest[-1] = AttemptState(rest[-1])
                    jobs[job].attempts.append(StoredAttempt(*rest))
        return OpenJobs(list(jobs.values()), damaged, last)

    def find(self, number: int) -> Found | None:
        """A job by its number; StoreError where it is damaged."""
        rows = self._all(f"SELECT {FOUND_COLUMNS}, crc FROM jobs WHERE number = ?", (number,))
        if not rows:
            return None
        *rest, crc = rows[0]
        found = found_job(rest)
        if found.state is not JobState.OPEN and crc != result_crc(number, found.state, found.result):
            raise StoreError(f"{self.path}: job {number:x} is damaged")
        return found

    def find_by_token(self, token: int) -> Found | None:
        """The job that an attempt was one of."""
        rows = self._all("SELECT job FROM attempts WHERE token = ?", (token,))
        return self.find(rows[0][0]) if rows else None

    def usage(self) -> Usage:
        """Return how full the database is."""
        pages, free = self._one("PRAGMA page_count"), self._one("PRAGMA freelist_count")
        return Usage((pages - free) * PAGE, free * PAGE)
