"""Cold workers: how slow they are, what they are let have, and who looks at them."""

import math

from helpers import SAFE, WORTHLESS_LATE, arrival, listing, of, outcome, settings, started
from hypothesis import given
from hypothesis import strategies as st

from carthinge import interface as io
from carthinge.meters import Rate

NOW = 20_000_000


def cold(*workers, at=NOW):
    return listing(*(io.WorkerEntry(worker, started=at) for worker in workers), kind=io.Listing.CHANGES)


@given(st.floats(0.5, 200), st.floats(1.5, 60), st.integers(0, 10**15))
def test_a_rate_tells_the_truth_from_its_first_seconds_on(per_s, seconds, start):
    """It once rose from nothing for ten seconds, so that restarted schedulers let cold workers stand idle."""
    rate, count = Rate(), int(per_s * seconds) + 1
    for step in range(count):
        rate.add(1.0, start + int(step / per_s * 1e6))
    age = min(10.0, max(1.0, (count - 1) / per_s))
    assert abs(rate.per_s - per_s) < 0.05 * per_s + 1.1 / age  # the first counts as well
    quiet = start + int((count - 1) / per_s * 1e6) + 30_000_000
    assert rate.left(quiet) < 0.1 * rate.per_s


def test_what_a_cold_worker_takes_longer_is_not_learned_of_its_kind():
    gateway = started(settings(), 1, 2)
    gateway.handle(NOW, [listing(io.WorkerEntry(2, state=io.State.GONE), kind=io.Listing.CHANGES), cold(1)])
    worker, share = gateway.fleet.workers[1], settings().cold_start_share
    for step in range(40):
        now = NOW + step * 100_000
        assert of(io.Send, gateway.handle(now, [arrival(step, now=now)])) or step
        gateway.handle(now, [io.Note(step, 0, 1, begun=True)])
        risen = min(1.0, (now + 30_000 - NOW) / settings().cold_time)
        ends = now + int(50_000 / (share + (1 - share) * risen))
        gateway.handle(ends, [outcome(step, 0, 1, io.Result.OK)])
    assert worker.pace and abs(worker.pace - 1) < 0.1 and abs(worker.pool.pace - 1) < 0.1


def test_a_long_job_is_expected_later_at_a_cold_worker_than_at_a_warm_one():
    gateway = started(settings(), 1, 2)
    gateway.handle(NOW, [cold(1)])
    actions = gateway.handle(NOW, [arrival(7, now=NOW, hint=60_000)])
    assert [send.worker for send in of(io.Send, actions)] == [2]
    context = gateway.context
    assert context.pace(gateway.fleet.workers[1]) > 2 * context.pace(gateway.fleet.workers[2])
    assert context.pace(gateway.fleet.workers[1], NOW + settings().cold_time) == 1.0


def test_a_cold_worker_that_may_have_a_job_is_looked_at_among_hundreds():
    """Of so many a pick draws a few, and an allowance that nobody looked at was lost with its second."""
    gateway = started(settings(), *range(1, 301))
    gateway.context.carried.per_s = 1e9
    gateway.handle(NOW, [cold(300)])
    for worker in gateway.fleet.pool(-1):
        worker.work_out = 0.0 if worker.id == 300 else 400_000.0
        worker.slots_out = 0.0 if worker.id == 300 else 2.0
    assert [send.worker for send in of(io.Send, gateway.handle(NOW, [arrival(1, now=NOW)]))] == [300]


def test_schedulers_that_know_nothing_give_a_fleet_that_is_all_cold_a_slots_work_together():
    """After a loss of power all workers and schedulers start at once: nothing was carried, and all stood."""
    config = settings(SAFE, instances=50)
    sent = dict.fromkeys(range(1, 6), 0)
    for position in range(50):
        gateway = started(config, *range(1, 6), seed=position)
        gateway.handle(NOW, [cold(*sent)])
        for step in range(40):  # one window, two hundred jobs and more for each worker
            now = NOW + step * 50_000
            for send in of(io.Send, gateway.handle(now, [arrival(step, now=now)])):
                sent[send.worker] += 1
    slot = config.cold_start_share * config.fall_window / 50_000
    allowed = config.fall_multiple * slot
    assert slot / 3 < sum(sent.values()) / 5
    assert max(sent.values()) < allowed + 3 * math.sqrt(allowed) + 3


def test_what_the_level_sheds_goes_to_a_cold_worker_that_can_begin_it_at_once():
    """Half of what came was refused while half of the fleet was cold and idle (genova-sala, upgrades)."""
    gateway = started(settings(WORTHLESS_LATE, reports=io.Reports.OFF), 1, 2)
    context = gateway.context
    context.carried.per_s = 1e5  # two jobs in a second of a warm worker
    gateway.handle(NOW, [cold(2)])
    for step in range(8):  # all that was sent to the warm one stands there
        context.level.waited(1e6, NOW + step)
        context.level.waiting = 50
    gateway.slow_start.granted()
    gateway.fleet.workers[2].cold_left = 2 * context.mean_work
    ends = []
    for request in range(60):
        actions = gateway.handle(NOW + 10, [arrival(request, now=NOW + 10)])
        ends += [
            (type(action), getattr(action, "worker", 0))
            for action in actions
            if isinstance(action, io.Send | io.Refuse)
        ]
    assert not any(job.spared and job.waiting for job in gateway.jobs.values())  # nothing is held back
    assert 0 < ends.count((io.Send, 2)) <= 2
    assert ends.count((io.Refuse, 0)) > 30


def test_a_job_that_was_spared_and_finds_the_worker_taken_is_refused_in_the_same_turn():
    gateway = started(settings(WORTHLESS_LATE, reports=io.Reports.OFF), 1, 2)
    gateway.handle(NOW, [cold(2)])
    gateway.context.level.waiting = 50
    for step in range(8):
        gateway.context.level.waited(1e6, NOW + step)
    gateway.slow_start.granted()
    gateway.fleet.workers[2].cold_left = 60_000.0  # one job
    burst = [arrival(request, now=NOW + 10) for request in range(40)]
    actions = gateway.handle(NOW + 10, burst)
    assert len(of(io.Refuse, actions)) > 20
    assert not any(job.spared and job.waiting for job in gateway.jobs.values())
    assert [send.worker for send in of(io.Send, actions)].count(2) <= 1


def test_while_the_level_is_up_a_cold_worker_that_can_begin_goes_before_those_that_are_waited_for():
    """Its allowance is lost with its second; a wait that has not been seen was guessed to be short."""

    def sent(level_up):
        gateway = started(settings(WORTHLESS_LATE, reports=io.Reports.OFF), *range(1, 4))
        gateway.handle(NOW, [cold(3)])
        gateway.slow_start.granted()
        gateway.fleet.workers[3].cold_left = 1e6
        gateway.context.level.up = level_up
        gateway.context.level.waited(2e4, NOW)  # longer than where it falls, shorter than where it rises
        return [send.worker for send in of(io.Send, gateway.handle(NOW, [arrival(1, now=NOW, hint=90_000)]))]

    assert sent(True) == [3]
    assert sent(False) != [3]


def test_settings_without_a_cold_share_stop_nothing():
    gateway = started(settings(cold_start_share=0.0), 1, 2)
    gateway.handle(NOW, [cold(1, 2)])
    assert gateway.handle(NOW, [arrival(1, now=NOW)]) is not None
    assert gateway.context.pace(gateway.fleet.workers[1]) > 1
