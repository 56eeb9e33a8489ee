"""What a dispatcher keeps of workers, jobs, attempts and tenants: records and meters, no decisions."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from random import Random
from struct import Struct
from typing import Final

from carthinge import interface as io

HASH_STEP: Final = 0x9E3779B97F4A7C15
MASK: Final = (1 << 64) - 1
STRONGEST: Final = 1e6  # slots
RATE_MEMORY: Final = 10.0  # seconds
LOAD_ENTRY: Final = Struct("<HBB")
SMALL_HEAP: Final = 64  # entries; below that nothing is gained by sweeping what is over


def mix(value: int) -> int:
    """A hash that is the same in every process, unlike hash() of text."""
    value = (value ^ (value >> 31)) * HASH_STEP & MASK
    value = (value ^ (value >> 29)) * HASH_STEP & MASK
    return value ^ (value >> 32)


@dataclass(slots=True, eq=False)
class Kind:
    """What has been learned of a machine kind, for workers not yet known one by one."""

    pace: float = 1.0  # running time over hinted work
    slots: float = 0.0  # 0 until a report showed some
    size: float = 0.0  # the largest rating seen


@dataclass(slots=True, eq=False)
class Worker:
    """One worker as this dispatcher sees it."""

    entry: io.WorkerEntry
    id: int
    pool: Kind
    cap: float  # outstanding slots beyond which it counts as busy
    started: int = -1  # when it last started, or was put back by hand
    back: int = 0  # when it was put back by hand
    listed: bool = False  # in any state but gone
    ready: bool = False  # listed so, and not taken out by hand
    near: bool = False  # in this gateway's part of the fleet
    slots_out: float = 0.0
    work_out: float = 0.0
    peer_slots: float = 0.0
    peer_work: float = 0.0
    pace: float = 0.0  # 0 until one of its own jobs was timed
    free: float = 0.0  # reported free slots less what was sent since
    free_at: int = -1  # -1 while there is no report
    avoid_until: int = 0
    strikes: int = 0  # doubts since the last sign of it
    refusals: int = 0  # in a row
    errors: int = 0  # in a row
    heard_at: int = 0
    sent_at: int = -(1 << 62)  # when it last got a job from here, long ago for never
    well_at: int = 0  # when a job last ended there within its usual span
    cold_slot: int = -1  # while cold: the span of time that the allowance is for
    cold_left: float = 0.0  # work it may still get from here in that span
    point: int = field(init=False)  # its place on the hash ring, mixed once

    def __post_init__(self) -> None:
        self.point = mix(self.id)

    @property
    def tag(self) -> int:
        """Names it in messages."""
        return self.point & 0xFFFF

    def carry(self, job: Job) -> None:
        """An attempt of this job is out here from now on."""
        self.slots_out += job.slots
        self.work_out += job.work

    def put_down(self, job: Job) -> None:
        """That attempt has ended; what the job's figures were rounded to must not leave a debt."""
        self.slots_out = max(0.0, self.slots_out - job.slots)
        self.work_out = max(0.0, self.work_out - job.work)

    def held(self) -> float:
        """Slots that it is known to be asked for."""
        return self.slots_out + self.peer_slots

    def strength(self) -> float:
        """Work that it does in a unit of time when warm, by what its kind has shown and been listed as."""
        # Guards against a spoilt list or report: the sum over a fleet must be a number.
        return min(self.pool.slots or self.pool.size or 1.0, STRONGEST) / self.pool.pace

    def known_pace(self) -> float:
        """Its own pace, or its kind's until one of its jobs was timed."""
        return self.pace or self.pool.pace


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job."""

    job: Job
    number: int
    worker: Worker
    entry: io.WorkerEntry  # as listed when it was sent: it tells the group
    sent: int
    expected: float  # time from the send to its first sign
    begun: int = 0
    sign: int = 0  # when its worker last told of it, 0 for never
    open: bool = True
    alone: bool = True  # a slot was free: its time is its own, not the queue's
    may_have_run: bool = True  # until an outcome proves the contrary

    def over(self) -> bool:
        """No timer can do anything about it any more, now or later."""
        job = self.job
        called_off = job.hedged and not self.begun and self.may_have_run
        return job.streaming or not (called_off or self.open and not job.answered)


@dataclass(slots=True, eq=False)
class Job:
    """One client request from its arrival to the last outcome of its attempts."""

    id: int
    spec: io.JobClass
    queue: TenantQueue
    key: int
    give_up: int
    came: int
    work: float
    slots: float
    cost: float  # fixed on arrival, whatever is learned later
    rank: float
    tries: int  # attempts it may have at the most, by the settings it came under
    attempts: list[Attempt] = field(default_factory=list)
    open: int = 0
    queued: int = 0  # when it last joined its heap
    answered: bool = False
    waiting: bool = False
    streaming: bool = False
    silent: bool = False  # called off at a worker where it had begun and gave no sign
    hedged: bool = False  # a copy may be sent as soon as it seems to wait in a queue
    bearable: float = 0.0  # the wait at a worker beyond which it counts as busy for this job
    choice: Worker | None = None  # the pick for it, made when its head was found dispatchable
    look_at: int = 0  # a blocked head is not picked for before
    list_seen: int = -1  # the list as it was then

    def over(self) -> bool:
        """The same for the job: once it is answered, it neither waits nor can be called off."""
        return self.answered

    def never_ran(self) -> bool:
        return not any(attempt.may_have_run for attempt in self.attempts)


class TenantQueue:
    """A tenant's class: its pending heap and its credit."""

    __slots__ = ("heap", "deficit", "quantum", "most")

    def __init__(self, quantum: float) -> None:
        self.heap: list[tuple[float, int, int, Job]] = []
        self.deficit = 0.0
        self.quantum = quantum
        self.most = SMALL_HEAP  # entries at which those that wait no more are swept out

    def push(self, entry: tuple[float, int, int, Job]) -> None:
        """Guards against a long queue that is kept longer by jobs answered while they waited in it."""
        if len(self.heap) >= self.most:
            self.heap = [other for other in self.heap if other[-1].waiting]
            heapify(self.heap)
            self.most = max(SMALL_HEAP, 2 * len(self.heap))
        heappush(self.heap, entry)

    def head(self) -> Job | None:
        """The first job still waiting; those answered meanwhile are dropped here."""
        heap = self.heap
        while heap and not heap[0][-1].waiting:
            heappop(heap)
        return heap[0][-1] if heap else None


@dataclass(slots=True, eq=False)
class Rate:
    """A decaying rate of what is added to it."""

    per_s: float = 0.0
    since: int = 0

    def add(self, amount: float, now: int) -> None:
        self.per_s *= math.exp((self.since - now) / 1e6 / RATE_MEMORY)
        self.per_s += amount / RATE_MEMORY
        self.since = now


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket; one without a rate never runs empty."""

    per_s: float
    depth: float
    level: float
    since: int = 0

    def take(self, now: int) -> bool:
        """Takes one token; False where there is none."""
        if self.per_s <= 0:
            return True
        self.level = min(self.level + self.per_s * (now - self.since) / 1e6, self.depth)
        self.since = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Loads:
    """A message that tells other dispatchers, coarsely, what this one has out."""

    MOST: Final = 64  # entries fill a message

    @staticmethod
    def pack(workers: Iterable[Worker], rng: Random) -> bytes:
        out = [worker for worker in workers if worker.slots_out > 0]
        if len(out) > Loads.MOST:
            out = rng.sample(out, Loads.MOST)
        return b"".join(
            LOAD_ENTRY.pack(worker.tag, min(255, round(worker.slots_out * 8)),
                            min(255, round(8 * math.log2(1 + worker.work_out)))) for worker in out)

    @staticmethod
    def unpack(body: bytes) -> Iterator[tuple[int, float, float]]:
        """Tag, slots and work of each entry."""
        for tag, slots, work in LOAD_ENTRY.iter_unpack(body):
            yield tag, slots / 8, 2 ** (work / 8) - 1


class Timers:
    """Calls that are due at a time, in the order of their times and then of their entry.

    One whose subject is over is swept out before the heap holds more of those than of all others: memory
    follows what is open, and not the rate of jobs times their deadlines.
    """

    __slots__ = ("heap", "count", "most")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[..., None], Job | Attempt | None]] = []
        self.count = 0
        self.most = SMALL_HEAP

    def add(self, due: int, call: Callable[..., None], subject: Job | Attempt | None = None) -> None:
        self.count += 1
        if len(self.heap) >= self.most:
            self.heap = [timer for timer in self.heap if timer[3] is None or not timer[3].over()]
            heapify(self.heap)
            self.most = max(SMALL_HEAP, 2 * len(self.heap))
        heappush(self.heap, (due, self.count, call, subject))

    def run(self, now: int) -> None:
        """Makes all calls that are due, those that they add included."""
        while self.heap and self.heap[0][0] <= now:
            _, _, call, subject = heappop(self.heap)
            call(subject) if subject is not None else call()

    def next(self) -> int | None:
        return self.heap[0][0] if self.heap else None


class Fleet:
    """All known workers, and the listed ones by machine kind in an order that all dispatchers share."""

    __slots__ = ("workers", "kinds", "tags", "near", "_together", "_part", "_pools", "_points", "_groups")

    def __init__(self, together: bool, part: Callable[[list[Worker]], list[Worker]]) -> None:
        self.workers: dict[int, Worker] = {}
        self.kinds: dict[int, Kind] = {}
        self.tags: dict[int, Worker] = {}
        self.near: list[Worker] = []  # the part of the whole fleet that ``part`` chooses
        self._together = together  # workers of a cell stand side by side
        self._part = part
        self._pools: dict[int, list[Worker]] = {}
        self._points: list[int] = []
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

    def excluded(self, out: set[int], now: int) -> int:
        """How many of the listed workers get nothing just now, by hand (``out``) or by choice."""
        return sum(worker.listed and (worker.id in out or worker.avoid_until > now)
                   for worker in self.workers.values())

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
        self._pools.clear()
        self._groups.clear()
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
            if kind == -1:
                self._points = [worker.point for worker in pool]
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

    def homes(self, key: int, count: int) -> list[Worker]:
        """The workers that a consistent hash gives a key, the first most likely to keep it."""
        ring = self.pool(-1)
        start = bisect_left(self._points, mix(key))
        return [ring[(start + step) % len(ring)] for step in range(min(count, len(ring)))]

    def _place(self, worker: Worker) -> int:
        return worker.point + (mix(worker.entry.cell + 1) << 64 if self._together else 0)
