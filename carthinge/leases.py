"""Leases: which worker holds a job until when.  No I/O and no clock: the caller says what time it is.

An attempt's lease begins once its worker has shown that it takes part (by its 202, or by a call-back that
carries the token), and ends one duration after the last sign.  Workers that know nothing of leases never hold
one, and their attempts end as ever.

Tokens are fencing tokens: whoever grants them sees to it that none is ever used twice, so that a call-back
that carries one can only be about that one attempt.
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
    """All leases that are out, by their tokens."""

    def __init__(self, duration: timedelta) -> None:
        if duration <= timedelta():
            raise ValueError(f"duration: must be over 0, got {duration!r}")
        self.duration = duration
        self._leases: dict[int, _Lease[Holder]] = {}
        # A renewal moves ``until`` only; the entry here is put back when it comes up too early.  So a renewal
        # costs no more than a look-up, and there is one entry for each lease however often it is renewed.
        self._heap: list[tuple[timedelta, int]] = []

    def __len__(self) -> int:
        return len(self._leases)

    def hold(self, token: int, holder: Holder, now: timedelta) -> timedelta:
        """Its worker has given a sign; until when it holds now.  The caller knows that the attempt is out."""
        until = now + self.duration
        lease = self._leases.get(token)
        if lease is None:
            self._leases[token] = _Lease(holder, until)
            heappush(self._heap, (until, token))
        else:
            lease.until = until
        return until

    def held(self, token: int) -> bool:
        """Its worker takes part, and its time is not over."""
        return token in self._leases

    def end(self, token: int) -> None:
        """The attempt has ended otherwise; harmless where there is no such lease."""
        self._leases.pop(token, None)
        if len(self._heap) > 64 and len(self._heap) > 2 * len(self._leases):
            self._heap = sorted(entry for entry in self._heap if entry[1] in self._leases)

    def expire(self, now: timedelta) -> list[Holder]:
        """Whose time is over by ``now``, the longest over first; their leases are ended."""
        over = []
        while self._heap and self._heap[0][0] <= now:
            _, token = heappop(self._heap)
            lease = self._leases.get(token)
            if lease is None:
                continue
            if lease.until <= now:
                over.append(lease.holder)
                del self._leases[token]
            else:
                heappush(self._heap, (lease.until, token))
        return over

    def due(self) -> timedelta | None:
        """No lease is over before this time; None while there are none."""
        while self._heap and self._heap[0][1] not in self._leases:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None
