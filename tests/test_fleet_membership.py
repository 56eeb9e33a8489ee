"""Membership of schedulers: pure machines in a net in virtual time that loses, repeats, reorders and cuts."""

import sys
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from virtual_net import SECOND, Net, Rough

from carthinge.fleet.codec import BadPacketError, decode, encode
from carthinge.fleet.membership import Membership
from carthinge.fleet.membership_limits import AWAY, REMEMBERED
from carthinge.fleet.packets import PACKET_MOST, Kind, Packet, Rumor, Standing

PERIOD = SECOND
FOUND_WITHIN = 25  # periods, for fleets as small as here


def member(net, name, seeds, incarnation=1000):
    net.add(name, Membership(name, name, seeds, PERIOD, incarnation, hash_of(name) + net.seed, net.now))


def hash_of(name):
    return sum(ord(letter) * 31**place for place, letter in enumerate(name))


def fleet(size, seed=1, rough=None):
    net = Net(seed, rough or Rough(), size=lambda packet: len(encode(packet, b"key")))
    for number in range(size):
        member(net, f"n{number}", ["n0", "n1"])
    assert net.run(30 * PERIOD, lambda: agreed(net)), "never one fleet"
    return net


def view(machine):
    return {machine.name} | {other.name for other in machine.here()}


def agreed(net):
    awake = {name: machine for name, machine in net.nodes.items() if name not in net.stopped}
    return all(view(machine) == set(awake) for machine in awake.values()) and not any(
        other.standing is Standing.SUSPECT for machine in awake.values() for other in machine.here()
    )


def dead_at(net):
    return {
        (name, other)
        for name, machine in net.nodes.items()
        for other, standing in machine.news
        if standing is Standing.DEAD
    }


@given(size=st.integers(2, 7), seed=st.integers(0, 10**6), loss=st.floats(0, 0.1), twice=st.floats(0, 0.3))
@settings(max_examples=25, deadline=None, derandomize=True)
def test_nobody_is_held_for_dead_while_messages_come_through(size, seed, loss, twice):
    """A tenth may be lost, others come twice or overtake each other: the bound is 0.15 periods each way."""
    net = fleet(size, seed, Rough(loss, twice, (0.0, 0.15)))
    net.run(40 * PERIOD)
    assert dead_at(net) == set()


class Fleet(RuleBasedStateMachine):
    """Kills, restarts, stops and cuts in any order; at the end all of it heals."""

    @initialize(size=st.integers(2, 6), seed=st.integers(0, 10**6), loss=st.sampled_from([0.0, 0.05]))
    def start(self, size, seed, loss):
        self.cuts = set()
        self.harmed = set()
        self.killed = []
        self.net = fleet(size, seed, Rough(loss, loss, (0.0, 0.1)))
        self.net.passes = lambda sender, to: (sender, to) not in self.cuts
        self.names = sorted(self.net.nodes)

    @rule(periods=st.integers(1, 12))
    def time_passes(self, periods):
        self.net.run(periods * PERIOD)

    @precondition(lambda self: len(self.net.nodes) > 1)
    @rule(data=st.data())
    def kill(self, data):
        name = data.draw(st.sampled_from(sorted(self.net.nodes)))
        self.net.kill(name)
        self.killed.append(name)
        self.harmed.add(name)

    @precondition(lambda self: self.killed)
    @rule(clock_back=st.booleans())
    def start_again(self, clock_back):
        """Its incarnation may be below that of its life before: its clock was set back."""
        member(self.net, self.killed.pop(), self.names, 5 if clock_back else 5000)

    @rule(data=st.data())
    def stop_or_go_on(self, data):
        name = data.draw(st.sampled_from(sorted(self.net.nodes)))
        self.harmed.add(name)
        if name in self.net.stopped:
            self.net.go_on(name)
        else:
            self.net.stop(name)

    @rule(data=st.data(), both=st.booleans())
    def cut(self, data, both):
        """The first few names are cut off from the others, one way or both."""
        split = data.draw(st.integers(1, len(self.names) - 1))
        here, there = self.names[:split], self.names[split:]
        for one in here:
            for other in there:
                self.cuts |= {(one, other)} | ({(other, one)} if both else set())
        self.harmed.update(self.names)

    @rule()
    def heal(self):
        self.cuts.clear()

    @invariant()
    def only_the_harmed_are_held_for_dead(self):
        if hasattr(self, "net"):
            assert all(one in self.harmed or other in self.harmed for one, other in dead_at(self.net))

    def teardown(self):
        """All that is left comes to one view, and finds every dead one, within a bound."""
        if not hasattr(self, "net"):
            return
        self.cuts.clear()
        for name in list(self.net.stopped):
            self.net.go_on(name)
        for name in self.names[:2]:  # where all that knew each other are gone, the seeds must be there
            if name not in self.net.nodes:
                member(self.net, name, self.names, 9000)
        assert self.net.run(2 * FOUND_WITHIN * PERIOD, lambda: agreed(self.net)), {
            name: machine.counts() for name, machine in self.net.nodes.items()
        }
        assert self.net.longest <= PACKET_MOST


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("size", [2, 3, 20, 60])
def test_every_dead_one_is_found_by_all(size):
    net = fleet(size)
    net.kill(f"n{size - 1}")
    assert net.run(FOUND_WITHIN * PERIOD, lambda: agreed(net))
    assert len(dead_at(net)) == size - 1


def test_a_suspected_member_speaks_for_itself():
    """One liar says of n2, again and again, that it is suspected, at whatever incarnation it has."""
    net = fleet(5)
    liar = net.nodes["n4"]
    for _ in range(30):
        net.run(PERIOD)
        said = [Rumor("n2", Standing.SUSPECT, net.nodes["n2"].voice.incarnation)]
        for name in ("n0", "n1", "n3"):
            net.send("n4", [(name, Packet(Kind.BEAT, "n4", "n4", liar.voice.incarnation, rumors=said))])
    net.run(10 * PERIOD)
    assert dead_at(net) == set() and agreed(net)


def test_old_news_does_not_bring_back_the_dead():
    net = fleet(3)
    old = [Rumor("n2", Standing.ALIVE, net.nodes["n2"].voice.incarnation, "n2")]
    net.kill("n2")
    net.run(FOUND_WITHIN * PERIOD)
    for _ in range(20):
        net.run(PERIOD)
        net.send("n1", [("n0", Packet(Kind.BEAT, "n1", "n1", net.nodes["n1"].voice.incarnation, rumors=old))])
        assert "n2" not in view(net.nodes["n0"])
    assert len(dead_at(net)) == 2
    net.run((REMEMBERED + 100) * PERIOD)
    assert "n2" not in net.nodes["n0"].members  # and one day nobody knows it any more


def test_one_that_leaves_is_not_searched_for():
    net = fleet(4)
    leaving = net.nodes["n3"]
    net.send("n3", leaving.leave(net.now))
    net.run(PERIOD / 2)
    net.kill("n3")
    net.run(FOUND_WITHIN * PERIOD)
    assert agreed(net) and dead_at(net) == set()
    member(net, "n3", ["n0"], 4000)
    assert net.run(5 * PERIOD, lambda: agreed(net))


def test_one_that_was_stopped_blames_nobody_and_comes_back():
    net = fleet(5)
    net.stop("n1")
    net.run(FOUND_WITHIN * PERIOD)
    net.kill("n4")  # meanwhile
    net.run(FOUND_WITHIN * PERIOD)
    net.go_on("n1")
    assert net.run(5 * PERIOD, lambda: agreed(net))
    assert {other for one, other in dead_at(net) if one == "n1"} <= {"n4"}


def test_the_two_sides_of_a_cut_are_one_again_soon_after_it():
    net = fleet(12)
    left = {f"n{number}" for number in range(5)}
    cut = True
    net.passes = lambda sender, to: not cut or (sender in left) == (to in left)
    assert net.run(
        2 * FOUND_WITHIN * PERIOD,
        lambda: all(
            view(machine) == (left if name in left else set(net.nodes) - left)
            for name, machine in net.nodes.items()
        ),
    )
    cut = False
    assert net.run(FOUND_WITHIN * PERIOD, lambda: agreed(net))


@pytest.mark.parametrize(("size", "seed"), [(60, 1), (60, 2), (100, 3)])
def test_a_few_that_are_cut_off_know_it_long_before_they_have_asked_everybody(size, seed):
    """One ping a period, and news that mostly goes to those who are gone: it took 80 periods among 100."""
    net = fleet(size, seed)
    left = {f"n{number}" for number in range(0, size, 20)}
    net.passes = lambda sender, to: (sender in left) == (to in left)
    assert net.run(
        size * 6 // 10 * PERIOD,
        lambda: all(
            view(machine) == (left if name in left else set(net.nodes) - left)
            for name, machine in net.nodes.items()
        ),
    ), f"seed {seed}"


def test_while_few_messages_are_lost_nobody_pings_more():
    """Pings go faster only where most of them fail."""
    net = fleet(20, 5, Rough(loss=0.1))
    paces = set()
    for _ in range(60):
        net.run(PERIOD)
        paces |= {machine._pace for machine in net.nodes.values()}
    assert paces <= {1, 2, 4}  # once in a while a member's only ping in a period is lost with its checks
    assert sum(machine._pace > 1 for machine in net.nodes.values()) <= 2
    assert not dead_at(net)


def test_a_short_pause_is_not_taken_for_a_stop():
    net = fleet(3)
    net.stop("n1")
    net.run((AWAY - 2) * PERIOD)
    net.go_on("n1")
    net.run(10 * PERIOD)
    assert agreed(net) and net.nodes["n1"].members


def test_an_absurd_incarnation_from_a_third_one_locks_nobody_out():
    net = fleet(3)
    highest = (1 << 48) - 1
    said = [Rumor("n1", Standing.SUSPECT, highest), Rumor("n1", Standing.ALIVE, highest, "nowhere")]
    for _ in range(10):
        for name in ("n0", "n1"):
            net.send("n2", [(name, Packet(Kind.BEAT, "n2", "n2", 1000, rumors=said))])
        net.run(3 * PERIOD)
    assert agreed(net) and net.nodes["n1"].voice.incarnation < highest


# ---- bytes --------------------------------------------------------------------------------------

PACKET = Packet(Kind.PING, "n0", "127.0.0.1:9", 7, rumors=[Rumor("n1", Standing.SUSPECT, 3)], number=4)


def test_a_message_comes_back_as_it_was():
    for key in (b"", b"secret"):
        assert decode(encode(PACKET, key), key) == PACKET


@given(st.binary(max_size=64))
@settings(deadline=None, derandomize=True)
def test_bytes_that_are_no_message_are_turned_down(data):
    with pytest.raises(BadPacketError):
        decode(data, b"")
    with pytest.raises(BadPacketError):
        decode(b"c1" + data, b"secret")


@given(st.data())
@settings(deadline=None, derandomize=True)
def test_a_message_that_was_tampered_with_is_turned_down(data):
    sealed = bytearray(encode(PACKET, b"secret"))
    sealed[data.draw(st.integers(0, len(sealed) - 1))] ^= data.draw(st.integers(1, 255))
    with pytest.raises(BadPacketError):
        decode(bytes(sealed), b"secret")


@pytest.mark.parametrize(
    "packet",
    [
        Packet(Kind.PING, "", "a", 1),
        Packet(Kind.PING, "n" * 65, "a", 1),
        Packet(Kind.PING, "n", "a", -1),
        Packet(Kind.PING, "n", "a", 1 << 48),
        Packet(Kind.PING, "n", "a" * 65, 1),
        Packet(99, "n", "a", 1),
        Packet(Kind.ASK, "n", "a", 1, units=-1),
        Packet(Kind.BEAT, "n", "a", 1, rumors=[PACKET.rumors[0]] * 129),
    ],
)
def test_values_out_of_their_range_are_turned_down(packet):
    with pytest.raises(BadPacketError):
        decode(encode(packet, b""), b"")


def test_a_message_is_never_longer_than_goes_in_one_piece():
    with pytest.raises(ValueError, match="bytes"):
        encode(
            Packet(Kind.BEAT, "n", "a", 1, rumors=[Rumor("n" * 60, Standing.ALIVE, 1, "a" * 60)] * 20), b""
        )
    with pytest.raises(BadPacketError, match="too long"):
        decode(b"c1" + bytes(PACKET_MOST), b"")


def test_as_many_members_as_an_installation_may_have_are_known():
    """1,100 that one of them tells of by pages."""
    net = Net(3, Rough())
    for name in ("n0", "n1"):
        member(net, name, ["n0"])
    for number in range(2, 1100):
        rumor = Rumor(f"n{number}", Standing.ALIVE, 1, f"n{number}")
        net.nodes["n0"].hear(net.now, Packet(Kind.BEAT, "n1", "n1", 1000, rumors=[rumor]))
    net.run(timedelta(milliseconds=900))
    assert len(net.nodes["n1"].members) >= 1099
