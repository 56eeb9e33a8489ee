"""Every decision of the dispatcher; what goes in and comes out is declared in interface.py.

The ordinary path: a job joins its tenant's heap at a fixed cost, deficit round
robin releases heads, and a released head goes to the eligible worker with the
least estimated outstanding work.  docs/design.md tells what was kept and what
departs from it, and when each departure acts.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop
from random import Random
from typing import Final

from carthinge import interface as io
from carthinge.memory import attach, handlers
from carthinge.records import Attempt, Bucket, Fleet, Job, Loads, Rate, TenantQueue, Timers, Worker

SAMPLE: Final = 16  # workers looked at for a pick: near the best of all, at a cost that does not grow
SAMPLE_LEAST: Final = 3  # with many gateways on the same late news, more would herd to the best
GAIN: Final = 0.1  # weight of a new sample in learned paces and means
OUTLIER: Final = 3.0  # one job may not move a learned pace by more than this ratio (heavy tails)
CAP_START: Final = 4.0  # outstanding slots at a worker that nothing is known of
CAP_FLOOR: Final = 0.5
CAP_FALL: Final = 0.7
TROUBLE: Final = frozenset(io.Result) - {io.Result.OK, io.Result.CANCELLED, io.Result.MOOT}
COPY_SHARE: Final = 0.1  # second copies as a share of arrivals, so that trouble everywhere starts no storm
HEDGE_AFTER: Final = 3.0  # times the usual time to a start: what has not begun by then waits in a queue
PATIENCE_START: Final = 4.0  # of the expected time to a sign, until a better one is learned
RUN_PATIENCE: Final = (3.0, 8.0, 30.0)  # times a run's span: the least, at the start, the most
RUN_LESSON: Final = 1.5  # by how much one job that was lost, or only long, changes it
PATIENCE_SHARE: Final = 0.03  # of attempts on well workers that may outlast the learned patience
SIGN_LEAST: Final = 0.25  # of the objective: no sign is expected sooner
NOTE_PATIENCE: Final = 2.5  # of the interval of progress notes
DOUBT_LIMIT: Final = 0.4  # of the fleet: if more is silent, it is not the workers that are ill
ERRORS_ILL: Final = 2  # in a row: a worker that fails all at once is always free, and would be picked again
WARM_LEAST: Final = 0.5  # of the fleet: with all cold at once, what was served before says too much
COLD_SPREAD: Final = 2.0  # half the deviations of chance that keep a cold worker from being pushed over
SPARE_WORTH: Final = 0.5  # of the dearest work: what is worth less leaves one reported slot free
HINT_MOST: Final = 10.0  # times a class's deadline: long jobs are hinted at several times that
QUOTA_DEPTH: Final = 5.0  # requests a tenant may be ahead of its quota here, for chance
QUOTA_SECONDS: Final = 3.0  # or so many seconds of its quota, if that is more
OVER_YIELD: Final = 2.5  # times its worth, of the objective: the wait that work beyond its share may add to
PROBE_SPEND: Final = 0.008  # points of service spent on probes for each job
PROBE_WAIT: Final = 1 / 16  # of the objective: how long a head waits for probes it caused
WATCH_AGAIN: Final = 0.0125  # of the span to ask within: two lists lost in a row may not miss a drain
TELL_SPEND: Final = 0.02  # points of service spent on messages for each job
TELL_LEAST: Final = 50_000
FETCH_WORK: Final = 1.0  # of a mean job: what a worker that does not keep the key is taken to fetch
TIE_WORK: Final = 0.1  # of outstanding work that fits its slots: least work decides among free workers
NEAR_COVER: Final = 8  # gateways to a worker, at the least, where each keeps to a part of the fleet
STRETCH_USED: Final = 0.8  # of the stretch: the rest is for what a hint or a pace is off
KEY_HOMES: Final = 3  # workers that may keep a key, the first most likely


class DeficitRing:
    """Deficit round robin over the tenants' heads (PAPER-dynamo-drr-queue)."""

    def __init__(self, quanta: Sequence[float]) -> None:
        self.queues = [TenantQueue(quantum) for quantum in quanta]
        self.cursor = 0

    def retune(self, quanta: Sequence[float], before: Sequence[int]) -> None:
        """Classes go on with heap and credit; one that is dropped stays while its jobs wait."""
        kept = [self.queues[was] if was >= 0 else TenantQueue(0.0) for was in before]
        for queue, quantum in zip(kept, quanta, strict=True):
            queue.quantum = quantum
        self.queues = kept + [queue for queue in self.queues if queue not in kept and queue.head()]
        self.cursor %= len(self.queues)

    def select(self, dispatchable: Callable[[Job], bool]) -> TenantQueue | None:
        """The class whose head leaves next; None when no head can."""
        ready: dict[int, Job] = {}
        size = len(self.queues)
        for index in [(self.cursor + step) % size for step in range(size)]:
            queue = self.queues[index]
            if (head := queue.head()) is None:
                queue.deficit = 0.0
            elif dispatchable(head):  # a blocked head keeps its credit and earns none
                if queue.deficit < head.cost:
                    queue.deficit += queue.quantum
                if queue.deficit >= head.cost:
                    self.cursor = index
                    return queue
                ready[index] = head
        return self._bulk_credit(ready) if ready else None

    def _bulk_credit(self, ready: dict[int, Job]) -> TenantQueue:
        """After a fruitless ring, the rounds until a first head is covered, given all at once."""
        rounds = min(math.ceil((head.cost - self.queues[i].deficit) / self.queues[i].quantum)
                     for i, head in ready.items())
        winner = -1
        for index, head in ready.items():
            queue = self.queues[index]
            queue.deficit += queue.quantum * rounds
            if winner < 0 and queue.deficit >= head.cost:
                winner = index
        self.cursor = winner
        return self.queues[winner]

    def charge(self, queue: TenantQueue) -> Job:
        """Takes the head of the class just selected and moves the cursor."""
        job = heappop(queue.heap)[-1]
        job.waiting = False
        queue.deficit -= job.cost
        if (head := queue.head()) is None:
            queue.deficit = 0.0
        if head is None or head.cost > queue.deficit:
            self.cursor = (self.cursor + 1) % len(self.queues)
        return job


class Dispatcher:
    """One gateway.  ``handle`` takes the time and what happened, and returns what to do."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.now = self.sequence = self.wake_at = self.watch_tries = self.list_version = self.warm_until = 0
        self.served, self.arrivals, self.probes = Rate(), Rate(), 0.0
        self.actions: list[io.Action] = []
        self.jobs: dict[int, Job] = {}
        self.fleet = Fleet(settings.price_connection > 0 and settings.price_fetch <= 0, self._near)
        self.workers = self.fleet.workers
        self.out: set[int] = set()  # by hand: ids, since discovery may drop a worker and list it again
        self.kinds = self.fleet.kinds
        self.ring = DeficitRing(())
        self.leaving = False  # what cold workers may still get (rule 4) is another's to send then
        self.spans: list[int] = []
        self._adopt(io.Retune(settings, [-1] * len(settings.classes), [-1] * len(settings.tenants)))
        self.timers = Timers()
        self._after = self.timers.add
        self.mean_work = float(min(spec.objective for spec in settings.classes))
        self.copies = self.warm_part = 1.0
        self.patience = PATIENCE_START
        self.run_patience = RUN_PATIENCE[1]
        self.prompt = self.mean_work / 16  # the median time from a send to its start
        self.reported: deque[Worker] = deque(maxlen=SAMPLE // 2)
        self.peer_loads: dict[int, list[tuple[Worker, float, float]]] = {}
        self.freed: list[Worker] = []
        self.handlers: dict[type, Callable[..., None]] = {
            io.Arrival: self.arrive, io.Outcome: self._end, io.Note: self._hear, io.Timer: self._nothing,
            io.WorkerList: self._list, io.ProbeResult: self._probed, io.Message: self._told,
            io.Abandoned: self._abandon, io.StreamStarted: self._stream, io.ByHand: self._by_hand,
            io.Retune: self._adopt}
        self.handlers.update(handlers(self))

    def handle(self, now: int, events: Sequence[io.Event]) -> list[io.Action]:
        """What to do about ``events``, which all happened at ``now``."""
        self.now = now
        self.actions, self.freed = [], []
        for event in events:
            self.handlers[type(event)](event)
        self.timers.run(now)
        self._release()
        self._set_wake()
        return self.actions

    def _adopt(self, event: io.Retune) -> None:
        """Settings for what comes from now on; what was learned of classes and tenants holds."""
        settings = self.settings = event.settings
        self.ring.retune(self._quanta(), event.tenants or [min(len(self.ring.queues), 1) - 1])
        quotas = [tenant.quota_per_s / settings.instances for tenant in settings.tenants]
        self.quotas = [Bucket(part, max(QUOTA_DEPTH, QUOTA_SECONDS * part), QUOTA_DEPTH) for part in quotas]
        self.spans = [self.spans[was] if was >= 0 else 0 for was in event.classes]
        self.asks = settings.reports is io.Reports.PROBES and settings.may_probe
        self.draws = max(SAMPLE_LEAST, min(SAMPLE, 3 * SAMPLE // settings.instances))
        self.blind = self.draws == SAMPLE_LEAST  # what is at a worker is hardly ever from here
        self.top_worth = max(spec.worth for spec in settings.classes)
        self.hedges = settings.tells_start and settings.may_copy and settings.may_cancel

    def _quanta(self) -> list[float]:
        """Quanta follow the shares; a tenant without one still gets a hundredth of the mean."""
        shares = [tenant.share for tenant in self.settings.tenants] or [1.0]
        mean = sum(shares) / len(shares) or 1.0
        scale = min(spec.objective for spec in self.settings.classes) or 1
        return [max(share / mean, 0.01) * scale for share in shares]

    def _set_wake(self) -> None:
        """At most one wake is pending, unless an earlier need comes up."""
        due = self.timers.next()
        if due is not None and (self.wake_at <= self.now or due < self.wake_at):
            self.wake_at = max(due, self.now + 1)
            self.actions.append(io.SetTimer(self.wake_at, self.wake_at))

    def _nothing(self, _: io.Timer | None = None) -> None:
        """A wake matters for the clock alone: what is due is in the heap, and a release follows."""

    # ---- discovery ------------------------------------------------------------------------

    def _list(self, event: io.WorkerList) -> None:
        settings = self.settings
        if event.listing is io.Listing.FAILED:
            self.watch_tries += 1
            spread = settings.ask_within * min(1.0, WATCH_AGAIN * 2**self.watch_tries)
            self._after(self.now + int(self.rng.uniform(0.3, 1.0) * spread), self._watch)
            return
        if event.listing is io.Listing.CACHED:
            self._begin()
        else:
            self.watch_tries = 0
        changed = event.listing is not io.Listing.CHANGES
        if changed:
            for worker in self.workers.values():
                worker.ready = worker.listed = False  # unless it is named below
        for entry in event.entries:
            known = self.workers.get(entry.worker)
            if known is None:
                known, changed = self.fleet.add(entry, CAP_START), True
            changed |= self._renew(known, entry)
        if changed:
            self.fleet.renew()
            self.list_version += 1

    def _renew(self, worker: Worker, entry: io.WorkerEntry) -> bool:
        """Takes in what the list says; tells whether more than the rating has changed."""
        old, worker.entry = worker.entry, entry
        worker.listed = entry.state is not io.State.GONE
        worker.ready = entry.state is io.State.READY and worker.id not in self.out
        worker.pool.size = max(worker.pool.size, entry.rating)
        started = max(entry.started, worker.back)
        if started != worker.started:  # a restart: nothing learned of its state holds
            worker.started = started
            worker.free_at = worker.cold_slot = -1
            worker.avoid_until = worker.strikes = worker.refusals = worker.errors = 0
            return True
        return entry.state is not old.state or entry.zone != old.zone

    def _by_hand(self, event: io.ByHand) -> None:
        """Out until it is put back, whatever is listed; then it is cold, and nothing learned of it holds."""
        worker = self.workers.get(event.worker)
        if worker and event.worker in self.out and not event.out:
            worker = self.fleet.anew(worker, CAP_START, self.now)
        (self.out.add if event.out else self.out.discard)(event.worker)
        if worker:
            worker.ready = worker.listed and worker.entry.state is io.State.READY and not event.out
        self.fleet.renew()
        self.list_version += 1

    def loads(self) -> bytes:
        """What is out from here, as a message."""
        return Loads.pack(self.workers.values(), self.rng)

    def _begin(self) -> None:
        """Watches of hundreds of gateways are spread so that a list of fixed capacity can answer."""
        settings = self.settings
        if settings.subscribe:
            spread = min(settings.ask_within * 0.8, settings.instances * 20_000)
            self._after(self.now + int(spread * (settings.position + self.rng.random()) / settings.instances),
                        self._watch)
        if settings.may_tell and settings.instances > 1 and settings.weights is not io.Weights.LIVE:
            self._after(self.now + int(TELL_LEAST * self.rng.random()), self._tell)

    def _watch(self) -> None:
        self.actions.append(io.Watch())

    # ---- arrivals and answers -------------------------------------------------------------

    def arrive(self, event: io.Arrival, sent: Sequence[io.AttemptMemory] = ()) -> None:
        spec = self.settings.classes[event.job_class]
        work = float(event.hint) if event.hint is not None else self.mean_work
        if spec.deadline > 0:  # one absurd hint must not distort the mean of all
            work = min(work, HINT_MOST * spec.deadline)
        queue = self.ring.queues[event.tenant if event.tenant < len(self.ring.queues) else 0]
        cost = max(1.0, work * event.slots)
        rank = -spec.worth / (1.0 if self.settings.worth_by_work else cost)  # WSPT: worth for its work
        # A repeat has less time left than a first try: that tells when its client began to wait.
        left = event.give_up - self.now
        span = self.spans[event.job_class] = max(self.spans[event.job_class], left)
        job = Job(event.request, spec, queue, event.key, event.give_up, self.now - span + left, work,
                  event.slots, cost, rank, self.settings.try_limit)
        job.hedged = self.hedges and spec.late_worth <= 0
        job.bearable = math.inf if spec.late_worth > 0 else float(spec.objective)
        fresh = left > 0.99 * span and event.tenant < len(self.quotas)
        if fresh and not self.quotas[event.tenant].take(self.now):  # beyond this gateway's part of the quota
            job.rank *= self.settings.over_share_worth
            job.bearable = min(1.0, OVER_YIELD * self.settings.over_share_worth) * spec.objective
        self.jobs[job.id] = job
        self.mean_work += (work - self.mean_work) * GAIN / 5
        self.copies = min(self.copies + COPY_SHARE, 10.0)
        self.arrivals.add(1.0, self.now)
        attach(self, job, sent)
        if not job.open:
            self.enqueue(job)
        if self.asks:
            self.probes = min(self.probes + PROBE_SPEND / max(self.settings.price_probe, 1e-4), 3 * SAMPLE)
            self._send_probes(job)

    def enqueue(self, job: Job) -> None:
        job.waiting = True
        job.queued = self.now
        self.sequence += 1
        job.queue.push((job.rank, job.came, self.sequence, job))
        last = job.give_up - self.settings.answer_grace
        if job.spec.late_worth <= 0 and (job.hedged or job.never_ran()):
            # Held longer, it would only take the place of one in time.
            kinds = self.kinds.values() if job.hedged else ()  # else a pace has time in queues in it
            pace = sum(kind.pace for kind in kinds) / len(kinds) if kinds else 1.0
            slack = job.spec.objective + (job.spec.stretch - pace) * job.work
            # Some are always tried, or nobody would learn that what was slow is not slow any more.
            last = min(last, job.came + int(max(slack, job.spec.objective * SIGN_LEAST)))
        if last <= self.now:
            self._expire(job)
        else:
            self._after(last, self._expire, job)

    def _expire(self, job: Job) -> None:
        """A held job is answered in time whether or not anything frees up.

        One that waits at a worker would only come late from now on, and make others late.
        """
        if job.waiting:
            job.waiting = False
            self._conclude(job)
        elif job.hedged and not job.answered and not any(attempt.begun for attempt in job.attempts):
            self._call_off(job, None)

    def _conclude(self, job: Job) -> None:
        """The final answer of a job that will not be served: a refusal only where nothing can have run."""
        if job.answered or job.open:
            return
        job.answered = True
        del self.jobs[job.id]
        spec = job.spec
        everywhere = spec.effect is io.Effect.KEYED and spec.scope is io.Scope.ALL
        harmless = spec.effect is io.Effect.SAFE or everywhere or job.never_ran()
        away = self.settings.max_retry_after if self.settings.may_advise else 0
        self.actions.append(io.Refuse(job.id, away) if harmless else io.Fail(job.id))

    def _abandon(self, event: io.Abandoned) -> None:
        if (job := self.jobs.get(event.request)) and not job.answered:
            self._finish(job)

    def _finish(self, job: Job) -> None:
        """The request has its final answer: what is still out is called off, nothing more is sent."""
        job.answered, job.waiting = True, False
        self._call_off(job, None)
        if not job.open:
            self.jobs.pop(job.id, None)

    def _stream(self, event: io.StreamStarted) -> None:
        job = self.jobs.get(event.request)
        if job is not None and event.attempt < len(job.attempts):
            job.streaming = True
            self._heard(job.attempts[event.attempt].worker)

    # ---- release --------------------------------------------------------------------------

    def _release(self) -> None:
        while (queue := self.ring.select(self._dispatchable)) is not None:
            job = self.ring.charge(queue)
            if job.choice:
                self._send(job, job.choice)
            else:  # no eligible worker: it proceeds, to fail
                self._conclude(job)

    def _dispatchable(self, job: Job) -> bool:
        """Unless every eligible worker is busy; a blocked head looks again when one frees up."""
        if self.now < job.look_at and job.list_seen == self.list_version:
            for worker in self.freed:
                if self._may_take(worker, job) and self._estimate(worker, job) is not None:
                    job.choice = worker
                    return True
            return False
        job.choice = self._pick(job, pool := self._eligible(job))
        if job.choice or not pool:
            return True
        job.list_seen = self.list_version
        job.look_at = self.now + max(4000, min(job.spec.objective // 8, 200_000))
        self._after(job.look_at, self._nothing)
        self._send_probes(job)
        return False

    def _eligible(self, job: Job) -> list[Worker]:
        """The listed workers where a further attempt is allowed at all."""
        if self._spent(job):
            return []
        pool = self.fleet.pool(job.spec.kind)
        if job.never_ran() or job.spec.scope is io.Scope.ALL and any(self._may_repeat(w, job) for w in pool):
            return pool  # whole and as it is: to look through it would cost more the larger it is
        return [worker for worker in pool if self._may_repeat(worker, job)]

    def _spent(self, job: Job) -> bool:
        """It has had all its attempts, by the settings that it came under and by those of now."""
        return len(job.attempts) >= min(job.tries, self.settings.try_limit)

    def _pick(self, job: Job, pool: list[Worker]) -> Worker | None:
        """The eligible worker with the least estimated outstanding work, None where all are busy."""
        near = self.fleet.near if job.spec.kind == -1 and job.never_ran() else pool
        return self._least(job, near) or (self._least(job, pool) if near is not pool else None)

    def _near(self, pool: list[Worker]) -> list[Worker]:
        """This gateway's part of a large fleet, where connections have a price: all are covered alike."""
        settings = self.settings
        size = max(SAMPLE, NEAR_COVER * len(pool) // settings.instances)
        start = settings.position * len(pool) // settings.instances
        apart = settings.price_connection > 0 and size < len(pool)
        return (pool + pool)[start:start + size] if apart else pool

    def _least(self, job: Job, pool: list[Worker]) -> Worker | None:
        best: Worker | None = None
        least, ties = math.inf, 0
        homes = self._homes_of(job)
        for worker in self._candidates(job, pool, homes):
            if self._may_take(worker, job) and (estimate := self._estimate(worker, job)) is not None:
                estimate += self._fetch(worker, homes) if homes else 0.0
                # Ties are drawn for; else the next in line after ineligible ones gets their part.
                ties = 1 if estimate < least else ties + (estimate == least)
                if estimate < least or (estimate == least and self.rng.random() * ties < 1):
                    best, least = worker, estimate
        return best

    def _candidates(self, job: Job, pool: list[Worker], homes: list[Worker]) -> Sequence[Worker]:
        if len(pool) <= SAMPLE:
            return pool
        # What all draw with nothing to go by adds up by chance alone: to what each worker can do.
        groups = self.fleet.by_kind(pool)
        drawn = [group[int(self.rng.random() * len(group))] for group in self.rng.choices(
            groups, [len(group) * group[0].strength() for group in groups], k=self.draws)]
        if self.asks:
            drawn.extend(worker for worker in self.reported if worker.free >= job.slots)
        elif self.blind:  # where a job from here has just ended is a slot that no other gateway was told of
            kept = self.now - self.settings.idle_close
            drawn.extend(worker for worker in self.reported if worker.sent_at > kept)
        return drawn + homes

    def _fetch(self, worker: Worker, homes: list[Worker]) -> float:
        """Time that fetching the key is likely to take: the further from its first home, the likelier."""
        far = homes.index(worker) if worker in homes else KEY_HOMES
        return FETCH_WORK * self.mean_work * far / KEY_HOMES

    def _homes_of(self, job: Job) -> list[Worker]:
        """The workers where gateways agree, without talking, to look for a key."""
        return self.fleet.homes(job.key, KEY_HOMES) if job.key and self.settings.price_fetch > 0 else []

    def _may_take(self, worker: Worker, job: Job) -> bool:
        """Eligible apart from being busy: listed, well, right kind and group, not cold beyond its budget."""
        spec = job.spec
        if not worker.ready or worker.avoid_until > self.now or spec.kind not in (-1, worker.entry.kind):
            return False
        if worker.errors >= ERRORS_ILL and worker.slots_out:
            return False  # one at a time, to see whether it serves again
        if job.attempts and not self._may_repeat(worker, job):
            return False
        if not self._is_cold(worker):
            return True
        return not self.leaving and job.work <= min(self.mean_work, self._cold_allowance(worker))

    def _may_repeat(self, worker: Worker, job: Job) -> bool:
        """Whether a job may run here too, where earlier attempts may have run (rule 2)."""
        spec = job.spec
        for attempt in job.attempts:
            if not attempt.may_have_run:
                continue
            if attempt.worker.id == worker.id or spec.effect is io.Effect.UNSAFE:
                return False
            if spec.effect is io.Effect.KEYED:
                there, here = attempt.entry, worker.entry
                if self.now >= attempt.sent + spec.window:
                    return False
                if spec.scope is io.Scope.ZONE and there.zone != here.zone:
                    return False
                if spec.scope is io.Scope.CELL and there.cell != here.cell:
                    return False
        return True

    def _estimate(self, worker: Worker, job: Job) -> float | None:
        """Time until this worker would have the job done, None while it is busy."""
        settings = self.settings
        pool = worker.pool
        pace = worker.pace or pool.pace
        if worker.free_at >= 0 and self.now - worker.free_at < self.mean_work * pace / max(1.0, pool.slots):
            # A report is older than the outcome it came with: a slot that is free from here counts too.
            free = worker.free if self.asks else max(worker.free, pool.slots - worker.held())
            if free < job.slots + (self.asks and -job.rank < SPARE_WORTH * self.top_worth):
                return None  # cheap work leaves a slot for dear work
        else:
            cap = min(worker.cap, pool.slots or worker.cap)  # more would wait there, out of reach of worth
            if worker.slots_out and worker.held() + job.slots > cap:
                return None
            if self.asks and self.now < job.queued + job.spec.objective * PROBE_WAIT:
                return None  # its probes are on their way
        wait = self._wait(worker, job, pace)
        if wait > job.bearable:
            return None  # it would only come late, and make others late
        if worker.entry.zone != settings.zone:
            wait += settings.price_cross_zone * self.mean_work
        if self.blind and worker.sent_at <= self.now - settings.idle_close:  # its connection is closed by now
            wait += settings.price_connection * self.mean_work
        # Its own run counts only beyond what its aim grants for it; else all would crowd the fast workers.
        return wait + max(0.0, pace - STRETCH_USED * job.spec.stretch) * job.work

    def _wait(self, worker: Worker, job: Job, pace: float) -> float:
        """Time until a slot frees up, from the work that this gateway, peers and the list know of."""
        rated = self.settings.weights is not io.Weights.OFF and worker.entry.rating > 0
        size = worker.pool.slots or (worker.pool.size if rated else 1.0)
        slots = worker.held()
        work = (worker.work_out + worker.peer_work) / size
        queued = max(0.0, slots + job.slots - size) / max(slots, 1.0)
        wait = work * (TIE_WORK + min(1.0, queued))
        if rated and self.settings.weights is io.Weights.LIVE:
            held = worker.pool.size / worker.entry.rating - 1.0
            wait = max(wait / 2, (TIE_WORK * held + max(0.0, held - 0.9)) * self.mean_work * pace)
        return wait

    # ---- cold workers ---------------------------------------------------------------------

    def _is_cold(self, worker: Worker) -> bool:
        return worker.started > 0 and self.now < worker.started + self.settings.cold_time

    def _warmth(self, worker: Worker) -> float:
        """The part of its capacity that a worker surely has by now."""
        settings = self.settings
        risen = (self.now - worker.started) / settings.cold_time if self._is_cold(worker) else 1.0
        return settings.cold_start_share + (1 - settings.cold_start_share) * max(0.0, risen)

    def _warm_part(self) -> float:
        """The mean warmth of the fleet, as seen here: the warm ones serve most of what is served."""
        if self.now >= self.warm_until:
            self.warm_until = self.now + self.settings.fall_window
            near = self.fleet.near
            self.warm_part = max(WARM_LEAST, sum(self._warmth(worker) for worker in near) / max(1, len(near)))
        return self.warm_part

    def _cold_allowance(self, worker: Worker) -> float:
        """What this gateway may still send a cold worker in the present span (rule 4).

        It is the mean of what it gets served by a worker (for one put back by hand, what its slots can do if
        that is more), less by how cold it is, and so little that chance does not bring all gateways together
        to the multiple that pushes it over.  Refusals must not raise it: work sent does not count.
        """
        if not worker.near:  # others have it in their part, and share its allowance among them
            return 0.0
        settings = self.settings
        slot = (self.now - worker.started) // max(1, settings.fall_window)
        if slot != worker.cold_slot:
            worker.cold_slot = slot
            near = max(1, len(self.fleet.near))
            sharers = settings.instances * near / max(1, len(self.fleet.pool(-1)))
            served = self.served.per_s / 1e6 / self._warm_part() / near
            shown = (worker.back == worker.started) * worker.pool.slots / worker.known_pace() / sharers
            own = self._warmth(worker) * max(served, shown) * settings.fall_window / self.mean_work
            safe = (math.sqrt(COLD_SPREAD**2 + settings.fall_multiple * own * sharers) - COLD_SPREAD) ** 2
            jobs = own * min(1.0, safe / max(own * sharers, 1e-9))
            worker.cold_left = math.floor(jobs + self.rng.random()) * self.mean_work
        return worker.cold_left

    # ---- attempts -------------------------------------------------------------------------

    def _send(self, job: Job, worker: Worker) -> None:
        attempt = Attempt(job, len(job.attempts), worker, worker.entry, self.now, self._expected(worker, job))
        attempt.alone = worker.held() < 1
        job.attempts.append(attempt)
        job.open += 1
        worker.carry(job)
        worker.sent_at = self.now
        worker.free -= job.slots
        if self._is_cold(worker):
            worker.cold_left -= job.work
        self.actions.append(io.Send(job.id, worker.id))
        self.attend(attempt)
        if job.hedged:
            self._after(self.now + int(HEDGE_AFTER * self.prompt), self._hedge, attempt)

    def attend(self, attempt: Attempt) -> None:
        """Looks at it again when it ought to have given a sign."""
        self._after(self.now + self._patience(attempt), self._check, attempt)

    def _hedge(self, attempt: Attempt) -> None:
        """An attempt that has not begun waits in a queue: a copy may begin sooner elsewhere."""
        job = attempt.job
        if attempt.open and not attempt.begun and not job.answered:
            attempt.alone = False  # and its delay is counted here, not again at its start
            self.prompt *= 1 + GAIN / 2
            self._copy(job)

    def _copy(self, job: Job) -> None:
        if self.now < job.give_up and (choice := self._pick(job, self._eligible(job))):
            job.queue.deficit -= job.cost  # a copy is its tenant's to pay
            self._send(job, choice)

    def _call_off(self, job: Job, kept: Attempt | None) -> None:
        """What is still out beside ``kept`` is not wanted any more."""
        if self.settings.may_cancel:
            self.actions.extend(io.Cancel(job.id, attempt.number) for attempt in job.attempts
                                if attempt.open and attempt is not kept)

    def _expected(self, worker: Worker, job: Job) -> float:
        """Time to the first sign of an attempt: its start where that is told, else its answer."""
        run = 0.0 if self.settings.tells_start else job.work * worker.known_pace()
        return job.spec.objective * SIGN_LEAST + run + worker.work_out / max(1.0, worker.pool.slots)

    def _patience(self, attempt: Attempt) -> int:
        """How long an attempt may give no sign before its worker is doubted."""
        if not attempt.begun:
            least = self.settings.progress * NOTE_PATIENCE if attempt.job.hedged else 0
            return int(max(attempt.expected * self.patience, least))  # a queue is not silence
        if self.settings.progress:
            return int(self.settings.progress * NOTE_PATIENCE)
        span = self._run_span(attempt)
        return int(span * (self.run_patience if self._runs_well(attempt, span) else PATIENCE_START))

    def _runs_well(self, attempt: Attempt, span: float) -> bool:
        """Others end there as they should: one that is silent is long or lost, and its worker not slow."""
        return attempt.worker.well_at > max(attempt.begun, self.now - 2 * span)

    def _run_span(self, attempt: Attempt) -> float:
        """What a run takes by its hint, and its aim on top, for what the hint may be off."""
        return attempt.job.work * attempt.worker.known_pace() + attempt.job.spec.objective

    def _learn_run_patience(self, attempt: Attempt) -> None:
        """Whether jobs that were silent at well workers are lost or only long shows when they end elsewhere.

        To start a long one over throws its work away; one that is lost is the later the longer it is left.
        """
        span = self._run_span(attempt)
        spans = (self.now - attempt.begun) / span
        least, _, most = RUN_PATIENCE
        if spans <= 1:
            attempt.worker.well_at = self.now
        if spans > PATIENCE_START and self._runs_well(attempt, span):
            self.run_patience = min(most, self.run_patience * RUN_LESSON)
        elif attempt.job.silent and spans < PATIENCE_START / 2:
            self.run_patience = max(least, self.run_patience / RUN_LESSON)

    def _learn_patience(self, attempt: Attempt) -> None:
        """A running quantile: hints may be far off, and slowness everywhere must not look like silence."""
        late = self.now - attempt.sent > attempt.expected * self.patience
        self.patience *= 1 + GAIN * (1 - PATIENCE_SHARE) if late else 1 - GAIN * PATIENCE_SHARE

    def _check(self, attempt: Attempt) -> None:
        """No start, progress or answer in time: the worker may take jobs and answer none (hang)."""
        job = attempt.job
        called_off = job.hedged and not attempt.begun and attempt.may_have_run
        if job.streaming or not (called_off or attempt.open and not job.answered):
            return
        sign = attempt.worker.heard_at if not attempt.begun or self.settings.progress else attempt.sign
        due = max(attempt.begun or attempt.sent, sign) + self._patience(attempt)
        if due > self.now:  # any sign of the worker since then speaks for it
            if attempt.open:
                self._after(due, self._check, attempt)
            return
        self._doubt(attempt.worker)
        if attempt.worker.strikes and not self.settings.may_copy:
            self._move_on(attempt)
        if self.settings.may_copy and not job.answered and job.open < 2 and self.copies >= 1:
            self.copies -= 1
            self._copy(job)

    def _move_on(self, attempt: Attempt) -> None:
        """Where no second copy may be out, a silent attempt is called off; its end sends the job back."""
        job = attempt.job
        if self.settings.may_cancel and any(self._may_repeat(worker, job) for worker in self._eligible(job)):
            job.silent = attempt.begun > 0
            self.actions.append(io.Cancel(job.id, attempt.number))

    def _errs(self, worker: Worker) -> None:
        """Errors in a row: left alone as in doubt, though it tells of starts, until it has served a job.

        Unless much of the fleet errs: then it is the jobs, and there is nowhere else to go.
        """
        worker.errors += 1
        pool = self.fleet.pool(-1)
        ill = sum(1 for other in pool if other.errors >= ERRORS_ILL and other is not worker)
        if worker.errors >= ERRORS_ILL and ill < max(1.0, DOUBT_LIMIT * len(pool)):
            worker.avoid_until = max(worker.avoid_until, self.now + self._pause(worker.errors - ERRORS_ILL))

    def _pause(self, times: int) -> int:
        """How long to leave a worker alone after so many earlier times."""
        base = 4 * min(spec.objective for spec in self.settings.classes)
        longest = max(base, self.settings.cold_time)
        return int(min(base * 2.0 ** min(times, 16), longest) * self.rng.uniform(0.75, 1.25))

    def _doubt(self, worker: Worker, certain: bool = False) -> None:
        """Leave a worker alone for a while, longer at each strike, unless the whole fleet looks ill.

        A failed connection is certain: with half the fleet dead, each of those must still be left alone.
        """
        pool = self.fleet.pool(-1)
        doubted = 0 if certain else sum(1 for other in pool if other.strikes)
        if not worker.strikes and doubted >= max(1.0, DOUBT_LIMIT * len(pool)):
            return
        worker.strikes += 1
        worker.avoid_until = self.now + self._pause(worker.strikes - 1)

    def _heard(self, worker: Worker) -> None:
        """A sign of life: an answer, a start or progress; not a report, which a hung worker sends too."""
        worker.heard_at = self.now
        if worker.strikes:
            worker.strikes = worker.avoid_until = 0

    def _hear(self, event: io.Note) -> None:
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts):
            return
        attempt = job.attempts[event.attempt]
        self._heard(attempt.worker)
        attempt.sign = self.now
        if event.begun and not attempt.begun:
            self._learn_patience(attempt)
            attempt.begun = self.now
            if attempt.alone or self.now - attempt.sent <= self.prompt:
                self.prompt *= 1 + GAIN / 2 if self.now - attempt.sent > self.prompt else 1 - GAIN / 2
            if job.open > 1 and job.hedged:
                self._call_off(job, attempt)
            self.attend(attempt)

    def _end(self, event: io.Outcome) -> None:
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].open:
            return
        attempt = job.attempts[event.attempt]
        attempt.open = False
        job.open -= 1
        worker, result = attempt.worker, event.result
        worker.put_down(job)
        attempt.may_have_run &= result not in io.NEVER_RAN
        if event.report:
            self._report(worker, event.report)
        elif result is not io.Result.FULL:
            worker.free += job.slots
        self._learn(attempt, event)
        self.freed.append(worker)
        if event.finished and not job.answered:
            self._finish(job)
        elif not job.answered:
            self._retry(job, attempt)
        elif not job.open:
            self.jobs.pop(job.id, None)

    def _learn(self, attempt: Attempt, event: io.Outcome) -> None:
        """Pace from what was timed; the cap falls on trouble and rises on served jobs."""
        job, worker, result = attempt.job, attempt.worker, event.result
        if result is io.Result.OK:
            self._heard(worker)
            worker.refusals = worker.errors = 0
            self.served.add(job.work, self.now)
            if not attempt.begun:
                self._learn_patience(attempt)
            else:
                self._learn_run_patience(attempt)
            worker.cap += 1.0 / max(1.0, worker.cap)
            if attempt.begun or attempt.alone:
                self._learn_pace(worker, (self.now - (attempt.begun or attempt.sent)) / max(1.0, job.work))
        elif result in TROUBLE:
            worker.cap = max(CAP_FLOOR, worker.cap * CAP_FALL)
            if result is io.Result.FULL:
                pause = self.mean_work * worker.known_pace() / max(1.0, worker.pool.slots)
                pause = min(pause * 2**worker.refusals, max(pause, self.settings.cold_time))
                worker.refusals += 1
                worker.avoid_until = max(worker.avoid_until,
                                         self.now + int(pause * self.rng.uniform(0.5, 1.5)))
                worker.free_at = -1
            elif result is not io.Result.ERROR:
                self._doubt(worker, result is io.Result.CONNECT_FAILED)
            else:
                self._errs(worker)

    def _learn_pace(self, worker: Worker, sample: float) -> None:
        old = worker.known_pace()
        sample = min(max(sample, old / OUTLIER), old * OUTLIER)
        worker.pace = old + (sample - old) * GAIN
        worker.pool.pace += (sample - worker.pool.pace) * GAIN / 3

    def _retry(self, job: Job, attempt: Attempt) -> None:
        """Back to its heap where another try is allowed; else the final answer, once nothing is out."""
        if job.open or job.streaming or job.waiting:
            return
        spent = self._spent(job) or self.now >= job.give_up - self.settings.answer_grace
        if spent or (job.spec.effect is io.Effect.UNSAFE and not job.never_ran()):
            self._conclude(job)
            return
        if not attempt.may_have_run:
            job.queue.deficit += job.cost  # it did not run: as if it had never left the heap
        self.enqueue(job)

    # ---- load reports and probes ----------------------------------------------------------

    def _report(self, worker: Worker, report: tuple[float, ...]) -> None:
        values = dict(zip(self.settings.report_fields, report, strict=False))
        if "free_slots" not in values:
            return
        free = values["free_slots"]
        held = values.get("held", 0.0) if free > 0.5 else 0.0
        rated = self.settings.weights in (io.Weights.NOMINAL, io.Weights.ROUGH)
        self.fleet.shown(worker.pool, round(free + held), rated)
        worker.free = round(free)
        if worker.free_at < 0 or worker not in self.reported:
            self.reported.append(worker)
        worker.free_at = self.now

    def _send_probes(self, job: Job) -> None:
        """A few workers are asked before a pick; more while a head stays blocked, within the spending."""
        pool = self.fleet.pool(job.spec.kind)
        for _ in range(min(4, int(self.probes), len(pool))):
            worker = pool[int(self.rng.random() * len(pool))]
            if worker.avoid_until <= self.now:
                self.probes -= 1
                self.actions.append(io.Probe(worker.id))

    def _probed(self, event: io.ProbeResult) -> None:
        worker = self.workers.get(event.worker)
        if worker and event.result is not io.Result.OK:
            worker.avoid_until = max(worker.avoid_until, self.now + int(self.mean_work))
        elif worker and event.report:
            self._report(worker, event.report)
            self.freed.append(worker)

    def _tell(self) -> None:
        """Own outstanding work, told to the others as often as its price allows."""
        settings = self.settings
        body = self.loads()
        self.actions.append(io.Tell(body))
        cost = settings.price_message * (len(body) + 8) / 256 * (settings.instances - 1)
        gap = cost / (TELL_SPEND * max(self.arrivals.per_s, 0.1)) * 1e6
        self._after(self.now + max(TELL_LEAST, int(gap)), self._tell)

    def _told(self, event: io.Message) -> None:
        for worker, slots, work in self.peer_loads.pop(event.sender, ()):
            worker.peer_slots -= slots
            worker.peer_work -= work
        loads = [(self.fleet.tags[tag], slots, work) for tag, slots, work in Loads.unpack(event.body)
                 if tag in self.fleet.tags]
        for worker, slots, work in loads:
            worker.peer_slots += slots
            worker.peer_work += work
        self.peer_loads[event.sender] = loads
