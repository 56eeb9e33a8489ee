"""Handover of a dispatcher's state to its successor, and of single jobs.  No scheduling decisions.

Attributes are copied by name between records.py and handover_memory.py; the names of fields, meters and rates
are part of the message format of an upgrade.
"""

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
    """The tenants' queues and quotas, by position."""

    quotas: list[Bucket]

    def queue(self, tenant: int) -> TenantQueue:
        """Return a tenant's queue."""


class SlowStart(Protocol):
    """The slow start of cold workers."""

    handing_over: bool


class ResponseTimeouts(Protocol):
    """Moving averages that response timeouts are derived from."""

    patience: float
    run_patience: float
    prompt: float


class DispatcherParts(Protocol):
    """The parts of a dispatcher that a handover reads and changes."""

    context: DispatchContext
    max_client_waits: list[int]

    @property
    def tenants(self) -> Tenants:
        """The tenants of the dispatcher."""

    @property
    def slow_start(self) -> SlowStart:
        """The slow start of the dispatcher."""

    @property
    def timeouts(self) -> ResponseTimeouts:
        """The response timeouts of the dispatcher."""

    def accept_job(self, event: io.Arrival, sent: Sequence[AttemptMemory] = ()) -> None:
        """Accept a job, with the attempts that were sent by another dispatcher."""

    def enqueue(self, job: Job) -> None:
        """Put it into its tenant's queue."""

    def schedule_check(self, attempt: Attempt) -> None:
        """Start the response timeout of an attempt."""


_WORKER_FIELDS = tuple(item.name for item in fields(WorkerMemory) if item.name != "entry")
_JOB_FIELDS = tuple(item.name for item in fields(JobMemory) if item.name != "attempts")
_ATTEMPT_FIELDS = tuple(item.name for item in fields(AttemptMemory) if item.name != "worker")


def _meter_owners(dispatcher: DispatcherParts) -> dict[str, DispatchContext | ResponseTimeouts]:
    """Return the object that holds each moving average, by the average's name."""
    timeouts = dispatcher.timeouts
    return {
        "mean_work": dispatcher.context,
        "patience": timeouts,
        "run_patience": timeouts,
        "prompt": timeouts,
    }


def _rates(dispatcher: DispatcherParts) -> dict[str, Rate]:
    return {
        "served": dispatcher.context.served_rate,
        "arrivals": dispatcher.context.arrival_rate,
        "carried": dispatcher.context.warm_worker_rate,
    }


def export_memory(dispatcher: DispatcherParts) -> Memory:
    """Return the state that ``restore_memory`` restores."""
    fleet = dispatcher.context.fleet
    return Memory(
        out=sorted(fleet.excluded),
        workers=_export_workers(fleet),
        kinds=[(number, kind.slowdown, kind.slots, kind.size) for number, kind in fleet.kinds.items()],
        meters={name: float(getattr(part, name)) for name, part in _meter_owners(dispatcher).items()},
        rates={name: (rate.per_s, rate.since) for name, rate in _rates(dispatcher).items()},
        spans=list(dispatcher.max_client_waits),
        quotas=[(bucket.level, bucket.since) for bucket in dispatcher.tenants.quotas],
    )


def handover_handlers(dispatcher: DispatcherParts) -> dict[type, Callable[[Any], None]]:
    """Return the handlers of handover events and of the fleet's shared view."""
    return {
        io.Inherit: lambda event: restore_memory(dispatcher, event),
        io.Leave: lambda event: _set_leaving(dispatcher, event),
        io.Restore: lambda event: dispatcher.accept_job(event.arrival, event.attempts),
        io.TakeOver: lambda event: _take_over(dispatcher, event),
        io.GiveAway: lambda event: _give_away(dispatcher, event),
        io.FleetView: lambda event: _apply_fleet_view(dispatcher, event),
    }


def job_memory(dispatcher: DispatcherParts, request: int) -> JobMemory:
    """Return the state of an open job."""
    job = dispatcher.context.jobs[request]
    attempts = [
        AttemptMemory(worker=attempt.worker.id, **{name: getattr(attempt, name) for name in _ATTEMPT_FIELDS})
        for attempt in job.attempts
    ]
    return JobMemory(attempts=attempts, **{name: getattr(job, name) for name in _JOB_FIELDS})


def _set_leaving(dispatcher: DispatcherParts, event: io.Leave) -> None:
    dispatcher.slow_start.handing_over = event.leaving


def _take_over(dispatcher: DispatcherParts, event: io.TakeOver) -> None:
    known = event.memory
    queue = dispatcher.tenants.queue(event.tenant)
    job = Job(id=event.request, queue=queue, **{name: getattr(known, name) for name in _JOB_FIELDS})
    job.waiting = False
    dispatcher.context.jobs[job.id] = job
    attach_attempts(dispatcher, job, known.attempts)
    if not job.open:
        dispatcher.enqueue(job)


def attach_attempts(dispatcher: DispatcherParts, job: Job, attempts: Sequence[AttemptMemory]) -> None:
    """Add the attempts that another dispatcher sent; open ones get a response timeout from now on."""
    for number, sent in enumerate(attempts):
        worker = dispatcher.context.fleet.workers.get(sent.worker)
        if worker is None:  # not listed here yet
            worker = dispatcher.context.fleet.add(sent.entry, max(1.0, job.slots))
        attempt = Attempt(
            job=job, number=number, worker=worker, **{name: getattr(sent, name) for name in _ATTEMPT_FIELDS}
        )
        attempt.expected = attempt.expected or float(job.spec.objective)
        job.attempts.append(attempt)
        if attempt.open:
            job.open += 1
            worker.add_load(job)
            dispatcher.context.shedding_level.waiting += not attempt.begun
            dispatcher.schedule_check(attempt)


def _apply_fleet_view(dispatcher: DispatcherParts, event: io.FleetView) -> None:
    """Apply exclusions, quota shares, shedding levels and lent retries, as decided in carthinge/fleet/."""
    context, settings = dispatcher.context, dispatcher.context.settings
    for number, until in event.avoided_workers:
        if (worker := context.fleet.workers.get(number)) is not None:
            worker.avoid(until)
    for bucket, tenant, part in zip(
        dispatcher.tenants.quotas, settings.tenants, event.quota_shares, strict=False
    ):
        bucket.refill(context.now)
        bucket.per_s = tenant.quota_per_s / settings.instances * part
    context.set_agreed_levels(event.levels)
    context.retry_budget.transfer(event.lent_retries)


def _give_away(dispatcher: DispatcherParts, event: io.GiveAway) -> None:
    job = dispatcher.context.jobs.pop(event.request)
    job.answered, job.waiting = True, False
    for attempt in job.attempts:
        if attempt.open:
            dispatcher.context.shedding_level.waiting -= not attempt.begun
            attempt.open = attempt.may_have_run = False  # here: its pending timers have nothing left to check
            attempt.release_load()


def restore_memory(dispatcher: DispatcherParts, event: io.Inherit) -> None:
    """Restore the state of all workers, and of the classes and tenants that exist here too."""
    memory, context = event.memory, dispatcher.context
    context.fleet.excluded.update(memory.out)
    _restore_workers(
        context.fleet,
        memory,
        {old_index: new_index for new_index, old_index in enumerate(event.kinds) if old_index >= 0},
    )
    for index, old_index in enumerate(event.classes):
        if old_index >= 0:
            dispatcher.max_client_waits[index] = min(
                memory.spans[old_index], context.settings.classes[index].deadline
            )
    for bucket, old_index in zip(dispatcher.tenants.quotas, event.tenants, strict=True):
        if old_index >= 0:
            level, bucket.since = memory.quotas[old_index]
            bucket.level = min(level, bucket.depth)
    if all(old_index < 0 for old_index in event.classes):  # no class in common: the averages do not apply
        return
    for name, part in _meter_owners(dispatcher).items():
        setattr(part, name, memory.meters[name])
    for name, rate in _rates(dispatcher).items():
        if name in memory.rates:  # an older version may not have counted it
            rate.resume(*memory.rates[name])


def _export_workers(fleet: Fleet) -> list[WorkerMemory]:
    return [
        WorkerMemory(entry=worker.entry, **{name: getattr(worker, name) for name in _WORKER_FIELDS})
        for worker in fleet.workers.values()
    ]


def _restore_workers(fleet: Fleet, memory: Memory, kinds: Mapping[int, int]) -> None:
    """Restore the workers without their load, which stays with the dispatcher that sent it.

    ``kinds`` maps the predecessor's positions of machine kinds to those here.
    """
    for number, pace, slots, size in memory.kinds:
        if number in kinds:
            fleet.kinds[kinds[number]] = Kind(pace, slots, size)
    for known in memory.workers:
        worker = fleet.add(replace(known.entry, kind=kinds.get(known.entry.kind, 0)), known.cap)
        for name in _WORKER_FIELDS:
            setattr(worker, name, getattr(known, name))
