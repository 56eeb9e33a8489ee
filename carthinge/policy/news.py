"""What is asked of the outside and told to it: lists of workers, other gateways, reports and probes."""

from collections import deque
from typing import Final

from carthinge import interface as io
from carthinge.desk import Desk
from carthinge.records import Job, Worker

SAMPLE: Final = 16  # workers looked at for a pick: near the best of all, at a cost that does not grow
CAP_START: Final = 4.0  # outstanding slots at a worker that nothing is known of
PROBE_SPEND: Final = 0.008  # points of service spent on probes for each job
WATCH_AGAIN: Final = 0.0125  # of the span to ask within: two lists lost in a row may not miss a drain
AGAIN_LEAST: Final = 2_000_000  # microseconds: the longest pause between calls that fail, of a few gateways
AGAIN_EACH: Final = 20_000  # for each gateway, where many share one list of fixed capacity
AGAIN_MOST: Final = 4_000_000  # a change counts as told 6 s after it could be had
TELL_SPEND: Final = 0.02  # points of service spent on messages for each job
TELL_LEAST: Final = 50_000


class Outside:
    """Discovery and the other gateways."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self._tries = 0  # lists that failed in a row

    def listed(self, event: io.WorkerList) -> None:
        desk, settings = self.desk, self.desk.settings
        if event.listing is io.Listing.FAILED:  # where no time to ask within is told, the grace bounds it
            self._tries += 1
            most = min(max(AGAIN_LEAST, AGAIN_EACH * settings.instances), AGAIN_MOST)
            spread = (settings.ask_within or settings.drain_grace) * min(1.0, WATCH_AGAIN * 2**self._tries)
            spread = min(spread, most)  # what discovery has when it can be reached counts as told soon after
            desk.after(desk.now + int(desk.rng.uniform(0.3, 1.0) * spread), desk.watch)
            return
        if event.listing is io.Listing.CACHED:
            self._begin()
        else:
            self._tries = 0
        desk.fleet.take(event, CAP_START)

    def _begin(self) -> None:
        """Watches of hundreds of gateways are spread so that a list of fixed capacity can answer."""
        desk, settings = self.desk, self.desk.settings
        if settings.subscribe:
            spread = min(settings.ask_within * 0.8, settings.instances * 20_000)
            turn = settings.position + desk.rng.random()
            desk.after(desk.now + int(spread * turn / settings.instances), desk.watch)
        if settings.may_tell and settings.instances > 1 and settings.weights is not io.Weights.LIVE:
            desk.after(desk.now + int(TELL_LEAST * desk.rng.random()), self._tell)

    def _tell(self) -> None:
        """Own outstanding work, told to the others as often as its price allows."""
        desk, body = self.desk, self.desk.loads()
        desk.actions.append(io.Tell(body))
        cost = desk.settings.price_message * (len(body) + 8) / 256 * (desk.settings.instances - 1)
        gap = cost / (TELL_SPEND * max(desk.arrivals.per_s, 0.1)) * 1e6
        desk.after(desk.now + max(TELL_LEAST, int(gap)), self._tell)


class Reports:
    """Free slots that workers tell of, with their answers or asked by probes."""

    def __init__(self, desk: Desk) -> None:
        self.desk, self.asks = desk, False
        self.latest: deque[Worker] = deque(maxlen=SAMPLE // 2)
        self._probes = 0.0  # that may be sent

    def take(self, worker: Worker, report: tuple[float, ...]) -> None:
        settings = self.desk.settings
        values = dict(zip(settings.report_fields, report, strict=False))
        if "free_slots" not in values:
            return
        free = values["free_slots"]
        held = values.get("held", 0.0) if free > 0.5 else 0.0
        self.desk.fleet.shown(
            worker.pool, round(free + held), rated=settings.weights in (io.Weights.NOMINAL, io.Weights.ROUGH)
        )
        worker.free = round(free)
        if worker.free_at < 0 or worker not in self.latest:
            self.latest.append(worker)
        worker.free_at = self.desk.now

    def earn(self, job: Job) -> None:
        """Each job brings its part of what probes may cost, and spends of it."""
        self._probes = min(self._probes + PROBE_SPEND / max(self.desk.settings.price_probe, 1e-4), 3 * SAMPLE)
        self.ask(job)

    def ask(self, job: Job) -> None:
        """A few workers are asked before a pick; more while a head stays blocked, within the spending."""
        pool = self.desk.fleet.pool(job.spec.kind)
        for _ in range(min(4, int(self._probes), len(pool))):
            worker = pool[int(self.desk.rng.random() * len(pool))]
            if worker.avoid_until <= self.desk.now:
                self._probes -= 1
                self.desk.actions.append(io.Probe(worker.id))

    def probed(self, event: io.ProbeResult) -> None:
        worker = self.desk.fleet.workers.get(event.worker)
        if worker and event.result is not io.Result.OK:
            worker.avoid(self.desk.now + int(self.desk.mean_work))
        elif worker and event.report:
            self.take(worker, event.report)
            self.desk.freed.append(worker)
