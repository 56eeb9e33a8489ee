"""Behaviour of the dispatcher under settings that only other deployments have."""

from dataclasses import replace

import pytest
from helpers import KEYED, SAFE, UNSAFE, arrival, listing, make_dispatcher, only, outcome, serve, settings
from world import SETTINGS

from carthinge import interface as io
from carthinge.settings import SettingsTable, read_settings

R = io.Result
REPORTING = {"reports": io.Reports.ANSWERS, "report_fields": ("queue", "free_slots")}
INTERVAL = 2_000_000
LONG = replace(SAFE, objective=2_000_000, deadline=25_000_000)


def fill(dispatcher, now, first=100):
    """Send jobs until one has to wait, so that every worker is busy; return the workers."""
    sent = []
    while len(sent) < 99:
        job = first + len(sent)
        if not (sends := only(io.Send, dispatcher.handle(now, [arrival(job, now=now)]))):
            return sent
        sent.append(sends[0].worker)
    raise AssertionError("the workers were never all busy")


def test_no_probes_without_benefit():
    dispatcher = make_dispatcher(settings(may_probe=True, price_probe=0.002, **REPORTING), *range(1, 30))
    serve(dispatcher, 200, 20_000)
    blocked = make_dispatcher(settings(may_probe=True, price_probe=0.002, **REPORTING), 1)
    fill(blocked, 1)
    actions = [
        dispatcher.handle(5_000_000, [arrival(900, now=5_000_000)]),
        blocked.handle(2, [arrival(900)]),
        *(blocked.handle(now, [io.Timer(0)]) for now in range(50_000, 400_000, 50_000)),
    ]
    assert not [action for batch in actions for action in only(io.Probe, batch)]


@pytest.mark.parametrize(("window", "copies"), [(40_000_000, 1), (100_000, 0)])
def test_hedge_of_keyed_job_stays_in_cell(window, copies):
    cells = [io.WorkerEntry(worker, cell=(worker + 1) // 2) for worker in (1, 2, 3, 4)]
    for seed in range(8):
        dispatcher = make_dispatcher(settings(replace(KEYED, window=window)), *cells, seed=seed)
        first = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
        again = [send.worker for send in only(io.Send, dispatcher.handle(900_000, [io.Timer(0)]))]
        assert again == [{1: 2, 2: 1, 3: 4, 4: 3}[first]] * copies


def test_unsafe_job_is_not_retried_after_start():
    dispatcher = make_dispatcher(settings(UNSAFE), 1, 2, 3)
    first = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    dispatcher.handle(2, [io.ProgressReport(1, 0, first)])
    again = dispatcher.handle(4_000_000, [io.Timer(0), outcome(1, 0, first, R.CANCELLED)])
    assert not only(io.Send, again) and only(io.Fail, again)
    first = only(io.Send, dispatcher.handle(4_000_001, [arrival(2, now=4_000_001)]))[0].worker
    assert len(only(io.Send, dispatcher.handle(4_000_002, [outcome(2, 0, first, R.FULL)]))) == 1
    assert not only(io.Send, dispatcher.handle(8_000_000, [io.Timer(0)]))  # while that attempt is open


def test_own_zone_is_preferred_at_equal_load():
    zones = [io.WorkerEntry(n, zone=n % 3) for n in range(1, 10)]
    for zone in range(3):
        sent = fill(
            make_dispatcher(settings(zone=zone, price_cross_zone=0.025, weights=io.Weights.ROUGH), *zones), 1
        )
        assert {worker % 3 for worker in sent[:3]} == {zone} and {worker % 3 for worker in sent} == {0, 1, 2}


@pytest.mark.parametrize("name", ["q", "queue"])
@pytest.mark.parametrize(("free", "sends"), [(0.0, 2), (3.0, 3)])
def test_free_slots_are_read_beside_queue(name, free, sends):
    """With no free slot reported, two are free by the dispatcher's own count, with a third job open."""
    dispatcher = make_dispatcher(
        read_settings(
            SettingsTable.from_nested({**SETTINGS, "load_info": {"how": "inline", "fields": [name, "x0"]}})
        ),
        1,
    )
    for now in (1, 2):  # the only worker reports three slots and gets three jobs
        dispatcher.handle(now, [arrival(now), outcome(now - 1, 0, 1, R.OK, report=(9.0, 3.0))])
    dispatcher.handle(3, [outcome(2, 0, 1, R.OK, report=(9.0, 3.0)), *(arrival(n) for n in (3, 4, 5))])
    ends = [outcome(n, 0, 1, R.OK, report=(9.0, free)) for n in (3, 4)]
    assert len(only(io.Send, dispatcher.handle(4, ends + [arrival(n) for n in (6, 7, 8, 9)]))) == sends


def start_job(dispatcher, request=1, timeout=25_000_000):
    """Start a job; return its worker."""
    dispatcher.handle(1, [io.Arrival(request, 0, timeout, hint=50_000)])
    worker = dispatcher.jobs[request].attempts[0].worker.id
    dispatcher.handle(2, [io.ProgressReport(request, 0, worker)])
    return worker


def test_missing_progress_reports_cause_hedge():
    """It counts as silent after two and a half intervals without a report."""
    dispatcher = make_dispatcher(settings(LONG, progress=INTERVAL), 1, 2)
    worker = start_job(dispatcher)
    for at in range(1, 5):
        assert not only(
            io.Send, dispatcher.handle(at * INTERVAL, [io.ProgressReport(1, 0, worker, 0.1 * at)])
        )
    assert not only(io.Send, dispatcher.handle(4 * INTERVAL + INTERVAL * 12 // 5, [io.Timer(0)]))
    assert len(only(io.Send, dispatcher.handle(4 * INTERVAL + INTERVAL * 13 // 5, [io.Timer(0)]))) == 1


def test_silent_job_is_hedged_despite_others():
    dispatcher = make_dispatcher(settings(LONG, progress=INTERVAL), 1)
    start_job(dispatcher, 1), start_job(dispatcher, 2)
    dispatcher.handle(3, [listing(2, kind=io.Listing.CHANGES)])
    batches = [dispatcher.handle(at * INTERVAL, [io.ProgressReport(2, 0, 1, 0.1 * at)]) for at in range(1, 6)]
    assert [send.request for batch in batches for send in only(io.Send, batch)] == [1]


def test_silence_is_noticed_before_deadline():
    dispatcher = make_dispatcher(settings(progress=INTERVAL), 1, 2)
    start_job(dispatcher, timeout=5_000_000)
    assert only(io.Send, dispatcher.handle(4_500_000, [io.Timer(0)]))  # its expected running time is 50 ms


def test_unsafe_job_leaves_retry_budget_to_others():
    dispatcher = make_dispatcher(settings(SAFE, UNSAFE), 1, 2, 3)
    dispatcher.handle(1, [arrival(1, job_class=1), arrival(2)])
    assert [send.request for send in only(io.Send, dispatcher.handle(900_000, [io.Timer(0)]))] == [2]


@pytest.mark.parametrize(("job_class", "timeout"), [(0, 5_000_000), (1, 25_000_000)])
def test_each_class_waits_until_its_deadline(job_class, timeout):
    dispatcher = make_dispatcher(settings(SAFE, LONG, **REPORTING), 1)
    fill(dispatcher, 1)
    dispatcher.fleet.workers[1].avoid_until = 10**9
    grace = dispatcher.context.settings.answer_grace
    dispatcher.handle(2, [io.Arrival(1, job_class, 2 + timeout, hint=50_000)])
    assert io.Refuse(1) not in dispatcher.handle(timeout - grace - 10, [io.Timer(0)])
    assert io.Refuse(1) in dispatcher.handle(2 + timeout - grace, [io.Timer(0)])


def test_fast_failing_worker_is_avoided():
    """Failing fast keeps its reported load low, so it would be selected again and again."""
    dispatcher = make_dispatcher(settings(**REPORTING), 1, 2, 3)
    sent = []
    for now in range(10_000, 410_000, 10_000):
        worker = only(io.Send, dispatcher.handle(now, [arrival(now, now=now)]))[0].worker
        sent.append(worker)
        dispatcher.handle(
            now + 1,
            [
                io.ProgressReport(now, 0, worker),
                outcome(
                    now,
                    0,
                    worker,
                    R.ERROR if worker == 1 else R.OK,
                    report=(0.0, 9.0 if worker == 1 else 1.0),
                ),
                io.Abandoned(now),
            ],
        )
    assert sent.count(1) == 2


def test_retry_waiting_for_cell_does_not_block():
    cells = [io.WorkerEntry(worker, cell=(worker + 1) // 2) for worker in (1, 2, 3, 4)]
    valuable = replace(KEYED, worth=8.0, window=40_000_000)
    dispatcher = make_dispatcher(settings(valuable, SAFE, may_hedge=False), *cells)
    first = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    # The only other worker of its cell is excluded.
    dispatcher.fleet.workers[{1: 2, 2: 1, 3: 4, 4: 3}[first]].avoid_until = 10**9
    dispatcher.handle(2, [outcome(1, 0, first, R.ERROR)])
    assert only(io.Send, dispatcher.handle(3, [arrival(2, job_class=1)]))


def test_worker_with_queued_job_gets_no_more():
    """Others hold its slots: further jobs would queue there, where worth and shares do not apply."""
    for event in (io.ProgressReport(1, 0, 1), outcome(1, 0, 1, R.OK)):
        dispatcher = make_dispatcher(settings(may_hedge=False, may_cancel=False), 1)
        assert only(io.Send, dispatcher.handle(1, [arrival()]))
        assert only(
            io.Send, dispatcher.handle(2, [arrival(2)])
        )  # without a report it does not count as queued
        dispatcher.handle(3, [outcome(2, 0, 1, R.OK)])
        dispatcher.handle(30_000, [io.Timer(0)])
        assert not only(io.Send, dispatcher.handle(30_001, [arrival(3)]))
        assert [send.request for send in only(io.Send, dispatcher.handle(30_002, [event]))] == [3]


@pytest.mark.parametrize(("worth", "first"), [(1.0, 900), (2.0, 900), (4.0, 104)])
def test_late_job_waits_behind_timely_ones(worth, first):
    """Half its worth is left, so an earlier job goes first only if that is still worth more."""
    valuable = replace(SAFE, worth=worth)
    dispatcher = make_dispatcher(settings(valuable, SAFE), 1)
    sent = fill(dispatcher, 1)
    assert len(sent) == 4
    dispatcher.handle(2, [io.ProgressReport(100 + number, 0, 1) for number in range(4)])
    order = []
    for now, ended in ((200_000, 100), (200_001, 101)):
        events = [arrival(900, job_class=1, now=now)] if ended == 100 else []
        order += [
            send.request
            for send in only(io.Send, dispatcher.handle(now, [*events, outcome(ended, 0, 1, R.OK)]))
        ]
    assert order[0] == first and set(order) <= {104, 900}


def test_failing_discovery_is_polled_with_delay():
    dispatcher = make_dispatcher(settings(SAFE, ask_within=0, subscribe=True), 1)
    failed = io.WorkerList(io.Listing.FAILED, ())
    assert not only(io.Watch, dispatcher.handle(1, [failed])) and not only(
        io.Watch, dispatcher.handle(100, [failed])
    )
    assert only(io.Watch, dispatcher.handle(600_000, [io.Timer(0)]))  # within the drain grace
