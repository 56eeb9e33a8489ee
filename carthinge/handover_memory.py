"""What one dispatcher has learned, as it is told to the one that takes its place."""

from __future__ import annotations

from dataclasses import dataclass

from carthinge.rules import JobClass
from carthinge.worker_list import WorkerEntry


@dataclass(slots=True)
class WorkerMemory:
    """What was learned of one worker; its load is not part of that."""

    entry: WorkerEntry
    started: int
    back: int
    listed: bool
    ready: bool
    cap: float
    pace: float
    free: float
    free_at: int
    avoid_until: int
    strikes: int
    refusals: int
    errors: int
    heard_at: int
    well_at: int
    cold_slot: int
    cold_left: float


@dataclass(slots=True)
class Memory:
    """What a dispatcher has learned, for another one on the same clock that takes its place."""

    out: list[int]  #: workers out by hand
    workers: list[WorkerMemory]
    kinds: list[tuple[int, float, float, float]]  #: number, pace, slots and size of each
    meters: dict[str, float]
    rates: dict[str, tuple[float, int]]  #: per second, and since when
    spans: list[int]  #: of each class
    quotas: list[tuple[float, int]]  #: of each tenant the level, and since when


@dataclass(slots=True)
class AttemptMemory:
    """One send of a job that is handed over; ``expected`` is 0 where that is not known any more."""

    worker: int
    entry: WorkerEntry
    sent: int
    expected: float
    begun: int
    open: bool
    alone: bool
    may_have_run: bool


@dataclass(slots=True)
class JobMemory:
    """A job that is handed over; its tenant goes by name, outside."""

    spec: JobClass
    key: int
    give_up: int
    came: int
    work: float
    slots: float
    cost: float
    rank: float
    tries: int
    waiting: bool
    silent: bool
    hedged: bool
    bearable: float
    attempts: list[AttemptMemory]
