"""What a dispatcher has learned, as it is told to the one that takes its place.  No decisions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import fields
from typing import Any, Protocol

from carthinge import interface as io
from carthinge.interface import AttemptMemory, JobMemory, Memory, WorkerMemory
from carthinge.records import Attempt, Bucket, Fleet, Job, Kind, Rate, TenantQueue, Worker


class Ring(Protocol):
    """The tenants' classes, by their positions."""

    queues: list[TenantQueue]


class Decisions(Protocol):
    """What of a dispatcher is handed over, and what it does with a job that it is handed."""

    out: set[int]
    jobs: dict[int, Job]
    fleet: Fleet
    workers: dict[int, Worker]
    kinds: dict[int, Kind]
    spans: list[int]
    quotas: list[Bucket]
    leaving: bool

    @property
    def ring(self) -> Ring: ...

    def arrive(self, event: io.Arrival, sent: Sequence[AttemptMemory] = ()) -> None:
        """Takes a job in, with the attempts that it has had elsewhere."""

    def enqueue(self, job: Job) -> None:
        """Has it wait for a worker."""

    def attend(self, attempt: Attempt) -> None:
        """Looks at it again when it ought to have given a sign."""


_LEARNED = tuple(item.name for item in fields(WorkerMemory) if item.name != "entry")
_OF_JOB = tuple(item.name for item in fields(JobMemory) if item.name != "attempts")
_OF_ATTEMPT = tuple(item.name for item in fields(AttemptMemory) if item.name != "worker")
_METERS = ("mean_work", "patience", "run_patience", "prompt", "warm_part")
_RATES = ("served", "arrivals")


def memory_of(dispatcher: Decisions) -> Memory:
    """Everything that ``recall`` takes."""
    return Memory(
        out=sorted(dispatcher.out),
        workers=_of_fleet(dispatcher.fleet),
        kinds=[(number, kind.pace, kind.slots, kind.size) for number, kind in dispatcher.kinds.items()],
        meters={name: float(getattr(dispatcher, name)) for name in _METERS},
        rates={name: (rate.per_s, rate.since) for name in _RATES for rate in [getattr(dispatcher, name)]},
        spans=list(dispatcher.spans),
        quotas=[(bucket.level, bucket.since) for bucket in dispatcher.quotas],
    )


def handlers(dispatcher: Decisions) -> dict[type, Callable[[Any], None]]:
    """Of the events by which a dispatcher takes over from another."""
    return {io.Inherit: lambda event: recall(dispatcher, event.memory),
            io.Leave: lambda event: _leave(dispatcher, event),
            io.Restore: lambda event: dispatcher.arrive(event.arrival, event.attempts),
            io.TakeOver: lambda event: _take_over(dispatcher, event),
            io.GiveAway: lambda event: _give_away(dispatcher, event)}


def job_memory(dispatcher: Decisions, request: int) -> JobMemory:
    """Everything that is known of an open job."""
    job = dispatcher.jobs[request]
    attempts = [AttemptMemory(worker=attempt.worker.id,
                              **{name: getattr(attempt, name) for name in _OF_ATTEMPT})
                for attempt in job.attempts]
    return JobMemory(attempts=attempts, **{name: getattr(job, name) for name in _OF_JOB})


def _leave(dispatcher: Decisions, event: io.Leave) -> None:
    dispatcher.leaving = event.leaving


def _take_over(dispatcher: Decisions, event: io.TakeOver) -> None:
    known = event.memory
    queues = dispatcher.ring.queues
    queue = queues[event.tenant if event.tenant < len(queues) else 0]
    job = Job(id=event.request, queue=queue, **{name: getattr(known, name) for name in _OF_JOB})
    job.waiting = False
    dispatcher.jobs[job.id] = job
    attach(dispatcher, job, known.attempts)
    if not job.open:
        dispatcher.enqueue(job)


def attach(dispatcher: Decisions, job: Job, attempts: Sequence[AttemptMemory]) -> None:
    """Gives a job the attempts that another dispatcher sent; one that is open is attended to from now on."""
    for number, sent in enumerate(attempts):
        worker = dispatcher.workers.get(sent.worker)
        if worker is None:  # not listed here yet
            worker = dispatcher.fleet.add(sent.entry, max(1.0, job.slots))
        attempt = Attempt(job=job, number=number, worker=worker,
                          **{name: getattr(sent, name) for name in _OF_ATTEMPT})
        attempt.expected = attempt.expected or float(job.spec.objective)
        job.attempts.append(attempt)
        if attempt.open:
            job.open += 1
            worker.carry(job)
            dispatcher.attend(attempt)


def _give_away(dispatcher: Decisions, event: io.GiveAway) -> None:
    job = dispatcher.jobs.pop(event.request)
    job.answered, job.waiting = True, False
    for attempt in job.attempts:
        if attempt.open:
            attempt.open = attempt.may_have_run = False  # for this one: no check of it is due any more
            attempt.worker.put_down(job)


def recall(dispatcher: Decisions, memory: Memory) -> None:
    """Of classes and tenants only where both know as many: they have no names here."""
    dispatcher.out.update(memory.out)
    _into_fleet(dispatcher.fleet, memory)
    for name in _METERS:
        setattr(dispatcher, name, memory.meters[name])
    for name, (per_s, since) in memory.rates.items():
        setattr(dispatcher, name, Rate(per_s, since))
    if len(memory.spans) == len(dispatcher.spans):
        dispatcher.spans[:] = memory.spans
    if len(memory.quotas) == len(dispatcher.quotas):
        for bucket, (level, since) in zip(dispatcher.quotas, memory.quotas, strict=True):
            bucket.level, bucket.since = level, since


def _of_fleet(fleet: Fleet) -> list[WorkerMemory]:
    return [WorkerMemory(entry=worker.entry, **{name: getattr(worker, name) for name in _LEARNED})
            for worker in fleet.workers.values()]


def _into_fleet(fleet: Fleet, memory: Memory) -> None:
    """Its load is not taken over: what is out stays with the dispatcher that sent it."""
    for number, pace, slots, size in memory.kinds:
        fleet.kinds[number] = Kind(pace, slots, size)
    for known in memory.workers:
        worker = fleet.add(known.entry, known.cap)
        for name in _LEARNED:
            setattr(worker, name, getattr(known, name))
