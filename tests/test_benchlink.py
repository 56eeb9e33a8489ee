"""The running adapter process: bad settings, late ids, and the same answers under any hash seed."""

import struct

import pytest
from helpers import run_adapter

from carthinge import wire
from carthinge.wire import Act, Ev

FACTS = """instances=3
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
RAW = [bytes((10, 0, 0, n, 80, 0)) for n in range(40)]


def catalog(count=40):
    return (Ev.CATALOG, (0, tuple((raw, 0, 0, 0, 1, 1.0, 0) for raw in RAW[:count])))


def request(number, who=3, now=1000):
    return (Ev.REQUEST, (who, number, 0, number % 2, 0, now + 5_000_000, 40_000, 1.0, 0.0, 1))


def started(facts=FACTS, who=3):
    return [(Ev.NEW_INSTANCE, (who, 99, facts.encode())), catalog(), (Ev.SYNC, (who, 1, 2, 0))]


def talk(*batches, hash_seed="0"):
    data = b"".join(wire.encode_batch(now, records) for now, records in batches)
    done = run_adapter(data, hash_seed)
    done.check_returncode()
    replies, at = [], 0
    while at < len(done.stdout):
        (length,) = struct.unpack_from("<I", done.stdout, at)
        replies.append(wire.decode_reply(done.stdout[at + 4 : at + 4 + length]))
        at += 4 + length
    return replies


def test_a_request_is_issued_and_its_answer_ends_it():
    first, second = talk(
        (1000, [*started(), request(5)]),
        (2000, [(Ev.ENDED, (3, 5, 900, 1, RAW[0], 0, 200, 0, ())), (Ev.ABANDONED, (3, 5))]),
    )
    issue = next(fields for code, fields in first if code == Act.ISSUE)
    assert issue[:2] == (3, 5) and issue[2] in RAW
    assert not [code for code, _ in second if code != Act.SLEEP]


@pytest.mark.parametrize(
    ("line", "field"),
    [("services.0.objective=300000", "services.0.objective"), ("caps.try_limit=3", "caps.try_limit")],
)
def test_missing_settings_bail_out_with_the_field(line, field):
    ((code, fields),) = talk((1000, [(Ev.NEW_INSTANCE, (3, 99, FACTS.replace(line, "").encode()))]))[0]
    assert code == Act.BAIL_OUT and field in fields[1].decode()


def test_unknown_effect_bails_out_with_the_field():
    facts = FACTS.replace("read_like", "sometimes")
    ((code, fields),) = talk((1000, [(Ev.NEW_INSTANCE, (3, 99, facts.encode()))]))[0]
    assert code == Act.BAIL_OUT and b"services.0.effect" in fields[1]


def test_events_after_shutdown_and_unknown_ids_are_ignored():
    replies = talk(
        (1000, started()),
        (2000, [request(5), (Ev.SHUTDOWN, (3,)), request(6), (Ev.WAKE, (3, 7)), (Ev.ABANDONED, (8, 7))]),
    )
    assert replies[1] == []


def test_a_new_start_forgets_the_one_before():
    again = talk(
        (1000, [*started(), request(5)]),
        (2000, [(Ev.SHUTDOWN, (3,)), *started()]),
        (3000, [(Ev.ENDED, (3, 5, 900, 0, RAW[0], 0, 502, 0, ()))]),
    )[2]
    assert not [code for code, _ in again if code in (Act.ISSUE, Act.BOUNCE, Act.END_FAILED)]


def test_actions_do_not_depend_on_the_hash_seed():
    batches = [(1000, started())] + [(1000 + n, [request(n, now=1000 + n)]) for n in range(1, 40)]
    assert talk(*batches, hash_seed="1") == talk(*batches, hash_seed="2")
