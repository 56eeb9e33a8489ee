"""Rows of the store to records; each carries a checksum of what must not change."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final
from zlib import crc32

import msgspec

from carthinge.durable.records import Accepted, Found, JobState, StoredJob, Terms


def body_crc(number: int, subject: bytes, body: bytes) -> int:
    """Return the checksum of what a client handed in."""
    return crc32(body, crc32(subject, number & 0xFFFFFFFF))


def result_crc(number: int, state: int, result: bytes) -> int:
    """Return the checksum of how a job has ended."""
    return crc32(result, crc32(bytes((state,)), number & 0xFFFFFFFF))


FOUND_COLUMNS: Final = "number, state, digest, result, token, timed_out, req_id"
_HEADERS: Final[msgspec.msgpack.Decoder[tuple[tuple[str, bytes], ...]]] = msgspec.msgpack.Decoder(
    tuple[tuple[str, bytes], ...]
)
_TERMS: Final[msgspec.msgpack.Decoder[Terms]] = msgspec.msgpack.Decoder(Terms)


def stored_job(row: Sequence[Any]) -> StoredJob:
    """ValueError, TypeError or MsgspecError where the record is damaged."""
    number, req_id, tenant, name, key, digest, subject, body, headers, terms, came, give_up, crc = row
    if crc != body_crc(number, subject, body):
        raise ValueError(f"job {number:x} is damaged")
    return StoredJob(
        Accepted(
            number,
            req_id,
            tenant,
            name,
            key,
            digest,
            subject,
            body,
            _HEADERS.decode(headers),
            _TERMS.decode(terms),
            came,
            give_up,
        )
    )


def found_job(row: Sequence[Any]) -> Found:
    """Return what a row says of a job, whatever its state."""
    number, state, digest, result, token, timed_out, req_id = row
    return Found(number, JobState(state), digest, result or b"", token, bool(timed_out), req_id)
