"""Why this side closes a connection: each close is logged with one of these."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The values are the words in the log."""

    SLOT_NEEDED = "a new connection needs its slot"
    NO_REQUEST = "no request began in time"
    IDLE_IN_DRAIN = "idle, and the program drains"
    PROGRAM_ENDS = "the program ends"
    CALL_BACK_ELSEWHERE = "its call-back is for the next process"
    POOL_FULL = "the pool of worker connections is full"
    IDLE_TOO_LONG = "idle for longer than its worker keeps it"
    WORKER_OUT = "its worker was taken out by hand"
    WORKER_CLOSED = "its worker has closed it or sent something unasked"
    NOT_WANTED = "the request on it is not wanted any more"
    UNUSABLE = "it cannot carry another request"
