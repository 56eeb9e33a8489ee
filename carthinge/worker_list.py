"""The worker list that a dispatcher gets from discovery."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

MAX_LISTED_WORKERS: Final = 4096  # a longer list is a fault of discovery
MAX_GONE_WORKERS: Final = 1024  # that are remembered; the first known ones are forgotten first


class Listing(IntEnum):
    """How a worker list relates to the previous one."""

    CHANGES = 0
    WHOLE = 1
    CACHED = 2
    FAILED = 3


class State(IntEnum):
    """A worker's state in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One entry of the worker list."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.READY
    rating: float = 1.0
    started: int = 0  #: time of the last start, 0 for long ago


@dataclass(slots=True)
class WorkerList:
    """A worker list, a change of one, or the failure to get one."""

    listing: Listing
    entries: Sequence[WorkerEntry] = ()
