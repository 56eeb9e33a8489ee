"""What a dispatcher is told at its start: classes of jobs, tenants, and the rules of the site.

All spans are integer microseconds; classes, tenants and machine kinds go by their positions here.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Effect(Enum):
    """What running a job twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which workers drop a repeat of a keyed job."""

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
    """Where load reports of workers come from."""

    OFF = "off"
    ANSWERS = "answers"
    PROBES = "probes"


def _reject_negative(record: object) -> None:
    for field in fields(record):  # type: ignore[arg-type]
        value = getattr(record, field.name)
        figure = isinstance(value, int | float) and field.name != "kind"
        if figure and not value >= 0:
            raise ValueError(f"{field.name}: must not be negative, got {value!r}")


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs: what its answers are worth and how it may be repeated."""

    objective: int  #: answers within this time (plus ``stretch`` x own work) earn the full worth
    deadline: int  #: total time a client waits
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: int = 0  #: how long a keyed repeat is dropped, from the first send that may have run
    worth: float = 1.0
    late_worth: float = 0.0  #: share of the worth earned after the objective
    stretch: float = 0.0
    kind: int = -1  #: the only machine kind that runs it, -1 for any
    priority: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _reject_negative(self)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's part of the service."""

    share: float = 0.0
    quota_per_s: float = 0.0  #: requests a second within the share, over all dispatchers

    def __post_init__(self) -> None:
        _reject_negative(self)


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    kinds: int = 1  #: number of machine kinds
    instances: int = 1
    position: int = 0
    zone: int = 0
    weights: Weights = Weights.OFF
    reports: Reports = Reports.OFF
    report_fields: tuple[str, ...] = ()  #: of these ``free_slots``, ``free_memory``, ``held`` are read
    tells_start: bool = False
    progress: int = 0  #: interval of progress notes, 0 for none
    subscribe: bool = False  #: the worker list must be watched to be delivered
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    may_probe: bool = False
    may_tell: bool = False
    may_cancel: bool = False
    may_copy: bool = False
    may_advise: bool = False  #: clients are told how long to stay away
    try_limit: int = 1
    max_retry_after: int = 0
    idle_close: int = 0  #: a worker closes a connection that was idle for so long
    price_probe: float = 0.0
    price_connection: float = 0.0  #: of one more open connection, its opening included
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
        for name, least in (("instances", 1), ("try_limit", 1), ("kinds", 1)):
            if getattr(self, name) < least:
                raise ValueError(f"{name}: must be at least {least}, got {getattr(self, name)!r}")
        _reject_negative(self)
