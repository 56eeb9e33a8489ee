"""Cost and effect of messages among schedulers, in virtual time: ``benchmarks/fleet_talk.py [--quick]``.

Measures the detection of deaths, false positives, bytes, healing after a partition, the maximum sum of lent
quotas, and attempts at a failing worker.  Times are in periods of one second.  The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Collection
from datetime import timedelta
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]
from ledger_world import partitions, run_ledgers  # noqa: E402
from virtual_net import SECOND, Net, NetworkFaults  # noqa: E402

from carthinge.fleet.codec import encode  # noqa: E402
from carthinge.fleet.fleet_node import FleetNode, Observations  # noqa: E402
from carthinge.fleet.membership import Membership  # noqa: E402
from carthinge.fleet.packets import MemberState, Packet, PacketKind, Rumor, Summary  # noqa: E402
from carthinge.fleet.quota_lending import OWN_UNITS  # noqa: E402

KEY = b"k" * 32
SUMMARY = Summary(1 << 40, 1 << 20, 1 << 38, 1.5, [(3, 2), (4, 1)], 12.5, 80.0, [(1 << 63, 1 << 24)])
FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 1.2, 8.8  # during which a failed worker is avoided


def encoded_size(packet: Packet) -> int:
    return len(encode(packet, KEY))


def fleet(size: int, seed: int, loss: float) -> Net:
    """Create members that know each other from the start, as joining is not measured."""
    net = Net(seed, NetworkFaults(loss, 0.01))
    rumors = [Rumor(f"scheduler-{at}", MemberState.ALIVE, 1000, f"scheduler-{at}") for at in range(size)]
    for at in range(size):
        name = f"scheduler-{at}"
        start = net.rng.random() * SECOND
        member = Membership(name, name, [rumors[0].name], SECOND, 1000, seed * 7919 + at, start)
        other = rumors[(at + 1) % size].name
        member.handle_packet(timedelta(), Packet(PacketKind.GOSSIP, other, other, 1000, rumors=rumors))
        member.gossip.rumors.clear()
        member.gossip.summary = SUMMARY
        member.state_changes.clear()
        net.add(name, member)
    return net


def count_deaths(net: Net) -> int:
    return sum(state is MemberState.DEAD for node in net.nodes.values() for _, state in node.state_changes)


def deaths(size: int, loss: float, victims: int, quiet: int) -> dict[str, Any]:
    """Run some quiet periods, and then kill one member after the other."""
    net = fleet(size, size + int(loss * 100), loss)
    net.run(2 * SECOND)
    net.size, before = encoded_size, net.messages
    net.run(quiet * SECOND)
    sent, messages, net.size = net.bytes, net.messages - before, None
    false_deaths, detection_times = count_deaths(net), []
    for victim in range(min(victims, size - 2)):
        name = f"scheduler-{size - 1 - victim}"
        net.kill(name)
        for node in net.nodes.values():
            node.state_changes.clear()
        began, unaware = net.now, set(net.nodes)
        for _ in range(1200):
            net.run(SECOND / 20)
            for other in list(unaware):
                if net.nodes[other].members[name].state is MemberState.DEAD:
                    unaware.discard(other)
                    detection_times.append((net.now - began).total_seconds())
            if not unaware:
                break
        false_deaths += sum(
            state is MemberState.DEAD and who != name
            for node in net.nodes.values()
            for who, state in node.state_changes
        )
    detection_times.sort()
    p50, p99 = len(detection_times) // 2, min(len(detection_times) - 1, int(0.99 * len(detection_times)))
    return {
        "p50": round(detection_times[p50], 1),
        "p99": round(detection_times[p99], 1),
        "found": len(detection_times),
        "false_deaths": false_deaths,
        "bytes_member_s": round(sent / size / quiet),
        "messages_member_s": round(messages / size / quiet, 1),
        "longest": net.max_message_bytes,
    }


def heal(size: int, every: int = 2) -> tuple[float, float]:
    """Return the periods until the sides of a partition, one in ``every`` and the others, consider each other
    dead, and the periods from its end until all have the same view."""
    net = fleet(size, size, 0.01)
    left = {name for at, name in enumerate(net.nodes) if at % every == 1}
    cut, began = True, net.now
    net.can_reach = lambda sender, to: not cut or (sender in left) == (to in left)
    while any(
        1 + len(node.live_members()) != (len(left) if name in left else size - len(left))
        for name, node in net.nodes.items()
    ):
        net.run(SECOND)
    cut, healed = False, net.now
    while any(1 + len(node.live_members()) < size for node in net.nodes.values()):
        net.run(SECOND / 10)
    return round((healed - began).total_seconds(), 1), round((net.now - healed).total_seconds(), 1)


def budget(quick: bool) -> float:
    """Return the maximum sum of all quota shares, relative to the whole, in every sequence of partitions."""
    partitions_by_size = {size: partitions([f"m{at}" for at in range(size)]) for size in (3, 4)}
    worst = max(
        run_ledgers(3, splits, (seed % 3,), seed).max_total / (3 * OWN_UNITS)
        for seed, splits in enumerate(product(partitions_by_size[3], repeat=3 if quick else 5))
    )
    return max(
        worst,
        max(
            run_ledgers(4, splits, (seed % 4,), seed).max_total / (4 * OWN_UNITS)
            for seed, splits in enumerate(product(partitions_by_size[4], repeat=1 if quick else 3))
        ),
    )


class ProbingScheduler:
    """A scheduler with occasional jobs for one worker that always fails."""

    WORKER = 77

    def __init__(self, net: Net, rng: Random) -> None:
        self.net, self.rng = net, rng
        self.strikes, self.next_attempt_at = 0, timedelta()
        self.attempts: list[timedelta] = []

    def observe(self, workers: Collection[int]) -> Observations:
        return Observations({self.WORKER: self.strikes} if self.strikes else {}, workers=100)

    def retry_budget_left(self) -> float:
        return 0.0

    def step(self, fleet_node: FleetNode | None) -> None:
        now = self.net.now
        shared = (
            fleet_node.view.ejections.avoid_until.get(self.WORKER, timedelta())
            if fleet_node is not None
            else timedelta()
        )
        if now >= max(self.next_attempt_at, shared):
            self.attempts.append(now)
            pause = min(FIRST_PAUSE_SECONDS * 2 ** min(self.strikes, 16), MAX_PAUSE_SECONDS)
            self.strikes += 1
            self.next_attempt_at = now + pause * self.rng.uniform(0.75, 1.25) * SECOND


def probes(size: int, with_talk: bool, seconds: int) -> dict[str, float]:
    """Return the attempts per second at one failing worker, in the first ten seconds and after that."""
    net = fleet(size, 5, 0.01)
    probing = {name: ProbingScheduler(net, Random(at)) for at, name in enumerate(net.nodes)}
    fleet_nodes = {}
    for at, (name, machine) in enumerate(list(net.nodes.items())):
        if with_talk:
            fleet_nodes[name] = net.nodes[name] = FleetNode(machine, 1, (), 1000 + at, probing[name], net.now)
            net._schedule(name)
    net.run(3 * SECOND)
    began = net.now
    for scheduler in probing.values():  # each gets a job within 1.5 seconds
        scheduler.next_attempt_at = began + scheduler.rng.uniform(0, 1.5) * SECOND
    for _ in range(seconds * 20):
        net.run(SECOND / 20)
        for name, scheduler in probing.items():
            scheduler.step(fleet_nodes.get(name))
    attempts = [(at - began).total_seconds() for scheduler in probing.values() for at in scheduler.attempts]
    later = [at for at in attempts if at >= 10]
    return {
        "first_10s": round((len(attempts) - len(later)) / 10, 2),
        "later": round(len(later) / (seconds - 10), 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer sizes, deaths and partitions")
    quick = parser.parse_args().quick
    sizes = (3, 20, 200) if quick else (3, 20, 200, 1100)
    result: dict[str, Any] = {"deaths": {}, "heal_periods": {}, "probes_per_bad_worker_s": {}}
    for size in sizes:
        for loss in (0.0, 0.05, 0.2):
            figures = deaths(size, loss, 3 if quick else 1 if size > 200 else 5, 5 if size > 100 else 40)
            result["deaths"][f"{size} at {loss:.0%}"] = figures
            print(size, loss, figures, flush=True)
    for size, every in ((20, 2), (200, 2), (200, 20)):  # 1,100 members take over 20 s per period
        figures = heal(size, every)
        result["heal_periods"][f"{size}, one in {every} cut off"] = figures
        print("cut, heal", size, every, figures, flush=True)
    result["budget_sum_worst"] = budget(quick)
    for size in (20, 200):
        for with_talk in (False, True):
            figures = probes(size, with_talk, 30 if quick else 60)
            result["probes_per_bad_worker_s"][f"{size}, {'with' if with_talk else 'without'} talk"] = figures
            print("probes", size, with_talk, figures, flush=True)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
