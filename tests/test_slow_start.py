"""Cold workers: their slowdown, their allowance and their selection."""

import math

from helpers import SAFE, WORTHLESS_LATE, arrival, listing, make_dispatcher, only, outcome, settings
from hypothesis import given
from hypothesis import strategies as st

from carthinge import interface as io
from carthinge.meters import Rate

NOW = 20_000_000


def cold_listing(*workers, at=NOW):
    return listing(*(io.WorkerEntry(worker, started=at) for worker in workers), kind=io.Listing.CHANGES)


@given(st.floats(0.5, 200), st.floats(1.5, 60), st.integers(0, 10**15))
def test_rate_is_accurate_from_first_seconds(per_s, seconds, start):
    """It rose from zero over ten seconds, so that restarted schedulers left cold workers idle."""
    rate, count = Rate(), int(per_s * seconds) + 1
    for step in range(count):
        rate.add(1.0, start + int(step / per_s * 1e6))
    age = min(10.0, max(1.0, (count - 1) / per_s))
    assert abs(rate.per_s - per_s) < 0.05 * per_s + 1.1 / age  # includes the first sample
    quiet = start + int((count - 1) / per_s * 1e6) + 30_000_000
    assert rate.current(quiet) < 0.1 * rate.per_s


def test_cold_runs_do_not_change_learned_slowdown():
    dispatcher = make_dispatcher(settings(), 1, 2)
    dispatcher.handle(
        NOW, [listing(io.WorkerEntry(2, state=io.State.GONE), kind=io.Listing.CHANGES), cold_listing(1)]
    )
    worker, share = dispatcher.fleet.workers[1], settings().cold_start_share
    for step in range(40):
        now = NOW + step * 100_000
        assert only(io.Send, dispatcher.handle(now, [arrival(step, now=now)])) or step
        dispatcher.handle(now, [io.ProgressReport(step, 0, 1, begun=True)])
        warmed_up = min(1.0, (now + 30_000 - NOW) / settings().cold_time)
        ends = now + int(50_000 / (share + (1 - share) * warmed_up))
        dispatcher.handle(ends, [outcome(step, 0, 1, io.Result.OK)])
    assert worker.pace and abs(worker.pace - 1) < 0.1 and abs(worker.kind_stats.slowdown - 1) < 0.1


def test_cold_worker_has_higher_slowdown():
    dispatcher = make_dispatcher(settings(), 1, 2)
    dispatcher.handle(NOW, [cold_listing(1)])
    actions = dispatcher.handle(NOW, [arrival(7, now=NOW, hint=60_000)])
    assert [send.worker for send in only(io.Send, actions)] == [2]
    context = dispatcher.context
    assert context.slowdown(dispatcher.fleet.workers[1]) > 2 * context.slowdown(dispatcher.fleet.workers[2])
    assert context.slowdown(dispatcher.fleet.workers[1], NOW + settings().cold_time) == 1.0


def test_cold_worker_with_allowance_is_a_candidate():
    """A sample holds few of so many workers, and an allowance not used in its window was lost."""
    dispatcher = make_dispatcher(settings(), *range(1, 301))
    dispatcher.context.warm_worker_rate.per_s = 1e9
    dispatcher.handle(NOW, [cold_listing(300)])
    for worker in dispatcher.fleet.pool(-1):
        worker.outstanding_work = 0.0 if worker.id == 300 else 400_000.0
        worker.outstanding_slots = 0.0 if worker.id == 300 else 2.0
    assert [send.worker for send in only(io.Send, dispatcher.handle(NOW, [arrival(1, now=NOW)]))] == [300]


def test_restarted_schedulers_give_cold_fleet_one_slot():
    """After a power failure all workers and schedulers start; without a known rate nothing was sent."""
    config = settings(SAFE, instances=50)
    sent = dict.fromkeys(range(1, 6), 0)
    for position in range(50):
        dispatcher = make_dispatcher(config, *range(1, 6), seed=position)
        dispatcher.handle(NOW, [cold_listing(*sent)])
        for step in range(40):  # one window, more than two hundred jobs for each worker
            now = NOW + step * 50_000
            for send in only(io.Send, dispatcher.handle(now, [arrival(step, now=now)])):
                sent[send.worker] += 1
    slot = config.cold_start_share * config.fall_window / 50_000
    allowed = config.fall_multiple * slot
    assert slot / 3 < sum(sent.values()) / 5
    assert max(sent.values()) < allowed + 3 * math.sqrt(allowed) + 3


def test_shed_job_goes_to_free_cold_worker():
    """Half of the jobs were refused while half of the fleet was cold and idle (genova-sala, upgrades)."""
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE, reports=io.Reports.OFF), 1, 2)
    context = dispatcher.context
    context.warm_worker_rate.per_s = 1e5  # two jobs per second at a warm worker
    dispatcher.handle(NOW, [cold_listing(2)])
    for step in range(8):  # jobs sent to the warm worker are queued there
        context.shedding_level.record_wait(1e6, NOW + step)
        context.shedding_level.waiting = 50
    dispatcher.slow_start.workers_with_allowance()
    dispatcher.fleet.workers[2].cold_left = 2 * context.mean_work
    ends = []
    for request in range(60):
        actions = dispatcher.handle(NOW + 10, [arrival(request, now=NOW + 10)])
        ends += [
            (type(action), getattr(action, "worker", 0))
            for action in actions
            if isinstance(action, io.Send | io.Refuse)
        ]
    assert not any(job.immediate_only and job.waiting for job in dispatcher.jobs.values())  # no job is held
    assert 0 < ends.count((io.Send, 2)) <= 2
    assert ends.count((io.Refuse, 0)) > 30


def test_immediate_only_job_refused_when_worker_busy():
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE, reports=io.Reports.OFF), 1, 2)
    dispatcher.handle(NOW, [cold_listing(2)])
    dispatcher.context.shedding_level.waiting = 50
    for step in range(8):
        dispatcher.context.shedding_level.record_wait(1e6, NOW + step)
    dispatcher.slow_start.workers_with_allowance()
    dispatcher.fleet.workers[2].cold_left = 60_000.0  # one job
    burst = [arrival(request, now=NOW + 10) for request in range(40)]
    actions = dispatcher.handle(NOW + 10, burst)
    assert len(only(io.Refuse, actions)) > 20
    assert not any(job.immediate_only and job.waiting for job in dispatcher.jobs.values())
    assert [send.worker for send in only(io.Send, actions)].count(2) <= 1


def test_shedding_prefers_cold_worker_with_allowance():
    """Its allowance is lost with its window, and a wait not yet seen was assumed to be short."""

    def sent_to(shedding):
        dispatcher = make_dispatcher(settings(WORTHLESS_LATE, reports=io.Reports.OFF), *range(1, 4))
        dispatcher.handle(NOW, [cold_listing(3)])
        dispatcher.slow_start.workers_with_allowance()
        dispatcher.fleet.workers[3].cold_left = 1e6
        dispatcher.context.shedding_level.shedding = shedding
        dispatcher.context.shedding_level.record_wait(
            2e4, NOW
        )  # between the thresholds for falling and rising
        return [
            send.worker for send in only(io.Send, dispatcher.handle(NOW, [arrival(1, now=NOW, hint=90_000)]))
        ]

    assert sent_to(True) == [3]
    assert sent_to(False) != [3]


def test_zero_cold_share_does_not_fail():
    dispatcher = make_dispatcher(settings(cold_start_share=0.0), 1, 2)
    dispatcher.handle(NOW, [cold_listing(1, 2)])
    assert dispatcher.handle(NOW, [arrival(1, now=NOW)]) is not None
    assert dispatcher.context.slowdown(dispatcher.fleet.workers[1]) > 1
