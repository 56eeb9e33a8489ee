"""Codec of the rowan-0490 wire protocol: frames and records to tuples and back.

A record decodes to ``(code, fields)`` with the fields in wire order; content of variable length (bytes,
floats, list entries) is the last field.  The fields are interpreted in benchlink.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct, error, unpack_from
from typing import Any, BinaryIO, Final, NamedTuple

Fields = tuple[Any, ...]


class WireError(Exception):
    """A malformed frame; the message names the error and its position."""


class RecordLayout(NamedTuple):
    """The layout of one record: a fixed part, then optional content of variable length."""

    name: str
    fixed: Struct
    tail: str = ""  # "", "text16", "text32", "floats8" or "entries32"


class EventCode:
    """Codes of events."""

    NEW_INSTANCE: Final = 10
    SYNC: Final = 20
    REQUEST: Final = 30
    ACCEPTED: Final = 40
    ENDED: Final = 50
    ABANDONED: Final = 60
    WAKE: Final = 70
    CHECK_RESULT: Final = 80
    MEMO: Final = 90
    SHUTDOWN: Final = 100
    CATALOG: Final = 110
    CHANGE: Final = 120


class ActionCode:
    """Codes of actions."""

    ISSUE: Final = 10
    BOUNCE: Final = 20
    END_FAILED: Final = 30
    WITHDRAW: Final = 40
    SLEEP: Final = 50
    PROBE: Final = 60
    DROP_CONNS: Final = 70
    MEMO_TO: Final = 80
    LOG: Final = 90
    BAIL_OUT: Final = 100
    WATCH: Final = 110
    LOOKUP: Final = 120


EVENTS: Final = {
    EventCode.NEW_INSTANCE: RecordLayout("NEW_INSTANCE", Struct("<IQ"), "text32"),
    EventCode.SYNC: RecordLayout("SYNC", Struct("<IIBH")),
    EventCode.REQUEST: RecordLayout("REQUEST", Struct("<IIHIQQIffB")),
    EventCode.ACCEPTED: RecordLayout("ACCEPTED", Struct("<IIB6sI")),
    EventCode.ENDED: RecordLayout("ENDED", Struct("<IIIB6sBHI"), "floats8"),
    EventCode.ABANDONED: RecordLayout("ABANDONED", Struct("<II")),
    EventCode.WAKE: RecordLayout("WAKE", Struct("<IQ")),
    EventCode.CHECK_RESULT: RecordLayout("CHECK_RESULT", Struct("<I6sHI"), "floats8"),
    EventCode.MEMO: RecordLayout("MEMO", Struct("<IH"), "text16"),
    EventCode.SHUTDOWN: RecordLayout("SHUTDOWN", Struct("<I")),
    EventCode.CATALOG: RecordLayout("CATALOG", Struct("<H"), "entries32"),
    EventCode.CHANGE: RecordLayout("CHANGE", Struct("<IIB6sBf")),
}
ACTIONS: Final = {
    ActionCode.ISSUE: RecordLayout("ISSUE", Struct("<II6sI")),
    ActionCode.BOUNCE: RecordLayout("BOUNCE", Struct("<III")),
    ActionCode.END_FAILED: RecordLayout("END_FAILED", Struct("<II")),
    ActionCode.WITHDRAW: RecordLayout("WITHDRAW", Struct("<IIB")),
    ActionCode.SLEEP: RecordLayout("SLEEP", Struct("<IQQ")),
    ActionCode.PROBE: RecordLayout("PROBE", Struct("<I6s")),
    ActionCode.DROP_CONNS: RecordLayout("DROP_CONNS", Struct("<I6s")),
    ActionCode.MEMO_TO: RecordLayout("MEMO_TO", Struct("<II"), "text16"),
    ActionCode.LOG: RecordLayout("LOG", Struct("<I"), "text16"),
    ActionCode.BAIL_OUT: RecordLayout("BAIL_OUT", Struct("<I"), "text16"),
    ActionCode.WATCH: RecordLayout("WATCH", Struct("<IB")),
    ActionCode.LOOKUP: RecordLayout("LOOKUP", Struct("<I")),
}
EVERY_PEER: Final = 0xFFFFFFFF
MAX_FRAME_BYTES: Final = 1 << 30  # a greater length is taken for a corrupt header

_ENTRY: Final = Struct("<6sBHHBfQ")
_LENGTH: Final = Struct("<I")
_BATCH: Final = Struct("<QI")
_REPLY: Final = Struct("<II")
_COUNT_FORMATS: Final = {
    "text16": Struct("<H"),
    "text32": Struct("<I"),
    "floats8": Struct("<B"),
    "entries32": Struct("<I"),
}
_ITEM_SIZES: Final = {"text16": 1, "text32": 1, "floats8": 4, "entries32": _ENTRY.size}


def decode_records(
    frame: bytes, offset: int, count: int, layouts: dict[int, RecordLayout]
) -> list[tuple[int, Fields]]:
    """Decode the records of a frame, which must end with the last one."""
    records: list[tuple[int, Fields]] = []
    for index in range(count):
        start = offset
        try:
            code = frame[offset]
            layout = layouts[code]
            fields = layout.fixed.unpack_from(frame, offset + 1)
            offset += 1 + layout.fixed.size
            if layout.tail:
                tail, offset = _decode_tail(frame, offset, layout.tail)
                fields += (tail,)
        except KeyError:
            raise WireError(f"unknown code {frame[start]} in record {index} at byte {start}") from None
        except (IndexError, error):
            raise WireError(f"truncated record {index} at byte {start}") from None
        records.append((code, fields))
    if offset != len(frame):
        raise WireError(f"{len(frame) - offset} bytes after the last record at byte {offset}")
    return records


def _decode_tail(frame: bytes, offset: int, tail: str) -> tuple[Any, int]:
    counter = _COUNT_FORMATS[tail]
    (count,) = counter.unpack_from(frame, offset)
    offset += counter.size
    end = offset + count * _ITEM_SIZES[tail]
    if end > len(frame):
        raise IndexError
    if tail == "floats8":
        return unpack_from(f"<{count}f", frame, offset), end
    content = frame[offset:end]
    return (tuple(_ENTRY.iter_unpack(content)) if tail == "entries32" else content), end


def encode_record(code: int, fields: Fields, layouts: dict[int, RecordLayout]) -> bytes:
    """Encode one record; the inverse of :func:`decode_records`."""
    layout = layouts[code]
    if not layout.tail:
        return bytes((code,)) + layout.fixed.pack(*fields)
    content = fields[-1]
    if layout.tail == "floats8":
        raw = Struct(f"<{len(content)}f").pack(*content)
    elif layout.tail == "entries32":
        raw = b"".join(_ENTRY.pack(*entry) for entry in content)
    else:
        raw = content
    return (
        bytes((code,))
        + layout.fixed.pack(*fields[:-1])
        + _COUNT_FORMATS[layout.tail].pack(len(content))
        + raw
    )


def decode_batch(frame: bytes) -> tuple[int, list[tuple[int, Fields]]]:
    """Decode the time and the events of a batch, without its length prefix."""
    if len(frame) < _BATCH.size:
        raise WireError(f"truncated batch header at byte {len(frame)}")
    now, count = _BATCH.unpack_from(frame)
    return now, decode_records(frame, _BATCH.size, count, EVENTS)


def encode_batch(now: int, records: Iterable[tuple[int, Fields]]) -> bytes:
    """Encode a batch with its length prefix."""
    parts = [encode_record(code, fields, EVENTS) for code, fields in records]
    body = _BATCH.pack(now, len(parts)) + b"".join(parts)
    return _LENGTH.pack(len(body)) + body


def encode_reply(parts: list[bytes]) -> bytes:
    """Encode a reply of already encoded records, with its length prefix."""
    body = b"".join(parts)
    return _REPLY.pack(len(body) + 4, len(parts)) + body


def decode_reply(frame: bytes) -> list[tuple[int, Fields]]:
    """Decode the actions of a reply, without its length prefix."""
    if len(frame) < _LENGTH.size:
        raise WireError(f"truncated reply header at byte {len(frame)}")
    return decode_records(frame, _LENGTH.size, _LENGTH.unpack_from(frame)[0], ACTIONS)


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read the next frame without its length prefix; None if the input ends between frames."""
    head = stream.read(_LENGTH.size)
    if not head:
        return None
    if len(head) < _LENGTH.size:
        raise WireError(f"truncated length at byte {len(head)}")
    (length,) = _LENGTH.unpack(head)
    if length > MAX_FRAME_BYTES:
        raise WireError(f"oversized frame of {length} bytes at byte 0")
    frame = stream.read(length)
    if len(frame) < length:
        raise WireError(f"truncated frame: {len(frame)} of {length} bytes")
    return frame
