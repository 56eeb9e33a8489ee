"""Deficit round robin: each clause of the paper and its worked examples."""

from dataclasses import dataclass

import pytest

from carthinge.policy.fair_queueing import DeficitRoundRobin


@dataclass
class Item:
    cost: float
    blocked: bool = False
    waiting: bool = True
    place: int = 0


def ring_of(*quanta):
    return DeficitRoundRobin(quanta)


def fill(ring, index, *costs, blocked=False):
    for number, cost in enumerate(costs, len(ring.queues[index].heap)):
        ring.queues[index].push((0.0, 0, number, Item(cost, blocked)))


def take(ring):
    queue = ring.select(lambda item: not item.blocked)
    if queue is None:
        return None
    index = ring.queues.index(queue)
    return index, ring.charge(queue).cost


def test_one_quantum_serves_several_heads():
    ring = ring_of(10, 10)
    fill(ring, 0, 3, 3, 3, 3)
    fill(ring, 1, 3)
    left = []
    for _ in range(3):
        assert take(ring) == (0, 3)
        left.append(ring.queues[0].deficit)
    assert left == [7, 4, 1] and ring.cursor == 1


def test_bulk_credit_example():
    ring = ring_of(1000, 2000)
    fill(ring, 0, 7000)
    fill(ring, 1, 9000, 9000)
    queue = ring.select(lambda item: True)
    assert queue is ring.queues[1]
    assert [q.deficit for q in ring.queues] == [5000, 10000]
    assert ring.charge(queue).cost == 9000
    assert ring.queues[1].deficit == 1000


def test_covered_head_needs_no_new_credit():
    ring = ring_of(10)
    fill(ring, 0, 4, 4)
    ring.queues[0].deficit = 5
    take(ring)
    assert ring.queues[0].deficit == 1


def test_blocked_queue_keeps_but_earns_no_credit():
    ring = ring_of(10, 10)
    fill(ring, 0, 5, blocked=True)
    ring.queues[0].deficit = 3
    fill(ring, 1, 200)
    assert take(ring) == (1, 200)
    assert ring.queues[0].deficit == 3


def test_all_blocked_adds_no_credit():
    ring = ring_of(10, 10)
    fill(ring, 0, 50, blocked=True)
    fill(ring, 1, 50, blocked=True)
    assert take(ring) is None
    assert [q.deficit for q in ring.queues] == [0, 0]


def test_empty_queue_resets_and_cursor_advances():
    ring = ring_of(10, 10)
    fill(ring, 0, 4)
    assert take(ring) == (0, 4)
    assert ring.queues[0].deficit == 0 and ring.cursor == 1
    ring.queues[1].deficit = 9
    assert take(ring) is None
    assert ring.queues[1].deficit == 0


def test_cursor_stays_while_next_head_covered():
    ring = ring_of(10, 10)
    fill(ring, 0, 4, 4, 4)
    fill(ring, 1, 4)
    take(ring)
    assert ring.cursor == 0
    take(ring)
    assert ring.cursor == 1


def test_scan_starts_at_the_cursor():
    ring = ring_of(10, 10)
    fill(ring, 0, 4)
    fill(ring, 1, 4)
    ring.cursor = 1
    assert take(ring) == (1, 4)


def test_only_the_head_is_considered():
    ring = ring_of(10)
    fill(ring, 0, 4, blocked=True)
    fill(ring, 0, 4)
    assert take(ring) is None


def test_selection_time_is_independent_of_cost():
    ring = ring_of(1, 1, 1)
    for index in range(3):
        fill(ring, index, 10**12)
    considered = []
    ring.select(lambda item: not considered.append(item))
    assert len(considered) == 3


@pytest.mark.parametrize("quanta", [(1, 2, 5), (7, 7), (1, 100)])
def test_long_run_service_follows_quanta(quanta):
    ring = ring_of(*quanta)
    served = [0.0] * len(quanta)
    costs = [3, 11, 1, 40, 7]
    for index in range(len(quanta)):
        fill(ring, index, *(costs * 4000))
    for _ in range(6000):
        index, cost = take(ring)
        served[index] += cost
    rounds = [work / quantum for work, quantum in zip(served, quanta, strict=True)]
    assert max(rounds) - min(rounds) <= 2 * max(costs) / min(quanta) + 1
