"""Which workers are left alone, cold, or out by hand."""

from helpers import SAFE, UNSAFE, arrival, listing, of, outcome, serve, settings, started

from carthinge import interface as io

R = io.Result


def test_cold_workers_that_come_back_together_are_not_poured_into():
    """Saved credit of many gateways was once spent in one burst (cardiff big-2, failback)."""
    config = settings(SAFE, instances=22)
    sent = 0
    for position in range(22):
        gateway = started(config, *range(1, 11), seed=position)
        serve(gateway, 200, 20_000)
        now = 5_000_000
        gateway.handle(now, [listing(io.WorkerEntry(1, started=now), kind=io.Listing.CHANGES)])
        for step in range(100):  # one window of two seconds
            actions = gateway.handle(now + step * 20_000, [arrival(1000 + step, now=now)])
            sent += sum(1 for s in of(io.Send, actions) if s.worker == 1)
    fair = 22 * 100 / 10
    assert sent < 0.8 * fair  # a fair load would be the fleet's mean; cold it is a fraction of that


def test_refusals_in_a_row_keep_a_worker_away_longer():
    gateway = started(settings(try_limit=9), 1)
    pauses = []
    now = 1
    for request in range(3):
        gateway.handle(now, [arrival(request, now=now)])
        gateway.handle(now + 1, [outcome(request, 0, 1, R.FULL)])
        pauses.append(gateway.fleet.workers[1].avoid_until - now)
        gateway.handle(now + 2, [io.Abandoned(request)])
        now = gateway.fleet.workers[1].avoid_until + 1
    assert pauses[2] > 1.3 * pauses[0]


def test_a_worker_that_fails_all_at_once_is_left_alone_until_it_serves_again():
    """Always free, it was picked again and again; that it tells of starts proved nothing."""
    gateway = started(settings(), 1, 2, 3)

    def submit(request, now):
        return of(io.Send, gateway.handle(now, [arrival(request, now=now)]))[0].worker

    def ends(request, now, worker, result):
        gateway.handle(
            now, [io.Note(request, 0, worker), outcome(request, 0, worker, result), io.Abandoned(request)]
        )

    sent, now = [], 0
    for request in range(40):
        now += 10_000
        sent.append(submit(request, now))
        ends(request, now + 1, sent[-1], R.ERROR if sent[-1] == 1 else R.OK)
    assert sent.count(1) == 2
    now = gateway.fleet.workers[1].avoid_until + 1  # then one job at a time, until one is served
    at_once = [submit(request, now) for request in range(50, 62)]
    assert at_once.count(1) == 1
    ends(50 + at_once.index(1), now + 1, 1, R.OK)
    assert [submit(request, now + 2) for request in range(70, 74)].count(1) > 1


def test_errors_everywhere_stop_no_worker():
    gateway = started(settings(), 1, 2, 3, 4)
    for request in range(40):
        sent = of(io.Send, gateway.handle(request, [arrival(request)]))
        gateway.handle(request, [outcome(request, 0, sent[0].worker, R.ERROR), io.Abandoned(request)])
    assert sum(worker.avoid_until > 40 for worker in gateway.fleet.workers.values()) < 4


def test_dead_workers_are_left_alone_however_many_they_are():
    """With half a fleet gone, gateways went on dialling it (harborlight i0837f8)."""
    gateway = started(settings(try_limit=20), *range(1, 11))
    actions = gateway.handle(1, [arrival()])
    attempt = 0
    while sends := of(io.Send, actions):
        actions = gateway.handle(2, [outcome(1, attempt, sends[0].worker, R.CONNECT_FAILED)])
        attempt += 1
    assert attempt == 10
    assert all(gateway.fleet.workers[worker].avoid_until > 2 for worker in range(1, 11))


def test_a_cold_worker_gets_nothing_from_gateways_that_others_stand_in_for():
    config = settings(SAFE, price_connection=0.1, instances=40)
    gateway = started(config, *range(1, 101))
    far = next(worker for worker in gateway.fleet.workers.values() if not worker.near)
    far.started = 1
    gateway.context.served.per_s = 1e9
    gateway.context.now = 2
    assert gateway.slow_start.allowance(far) == 0


def test_a_cold_worker_alone_gets_no_more_than_what_was_served_tells():
    """A rate in the wrong unit once let everything through (colombo rough-2, failback)."""
    gateway = started(settings(), 1, 2)
    serve(gateway, 200, 20_000)
    gateway.fleet.kinds[0].pace = gateway.fleet.workers[1].pace = 1.0  # jobs take what their hints say
    now = 4_000_000
    gateway.handle(
        now,
        [
            listing(
                io.WorkerEntry(1, started=now),
                io.WorkerEntry(2, state=io.State.GONE),
                kind=io.Listing.CHANGES,
            )
        ],
    )
    gateway.fleet.workers[1].cap = 10**9
    sent, running = 0, []
    for step in range(190):
        now += 10_000
        ended, running = [at for at in running if at[0] <= now], [at for at in running if at[0] > now]
        events = [outcome(request, 0, 1, R.OK) for _, request in ended]
        sends = of(io.Send, gateway.handle(now, [*events, arrival(1000 + step, now=now)]))
        running += [(now + 50_000, send.request) for send in sends]
        sent += len(sends)
    assert 0 < sent < 50


# ---- workers out by hand ------------------------------------------------------------------------


def test_a_worker_out_by_hand_is_not_picked_whatever_is_listed_and_others_are():
    gateway = started(settings(), 1, 2)
    gateway.handle(1, [io.ByHand(1, True)])
    restarted = listing(io.WorkerEntry(1, started=5), 2, kind=io.Listing.WHOLE)
    for now, event in enumerate([listing(1, kind=io.Listing.CHANGES), restarted], 10):
        sends = of(io.Send, gateway.handle(now, [event, arrival(now, now=now)]))
        assert [send.worker for send in sends] == [2]
    assert gateway.fleet.excluded(20) == 1
    gateway.handle(21, [listing(2, kind=io.Listing.WHOLE)])  # what is not listed is not counted
    assert gateway.fleet.excluded(22) == 0


def test_a_job_that_arrives_with_the_call_is_not_sent_there_any_more():
    gateway = started(settings(), 1)
    assert not of(io.Send, gateway.handle(1, [arrival(1, now=1), io.ByHand(1, True)]))


def test_a_worker_put_back_is_cold_and_its_past_is_forgotten():
    """Discovery tells late of the restart; until then its old start would let a warm one's load through."""
    gateway = started(settings(), 1, 2)
    serve(gateway, 400, 20_000)
    now = 8_000_000
    gateway.fleet.workers[1].avoid_until, gateway.fleet.workers[1].slots_out = now + 10**9, 50.0
    gateway.handle(now, [io.ByHand(1, True)])
    gateway.handle(now + 1, [io.ByHand(1, False)])
    gateway.handle(now + 2, [listing(1, 2, kind=io.Listing.WHOLE)])  # as it was listed before
    sent = [
        send.worker
        for step in range(100)
        for send in of(
            io.Send,
            gateway.handle(
                now + 3 + step * 20_000, [arrival(1000 + step, now=now + 3 + step * 20_000, hint=20_000)]
            ),
        )
    ]
    cold = settings().cold_start_share
    assert sent.count(1) and sent.count(1) * 20_000 < 2_000_000 * cold * settings().fall_multiple


def test_an_attempt_from_before_does_not_count_against_a_worker_put_back():
    gateway = started(settings(), 1)
    gateway.handle(1, [arrival(1, now=1)])
    for out in (True, False):
        gateway.handle(2, [io.ByHand(1, out)])
    assert gateway.fleet.workers[1].slots_out == 0
    gateway.handle(3, [outcome(1, 0, 1, io.Result.OK)])
    assert gateway.fleet.workers[1].slots_out == 0


def test_what_may_have_run_at_a_worker_is_not_repeated_there_once_it_is_back():
    gateway = started(settings(UNSAFE, try_limit=3, cold_time=0), 1)
    gateway.handle(1, [arrival(1, now=1)])
    for out in (True, False):
        gateway.handle(2, [io.ByHand(1, out)])
    assert not of(io.Send, gateway.handle(3, [outcome(1, 0, 1, io.Result.RESET)]))


def test_a_worker_put_back_is_used_by_what_its_slots_can_do_and_not_pushed_over():
    """What is served by the mean worker says little while jobs wait: the one that is back stood idle."""
    hall = settings(may_copy=False, reports=io.Reports.ANSWERS, report_fields=("free_slots",))
    gateway = started(hall, 1, 2)
    for step in range(40):
        sends = of(io.Send, gateway.handle(step * 20_000, [arrival(step, now=step * 20_000)]))
        gateway.handle(
            step * 20_000 + 1, [outcome(step, 0, s.worker, io.Result.OK, report=(3.0,)) for s in sends]
        )
    for worker, out in ((1, True), (1, False), (2, True)):
        gateway.handle(1_000_000, [io.ByHand(worker, out)])
    sent, running = 0, []
    for step in range(100):  # in the window of the rule; each job takes what its hint says
        now = 1_000_001 + step * 20_000
        ended, running = [at for at in running if at[0] <= now], [at for at in running if at[0] > now]
        events = [outcome(request, 0, 1, io.Result.OK, 50_000, report=(3.0,)) for _, request in ended]
        sends = of(io.Send, gateway.handle(now, [*events, arrival(1000 + step, now=now)]))
        running += [(now + 50_000, send.request) for send in sends]
        sent += len(sends)
    capacity = 3 * hall.cold_start_share * hall.fall_window / 50_000  # in jobs
    assert capacity / 3 < sent < capacity * hall.fall_multiple
