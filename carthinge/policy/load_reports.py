"""Load reports: free slots that workers tell of, with their answers or asked by probes."""

from collections import deque
from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.records import Job, Worker

SAMPLE: Final = 16  # workers looked at for a pick: near the best of all, at a cost that does not grow
PROBE_SPEND: Final = 0.008  # points of service spent on probes for each job


class LoadReports:
    """Free slots that workers tell of, with their answers or asked by probes."""

    def __init__(self, context: DispatchContext) -> None:
        self.context, self.asks = context, False
        self.latest: deque[Worker] = deque(maxlen=SAMPLE // 2)
        self._probes = 0.0  # that may be sent

    def take(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Take a report that came with an answer."""
        settings = self.context.settings
        values = dict(zip(settings.report_fields, report, strict=False))
        if "free_slots" not in values:
            return
        free = values["free_slots"]
        held = values.get("held", 0.0) if free > 0.5 else 0.0
        self.context.fleet.shown(
            worker.pool, round(free + held), rated=settings.weights in (io.Weights.NOMINAL, io.Weights.ROUGH)
        )
        worker.free = round(free)
        if worker.free_at < 0 or worker not in self.latest:
            self.latest.append(worker)
        worker.free_at = self.context.now

    def earn(self, job: Job) -> None:
        """Each job brings its part of what probes may cost, and spends of it."""
        brought = PROBE_SPEND / max(self.context.settings.price_probe, 1e-4)
        self._probes = min(self._probes + brought, 3 * SAMPLE)
        self.ask(job)

    def ask(self, job: Job) -> None:
        """A few workers are asked before a pick; more while a head stays blocked, within the spending."""
        pool = self.context.fleet.pool(job.spec.kind)
        for _ in range(min(4, int(self._probes), len(pool))):
            worker = pool[int(self.context.rng.random() * len(pool))]
            if worker.avoid_until <= self.context.now:
                self._probes -= 1
                self.context.actions.append(io.Probe(worker.id))

    def probed(self, event: io.ProbeResult) -> None:
        """Take the result of a probe."""
        worker = self.context.fleet.workers.get(event.worker)
        if worker and event.result is not io.Result.OK:
            worker.avoid(self.context.now + int(self.context.mean_work))
        elif worker and event.report:
            self.take(worker, event.report)
            self.context.freed.append(worker)
