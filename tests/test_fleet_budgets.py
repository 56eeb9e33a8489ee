"""Quota lending and budget transfer: under any faults the shares never exceed the total."""

import sys
from datetime import timedelta
from itertools import product
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from ledger_world import PERIOD, LedgerWorld, partitions, run_budgets, run_ledgers

from carthinge.fleet.budget_transfer import (
    MAX_PENDING_REQUESTS,
    PIECES_PER_BALANCE,
    UNITS_PER_RETRY,
    BudgetTransfer,
)
from carthinge.fleet.quota_lending import LENDABLE_UNITS, LOAN_PERIODS, NEIGHBOURS, OWN_UNITS, Ledger


@pytest.mark.parametrize("busy", [(0,), (0, 1)])
def test_all_partition_sequences_of_three(busy):
    ways = partitions(["m0", "m1", "m2"])
    assert len(ways) == 5
    borrowed = 0
    for number, splits in enumerate(product(ways, repeat=4)):
        world = run_ledgers(3, splits, busy, number)
        borrowed += any(ledger.borrowed for ledger in world.ledgers.values())
    assert borrowed > 100  # otherwise nothing was tested


def test_all_partition_sequences_of_four():
    ways = partitions(["m0", "m1", "m2", "m3"])
    assert len(ways) == 15
    for number, splits in enumerate(product(ways, repeat=2)):
        run_ledgers(4, splits, (number % 4,), number)


@given(size=st.integers(2, 8), seed=st.integers(0, 10**6), data=st.data())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_random_partitions_restarts_and_loads(size, seed, data):
    world = LedgerWorld(size, seed)
    for _ in range(data.draw(st.integers(5, 40))):
        match data.draw(st.sampled_from(["go", "go", "go", "split", "heal", "restart"])):
            case "split":
                at = data.draw(st.integers(1, size - 1))
                world.groups = [world.names[:at], world.names[at:]]
            case "heal":
                world.groups = [world.names]
            case "restart":
                world.start(data.draw(st.sampled_from(world.names)))
        world.period({name: world.rng.choice((0.0, 0.5, 1.0)) for name in world.names})


def test_busy_member_borrows_and_returns():
    world = LedgerWorld(3, 1, drift=0)
    world.send = lambda *message: world.in_flight.append((world.time, message))
    for _ in range(LOAN_PERIODS + 1):
        world.period(dict.fromkeys(world.names, 1.0))
    assert set(world.available_units().values()) == {OWN_UNITS}
    for _ in range(10):
        world.period({"m0": 0.0, "m1": 1.0, "m2": 1.0})
    assert world.available_units() == {
        "m0": OWN_UNITS + LENDABLE_UNITS,
        "m1": OWN_UNITS - LENDABLE_UNITS // 2,
        "m2": OWN_UNITS - LENDABLE_UNITS // 2,
    }
    for _ in range(2 * LOAN_PERIODS):  # partitioned: loans expire without any message
        world.groups = [["m0"], ["m1", "m2"]]
        world.period({"m0": 0.0, "m1": 1.0, "m2": 1.0})
    assert set(world.available_units().values()) == {OWN_UNITS}


@pytest.mark.parametrize("size", [3, 9, 10, 40])
def test_faulty_lender_adds_bounded_units(size):
    """Rejected grants: above the request, from another lender, for another budget, repeated."""
    names = [f"m{number}" for number in range(size)]
    ledgers = {name: Ledger(name, [0], PERIOD, timedelta(), 1) for name in names}
    now = LOAN_PERIODS * 2 * PERIOD
    for name, ledger in ledgers.items():
        ledger.set_members([other for other in names if other != name])
    from_faulty = 0
    for _ in range(LOAN_PERIODS - 1):
        now += PERIOD
        for name in names[1:]:
            for request in ledgers[name].make_requests(now, {0: 0.0}):
                if request.lender != "m0":
                    continue
                ledger, grant = ledgers[name], (now, "m0", 0, request.number)
                assert not ledger.receive(*grant, request.units + 1) and not ledger.receive(*grant, 0)
                assert not ledger.receive(now, "m1", 0, request.number, request.units)
                assert not ledger.receive(now, "m0", 1, request.number, request.units)
                assert ledger.receive(*grant, request.units)
                assert not ledger.receive(*grant, request.units)
                from_faulty += request.units
    assert 0 < from_faulty <= LENDABLE_UNITS
    assert sum("m0" in ledgers[name].borrowed for name in names[1:]) <= NEIGHBOURS


def test_restarted_lender_withholds_lent_units():
    world = LedgerWorld(2, 1, drift=0)
    for _ in range(LOAN_PERIODS + 1):
        world.period(dict.fromkeys(world.names, 1.0))
    world.start("m1")
    assert world.available_units()["m1"] == OWN_UNITS - LENDABLE_UNITS
    for _ in range(LOAN_PERIODS + 1):
        world.period(dict.fromkeys(world.names, 1.0))
    assert world.available_units()["m1"] == OWN_UNITS


# ---- retry budget: transferred, not lent --------------------------------------------------------


def test_spent_retries_were_earned():
    """All sequences of partitions of three and four members; random restarts are tested for quotas alike."""
    transferred = 0
    for number, splits in enumerate(product(partitions(["m0", "m1", "m2"]), repeat=4)):
        world = run_budgets(3, splits, (number % 3,), number)
        transferred += any(transfer.taken for transfer in world.transfers.values())
        world.start("m1")
        world.period(("m2",))
    assert transferred > 100  # otherwise nothing was tested
    for number, splits in enumerate(product(partitions(["m0", "m1", "m2", "m3"]), repeat=2)):
        run_budgets(4, splits, (number % 4,), number)


def test_transfer_is_limited_to_requests():
    """A faulty giver adds at most one piece a period; repeated or other grants are rejected."""
    giver, taker = BudgetTransfer(1), BudgetTransfer(1000)
    for transfer in (giver, taker):
        transfer.set_max_retries(8.0)
    piece = int(8.0 * UNITS_PER_RETRY) // PIECES_PER_BALANCE
    request = taker.make_request(1.0, ["faulty", "m1"])
    assert request and request.units == piece and taker.make_request(2.0, ["m1"]) is None  # a quarter is left
    assert not taker.receive("other", request.number, 1)
    assert not taker.receive(request.lender, request.number, piece + 1)
    assert taker.receive(request.lender, request.number, piece) == piece
    assert not taker.receive(request.lender, request.number, piece)
    assert giver.grant("m2", 7, piece, 6.4, ["m2"]) == 400  # what exceeds three quarters
    assert not giver.grant("m2", 7, piece, 8.0, ["m2"]) and not giver.grant("m3", 8, piece, 8.0, ["m2"])
    numbers = [taker.make_request(0.0, ["faulty"]).number for _ in range(MAX_PENDING_REQUESTS + 5)]
    assert sum(taker.receive("faulty", number, piece) for number in numbers) == MAX_PENDING_REQUESTS * piece
