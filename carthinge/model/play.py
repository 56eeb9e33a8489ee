"""One play: puts the parts together and lets the time pass."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Final

from carthinge import interface as io
from carthinge.model.agenda import SECOND, Agenda, micros
from carthinge.model.clients import ModelClients, Try
from carthinge.model.scheduler import Make, Scheduler
from carthinge.model.tally import Tally
from carthinge.model.workers import ModelWorker, Store, draw_workers
from carthinge.model.world import Herd, Ill, Trouble, WorkerKind, World, lognormal
from carthinge.policy import Dispatcher

SAMPLE_EVERY: Final = SECOND // 20
LIST_WITHIN: Final = 20_000  # microseconds in which discovery answers a watch


class Play:
    """A world, a seed, and what decides in each scheduler."""

    def __init__(self, world: World, seed: object = 1, make: Make = Dispatcher) -> None:
        self.world, self.seed, self.make = world, seed, make
        self.agenda = Agenda()
        drawn = draw_workers(world.kinds, world.workers, Random(f"{seed}/kinds"))
        self.tally = Tally(sum(kind.cores for kind in drawn))
        self._rng, self._work = Random(f"{seed}/net"), Random(f"{seed}/work")
        self.worker_delay = self._delays(micros(world.worker_delay), world.jitter)
        self.client_delay = self._delays(micros(world.client_delay), world.jitter)
        own, self.store = Random(f"{seed}/workers"), self._store(drawn)
        self.workers = {
            number: self._worker(number, world.kinds.index(kind), own) for number, kind in enumerate(drawn, 1)
        }
        self.capacity = sum(worker.speed * worker.kind.cores for worker in self.workers.values())
        self.entries = {number: worker.entry for number, worker in self.workers.items()}
        self.schedulers = [Scheduler(self, position) for position in range(world.schedulers)]
        self._fronted = list(self.schedulers)
        self.clients = ModelClients(world, self.agenda, self.tally, self, self.capacity, seed)

    def _worker(self, number: int, kind: int, rng: Random) -> ModelWorker:
        make, keys = self.world.kinds[kind], self.world.keys
        rating = float(make.cores) if self.world.settings.weights is not io.Weights.OFF else 1.0
        return ModelWorker(
            self.agenda,
            self.tally,
            make,
            io.WorkerEntry(number, kind=kind, rating=rating),
            Random(rng.getrandbits(64)),
            self.world.settings,
            self.worker_delay,
            micros(self.world.connect_timeout),
            self.store,
            max(1, round(keys.kept_per_slot * make.cores)) if keys else 0,
        )

    def _store(self, drawn: list[WorkerKind]) -> Store | None:
        keys, work = self.world.keys, micros(self.world.mean_work())
        jobs = sum(kind.speed * kind.cores for kind in drawn) / work
        return Store(self.agenda, int(keys.setup * work), keys.store * jobs) if keys else None

    def _delays(self, mean: int, jitter: float) -> Callable[[], int]:
        least, more, rng = mean * (1 - jitter), 2 * mean * jitter, self._rng
        return lambda: int(least + more * rng.random())

    def run(self) -> Tally:
        """All of it, and on until the last client has left."""
        for scheduler in self.schedulers:
            self._start(scheduler, tuple(self.entries.values()))
        if self.world.settings.reports is not io.Reports.OFF:
            every = micros(self.world.report_every)
            for number, worker in self.workers.items():
                worker.refresh(every)
                self.agenda.at(every * number // len(self.workers), worker.refresh, every)
        for number, trouble in enumerate(self.world.troubles):
            self.agenda.at(micros(trouble.at), self._befall, trouble, Random(f"{self.seed}/trouble/{number}"))
        for number, herd in enumerate(self.world.herds):
            self.agenda.at(micros(herd.at), self._kill, herd, Random(f"{self.seed}/herd/{number}"))
        self._sample()
        self.clients.start()
        last = max(sort.spec.deadline for sort in self.world.sorts)
        self.agenda.run(micros(self.world.length()) + last + SECOND)
        return self.tally

    def _start(self, scheduler: Scheduler, listed: tuple[io.WorkerEntry, ...], times: int = 0) -> None:
        settings = replace(self.world.settings, instances=self.world.schedulers, position=scheduler.position)
        seed = Random(f"{self.seed}/module/{scheduler.position}/{times}").getrandbits(63)
        scheduler.start(self.make(settings, seed), listed)

    def _sample(self) -> None:
        second = self.tally.at(self.agenda.now)
        second.held += sum(worker.held for worker in self.workers.values())
        second.samples += 1
        self.agenda.at(self.agenda.now + SAMPLE_EVERY, self._sample)

    # ---- what schedulers and clients ask for ----------------------------------------------

    def attempt_work(self, work: int, job_class: int) -> int:
        """Return the work of one attempt of a job."""
        return max(1, int(work * lognormal(self._work, self.world.sorts[job_class].noise)))

    def choose(self) -> Scheduler:
        """The front's choice, at random among those that it takes to be up."""
        up = self._fronted or self.schedulers
        return up[int(self._rng.random() * len(up))]

    def watch(self, scheduler: Scheduler) -> None:
        """A watch is answered with the whole list, and then with all changes."""
        module = scheduler.module

        def answer() -> None:
            if scheduler.module is module:
                scheduler.watching = True
                scheduler.hear(io.WorkerList(io.Listing.WHOLE, tuple(self.entries.values())))

        self.agenda.at(self.agenda.now + int(LIST_WITHIN * self._rng.random()), answer)

    def tell(self, sender: Scheduler, body: bytes, to: int | None) -> None:
        """To one scheduler, or to all others."""
        for scheduler in self.schedulers if to is None else (self.schedulers[to],):
            if scheduler is not sender:
                self.agenda.at(
                    self.agenda.now + self.worker_delay(), scheduler.hear, io.Message(sender.position, body)
                )

    # ---- troubles -------------------------------------------------------------------------

    def _list(self, entry: io.WorkerEntry) -> None:
        """Discovery has learned of a change."""
        self.entries[entry.worker] = entry
        for scheduler in self.schedulers:
            if scheduler.watching:
                late = int(micros(self.world.list_delay) * self._rng.random())
                self.agenda.at(self.agenda.now + late, self._change, scheduler, scheduler.module, entry)

    @staticmethod
    def _change(scheduler: Scheduler, module: object, entry: io.WorkerEntry) -> None:
        if scheduler.module is module:
            scheduler.hear(io.WorkerList(io.Listing.CHANGES, (entry,)))

    def _befall(self, trouble: Trouble, rng: Random) -> None:
        """Workers that are ill already are passed over."""
        now, well = self.agenda.now, [worker for worker in self.workers.values() if worker.ill is None]
        count = max(1, round(trouble.part * len(self.workers)))
        for worker in rng.sample(well, min(len(well), count)):
            worker.fall_ill(trouble.ill, trouble.size)
            over = now + micros(trouble.lasts)
            if trouble.noticed is not None and trouble.noticed < trouble.lasts:
                gone = replace(worker.entry, state=io.State.GONE)
                self.agenda.at(now + micros(trouble.noticed), self._list, gone)
            self.agenda.at(over, self._recover, worker)

    def _recover(self, worker: ModelWorker) -> None:
        was = worker.ill
        worker.recover()
        if was in (Ill.REFUSES, Ill.SILENT):
            worker.entry = replace(worker.entry, started=self.agenda.now)
        if self.entries[worker.entry.worker] != worker.entry:
            self._list(worker.entry)

    def _kill(self, herd: Herd, rng: Random) -> None:
        now, down = self.agenda.now, micros(herd.down)
        up = [scheduler for scheduler in self.schedulers if scheduler.module is not None]
        for scheduler in rng.sample(up, round(herd.part * len(up))):
            known = tuple(self.entries.values())
            for client in scheduler.kill():
                if isinstance(client, Try):
                    client.broken()
            notices = micros(herd.front_notices)
            back = now + down + int(down * rng.random())
            if now + notices < back:
                self.agenda.at(now + notices, self._fronted.remove, scheduler)
                self.agenda.at(back, self._fronted.append, scheduler)
            self.agenda.at(back, self._start, scheduler, known, 1)
