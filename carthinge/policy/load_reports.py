"""Load reports: free slots that workers report with results or in answer to probes."""

from collections import deque
from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.records import Job, Worker

SAMPLE_SIZE: Final = 16  # workers examined for a job: near the optimum, at a cost independent of fleet size
PROBE_COST_PER_JOB: Final = 0.008  # points of service


class LoadReports:
    """Applies load reports and sends probes for them within a budget."""

    def __init__(self, context: DispatchContext) -> None:
        self.context, self.uses_probes = context, False
        self.recent_workers: deque[Worker] = deque(maxlen=SAMPLE_SIZE // 2)
        self._probe_budget = 0.0  # probes that may be sent

    def handle_report(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Apply a load report of a worker."""
        settings = self.context.settings
        values = dict(zip(settings.report_fields, report, strict=False))
        if "free_slots" not in values:
            return
        free = values["free_slots"]
        held = values.get("held", 0.0) if free > 0.5 else 0.0
        self.context.fleet.record_slots(
            worker.kind_stats,
            round(free + held),
            rated=settings.weights in (io.Weights.NOMINAL, io.Weights.ROUGH),
        )
        worker.free = round(free)
        if worker.free_at < 0 or worker not in self.recent_workers:
            self.recent_workers.append(worker)
        worker.free_at = self.context.now

    def probe_for(self, job: Job) -> None:
        """Add a new job's part to the probe budget and send probes for it."""
        earned = PROBE_COST_PER_JOB / max(self.context.settings.price_probe, 1e-4)
        self._probe_budget = min(self._probe_budget + earned, 3 * SAMPLE_SIZE)
        self.send_probes(job)

    def send_probes(self, job: Job) -> None:
        """Probe a few workers before a job is sent, and more while it stays blocked, within the budget."""
        pool = self.context.fleet.pool(job.spec.kind)
        for _ in range(min(4, int(self._probe_budget), len(pool))):
            worker = pool[int(self.context.rng.random() * len(pool))]
            if worker.avoid_until <= self.context.now:
                self._probe_budget -= 1
                self.context.actions.append(io.Probe(worker.id))

    def handle_probe_result(self, event: io.ProbeResult) -> None:
        """Apply the report of a probe; avoid the worker for a while if the probe failed."""
        worker = self.context.fleet.workers.get(event.worker)
        if worker and event.result is not io.Result.OK:
            worker.avoid(self.context.now + int(self.context.mean_work))
        elif worker and event.report:
            self.handle_report(worker, event.report)
            self.context.freed_workers.append(worker)
