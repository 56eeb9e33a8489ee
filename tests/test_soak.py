"""A short soak on fixed seeds: scheduler processes under random, overlapping faults must keep the invariants.

More seeds, from the folder of the tests: ``python -m soak.run 1 2 3 --keep found``.
"""

import asyncio

import pytest
from soak.plan import draw_plan
from soak.run import run_plan

SECONDS, SCHEDULERS = 9.0, 24


@pytest.mark.parametrize(("seed", "beside"), [(1, None), (2, "idle clients"), (3, "crowds")])
def test_invariants_hold_under_faults(seed, beside, tmp_path):
    plan = draw_plan(seed, SECONDS, SCHEDULERS, beside == "idle clients", beside == "crowds")
    findings, run = asyncio.run(run_plan(plan, tmp_path))
    assert not findings, f"python -m soak.run {seed}: {findings}"
    assert run.ledger.answers[200] > 100
