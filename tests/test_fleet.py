"""Decisions that all schedulers make by the same rules: retry_after, load shedding, budgets and backoff."""

import pytest
from helpers import WORTHLESS_LATE, arrival, make_dispatcher, only, outcome, settings
from hypothesis import given
from hypothesis import strategies as st

from carthinge import interface as io
from carthinge.fleet import probe_backoff, retry_after
from carthinge.fleet.load_shedding import (
    INITIAL_STARTS,
    MIN_KEPT_SHARE,
    OfferedWork,
    SheddingLevel,
    shedding_rank,
)
from carthinge.fleet.retry_budget import RetryBudget

durations = st.floats(0, 1e12) | st.just(float("inf"))
points = st.integers(0, (1 << 64) - 1)


@given(durations, st.floats(0, 1e9), st.integers(0, 10**9), points)
def test_retry_after_is_within_bounds(until_capacity, minimum, maximum, point):
    delay = retry_after.compute_retry_after(until_capacity, minimum, maximum, point)
    assert 0 <= delay <= maximum
    assert delay >= int(min(max(until_capacity, minimum), maximum / 2))


@given(durations, st.integers(1000, 10**9))
def test_retry_after_is_spread_evenly(until_capacity, maximum):
    shortest = min(max(until_capacity, 100), maximum / 2)
    times = [retry_after.compute_retry_after(until_capacity, 100, maximum, part << 60) for part in range(16)]
    assert times == sorted(times)
    assert times[-1] - times[0] >= int(shortest * 14 / 16)


def test_time_until_capacity_follows_littles_law():
    assert retry_after.time_until_capacity(3.0, 1.5) == 2_000_000
    assert retry_after.time_until_capacity(3.0, 0.0) == float("inf")


# ---- shedding rank ------------------------------------------------------------------------------


@given(st.floats(1e-6, 1e6), st.floats(1e-6, 1e6))
def test_rank_orders_share_deadline_and_worth(worth, other):
    over, late = shedding_rank(True, True, worth), shedding_rank(False, False, worth)
    in_time = shedding_rank(False, True, other)
    assert over == shedding_rank(True, False, other) < late < shedding_rank(False, True, 0.0) < in_time
    assert worth < other * 2 or in_time <= shedding_rank(False, True, worth)


@given(
    st.lists(st.tuples(st.integers(-5, 5), st.floats(1, 1e6)), min_size=1), points, points, st.floats(0, 1)
)
def test_higher_share_sheds_superset(jobs, point, other, share):
    offered = OfferedWork()
    for rank, work in jobs:
        offered.add(rank, work, 0)
    ranks = sorted({rank for rank, _ in jobs})
    for rank in ranks:
        if offered.is_in_lowest(share, rank, point):
            assert offered.is_in_lowest(min(1.0, share * 1.1), rank, point)  # the same jobs and more
            assert all(offered.is_in_lowest(share, below, other) for below in ranks if below < rank)
            assert point < other or offered.is_in_lowest(share, rank, other)
    assert not offered.is_in_lowest(0.0, ranks[0], point)


@given(st.integers(0, 1 << 30))
def test_points_divide_rank_by_share(start):
    offered = OfferedWork()
    offered.add(1, 1000.0, start)
    shed = sum(offered.is_in_lowest(0.3, 1, step << 58) for step in range(64))
    assert 18 <= shed <= 21


# ---- shedding level -----------------------------------------------------------------------------

SECOND = 1_000_000


def simulate(level, seconds, wait, waiting, every=100_000, start=0):
    """Simulate ten starts a second after ``wait`` each, while ``waiting`` wait; return the kept share."""
    kept = 1.0
    for now in range(start, start + int(seconds * SECOND), every):
        level.waiting = waiting
        level.record_wait(wait, now)
        level.record_end(True, True, now)
        kept = level.kept_share(0.0, now)
    return kept


def test_level_follows_observed_wait():
    level = SheddingLevel(SECOND)
    assert simulate(level, 10, 20_000, 0) == 1 and not level.shedding
    assert simulate(level, 4, 500_000, 5, start=10 * SECOND) < 0.5 and level.shedding and level.rises == 1
    simulate(level, 0.5, 100_000, 1, start=14 * SECOND)
    assert level.shedding  # between the two thresholds
    assert simulate(level, 3, 10_000, 0, start=15 * SECOND) == 1 and not level.shedding


def test_level_falls_without_observations():
    level = SheddingLevel(SECOND)
    simulate(level, 10, 600_000, 6)
    level.waiting = 0
    assert level.kept_share(0.0, 10 * SECOND) < 1
    assert level.kept_share(0.0, 20 * SECOND) == 1 and not level.shedding


def test_new_scheduler_accepts_few_until_starts():
    level = SheddingLevel(SECOND)
    accepted = 0
    for now in range(0, SECOND, 10_000):
        if not level.sheds(0, 1.0, SECOND, 1 << 63, 0.0, now):
            accepted, level.waiting = accepted + 1, level.waiting + 1
    assert INITIAL_STARTS / 2 <= accepted <= 4 * INITIAL_STARTS
    warmed_up = SheddingLevel(SECOND)
    for now in range(0, SECOND, 10_000):
        assert not warmed_up.sheds(0, 1.0, SECOND, 1 << 63, 0.0, now)
        warmed_up.record_end(True, True, now)


@given(st.lists(st.tuples(st.integers(0, SECOND), st.floats(0, 1e9), st.integers(-2, 50), st.booleans())))
def test_level_stays_in_range(steps):
    level, now = SheddingLevel(0.0), 0
    for gap, wait, waiting, served in steps:
        now += gap
        level.waiting = waiting
        level.record_wait(wait, now)
        level.record_end(True, served, now)
        assert MIN_KEPT_SHARE <= level.kept_share(1000.0, now) <= 1
        assert level.observed_wait(now) >= 0 and level.expected_wait(0.0, now) >= 0


def overloaded(late_worth=0.0, **more):
    """Return a dispatcher after eight seconds of ten jobs a second, each started 100 ms after it was sent."""
    high = io.JobClass(objective=300_000, deadline=5_000_000, worth=10.0, late_worth=late_worth)
    low = io.JobClass(objective=300_000, deadline=5_000_000, late_worth=late_worth)
    config = settings(high, low, may_hedge=False, progress=10**8, **more)
    dispatcher = make_dispatcher(config, *range(1, 30))
    running = []
    for number in range(1, 80):
        now = number * 100_000
        events = [arrival(number, number % 2, now=now, hint=50_000)]
        for request, attempt, worker, since in [item for item in running if item[3] <= now - 100_000]:
            running.remove((request, attempt, worker, since))
            events += [
                io.ProgressReport(request, attempt, worker),
                outcome(request, attempt, worker, io.Result.OK),
            ]
        for send in only(io.Send, dispatcher.handle(now, events)):
            running.append((send.request, 0, send.worker, now))
    return dispatcher


def test_overload_refuses_lowest_worth():
    dispatcher = overloaded()
    assert dispatcher.context.shedding_level.shedding
    actions = dispatcher.handle(8_100_000, [arrival(200 + n, n % 2, now=8_100_000) for n in range(20)])
    refused = {refusal.request for refusal in only(io.Refuse, actions)}
    assert refused and all(request % 2 for request in refused)


def test_jobs_with_late_worth_are_kept():
    dispatcher = overloaded(late_worth=0.1)
    assert not only(
        io.Refuse, dispatcher.handle(8_100_000, [arrival(200 + n, now=8_100_000) for n in range(20)])
    )
    assert dispatcher.context.shedding_level.shed == 0


# ---- retry budget and backoff -------------------------------------------------------------------


@given(st.integers(1, 5000), st.lists(st.booleans(), max_size=200))
def test_retries_stay_within_budget(instances, steps):
    budget = RetryBudget(instances)
    served = retried = 0
    for step in steps:
        if step:
            budget.earn()
            served += 1
        elif budget.allows():
            budget.spend()
            retried += 1
    assert retried <= 0.1 * served + budget.max_retries + 1e-6
    assert RetryBudget.bound(instances) <= max(200, instances) + 1e-6
    restarted = RetryBudget(instances).retries_left * instances  # after a restart of all schedulers
    assert restarted <= max(20, instances / 10) + 1e-6


def test_client_retry_spends_budget():
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE), 1, 2)
    dispatcher.handle(1, [arrival(1, repeat=True)])
    assert dispatcher.context.retry_budget.spent == 1 and not dispatcher.context.retry_budget.allows()


@pytest.mark.parametrize("sharers", [1, 8, 30, 1000])
def test_combined_tries_are_bounded(sharers):
    assert sharers / probe_backoff.factor(sharers) <= probe_backoff.MAX_COMBINED_RATE
