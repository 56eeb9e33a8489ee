"""State that a dispatcher keeps of workers, jobs, attempts and tenant queues.  No scheduling decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Final

from carthinge import interface as io
from carthinge.meters import QueueWait

HASH_MULTIPLIER: Final = 0x9E3779B97F4A7C15
HASH_MASK: Final = (1 << 64) - 1
MAX_SLOTS: Final = 1e6
MAX_BYPASSED_JOBS: Final = 16  # per tenant; each of them is checked on every pass
MIN_COMPACT_SIZE: Final = 64  # entries; compacting a smaller heap gains nothing


def mix(value: int) -> int:
    """Return a hash that is the same in every process, unlike hash() of a string."""
    value = (value ^ (value >> 31)) * HASH_MULTIPLIER & HASH_MASK
    value = (value ^ (value >> 29)) * HASH_MULTIPLIER & HASH_MASK
    return value ^ (value >> 32)


@dataclass(slots=True, eq=False)
class Kind:
    """Statistics of a machine kind, used for workers that have none of their own yet."""

    slowdown: float = 1.0  # running time over hinted work
    slots: float = 0.0  # from load reports, 0 while unknown
    size: float = 0.0  # largest rating seen


@dataclass(slots=True, eq=False)
class Worker:
    """State of one worker as this dispatcher sees it.

    Attributes that WorkerMemory has too are copied by name on an upgrade, see memory.py.
    """

    entry: io.WorkerEntry
    id: int
    kind_stats: Kind
    cap: float  # outstanding slots above which it counts as busy
    started: int = -1  # time of its last start, or of the end of its exclusion by an operator
    back: int = 0  # when an operator last ended its exclusion
    listed: bool = False  # in any state but GONE
    ready: bool = False  # listed as READY and not excluded by an operator
    in_subset: bool = False  # in the subset of the fleet that this dispatcher prefers
    outstanding_slots: float = 0.0  # outstanding from this dispatcher
    outstanding_work: float = 0.0
    queued_attempts: int = 0  # attempts of this dispatcher that are queued at the worker
    peer_slots: float = 0.0  # outstanding from other dispatchers
    peer_work: float = 0.0
    pace: float = 0.0  # slowdown: running time over hinted work; 0 until a job was timed here
    free: float = 0.0  # reported free slots minus what was sent since
    free_at: int = -1  # time of the last load report, -1 for none
    avoid_until: int = 0  # no jobs are sent before this time
    strikes: int = 0  # times it was suspected since its last response
    refusals: int = 0  # consecutive
    errors: int = 0  # consecutive
    heard_at: int = 0  # time of its last result, start or progress report
    queue: QueueWait = field(default_factory=lambda: QueueWait())
    sent_at: int = -(1 << 62)  # when this dispatcher last sent it a job; far in the past for never
    well_at: int = 0  # when a job last ended there within its expected running time
    cold_slot: int = -1  # number of the slow-start window that cold_left applies to
    cold_left: float = 0.0  # work that may still be sent to it in that window
    point: int = field(init=False)  # its position on the hash ring

    def __post_init__(self) -> None:
        self.point = mix(self.id)

    @property
    def tag(self) -> int:
        """Return the 16-bit number that identifies it in messages between dispatchers."""
        return self.point & 0xFFFF

    def apply_entry(self, entry: io.WorkerEntry, excluded: bool) -> bool:
        """Apply its entry of a worker list; return whether more than the rating has changed."""
        old, self.entry = self.entry, entry
        self.listed = entry.state is not io.State.GONE
        self.ready = entry.state is io.State.READY and not excluded
        self.kind_stats.size = max(self.kind_stats.size, entry.rating)
        started = max(entry.started, self.back)
        if started != self.started:  # it restarted: what was learned of its state is obsolete
            self.started = started
            self.free_at = self.cold_slot = -1
            self.avoid_until = self.strikes = self.refusals = self.errors = 0
            return True
        return entry.state is not old.state or entry.zone != old.zone

    def avoid(self, until: int) -> None:
        """Send it nothing before ``until``; a later time that is already set stands."""
        self.avoid_until = max(self.avoid_until, until)

    def add_load(self, job: Job) -> None:
        """Add an attempt of this job to its outstanding load."""
        self.outstanding_slots += job.slots
        self.outstanding_work += job.work

    def remove_load(self, job: Job) -> None:
        """Subtract an attempt that has ended; rounding errors must not leave a negative load."""
        self.outstanding_slots = max(0.0, self.outstanding_slots - job.slots)
        self.outstanding_work = max(0.0, self.outstanding_work - job.work)

    def total_outstanding_slots(self) -> float:
        """Return the slots that all dispatchers are known to have outstanding there."""
        return self.outstanding_slots + self.peer_slots

    def capacity(self) -> float:
        """Return its throughput when warm, in work per unit of time, as far as its kind is known."""
        # Bounded, so that a corrupt list or report cannot make the sum over the fleet infinite.
        return min(self.kind_stats.slots or self.kind_stats.size or 1.0, MAX_SLOTS) / self.kind_stats.slowdown

    def known_slowdown(self) -> float:
        """Return its own slowdown, or that of its kind until one of its jobs was timed."""
        return self.pace or self.kind_stats.slowdown


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job to a worker."""

    job: Job
    number: int
    worker: Worker
    entry: io.WorkerEntry  # as listed when it was sent; holds the zone and cell
    sent: int
    expected: float  # time from the send to the first response
    begun: int = 0
    last_report_at: int = 0  # time of the last report on it, 0 for none
    open: bool = True
    queued: bool = False  # queued at the worker: it did not begin within the usual time
    alone: bool = True  # a slot was free when it was sent: its time includes no queueing
    may_have_run: bool = True  # until an outcome proves that it never ran
    ended_by_callback: bool = False  # its worker may report its end again

    def close(self, result: io.Result, by_callback: bool) -> None:
        """Record that it has ended; ``by_callback`` as in ``Outcome``."""
        self.open = False
        self.ended_by_callback = by_callback
        self.job.open -= 1
        self.release_load()
        self.may_have_run &= result not in io.NEVER_RAN

    def release_load(self) -> None:
        """Remove it from the load that this dispatcher counts at its worker."""
        self.worker.remove_load(self.job)
        self.set_queued(False)

    def begin(self, now: int) -> None:
        """Record that it started running at ``now``."""
        self.begun = now
        self.set_queued(False)

    def set_queued(self, queued: bool) -> None:
        """Set whether it is known to be queued at its worker."""
        self.worker.queued_attempts += queued - self.queued
        self.queued = queued

    def is_settled(self) -> bool:
        """Return whether no timer can still affect it, now or later."""
        job = self.job
        cancellable = job.hedged and not self.begun and self.may_have_run
        return job.streaming or not (cancellable or (self.open and not job.answered))


@dataclass(slots=True, eq=False)
class Job:
    """One request from its arrival to the last outcome of its attempts."""

    id: int
    spec: io.JobClass
    queue: TenantQueue
    key: int
    give_up: int
    came: int
    work: float
    slots: float
    cost: float  # fixed on arrival
    rank: float
    tries: int  # attempt limit of the settings at its arrival
    attempts: list[Attempt] = field(default_factory=list)
    open: int = 0  # attempts without an outcome
    enqueued_at: int = 0  # when it was last pushed to its heap
    answered: bool = False
    waiting: bool = False
    heap_entry: int = 0  # sequence number of its valid heap entry; earlier entries are stale
    streaming: bool = False
    silent: bool = False  # cancelled at a worker where it had begun and gone silent
    hedged: bool = False  # it may be hedged as soon as it seems to be queued at a worker
    immediate_only: bool = False  # to be shed, unless a cold worker can begin it at once
    bearable: float = 0.0  # expected wait above which a worker counts as busy for this job
    selected_worker: Worker | None = None  # selected when it was found dispatchable at the head of its queue
    next_check_at: int = 0  # while it is blocked: when to select a worker for it again
    checked_list_version: int = -1  # version of the worker list at the last selection
    constrained: bool = False  # blocked by its own constraints: other jobs of its tenant may find a worker

    def is_settled(self) -> bool:
        """Return whether no timer can still affect it: an answered job neither waits nor can be cancelled."""
        return self.answered

    def sent(self, worker: Worker, now: int, expected: float) -> Attempt:
        """Record an attempt that is sent now."""
        attempt = Attempt(self, len(self.attempts), worker, worker.entry, now, expected)
        attempt.alone = worker.total_outstanding_slots() < 1
        self.attempts.append(attempt)
        self.open += 1
        worker.add_load(self)
        worker.sent_at = now
        worker.free -= self.slots
        return attempt

    def attempts_exhausted(self, limit: int) -> bool:
        """Return whether no attempt is left, by the limit at its arrival and by the current one."""
        return len(self.attempts) >= min(self.tries, limit)

    def retry_is_safe(self) -> bool:
        """Return whether a client may safely send it again, given what may have run."""
        everywhere = self.spec.effect is io.Effect.KEYED and self.spec.scope is io.Scope.ALL
        return self.spec.effect is io.Effect.SAFE or everywhere or self.never_ran()

    def retry_deadline(self) -> int:
        """Return the latest time at which a further attempt may begin, 0 for no limit."""
        if self.spec.effect is not io.Effect.KEYED:
            return 0
        return min(
            (attempt.sent + self.spec.window for attempt in self.attempts if attempt.may_have_run), default=0
        )

    def never_ran(self) -> bool:
        """Return whether no attempt can have run."""
        return not any(attempt.may_have_run for attempt in self.attempts)

    def awaits_repeated_callbacks(self) -> bool:
        """Return whether a worker may repeat its report on the end of an attempt; it gets no further one."""
        return any(attempt.ended_by_callback for attempt in self.attempts)


class TenantQueue:
    """A tenant's queue in the deficit round robin: its heap of waiting jobs and its deficit."""

    __slots__ = ("bypassed", "compact_at", "deficit", "heap", "quantum")

    def __init__(self, quantum: float) -> None:
        self.heap: list[tuple[float, int, int, Job]] = []
        self.deficit = 0.0
        self.quantum = quantum
        self.compact_at = MIN_COMPACT_SIZE  # size at which stale entries are removed
        self.bypassed: list[tuple[float, int, int, Job]] = []

    def dispatchable_head(self, dispatchable: Callable[[Job], bool]) -> Job | None:
        """Return the first job that can be sent, after bypassed ones; an empty queue loses its deficit."""
        while (head := self.head()) is not None:
            if dispatchable(head):
                return head
            if self.head() is head:
                return None
        self.deficit *= bool(self.bypassed)
        return None

    def bypass(self, head: Job) -> bool:
        """Set a head aside for the rest of this pass if only its own constraints block it.

        Always returns False: the head itself cannot be sent.
        """
        if head.constrained and len(self.bypassed) < MAX_BYPASSED_JOBS:
            self.bypassed.append(heappop(self.heap))
        return False

    def push(self, entry: tuple[float, int, int, Job]) -> None:
        """Add an entry; as the heap grows, stale entries (answered or pushed again since) are removed."""
        if len(self.heap) >= self.compact_at:
            self.heap = [other for other in self.heap if self._is_current(other)]
            heapify(self.heap)
            self.compact_at = max(MIN_COMPACT_SIZE, 2 * len(self.heap))
        entry[-1].heap_entry = entry[2]
        heappush(self.heap, entry)

    @staticmethod
    def _is_current(entry: tuple[float, int, int, Job]) -> bool:
        return entry[-1].waiting and entry[2] == entry[-1].heap_entry

    def pop(self) -> Job:
        """Remove and return the first job; the caller has checked with ``head`` that it waits."""
        job = heappop(self.heap)[-1]
        job.waiting = False
        return job

    def head(self) -> Job | None:
        """Return the first waiting job; stale entries before it are dropped."""
        heap = self.heap
        while heap and not self._is_current(heap[0]):
            heappop(heap)
        return heap[0][-1] if heap else None


def restore_bypassed(queues: Iterable[TenantQueue]) -> None:
    """Push the bypassed jobs back to their heaps."""
    for queue in queues:
        for entry in queue.bypassed:
            heappush(queue.heap, entry)
        queue.bypassed.clear()
