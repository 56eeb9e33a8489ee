"""Clients: jobs drawn ahead by the seed, tries that come again, and how each job ends."""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from random import Random
from typing import Protocol

from carthinge import interface as io
from carthinge.model.agenda import SECOND, Agenda, micros
from carthinge.model.scheduler import Scheduler, TrackedRequest
from carthinge.model.tally import End, Tally
from carthinge.model.world import World, lognormal

QUOTA_SECONDS = 3.0  # of a tenant's quota that may come at once and still counts as within it


class Front(Protocol):
    """Who deals requests out among schedulers."""

    def choose(self) -> Scheduler:
        """One that it takes to be up."""

    def client_delay(self) -> int:
        """Draws how long news to or from a client is under way."""


@dataclass(slots=True, eq=False)
class Demand:
    """A client's job from its first try to its end."""

    second: int  # of the first try
    job_class: int
    tenant: int
    work: int
    hint: int | None
    worth: float
    aim: int  # up to then it is in time
    leaves: int
    retries: int
    honours: bool
    key: int = 0
    tries: int = 0
    end: End | None = None


class Try:
    """One request of a demand, at one scheduler."""

    __slots__ = ("_clients", "demand", "over", "scheduler", "tracked")

    def __init__(self, clients: ModelClients, demand: Demand, scheduler: Scheduler) -> None:
        self._clients, self.demand, self.scheduler = clients, demand, scheduler
        self.tracked: TrackedRequest | None = None
        self.over = False  # an answer to it has been sent

    def arrive(self, arrival: io.Arrival) -> None:
        """At its scheduler, if that is up."""
        if self.demand.end is not None:
            return
        if self.scheduler.module is None:
            self.broken()
            return
        now = self._clients.agenda.now
        tracked = self.scheduler.take(self, self.demand.work, self.demand.leaves - now, arrival)
        if not self.over:  # else it was refused right away
            self.tracked = tracked
            self._clients.agenda.at(self.demand.leaves, self._leave)

    def _leave(self) -> None:
        if not self.over and self.tracked is not None:
            self.over = True
            self._clients.leave(self.demand)
            self.scheduler.abandon(self.tracked)

    def served(self) -> None:
        """End this try with a result."""
        self._answer(End.IN_TIME, 0)

    def refused(self, stay_away: int) -> None:
        """End this try; the client may come again after a while."""
        self._answer(End.REFUSED, stay_away)

    def failed(self) -> None:
        """End this try without a result."""
        self._answer(End.FAILED, 0)

    def broken(self) -> None:
        """The scheduler has died, or was dead: a client that may come again does so."""
        self._answer(End.FAILED, 0, self._clients.may_repeat(self.demand))

    def _answer(self, end: End, stay_away: int, again: bool = True) -> None:
        if not self.over:
            self.over = True
            clients = self._clients
            back = clients.agenda.now + clients.front.client_delay()
            clients.agenda.at(back, clients.hear, self.demand, end, stay_away, again)


class ModelClients:
    """All of them.  What comes is the same for each seed, whatever is decided."""

    def __init__(
        self, world: World, agenda: Agenda, tally: Tally, front: Front, capacity: float, seed: object
    ) -> None:
        self.agenda, self.front = agenda, front
        self.jobs = 0
        self._world, self._tally, self._capacity = world, tally, capacity
        self._rng, self._again = Random(f"{seed}/jobs"), Random(f"{seed}/again")
        self._spans: list[tuple[int, float]] = []  # the end of each, and jobs in a second
        end = 0
        for load in world.loads:
            end += micros(load.lasts)
            self._spans.append((end, load.load * capacity / micros(world.mean_work()) * SECOND))
        self._sorts, self._sort_at = self._cumulated([sort.share for sort in world.sorts])
        keys = world.keys
        count = round(keys.per_worker * world.workers) if keys else 0
        parts = [n**-keys.zipf for n in range(1, count + 1)] if keys else []
        self._keys, self._key_at = self._cumulated(parts)
        self._draw_key = Random(f"{seed}/keys")
        tenants = world.settings.tenants
        usage = world.usage or (1.0,) * len(tenants)
        self._tenants, self._tenant_at = self._cumulated(
            [t.share * u for t, u in zip(tenants, usage, strict=True)]
        )
        self._quotas = [tenant.quota_per_s * QUOTA_SECONDS for tenant in tenants]
        self._quota_since = [0] * len(tenants)

    @staticmethod
    def _cumulated(shares: list[float]) -> tuple[int, list[float]]:
        sums, total = [], 0.0
        for share in shares:
            sums.append(total := total + share)
        return len(shares), [value / total for value in sums] if total else []

    def start(self) -> None:
        """The first arrival, from which all others follow."""
        self._next()

    def _next(self) -> None:
        """The gap is drawn at the present rate, and again from where that changes."""
        at = self.agenda.now
        for end, rate in self._spans:
            if at >= end or rate <= 0:
                continue
            gap = int(self._rng.expovariate(rate) * SECOND) + 1
            if at + gap < end:
                self.agenda.at(at + gap, self._arrive)
                return
            at = end

    def _arrive(self) -> None:
        demand = self._draw()
        self.jobs += 1
        second = self._tally.at(self.agenda.now)
        second.arrivals += 1
        second.asked += demand.worth
        self._try(demand)
        self._next()

    def _draw(self) -> Demand:
        rng, world, now = self._rng, self._world, self.agenda.now
        job_class = min(bisect.bisect(self._sort_at, rng.random()), self._sorts - 1)
        tenant = min(bisect.bisect(self._tenant_at, rng.random()), max(0, self._tenants - 1))
        sort = world.sorts[job_class]
        spec, work = sort.spec, sort.draw(rng)
        hint = None if world.hints is None else max(1, int(work * lognormal(rng, world.hints)))
        worth = spec.worth * (work / micros(world.mean_work()) if world.settings.worth_by_work else 1.0)
        if self._tenants and not self._within_quota(tenant):
            worth *= world.settings.over_share_worth
        deadline = now + spec.deadline
        aim = min(deadline, now + spec.objective + int(spec.stretch * work))
        retries = int(world.clients.retries + rng.random())
        return Demand(
            now,
            job_class,
            tenant,
            work,
            hint,
            worth,
            aim,
            deadline,
            retries,
            rng.random() < world.clients.honour,
            self._key(),
        )

    def _key(self) -> int:
        return 1 + bisect.bisect(self._key_at[:-1], self._draw_key.random()) if self._keys else 0

    def _within_quota(self, tenant: int) -> bool:
        quota = self._world.settings.tenants[tenant].quota_per_s
        if quota <= 0:
            return True
        gone = (self.agenda.now - self._quota_since[tenant]) / SECOND
        self._quota_since[tenant] = self.agenda.now
        self._quotas[tenant] = min(quota * QUOTA_SECONDS, self._quotas[tenant] + quota * gone)
        if self._quotas[tenant] < 1:
            return False
        self._quotas[tenant] -= 1
        return True

    def _try(self, demand: Demand) -> None:
        repeat = demand.tries > 0 and self._world.clients.marks
        arrival = io.Arrival(
            0, demand.job_class, 0, demand.tenant, demand.key, hint=demand.hint, repeat=repeat
        )
        demand.tries += 1
        request = Try(self, demand, self.front.choose())
        self.agenda.at(self.agenda.now + self.front.client_delay(), request.arrive, arrival)

    def may_repeat(self, demand: Demand) -> bool:
        """After a broken connection, where the job may have run."""
        return self._world.sorts[demand.job_class].spec.effect is not io.Effect.UNSAFE

    def hear(self, demand: Demand, end: End, stay_away: int, again: bool) -> None:
        """An answer has come to a client that may have left."""
        now = self.agenda.now
        if demand.end is not None:
            return
        if now > demand.leaves:
            self._end(demand, End.LEFT)
        elif end is End.IN_TIME:
            self._end(demand, end if now <= demand.aim else End.LATE)
        else:
            back = now + self._stays_away(demand, stay_away)
            if again and demand.tries <= demand.retries and back < demand.leaves:
                self.agenda.at(back, self._come_again, demand)
            else:
                self._end(demand, end)

    def _stays_away(self, demand: Demand, told: int) -> int:
        clients = self._world.clients
        own = micros(clients.backoff) * (2 ** (demand.tries - 1) if clients.grows else 1)
        return told if told and demand.honours else int(own * self._again.uniform(0.5, 1.5))

    def _come_again(self, demand: Demand) -> None:
        self._tally.at(self.agenda.now).tries += 1
        self._try(demand)

    def leave(self, demand: Demand) -> None:
        """Its time is over."""
        self._end(demand, End.LEFT)

    def _end(self, demand: Demand, end: End) -> None:
        demand.end = end
        second = self._tally.at(demand.second)
        second.ends[end] += 1
        second.worth[end] += demand.worth
        if end is End.IN_TIME:
            second.earned += demand.worth
        elif end is End.LATE:
            second.earned += demand.worth * self._world.sorts[demand.job_class].spec.late_worth
