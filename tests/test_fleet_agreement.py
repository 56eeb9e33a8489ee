"""Summaries, the agreed level and shared doubts: what one that lies can move, and what follows of two."""

import math
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carthinge.fleet.agreement import agreed, agreed_levels
from carthinge.fleet.codec import BadPacketError, decode, encode
from carthinge.fleet.packets import (
    CELLS_MOST,
    DOUBTS_MOST,
    PACKET_MOST,
    Kind,
    Packet,
    Rumor,
    Standing,
    Summary,
)
from carthinge.fleet.shared_ejections import FIRST_TRY, HOLD, NEXT_OWNER, SharedDoubts
from carthinge.fleet.shared_shedding import SharedSheddingLevel
from carthinge.fleet.summary import AGE_MOST, FRESH, Heard, Summaries, cell_of, shape_of

PERIOD = timedelta(seconds=1)
STEADY = settings(deadline=None, derandomize=True, max_examples=50)
NOW = timedelta(days=3)
SHAPE = shape_of(("acme", "beta"), ("query", "charge"))


def summary(sequence=1, life=7, **more):
    return Summary(life, sequence, more.pop("shape", SHAPE), more.pop("pressure", 1.0), **more)


@pytest.fixture
def summaries():
    return Summaries(SHAPE, PERIOD)


# ---- summaries ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "bad",
    [
        summary(pressure=math.nan),
        summary(pressure=math.inf),
        summary(pressure=-1.0),
        summary(pressure=1e30),
        summary(left=math.nan),
        summary(spent=1e300),
        summary(spent=-0.5),
        summary(doubts=[(5, -1)]),
        summary(doubts=[(5, 1 << 60)]),
        summary(levels=[(-1, 3)]),
        summary(sequence=-3),
    ],
)
def test_values_that_cannot_be_are_refused_and_what_was_heard_before_holds(summaries, bad):
    assert summaries.take(NOW, "a", summary(0, pressure=2.0))
    assert not summaries.take(NOW, "a", bad)
    assert summaries.refused["out of range"] == 1 and summaries.fresh(NOW, ["a"])["a"].pressure == 2.0


def test_what_is_older_or_of_a_life_before_is_not_taken(summaries):
    assert summaries.take(NOW, "a", summary(5))
    assert not summaries.take(NOW, "a", summary(4)) and summaries.refused["stale"] == 1
    assert not summaries.take(NOW, "a", summary(5)) and sum(summaries.refused.values()) == 1  # the same again
    assert summaries.take(NOW, "a", summary(1, life=8))  # it was started again
    assert not summaries.take(NOW, "a", summary(6)) and summaries.refused["of a life before"] == 1
    assert summaries.fresh(NOW + FRESH * PERIOD, ["a"]) and not summaries.fresh(NOW, ["b"])
    assert not summaries.fresh(NOW + (FRESH + 1) * PERIOD, ["a"])


def test_levels_of_a_member_with_other_classes_are_not_read(summaries):
    assert summaries.take(NOW, "a", summary(levels=[(0, 3)], shape=shape_of(("acme",), ("query", "charge"))))
    assert summaries.fresh(NOW, ["a"])["a"].levels == {}
    assert summaries.take(NOW, "b", summary(levels=[(cell_of(1, 0, 2), 3)]))
    assert summaries.fresh(NOW, ["b"])["b"].levels == {2: 3}


def test_an_age_moves_a_doubt_between_now_and_a_day_ago_whatever_the_clocks(summaries):
    assert summaries.take(NOW, "a", summary(doubts=[(1, 0), (2, (1 << 48) - 1)]))
    assert summaries.fresh(NOW, ["a"])["a"].doubts == {1: NOW, 2: NOW - AGE_MOST}


def test_the_fullest_message_goes_in_one_piece_and_a_fuller_one_is_turned_down():
    worker, age = (1 << 64) - 1, (1 << 48) - 1
    full = Summary(
        age,
        age,
        age,
        1e6,
        [(1 << 20, 100)] * CELLS_MOST,
        1e9,
        1e9,
        [(worker, age)] * DOUBTS_MOST,
        [(worker, age)] * DOUBTS_MOST,
    )
    rumors, room = [], 500
    while (room := room - Rumor("n" * 64, Standing.ALIVE, age, "a" * 64).size()) > 0:
        rumors.append(Rumor("n" * 64, Standing.ALIVE, age, "a" * 64))
    packet = Packet(
        Kind.ACK,
        "n" * 64,
        "a" * 64,
        age,
        Standing.LEFT,
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
    assert len(encode(packet, b"key")) <= PACKET_MOST
    more = Packet(Kind.BEAT, "n", "a", 1, summary=summary(doubts=[(1, 1)] * (DOUBTS_MOST + 1)))
    with pytest.raises(BadPacketError):
        decode(encode(more, b""), b"")


# ---- the agreed level ---------------------------------------------------------------------------

LEVELS = st.lists(st.integers(0, 100), min_size=2, max_size=30)


@given(true=LEVELS, lie=st.integers(0, 100))
@STEADY
def test_one_that_lies_moves_the_level_by_one_true_voice_at_the_most(true, lie):
    """Of n true voices and it, between the two true ones beside the middle: so never beyond all of them."""
    ordered, middle = sorted(true), len(true) // 2
    level = agreed(true[0], [*true[1:], lie])
    assert ordered[max(0, middle - 1)] <= level <= ordered[middle]


@given(true=LEVELS, lie=st.integers(0, 100), data=st.data())
@STEADY
def test_all_that_hear_the_same_come_to_the_same_level(true, lie, data):
    voices = [*true, lie]
    at = data.draw(st.integers(0, len(true) - 1))
    assert agreed(voices[at], voices[:at] + voices[at + 1 :]) == agreed(voices[0], voices[1:])


def test_one_or_two_voices_agree_on_nothing():
    assert agreed(4, []) == 4 and agreed(4, [0]) == 4 and agreed(4, [0, 0]) == 0


def test_levels_are_agreed_on_cell_by_cell_by_those_that_see_work_there():
    assert agreed_levels({1: 3, 2: 1}, [{1: 5}, {1: 4, 9: 100}]) == {1: 4}  # two of three do not know 2 and 9
    assert agreed_levels({1: 90}, [{1: 80, 2: 0}, {}, {}]) == {1: 0, 2: 0}  # the last two shed nothing at all


DEAR, CHEAP = (0, 0), (1, 0)


def shared(agreed=None):
    """Half of the work offered is cheap; the dear one is worth more, and that of one rank too."""
    level = SharedSheddingLevel()
    level.agreed = agreed or {}
    for number in range(100):
        level.sheds((DEAR, CHEAP)[number % 2], (8, 0)[number % 2], 1e5, number << 57, 10**6)
    return level


def test_a_level_is_told_by_cell_as_the_order_of_all_work_would_shed_it():
    assert shared().told(1.0, 10**6) == {}
    assert shared().told(0.75, 10**6) == {DEAR: 0, CHEAP: 50}
    assert shared().told(0.4, 10**6) == {DEAR: 20, CHEAP: 100}
    assert shared().told(0.4, 100 * 10**6) == {}  # nothing has come for long
    # What is shed on the word of others is no part of it: a level does not hold itself up.
    busy = shared({CHEAP: 100})
    assert busy.told(1.0, 10**6) == {} and not busy.sheds(CHEAP, 0, 1e5, 0, 10**6)
    assert busy.sheds(CHEAP, 0, 1e5, 0, 60 * 10**6)  # idle since


def test_the_agreed_level_sheds_as_far_as_few_jobs_have_come_of_late():
    for before, part in ((0, 0.6), (4, 0.3), (8, 0.0)):
        shed = 0
        for point in range(0, 512, 2):
            level = SharedSheddingLevel()
            for _ in range(before):
                level.sheds(DEAR, 8, 1e5, 0, 10**6)
            level.agreed = {CHEAP: 60}
            shed += level.sheds(CHEAP, 0, 1e5, point << 55, 10**6)
        assert shed == pytest.approx(part * 256, abs=2)


# ---- doubts -------------------------------------------------------------------------------------

NAMES = [f"m{number}" for number in range(5)]


def rulings(own, at=NOW, well=None, machines=None, known=None, workers=100):
    """Of each member, by what each doubts: worker and since when."""
    machines = machines or {name: SharedDoubts(name, PERIOD) for name in NAMES}
    made = {}
    for name in NAMES:
        heard = {
            other: Heard(at, doubts=own.get(other, {}), well=(known or {}).get(other, {}))
            for other in NAMES
            if other != name
        }
        made[name] = machines[name].decide(
            at,
            own.get(name, {}),
            (well or {}).get(name, {}),
            heard,
            [other for other in NAMES if other != name],
            workers,
        )
    return made


@given(liar=st.dictionaries(st.integers(0, 50), st.just(NOW), max_size=12))
@STEADY
def test_the_word_of_one_alone_keeps_nobody_from_a_worker(liar):
    assert all(not ruling.alone and not ruling.doubted for ruling in rulings({"m0": liar}).values())


@given(accusers=st.sets(st.sampled_from(NAMES), min_size=2), worker=st.integers(0, 2**64 - 1))
@STEADY
def test_of_a_worker_that_two_doubt_one_tries_and_the_others_leave_it_alone(accusers, worker):
    own = {name: {worker: NOW} for name in accusers}
    made = rulings(own)
    owners = [name for name, ruling in made.items() if worker in ruling.mine]
    assert len(owners) == 1
    for name, ruling in made.items():
        if name not in owners:
            assert ruling.alone == {worker: NOW + HOLD * PERIOD}
        else:  # one that has not doubted it waits first; one that has keeps its own pause
            assert ruling.alone == ({} if name in accusers else {worker: NOW + FIRST_TRY * PERIOD})


def test_when_its_owner_finds_it_well_the_others_go_back_to_what_each_knows():
    own = {"m0": {9: NOW}, "m1": {9: NOW}, "m2": {9: NOW}}
    machines = {name: SharedDoubts(name, PERIOD) for name in NAMES}
    made = rulings(own, machines=machines)
    owner = next(name for name, ruling in made.items() if ruling.mine)
    later = NOW + 5 * PERIOD
    rulings(own, later, {owner: {9: later}}, machines)
    assert machines[owner].well == {9: later}
    made = rulings(own, later, None, machines, {owner: {9: later}})
    assert not any(ruling.alone or ruling.doubted for ruling in made.values())
    assert made["m0"].answered == {9}  # and is not told any more
    own["m0"], own["m1"] = {9: later + PERIOD}, {9: later + PERIOD}  # it fails once more
    made = rulings(own, later + PERIOD, None, machines, {owner: {9: later}})
    assert all(ruling.doubted == 1 for ruling in made.values())


def test_that_it_is_well_counts_by_whom_it_falls_to_or_by_two():
    own = {"m0": {9: NOW}, "m1": {9: NOW}}
    made = rulings(own)
    owner = next(name for name, ruling in made.items() if ruling.mine)
    others = [name for name in NAMES if name != owner]
    one = {others[0]: {9: NOW + PERIOD}}
    assert sum(bool(ruling.alone) for ruling in rulings(own, NOW + PERIOD, known=one).values()) >= 3
    two = {name: {9: NOW + PERIOD} for name in others[:2]}
    assert not any(ruling.doubted for ruling in rulings(own, NOW + PERIOD, two, known=two).values())


def test_two_that_are_ill_themselves_keep_nobody_from_workers_that_serve():
    """Their doubts come anew, but so do signs of the workers at the others."""
    machines = {name: SharedDoubts(name, PERIOD) for name in NAMES}
    known = {}
    for rounds in range(1, 9):
        at = NOW + rounds * PERIOD
        own = {name: {9: at - PERIOD / 2} for name in ("m0", "m1")}
        well = {name: {9: at} for name in ("m2", "m3", "m4")}
        made = rulings(own, at, well, machines, known)
        assert not any(made[name].alone for name in ("m2", "m3", "m4"))
        known = {name: machines[name].well for name in ("m2", "m3", "m4")}
    assert not any(ruling.doubted for ruling in rulings(own, at, well, machines, known).values())


def test_where_much_of_the_fleet_is_doubted_no_worker_is_left_alone_for_that():
    for doubted, held in ((2, True), (3, False)):
        own = {name: dict.fromkeys(range(doubted), NOW) for name in ("m0", "m1")}
        assert any(ruling.alone for ruling in rulings(own, workers=6).values()) is held


def test_no_worker_is_left_alone_for_good_and_one_more_at_a_time_may_try_it():
    own = {"m0": {9: NOW}, "m1": {9: NOW}}
    for rounds in range(4):
        at = NOW + (rounds * NEXT_OWNER + 3) * PERIOD
        assert sum(bool(ruling.mine) for ruling in rulings(own, at).values()) == rounds + 1


@given(seed=st.integers(0, 1000))
@STEADY
def test_owners_move_only_with_the_member_that_goes(seed):
    """Rendezvous: of 200 workers only those of the one that has gone get another."""

    def owners(names):
        found = {}
        for name in names:
            shared = SharedDoubts(name, PERIOD)
            own = {seed * 1000 + worker: NOW for worker in range(200)}
            heard = {other: Heard(NOW, doubts=own) for other in names if other != name}
            for worker in shared.decide(NOW, own, {}, heard, heard.keys(), 1000).mine:
                found[worker] = name
        return found

    before, after = owners(NAMES), owners(NAMES[:-1])
    assert len(before) == len(after) == 200
    assert all(before[worker] == after[worker] for worker in before if before[worker] != NAMES[-1])
    assert max(list(before.values()).count(name) for name in NAMES) < 80
