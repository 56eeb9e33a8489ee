"""Deadlines by which a partly received request has to be complete, computed without I/O or a clock.

A client that stops in the middle of a request must get an error or a close within
:data:`STOPPED_CLIENT_LIMIT`; one that keeps writing slowly must get its response.  Only the time without
another byte tells them apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

STOPPED_CLIENT_LIMIT: Final = timedelta(seconds=3)  # operators' acceptance rule: an error or a close
READ_TIMEOUT_MARGIN: Final = timedelta(milliseconds=500)  # for delays of the scheduler and the response
#: From the start of a request to its last byte.
READ_TIMEOUT: Final = STOPPED_CLIENT_LIMIT - READ_TIMEOUT_MARGIN
MAX_PART_INTERVAL: Final = timedelta(seconds=1)  # between parts of a request that takes longer
MAX_REQUEST_DURATION: Final = timedelta(seconds=10)  # even if its parts keep arriving
MIN_READ_TIME: Final = timedelta(milliseconds=250)  # minimum time after a late first read or accept


@dataclass(slots=True)
class PartialRequest:
    """A request that has been read in part."""

    began: timedelta  #: when its connection was made, or its first part arrived on an older one
    first_read: timedelta  #: when its first part was read
    progressed: timedelta  #: earliest time at which its last part can have arrived

    def overdue_at(self) -> timedelta:
        """Return when its client counts as stopped."""
        complete_by = max(self.began + READ_TIMEOUT, self.progressed + MAX_PART_INTERVAL)
        return max(min(complete_by, self.first_read + MAX_REQUEST_DURATION), self.first_read + MIN_READ_TIME)


def silence_deadline(connected: timedelta, accepted: timedelta) -> timedelta:
    """Return when a connection that has received nothing counts as silent.

    It may have waited in the backlog since ``connected``, the earliest time at which it can have been made,
    until it was ``accepted``; its first bytes still get a minimum time to arrive.
    """
    return max(connected + READ_TIMEOUT, accepted + MIN_READ_TIME)
