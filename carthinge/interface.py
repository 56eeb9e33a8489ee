"""What a dispatcher is told, what it is given, and what it asks for.

All times are integer microseconds on the caller's clock; the caller owns the
clock, the sockets and the ids.  Worker ids are opaque integers, and so are
request ids; classes, tenants, zones and machine kinds are positions in the
lists of :class:`Settings`, which stands with the rest of what is told at
the start in rules.py.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from carthinge.handover_memory import AttemptMemory as AttemptMemory
from carthinge.handover_memory import JobMemory as JobMemory
from carthinge.handover_memory import Memory as Memory
from carthinge.handover_memory import WorkerMemory as WorkerMemory
from carthinge.rules import Effect as Effect
from carthinge.rules import JobClass as JobClass
from carthinge.rules import Reports as Reports
from carthinge.rules import Scope as Scope
from carthinge.rules import Settings as Settings
from carthinge.rules import Tenant as Tenant
from carthinge.rules import Weights as Weights
from carthinge.worker_list import Listing as Listing
from carthinge.worker_list import State as State
from carthinge.worker_list import WorkerEntry as WorkerEntry
from carthinge.worker_list import WorkerList as WorkerList


class Result(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


#: Results that prove that the attempt never ran.
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


# ---- events -----------------------------------------------------------------------------------


@dataclass(slots=True)
class ByHand:
    """Operators take a worker out, or put it back; no list undoes that."""

    worker: int
    out: bool


@dataclass(slots=True)
class Inherit:
    """Another dispatcher's memory, before anything else is told.

    Its settings need not have been this one's: for each class, tenant and machine kind of this one comes its
    position there, -1 for one that was not there.
    """

    memory: Memory
    classes: Sequence[int]
    tenants: Sequence[int]
    kinds: Sequence[int]


@dataclass(slots=True)
class TakeOver:
    """A job that another dispatcher took, with what that knew of it; its answer is now owed here."""

    request: int
    tenant: int
    memory: JobMemory


@dataclass(slots=True)
class Restore:
    """A job that a scheduler took before it died: an arrival, and what was sent of it.

    Whatever may have run then counts as that now; an attempt that is open is waited for.
    """

    arrival: Arrival
    attempts: Sequence[AttemptMemory]


@dataclass(slots=True)
class GiveAway:
    """Another dispatcher has taken a job over: nothing of it is this one's any more."""

    request: int


@dataclass(slots=True)
class Leave:
    """Another dispatcher takes the place of this one, or (``leaving`` False) does not after all."""

    leaving: bool


@dataclass(slots=True)
class Retune:
    """Other settings hold for what comes from now on; jobs that are open keep the class they came with."""

    settings: Settings
    classes: Sequence[int]  #: for each class its position before, -1 for a new one
    tenants: Sequence[int]  #: the same for the tenants
    kinds: Sequence[int] | None = None  #: the same for the machine kinds, None where they are as before


@dataclass(slots=True)
class Arrival:
    """A client's job; one final answer is now owed."""

    request: int
    job_class: int
    give_up: int  #: clock time at which the client stops waiting
    tenant: int = 0
    key: int = 0
    hint: int | None = None  #: expected work in microseconds of a standard core
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt belongs to the client now."""

    request: int
    attempt: int
    worker: int


@dataclass(slots=True)
class Outcome:
    """How an attempt ended; every send gets exactly one."""

    request: int
    attempt: int
    worker: int
    result: Result
    latency: int
    finished: bool  #: the request has its final answer
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Abandoned:
    """The client has gone; nothing more is owed."""

    request: int


@dataclass(slots=True)
class Note:
    """News of an attempt that is still out: begun (``done`` is None), the share done, or only that its worker
    has it (``begun`` is False)."""

    request: int
    attempt: int
    worker: int
    done: float | None = None
    begun: bool = True


@dataclass(slots=True)
class ProbeResult:
    """The answer to a probe."""

    worker: int
    result: Result
    latency: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Message:
    """Bytes from another dispatcher."""

    sender: int
    body: bytes


@dataclass(slots=True)
class FleetView:
    """What several dispatchers know or have agreed on together, in place of what was told before."""

    alone: Sequence[tuple[int, int]] = ()  #: workers to be left alone, and until when
    parts: Sequence[float] = ()  #: of each tenant the part of its quota here, 1.0 for an equal one
    levels: Mapping[tuple[int, int], int] = field(default_factory=dict)  #: what is shed of each tenant and
    #: class, per cent; of one that is not in it as much as the dispatcher finds by itself
    repeats: float = 0.0  #: further attempts that others have given to this one since the last; or below 0


@dataclass(slots=True)
class Timer:
    """A timer that was asked for has come due."""

    token: int


Event = (
    WorkerList
    | ByHand
    | Inherit
    | Leave
    | TakeOver
    | Restore
    | GiveAway
    | Retune
    | Arrival
    | StreamStarted
    | Outcome
    | Abandoned
    | Note
    | ProbeResult
    | Message
    | FleetView
    | Timer
)


# ---- actions ----------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered 0, 1, 2 ... in this order."""

    request: int
    worker: int
    timeout: int = 0  #: 0 for until the client gives up
    start_by: int = 0  #: clock time from which on it may not go out any more; 0 for no such limit


class GaveUp(Enum):
    """Why a request is refused or fails; for logs alone, nothing is decided by it."""

    UNKNOWN = "unknown"
    OVERLOAD = "load is shed"
    NO_WORKER = "no worker may have it"
    OUT_OF_TIME = "its time is over"
    NO_RETRY = "no further attempt is allowed"


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, trying again is harmless."""

    request: int
    stay_away: int = 0
    why: GaveUp = field(default=GaveUp.UNKNOWN, compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised about the effect."""

    request: int
    why: GaveUp = field(default=GaveUp.UNKNOWN, compare=False)


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Check a worker."""

    worker: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a :class:`Timer` event at ``due``."""

    token: int
    due: int


@dataclass(slots=True)
class Tell:
    """Send bytes to one dispatcher, or to all others when ``to`` is None."""

    body: bytes
    to: int | None = None


@dataclass(slots=True)
class Watch:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class LogLine:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Tell | Watch | LogLine
