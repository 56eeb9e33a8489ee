"""Sets up and runs one simulation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Final

from carthinge import interface as io
from carthinge.model.clients import ClientRequest, ModelClients
from carthinge.model.scheduler import Factory, Scheduler
from carthinge.model.tally import Tally
from carthinge.model.virtual_clock import SECOND, VirtualClock, micros
from carthinge.model.workers import ModelWorker, ProgramStore, draw_workers
from carthinge.model.world import FaultKind, SchedulerKill, WorkerFault, WorkerKind, World, lognormal
from carthinge.policy import Dispatcher

SAMPLE_INTERVAL_US: Final = SECOND // 20
MAX_LIST_DELAY_US: Final = 20_000  # time within which discovery answers a watch


class Simulation:
    """A run of a world with a seed and a factory of decision modules."""

    def __init__(self, world: World, seed: object = 1, make: Factory = Dispatcher) -> None:
        self.world, self.seed, self.make = world, seed, make
        self.clock = VirtualClock()
        drawn = draw_workers(world.kinds, world.workers, Random(f"{seed}/kinds"))
        self.tally = Tally(sum(kind.cores for kind in drawn))
        self._rng, self._work_rng = Random(f"{seed}/net"), Random(f"{seed}/work")
        self.worker_delay = self._delay_source(micros(world.worker_delay), world.jitter)
        self.client_delay = self._delay_source(micros(world.client_delay), world.jitter)
        workers_rng, self.store = Random(f"{seed}/workers"), self._make_store(drawn)
        self.workers = {
            number: self._make_worker(number, world.kinds.index(kind), workers_rng)
            for number, kind in enumerate(drawn, 1)
        }
        self.capacity = sum(worker.speed * worker.kind.cores for worker in self.workers.values())
        self.entries = {number: worker.entry for number, worker in self.workers.items()}
        self.schedulers = [Scheduler(self, position) for position in range(world.schedulers)]
        self._routable = list(self.schedulers)
        self.clients = ModelClients(world, self.clock, self.tally, self, self.capacity, seed)

    def _make_worker(self, number: int, kind: int, rng: Random) -> ModelWorker:
        worker_kind, keys = self.world.kinds[kind], self.world.keys
        rating = float(worker_kind.cores) if self.world.settings.weights is not io.Weights.OFF else 1.0
        return ModelWorker(
            self.clock,
            self.tally,
            worker_kind,
            io.WorkerEntry(number, kind=kind, rating=rating),
            Random(rng.getrandbits(64)),
            self.world.settings,
            self.worker_delay,
            micros(self.world.connect_timeout),
            self.store,
            max(1, round(keys.cached_per_slot * worker_kind.cores)) if keys else 0,
        )

    def _make_store(self, drawn: list[WorkerKind]) -> ProgramStore | None:
        keys, work = self.world.keys, micros(self.world.mean_work())
        jobs = sum(kind.speed * kind.cores for kind in drawn) / work
        return ProgramStore(self.clock, int(keys.min_fetch * work), keys.fetch_rate * jobs) if keys else None

    def _delay_source(self, mean: int, jitter: float) -> Callable[[], int]:
        minimum, range_us, rng = mean * (1 - jitter), 2 * mean * jitter, self._rng
        return lambda: int(minimum + range_us * rng.random())

    def run(self) -> Tally:
        """Run until the last client has left."""
        for scheduler in self.schedulers:
            self._start_scheduler(scheduler, tuple(self.entries.values()))
        if self.world.settings.reports is not io.Reports.OFF:
            interval = micros(self.world.report_every)
            for number, worker in self.workers.items():
                worker.refresh(interval)
                self.clock.call_at(interval * number // len(self.workers), worker.refresh, interval)
        for number, fault in enumerate(self.world.worker_faults):
            self.clock.call_at(
                micros(fault.at), self._inject_fault, fault, Random(f"{self.seed}/trouble/{number}")
            )
        for number, kill in enumerate(self.world.scheduler_kills):
            self.clock.call_at(
                micros(kill.at), self._kill_schedulers, kill, Random(f"{self.seed}/herd/{number}")
            )
        self._sample()
        self.clients.start()
        last = max(profile.spec.deadline for profile in self.world.job_profiles)
        self.clock.run(micros(self.world.length()) + last + SECOND)
        return self.tally

    def _start_scheduler(
        self, scheduler: Scheduler, listed: tuple[io.WorkerEntry, ...], restarts: int = 0
    ) -> None:
        settings = replace(self.world.settings, instances=self.world.schedulers, position=scheduler.position)
        seed = Random(f"{self.seed}/module/{scheduler.position}/{restarts}").getrandbits(63)
        scheduler.start(self.make(settings, seed), listed)

    def _sample(self) -> None:
        second = self.tally.second_at(self.clock.now)
        second.outstanding += sum(worker.outstanding for worker in self.workers.values())
        second.samples += 1
        self.clock.call_at(self.clock.now + SAMPLE_INTERVAL_US, self._sample)

    # ---- services for schedulers and clients ----------------------------------------------

    def draw_attempt_work(self, work: int, job_class: int) -> int:
        """Draw the work of one attempt of a job."""
        return max(1, int(work * lognormal(self._work_rng, self.world.job_profiles[job_class].noise)))

    def choose_scheduler(self) -> Scheduler:
        """Choose at random among the schedulers that the load balancer considers up."""
        candidates = self._routable or self.schedulers
        return candidates[int(self._rng.random() * len(candidates))]

    def watch(self, scheduler: Scheduler) -> None:
        """Answer a watch with the whole list, and later with all changes."""
        module = scheduler.module

        def answer() -> None:
            if scheduler.module is module:
                scheduler.watching = True
                scheduler.handle_event(io.WorkerList(io.Listing.WHOLE, tuple(self.entries.values())))

        self.clock.call_at(self.clock.now + int(MAX_LIST_DELAY_US * self._rng.random()), answer)

    def send_message(self, sender: Scheduler, body: bytes, to: int | None) -> None:
        """Send a message to one scheduler, or to all others."""
        for scheduler in self.schedulers if to is None else (self.schedulers[to],):
            if scheduler is not sender:
                self.clock.call_at(
                    self.clock.now + self.worker_delay(),
                    scheduler.handle_event,
                    io.Message(sender.position, body),
                )

    # ---- faults ---------------------------------------------------------------------------

    def _update_listing(self, entry: io.WorkerEntry) -> None:
        """Record a change in discovery and send it to the schedulers that watch."""
        self.entries[entry.worker] = entry
        for scheduler in self.schedulers:
            if scheduler.watching:
                delay = int(micros(self.world.list_delay) * self._rng.random())
                self.clock.call_at(
                    self.clock.now + delay, self._deliver_change, scheduler, scheduler.module, entry
                )

    @staticmethod
    def _deliver_change(scheduler: Scheduler, module: object, entry: io.WorkerEntry) -> None:
        if scheduler.module is module:
            scheduler.handle_event(io.WorkerList(io.Listing.CHANGES, (entry,)))

    def _inject_fault(self, fault: WorkerFault, rng: Random) -> None:
        """Inject a fault into a share of the workers that have none."""
        now, healthy = self.clock.now, [worker for worker in self.workers.values() if worker.fault is None]
        count = max(1, round(fault.share * len(self.workers)))
        for worker in rng.sample(healthy, min(len(healthy), count)):
            worker.inject_fault(fault.kind, fault.severity)
            end = now + micros(fault.duration)
            if fault.delisted_after is not None and fault.delisted_after < fault.duration:
                gone = replace(worker.entry, state=io.State.GONE)
                self.clock.call_at(now + micros(fault.delisted_after), self._update_listing, gone)
            self.clock.call_at(end, self._recover, worker)

    def _recover(self, worker: ModelWorker) -> None:
        previous = worker.fault
        worker.recover()
        if previous in (FaultKind.REFUSES, FaultKind.SILENT):
            worker.entry = replace(worker.entry, started=self.clock.now)
        if self.entries[worker.entry.worker] != worker.entry:
            self._update_listing(worker.entry)

    def _kill_schedulers(self, kill: SchedulerKill, rng: Random) -> None:
        now, min_downtime = self.clock.now, micros(kill.min_downtime)
        running = [scheduler for scheduler in self.schedulers if scheduler.module is not None]
        for scheduler in rng.sample(running, round(kill.share * len(running))):
            last_list = tuple(self.entries.values())
            for client in scheduler.kill():
                if isinstance(client, ClientRequest):
                    client.connection_lost()
            detection = micros(kill.balancer_detects_after)
            restart_at = now + min_downtime + int(min_downtime * rng.random())
            if now + detection < restart_at:
                self.clock.call_at(now + detection, self._routable.remove, scheduler)
                self.clock.call_at(restart_at, self._routable.append, scheduler)
            self.clock.call_at(restart_at, self._start_scheduler, scheduler, last_list, 1)
