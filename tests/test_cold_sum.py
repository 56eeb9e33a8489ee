"""Cold workers and all schedulers together: the budget binds over the sum of what all of them send.

N calls, and 2 x root of N + 2 (under 30 calls 3 x root of N + 3), N being what the settings allow a worker of
its present capacity in a window of theirs, wherever that window lies.
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

WORK = 50_000  # microseconds of a mean job on a warm worker's slot
SLOTS = 2
WARM, COLD = 5, 3  # workers of each sort
JOINED = 20_000_000  # when the cold ones start
ENDS = JOINED + 6_000_000
LEARNED = 4_000_000  # for so long the schedulers that know something have served before


class FleetInVirtualTime:
    """Many gateways and a few workers that serve in order; every gateway is called only when it has news."""

    def __init__(self, config, known, restarted, seed):
        """``known`` gateways have served warm workers before, ``restarted`` ones begin with the cold ones."""
        self.config, self.rng, self.seed = config, Random(seed), seed
        self.agenda, self.count = [], 0
        self.gateways = {}
        self.free_at = {worker: [0] * SLOTS for worker in range(1, WARM + COLD + 1)}
        self.sent = {worker: [] for worker in self.free_at}
        self.numbers = 0
        for position in range(known):
            self.begin(position, JOINED - LEARNED - 1)
        for position in range(known, known + restarted):
            self.begin(position, JOINED + 1000)

    def begin(self, position, at):
        warm = [io.WorkerEntry(worker) for worker in range(1, WARM + 1)]
        cold = self.cold() if at >= JOINED else []
        self.at(at, position, listing(*warm, *cold))
        if at < JOINED:
            told = JOINED + self.rng.randrange(500_000)
            self.at(told, position, listing(*self.cold(), kind=io.Listing.CHANGES))
        self.at(at, position, None)

    def cold(self):
        return [io.WorkerEntry(worker, started=JOINED) for worker in range(WARM + 1, WARM + COLD + 1)]

    def at(self, time, position, event):
        self.count += 1
        heappush(self.agenda, (time, self.count, position, event))

    def warmth(self, worker, now):
        if worker <= WARM:
            return 1.0
        share = self.config.cold_start_share
        return min(1.0, share + (1 - share) * (now - JOINED) / self.config.cold_time)

    def run(self, per_s):
        """``per_s``: jobs a second at all gateways together."""
        gap = self.config.instances / per_s * 1e6
        while self.agenda and self.agenda[0][0] < ENDS:
            now, _, position, event = heappop(self.agenda)
            gateway = self.gateways.get(position)
            if gateway is None:
                config = replace(self.config, position=position)
                gateway = self.gateways[position] = Dispatcher(config, self.seed * 1000 + position)
            if event is None:  # the next job
                self.numbers += 1
                job_class = self.numbers % len(self.config.classes)
                hint = int(WORK * self.rng.uniform(0.5, 1.5))
                event = io.Arrival(self.numbers, job_class, now + 5_000_000, hint=hint)
                self.at(now + int(self.rng.expovariate(1 / gap)) + 1, position, None)
            for action in gateway.handle(now, [event]):
                self.carry_out(now, position, gateway, action)

    def carry_out(self, now, position, gateway, action):
        if isinstance(action, io.SetTimer):
            self.at(action.due, position, io.Timer(action.token))
        elif isinstance(action, io.Send):
            worker = action.worker
            self.sent[worker].append(now)
            slots = self.free_at[worker]
            first = min(range(SLOTS), key=slots.__getitem__)
            begins = max(now, slots[first])
            ends = begins + int(gateway.jobs[action.request].work / self.warmth(worker, begins))
            slots[first] = ends
            number = len(gateway.jobs[action.request].attempts) - 1
            self.at(begins + 500, position, io.Note(action.request, number, worker, begun=True))
            self.at(ends + 500, position, outcome(action.request, number, worker, io.Result.OK, ends - now))

    def most_over(self, worker):
        """By how many calls the fullest window is over its budget, at the least."""
        sends, window = self.sent[worker], self.config.fall_window
        over = -math.inf
        for at, begins in enumerate(sends):
            calls = bisect_left(sends, begins + window) - at
            capacity = SLOTS * self.warmth(worker, begins) / WORK
            allowed = self.config.fall_multiple * capacity * window
            slack = 2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3
            over = max(over, calls - allowed - slack)
        return over


@pytest.mark.parametrize("fall_multiple", [3.0, 4.0])
@pytest.mark.parametrize(("known", "restarted"), [(1, 0), (0, 1), (20, 10), (0, 30), (150, 50), (0, 200)])
def test_the_sum_of_all_schedulers_stays_below_a_cold_worker_s_budget(known, restarted, fall_multiple):
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
        fleet = FleetInVirtualTime(config, known, restarted, seed)
        fleet.run(per_s=1.1 * SLOTS * WARM / WORK * 1e6)  # more than the warm ones can do
        for worker in range(WARM + 1, WARM + COLD + 1):
            assert fleet.sent[worker], f"seed {seed}: worker {worker} got nothing at all"
            assert fleet.most_over(worker) <= 0, f"seed {seed}: worker {worker} was pushed over"


def test_a_window_that_is_over_its_budget_is_found():
    """The check itself: as many as a warm worker can do, all to a cold one, are too many."""
    fleet = FleetInVirtualTime(settings(fall_window=1_000_000, cold_start_share=0.25), 1, 0, 1)
    fleet.sent[WARM + 1] = [JOINED + step * 5_000 for step in range(200)]
    assert fleet.most_over(WARM + 1) > 0
