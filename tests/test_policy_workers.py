"""Ejected and cold workers, and those excluded by an operator."""

from helpers import SAFE, UNSAFE, arrival, listing, make_dispatcher, only, outcome, serve, settings

from carthinge import interface as io

R = io.Result


def test_restarted_workers_are_not_flooded():
    """Credit saved by many schedulers was spent in one burst (cardiff big-2, failback)."""
    config = settings(SAFE, instances=22)
    sent = 0
    for position in range(22):
        dispatcher = make_dispatcher(config, *range(1, 11), seed=position)
        serve(dispatcher, 200, 20_000)
        now = 5_000_000
        dispatcher.handle(now, [listing(io.WorkerEntry(1, started=now), kind=io.Listing.CHANGES)])
        for step in range(100):  # one window of two seconds
            actions = dispatcher.handle(now + step * 20_000, [arrival(1000 + step, now=now)])
            sent += sum(1 for s in only(io.Send, actions) if s.worker == 1)
    fair_share = 22 * 100 / 10
    assert sent < 0.8 * fair_share  # a cold worker gets a fraction of the fleet's mean load


def test_refusals_in_a_row_lengthen_ejection():
    dispatcher = make_dispatcher(settings(try_limit=9), 1)
    pauses = []
    now = 1
    for request in range(3):
        dispatcher.handle(now, [arrival(request, now=now)])
        dispatcher.handle(now + 1, [outcome(request, 0, 1, R.FULL)])
        pauses.append(dispatcher.fleet.workers[1].avoid_until - now)
        dispatcher.handle(now + 2, [io.Abandoned(request)])
        now = dispatcher.fleet.workers[1].avoid_until + 1
    assert pauses[2] > 1.3 * pauses[0]


def test_failing_worker_ejected_until_it_serves_again():
    """It was always free and so was selected again and again; reported starts do not clear errors."""
    dispatcher = make_dispatcher(settings(), 1, 2, 3)

    def submit(request, now):
        return only(io.Send, dispatcher.handle(now, [arrival(request, now=now)]))[0].worker

    def finish(request, now, worker, result):
        dispatcher.handle(
            now,
            [
                io.ProgressReport(request, 0, worker),
                outcome(request, 0, worker, result),
                io.Abandoned(request),
            ],
        )

    sent, now = [], 0
    for request in range(40):
        now += 10_000
        sent.append(submit(request, now))
        finish(request, now + 1, sent[-1], R.ERROR if sent[-1] == 1 else R.OK)
    assert sent.count(1) == 2
    now = dispatcher.fleet.workers[1].avoid_until + 1  # one job at a time until one is served
    at_once = [submit(request, now) for request in range(50, 62)]
    assert at_once.count(1) == 1
    finish(50 + at_once.index(1), now + 1, 1, R.OK)
    assert [submit(request, now + 2) for request in range(70, 74)].count(1) > 1


def test_errors_everywhere_eject_no_worker():
    dispatcher = make_dispatcher(settings(), 1, 2, 3, 4)
    for request in range(40):
        sent = only(io.Send, dispatcher.handle(request, [arrival(request)]))
        dispatcher.handle(request, [outcome(request, 0, sent[0].worker, R.ERROR), io.Abandoned(request)])
    assert sum(worker.avoid_until > 40 for worker in dispatcher.fleet.workers.values()) < 4


def test_all_unreachable_workers_are_ejected():
    """With half of a fleet gone, schedulers went on connecting to it (harborlight i0837f8)."""
    dispatcher = make_dispatcher(settings(try_limit=20), *range(1, 11))
    actions = dispatcher.handle(1, [arrival()])
    attempt = 0
    while sends := only(io.Send, actions):
        actions = dispatcher.handle(2, [outcome(1, attempt, sends[0].worker, R.CONNECT_FAILED)])
        attempt += 1
    assert attempt == 10
    assert all(dispatcher.fleet.workers[worker].avoid_until > 2 for worker in range(1, 11))


def test_cold_worker_outside_subset_has_no_allowance():
    config = settings(SAFE, price_connection=0.1, instances=40)
    dispatcher = make_dispatcher(config, *range(1, 101))
    outside = next(worker for worker in dispatcher.fleet.workers.values() if not worker.in_subset)
    outside.started = 1
    dispatcher.context.served_rate.per_s = 1e9
    dispatcher.context.now = 2
    assert dispatcher.slow_start.allowance(outside) == 0


def test_single_cold_worker_limited_by_served_rate():
    """A rate in the wrong unit allowed all jobs (colombo rough-2, failback)."""
    dispatcher = make_dispatcher(settings(), 1, 2)
    serve(dispatcher, 200, 20_000)
    dispatcher.fleet.kinds[0].slowdown = dispatcher.fleet.workers[1].pace = 1.0  # jobs run as long as hinted
    now = 4_000_000
    dispatcher.handle(
        now,
        [
            listing(
                io.WorkerEntry(1, started=now),
                io.WorkerEntry(2, state=io.State.GONE),
                kind=io.Listing.CHANGES,
            )
        ],
    )
    dispatcher.fleet.workers[1].cap = 10**9
    sent, running = 0, []
    for step in range(190):
        now += 10_000
        ended, running = [run for run in running if run[0] <= now], [run for run in running if run[0] > now]
        events = [outcome(request, 0, 1, R.OK) for _, request in ended]
        sends = only(io.Send, dispatcher.handle(now, [*events, arrival(1000 + step, now=now)]))
        running += [(now + 50_000, send.request) for send in sends]
        sent += len(sends)
    assert 0 < sent < 50


# ---- workers excluded by an operator ------------------------------------------------------------


def test_excluded_worker_gets_no_jobs_when_listed():
    dispatcher = make_dispatcher(settings(), 1, 2)
    dispatcher.handle(1, [io.OperatorExclusion(1, True)])
    restarted = listing(io.WorkerEntry(1, started=5), 2, kind=io.Listing.WHOLE)
    for now, event in enumerate([listing(1, kind=io.Listing.CHANGES), restarted], 10):
        sends = only(io.Send, dispatcher.handle(now, [event, arrival(now, now=now)]))
        assert [send.worker for send in sends] == [2]
    assert dispatcher.fleet.excluded_count(20) == 1
    dispatcher.handle(21, [listing(2, kind=io.Listing.WHOLE)])  # unlisted workers are not counted
    assert dispatcher.fleet.excluded_count(22) == 0


def test_exclusion_applies_to_same_batch():
    dispatcher = make_dispatcher(settings(), 1)
    assert not only(io.Send, dispatcher.handle(1, [arrival(1, now=1), io.OperatorExclusion(1, True)]))


def test_readmitted_worker_is_cold_with_new_record():
    """Discovery lists the restart late; the earlier start time would allow the load of a warm worker."""
    dispatcher = make_dispatcher(settings(), 1, 2)
    serve(dispatcher, 400, 20_000)
    now = 8_000_000
    dispatcher.fleet.workers[1].avoid_until, dispatcher.fleet.workers[1].outstanding_slots = now + 10**9, 50.0
    dispatcher.handle(now, [io.OperatorExclusion(1, True)])
    dispatcher.handle(now + 1, [io.OperatorExclusion(1, False)])
    dispatcher.handle(now + 2, [listing(1, 2, kind=io.Listing.WHOLE)])  # with its earlier start time
    sent = [
        send.worker
        for step in range(100)
        for send in only(
            io.Send,
            dispatcher.handle(
                now + 3 + step * 20_000, [arrival(1000 + step, now=now + 3 + step * 20_000, hint=20_000)]
            ),
        )
    ]
    cold = settings().cold_start_share
    assert sent.count(1) and sent.count(1) * 20_000 < 2_000_000 * cold * settings().fall_multiple


def test_earlier_attempt_not_counted_after_readmission():
    dispatcher = make_dispatcher(settings(), 1)
    dispatcher.handle(1, [arrival(1, now=1)])
    for out in (True, False):
        dispatcher.handle(2, [io.OperatorExclusion(1, out)])
    assert dispatcher.fleet.workers[1].outstanding_slots == 0
    dispatcher.handle(3, [outcome(1, 0, 1, io.Result.OK)])
    assert dispatcher.fleet.workers[1].outstanding_slots == 0


def test_unsafe_job_not_retried_at_readmitted_worker():
    dispatcher = make_dispatcher(settings(UNSAFE, try_limit=3, cold_time=0), 1)
    dispatcher.handle(1, [arrival(1, now=1)])
    for out in (True, False):
        dispatcher.handle(2, [io.OperatorExclusion(1, out)])
    assert not only(io.Send, dispatcher.handle(3, [outcome(1, 0, 1, io.Result.RESET)]))


def test_readmitted_worker_loaded_within_slot_capacity():
    """The mean rate of served work is low while jobs wait; the readmitted worker stayed idle."""
    config = settings(may_hedge=False, reports=io.Reports.ANSWERS, report_fields=("free_slots",))
    dispatcher = make_dispatcher(config, 1, 2)
    for step in range(40):
        sends = only(io.Send, dispatcher.handle(step * 20_000, [arrival(step, now=step * 20_000)]))
        dispatcher.handle(
            step * 20_000 + 1, [outcome(step, 0, s.worker, io.Result.OK, report=(3.0,)) for s in sends]
        )
    for worker, out in ((1, True), (1, False), (2, True)):
        dispatcher.handle(1_000_000, [io.OperatorExclusion(worker, out)])
    sent, running = 0, []
    for step in range(100):  # one window of rule 4; jobs run as long as hinted
        now = 1_000_001 + step * 20_000
        ended, running = [run for run in running if run[0] <= now], [run for run in running if run[0] > now]
        events = [outcome(request, 0, 1, io.Result.OK, 50_000, report=(3.0,)) for _, request in ended]
        sends = only(io.Send, dispatcher.handle(now, [*events, arrival(1000 + step, now=now)]))
        running += [(now + 50_000, send.request) for send in sends]
        sent += len(sends)
    capacity = 3 * config.cold_start_share * config.fall_window / 50_000  # in jobs
    assert capacity / 3 < sent < capacity * config.fall_multiple
