"""Slow start over all schedulers: the budget limits the sum of what they send to a cold worker.

The limit is N + 2 * sqrt(N) + 2 calls (N + 3 * sqrt(N) + 3 below 30 calls) in any window, where N is what the
settings allow a worker of its present capacity.
"""

import math
from bisect import bisect_left
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

import pytest
from helpers import SAFE, UNSAFE, listing, outcome, settings

from carthinge import Dispatcher
from carthinge import interface as io

WORK_US = 50_000  # of a mean job on a warm worker's slot
SLOTS = 2
WARM, COLD = 5, 3  # numbers of workers
JOINED_US = 20_000_000  # when the cold workers start
ENDS_US = JOINED_US + 6_000_000
LEARNING_TIME_US = 4_000_000  # how long the known schedulers have served before


class SimulatedFleet:
    """Many schedulers and a few first-come-first-served workers, driven by events in virtual time."""

    def __init__(self, config, known, restarted, seed):
        """``known`` schedulers have served warm workers, ``restarted`` ones start with the cold workers."""
        self.config, self.rng, self.seed = config, Random(seed), seed
        self.events, self.count = [], 0
        self.dispatchers = {}
        self.free_at = {worker: [0] * SLOTS for worker in range(1, WARM + COLD + 1)}
        self.sent = {worker: [] for worker in self.free_at}
        self.numbers = 0
        for position in range(known):
            self.add_scheduler(position, JOINED_US - LEARNING_TIME_US - 1)
        for position in range(known, known + restarted):
            self.add_scheduler(position, JOINED_US + 1000)

    def add_scheduler(self, position, at):
        warm = [io.WorkerEntry(worker) for worker in range(1, WARM + 1)]
        cold = self.cold_entries() if at >= JOINED_US else []
        self.schedule(at, position, listing(*warm, *cold))
        if at < JOINED_US:
            listed = JOINED_US + self.rng.randrange(500_000)
            self.schedule(listed, position, listing(*self.cold_entries(), kind=io.Listing.CHANGES))
        self.schedule(at, position, None)

    def cold_entries(self):
        return [io.WorkerEntry(worker, started=JOINED_US) for worker in range(WARM + 1, WARM + COLD + 1)]

    def schedule(self, time, position, event):
        self.count += 1
        heappush(self.events, (time, self.count, position, event))

    def capacity_share(self, worker, now):
        if worker <= WARM:
            return 1.0
        share = self.config.cold_start_share
        return min(1.0, share + (1 - share) * (now - JOINED_US) / self.config.cold_time)

    def run(self, per_s):
        """Run until ENDS_US with ``per_s`` jobs per second at all schedulers together."""
        interval = self.config.instances / per_s * 1e6
        while self.events and self.events[0][0] < ENDS_US:
            now, _, position, event = heappop(self.events)
            dispatcher = self.dispatchers.get(position)
            if dispatcher is None:
                config = replace(self.config, position=position)
                dispatcher = self.dispatchers[position] = Dispatcher(config, self.seed * 1000 + position)
            if event is None:  # the next job
                self.numbers += 1
                job_class = self.numbers % len(self.config.classes)
                hint = int(WORK_US * self.rng.uniform(0.5, 1.5))
                event = io.Arrival(self.numbers, job_class, now + 5_000_000, hint=hint)
                self.schedule(now + int(self.rng.expovariate(1 / interval)) + 1, position, None)
            for action in dispatcher.handle(now, [event]):
                self.execute(now, position, dispatcher, action)

    def execute(self, now, position, dispatcher, action):
        if isinstance(action, io.SetTimer):
            self.schedule(action.due, position, io.Timer(action.token))
        elif isinstance(action, io.Send):
            worker = action.worker
            self.sent[worker].append(now)
            slots = self.free_at[worker]
            first = min(range(SLOTS), key=slots.__getitem__)
            begins = max(now, slots[first])
            ends = begins + int(dispatcher.jobs[action.request].work / self.capacity_share(worker, begins))
            slots[first] = ends
            number = len(dispatcher.jobs[action.request].attempts) - 1
            self.schedule(
                begins + 500, position, io.ProgressReport(action.request, number, worker, begun=True)
            )
            self.schedule(
                ends + 500, position, outcome(action.request, number, worker, io.Result.OK, ends - now)
            )

    def max_excess(self, worker):
        """Return the calls above the budget in the fullest window; below 0 if none is over."""
        sends, window = self.sent[worker], self.config.fall_window
        max_excess = -math.inf
        for at, begins in enumerate(sends):
            calls = bisect_left(sends, begins + window) - at
            capacity = SLOTS * self.capacity_share(worker, begins) / WORK_US
            allowed = self.config.fall_multiple * capacity * window
            slack = 2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3
            max_excess = max(max_excess, calls - allowed - slack)
        return max_excess


@pytest.mark.parametrize("fall_multiple", [3.0, 4.0])
@pytest.mark.parametrize(("known", "restarted"), [(1, 0), (0, 1), (20, 10), (0, 30), (150, 50), (0, 200)])
def test_cold_worker_budget_holds_for_all_schedulers(known, restarted, fall_multiple):
    for seed in range(3):
        config = settings(
            SAFE,
            UNSAFE,
            instances=known + restarted,
            fall_multiple=fall_multiple,
            fall_window=1_000_000,
            cold_start_share=0.25,
            tells_start=True,
        )
        fleet = SimulatedFleet(config, known, restarted, seed)
        fleet.run(per_s=1.1 * SLOTS * WARM / WORK_US * 1e6)  # above the capacity of the warm workers
        for worker in range(WARM + 1, WARM + COLD + 1):
            assert fleet.sent[worker], f"seed {seed}: worker {worker} got no jobs"
            assert fleet.max_excess(worker) <= 0, f"seed {seed}: worker {worker} was overloaded"


def test_check_detects_window_over_budget():
    """Checks the check: the load of a warm worker is too much for a cold one."""
    fleet = SimulatedFleet(settings(fall_window=1_000_000, cold_start_share=0.25), 1, 0, 1)
    fleet.sent[WARM + 1] = [JOINED_US + step * 5_000 for step in range(200)]
    assert fleet.max_excess(WARM + 1) > 0
