"""The tables of the store, and what identifies a file as one."""

from __future__ import annotations

from typing import Final

APPLICATION: Final = 0x63617274  # "cart", in the file's header: another program's database is not touched
FORMAT: Final = 1  # of these tables; a newer one is refused, an older one would be brought up here
PAGE: Final = 4096

#: A job keeps its body until it has ended, and its result from then on.  ``crc`` covers whichever it has.
#: ``key`` is empty again once a job was refused, so that the next request with it is a new job.
TABLES: Final = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value ANY) STRICT, WITHOUT ROWID;
CREATE TABLE jobs (
    number INTEGER PRIMARY KEY, req_id TEXT NOT NULL, tenant TEXT NOT NULL, class TEXT NOT NULL,
    key BLOB, digest BLOB NOT NULL, subject BLOB NOT NULL, body BLOB NOT NULL, headers BLOB NOT NULL,
    terms BLOB NOT NULL, came INTEGER NOT NULL, give_up INTEGER NOT NULL, state INTEGER NOT NULL,
    result BLOB, token INTEGER NOT NULL, timed_out INTEGER NOT NULL, ended INTEGER, forget_at INTEGER,
    crc INTEGER NOT NULL) STRICT;
CREATE UNIQUE INDEX jobs_by_key ON jobs(key) WHERE key IS NOT NULL;
CREATE INDEX jobs_open ON jobs(number) WHERE state = 0;
CREATE INDEX jobs_to_forget ON jobs(forget_at) WHERE forget_at IS NOT NULL;
CREATE TABLE attempts (
    token INTEGER PRIMARY KEY, job INTEGER NOT NULL, number INTEGER NOT NULL, worker TEXT NOT NULL,
    address TEXT NOT NULL, entry BLOB NOT NULL, sent INTEGER NOT NULL, due INTEGER NOT NULL,
    until INTEGER NOT NULL, begun INTEGER NOT NULL, state INTEGER NOT NULL) STRICT;
CREATE INDEX attempts_by_job ON attempts(job);
"""
