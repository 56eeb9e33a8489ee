"""Leases: which worker holds a job until when.  No I/O and no clock: the caller passes the time.

An attempt's lease begins when its worker shows that it supports leases (by its 202, or by a callback that
carries the token), and expires one duration after its last renewal.  Workers without support never hold a
lease, and their attempts end as they do without leases.

Tokens are fencing tokens: their issuer never uses one twice, so a callback that carries a token can only be
about that one attempt.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop, heappush
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


@dataclass(slots=True)
class _Lease(Generic[Holder]):
    holder: Holder
    until: timedelta


class Leases(Generic[Holder]):
    """All current leases, by token."""

    def __init__(self, duration: timedelta) -> None:
        if duration <= timedelta():
            raise ValueError(f"duration: must be greater than 0, got {duration!r}")
        self.duration = duration
        self._leases: dict[int, _Lease[Holder]] = {}
        # A renewal changes only ``until``; expire() pushes an entry back if its lease was renewed meanwhile.
        # So a renewal costs one lookup, and each lease has one entry however often it is renewed.
        self._heap: list[tuple[timedelta, int]] = []

    def __len__(self) -> int:
        return len(self._leases)

    def grant_or_renew(self, token: int, holder: Holder, now: timedelta) -> timedelta:
        """Grant or renew a lease; return its expiry.  The caller has checked that the attempt is open."""
        until = now + self.duration
        lease = self._leases.get(token)
        if lease is None:
            self._leases[token] = _Lease(holder, until)
            heappush(self._heap, (until, token))
        else:
            lease.until = until
        return until

    def held(self, token: int) -> bool:
        """Return whether there is a lease with this token."""
        return token in self._leases

    def end(self, token: int) -> None:
        """Release a lease whose attempt has ended; does nothing if there is none."""
        self._leases.pop(token, None)
        if len(self._heap) > 64 and len(self._heap) > 2 * len(self._leases):
            self._heap = sorted(entry for entry in self._heap if entry[1] in self._leases)

    def expire(self, now: timedelta) -> list[Holder]:
        """End the leases that have expired by ``now``; return their holders, the earliest expiry first."""
        expired = []
        while self._heap and self._heap[0][0] <= now:
            _, token = heappop(self._heap)
            lease = self._leases.get(token)
            if lease is None:
                continue
            if lease.until <= now:
                expired.append(lease.holder)
                del self._leases[token]
            else:
                heappush(self._heap, (lease.until, token))
        return expired

    def due(self) -> timedelta | None:
        """Return a time before which no lease expires, None if there are no leases."""
        while self._heap and self._heap[0][1] not in self._leases:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None
