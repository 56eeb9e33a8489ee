"""Budgets that pass: whatever is cut, lost, repeated, late or restarted, the parts never exceed the whole."""

from datetime import timedelta
from itertools import product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carthinge.fleet.passing import BASE, LENDABLE, NEIGHBOURS, SPAN, Ledger

PERIOD = timedelta(seconds=1)


def partitions(names):
    """Every way to split them into sides."""
    if not names:
        return [[]]
    first, rest = names[0], names[1:]
    found = []
    for sides in partitions(rest):
        found.append([[first], *sides])
        found += [[*sides[:at], [first, *side], *sides[at + 1:]] for at, side in enumerate(sides)]
    return found


class World:
    """Ledgers with clocks of their own rate, and messages of any fate."""

    def __init__(self, size, seed, drift=0.009, liar=None):
        self.rng = Random(seed)
        self.time = timedelta()
        self.names = [f"m{number}" for number in range(size)]
        self.clocks = {name: (timedelta(days=self.rng.random()), 1 + self.rng.uniform(-drift, drift))
                       for name in self.names}
        self.lives = 0
        self.sides = [self.names]
        self.ledgers = {}
        self.under_way = []
        for name in self.names:
            self.start(name)

    def now(self, name):
        offset, rate = self.clocks[name]
        return offset + self.time * rate

    def start(self, name):
        """As after a crash: it knows nothing of what it has lent."""
        self.lives += 1000
        self.ledgers[name] = Ledger(name, 1, PERIOD, self.now(name), self.lives)

    def send(self, *message):
        """Lost, once, twice; now, in a while, or after the whole of a loan's span."""
        for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
            late = self.rng.choice((0.0, 0.0, 0.0, 1.5, SPAN * 0.9, SPAN * 1.1)) * PERIOD
            self.under_way.append((self.time + late, message))

    def deliver(self, left):
        for due, message in list(self.under_way):
            if due > self.time:
                continue
            self.under_way.remove((due, message))
            kind, sender, to, number, units = message
            if not any(sender in side and to in side for side in self.sides):
                continue
            ledger, now = self.ledgers[to], self.now(to)
            if kind == "grant":
                ledger.receive(now, sender, 0, number, units)
            elif granted := ledger.grant(now, sender, 0, number, units, [left[to]]):
                self.send("grant", to, sender, number, granted)
            self.check()

    def period(self, left):
        self.time += PERIOD
        for name, ledger in self.ledgers.items():
            side = next(side for side in self.sides if name in side)
            ledger.meet([other for other in side if other != name])
            for asking in ledger.ask(self.now(name), [left[name]]):
                self.send("ask", name, asking.lender, asking.number, asking.units)
        for _ in range(3):
            self.deliver(left)
        self.check()

    def parts(self):
        return {name: ledger.part(self.now(name), 0) for name, ledger in self.ledgers.items()}

    def check(self):
        parts = self.parts()
        assert sum(parts.values()) <= BASE * len(self.names), (self.time, parts)
        assert all(BASE - LENDABLE <= part <= BASE + LENDABLE for part in parts.values())


def played(size, splits, busy, seed):
    """One span of all together, so that a restart's hold is over, and then each split for a while."""
    world = World(size, seed)
    left = {name: 0.0 if number in busy else 1.0 for number, name in enumerate(world.names)}
    for _ in range(SPAN + 1):
        world.period({name: 1.0 for name in world.names})
    for sides in splits:
        world.sides = sides
        for _ in range(4):
            world.period(left)
    return world


@pytest.mark.parametrize("busy", [(0,), (0, 1)])
def test_every_order_of_splits_and_heals_of_three(busy):
    ways = partitions(["m0", "m1", "m2"])
    assert len(ways) == 5
    borrowed = 0
    for number, splits in enumerate(product(ways, repeat=4)):
        world = played(3, splits, busy, number)
        borrowed += any(ledger.borrowed for ledger in world.ledgers.values())
    assert borrowed > 100  # else nothing was at stake


def test_every_split_and_heal_of_four():
    ways = partitions(["m0", "m1", "m2", "m3"])
    assert len(ways) == 15
    for number, splits in enumerate(product(ways, repeat=2)):
        played(4, splits, (number % 4,), number)


@given(size=st.integers(2, 8), seed=st.integers(0, 10**6), data=st.data())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_splits_restarts_and_changing_loads_of_up_to_eight(size, seed, data):
    world = World(size, seed)
    for _ in range(data.draw(st.integers(5, 40))):
        match data.draw(st.sampled_from(["go", "go", "go", "split", "heal", "restart"])):
            case "split":
                at = data.draw(st.integers(1, size - 1))
                world.sides = [world.names[:at], world.names[at:]]
            case "heal":
                world.sides = [world.names]
            case "restart":
                world.start(data.draw(st.sampled_from(world.names)))
        world.period({name: world.rng.choice((0.0, 0.5, 1.0)) for name in world.names})


def test_a_busy_one_has_up_to_half_more_and_gives_it_back():
    world = World(3, 1, drift=0)
    world.send = lambda *message: world.under_way.append((world.time, message))
    for _ in range(SPAN + 1):
        world.period(dict.fromkeys(world.names, 1.0))
    assert set(world.parts().values()) == {BASE}
    for _ in range(10):
        world.period({"m0": 0.0, "m1": 1.0, "m2": 1.0})
    assert world.parts() == {"m0": BASE + LENDABLE, "m1": BASE - LENDABLE // 2, "m2": BASE - LENDABLE // 2}
    for _ in range(2 * SPAN):  # its neighbours go on without a word of it: nothing has to come back
        world.sides = [["m0"], ["m1", "m2"]]
        world.period({"m0": 0.0, "m1": 1.0, "m2": 1.0})
    assert set(world.parts().values()) == {BASE}


@pytest.mark.parametrize("size", [3, 9, 10, 40])
def test_one_that_grants_what_it_has_not_adds_no_more_than_it_may_lend(size):
    """And what is granted beyond an ask, by another, for another purse or a second time is not taken."""
    names = [f"m{number}" for number in range(size)]
    ledgers = {name: Ledger(name, 1, PERIOD, timedelta(), 1) for name in names}
    now = SPAN * 2 * PERIOD
    for name, ledger in ledgers.items():
        ledger.meet([other for other in names if other != name])
    from_liar = 0
    for _ in range(SPAN - 1):
        now += PERIOD
        for name in names[1:]:
            for asking in ledgers[name].ask(now, [0.0]):
                if asking.lender != "m0":
                    continue
                ledger, told = ledgers[name], (now, "m0", 0, asking.number)
                assert not ledger.receive(*told, asking.units + 1) and not ledger.receive(*told, 0)
                assert not ledger.receive(now, "m1", 0, asking.number, asking.units)
                assert not ledger.receive(now, "m0", 1, asking.number, asking.units)
                assert ledger.receive(*told, asking.units)
                assert not ledger.receive(*told, asking.units)
                from_liar += asking.units
    assert 0 < from_liar <= LENDABLE
    assert sum("m0" in ledgers[name].borrowed for name in names[1:]) <= NEIGHBOURS


def test_a_lender_that_was_restarted_does_not_use_what_may_be_out():
    world = World(2, 1, drift=0)
    for _ in range(SPAN + 1):
        world.period(dict.fromkeys(world.names, 1.0))
    world.start("m1")
    assert world.parts()["m1"] == BASE - LENDABLE
    for _ in range(SPAN + 1):
        world.period(dict.fromkeys(world.names, 1.0))
    assert world.parts()["m1"] == BASE
