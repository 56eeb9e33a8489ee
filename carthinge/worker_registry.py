"""The workers that a dispatcher knows from discovery, operators and peers.  No scheduling decisions."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from heapq import nlargest
from random import Random
from struct import Struct
from typing import Final

from carthinge import interface as io
from carthinge.records import Kind, Worker, mix
from carthinge.worker_list import MAX_GONE_WORKERS, MAX_LISTED_WORKERS

LOAD_ENTRY_FORMAT: Final = Struct("<HBB")
MAX_CACHED_KEYS: Final = 2048  # bounds the cache; a miss hashes the key with every worker


class Loads:
    """Codec of the message by which dispatchers share their outstanding load, coarsely rounded."""

    MAX_ENTRIES: Final = 64  # of one message

    @staticmethod
    def pack(workers: Iterable[Worker], rng: Random) -> bytes:
        """Encode the outstanding load; a random sample of the workers if not all fit."""
        loaded = [worker for worker in workers if worker.outstanding_slots > 0]
        if len(loaded) > Loads.MAX_ENTRIES:
            loaded = rng.sample(loaded, Loads.MAX_ENTRIES)
        return b"".join(
            LOAD_ENTRY_FORMAT.pack(
                worker.tag,
                min(255, round(worker.outstanding_slots * 8)),
                min(255, round(8 * math.log2(1 + worker.outstanding_work))),
            )
            for worker in loaded
        )

    @staticmethod
    def unpack(body: bytes) -> Iterator[tuple[int, float, float]]:
        """Decode the tag, slots and work of each entry."""
        for tag, slots, work in LOAD_ENTRY_FORMAT.iter_unpack(body):
            yield tag, slots / 8, 2 ** (work / 8) - 1


class Fleet:
    """All known workers, and pools of the ready ones by machine kind, ordered alike in all dispatchers."""

    __slots__ = (
        "_group_by_cell",
        "_groups",
        "_order_ranks",
        "_peers",
        "_pools",
        "_select_subset",
        "_workers_by_key",
        "excluded",
        "kinds",
        "subset",
        "version",
        "workers",
        "workers_by_tag",
    )

    def __init__(self, group_by_cell: bool, select_subset: Callable[[list[Worker]], list[Worker]]) -> None:
        self.workers: dict[int, Worker] = {}
        self.kinds: dict[int, Kind] = {}
        self.workers_by_tag: dict[int, Worker] = {}
        self.subset: list[Worker] = []  # the subset of the ready workers that this dispatcher prefers
        # Ids of workers excluded by operators; discovery may drop such a worker and list it again.
        self.excluded: set[int] = set()
        self.version = 0  # incremented whenever the list changes
        self._group_by_cell = group_by_cell  # order the workers by cell
        self._select_subset = select_subset
        self._pools: dict[int, list[Worker]] = {}
        self._workers_by_key: dict[int, list[Worker]] = {}
        self._peers: dict[int, list[tuple[Worker, float, float]]] = {}  # last message of each peer
        self._order_ranks: dict[int, int] = {}  # position in this dispatcher's own order, by worker id
        self._groups: dict[int, list[list[Worker]]] = {}  # of the cached pools and of ``subset``, by id()

    def add(self, entry: io.WorkerEntry, cap: float) -> Worker:
        """Add a worker that was not known before."""
        worker = Worker(entry, entry.worker, self.kinds.setdefault(entry.kind, Kind()), cap)
        self.workers[worker.id] = worker
        self.workers_by_tag.setdefault(worker.tag, worker)
        return worker

    def reset_worker(self, old: Worker, cap: float, now: int) -> Worker:
        """Replace a worker by a fresh record; its open attempts keep counting on the old one."""
        old.ready = False
        worker = self.add(old.entry, cap)
        worker.listed = old.listed
        worker.started = worker.back = now
        self.workers_by_tag[worker.tag] = worker
        return worker

    def mean_slowdown(self) -> float:
        """Return the mean slowdown over all known machine kinds."""
        return sum(kind.slowdown for kind in self.kinds.values()) / len(self.kinds) if self.kinds else 1.0

    def apply_list(self, event: io.WorkerList, cap: float) -> None:
        """Apply a worker list from discovery; ``cap`` is for workers not known before."""
        changed = event.listing is not io.Listing.CHANGES
        if changed:
            for worker in self.workers.values():
                worker.ready = worker.listed = False  # unless listed below
        for entry in event.entries:
            known = self.workers.get(entry.worker)
            if known is None:
                known, changed = self.add(entry, cap), True
            known.kind_stats = self.kinds.setdefault(entry.kind, known.kind_stats)
            changed |= known.apply_entry(entry, entry.worker in self.excluded)
        if changed:
            self._forget_gone()
            self.list_changed()

    def _forget_gone(self) -> None:
        """Forget workers that are gone and have no attempts, so that their number is bounded."""
        excess = len(self.workers) - MAX_LISTED_WORKERS - MAX_GONE_WORKERS
        if excess > 0:
            gone = [
                worker
                for worker in self.workers.values()
                if not (worker.listed or worker.outstanding_slots or worker.id in self.excluded)
            ]
            for worker in gone[:excess]:
                del self.workers[worker.id]
                if self.workers_by_tag.get(worker.tag) is worker:
                    del self.workers_by_tag[worker.tag]

    def remap_kinds(self, kinds: Sequence[int] | None) -> None:
        """Move the statistics of each machine kind to its new position after a change of settings.

        ``kinds`` has the old position of each kind, -1 for a new one; None if all stay as they are.
        """
        if kinds is not None:
            old_kinds, self.kinds = self.kinds, {}
            self.kinds.update({new: old_kinds[old] for new, old in enumerate(kinds) if old in old_kinds})
        self.list_changed()

    def set_excluded(self, event: io.OperatorExclusion, cap: float, now: int) -> None:
        """Exclude a worker whatever is listed, or end that: then it starts cold and with no history."""
        worker = self.workers.get(event.worker)
        if worker and event.worker in self.excluded and not event.excluded:
            worker = self.reset_worker(worker, cap, now)
        (self.excluded.add if event.excluded else self.excluded.discard)(event.worker)
        if worker:
            worker.ready = worker.listed and worker.entry.state is io.State.READY and not event.excluded
        self.list_changed()

    def apply_peer_load(self, event: io.Message) -> None:
        """Replace a peer's outstanding load by that of its latest message."""
        for worker, slots, work in self._peers.pop(event.sender, ()):
            worker.peer_slots -= slots
            worker.peer_work -= work
        loads = self._peers[event.sender] = [
            (self.workers_by_tag[tag], slots, work)
            for tag, slots, work in Loads.unpack(event.body)
            if tag in self.workers_by_tag
        ]
        for worker, slots, work in loads:
            worker.peer_slots += slots
            worker.peer_work += work

    def excluded_count(self, now: int) -> int:
        """Count the listed workers that currently get no jobs, whether excluded by operators or avoided."""
        return sum(
            worker.listed and (worker.id in self.excluded or worker.avoid_until > now)
            for worker in self.workers.values()
        )

    def record_slots(self, kind: Kind, slots: float, rated: bool) -> None:
        """Record the slots that a worker of a kind reported; scale those of other kinds if ratings are sizes.

        Without that, a kind whose slots another dispatcher keeps full would never report free ones: this
        dispatcher would not use it, and its own jobs would wait.
        """
        if slots <= kind.slots:
            return
        kind.slots = slots
        for other in self.kinds.values() if rated and kind.size > 0 else ():
            other.slots = max(other.slots, round(slots * other.size / kind.size))

    def list_changed(self) -> None:
        """Drop the caches; to be called after any change of the list."""
        self.version += 1
        self._pools.clear()
        self._groups.clear()
        self._workers_by_key.clear()
        self._order_ranks.clear()
        for worker in self.subset:
            worker.in_subset = False
        self.subset = self._select_subset(self.pool(-1))
        for worker in self.subset:
            worker.in_subset = True

    def pool(self, kind: int) -> list[Worker]:
        """Return the ready workers of a machine kind (-1 for all), cached until the list changes."""
        pool = self._pools.get(kind)
        if pool is None:
            ready = [worker for worker in self.workers.values() if worker.ready]
            pool = sorted((w for w in ready if kind in (-1, w.entry.kind)), key=self._sort_key)
            self._pools[kind] = pool
        return pool

    def by_kind(self, pool: list[Worker]) -> list[list[Worker]]:
        """Return a pool's workers grouped by kind: kinds are few, so sampling need not scan the pool."""
        groups = self._groups.get(id(pool))
        if groups is None:
            found: dict[int, list[Worker]] = {}
            for worker in pool:
                found.setdefault(id(worker.kind_stats), []).append(worker)
            groups = list(found.values())
            if pool is self.subset or any(pool is kept for kept in self._pools.values()):
                self._groups[id(pool)] = groups
        return groups

    def preference_order(self, pool: list[Worker], settings: io.Settings) -> list[Worker]:
        """Return a pool in this dispatcher's own order.

        The first worker follows from the dispatcher's position, so that all dispatchers together cover the
        workers evenly; the rest is ordered by hashes with the position.
        """
        if not self._order_ranks and (fleet := self.pool(-1)):
            start = settings.position * len(fleet) // settings.instances % len(fleet)
            position_hash = mix(settings.position + 1)
            rest = sorted(
                fleet[:start] + fleet[start + 1 :], key=lambda worker: mix(worker.point ^ position_hash)
            )
            self._order_ranks = {worker.id: rank for rank, worker in enumerate([fleet[start], *rest])}
        return sorted(pool, key=lambda worker: self._order_ranks.get(worker.id, len(self._order_ranks)))

    def workers_for_key(self, key: int, count: int) -> list[Worker]:
        """Return the workers that a key belongs to, by rendezvous hashing; the first most likely holds it.

        Each worker gets the same number of keys, and only the keys of a leaving worker move.
        """
        homes = self._workers_by_key.get(key, [])
        if len(homes) < min(count, len(pool := self.pool(-1))):
            if len(self._workers_by_key) >= MAX_CACHED_KEYS:
                self._workers_by_key.clear()
            key_hash = mix(key)
            homes = self._workers_by_key[key] = nlargest(
                count, pool, key=lambda worker: mix(worker.point ^ key_hash)
            )
        return homes[:count]

    def _sort_key(self, worker: Worker) -> int:
        return worker.point + (mix(worker.entry.cell + 1) << 64 if self._group_by_cell else 0)
