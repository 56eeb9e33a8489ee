"""Fair queueing among tenants: deficit round robin by share, and quotas."""

import math
from collections.abc import Callable, Sequence
from typing import Final

from carthinge import interface as io
from carthinge.meters import Bucket
from carthinge.records import Job, TenantQueue

MIN_QUOTA_BURST: Final = 5.0  # requests above a quota, for random bursts
QUOTA_BURST_S: Final = 3.0  # the burst in seconds of the quota, where that is more


class DeficitRoundRobin:
    """Deficit round robin over the heads of the tenants' queues (PAPER-dynamo-drr-queue)."""

    def __init__(self, quanta: Sequence[float]) -> None:
        self.queues = [TenantQueue(quantum) for quantum in quanta]
        self.cursor = 0

    def set_quanta(self, quanta: Sequence[float], previous: Sequence[int]) -> None:
        """Apply new quanta; queues keep jobs and credit, and a removed one stays while its jobs wait.

        ``previous``: the earlier index of each queue, -1 for a new one.
        """
        kept = [self.queues[old] if old >= 0 else TenantQueue(0.0) for old in previous]
        for queue, quantum in zip(kept, quanta, strict=True):
            queue.quantum = quantum
        self.queues = kept + [queue for queue in self.queues if queue not in kept and queue.head()]
        self.cursor %= len(self.queues)

    def select(self, dispatchable: Callable[[Job], bool]) -> TenantQueue | None:
        """Return the queue whose head is dispatched next, or None if no head is dispatchable."""
        ready: dict[int, Job] = {}
        size = len(self.queues)
        for index in [(self.cursor + step) % size for step in range(size)]:
            queue = self.queues[index]
            # A blocked queue keeps its credit and earns none.
            if head := queue.dispatchable_head(dispatchable):
                if queue.deficit < head.cost:
                    queue.deficit += queue.quantum
                if queue.deficit >= head.cost:
                    self.cursor = index
                    return queue
                ready[index] = head
        return self._bulk_credit(ready) if ready else None

    def _bulk_credit(self, ready: dict[int, Job]) -> TenantQueue:
        """After a round without a selection, grant at once the rounds until a first head is covered."""
        queues = self.queues
        rounds = min(math.ceil((ready[i].cost - queues[i].deficit) / queues[i].quantum) for i in ready)
        for index in ready:
            queues[index].deficit += queues[index].quantum * rounds
        self.cursor = next((i for i in ready if queues[i].deficit >= ready[i].cost), -1)
        return queues[self.cursor]

    def charge(self, queue: TenantQueue) -> Job:
        """Dequeue the head of the queue just selected and advance the cursor."""
        job = queue.pop()
        queue.deficit -= job.cost
        if (head := queue.head()) is None:
            queue.deficit = 0.0
        if head is None or head.cost > queue.deficit:
            self.cursor = (self.cursor + 1) % len(self.queues)
        return job


class Tenants:
    """The queues and quotas of the tenants, in the order of the settings."""

    def __init__(self) -> None:
        self.ring = DeficitRoundRobin(())
        self.quotas: list[Bucket] = []

    def configure(self, settings: io.Settings, previous: Sequence[int]) -> None:
        """Set quanta in proportion to shares; a tenant without one gets a hundredth of the mean."""
        shares = [tenant.share for tenant in settings.tenants] or [1.0]
        mean = sum(shares) / len(shares) or 1.0
        scale = min(spec.objective for spec in settings.classes) or 1
        self.ring.set_quanta(
            [max(share / mean, 0.01) * scale for share in shares],
            previous or [min(len(self.ring.queues), 1) - 1],
        )
        quotas = [tenant.quota_per_s / settings.instances for tenant in settings.tenants]
        self.quotas = [
            Bucket(part, max(MIN_QUOTA_BURST, QUOTA_BURST_S * part), MIN_QUOTA_BURST) for part in quotas
        ]

    def queue(self, tenant: int) -> TenantQueue:
        """Return the queue of a tenant; a tenant not in the settings uses the first."""
        return self.ring.queues[tenant if tenant < len(self.ring.queues) else 0]

    def within_quota(self, tenant: int, now: int) -> bool:
        """Count a request; False if it exceeds this scheduler's part of the tenant's quota."""
        return tenant >= len(self.quotas) or self.quotas[tenant].take(now)
