"""Model clients: jobs drawn from the seed, retries, and the outcome of each job."""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from random import Random
from typing import Protocol

from carthinge import interface as io
from carthinge.model.scheduler import Scheduler, TrackedRequest
from carthinge.model.tally import JobOutcome, Tally
from carthinge.model.virtual_clock import SECOND, VirtualClock, micros
from carthinge.model.world import World, lognormal

QUOTA_BURST_SECONDS = 3.0  # seconds of its quota that a tenant may use at once


class LoadBalancer(Protocol):
    """The load balancer in front of the schedulers."""

    def choose_scheduler(self) -> Scheduler:
        """Choose one of the schedulers that are considered up."""

    def client_delay(self) -> int:
        """Draw the one-way network delay between a client and a scheduler."""


@dataclass(slots=True, eq=False)
class ClientJob:
    """A client's job, from its first request to its outcome."""

    first_sent_at: int
    job_class: int
    tenant: int
    work: int
    hint: int | None
    worth: float
    in_time_until: int
    leaves_at: int
    retries: int
    follows_retry_after: bool
    key: int = 0
    requests_sent: int = 0
    outcome: JobOutcome | None = None


class ClientRequest:
    """One request for a job, sent to one scheduler."""

    __slots__ = ("_clients", "answered", "job", "scheduler", "tracked")

    def __init__(self, clients: ModelClients, job: ClientJob, scheduler: Scheduler) -> None:
        self._clients, self.job, self.scheduler = clients, job, scheduler
        self.tracked: TrackedRequest | None = None
        self.answered = False

    def arrive(self, arrival: io.Arrival) -> None:
        """Arrive at the scheduler, if that is up."""
        if self.job.outcome is not None:
            return
        if self.scheduler.module is None:
            self.connection_lost()
            return
        now = self._clients.clock.now
        tracked = self.scheduler.accept(self, self.job.work, self.job.leaves_at - now, arrival)
        if not self.answered:  # it was not refused at once
            self.tracked = tracked
            self._clients.clock.call_at(self.job.leaves_at, self._leave)

    def _leave(self) -> None:
        if not self.answered and self.tracked is not None:
            self.answered = True
            self._clients.leave(self.job)
            self.scheduler.abandon(self.tracked)

    def served(self) -> None:
        """End this request with a result."""
        self._answer(JobOutcome.IN_TIME, 0)

    def refused(self, retry_after: int) -> None:
        """End this request with a refusal; the client may retry later."""
        self._answer(JobOutcome.REFUSED, retry_after)

    def failed(self) -> None:
        """End this request without a result."""
        self._answer(JobOutcome.FAILED, 0)

    def connection_lost(self) -> None:
        """Handle the loss of the connection to a dead scheduler; the client retries if that is safe."""
        self._answer(JobOutcome.FAILED, 0, self._clients.may_retry(self.job))

    def _answer(self, outcome: JobOutcome, retry_after: int, retryable: bool = True) -> None:
        if not self.answered:
            self.answered = True
            clients = self._clients
            arrives_at = clients.clock.now + clients.balancer.client_delay()
            clients.clock.call_at(
                arrives_at, clients.receive_answer, self.job, outcome, retry_after, retryable
            )


class ModelClients:
    """All clients.  Equal seeds give the same jobs, independently of the schedulers' decisions."""

    def __init__(
        self,
        world: World,
        clock: VirtualClock,
        tally: Tally,
        balancer: LoadBalancer,
        capacity: float,
        seed: object,
    ) -> None:
        self.clock, self.balancer = clock, balancer
        self.jobs = 0
        self._world, self._tally, self._capacity = world, tally, capacity
        self._rng, self._retry_rng = Random(f"{seed}/jobs"), Random(f"{seed}/again")
        self._load_phases: list[tuple[int, float]] = []  # end time, jobs per second
        end = 0
        for load in world.loads:
            end += micros(load.duration)
            self._load_phases.append((end, load.load * capacity / micros(world.mean_work()) * SECOND))
        self._profile_count, self._profile_sums = self._cumulative(
            [profile.share for profile in world.job_profiles]
        )
        keys = world.keys
        count = round(keys.per_worker * world.workers) if keys else 0
        weights = [n**-keys.zipf for n in range(1, count + 1)] if keys else []
        self._key_count, self._key_sums = self._cumulative(weights)
        self._key_rng = Random(f"{seed}/keys")
        tenants = world.settings.tenants
        usage = world.usage or (1.0,) * len(tenants)
        self._tenant_count, self._tenant_sums = self._cumulative(
            [t.share * u for t, u in zip(tenants, usage, strict=True)]
        )
        self._quota_left = [tenant.quota_per_s * QUOTA_BURST_SECONDS for tenant in tenants]
        self._quota_updated = [0] * len(tenants)

    @staticmethod
    def _cumulative(shares: list[float]) -> tuple[int, list[float]]:
        sums, total = [], 0.0
        for share in shares:
            sums.append(total := total + share)
        return len(shares), [value / total for value in sums] if total else []

    def start(self) -> None:
        """Schedule the first arrival; each arrival schedules the next."""
        self._schedule_next()

    def _schedule_next(self) -> None:
        """Draw the gap at the current rate, and again from the time at which the rate changes."""
        at = self.clock.now
        for end, rate in self._load_phases:
            if at >= end or rate <= 0:
                continue
            gap = int(self._rng.expovariate(rate) * SECOND) + 1
            if at + gap < end:
                self.clock.call_at(at + gap, self._arrive)
                return
            at = end

    def _arrive(self) -> None:
        job = self._draw_job()
        self.jobs += 1
        second = self._tally.second_at(self.clock.now)
        second.arrivals += 1
        second.offered_worth += job.worth
        self._send_request(job)
        self._schedule_next()

    def _draw_job(self) -> ClientJob:
        rng, world, now = self._rng, self._world, self.clock.now
        job_class = min(bisect.bisect(self._profile_sums, rng.random()), self._profile_count - 1)
        tenant = min(bisect.bisect(self._tenant_sums, rng.random()), max(0, self._tenant_count - 1))
        profile = world.job_profiles[job_class]
        spec, work = profile.spec, profile.draw(rng)
        hint = None if world.hints is None else max(1, int(work * lognormal(rng, world.hints)))
        worth = spec.worth * (work / micros(world.mean_work()) if world.settings.worth_by_work else 1.0)
        if self._tenant_count and not self._within_quota(tenant):
            worth *= world.settings.over_share_worth
        deadline = now + spec.deadline
        in_time_until = min(deadline, now + spec.objective + int(spec.stretch * work))
        retries = int(world.clients.retries + rng.random())
        return ClientJob(
            now,
            job_class,
            tenant,
            work,
            hint,
            worth,
            in_time_until,
            deadline,
            retries,
            rng.random() < world.clients.follow_retry_after,
            self._draw_key(),
        )

    def _draw_key(self) -> int:
        return 1 + bisect.bisect(self._key_sums[:-1], self._key_rng.random()) if self._key_count else 0

    def _within_quota(self, tenant: int) -> bool:
        quota = self._world.settings.tenants[tenant].quota_per_s
        if quota <= 0:
            return True
        elapsed = (self.clock.now - self._quota_updated[tenant]) / SECOND
        self._quota_updated[tenant] = self.clock.now
        self._quota_left[tenant] = min(
            quota * QUOTA_BURST_SECONDS, self._quota_left[tenant] + quota * elapsed
        )
        if self._quota_left[tenant] < 1:
            return False
        self._quota_left[tenant] -= 1
        return True

    def _send_request(self, job: ClientJob) -> None:
        repeat = job.requests_sent > 0 and self._world.clients.marks_retries
        arrival = io.Arrival(0, job.job_class, 0, job.tenant, job.key, hint=job.hint, repeat=repeat)
        job.requests_sent += 1
        request = ClientRequest(self, job, self.balancer.choose_scheduler())
        self.clock.call_at(self.clock.now + self.balancer.client_delay(), request.arrive, arrival)

    def may_retry(self, job: ClientJob) -> bool:
        """Tell whether a job that may have run can be sent again."""
        return self._world.job_profiles[job.job_class].spec.effect is not io.Effect.UNSAFE

    def receive_answer(self, job: ClientJob, outcome: JobOutcome, retry_after: int, retryable: bool) -> None:
        """Handle an answer; the client may have left already."""
        now = self.clock.now
        if job.outcome is not None:
            return
        if now > job.leaves_at:
            self._end(job, JobOutcome.LEFT)
        elif outcome is JobOutcome.IN_TIME:
            self._end(job, outcome if now <= job.in_time_until else JobOutcome.LATE)
        else:
            retry_at = now + self._retry_delay(job, retry_after)
            if retryable and job.requests_sent <= job.retries and retry_at < job.leaves_at:
                self.clock.call_at(retry_at, self._retry, job)
            else:
                self._end(job, outcome)

    def _retry_delay(self, job: ClientJob, retry_after: int) -> int:
        clients = self._world.clients
        backoff_us = micros(clients.backoff) * (
            2 ** (job.requests_sent - 1) if clients.exponential_backoff else 1
        )
        return (
            retry_after
            if retry_after and job.follows_retry_after
            else int(backoff_us * self._retry_rng.uniform(0.5, 1.5))
        )

    def _retry(self, job: ClientJob) -> None:
        self._tally.second_at(self.clock.now).client_retries += 1
        self._send_request(job)

    def leave(self, job: ClientJob) -> None:
        """End a job whose client leaves at its deadline."""
        self._end(job, JobOutcome.LEFT)

    def _end(self, job: ClientJob, outcome: JobOutcome) -> None:
        job.outcome = outcome
        second = self._tally.second_at(job.first_sent_at)
        second.outcomes[outcome] += 1
        second.worth[outcome] += job.worth
        if outcome is JobOutcome.IN_TIME:
            second.earned += job.worth
        elif outcome is JobOutcome.LATE:
            second.earned += job.worth * self._world.job_profiles[job.job_class].spec.late_worth
