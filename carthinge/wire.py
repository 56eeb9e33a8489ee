"""Codec of the rowan-0490 wire: frames and records to tuples and back.

A record decodes to ``(code, fields)`` with the fields in wire order; what a
count announces (bytes, floats, list entries) is the last field.  Meaning is
given to them in benchlink.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct, error, unpack_from
from typing import Any, BinaryIO, Final, NamedTuple

Fields = tuple[Any, ...]


class WireError(Exception):
    """A frame that does not follow the wire; the text names the fault and its position."""


class Shape(NamedTuple):
    """The layout of one record: a fixed part, then perhaps counted content."""

    name: str
    fixed: Struct
    tail: str = ""  # "", "text16", "text32", "floats8" or "entries32"


class Ev:
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


class Act:
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
    Ev.NEW_INSTANCE: Shape("NEW_INSTANCE", Struct("<IQ"), "text32"),
    Ev.SYNC: Shape("SYNC", Struct("<IIBH")),
    Ev.REQUEST: Shape("REQUEST", Struct("<IIHIQQIffB")),
    Ev.ACCEPTED: Shape("ACCEPTED", Struct("<IIB6sI")),
    Ev.ENDED: Shape("ENDED", Struct("<IIIB6sBHI"), "floats8"),
    Ev.ABANDONED: Shape("ABANDONED", Struct("<II")),
    Ev.WAKE: Shape("WAKE", Struct("<IQ")),
    Ev.CHECK_RESULT: Shape("CHECK_RESULT", Struct("<I6sHI"), "floats8"),
    Ev.MEMO: Shape("MEMO", Struct("<IH"), "text16"),
    Ev.SHUTDOWN: Shape("SHUTDOWN", Struct("<I")),
    Ev.CATALOG: Shape("CATALOG", Struct("<H"), "entries32"),
    Ev.CHANGE: Shape("CHANGE", Struct("<IIB6sBf")),
}
ACTIONS: Final = {
    Act.ISSUE: Shape("ISSUE", Struct("<II6sI")),
    Act.BOUNCE: Shape("BOUNCE", Struct("<III")),
    Act.END_FAILED: Shape("END_FAILED", Struct("<II")),
    Act.WITHDRAW: Shape("WITHDRAW", Struct("<IIB")),
    Act.SLEEP: Shape("SLEEP", Struct("<IQQ")),
    Act.PROBE: Shape("PROBE", Struct("<I6s")),
    Act.DROP_CONNS: Shape("DROP_CONNS", Struct("<I6s")),
    Act.MEMO_TO: Shape("MEMO_TO", Struct("<II"), "text16"),
    Act.LOG: Shape("LOG", Struct("<I"), "text16"),
    Act.BAIL_OUT: Shape("BAIL_OUT", Struct("<I"), "text16"),
    Act.WATCH: Shape("WATCH", Struct("<IB")),
    Act.LOOKUP: Shape("LOOKUP", Struct("<I")),
}
EVERY_PEER: Final = 0xFFFFFFFF
MAX_FRAME: Final = 1 << 30  # a length beyond this is taken for a corrupt header

_ENTRY: Final = Struct("<6sBHHBfQ")
_LENGTH: Final = Struct("<I")
_BATCH: Final = Struct("<QI")
_REPLY: Final = Struct("<II")
_COUNTS: Final = {
    "text16": Struct("<H"),
    "text32": Struct("<I"),
    "floats8": Struct("<B"),
    "entries32": Struct("<I"),
}
_UNITS: Final = {"text16": 1, "text32": 1, "floats8": 4, "entries32": _ENTRY.size}


def decode_records(frame: bytes, at: int, count: int, shapes: dict[int, Shape]) -> list[tuple[int, Fields]]:
    """All records of a frame, which must end where the last one does."""
    records: list[tuple[int, Fields]] = []
    for index in range(count):
        start = at
        try:
            code = frame[at]
            shape = shapes[code]
            fields = shape.fixed.unpack_from(frame, at + 1)
            at += 1 + shape.fixed.size
            if shape.tail:
                tail, at = _decode_tail(frame, at, shape.tail)
                fields += (tail,)
        except KeyError:
            raise WireError(f"unknown code {frame[start]} in record {index} at byte {start}") from None
        except (IndexError, error):
            raise WireError(f"truncated record {index} at byte {start}") from None
        records.append((code, fields))
    if at != len(frame):
        raise WireError(f"{len(frame) - at} bytes after the last record at byte {at}")
    return records


def _decode_tail(frame: bytes, at: int, tail: str) -> tuple[Any, int]:
    counter = _COUNTS[tail]
    (count,) = counter.unpack_from(frame, at)
    at += counter.size
    end = at + count * _UNITS[tail]
    if end > len(frame):
        raise IndexError
    if tail == "floats8":
        return unpack_from(f"<{count}f", frame, at), end
    content = frame[at:end]
    return (tuple(_ENTRY.iter_unpack(content)) if tail == "entries32" else content), end


def encode_record(code: int, fields: Fields, shapes: dict[int, Shape]) -> bytes:
    """One record; the inverse of :func:`decode_records`."""
    shape = shapes[code]
    if not shape.tail:
        return bytes((code,)) + shape.fixed.pack(*fields)
    content = fields[-1]
    if shape.tail == "floats8":
        raw = Struct(f"<{len(content)}f").pack(*content)
    elif shape.tail == "entries32":
        raw = b"".join(_ENTRY.pack(*entry) for entry in content)
    else:
        raw = content
    return bytes((code,)) + shape.fixed.pack(*fields[:-1]) + _COUNTS[shape.tail].pack(len(content)) + raw


def decode_batch(frame: bytes) -> tuple[int, list[tuple[int, Fields]]]:
    """The clock and the events of a batch, given what follows its length."""
    if len(frame) < _BATCH.size:
        raise WireError(f"truncated batch header at byte {len(frame)}")
    now, count = _BATCH.unpack_from(frame)
    return now, decode_records(frame, _BATCH.size, count, EVENTS)


def encode_batch(now: int, records: Iterable[tuple[int, Fields]]) -> bytes:
    """A whole batch with its length."""
    parts = [encode_record(code, fields, EVENTS) for code, fields in records]
    body = _BATCH.pack(now, len(parts)) + b"".join(parts)
    return _LENGTH.pack(len(body)) + body


def encode_reply(parts: list[bytes]) -> bytes:
    """A whole reply of records that are encoded already."""
    body = b"".join(parts)
    return _REPLY.pack(len(body) + 4, len(parts)) + body


def decode_reply(frame: bytes) -> list[tuple[int, Fields]]:
    """The actions of a reply, given what follows its length."""
    if len(frame) < _LENGTH.size:
        raise WireError(f"truncated reply header at byte {len(frame)}")
    return decode_records(frame, _LENGTH.size, _LENGTH.unpack_from(frame)[0], ACTIONS)


def read_frame(stream: BinaryIO) -> bytes | None:
    """What follows the next length; None where the input ends between frames."""
    head = stream.read(_LENGTH.size)
    if not head:
        return None
    if len(head) < _LENGTH.size:
        raise WireError(f"truncated length at byte {len(head)}")
    (length,) = _LENGTH.unpack(head)
    if length > MAX_FRAME:
        raise WireError(f"oversized frame of {length} bytes at byte 0")
    frame = stream.read(length)
    if len(frame) < length:
        raise WireError(f"truncated frame: {len(frame)} of {length} bytes")
    return frame
