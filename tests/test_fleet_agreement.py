"""Summaries, agreed shedding levels and shared ejections, also with a faulty member."""

import math
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carthinge.fleet.agreement import agreed, agreed_levels
from carthinge.fleet.codec import BadPacketError, decode, encode
from carthinge.fleet.packets import (
    MAX_CELLS,
    MAX_PACKET_BYTES,
    MAX_REPORTED_WORKERS,
    MemberState,
    Packet,
    PacketKind,
    Rumor,
    Summary,
)
from carthinge.fleet.shared_ejections import (
    EJECTION_PERIODS,
    FIRST_TRY_PERIODS,
    NEXT_TRIER_PERIODS,
    SharedEjections,
)
from carthinge.fleet.shared_shedding import SharedSheddingLevel
from carthinge.fleet.summary import (
    FRESH_PERIODS,
    MAX_AGE,
    ReceivedSummary,
    Summaries,
    cell_number,
    layout_digest,
)

PERIOD = timedelta(seconds=1)
STEADY = settings(deadline=None, derandomize=True, max_examples=50)
NOW = timedelta(days=3)
LAYOUT = layout_digest(("acme", "beta"), ("query", "charge"))


def summary(sequence=1, run_id=7, **more):
    return Summary(run_id, sequence, more.pop("layout", LAYOUT), more.pop("pressure", 1.0), **more)


@pytest.fixture
def summaries():
    return Summaries(LAYOUT, PERIOD)


# ---- summaries ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "bad",
    [
        summary(pressure=math.nan),
        summary(pressure=math.inf),
        summary(pressure=-1.0),
        summary(pressure=1e30),
        summary(retries_left=math.nan),
        summary(retries_spent=1e300),
        summary(retries_spent=-0.5),
        summary(suspected=[(5, -1)]),
        summary(suspected=[(5, 1 << 60)]),
        summary(levels=[(-1, 3)]),
        summary(sequence=-3),
    ],
)
def test_invalid_summary_is_refused(summaries, bad):
    assert summaries.accept(NOW, "a", summary(0, pressure=2.0))
    assert not summaries.accept(NOW, "a", bad)
    assert summaries.refused["out of range"] == 1 and summaries.fresh(NOW, ["a"])["a"].pressure == 2.0


def test_older_summary_is_refused(summaries):
    assert summaries.accept(NOW, "a", summary(5))
    assert not summaries.accept(NOW, "a", summary(4)) and summaries.refused["stale"] == 1
    assert not summaries.accept(NOW, "a", summary(5)) and sum(summaries.refused.values()) == 1  # a duplicate
    assert summaries.accept(NOW, "a", summary(1, run_id=8))  # it was restarted
    assert not summaries.accept(NOW, "a", summary(6)) and summaries.refused["of a life before"] == 1
    assert summaries.fresh(NOW + FRESH_PERIODS * PERIOD, ["a"]) and not summaries.fresh(NOW, ["b"])
    assert not summaries.fresh(NOW + (FRESH_PERIODS + 1) * PERIOD, ["a"])


def test_levels_of_other_layout_are_ignored(summaries):
    assert summaries.accept(
        NOW, "a", summary(levels=[(0, 3)], layout=layout_digest(("acme",), ("query", "charge")))
    )
    assert summaries.fresh(NOW, ["a"])["a"].levels == {}
    assert summaries.accept(NOW, "b", summary(levels=[(cell_number(1, 0, 2), 3)]))
    assert summaries.fresh(NOW, ["b"])["b"].levels == {2: 3}


def test_age_of_suspicion_is_clamped(summaries):
    assert summaries.accept(NOW, "a", summary(suspected=[(1, 0), (2, (1 << 48) - 1)]))
    assert summaries.fresh(NOW, ["a"])["a"].suspected_since == {1: NOW, 2: NOW - MAX_AGE}


def test_largest_packet_fits_in_datagram():
    worker, age = (1 << 64) - 1, (1 << 48) - 1
    full = Summary(
        age,
        age,
        age,
        1e6,
        [(1 << 20, 100)] * MAX_CELLS,
        1e9,
        1e9,
        [(worker, age)] * MAX_REPORTED_WORKERS,
        [(worker, age)] * MAX_REPORTED_WORKERS,
    )
    rumors, room = [], 500
    while (room := room - Rumor("n" * 64, MemberState.ALIVE, age, "a" * 64).size()) > 0:
        rumors.append(Rumor("n" * 64, MemberState.ALIVE, age, "a" * 64))
    packet = Packet(
        PacketKind.ACK,
        "n" * 64,
        "a" * 64,
        age,
        MemberState.LEFT,
        age,
        age,
        "b" * 64,
        age,
        "c" * 64,
        rumors,
        full,
        1 << 20,
        1 << 20,
    )
    assert len(encode(packet, b"key")) <= MAX_PACKET_BYTES
    too_large = Packet(
        PacketKind.GOSSIP, "n", "a", 1, summary=summary(suspected=[(1, 1)] * (MAX_REPORTED_WORKERS + 1))
    )
    with pytest.raises(BadPacketError):
        decode(encode(too_large, b""), b"")


# ---- agreed levels ------------------------------------------------------------------------------

LEVELS = st.lists(st.integers(0, 100), min_size=2, max_size=30)


@given(correct=LEVELS, faulty=st.integers(0, 100))
@STEADY
def test_faulty_vote_moves_median_one_step(correct, faulty):
    """The median stays between the two correct votes around the middle, so never beyond all of them."""
    ordered, middle = sorted(correct), len(correct) // 2
    level = agreed(correct[0], [*correct[1:], faulty])
    assert ordered[max(0, middle - 1)] <= level <= ordered[middle]


@given(correct=LEVELS, faulty=st.integers(0, 100), data=st.data())
@STEADY
def test_same_votes_give_same_level(correct, faulty, data):
    votes = [*correct, faulty]
    at = data.draw(st.integers(0, len(correct) - 1))
    assert agreed(votes[at], votes[:at] + votes[at + 1 :]) == agreed(votes[0], votes[1:])


def test_too_few_votes_keep_own_level():
    assert agreed(4, []) == 4 and agreed(4, [0]) == 4 and agreed(4, [0, 0]) == 0


def test_cells_are_agreed_separately():
    assert agreed_levels({1: 3, 2: 1}, [{1: 5}, {1: 4, 9: 100}]) == {1: 4}  # one vote each on 2 and 9
    assert agreed_levels({1: 90}, [{1: 80, 2: 0}, {}, {}]) == {1: 0, 2: 0}  # the last two shed nothing at all


HIGH, LOW = (0, 0), (1, 0)


def shared(agreed=None):
    """Return a level after work of the cells LOW and HIGH, half each; HIGH is worth more."""
    level = SharedSheddingLevel()
    level.agreed = agreed or {}
    for number in range(100):
        level.sheds((HIGH, LOW)[number % 2], (8, 0)[number % 2], 1e5, number << 57, 10**6)
    return level


def test_reported_level_follows_rank_order():
    assert shared().own_levels(1.0, 10**6) == {}
    assert shared().own_levels(0.75, 10**6) == {HIGH: 0, LOW: 50}
    assert shared().own_levels(0.4, 10**6) == {HIGH: 20, LOW: 100}
    assert shared().own_levels(0.4, 100 * 10**6) == {}  # no work for a long time
    # What the agreed level sheds is not reported: otherwise a level would sustain itself.
    busy = shared({LOW: 100})
    assert busy.own_levels(1.0, 10**6) == {} and not busy.sheds(LOW, 0, 1e5, 0, 10**6)
    assert busy.sheds(LOW, 0, 1e5, 0, 60 * 10**6)  # idle since then


def test_agreed_level_fades_with_own_jobs():
    for before, share in ((0, 0.6), (4, 0.3), (8, 0.0)):
        shed = 0
        for point in range(0, 512, 2):
            level = SharedSheddingLevel()
            for _ in range(before):
                level.sheds(HIGH, 8, 1e5, 0, 10**6)
            level.agreed = {LOW: 60}
            shed += level.sheds(LOW, 0, 1e5, point << 55, 10**6)
        assert shed == pytest.approx(share * 256, abs=2)


# ---- shared ejections ---------------------------------------------------------------------------

NAMES = [f"m{number}" for number in range(5)]


def decisions(own, at=NOW, healthy_at=None, views=None, known=None, workers=100):
    """Return each member's decision; ``own``: by member, the workers that it suspects and since when."""
    views = views or {name: SharedEjections(name, PERIOD) for name in NAMES}
    decided = {}
    for name in NAMES:
        received = {
            other: ReceivedSummary(
                at, suspected_since=own.get(other, {}), healthy_at=(known or {}).get(other, {})
            )
            for other in NAMES
            if other != name
        }
        decided[name] = views[name].decide(
            at,
            own.get(name, {}),
            (healthy_at or {}).get(name, {}),
            received,
            [other for other in NAMES if other != name],
            workers,
        )
    return decided


@given(faulty=st.dictionaries(st.integers(0, 50), st.just(NOW), max_size=12))
@STEADY
def test_single_suspicion_ejects_no_worker(faulty):
    assert all(
        not decision.avoid_until and not decision.suspected_count
        for decision in decisions({"m0": faulty}).values()
    )


@given(accusers=st.sets(st.sampled_from(NAMES), min_size=2), worker=st.integers(0, 2**64 - 1))
@STEADY
def test_one_member_tries_ejected_worker(accusers, worker):
    own = {name: {worker: NOW} for name in accusers}
    decided = decisions(own)
    triers = [name for name, decision in decided.items() if worker in decision.to_try]
    assert len(triers) == 1
    for name, decision in decided.items():
        if name not in triers:
            assert decision.avoid_until == {worker: NOW + EJECTION_PERIODS * PERIOD}
        else:  # it waits first, unless it suspects the worker itself: then its own backoff applies
            assert decision.avoid_until == (
                {} if name in accusers else {worker: NOW + FIRST_TRY_PERIODS * PERIOD}
            )


def test_healthy_report_of_trier_clears_worker():
    own = {"m0": {9: NOW}, "m1": {9: NOW}, "m2": {9: NOW}}
    views = {name: SharedEjections(name, PERIOD) for name in NAMES}
    decided = decisions(own, views=views)
    trier = next(name for name, decision in decided.items() if decision.to_try)
    later = NOW + 5 * PERIOD
    decisions(own, later, {trier: {9: later}}, views)
    assert views[trier].healthy_at == {9: later}
    decided = decisions(own, later, None, views, {trier: {9: later}})
    assert not any(decision.avoid_until or decision.suspected_count for decision in decided.values())
    assert decided["m0"].cleared == {9}  # and is no longer reported
    own["m0"], own["m1"] = {9: later + PERIOD}, {9: later + PERIOD}  # the worker fails once more
    decided = decisions(own, later + PERIOD, None, views, {trier: {9: later}})
    assert all(decision.suspected_count == 1 for decision in decided.values())


def test_healthy_report_needs_trier_or_two():
    own = {"m0": {9: NOW}, "m1": {9: NOW}}
    decided = decisions(own)
    trier = next(name for name, decision in decided.items() if decision.to_try)
    others = [name for name in NAMES if name != trier]
    one = {others[0]: {9: NOW + PERIOD}}
    assert (
        sum(bool(decision.avoid_until) for decision in decisions(own, NOW + PERIOD, known=one).values()) >= 3
    )
    two = {name: {9: NOW + PERIOD} for name in others[:2]}
    assert not any(
        decision.suspected_count for decision in decisions(own, NOW + PERIOD, two, known=two).values()
    )


def test_two_faulty_members_eject_no_worker():
    """They renew their suspicions, but the others keep getting signs of life of the worker."""
    views = {name: SharedEjections(name, PERIOD) for name in NAMES}
    known = {}
    for rounds in range(1, 9):
        at = NOW + rounds * PERIOD
        own = {name: {9: at - PERIOD / 2} for name in ("m0", "m1")}
        healthy_at = {name: {9: at} for name in ("m2", "m3", "m4")}
        decided = decisions(own, at, healthy_at, views, known)
        assert not any(decided[name].avoid_until for name in ("m2", "m3", "m4"))
        known = {name: views[name].healthy_at for name in ("m2", "m3", "m4")}
    assert not any(
        decision.suspected_count for decision in decisions(own, at, healthy_at, views, known).values()
    )


def test_many_suspected_workers_are_not_ejected():
    for suspected, ejected in ((2, True), (3, False)):
        own = {name: dict.fromkeys(range(suspected), NOW) for name in ("m0", "m1")}
        assert any(decision.avoid_until for decision in decisions(own, workers=6).values()) is ejected


def test_more_members_may_try_over_time():
    own = {"m0": {9: NOW}, "m1": {9: NOW}}
    for rounds in range(4):
        at = NOW + (rounds * NEXT_TRIER_PERIODS + 3) * PERIOD
        assert sum(bool(decision.to_try) for decision in decisions(own, at).values()) == rounds + 1


@given(seed=st.integers(0, 1000))
@STEADY
def test_departed_member_moves_only_its_workers(seed):
    """Rendezvous hashing: only the workers of the departed member get another one that tries them."""

    def triers(names):
        found = {}
        for name in names:
            view = SharedEjections(name, PERIOD)
            own = {seed * 1000 + worker: NOW for worker in range(200)}
            received = {other: ReceivedSummary(NOW, suspected_since=own) for other in names if other != name}
            for worker in view.decide(NOW, own, {}, received, received.keys(), 1000).to_try:
                found[worker] = name
        return found

    before, after = triers(NAMES), triers(NAMES[:-1])
    assert len(before) == len(after) == 200
    assert all(before[worker] == after[worker] for worker in before if before[worker] != NAMES[-1])
    assert max(list(before.values()).count(name) for name in NAMES) < 80
