"""Conversion of the store's rows to records, and the checksums that guard them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final
from zlib import crc32

import msgspec

from carthinge.durable.records import Accepted, FoundJob, JobState, StoredJob, Terms


def body_crc(number: int, subject: bytes, body: bytes) -> int:
    """Return the checksum of a client's request."""
    return crc32(body, crc32(subject, number & 0xFFFFFFFF))


def result_crc(number: int, state: int, result: bytes) -> int:
    """Return the checksum of an ended job's state and result."""
    return crc32(result, crc32(bytes((state,)), number & 0xFFFFFFFF))


FOUND_COLUMNS: Final = "number, state, digest, result, token, timed_out, req_id"
_HEADERS_DECODER: Final[msgspec.msgpack.Decoder[tuple[tuple[str, bytes], ...]]] = msgspec.msgpack.Decoder(
    tuple[tuple[str, bytes], ...]
)
_TERMS_DECODER: Final[msgspec.msgpack.Decoder[Terms]] = msgspec.msgpack.Decoder(Terms)


def decode_job(row: Sequence[Any]) -> StoredJob:
    """Decode an open job; ValueError, TypeError or MsgspecError if the record is damaged."""
    number, req_id, tenant, class_name, key, digest, subject, body, headers, terms, came, give_up, crc = row
    if crc != body_crc(number, subject, body):
        raise ValueError(f"job {number:x} is damaged")
    return StoredJob(
        Accepted(
            number,
            req_id,
            tenant,
            class_name,
            key,
            digest,
            subject,
            body,
            _HEADERS_DECODER.decode(headers),
            _TERMS_DECODER.decode(terms),
            came,
            give_up,
        )
    )


def decode_found(row: Sequence[Any]) -> FoundJob:
    """Decode a row of FOUND_COLUMNS, whatever the job's state."""
    number, state, digest, result, token, timed_out, req_id = row
    return FoundJob(number, JobState(state), digest, result or b"", token, bool(timed_out), req_id)
