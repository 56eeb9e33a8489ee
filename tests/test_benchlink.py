"""The adapter process: invalid settings, unknown ids, and replies independent of the hash seed."""

import struct

import pytest
from helpers import run_adapter

from carthinge import wire
from carthinge.wire import ActionCode, EventCode

SETTINGS_LINES = """instances=3
position=1
caps.try_limit=3
rules.grace_to_answer=16000
services.count=1
services.0.objective=300000
services.0.hard_limit=5000000
services.0.effect=read_like
tenants.count=2
tenants.0.share=0.6
tenants.1.share=0.4
machine_types=m,n
something.new=42
"""
WORKER_IDS = [bytes((10, 0, 0, n, 80, 0)) for n in range(40)]


def catalog(count=40):
    return (EventCode.CATALOG, (0, tuple((raw, 0, 0, 0, 1, 1.0, 0) for raw in WORKER_IDS[:count])))


def request(number, instance=3, now=1000):
    return (EventCode.REQUEST, (instance, number, 0, number % 2, 0, now + 5_000_000, 40_000, 1.0, 0.0, 1))


def started(lines=SETTINGS_LINES, instance=3):
    return [
        (EventCode.NEW_INSTANCE, (instance, 99, lines.encode())),
        catalog(),
        (EventCode.SYNC, (instance, 1, 2, 0)),
    ]


def exchange(*batches, hash_seed="0"):
    data = b"".join(wire.encode_batch(now, records) for now, records in batches)
    done = run_adapter(data, hash_seed)
    done.check_returncode()
    replies, at = [], 0
    while at < len(done.stdout):
        (length,) = struct.unpack_from("<I", done.stdout, at)
        replies.append(wire.decode_reply(done.stdout[at + 4 : at + 4 + length]))
        at += 4 + length
    return replies


def test_request_is_issued_and_ended():
    first, second = exchange(
        (1000, [*started(), request(5)]),
        (
            2000,
            [(EventCode.ENDED, (3, 5, 900, 1, WORKER_IDS[0], 0, 200, 0, ())), (EventCode.ABANDONED, (3, 5))],
        ),
    )
    issue = next(fields for code, fields in first if code == ActionCode.ISSUE)
    assert issue[:2] == (3, 5) and issue[2] in WORKER_IDS
    assert not [code for code, _ in second if code != ActionCode.SLEEP]


@pytest.mark.parametrize(
    ("line", "field"),
    [("services.0.objective=300000", "services.0.objective"), ("caps.try_limit=3", "caps.try_limit")],
)
def test_missing_setting_bails_out(line, field):
    ((code, fields),) = exchange(
        (1000, [(EventCode.NEW_INSTANCE, (3, 99, SETTINGS_LINES.replace(line, "").encode()))])
    )[0]
    assert code == ActionCode.BAIL_OUT and field in fields[1].decode()


def test_unknown_effect_bails_out():
    lines = SETTINGS_LINES.replace("read_like", "sometimes")
    ((code, fields),) = exchange((1000, [(EventCode.NEW_INSTANCE, (3, 99, lines.encode()))]))[0]
    assert code == ActionCode.BAIL_OUT and b"services.0.effect" in fields[1]


def test_events_for_unknown_ids_are_ignored():
    replies = exchange(
        (1000, started()),
        (
            2000,
            [
                request(5),
                (EventCode.SHUTDOWN, (3,)),
                request(6),
                (EventCode.WAKE, (3, 7)),
                (EventCode.ABANDONED, (8, 7)),
            ],
        ),
    )
    assert replies[1] == []


def test_restarted_instance_forgets_its_requests():
    again = exchange(
        (1000, [*started(), request(5)]),
        (2000, [(EventCode.SHUTDOWN, (3,)), *started()]),
        (3000, [(EventCode.ENDED, (3, 5, 900, 0, WORKER_IDS[0], 0, 502, 0, ()))]),
    )[2]
    assert not [
        code for code, _ in again if code in (ActionCode.ISSUE, ActionCode.BOUNCE, ActionCode.END_FAILED)
    ]


def test_actions_are_independent_of_hash_seed():
    batches = [(1000, started())] + [(1000 + n, [request(n, now=1000 + n)]) for n in range(1, 40)]
    assert exchange(*batches, hash_seed="1") == exchange(*batches, hash_seed="2")
