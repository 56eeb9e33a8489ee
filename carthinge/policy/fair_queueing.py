"""What each tenant may have: its class of the ring by its share, and its quota here."""

import math
from collections.abc import Callable, Sequence
from typing import Final

from carthinge import interface as io
from carthinge.meters import Bucket
from carthinge.records import Job, TenantQueue

QUOTA_DEPTH: Final = 5.0  # requests a tenant may be ahead of its quota here, for chance
QUOTA_SECONDS: Final = 3.0  # or so many seconds of its quota, if that is more


class DeficitRing:
    """Deficit round robin over the tenants' heads (PAPER-dynamo-drr-queue)."""

    def __init__(self, quanta: Sequence[float]) -> None:
        self.queues = [TenantQueue(quantum) for quantum in quanta]
        self.cursor = 0

    def retune(self, quanta: Sequence[float], before: Sequence[int]) -> None:
        """Classes go on with heap and credit; one that is dropped stays while its jobs wait."""
        kept = [self.queues[was] if was >= 0 else TenantQueue(0.0) for was in before]
        for queue, quantum in zip(kept, quanta, strict=True):
            queue.quantum = quantum
        self.queues = kept + [queue for queue in self.queues if queue not in kept and queue.head()]
        self.cursor %= len(self.queues)

    def select(self, dispatchable: Callable[[Job], bool]) -> TenantQueue | None:
        """The class whose head leaves next; None when no head can."""
        ready: dict[int, Job] = {}
        size = len(self.queues)
        for index in [(self.cursor + step) % size for step in range(size)]:
            queue = self.queues[index]
            if head := queue.free_head(dispatchable):  # a blocked one keeps its credit and earns none
                if queue.deficit < head.cost:
                    queue.deficit += queue.quantum
                if queue.deficit >= head.cost:
                    self.cursor = index
                    return queue
                ready[index] = head
        return self._bulk_credit(ready) if ready else None

    def _bulk_credit(self, ready: dict[int, Job]) -> TenantQueue:
        """After a fruitless ring, the rounds until a first head is covered, given all at once."""
        queues = self.queues
        rounds = min(math.ceil((ready[i].cost - queues[i].deficit) / queues[i].quantum) for i in ready)
        for index in ready:
            queues[index].deficit += queues[index].quantum * rounds
        self.cursor = next((i for i in ready if queues[i].deficit >= ready[i].cost), -1)
        return queues[self.cursor]

    def charge(self, queue: TenantQueue) -> Job:
        """Takes the head of the class just selected and moves the cursor."""
        job = queue.pop()
        queue.deficit -= job.cost
        if (head := queue.head()) is None:
            queue.deficit = 0.0
        if head is None or head.cost > queue.deficit:
            self.cursor = (self.cursor + 1) % len(self.queues)
        return job


class Tenants:
    """The ring and the quotas, in the order of the settings' tenants."""

    def __init__(self) -> None:
        self.ring = DeficitRing(())
        self.quotas: list[Bucket] = []

    def adopt(self, settings: io.Settings, before: Sequence[int]) -> None:
        """Quanta follow the shares; a tenant without one still gets a hundredth of the mean."""
        shares = [tenant.share for tenant in settings.tenants] or [1.0]
        mean = sum(shares) / len(shares) or 1.0
        scale = min(spec.objective for spec in settings.classes) or 1
        self.ring.retune(
            [max(share / mean, 0.01) * scale for share in shares],
            before or [min(len(self.ring.queues), 1) - 1],
        )
        quotas = [tenant.quota_per_s / settings.instances for tenant in settings.tenants]
        self.quotas = [Bucket(part, max(QUOTA_DEPTH, QUOTA_SECONDS * part), QUOTA_DEPTH) for part in quotas]

    def queue(self, tenant: int) -> TenantQueue:
        """The class of a tenant; one that no setting names has that of the first."""
        return self.ring.queues[tenant if tenant < len(self.ring.queues) else 0]

    def within(self, tenant: int, now: int) -> bool:
        """Counts a request; False where it is beyond this gateway's part of the quota."""
        return tenant >= len(self.quotas) or self.quotas[tenant].take(now)
