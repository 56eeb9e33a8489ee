"""Limits and intervals of the membership protocol; intervals are in periods or fractions of one."""

from __future__ import annotations

from typing import Final

from carthinge.fleet.packets import UINT48_LIMIT

MAX_MEMBERS: Final = 2048  # at the limit the member that is gone longest is dropped
PING_REQ_MEMBERS: Final = 3  # members that are asked to ping another one
REPEAT_PING_AFTER: Final = 0.15  # of a period, from the first ping of a check
PING_REQ_AFTER: Final = 0.3  # of a period, from the first ping of a check
CHECK_TIMEOUT: Final = 0.6  # of a period, from the first ping of a check
MAX_FAILED_CHECKS: Final = 3  # own checks in a row, after which a suspected member is dead
FANOUT: Final = 8  # members that get a gossip message in each period
MAX_PAUSE: Final = 5  # periods between two calls; after more the process was stopped, its view is stale
RETENTION: Final = 3600  # periods for which dead members are kept, so that stale updates do not revive them
SYNC_INTERVAL: Final = 8  # periods between two pages of another member's list
CLEANUP_INTERVAL: Final = 64  # periods
MAX_INCREASE: Final = 1 << 20  # by which a third member's update may raise an incarnation
OUTBID_LIMIT: Final = UINT48_LIMIT // 2  # to rejoin, a member refutes any incarnation up to that
