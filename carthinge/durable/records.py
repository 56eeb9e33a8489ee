"""What is written down of durable jobs, and what is read back.  Times: microseconds on the loop's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec


class JobState(IntEnum):
    """Where a job stands; everything but ``OPEN`` is final."""

    OPEN = 0
    SERVED = 1
    FAILED = 2
    REFUSED = 3  #: never ran, and its key is free again
    GIVEN_UP = 4  #: by its client


class AttemptState(IntEnum):
    """Where an attempt stands."""

    OUT = 0  #: granted; perhaps sent, perhaps running
    NEVER_RAN = 1
    MAY_HAVE_RUN = 2  #: ended without a result


class Terms(msgspec.Struct, frozen=True, array_like=True):
    """How a job counts for the decisions, by names and units that outlive a change of settings."""

    key: int
    hint_us: int | None
    slots: float
    memory: float


@dataclass(slots=True, eq=False)
class Accepted:
    """A job is taken on.  ``cancelled`` is set from the loop for one that nobody waits for any more."""

    number: int
    req_id: str
    tenant: str
    class_name: str
    key: bytes | None  #: digest of tenant, class and Idempotency-Key
    digest: bytes  #: of what was asked for
    subject: bytes
    body: bytes
    headers: tuple[tuple[str, bytes], ...]
    terms: Terms
    came: int
    give_up: int
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Granted:
    """An attempt is about to be sent; on disk before its first byte is."""

    token: int
    job: int
    number: int
    worker: str
    address: str
    entry: bytes  #: the worker as it was listed, by msgpack
    sent: int
    due: int


@dataclass(frozen=True, slots=True)
class Renewed:
    """Its worker has given a sign: the lease holds until then, and the job has begun (0: not known to)."""

    token: int
    until: int
    begun: int


@dataclass(frozen=True, slots=True)
class HandedBack:
    """An attempt has ended without a result."""

    token: int
    state: AttemptState


@dataclass(frozen=True, slots=True)
class Ended:
    """A job has its final end."""

    number: int
    state: JobState
    result: bytes
    token: int  #: of the attempt whose result it is, 0 for none
    at: int
    forget_at: int
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Collected:
    """A client has had the result."""

    number: int
    forget_at: int


Record = Accepted | Granted | Renewed | HandedBack | Ended | Collected


@dataclass(frozen=True, slots=True)
class StoredAttempt:
    """An attempt as it was read back."""

    token: int
    number: int
    worker: str
    address: str
    entry: bytes
    sent: int
    due: int
    until: int  #: of its lease, 0 where its worker was not known to take part
    begun: int
    state: AttemptState


@dataclass(slots=True, eq=False)
class StoredJob:
    """An open job as it was read back."""

    accepted: Accepted
    attempts: list[StoredAttempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class OpenJobs:
    """A part of the open jobs, as they were read back."""

    jobs: list[StoredJob]
    damaged: list[int]  #: numbers of those whose records cannot be read
    last: int  #: the highest number that was looked at, 0 where there was none


@dataclass(frozen=True, slots=True)
class Found:
    """What the store has of a job that is asked for, whatever its state."""

    number: int
    state: JobState
    digest: bytes
    result: bytes
    token: int
    timed_out: bool
    req_id: str
