"""What a dispatcher has learned, as it is told to the one that takes its place.  No decisions."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import fields, replace
from typing import Any, Protocol

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext
from carthinge.interface import AttemptMemory, JobMemory, Memory, WorkerMemory
from carthinge.meters import Bucket, Rate
from carthinge.records import Attempt, Job, Kind, TenantQueue
from carthinge.worker_registry import Fleet


class Tenants(Protocol):
    """The tenants' classes and quotas, by their positions."""

    quotas: list[Bucket]

    def queue(self, tenant: int) -> TenantQueue:
        """Return a tenant's queue."""


class SlowStart(Protocol):
    """What cold workers may get."""

    leaving: bool


class ResponseTimeouts(Protocol):
    """When attempts ought to give a sign."""

    patience: float
    run_patience: float
    prompt: float


class Decisions(Protocol):
    """What of a dispatcher is handed over, and what it does with a job that it is handed."""

    context: DispatchContext
    spans: list[int]

    @property
    def tenants(self) -> Tenants:
        """The tenants of the dispatcher."""

    @property
    def slow_start(self) -> SlowStart:
        """The slow start of the dispatcher."""

    @property
    def timeouts(self) -> ResponseTimeouts:
        """The response timeouts of the dispatcher."""

    def arrive(self, event: io.Arrival, sent: Sequence[AttemptMemory] = ()) -> None:
        """Takes a job in, with the attempts that it has had elsewhere."""

    def enqueue(self, job: Job) -> None:
        """Has it wait for a worker."""

    def attend(self, attempt: Attempt) -> None:
        """Looks at it again when it ought to have given a sign."""


_LEARNED = tuple(item.name for item in fields(WorkerMemory) if item.name != "entry")
_OF_JOB = tuple(item.name for item in fields(JobMemory) if item.name != "attempts")
_OF_ATTEMPT = tuple(item.name for item in fields(AttemptMemory) if item.name != "worker")


def _meters(dispatcher: Decisions) -> dict[str, DispatchContext | ResponseTimeouts]:
    """The part that keeps it, for each."""
    timeouts = dispatcher.timeouts
    return {
        "mean_work": dispatcher.context,
        "patience": timeouts,
        "run_patience": timeouts,
        "prompt": timeouts,
    }


def _rates(dispatcher: Decisions) -> dict[str, Rate]:
    return {
        "served": dispatcher.context.served,
        "arrivals": dispatcher.context.arrivals,
        "carried": dispatcher.context.carried,
    }


def memory_of(dispatcher: Decisions) -> Memory:
    """Everything that ``recall`` takes."""
    fleet = dispatcher.context.fleet
    return Memory(
        out=sorted(fleet.out),
        workers=_of_fleet(fleet),
        kinds=[(number, kind.pace, kind.slots, kind.size) for number, kind in fleet.kinds.items()],
        meters={name: float(getattr(part, name)) for name, part in _meters(dispatcher).items()},
        rates={name: (rate.per_s, rate.since) for name, rate in _rates(dispatcher).items()},
        spans=list(dispatcher.spans),
        quotas=[(bucket.level, bucket.since) for bucket in dispatcher.tenants.quotas],
    )


def handlers(dispatcher: Decisions) -> dict[type, Callable[[Any], None]]:
    """Of the events by which a dispatcher takes over from another, or hears what several know together."""
    return {
        io.Inherit: lambda event: recall(dispatcher, event),
        io.Leave: lambda event: _leave(dispatcher, event),
        io.Restore: lambda event: dispatcher.arrive(event.arrival, event.attempts),
        io.TakeOver: lambda event: _take_over(dispatcher, event),
        io.GiveAway: lambda event: _give_away(dispatcher, event),
        io.FleetView: lambda event: _share(dispatcher, event),
    }


def job_memory(dispatcher: Decisions, request: int) -> JobMemory:
    """Everything that is known of an open job."""
    job = dispatcher.context.jobs[request]
    attempts = [
        AttemptMemory(worker=attempt.worker.id, **{name: getattr(attempt, name) for name in _OF_ATTEMPT})
        for attempt in job.attempts
    ]
    return JobMemory(attempts=attempts, **{name: getattr(job, name) for name in _OF_JOB})


def _leave(dispatcher: Decisions, event: io.Leave) -> None:
    dispatcher.slow_start.leaving = event.leaving


def _take_over(dispatcher: Decisions, event: io.TakeOver) -> None:
    known = event.memory
    queue = dispatcher.tenants.queue(event.tenant)
    job = Job(id=event.request, queue=queue, **{name: getattr(known, name) for name in _OF_JOB})
    job.waiting = False
    dispatcher.context.jobs[job.id] = job
    attach(dispatcher, job, known.attempts)
    if not job.open:
        dispatcher.enqueue(job)


def attach(dispatcher: Decisions, job: Job, attempts: Sequence[AttemptMemory]) -> None:
    """Gives a job the attempts that another dispatcher sent; one that is open is attended to from now on."""
    for number, sent in enumerate(attempts):
        worker = dispatcher.context.fleet.workers.get(sent.worker)
        if worker is None:  # not listed here yet
            worker = dispatcher.context.fleet.add(sent.entry, max(1.0, job.slots))
        attempt = Attempt(
            job=job, number=number, worker=worker, **{name: getattr(sent, name) for name in _OF_ATTEMPT}
        )
        attempt.expected = attempt.expected or float(job.spec.objective)
        job.attempts.append(attempt)
        if attempt.open:
            job.open += 1
            worker.carry(job)
            dispatcher.context.level.waiting += not attempt.begun
            dispatcher.attend(attempt)


def _share(dispatcher: Decisions, event: io.FleetView) -> None:
    """Workers to leave alone, parts of quotas, levels and attempts: decided on in carthinge/fleet/."""
    context, settings = dispatcher.context, dispatcher.context.settings
    for number, until in event.alone:
        if (worker := context.fleet.workers.get(number)) is not None:
            worker.avoid(until)
    for bucket, tenant, part in zip(dispatcher.tenants.quotas, settings.tenants, event.parts, strict=False):
        bucket.settle(context.now)
        bucket.per_s = tenant.quota_per_s / settings.instances * part
    context.agree(event.levels)
    context.budget.pass_on(event.repeats)


def _give_away(dispatcher: Decisions, event: io.GiveAway) -> None:
    job = dispatcher.context.jobs.pop(event.request)
    job.answered, job.waiting = True, False
    for attempt in job.attempts:
        if attempt.open:
            dispatcher.context.level.waiting -= not attempt.begun
            attempt.open = attempt.may_have_run = False  # for this one: no check of it is due any more
            attempt.leave()


def recall(dispatcher: Decisions, event: io.Inherit) -> None:
    """What was learned of classes and tenants that have the same names here, and of all workers."""
    memory, context = event.memory, dispatcher.context
    context.fleet.out.update(memory.out)
    _into_fleet(context.fleet, memory, {was: now for now, was in enumerate(event.kinds) if was >= 0})
    for at, was in enumerate(event.classes):
        if was >= 0:
            dispatcher.spans[at] = min(memory.spans[was], context.settings.classes[at].deadline)
    for bucket, was in zip(dispatcher.tenants.quotas, event.tenants, strict=True):
        if was >= 0:
            level, bucket.since = memory.quotas[was]
            bucket.level = min(level, bucket.depth)
    if all(was < 0 for was in event.classes):  # jobs of another kind altogether
        return
    for name, part in _meters(dispatcher).items():
        setattr(part, name, memory.meters[name])
    for name, rate in _rates(dispatcher).items():
        if name in memory.rates:  # the version before may not have counted it
            rate.resume(*memory.rates[name])


def _of_fleet(fleet: Fleet) -> list[WorkerMemory]:
    return [
        WorkerMemory(entry=worker.entry, **{name: getattr(worker, name) for name in _LEARNED})
        for worker in fleet.workers.values()
    ]


def _into_fleet(fleet: Fleet, memory: Memory, kinds: Mapping[int, int]) -> None:
    """Its load is not taken over: what is out stays with the dispatcher that sent it.

    ``kinds``: positions here by those there.
    """
    for number, pace, slots, size in memory.kinds:
        if number in kinds:
            fleet.kinds[kinds[number]] = Kind(pace, slots, size)
    for known in memory.workers:
        worker = fleet.add(replace(known.entry, kind=kinds.get(known.entry.kind, 0)), known.cap)
        for name in _LEARNED:
            setattr(worker, name, getattr(known, name))
