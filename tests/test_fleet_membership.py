"""Membership: state machines on a simulated network that drops, duplicates, reorders and cuts."""

import sys
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from virtual_net import SECOND, Net, NetworkFaults

from carthinge.fleet.codec import BadPacketError, decode, encode
from carthinge.fleet.membership import Membership
from carthinge.fleet.membership_limits import MAX_PAUSE, RETENTION
from carthinge.fleet.packets import MAX_PACKET_BYTES, MemberState, Packet, PacketKind, Rumor

PERIOD = SECOND
DETECTION_PERIODS = 25  # at most, for fleets as small as here


def member(net, name, seeds, incarnation=1000):
    net.add(name, Membership(name, name, seeds, PERIOD, incarnation, name_hash(name) + net.seed, net.now))


def name_hash(name):
    return sum(ord(letter) * 31**place for place, letter in enumerate(name))


def fleet(size, seed=1, faults=None):
    net = Net(seed, faults or NetworkFaults(), size=lambda packet: len(encode(packet, b"key")))
    for number in range(size):
        member(net, f"n{number}", ["n0", "n1"])
    assert net.run(30 * PERIOD, lambda: agreed(net)), "the members do not agree"
    return net


def view(machine):
    return {machine.name} | {other.name for other in machine.live_members()}


def agreed(net):
    running = {name: machine for name, machine in net.nodes.items() if name not in net.paused}
    return all(view(machine) == set(running) for machine in running.values()) and not any(
        other.state is MemberState.SUSPECT for machine in running.values() for other in machine.live_members()
    )


def dead_pairs(net):
    return {
        (name, other)
        for name, machine in net.nodes.items()
        for other, state in machine.state_changes
        if state is MemberState.DEAD
    }


@given(
    size=st.integers(2, 7), seed=st.integers(0, 10**6), loss=st.floats(0, 0.1), duplication=st.floats(0, 0.3)
)
@settings(max_examples=25, deadline=None, derandomize=True)
def test_lossy_network_makes_no_member_dead(size, seed, loss, duplication):
    """A tenth may be lost, others are duplicated or reordered; each takes up to 0.15 periods."""
    net = fleet(size, seed, NetworkFaults(loss, duplication, (0.0, 0.15)))
    net.run(40 * PERIOD)
    assert dead_pairs(net) == set()


class Fleet(RuleBasedStateMachine):
    """Kills, restarts, stops and cuts members in any order, and ends all faults at the end."""

    @initialize(size=st.integers(2, 6), seed=st.integers(0, 10**6), loss=st.sampled_from([0.0, 0.05]))
    def start(self, size, seed, loss):
        self.cuts = set()
        self.affected = set()
        self.killed = []
        self.net = fleet(size, seed, NetworkFaults(loss, loss, (0.0, 0.1)))
        self.net.can_reach = lambda sender, to: (sender, to) not in self.cuts
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
        self.affected.add(name)

    @precondition(lambda self: self.killed)
    @rule(clock_back=st.booleans())
    def restart(self, clock_back):
        """With a clock that was set back, its incarnation is lower than in the previous run."""
        member(self.net, self.killed.pop(), self.names, 5 if clock_back else 5000)

    @rule(data=st.data())
    def stop_or_continue(self, data):
        name = data.draw(st.sampled_from(sorted(self.net.nodes)))
        self.affected.add(name)
        if name in self.net.paused:
            self.net.resume(name)
        else:
            self.net.pause(name)

    @rule(data=st.data(), both=st.booleans())
    def cut(self, data, both):
        """Cut the first few names off from the others, in one direction or both."""
        split = data.draw(st.integers(1, len(self.names) - 1))
        left, right = self.names[:split], self.names[split:]
        for one in left:
            for other in right:
                self.cuts |= {(one, other)} | ({(other, one)} if both else set())
        self.affected.update(self.names)

    @rule()
    def heal(self):
        self.cuts.clear()

    @invariant()
    def only_affected_members_are_dead(self):
        if hasattr(self, "net"):
            assert all(one in self.affected or other in self.affected for one, other in dead_pairs(self.net))

    def teardown(self):
        """All running members agree within a time limit, also on the dead ones."""
        if not hasattr(self, "net"):
            return
        self.cuts.clear()
        for name in list(self.net.paused):
            self.net.resume(name)
        for name in self.names[:2]:  # a member that knows no other one only finds the seeds
            if name not in self.net.nodes:
                member(self.net, name, self.names, 9000)
        assert self.net.run(2 * DETECTION_PERIODS * PERIOD, lambda: agreed(self.net)), {
            name: machine.counts() for name, machine in self.net.nodes.items()
        }
        assert self.net.max_message_bytes <= MAX_PACKET_BYTES


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("size", [2, 3, 20, 60])
def test_dead_member_is_detected_by_all(size):
    net = fleet(size)
    net.kill(f"n{size - 1}")
    assert net.run(DETECTION_PERIODS * PERIOD, lambda: agreed(net))
    assert len(dead_pairs(net)) == size - 1


def test_suspected_member_refutes():
    """A faulty member keeps sending that n2 is suspected, with its current incarnation."""
    net = fleet(5)
    faulty = net.nodes["n4"]
    for _ in range(30):
        net.run(PERIOD)
        rumors = [Rumor("n2", MemberState.SUSPECT, net.nodes["n2"].gossip.incarnation)]
        for name in ("n0", "n1", "n3"):
            net.send(
                "n4",
                [
                    (
                        name,
                        Packet(PacketKind.GOSSIP, "n4", "n4", faulty.gossip.incarnation, rumors=rumors),
                    )
                ],
            )
    net.run(10 * PERIOD)
    assert dead_pairs(net) == set() and agreed(net)


def test_stale_update_does_not_revive_member():
    net = fleet(3)
    stale = [Rumor("n2", MemberState.ALIVE, net.nodes["n2"].gossip.incarnation, "n2")]
    net.kill("n2")
    net.run(DETECTION_PERIODS * PERIOD)
    for _ in range(20):
        net.run(PERIOD)
        net.send(
            "n1",
            [("n0", Packet(PacketKind.GOSSIP, "n1", "n1", net.nodes["n1"].gossip.incarnation, rumors=stale))],
        )
        assert "n2" not in view(net.nodes["n0"])
    assert len(dead_pairs(net)) == 2
    net.run((RETENTION + 100) * PERIOD)
    assert "n2" not in net.nodes["n0"].members  # it is forgotten in the end


def test_leaving_member_is_not_checked():
    net = fleet(4)
    leaving = net.nodes["n3"]
    net.send("n3", leaving.leave(net.now))
    net.run(PERIOD / 2)
    net.kill("n3")
    net.run(DETECTION_PERIODS * PERIOD)
    assert agreed(net) and dead_pairs(net) == set()
    member(net, "n3", ["n0"], 4000)
    assert net.run(5 * PERIOD, lambda: agreed(net))


def test_stopped_member_suspects_none_and_rejoins():
    net = fleet(5)
    net.pause("n1")
    net.run(DETECTION_PERIODS * PERIOD)
    net.kill("n4")  # meanwhile
    net.run(DETECTION_PERIODS * PERIOD)
    net.resume("n1")
    assert net.run(5 * PERIOD, lambda: agreed(net))
    assert {other for one, other in dead_pairs(net) if one == "n1"} <= {"n4"}


def test_partition_heals_soon():
    net = fleet(12)
    left = {f"n{number}" for number in range(5)}
    cut = True
    net.can_reach = lambda sender, to: not cut or (sender in left) == (to in left)
    assert net.run(
        2 * DETECTION_PERIODS * PERIOD,
        lambda: all(
            view(machine) == (left if name in left else set(net.nodes) - left)
            for name, machine in net.nodes.items()
        ),
    )
    cut = False
    assert net.run(DETECTION_PERIODS * PERIOD, lambda: agreed(net))


@pytest.mark.parametrize(("size", "seed"), [(60, 1), (60, 2), (100, 3)])
def test_small_partition_detects_the_rest(size, seed):
    """With one ping a period, and most updates sent to unreachable members, it took 80 periods among 100."""
    net = fleet(size, seed)
    left = {f"n{number}" for number in range(0, size, 20)}
    net.can_reach = lambda sender, to: (sender in left) == (to in left)
    assert net.run(
        size * 6 // 10 * PERIOD,
        lambda: all(
            view(machine) == (left if name in left else set(net.nodes) - left)
            for name, machine in net.nodes.items()
        ),
    ), f"seed {seed}"


def test_low_loss_starts_no_extra_checks():
    """More checks start only while most of them fail."""
    net = fleet(20, 5, NetworkFaults(loss=0.1))
    starts = set()
    for _ in range(60):
        net.run(PERIOD)
        starts |= {machine._new_checks for machine in net.nodes.values()}
    assert starts <= {1, 2, 4}  # now and then a member's only check in a period fails by losses
    assert sum(machine._new_checks > 1 for machine in net.nodes.values()) <= 2
    assert not dead_pairs(net)


def test_short_pause_is_tolerated():
    net = fleet(3)
    net.pause("n1")
    net.run((MAX_PAUSE - 2) * PERIOD)
    net.resume("n1")
    net.run(10 * PERIOD)
    assert agreed(net) and net.nodes["n1"].members


def test_extreme_incarnation_locks_out_no_member():
    net = fleet(3)
    highest = (1 << 48) - 1
    rumors = [Rumor("n1", MemberState.SUSPECT, highest), Rumor("n1", MemberState.ALIVE, highest, "nowhere")]
    for _ in range(10):
        for name in ("n0", "n1"):
            net.send("n2", [(name, Packet(PacketKind.GOSSIP, "n2", "n2", 1000, rumors=rumors))])
        net.run(3 * PERIOD)
    assert agreed(net) and net.nodes["n1"].gossip.incarnation < highest


# ---- codec --------------------------------------------------------------------------------------

PACKET = Packet(
    PacketKind.PING, "n0", "127.0.0.1:9", 7, rumors=[Rumor("n1", MemberState.SUSPECT, 3)], number=4
)


def test_packet_round_trip():
    for key in (b"", b"secret"):
        assert decode(encode(PACKET, key), key) == PACKET


@given(st.binary(max_size=64))
@settings(deadline=None, derandomize=True)
def test_random_bytes_are_rejected(data):
    with pytest.raises(BadPacketError):
        decode(data, b"")
    with pytest.raises(BadPacketError):
        decode(b"c1" + data, b"secret")


@given(st.data())
@settings(deadline=None, derandomize=True)
def test_modified_packet_is_rejected(data):
    authenticated = bytearray(encode(PACKET, b"secret"))
    authenticated[data.draw(st.integers(0, len(authenticated) - 1))] ^= data.draw(st.integers(1, 255))
    with pytest.raises(BadPacketError):
        decode(bytes(authenticated), b"secret")


@pytest.mark.parametrize(
    "packet",
    [
        Packet(PacketKind.PING, "", "a", 1),
        Packet(PacketKind.PING, "n" * 65, "a", 1),
        Packet(PacketKind.PING, "n", "a", -1),
        Packet(PacketKind.PING, "n", "a", 1 << 48),
        Packet(PacketKind.PING, "n", "a" * 65, 1),
        Packet(99, "n", "a", 1),
        Packet(PacketKind.BUDGET_REQUEST, "n", "a", 1, units=-1),
        Packet(PacketKind.GOSSIP, "n", "a", 1, rumors=[PACKET.rumors[0]] * 129),
    ],
)
def test_out_of_range_values_are_rejected(packet):
    with pytest.raises(BadPacketError):
        decode(encode(packet, b""), b"")


def test_packet_size_is_limited():
    with pytest.raises(ValueError, match="bytes"):
        encode(
            Packet(
                PacketKind.GOSSIP, "n", "a", 1, rumors=[Rumor("n" * 60, MemberState.ALIVE, 1, "a" * 60)] * 20
            ),
            b"",
        )
    with pytest.raises(BadPacketError, match="too long"):
        decode(b"c1" + bytes(MAX_PACKET_BYTES), b"")


def test_large_member_list_is_synced():
    """1,100 members, which one of them sends in pages."""
    net = Net(3, NetworkFaults())
    for name in ("n0", "n1"):
        member(net, name, ["n0"])
    for number in range(2, 1100):
        rumor = Rumor(f"n{number}", MemberState.ALIVE, 1, f"n{number}")
        net.nodes["n0"].handle_packet(net.now, Packet(PacketKind.GOSSIP, "n1", "n1", 1000, rumors=[rumor]))
    net.run(timedelta(milliseconds=900))
    assert len(net.nodes["n1"].members) >= 1099
