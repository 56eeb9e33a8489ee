"""How much durable work is taken on.  No I/O and no clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

SPARE_PART: Final = 0.1  # of the store, for the results of what has been taken already
RECORD_BYTES: Final = 600  # on disk, of a job beside its body and of the attempts that it is likely to have


class Shed(Enum):
    """Why a durable job is not taken on; each goes away by itself."""

    FAILING = "the store cannot be written"
    BACKLOG = "the store lags behind"
    FULL = "the store is full"
    OPEN = "too many durable jobs are open"
    TENANT = "too many durable jobs of this tenant are open"
    BYTES = "the open durable jobs are too large together"


@dataclass(slots=True)
class Limits:
    """Counts what is open, and says what still fits."""

    max_open: int
    max_open_per_tenant: int
    max_open_bytes: int
    max_store_bytes: int
    max_backlog: int
    open: int = 0
    bytes: int = 0
    tenants: Counter[str] = field(default_factory=Counter)

    def refusal(self, tenant: str, size: int, backlog: int, store_bytes: int, failing: bool) -> Shed | None:
        """Why a job with a body of ``size`` bytes is not taken on, None where it is.

        ``backlog``: records that wait for the disk; ``store_bytes``: in use on disk, as last measured.  What
        waits for the disk still is counted as if each record were a job of this size: it may be.
        """
        if failing:
            return Shed.FAILING
        if backlog >= self.max_backlog:
            return Shed.BACKLOG
        room = (1 - SPARE_PART) * self.max_store_bytes - store_bytes
        if room < (backlog + 1) * (size + RECORD_BYTES):
            return Shed.FULL
        if self.open >= self.max_open:
            return Shed.OPEN
        if self.tenants[tenant] >= self.max_open_per_tenant:
            return Shed.TENANT
        if self.bytes + size > self.max_open_bytes:
            return Shed.BYTES
        return None

    def enter(self, tenant: str, size: int) -> None:
        """A job is open from now on; recovered ones are, whatever the limits say."""
        self.open += 1
        self.bytes += size
        self.tenants[tenant] += 1

    def leave(self, tenant: str, size: int) -> None:
        """It has ended."""
        self.open -= 1
        self.bytes -= size
        self.tenants[tenant] -= 1
        if not self.tenants[tenant]:
            del self.tenants[tenant]
        assert self.open >= 0 and self.bytes >= 0, "a job left that had not entered"
