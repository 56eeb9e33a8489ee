"""Records written to the store and read from it.  Times are microseconds on the loop's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

import msgspec

ENDED_BY_CALLBACK: Final = -1  # in place of the end of a lease; older versions read it only where one is open


class JobState(IntEnum):
    """The state of a job; all but ``OPEN`` are final."""

    OPEN = 0
    SERVED = 1
    FAILED = 2
    REFUSED = 3  #: never ran, and its key may be used again
    GIVEN_UP = 4  #: by its client


class AttemptState(IntEnum):
    """The state of an attempt."""

    ACTIVE = 0  #: granted; may have been sent, may be running
    NEVER_RAN = 1
    MAY_HAVE_RUN = 2  #: ended without a result


class Terms(msgspec.Struct, frozen=True, array_like=True):
    """Inputs of the decisions about a job, in names and units that stay valid when settings change."""

    key: int
    hint_us: int | None
    slots: float
    memory: float


@dataclass(slots=True, eq=False)
class Accepted:
    """A job is accepted.  The loop sets ``cancelled`` on one that was shed before it was written."""

    number: int
    req_id: str
    tenant: str
    class_name: str
    key: bytes | None  #: digest of tenant, class and Idempotency-Key
    digest: bytes  #: of subject and body
    subject: bytes
    body: bytes
    headers: tuple[tuple[str, bytes], ...]
    terms: Terms
    received: int
    deadline: int
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Granted:
    """An attempt is about to be sent; on disk before its first byte is sent."""

    token: int
    job: int
    number: int
    worker: str
    address: str
    entry: bytes  #: the listed entry of the worker, encoded with msgpack
    sent: int
    due: int


@dataclass(frozen=True, slots=True)
class Renewed:
    """A callback renewed the lease to ``until``; ``begun`` is 0 if the job is not known to have begun."""

    token: int
    until: int
    begun: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt has ended without a result."""

    token: int
    state: AttemptState
    by_callback: bool = False  #: its worker may report the end again, without its token

    @property
    def stored_until(self) -> int | None:
        """What is stored in place of the end of its lease; None if that stays."""
        return ENDED_BY_CALLBACK if self.by_callback else None


@dataclass(frozen=True, slots=True)
class Ended:
    """A job has ended."""

    number: int
    state: JobState
    result: bytes
    token: int  #: of the attempt that provided the result, 0 for none
    at: int
    forget_at: int
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Collected:
    """A client has received the result."""

    number: int
    forget_at: int


Record = Accepted | Granted | Renewed | AttemptFailed | Ended | Collected


@dataclass(frozen=True, slots=True)
class StoredAttempt:
    """An attempt as read from the store."""

    token: int
    number: int
    worker: str
    address: str
    entry: bytes
    sent: int
    due: int
    #: End of its lease; 0 if its worker was not known to take part, ENDED_BY_CALLBACK if that may report its
    #: end again, without its token.
    until: int
    begun: int
    state: AttemptState


@dataclass(slots=True, eq=False)
class StoredJob:
    """An open job as read from the store."""

    accepted: Accepted
    attempts: list[StoredAttempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class OpenJobs:
    """A batch of open jobs as read from the store."""

    jobs: list[StoredJob]
    damaged: list[int]  #: numbers of jobs whose records cannot be read
    last: int  #: the highest number in the batch, 0 if it is empty


@dataclass(frozen=True, slots=True)
class FoundJob:
    """A stored job in any state, as found by number, token or key."""

    number: int
    state: JobState
    digest: bytes
    result: bytes
    token: int
    timed_out: bool
    req_id: str
