"""Until when a request that has begun has to be whole: decided here, with no I/O and no clock.

A client that stops in the middle of a request and stays is owed an error or a close within
:data:`OWED_WITHIN`; one that writes slowly and goes on is owed its answer.  Both look the same until a while
has passed without another byte.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

OWED_WITHIN: Final = timedelta(seconds=3)  # by the standing test, an error or a close
LEEWAY: Final = timedelta(milliseconds=500)  # the scheduler may be held up, and the answer has a way to go
READ_TIMEOUT: Final = OWED_WITHIN - LEEWAY  # from the beginning of a request to its last byte
SLOW_WRITER_PAUSE: Final = timedelta(seconds=1)  # between two parts, of a request that takes longer
SLOW_REQUEST: Final = timedelta(seconds=10)  # however steadily its parts come
LAST_CHANCE: Final = timedelta(milliseconds=250)  # of one whose time was over before anything was read


@dataclass(slots=True)
class PartialRequest:
    """A request of which a part has been read."""

    began: timedelta  #: its connection was made then, or its first part came on an older one
    first_read: timedelta  #: its first part was read then
    progressed: timedelta  #: its last part came no earlier

    def overdue_at(self) -> timedelta:
        """When its client counts as one that has stopped."""
        whole_by = max(self.began + READ_TIMEOUT, self.progressed + SLOW_WRITER_PAUSE)
        return max(min(whole_by, self.first_read + SLOW_REQUEST), self.first_read + LAST_CHANCE)


def silent_at(connected: timedelta, entered: timedelta) -> timedelta:
    """When a connection on which nothing has come counts as silent.

    It may have waited for long before it ``entered``, and ``connected`` is the earliest that it can have
    been made: what its client sends first has to have the time to come.
    """
    return max(connected + READ_TIMEOUT, entered + LAST_CHANCE)
