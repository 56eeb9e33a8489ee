"""The reasons for which this side closes a connection; each close is logged with one of them."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The values are the texts in the log."""

    SLOT_NEEDED = "a new connection needs its slot"
    MEMORY_NEEDED = "all connections together hold too much memory"
    NO_REQUEST = "no request began in time"
    IDLE_IN_DRAIN = "idle while the program drains"
    PROGRAM_EXITING = "the program is exiting"
    CALLBACK_FOR_SUCCESSOR = "its callback is for the successor process"
    POOL_FULL = "the pool of worker connections is full"
    IDLE_TOO_LONG = "idle for longer than its worker keeps connections"
    WORKER_EXCLUDED = "its worker was excluded by an operator"
    WORKER_CLOSED = "its worker closed it or sent unexpected data"
    ATTEMPT_WITHDRAWN = "the attempt on it was withdrawn"
    UNUSABLE = "it cannot carry another request"
