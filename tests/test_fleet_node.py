"""The whole protocol among five members in virtual time: levels, shares, ejections and a faulty member."""

import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from virtual_net import SECOND, Net, NetworkFaults

from carthinge.fleet.codec import encode
from carthinge.fleet.fleet_node import FleetNode, Observations
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import UINT48_LIMIT, MemberState, Packet, PacketKind, Rumor, Summary


class FakeScheduler:
    """A scheduler with the observations that a test sets."""

    def __init__(self, **facts):
        self.facts = {"fill_levels": {1: 0.5}, "workers": 20, **facts}

    def observe(self, workers):
        healthy_at = self.facts.get("healthy_at", {})
        return Observations(
            **{**self.facts, "healthy_at": {at: healthy_at[at] for at in workers if at in healthy_at}}
        )

    def retry_budget_left(self):
        return self.facts["retries_left"]


@pytest.fixture
def net():
    net = Net(4, NetworkFaults(0.02, 0.1))
    net.schedulers = {}
    for number in range(5):
        name = f"n{number}"
        member = Membership(name, name, ["n0"], SECOND, 1000, number, net.now)
        net.schedulers[name] = FakeScheduler()
        net.add(name, FleetNode(member, 7, [1], number + 1, net.schedulers[name], net.now))
    assert net.run(40 * SECOND, lambda: all(node.view.voters == 5 for node in net.nodes.values()))
    return net


def test_members_agree_on_median_level(net):
    for name, level in zip(net.nodes, (0, 0, 2, 3, 90), strict=True):
        net.schedulers[name].facts.update(levels={5: level} if level else {}, pressure=float(level))
    assert net.run(20 * SECOND, lambda: all(node.view.levels == {5: 2} for node in net.nodes.values()))
    assert all(node.view.pressure == 2.0 for node in net.nodes.values())
    for scheduler in net.schedulers.values():
        scheduler.facts.update(levels={})
    assert net.run(20 * SECOND, lambda: not any(node.view.levels for node in net.nodes.values()))


def test_shares_move_to_busy_member_and_back(net):
    net.run(12 * SECOND)  # loans of a previous run have expired
    for name, scheduler in net.schedulers.items():
        scheduler.facts["fill_levels"] = {1: 0.0 if name == "n1" else 1.0}
    assert net.run(
        20 * SECOND, lambda: shares_within_total(net) and net.nodes["n1"].view.quota_shares[1] > 1.4
    )
    net.run(30 * SECOND, lambda: not shares_within_total(net))
    for scheduler in net.schedulers.values():
        scheduler.facts["fill_levels"] = {1: 0.5}
    assert net.run(
        30 * SECOND,
        lambda: shares_within_total(net)
        and all(node.view.quota_shares[1] == 1.0 for node in net.nodes.values()),
    )


def test_retries_move_to_busy_member(net):
    for name, scheduler in net.schedulers.items():
        scheduler.facts |= {"max_retries": 8.0, "retries_left": 0.0 if name == "n1" else 8.0}
    transferred = dict.fromkeys(net.nodes, 0.0)
    for _ in range(40):
        net.run(SECOND)
        for name, node in net.nodes.items():
            transferred[name] += node.take_transferred_retries()
    assert transferred["n1"] > 8 and sum(transferred.values()) <= 0
    assert all(transferred[name] < 0 for name in net.nodes if name != "n1")


def shares_within_total(net):
    """Check the shares that the dispatchers use, and not only the ledgers."""
    assert sum(node.view.quota_shares[1] for node in net.nodes.values()) <= 5
    return True


def test_other_quotas_are_other_budgets(net):
    for node in net.nodes.values():
        node.apply_settings(net.now, 8, [2])
    net.run(3 * SECOND)
    assert all(list(node.view.quota_shares) == [2] for node in net.nodes.values())


def test_ejection_ends_when_trier_succeeds(net):
    for name in ("n2", "n3"):
        net.schedulers[name].facts["failures"] = {9: 1}
    assert net.run(
        5 * SECOND, lambda: all(node.view.ejections.suspected_count == 1 for node in net.nodes.values())
    )
    net.run(3 * SECOND)
    (trier,) = (name for name, node in net.nodes.items() if node.view.ejections.to_try)
    assert sum(9 in node.view.ejections.avoid_until for node in net.nodes.values()) == 4
    net.schedulers[trier].facts.update(failures={}, healthy_at={9: net.now})
    assert net.run(
        10 * SECOND, lambda: not any(node.view.ejections.suspected_count for node in net.nodes.values())
    )


def test_faulty_member_has_one_vote(net):
    """It sends wrong levels, pressure and suspicions, invalid or old summaries and unrequested grants."""
    faulty = net.nodes.pop("n4")
    for name in net.nodes:
        net.schedulers[name].facts.update(levels={5: 2}, pressure=1.0, fill_levels={1: 0.0})
    for step in range(1, 40):
        summary = Summary(
            99,
            step * 10**6 if step % 7 else 1,
            7,
            1e6 if step % 3 else float("nan"),
            [(5, 100)],
            suspected=[(number, 0) for number in range(8)],
            healthy=[(9, 0)],
        )
        for name in net.nodes:
            for packet in (
                Packet(
                    PacketKind.GOSSIP,
                    "n4",
                    "n4",
                    faulty.membership.gossip.incarnation,
                    summary=summary,
                ),
                Packet(
                    PacketKind.GRANT,
                    "n4",
                    "n4",
                    faulty.membership.gossip.incarnation,
                    number=step,
                    budget_id=1,
                    units=1 << 20,
                ),
            ):
                net.send("n4", [(name, packet)])
        net.run(SECOND / 4)
    for node in net.nodes.values():
        assert node.view.levels == {5: 2} and node.view.pressure == 1.0
        assert not node.view.ejections.suspected_count and node.view.quota_shares[1] <= 1.5
        assert node.metrics()["summaries_refused"] > 0


UINTS48, FLOATS = st.integers(0, UINT48_LIMIT - 1), st.floats(min_value=0)
NAMES = st.one_of(st.sampled_from(["n0", "n1", "n2"]), st.text(min_size=1, max_size=64))
AGES = st.lists(st.tuples(st.integers(0, 2**64 - 1), UINTS48), max_size=8)
SUMMARIES = st.builds(
    Summary,
    UINTS48,
    UINTS48,
    st.sampled_from([7, 8]),
    st.floats(),
    st.lists(st.tuples(st.integers(0, 1 << 20), st.integers(0, 100)), max_size=32),
    FLOATS,
    FLOATS,
    AGES,
    AGES,
)
RUMORS = st.builds(Rumor, NAMES, st.sampled_from(MemberState), UINTS48, st.one_of(NAMES, st.just("")))
PACKETS = st.builds(
    Packet,
    st.sampled_from(PacketKind),
    NAMES,
    NAMES,
    UINTS48,
    st.sampled_from(MemberState),
    UINTS48,
    UINTS48,
    NAMES,
    UINTS48,
    st.one_of(NAMES, st.just("")),
    st.lists(RUMORS, max_size=5),
    st.one_of(st.none(), SUMMARIES),
    st.sampled_from([0, 1, 9]),
    st.integers(0, 1 << 20),
)


@given(st.lists(PACKETS, min_size=1, max_size=30))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_valid_packets_give_valid_replies(packets):
    scheduler = FakeScheduler(
        failures={number: 1 for number in range(20)}, levels={number: 1 for number in range(90)}
    )
    node = FleetNode(
        Membership("n0", "n0", ["n1"], SECOND, 1000, 1, 0 * SECOND), 7, [1], 1, scheduler, 0 * SECOND
    )
    for at, packet in enumerate(packets):
        for _, sent in [*node.tick(at * SECOND / 3), *node.handle_packet(at * SECOND / 3, packet)]:
            # Longer addresses only come back to their own sender.
            if len(packet.relay_to.encode()) + len(packet.address.encode()) <= 128:
                encode(sent, b"key")
