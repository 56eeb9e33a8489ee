"""The workers that a dispatcher knows, by what discovery, operators and peers tell; no decisions."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from heapq import nlargest
from random import Random
from struct import Struct
from typing import Final

from carthinge import interface as io
from carthinge.records import Kind, Worker, mix

LOAD_ENTRY: Final = Struct("<HBB")
HOMES_KEPT: Final = 2048  # keys whose workers are not looked for anew: to hash with all costs time


class Loads:
    """A message that tells other dispatchers, coarsely, what this one has out."""

    MOST: Final = 64  # entries fill a message

    @staticmethod
    def pack(workers: Iterable[Worker], rng: Random) -> bytes:
        """Encode what is out at workers, as many as fit a message."""
        out = [worker for worker in workers if worker.slots_out > 0]
        if len(out) > Loads.MOST:
            out = rng.sample(out, Loads.MOST)
        return b"".join(
            LOAD_ENTRY.pack(
                worker.tag,
                min(255, round(worker.slots_out * 8)),
                min(255, round(8 * math.log2(1 + worker.work_out))),
            )
            for worker in out
        )

    @staticmethod
    def unpack(body: bytes) -> Iterator[tuple[int, float, float]]:
        """Tag, slots and work of each entry."""
        for tag, slots, work in LOAD_ENTRY.iter_unpack(body):
            yield tag, slots / 8, 2 ** (work / 8) - 1


class Fleet:
    """All known workers, and the listed ones by machine kind in an order that all dispatchers share."""

    __slots__ = (
        "_groups",
        "_homes",
        "_part",
        "_peers",
        "_pools",
        "_ranks",
        "_together",
        "kinds",
        "near",
        "out",
        "tags",
        "version",
        "workers",
    )

    def __init__(self, together: bool, part: Callable[[list[Worker]], list[Worker]]) -> None:
        self.workers: dict[int, Worker] = {}
        self.kinds: dict[int, Kind] = {}
        self.tags: dict[int, Worker] = {}
        self.near: list[Worker] = []  # the part of the whole fleet that ``part`` chooses
        self.out: set[int] = set()  # by hand: ids, since discovery may drop a worker and list it again
        self.version = 0  # of what is listed
        self._together = together  # workers of a cell stand side by side
        self._part = part
        self._pools: dict[int, list[Worker]] = {}
        self._homes: dict[int, list[Worker]] = {}
        self._peers: dict[int, list[tuple[Worker, float, float]]] = {}  # what each has told of last
        self._ranks: dict[int, int] = {}  # slots in one dispatcher's own order, by id
        self._groups: dict[int, list[list[Worker]]] = {}  # of the pools kept here and of ``near``, by id()

    def add(self, entry: io.WorkerEntry, cap: float) -> Worker:
        """Takes in a worker not met before."""
        worker = Worker(entry, entry.worker, self.kinds.setdefault(entry.kind, Kind()), cap)
        self.workers[worker.id] = worker
        self.tags.setdefault(worker.tag, worker)
        return worker

    def anew(self, old: Worker, cap: float, now: int) -> Worker:
        """Forgets a worker's past; attempts from before go on counting on the old record."""
        old.ready = False
        worker = self.add(old.entry, cap)
        worker.listed = old.listed
        worker.started = worker.back = now
        self.tags[worker.tag] = worker
        return worker

    def mean_pace(self) -> float:
        """Over the kinds that are known."""
        return sum(kind.pace for kind in self.kinds.values()) / len(self.kinds) if self.kinds else 1.0

    def take(self, event: io.WorkerList, cap: float) -> None:
        """What discovery lists; ``cap`` is for workers not met before."""
        changed = event.listing is not io.Listing.CHANGES
        if changed:
            for worker in self.workers.values():
                worker.ready = worker.listed = False  # unless it is named below
        for entry in event.entries:
            known = self.workers.get(entry.worker)
            if known is None:
                known, changed = self.add(entry, cap), True
            known.pool = self.kinds.setdefault(entry.kind, known.pool)
            changed |= known.renew(entry, entry.worker in self.out)
        if changed:
            self.renew()

    def retune(self, kinds: Sequence[int] | None) -> None:
        """Other settings hold: what was learned of a machine kind goes on under its position now.

        ``kinds``: for each of them its position before, -1 for a new one, None where all stay as they are.
        """
        if kinds is not None:
            before, self.kinds = self.kinds, {}
            self.kinds.update({now: before[was] for now, was in enumerate(kinds) if was in before})
        self.renew()

    def by_hand(self, event: io.ByHand, cap: float, now: int) -> None:
        """Out until it is put back, whatever is listed; then it is cold, and nothing learned of it holds."""
        worker = self.workers.get(event.worker)
        if worker and event.worker in self.out and not event.out:
            worker = self.anew(worker, cap, now)
        (self.out.add if event.out else self.out.discard)(event.worker)
        if worker:
            worker.ready = worker.listed and worker.entry.state is io.State.READY and not event.out
        self.renew()

    def told(self, event: io.Message) -> None:
        """What another dispatcher has out, in place of what it told of before."""
        for worker, slots, work in self._peers.pop(event.sender, ()):
            worker.peer_slots -= slots
            worker.peer_work -= work
        loads = self._peers[event.sender] = [
            (self.tags[tag], slots, work) for tag, slots, work in Loads.unpack(event.body) if tag in self.tags
        ]
        for worker, slots, work in loads:
            worker.peer_slots += slots
            worker.peer_work += work

    def excluded(self, now: int) -> int:
        """How many of the listed workers get nothing just now, by hand or by choice."""
        return sum(
            worker.listed and (worker.id in self.out or worker.avoid_until > now)
            for worker in self.workers.values()
        )

    def shown(self, kind: Kind, slots: float, rated: bool) -> None:
        """A worker of a kind has shown so many slots; where ratings tell sizes, others have theirs by size.

        Guards against a kind that is never seen with its slots free, since another dispatcher fills them:
        this one would leave it to the other, and its own jobs would wait.
        """
        if slots <= kind.slots:
            return
        kind.slots = slots
        for other in self.kinds.values() if rated and kind.size > 0 else ():
            other.slots = max(other.slots, round(slots * other.size / kind.size))

    def renew(self) -> None:
        """To be called when the list has changed."""
        self.version += 1
        self._pools.clear()
        self._groups.clear()
        self._homes.clear()
        self._ranks.clear()
        for worker in self.near:
            worker.near = False
        self.near = self._part(self.pool(-1))
        for worker in self.near:
            worker.near = True

    def pool(self, kind: int) -> list[Worker]:
        """The listed workers that run such jobs (-1: all), put together again only after a change."""
        pool = self._pools.get(kind)
        if pool is None:
            ready = [worker for worker in self.workers.values() if worker.ready]
            pool = sorted((w for w in ready if kind in (-1, w.entry.kind)), key=self._place)
            self._pools[kind] = pool
        return pool

    def by_kind(self, pool: list[Worker]) -> list[list[Worker]]:
        """A pool's workers by their kinds, which are few: whoever draws need not look at all of them."""
        groups = self._groups.get(id(pool))
        if groups is None:
            found: dict[int, list[Worker]] = {}
            for worker in pool:
                found.setdefault(id(worker.pool), []).append(worker)
            groups = list(found.values())
            if pool is self.near or any(pool is kept for kept in self._pools.values()):
                self._groups[id(pool)] = groups
        return groups

    def order(self, pool: list[Worker], settings: io.Settings) -> list[Worker]:
        """A pool in an order of one dispatcher's own: the first are so that all together cover each worker
        alike, the rest goes by hashes with its position.
        """
        if not self._ranks and (fleet := self.pool(-1)):
            start = settings.position * len(fleet) // settings.instances % len(fleet)
            mixed = mix(settings.position + 1)
            rest = sorted(fleet[:start] + fleet[start + 1 :], key=lambda worker: mix(worker.point ^ mixed))
            self._ranks = {worker.id: rank for rank, worker in enumerate([fleet[start], *rest])}
        return sorted(pool, key=lambda worker: self._ranks.get(worker.id, len(self._ranks)))

    def homes(self, key: int, count: int) -> list[Worker]:
        """The workers that a key belongs to, the first most likely to keep it: those of the highest hashes
        with it, so that each worker gets as many keys as any other, and only a leaving one's keys move.
        """
        homes = self._homes.get(key, [])
        if len(homes) < min(count, len(pool := self.pool(-1))):
            if len(self._homes) >= HOMES_KEPT:
                self._homes.clear()
            mixed = mix(key)
            homes = self._homes[key] = nlargest(count, pool, key=lambda worker: mix(worker.point ^ mixed))
        return homes[:count]

    def _place(self, worker: Worker) -> int:
        return worker.point + (mix(worker.entry.cell + 1) << 64 if self._together else 0)
