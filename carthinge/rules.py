"""Settings of a dispatcher: classes of jobs, tenants and the rules of the site.

All durations are integer microseconds; classes, tenants and machine kinds are identified by position.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Effect(Enum):
    """Whether a job may be run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Among which workers a repeated keyed job is recognized and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Weights(Enum):
    """What the rating of a listed worker means."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class Reports(Enum):
    """Where the load reports of workers come from."""

    OFF = "off"
    ANSWERS = "answers"
    PROBES = "probes"


def _reject_negative(record: object) -> None:
    for field in fields(record):  # type: ignore[arg-type]
        value = getattr(record, field.name)
        is_number = isinstance(value, int | float) and field.name != "kind"
        if is_number and not value >= 0:
            raise ValueError(f"{field.name}: must not be negative, got {value!r}")


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs: the worth of its answers and how it may be retried."""

    objective: int  #: answers within this time (plus ``stretch`` x the job's work) earn the full worth
    deadline: int  #: total time a client waits
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: int = 0  #: how long a repeated key is recognized, from the first send that may have run
    worth: float = 1.0
    late_worth: float = 0.0  #: share of the worth earned after the objective
    stretch: float = 0.0
    kind: int = -1  #: the machine kind that it requires, -1 for any
    priority: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _reject_negative(self)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's share and quota."""

    share: float = 0.0
    quota_per_s: float = 0.0  #: requests per second that count as within its share, over all dispatchers

    def __post_init__(self) -> None:
        _reject_negative(self)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a dispatcher."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    kinds: int = 1  #: number of machine kinds
    instances: int = 1
    position: int = 0
    zone: int = 0
    weights: Weights = Weights.OFF
    reports: Reports = Reports.OFF
    report_fields: tuple[str, ...] = ()  #: those in use are ``free_slots``, ``free_memory`` and ``held``
    tells_start: bool = False
    progress: int = 0  #: interval of progress reports, 0 for none
    subscribe: bool = False  #: the worker list is delivered only if it is watched
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    may_probe: bool = False
    may_send_messages: bool = False
    may_cancel: bool = False
    may_hedge: bool = False
    may_send_retry_after: bool = False  #: refused clients get a retry_after
    try_limit: int = 1
    max_retry_after: int = 0
    idle_close: int = 0  #: idle time after which a worker closes a connection
    price_probe: float = 0.0
    price_connection: float = 0.0  #: of one more open connection, including its setup
    price_fetch: float = 0.0
    price_message: float = 0.0
    price_cross_zone: float = 0.0
    answer_grace: int = 0
    drain_grace: int = 0
    ask_within: int = 0
    cold_start_share: float = 1.0
    cold_time: int = 0
    fall_multiple: float = 1.0
    fall_window: int = 0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is required")
        for name, minimum in (("instances", 1), ("try_limit", 1), ("kinds", 1)):
            if getattr(self, name) < minimum:
                raise ValueError(f"{name}: must be at least {minimum}, got {getattr(self, name)!r}")
        _reject_negative(self)
