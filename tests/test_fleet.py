"""What schedulers decide as one, in pure modules."""

import pytest
from helpers import WORTHLESS_LATE, arrival, of, outcome, settings, started
from hypothesis import given
from hypothesis import strategies as st

from carthinge import interface as io
from carthinge.fleet import probe_backoff, retry_after
from carthinge.fleet.load_shedding import FIRST, LEAST, Offered, SheddingLevel, standing
from carthinge.fleet.retry_budget import RetryBudget

spans = st.floats(0, 1e12) | st.just(float("inf"))
points = st.integers(0, (1 << 64) - 1)


@given(spans, st.floats(0, 1e9), st.integers(0, 10**9), points)
def test_nobody_comes_back_before_there_is_room_nor_later_than_may_be_told(room, least, most, point):
    away = retry_after.stay_away(room, least, most, point)
    assert 0 <= away <= most
    assert away >= int(min(max(room, least), most / 2))


@given(spans, st.integers(1000, 10**9))
def test_comers_back_are_spread_evenly(room, most):
    first = min(max(room, 100), most / 2)
    times = [retry_after.stay_away(room, 100, most, part << 60) for part in range(16)]
    assert times == sorted(times)
    assert times[-1] - times[0] >= int(first * 14 / 16)


def test_room_is_what_is_held_over_what_ends():
    assert retry_after.until_room(3.0, 1.5) == 2_000_000
    assert retry_after.until_room(3.0, 0.0) == float("inf")


# ---- who is shed first --------------------------------------------------------------------------


@given(st.floats(1e-6, 1e6), st.floats(1e-6, 1e6))
def test_what_is_over_its_share_goes_first_then_what_cannot_be_in_time_then_the_least_worth(worth, other):
    over, late = standing(True, True, worth), standing(False, False, worth)
    here = standing(False, True, other)
    assert over == standing(True, False, other) < late < standing(False, True, 0.0) < here
    assert worth < other * 2 or here <= standing(False, True, worth)


@given(
    st.lists(st.tuples(st.integers(-5, 5), st.floats(1, 1e6)), min_size=1), points, points, st.floats(0, 1)
)
def test_schedulers_that_shed_unlike_parts_still_keep_the_same_requests(jobs, point, other, part):
    offered = Offered()
    for rank, work in jobs:
        offered.add(rank, work, 0)
    ranks = sorted({rank for rank, _ in jobs})
    for rank in ranks:
        if offered.shed(part, rank, point):
            assert offered.shed(min(1.0, part * 1.1), rank, point)  # who sheds more sheds the same, and more
            assert all(offered.shed(part, below, other) for below in ranks if below < rank)
            assert point < other or offered.shed(part, rank, other)
    assert not offered.shed(0.0, ranks[0], point)


@given(st.integers(0, 1 << 30))
def test_what_is_shed_follows_the_part_within_a_rank(start):
    offered = Offered()
    offered.add(1, 1000.0, start)
    shed = sum(offered.shed(0.3, 1, part << 58) for part in range(64))
    assert 18 <= shed <= 21


# ---- the level ----------------------------------------------------------------------------------

SECOND = 1_000_000


def lived(level, seconds, wait, waiting, every=100_000, start=0):
    """Ten starts a second after such a wait, with so many waiting meanwhile; returns what is kept at last."""
    kept = 1.0
    for now in range(start, start + int(seconds * SECOND), every):
        level.waiting = waiting
        level.waited(wait, now)
        level.ended(True, True, now)
        kept = level.kept(0.0, now)
    return kept


def test_the_level_goes_up_with_the_wait_for_starts_and_down_when_it_is_short_again():
    level = SheddingLevel(SECOND)
    assert lived(level, 10, 20_000, 0) == 1 and not level.up
    assert lived(level, 4, 500_000, 5, start=10 * SECOND) < 0.5 and level.up and level.rises == 1
    lived(level, 0.5, 100_000, 1, start=14 * SECOND)
    assert level.up  # between the two marks it stays
    assert lived(level, 3, 10_000, 0, start=15 * SECOND) == 1 and not level.up


def test_the_level_comes_down_by_itself_when_nothing_is_seen_any_more():
    level = SheddingLevel(SECOND)
    lived(level, 10, 600_000, 6)
    level.waiting = 0
    assert level.kept(0.0, 10 * SECOND) < 1
    assert level.kept(0.0, 20 * SECOND) == 1 and not level.up


def test_a_scheduler_that_has_just_started_may_have_a_few_waiting_and_more_once_they_begin():
    level = SheddingLevel(SECOND)
    taken = 0
    for now in range(0, SECOND, 10_000):
        if not level.sheds(0, 1.0, SECOND, 1 << 63, 0.0, now):
            taken, level.waiting = taken + 1, level.waiting + 1
    assert FIRST / 2 <= taken <= 4 * FIRST
    grown = SheddingLevel(SECOND)
    for now in range(0, SECOND, 10_000):
        assert not grown.sheds(0, 1.0, SECOND, 1 << 63, 0.0, now)
        grown.ended(True, True, now)


@given(st.lists(st.tuples(st.integers(0, SECOND), st.floats(0, 1e9), st.integers(-2, 50), st.booleans())))
def test_whatever_is_measured_a_part_is_kept_and_the_guess_is_a_number(steps):
    level, now = SheddingLevel(0.0), 0
    for gap, wait, waiting, served in steps:
        now += gap
        level.waiting = waiting
        level.waited(wait, now)
        level.ended(True, served, now)
        assert LEAST <= level.kept(1000.0, now) <= 1
        assert level.seen(now) >= 0 and level.expected(0.0, now) >= 0


def overloaded(late_worth=0.0, **more):
    """A scheduler whose jobs begin after a tenth of a second, ten a second, for some seconds."""
    dear = io.JobClass(objective=300_000, deadline=5_000_000, worth=10.0, late_worth=late_worth)
    cheap = io.JobClass(objective=300_000, deadline=5_000_000, late_worth=late_worth)
    config = settings(dear, cheap, may_copy=False, progress=10**8, **more)
    gateway = started(config, *range(1, 30))
    late = []
    for number in range(1, 80):
        now = number * 100_000
        events = [arrival(number, number % 2, now=now, hint=50_000)]
        for request, attempt, worker, since in [item for item in late if item[3] <= now - 100_000]:
            late.remove((request, attempt, worker, since))
            events += [io.Note(request, attempt, worker), outcome(request, attempt, worker, io.Result.OK)]
        for send in of(io.Send, gateway.handle(now, events)):
            late.append((send.request, 0, send.worker, now))
    return gateway


def test_under_pressure_the_least_worth_is_refused_at_once_and_the_dear_is_sent():
    gateway = overloaded()
    assert gateway.context.level.up
    actions = gateway.handle(8_100_000, [arrival(200 + n, n % 2, now=8_100_000) for n in range(20)])
    refused = {refusal.request for refusal in of(io.Refuse, actions)}
    assert refused and all(request % 2 for request in refused)


def test_what_is_worth_something_late_is_never_shed():
    gateway = overloaded(late_worth=0.1)
    assert not of(io.Refuse, gateway.handle(8_100_000, [arrival(200 + n, now=8_100_000) for n in range(20)]))
    assert gateway.context.level.shed == 0


# ---- budgets and doubts -------------------------------------------------------------------------


@given(st.integers(1, 5000), st.lists(st.booleans(), max_size=200))
def test_further_attempts_never_exceed_a_tenth_of_what_was_served_and_the_bound(instances, steps):
    budget = RetryBudget(instances)
    served = made = 0
    for step in steps:
        if step:
            budget.earn()
            served += 1
        elif budget.allows():
            budget.spend()
            made += 1
    assert made <= 0.1 * served + budget.most + 1e-6
    assert RetryBudget.bound(instances) <= max(200, instances) + 1e-6
    restarted = RetryBudget(instances).left * instances  # all of them, just now
    assert restarted <= max(20, instances / 10) + 1e-6


def test_a_repeat_that_its_client_marks_costs_budget():
    gateway = started(settings(WORTHLESS_LATE), 1, 2)
    gateway.handle(1, [arrival(1, repeat=True)])
    assert gateway.context.budget.spent == 1 and not gateway.context.budget.allows()


@pytest.mark.parametrize("sharers", [1, 8, 30, 1000])
def test_the_tries_on_a_dead_worker_do_not_grow_with_those_who_share_it(sharers):
    assert sharers / probe_backoff.factor(sharers) <= probe_backoff.TRIED_AS_BY
