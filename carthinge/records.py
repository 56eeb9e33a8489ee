"""What a dispatcher keeps of workers, jobs, attempts and tenants: records, no decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Final

from carthinge import interface as io
from carthinge.meters import Queue

HASH_STEP: Final = 0x9E3779B97F4A7C15
MASK: Final = (1 << 64) - 1
STRONGEST: Final = 1e6  # slots
ASIDE_MOST: Final = 16  # blocked jobs of a tenant that are passed over: to look at each takes time
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
    in_line: int = 0  # attempts from here that were found to wait there
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
    queue: Queue = field(default_factory=lambda: Queue())
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

    def renew(self, entry: io.WorkerEntry, out: bool) -> bool:
        """Takes in what the list says; tells whether more than the rating has changed."""
        old, self.entry = self.entry, entry
        self.listed = entry.state is not io.State.GONE
        self.ready = entry.state is io.State.READY and not out
        self.pool.size = max(self.pool.size, entry.rating)
        started = max(entry.started, self.back)
        if started != self.started:  # a restart: nothing learned of its state holds
            self.started = started
            self.free_at = self.cold_slot = -1
            self.avoid_until = self.strikes = self.refusals = self.errors = 0
            return True
        return entry.state is not old.state or entry.zone != old.zone

    def avoid(self, until: int) -> None:
        """It gets nothing before that time, or before a later one that was set already."""
        self.avoid_until = max(self.avoid_until, until)

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
    in_line: bool = False  # it did not begin in the usual time: others are before it
    alone: bool = True  # a slot was free: its time is its own, not the queue's
    may_have_run: bool = True  # until an outcome proves the contrary

    def close(self, result: io.Result) -> None:
        """It has ended."""
        self.open = False
        self.job.open -= 1
        self.leave()
        self.may_have_run &= result not in io.NEVER_RAN

    def leave(self) -> None:
        """Its worker has it no more, as far as this dispatcher counts."""
        self.worker.put_down(self.job)
        self.stand(False)

    def begin(self, now: int) -> None:
        """It runs from now on."""
        self.begun = now
        self.stand(False)

    def stand(self, in_line: bool) -> None:
        """Whether it is known to wait at its worker."""
        self.worker.in_line += in_line - self.in_line
        self.in_line = in_line

    def over(self) -> bool:
        """No timer can do anything about it any more, now or later."""
        job = self.job
        called_off = job.hedged and not self.begun and self.may_have_run
        return job.streaming or not (called_off or (self.open and not job.answered))


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
    place: int = 0  # the number of its entry in the heap: earlier ones are void
    streaming: bool = False
    silent: bool = False  # called off at a worker where it had begun and gave no sign
    hedged: bool = False  # a copy may be sent as soon as it seems to wait in a queue
    spared: bool = False  # not shed, as a worker could begin it at once: it goes there or nowhere
    bearable: float = 0.0  # the wait at a worker beyond which it counts as busy for this job
    choice: Worker | None = None  # the pick for it, made when its head was found dispatchable
    look_at: int = 0  # a blocked head is not picked for before
    list_seen: int = -1  # the list as it was then
    narrow: bool = False  # blocked by limits of its own: others of its tenant may find a worker

    def over(self) -> bool:
        """The same for the job: once it is answered, it neither waits nor can be called off."""
        return self.answered

    def sent(self, worker: Worker, now: int, expected: float) -> Attempt:
        """Notes an attempt that is out from now on."""
        attempt = Attempt(self, len(self.attempts), worker, worker.entry, now, expected)
        attempt.alone = worker.held() < 1
        self.attempts.append(attempt)
        self.open += 1
        worker.carry(self)
        worker.sent_at = now
        worker.free -= self.slots
        return attempt

    def spent(self, limit: int) -> bool:
        """It has had all its attempts, by the settings that it came under and by the limit of now."""
        return len(self.attempts) >= min(self.tries, limit)

    def harmless(self) -> bool:
        """Whoever sends it again does no harm, whatever has run of it by now."""
        everywhere = self.spec.effect is io.Effect.KEYED and self.spec.scope is io.Scope.ALL
        return self.spec.effect is io.Effect.SAFE or everywhere or self.never_ran()

    def repeat_by(self) -> int:
        """When a further attempt has to begin at the latest; 0 where nothing limits that."""
        if self.spec.effect is not io.Effect.KEYED:
            return 0
        return min(
            (attempt.sent + self.spec.window for attempt in self.attempts if attempt.may_have_run), default=0
        )

    def never_ran(self) -> bool:
        """Whether no attempt can have run."""
        return not any(attempt.may_have_run for attempt in self.attempts)


class TenantQueue:
    """A tenant's class: its pending heap and its credit."""

    __slots__ = ("aside", "deficit", "heap", "most", "quantum")

    def __init__(self, quantum: float) -> None:
        self.heap: list[tuple[float, int, int, Job]] = []
        self.deficit = 0.0
        self.quantum = quantum
        self.most = SMALL_HEAP  # entries at which those that wait no more are swept out
        self.aside: list[tuple[float, int, int, Job]] = []

    def free_head(self, dispatchable: Callable[[Job], bool]) -> Job | None:
        """The head, or who is next to those passed over, if it can leave; an empty queue keeps no credit."""
        while (head := self.head()) is not None:
            if dispatchable(head):
                return head
            if self.head() is head:
                return None
        self.deficit *= bool(self.aside)
        return None

    def pass_over(self, head: Job) -> bool:
        """Leaves a blocked head's place to the next until ``put_back``, where its limits are its own.

        False, since it cannot leave itself.
        """
        if head.narrow and len(self.aside) < ASIDE_MOST:
            self.aside.append(heappop(self.heap))
        return False

    def push(self, entry: tuple[float, int, int, Job]) -> None:
        """Guards against a queue kept long by jobs that were answered or placed anew while they waited."""
        if len(self.heap) >= self.most:
            self.heap = [other for other in self.heap if self._stands(other)]
            heapify(self.heap)
            self.most = max(SMALL_HEAP, 2 * len(self.heap))
        entry[-1].place = entry[2]
        heappush(self.heap, entry)

    @staticmethod
    def _stands(entry: tuple[float, int, int, Job]) -> bool:
        return entry[-1].waiting and entry[2] == entry[-1].place

    def pop(self) -> Job:
        """Takes the first job, which is known to wait, out of the heap."""
        job = heappop(self.heap)[-1]
        job.waiting = False
        return job

    def head(self) -> Job | None:
        """The first job still waiting; what is void is dropped here."""
        heap = self.heap
        while heap and not self._stands(heap[0]):
            heappop(heap)
        return heap[0][-1] if heap else None


def put_back(queues: Iterable[TenantQueue]) -> None:
    """What was passed over is looked at first again."""
    for queue in queues:
        for entry in queue.aside:
            heappush(queue.heap, entry)
        queue.aside.clear()
