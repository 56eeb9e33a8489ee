"""Several schedulers' talk put together, in virtual time: levels, parts and doubts, and one that lies."""

import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from virtual_net import SECOND, Net, Rough

from carthinge.fleet.codec import encode
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import LIFE_MOST, Kind, Packet, Rumor, Standing, Summary
from carthinge.fleet.talk import Facts, Talk


class Told:
    """A scheduler that sees what the test says."""

    def __init__(self, **facts):
        self.facts = {"left": {1: 0.5}, "workers": 20, **facts}

    def look(self, workers):
        signs = self.facts.get("well", {})
        return Facts(**{**self.facts, "well": {at: signs[at] for at in workers if at in signs}})

    def repeats(self):
        return self.facts["repeats_left"]


@pytest.fixture
def net():
    net = Net(4, Rough(0.02, 0.1))
    net.told = {}
    for number in range(5):
        name = f"n{number}"
        member = Membership(name, name, ["n0"], SECOND, 1000, number, net.now)
        net.told[name] = Told()
        net.add(name, Talk(member, 7, [1], number + 1, net.told[name], net.now))
    assert net.run(40 * SECOND, lambda: all(talk.view.voices == 5 for talk in net.nodes.values()))
    return net


def test_all_come_to_one_level_that_the_most_and_the_least_pressed_do_not_set(net):
    for name, level in zip(net.nodes, (0, 0, 2, 3, 90), strict=True):
        net.told[name].facts.update(levels={5: level} if level else {}, pressure=float(level))
    assert net.run(20 * SECOND, lambda: all(talk.view.levels == {5: 2} for talk in net.nodes.values()))
    assert all(talk.view.pressure == 2.0 for talk in net.nodes.values())
    for told in net.told.values():
        told.facts.update(levels={})
    assert net.run(20 * SECOND, lambda: not any(talk.view.levels for talk in net.nodes.values()))


def test_parts_pass_to_the_busy_and_come_back(net):
    net.run(12 * SECOND)  # what a life before this one may have lent is back
    for name, told in net.told.items():
        told.facts["left"] = {1: 0.0 if name == "n1" else 1.0}
    assert net.run(20 * SECOND, lambda: within_the_whole(net) and net.nodes["n1"].view.parts[1] > 1.4)
    net.run(30 * SECOND, lambda: not within_the_whole(net))
    for told in net.told.values():
        told.facts["left"] = {1: 0.5}
    assert net.run(
        30 * SECOND,
        lambda: within_the_whole(net) and all(talk.view.parts[1] == 1.0 for talk in net.nodes.values()),
    )


def test_further_attempts_pass_to_the_busy_and_none_comes_of_nothing(net):
    for name, told in net.told.items():
        told.facts |= {"repeats_most": 8.0, "repeats_left": 0.0 if name == "n1" else 8.0}
    passed = dict.fromkeys(net.nodes, 0.0)
    for _ in range(40):
        net.run(SECOND)
        for name, talk in net.nodes.items():
            passed[name] += talk.passed()
    assert passed["n1"] > 8 and sum(passed.values()) <= 0
    assert all(passed[name] < 0 for name in net.nodes if name != "n1")


def within_the_whole(net):
    """At every moment: what is told to the decisions, not only what the ledgers hold."""
    assert sum(talk.view.parts[1] for talk in net.nodes.values()) <= 5
    return True


def test_other_quotas_are_other_purses(net):
    for talk in net.nodes.values():
        talk.retune(net.now, 8, [2])
    net.run(3 * SECOND)
    assert all(list(talk.view.parts) == [2] for talk in net.nodes.values())


def test_doubts_of_two_reach_all_and_end_when_the_one_who_tries_finds_it_well(net):
    for name in ("n2", "n3"):
        net.told[name].facts["doubted"] = {9: 1}
    assert net.run(5 * SECOND, lambda: all(talk.view.ruling.doubted == 1 for talk in net.nodes.values()))
    net.run(3 * SECOND)
    (owner,) = (name for name, talk in net.nodes.items() if talk.view.ruling.mine)
    assert sum(9 in talk.view.ruling.alone for talk in net.nodes.values()) == 4
    net.told[owner].facts.update(doubted={}, well={9: net.now})
    assert net.run(10 * SECOND, lambda: not any(talk.view.ruling.doubted for talk in net.nodes.values()))


def test_one_that_lies_in_every_way_moves_nothing_beyond_one_voice(net):
    """Levels, pressure, doubts of many workers, summaries out of range or old, grants not asked for."""
    liar = net.nodes.pop("n4")
    for name in net.nodes:
        net.told[name].facts.update(levels={5: 2}, pressure=1.0, left={1: 0.0})
    for step in range(1, 40):
        said = Summary(
            99,
            step * 10**6 if step % 7 else 1,
            7,
            1e6 if step % 3 else float("nan"),
            [(5, 100)],
            doubts=[(number, 0) for number in range(8)],
            well=[(9, 0)],
        )
        for name in net.nodes:
            for packet in (
                Packet(Kind.BEAT, "n4", "n4", liar.membership.voice.incarnation, summary=said),
                Packet(
                    Kind.GRANT,
                    "n4",
                    "n4",
                    liar.membership.voice.incarnation,
                    number=step,
                    purse=1,
                    units=1 << 20,
                ),
            ):
                net.send("n4", [(name, packet)])
        net.run(SECOND / 4)
    for talk in net.nodes.values():
        assert talk.view.levels == {5: 2} and talk.view.pressure == 1.0
        assert not talk.view.ruling.doubted and talk.view.parts[1] <= 1.5
        assert talk.figures()["summaries_refused"] > 0


LIVES, FLOATS = st.integers(0, LIFE_MOST - 1), st.floats(min_value=0)
NAMES = st.one_of(st.sampled_from(["n0", "n1", "n2"]), st.text(min_size=1, max_size=64))
AGED = st.lists(st.tuples(st.integers(0, 2**64 - 1), LIVES), max_size=8)
SUMMARIES = st.builds(
    Summary,
    LIVES,
    LIVES,
    st.sampled_from([7, 8]),
    st.floats(),
    st.lists(st.tuples(st.integers(0, 1 << 20), st.integers(0, 100)), max_size=32),
    FLOATS,
    FLOATS,
    AGED,
    AGED,
)
RUMORS = st.builds(Rumor, NAMES, st.sampled_from(Standing), LIVES, st.one_of(NAMES, st.just("")))
PACKETS = st.builds(
    Packet,
    st.sampled_from(Kind),
    NAMES,
    NAMES,
    LIVES,
    st.sampled_from(Standing),
    LIVES,
    LIVES,
    NAMES,
    LIVES,
    st.one_of(NAMES, st.just("")),
    st.lists(RUMORS, max_size=5),
    st.one_of(st.none(), SUMMARIES),
    st.sampled_from([0, 1, 9]),
    st.integers(0, 1 << 20),
)


@given(st.lists(PACKETS, min_size=1, max_size=30))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_no_message_that_can_be_read_breaks_anything_or_makes_one_too_long(packets):
    told = Told(doubted={number: 1 for number in range(20)}, levels={number: 1 for number in range(90)})
    talk = Talk(Membership("n0", "n0", ["n1"], SECOND, 1000, 1, 0 * SECOND), 7, [1], 1, told, 0 * SECOND)
    for at, packet in enumerate(packets):
        for _, sent in [*talk.tick(at * SECOND / 3), *talk.hear(at * SECOND / 3, packet)]:
            if len(packet.back.encode()) + len(packet.address.encode()) <= 128:  # its own, to itself alone
                encode(sent, b"key")
