"""The events that a dispatcher handles and the actions that it returns.

All times are integer microseconds on the caller's clock; the caller owns the
clock, the sockets and the ids.  Worker ids and request ids are opaque integers;
classes, tenants, zones and machine kinds are positions in the lists of
:class:`Settings` (rules.py).
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
class OperatorExclusion:
    """An operator excludes a worker or ends its exclusion; worker lists do not change that."""

    worker: int
    excluded: bool


@dataclass(slots=True)
class Inherit:
    """The predecessor's memory, before any other event.

    Its settings may have differed: each class, tenant and machine kind of this dispatcher comes with its
    position in the predecessor's, -1 for one that it did not have.
    """

    memory: Memory
    classes: Sequence[int]
    tenants: Sequence[int]
    kinds: Sequence[int]


@dataclass(slots=True)
class TakeOver:
    """A job that another dispatcher accepted, with its state; this one has to answer it now."""

    request: int
    tenant: int
    memory: JobMemory


@dataclass(slots=True)
class Restore:
    """A durable job that a scheduler accepted before it died, with its attempts.

    Attempts that may have run still count as such; the outcome of an open one is awaited.
    """

    arrival: Arrival
    attempts: Sequence[AttemptMemory]


@dataclass(slots=True)
class GiveAway:
    """Another dispatcher has taken over a job, with its attempts and its answer."""

    request: int


@dataclass(slots=True)
class Leave:
    """A successor is about to replace this dispatcher, or (``leaving`` False) will not after all."""

    leaving: bool


@dataclass(slots=True)
class SettingsChange:
    """New settings for jobs that arrive from now on; open jobs keep the class they arrived with."""

    settings: Settings
    classes: Sequence[int]  #: the old position of each class, -1 for a new one
    tenants: Sequence[int]  #: the same for the tenants
    kinds: Sequence[int] | None = None  #: the same for the machine kinds, None if they are unchanged


@dataclass(slots=True)
class Arrival:
    """A client's job, which gets exactly one final answer."""

    request: int
    job_class: int
    give_up: int  #: time at which the client stops waiting
    tenant: int = 0
    key: int = 0
    hint: int | None = None  #: expected work in microseconds of a standard core
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False  #: the client's retry of an earlier request


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; the job is not retried any more."""

    request: int
    attempt: int
    worker: int


@dataclass(slots=True)
class Outcome:
    """How an attempt ended; every :class:`Send` gets exactly one."""

    request: int
    attempt: int
    worker: int
    result: Result
    latency: int
    finished: bool  #: the client has its final answer
    report: tuple[float, ...] = ()
    #: Its worker reported it by a callback without a lease token.  The worker may repeat that callback, which
    #: could not be told from one about another attempt of the request there.
    by_callback: bool = False


@dataclass(slots=True)
class Abandoned:
    """The client has disconnected; the request needs no answer."""

    request: int


@dataclass(slots=True)
class ProgressReport:
    """A report on an open attempt.

    It has begun (``done`` is None), a share is done, or its worker sent only a heartbeat (not ``begun``).
    """

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
    """What the schedulers of a fleet have agreed on; replaces the previous view."""

    avoided_workers: Sequence[tuple[int, int]] = ()  #: workers that get no jobs, and until when
    #: this dispatcher's part of each tenant's quota, 1.0 for an even split
    quota_shares: Sequence[float] = ()
    #: shedding level of each tenant and class, per cent; the dispatcher itself determines those missing
    levels: Mapping[tuple[int, int], int] = field(default_factory=dict)
    #: retries added to the budget by others since the last view, negative if given away
    lent_retries: float = 0.0


@dataclass(slots=True)
class Timer:
    """A timer set by :class:`SetTimer` is due."""

    token: int


Event = (
    WorkerList
    | OperatorExclusion
    | Inherit
    | Leave
    | TakeOver
    | Restore
    | GiveAway
    | SettingsChange
    | Arrival
    | StreamStarted
    | Outcome
    | Abandoned
    | ProgressReport
    | ProbeResult
    | Message
    | FleetView
    | Timer
)


# ---- actions ----------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2 ... in order of sending."""

    request: int
    worker: int
    timeout: int = 0  #: 0 for the time until the client gives up
    start_by: int = 0  #: time from which it must not be sent any more, 0 for no limit


class EndReason(Enum):
    """Why a request is refused or fails; used in logs only."""

    UNKNOWN = "unknown"
    OVERLOAD = "overload"
    NO_WORKER = "no eligible worker"
    OUT_OF_TIME = "deadline reached"
    NO_RETRY = "no further attempt is allowed"


@dataclass(slots=True)
class Refuse:
    """Final answer: not served; a retry is safe."""

    request: int
    retry_after: int = 0
    why: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the job may or may not have taken effect."""

    request: int
    why: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Probe a worker."""

    worker: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a :class:`Timer` event at ``due``."""

    token: int
    due: int


@dataclass(slots=True)
class SendMessage:
    """Send bytes to one other dispatcher, or to all if ``to`` is None."""

    body: bytes
    to: int | None = None


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the worker list."""


@dataclass(slots=True)
class LogLine:
    """A line for the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | SendMessage | Watch | LogLine
