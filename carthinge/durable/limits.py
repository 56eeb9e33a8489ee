"""Limits on the durable jobs that are accepted.  No I/O and no clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Final

RESERVED_SHARE: Final = 0.1  # of the store, for the results of jobs that were accepted already
OPEN_JOB_BYTES: Final = 2048  # of an open job in memory, without its body
RECORD_OVERHEAD_BYTES: Final = 600  # on disk, per job beside its body, with its likely attempts


class ShedReason(Enum):
    """Why a durable job is not accepted; each reason is temporary."""

    FAILING = "the store cannot be written"
    BACKLOG = "the store lags behind"
    FULL = "the store is full"
    OPEN = "too many durable jobs are open"
    TENANT = "too many durable jobs of this tenant are open"
    BYTES = "the open durable jobs are too large together"


@dataclass(slots=True)
class Limits:
    """Counts open jobs, and decides whether another one may be accepted."""

    max_open: int
    max_open_per_tenant: int
    max_open_bytes: int
    max_store_bytes: int
    max_backlog: int
    max_memory_bytes: float = inf  # of bodies and records together, whatever the operator's file allows
    open: int = 0
    bytes: int = 0
    tenants: Counter[str] = field(default_factory=Counter)

    def shed_reason(
        self, tenant: str, size: int, backlog: int, store_bytes: int, failing: bool
    ) -> ShedReason | None:
        """Return why a job with a body of ``size`` bytes is not accepted, None if it is.

        ``backlog``: records not on disk yet; ``store_bytes``: in use on disk, as last measured.  Each record
        of the backlog counts as a job of this size, since it may be one.
        """
        if failing:
            return ShedReason.FAILING
        if backlog >= self.max_backlog:
            return ShedReason.BACKLOG
        available_bytes = (1 - RESERVED_SHARE) * self.max_store_bytes - store_bytes
        if available_bytes < (backlog + 1) * (size + RECORD_OVERHEAD_BYTES):
            return ShedReason.FULL
        if self.open >= self.max_open:
            return ShedReason.OPEN
        if self.tenants[tenant] >= self.max_open_per_tenant:
            return ShedReason.TENANT
        memory_bytes = self.bytes + size + (self.open + 1) * OPEN_JOB_BYTES
        if self.bytes + size > self.max_open_bytes or memory_bytes > self.max_memory_bytes:
            return ShedReason.BYTES
        return None

    def add(self, tenant: str, size: int) -> None:
        """Count an open job; recovered jobs are counted even beyond the limits."""
        self.open += 1
        self.bytes += size
        self.tenants[tenant] += 1

    def remove(self, tenant: str, size: int) -> None:
        """Stop counting a job that has ended."""
        self.open -= 1
        self.bytes -= size
        self.tenants[tenant] -= 1
        if not self.tenants[tenant]:
            del self.tenants[tenant]
        assert self.open >= 0 and self.bytes >= 0, "a job was removed that had not been added"
