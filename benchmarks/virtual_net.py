"""A network of pure state machines in virtual time; messages are lost, duplicated and delayed.

Each node is a ``Machine``; addresses are names.  Used by tests as well.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from random import Random
from typing import Any, Protocol

from carthinge.fleet.packets import Packet

SECOND = timedelta(seconds=1)


class Machine(Protocol):
    def due(self) -> timedelta: ...
    def tick(self, now: timedelta) -> list[tuple[str, Packet]]: ...
    def handle_packet(self, now: timedelta, packet: Packet) -> list[tuple[str, Packet]]: ...


@dataclass
class NetworkFaults:
    """Faults of the network."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.001, 0.01)  # seconds, uniform; messages may be reordered


@dataclass
class Net:
    seed: int
    faults: NetworkFaults = field(default_factory=NetworkFaults)
    can_reach: Callable[[str, str], bool] = lambda sender, to: True  # False in a partition
    size: Callable[[Packet], int] | None = None  # size of a message, for counting bytes
    now: timedelta = timedelta()
    nodes: dict[str, Any] = field(default_factory=dict)
    paused: set[str] = field(default_factory=set)  # as by SIGSTOP: messages are buffered up to a limit
    messages: int = 0
    bytes: int = 0
    max_message_bytes: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self._heap: list[tuple[timedelta, int, str, Packet | None]] = []
        self._sequence = 0
        self._buffered: dict[str, list[Packet]] = {}
        self._due_times: dict[str, timedelta] = {}

    def add(self, name: str, machine: Machine) -> None:
        self.nodes[name] = machine
        self._due_times.pop(name, None)
        self._schedule(name)

    def kill(self, name: str) -> None:
        del self.nodes[name]
        self.paused.discard(name)

    def pause(self, name: str) -> None:
        self.paused.add(name)

    def resume(self, name: str) -> None:
        self.paused.discard(name)
        for packet in self._buffered.pop(name, []):
            self._deliver(name, packet)
        self.send(name, self.nodes[name].tick(self.now))
        self._schedule(name)

    def send(self, sender: str, outgoing: list[tuple[str, Packet]]) -> None:
        for to, packet in outgoing:
            if self.size is not None:
                size = self.size(packet)
                self.bytes += size
                self.max_message_bytes = max(self.max_message_bytes, size)
            self.messages += 1
            if not self.can_reach(sender, to):
                continue
            for _ in range(1 + (self.rng.random() < self.faults.duplication)):
                if self.rng.random() >= self.faults.loss:
                    self._push(self.now + self.rng.uniform(*self.faults.delay) * SECOND, to, packet)

    def run(self, duration: timedelta, until: Callable[[], bool] | None = None) -> bool:
        """Run on; return True as soon as ``until`` holds, which is checked after each event."""
        end = self.now + duration
        while self._heap and self._heap[0][0] <= end:
            self.now, _, name, packet = heappop(self._heap)
            node = self.nodes.get(name)
            if node is None:
                continue
            if packet is None:
                if self._due_times.get(name) != self.now:
                    continue  # replaced by an earlier one
                del self._due_times[name]
                if name in self.paused:
                    continue
                if node.due() <= self.now:
                    self.send(name, node.tick(self.now))
            elif name in self.paused:
                self._buffered.setdefault(name, []).append(packet)
                del self._buffered[name][200:]
                continue
            else:
                self._deliver(name, packet)
            self._schedule(name)
            if until is not None and until():
                return True
        self.now = end
        return False

    def _deliver(self, name: str, packet: Packet) -> None:
        self.send(name, self.nodes[name].handle_packet(self.now, packet))

    def _schedule(self, name: str) -> None:
        due = max(self.nodes[name].due(), self.now)
        if name not in self._due_times or due < self._due_times[name]:
            self._due_times[name] = due
            self._push(due, name, None)

    def _push(self, due: timedelta, name: str, packet: Packet | None) -> None:
        self._sequence += 1
        heappush(self._heap, (due, self._sequence, name, packet))
