"""A simulation whose schedulers exchange messages through the fleet's pure state machines."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta
from random import Random
from typing import Any

from carthinge import interface as io
from carthinge.fleet.fleet_node import FleetNode, Observations
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import MemberState, Packet, PacketKind, Rumor
from carthinge.model import Simulation
from carthinge.model.virtual_clock import MICROSECOND, micros
from carthinge.scheduler.fleet_adapter import FleetAdapter

DELAY_US = 500  # of a message


class TalkEndpoint:
    """The fleet node of one scheduler, from a start to the next."""

    def __init__(self, simulation: TalkingSimulation, position: int, restarts: int) -> None:
        self.simulation, self.scheduler = simulation, simulation.schedulers[position]
        self.module: Any = self.scheduler.module
        self.adapter = FleetAdapter(self.module, {}, len(simulation.world.job_profiles))
        self.name, self._seen_changes, self._due = f"s{position}", 0, 0
        rng, now = Random(f"{simulation.seed}/talk/{position}/{restarts}"), simulation.clock.now * MICROSECOND
        member = Membership(
            self.name,
            self.name,
            ["s0", "s1"],
            simulation.period,
            1000 + restarts,
            rng.getrandbits(60),
            now + rng.random() * simulation.period,
        )
        if not restarts:  # members know each other from the start, as joining is not measured
            other = f"s{(position + 1) % len(simulation.schedulers)}"
            member.handle_packet(now, Packet(PacketKind.GOSSIP, other, other, 1000, rumors=simulation.rumors))
            member.gossip.rumors.clear()
            member.gossip.take_queued()
        self.fleet_node = FleetNode(
            member, 7, (), rng.getrandbits(40), self, now + rng.random() * simulation.period
        )
        self.module.handle(simulation.clock.now, [io.FleetView()])
        self.schedule_tick()

    def observe(self, workers: Collection[int]) -> Observations:
        return self.adapter.observe(workers, self.simulation.clock.now)

    def retry_budget_left(self) -> float:
        return float(self.module.context.retry_budget.retries_left)

    def receive(self, packet: Packet) -> None:
        if self.scheduler.module is self.module:
            self._handle_result(
                self.fleet_node.handle_packet(self.simulation.clock.now * MICROSECOND, packet)
            )

    def schedule_tick(self) -> None:
        due = max(self.simulation.clock.now + 1, -(-self.fleet_node.due() // MICROSECOND))
        if not self._due or due < self._due:
            self._due = due
            self.simulation.clock.call_at(due, self._tick, due)

    def _tick(self, due: int) -> None:
        if due == self._due and self.scheduler.module is self.module:
            self._due = 0
            self._handle_result(self.fleet_node.tick(due * MICROSECOND))

    def _handle_result(self, outgoing: list[tuple[str, Packet]]) -> None:
        if self.fleet_node.changes != self._seen_changes:
            self._seen_changes = self.fleet_node.changes
            self.scheduler.handle_event(self.adapter.view(self.fleet_node, ()))
        for to, packet in outgoing:
            self.simulation.deliver(to, packet)
        self.schedule_tick()


class TalkingSimulation(Simulation):
    """A simulation with messages every ``period``; none is lost."""

    def __init__(self, *arguments: Any, period: timedelta = timedelta(seconds=1)) -> None:
        super().__init__(*arguments)
        self.period, self.messages = period, 0
        self.endpoints: dict[str, TalkEndpoint] = {}
        names = [f"s{scheduler.position}" for scheduler in self.schedulers]
        self.rumors = [Rumor(name, MemberState.ALIVE, 1000, name) for name in names]

    def _start_scheduler(self, scheduler: Any, listed: tuple[io.WorkerEntry, ...], restarts: int = 0) -> None:
        super()._start_scheduler(scheduler, listed, restarts)
        self.endpoints[f"s{scheduler.position}"] = TalkEndpoint(self, scheduler.position, restarts)

    def deliver(self, to: str, packet: Packet) -> None:
        self.messages += 1
        if to in self.endpoints:
            self.clock.call_at(self.clock.now + DELAY_US, self.endpoints[to].receive, packet)

    def period_us(self) -> int:
        return micros(self.period)
