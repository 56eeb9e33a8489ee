"""The wire codec: the frame examples of the protocol page, and errors for malformed frames."""

import pytest
from helpers import run_adapter

from carthinge import wire
from carthinge.wire import ACTIONS, EVENTS, WireError, decode_records, encode_record

EXAMPLES = {
    "ISSUE": ("0a 03000000 c4913a5d 0a124a07 5b1b 80380100", ACTIONS),
    "SLEEP": ("32 03000000 4d00000000000000 7afd870000000000", ACTIONS),
    "MEMO_TO": ("50 03000000 ffffffff 0400 68692037", ACTIONS),
    "LOG": ("5a 03000000 1100 74776f2073657276657273206b6e6f776e", ACTIONS),
    "CATALOG": (
        "6e 0000 02000000 0a124a07 5b1b 00 0000 0000 01 0000803f 0000000000000000"
        " 0a9011f2 841b 01 0000 0000 01 0000c03f 20145d0000000000",
        EVENTS,
    ),
    "SYNC": ("14 03000000 29000000 02 0000", EVENTS),
    "REQUEST": (
        "1e 03000000 c4913a5d 0000 00000000 640ad2557c3bf091 da05840000000000 e02e0000"
        " 00000040 00000000 01",
        EVENTS,
    ),
    "ENDED": ("32 03000000 c4913a5d 44480000 01 0a124a07 5b1b 00 c800 00000000 00", EVENTS),
    "WAKE": ("46 03000000 4d00000000000000", EVENTS),
}
EMPTY_BATCH = "0c000000 5a5c800000000000 00000000"
EMPTY_REPLY = "04000000 00000000"
BATCH = (
    "4e000000 5a5c800000000000 03000000"
    " 1e 03000000 c4913a5d 0000 00000000 640ad2557c3bf091 da05840000000000 e02e0000 00000040 00000000 01"
    " 46 03000000 4d00000000000000 3c 05000000 192b6f0e"
)
REPLY = (
    "44000000 03000000 0a 03000000 c4913a5d 0a124a07 5b1b 80380100"
    " 32 03000000 4d00000000000000 7afd870000000000"
    " 5a 05000000 1100 74776f2073657276657273206b6e6f776e"
)


@pytest.mark.parametrize("name", EXAMPLES)
def test_record_examples_round_trip(name):
    text, layouts = EXAMPLES[name]
    raw = bytes.fromhex(text)
    ((code, fields),) = decode_records(raw, 0, 1, layouts)
    assert layouts[code].name == name
    assert encode_record(code, fields, layouts) == raw


def test_frame_examples_round_trip():
    for text in (EMPTY_BATCH, BATCH):
        raw = bytes.fromhex(text)
        assert wire.encode_batch(*wire.decode_batch(raw[4:])) == raw
    for text in (EMPTY_REPLY, REPLY):
        raw = bytes.fromhex(text)
        records = wire.decode_reply(raw[4:])
        assert wire.encode_reply([encode_record(code, fields, ACTIONS) for code, fields in records]) == raw


def test_example_values():
    now, records = wire.decode_batch(bytes.fromhex(BATCH)[4:])
    assert now == 0x805C5A
    assert records[0][1][2:4] == (0, 0) and records[0][1][6] == 12000 and records[0][1][7] == 2.0
    assert records[2] == (wire.EventCode.ABANDONED, (5, 0x0E6F2B19))


@pytest.mark.parametrize("layouts", [EVENTS, ACTIONS])
def test_every_record_round_trips(layouts):
    for code, layout in layouts.items():
        raw = bytes((code,)) + bytes(range(1, layout.fixed.size + 1))
        raw += {
            "": b"",
            "text16": b"\x02\x00ab",
            "text32": b"\x02\x00\x00\x00ab",
            "floats8": b"\x01\x00\x00\x80\x3f",
            "entries32": b"\x01\x00\x00\x00" + bytes(range(24)),
        }[layout.tail]
        ((got, fields),) = decode_records(raw, 0, 1, layouts)
        assert got == code and encode_record(code, fields, layouts) == raw


MALFORMED = {
    "truncated length": b"\x0c\x00",
    "truncated frame": bytes.fromhex("0c000000 5a5c8000"),
    "oversized frame": bytes.fromhex("ffffffff 00"),
    "truncated batch header": bytes.fromhex("04000000 00000000"),
    "unknown code": bytes.fromhex("0d000000 5a5c800000000000 01000000 ff"),
    "truncated record": bytes.fromhex("0f000000 5a5c800000000000 01000000 460300"),
    "after the last record": bytes.fromhex("0d000000 5a5c800000000000 00000000 46"),
    "never given": bytes.fromhex("18000000 5a5c800000000000 01000000 14 03000000 29000000 02 0700"),
}


@pytest.mark.parametrize("error", MALFORMED)
def test_malformed_input_ends_with_one_line(error):
    done = run_adapter(MALFORMED[error])
    assert done.returncode == 1
    assert done.stdout == b""
    lines = done.stderr.decode().splitlines()
    assert len(lines) == 1 and error in lines[0] and "byte" in lines[0]


def test_input_may_end_between_frames():
    done = run_adapter(bytes.fromhex(EMPTY_BATCH))
    assert (done.returncode, done.stdout, done.stderr) == (0, bytes.fromhex(EMPTY_REPLY), b"")


def test_trailing_bytes_are_named():
    with pytest.raises(WireError, match="8 bytes after the last record"):
        decode_records(bytes(8), 0, 0, EVENTS)
