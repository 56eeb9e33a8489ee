"""A short soak on fixed seeds: real schedulers under random, overlapping faults, judged by invariants alone.

By hand, with more seeds, from the folder of the tests: ``python -m soak.run 1 2 3 --keep found``.
"""

import asyncio

import pytest
from soak.plan import drawn
from soak.run import played

SECONDS, SCHEDULERS = 9.0, 24


@pytest.mark.parametrize(("seed", "crowded"), [(1, False), (2, True)])
def test_the_invariants_hold_under_random_faults(seed, crowded, tmp_path):
    plan = drawn(seed, SECONDS, SCHEDULERS, crowded)
    findings, run = asyncio.run(played(plan, tmp_path))
    assert not findings, f"python -m soak.run {seed}: {findings}"
    assert run.ledger.answers[200] > 100
