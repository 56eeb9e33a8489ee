"""The tables of the store, and the header values that identify its file."""

from __future__ import annotations

from typing import Final

APPLICATION_ID: Final = 0x63617274  # "cart", in the file's header: databases of other programs are refused
FORMAT: Final = 1  # of these tables; any other is refused, since there is no migration yet
PAGE_BYTES: Final = 4096

#: A job has its body until it ends, and its result from then on; ``crc`` covers the one that it has.
#: ``key`` is set to NULL when a job is refused, so that the next request with that key is a new job.
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
