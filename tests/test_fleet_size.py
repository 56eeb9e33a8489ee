"""1,100 workers and as many schedulers: no limit is lower, and worker selection does not slow down."""

import re
from pathlib import Path

from helpers import arrival, listing, outcome, settings
from test_discovery import list_body
from world import SETTINGS, World, member

from carthinge import Dispatcher
from carthinge import interface as io
from carthinge.policy.worker_selection import WorkerSelector
from carthinge.records import Worker

COUNT = 1100
LARGE = {**SETTINGS, "instances": COUNT, "position": COUNT - 1, "prices": {"handshake": 0.02}}
MEMORY_MB = 64  # the smallest limit in the tests leaves 80


class Fleet:
    """All workers have one address; the scheduler's log tells which of them a job was sent to."""

    def __init__(self, world):
        self.world = world
        world.names = [f"s-{number}" for number in range(COUNT)]

    def members(self, phase="Ready", count=COUNT):
        return [member(name, self.world.workers[0].port, phase) for name in self.world.names[:count]]

    def serve(self, prefix, times):
        """Serve jobs one after the other; return the workers that they were sent to."""
        used = set()
        for step in range(times):
            client = self.world.submit(f"{prefix}{step}")
            self.world.next_request()[1].answer(202)
            sent = re.findall(rf"event=attempt_sent id={prefix}{step} worker=s-(\d+)", self.world.log())
            used.add(int(sent[-1]))
            assert self.world.send_callback(f"{prefix}{step}", "done", int(sent[-1]), result="r") == 204
            assert client.status() == 200
        return used


def test_large_fleet_is_listed_changed_and_restored(tmp_path):
    with World(tmp_path, settings=LARGE) as world:
        fleet = Fleet(world)
        peer, _ = world.accept_watch()
        peer.answer(200, list_body(8, *fleet.members(), complete=True))
        peer.read()  # the next call: the answer has been applied
        assert world.metrics()["workers_known"] == COUNT and fleet.serve("a", 20)
        peer.answer(200, list_body(9, *fleet.members("Terminating", COUNT - 50)))
        peer.read()
        assert all(number >= COUNT - 50 for number in fleet.serve("b", 20))
        peer.answer(200, list_body(10, *fleet.members("Gone")))
        peer.read()
        assert world.submit("c1").status() == 503 and world.metrics()["workers_known"] == 0
        peer.answer(200, list_body(11, *fleet.members(), complete=True))
        peer.read()
        fleet.serve("d", 5)
        statm = Path(f"/proc/{world.process.pid}/statm").read_text()
        assert int(statm.split()[1]) * 4096 < MEMORY_MB * 1_000_000


def test_watch_wait_is_capped(tmp_path):
    with World(tmp_path, settings={**LARGE, "instances": 5000, "position": 0}) as world:
        assert world.accept_watch()[1].split()[1].endswith("&wait=60000")


def test_selection_does_not_scan_fleet(monkeypatch):
    calls = 0

    def counted(function):
        def call(*arguments):
            nonlocal calls
            calls += 1
            return function(*arguments)

        return call

    monkeypatch.setattr(Worker, "capacity", counted(Worker.capacity))
    monkeypatch.setattr(WorkerSelector, "may_retry", counted(WorkerSelector.may_retry))
    config = settings(
        io.JobClass(objective=100_000, deadline=5_000_000, late_worth=0.5),
        instances=COUNT,
        position=3,
        may_hedge=False,
        kinds=3,
    )
    dispatcher = Dispatcher(config, 5)
    dispatcher.handle(
        0, [listing(*(io.WorkerEntry(number, kind=number % 3) for number in range(1, COUNT + 1)))]
    )
    (sent,) = [a for a in dispatcher.handle(1000, [arrival(now=1000)]) if isinstance(a, io.Send)]
    (retried,) = [
        a
        for a in dispatcher.handle(2000, [outcome(1, 0, sent.worker, io.Result.RESET)])
        if isinstance(a, io.Send)
    ]
    assert retried.worker != sent.worker
    assert calls < COUNT / 10


def test_kinds_are_drawn_by_total_capacity():
    """20 workers of four times the capacity are drawn as often as 80 others without load reports."""
    config = settings(instances=COUNT, may_hedge=False, weights=io.Weights.NOMINAL)
    drawn = {0: 0, 1: 0}
    for seed in range(400):
        dispatcher = Dispatcher(config, seed)
        dispatcher.handle(
            0,
            [
                listing(
                    *(
                        io.WorkerEntry(n, kind=int(n > 20), rating=1.0 if n > 20 else 4.0)
                        for n in range(1, 101)
                    )
                )
            ],
        )
        pool = dispatcher.fleet.pool(-1)
        for worker in dispatcher.selector.candidates(None, pool, []):
            drawn[worker.entry.kind] += 1
    assert 0.8 < drawn[0] / drawn[1] < 1.25
