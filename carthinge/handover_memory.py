"""The state that a dispatcher hands over to its successor.

The classes are encoded by field name in the messages of an upgrade, so these names do not change.
"""

from __future__ import annotations

from dataclasses import dataclass

from carthinge.rules import JobClass
from carthinge.worker_list import WorkerEntry


@dataclass(slots=True)
class WorkerMemory:
    """What was learned of one worker, without its load.  The fields are described in records.py."""

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
    """Everything that a dispatcher has learned, for its successor on the same clock."""

    out: list[int]  #: workers excluded by an operator
    workers: list[WorkerMemory]
    kinds: list[tuple[int, float, float, float]]  #: number, slowdown, slots and size of each
    meters: dict[str, float]  #: moving averages by name, see memory.py
    rates: dict[str, tuple[float, int]]  #: rate per second and time of its last update, by name
    spans: list[int]  #: of each class, the longest time that a client had left on arrival
    quotas: list[tuple[float, int]]  #: of each tenant the bucket's level and the time of its last update


@dataclass(slots=True)
class AttemptMemory:
    """One attempt of a job that is handed over; ``expected`` is 0 if it is no longer known."""

    worker: int
    entry: WorkerEntry
    sent: int
    expected: float
    begun: int
    open: bool
    alone: bool
    may_have_run: bool
    ended_by_callback: bool = True  #: an older version does not tell


@dataclass(slots=True)
class JobMemory:
    """A job that is handed over; its tenant is sent beside it, by name."""

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
