"""What the settings of other deployments ask of the module that those of the first one never did."""

from dataclasses import replace

import pytest
from helpers import KEYED, SAFE, UNSAFE, arrival, listing, of, outcome, serve, settings, started
from world import SETTINGS

from carthinge import interface as io
from carthinge.settings import Facts, read_settings

R = io.Result
TOLD = {"reports": io.Reports.ANSWERS, "report_fields": ("queue", "free_slots")}
NOTES = 2_000_000
LONG = replace(SAFE, objective=2_000_000, deadline=25_000_000)


def fill(gateway, now, first=100):
    """Jobs until one of them waits: every worker is busy then."""
    sent = []
    while len(sent) < 99:
        job = first + len(sent)
        if not (sends := of(io.Send, gateway.handle(now, [arrival(job, now=now)]))):
            return sent
        sent.append(sends[0].worker)
    raise AssertionError("never busy")


def test_probes_that_would_tell_no_more_than_answers_do_are_not_paid_for():
    gateway = started(settings(may_probe=True, price_probe=0.002, **TOLD), *range(1, 30))
    serve(gateway, 200, 20_000)
    blocked = started(settings(may_probe=True, price_probe=0.002, **TOLD), 1)
    fill(blocked, 1)
    actions = [
        gateway.handle(5_000_000, [arrival(900, now=5_000_000)]),
        blocked.handle(2, [arrival(900)]),
        *(blocked.handle(now, [io.Timer(0)]) for now in range(50_000, 400_000, 50_000)),
    ]
    assert not [action for batch in actions for action in of(io.Probe, batch)]


@pytest.mark.parametrize(("window", "copies"), [(40_000_000, 1), (100_000, 0)])
def test_a_copy_of_a_keyed_job_keeps_to_its_cell_and_its_window(window, copies):
    cells = [io.WorkerEntry(worker, cell=(worker + 1) // 2) for worker in (1, 2, 3, 4)]
    for seed in range(8):
        gateway = started(settings(replace(KEYED, window=window)), *cells, seed=seed)
        first = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
        again = [send.worker for send in of(io.Send, gateway.handle(900_000, [io.Timer(0)]))]
        assert again == [{1: 2, 2: 1, 3: 4, 4: 3}[first]] * copies


def test_an_unsafe_job_that_goes_on_after_its_cancel_is_not_sent_again_and_another_is_only_once():
    gateway = started(settings(UNSAFE), 1, 2, 3)
    first = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    gateway.handle(2, [io.Note(1, 0, first)])
    again = gateway.handle(4_000_000, [io.Timer(0), outcome(1, 0, first, R.CANCELLED)])
    assert not of(io.Send, again) and of(io.Fail, again)
    first = of(io.Send, gateway.handle(4_000_001, [arrival(2, now=4_000_001)]))[0].worker
    assert len(of(io.Send, gateway.handle(4_000_002, [outcome(2, 0, first, R.FULL)]))) == 1
    assert not of(io.Send, gateway.handle(8_000_000, [io.Timer(0)]))  # with that one out


def test_a_gateway_prefers_its_zone_at_equal_load_and_leaves_it_when_that_is_busy():
    zones = [io.WorkerEntry(n, zone=n % 3) for n in range(1, 10)]
    for zone in range(3):
        sent = fill(started(settings(zone=zone, price_cross_zone=0.025, weights=io.Weights.ROUGH), *zones), 1)
        assert {worker % 3 for worker in sent[:3]} == {zone} and {worker % 3 for worker in sent} == {0, 1, 2}


@pytest.mark.parametrize("name", ["q", "queue"])
@pytest.mark.parametrize(("free", "sends"), [(0.0, 2), (3.0, 3)])
def test_the_free_slots_are_read_beside_a_queue_and_used(name, free, sends):
    """Without a free slot by its report there are two by this gateway's own count, with a third job out."""
    gateway = started(
        read_settings(
            Facts.from_nested({**SETTINGS, "load_info": {"how": "inline", "fields": [name, "x0"]}})
        ),
        1,
    )
    for now in (1, 2):  # the only worker shows its three slots, and gets three jobs
        gateway.handle(now, [arrival(now), outcome(now - 1, 0, 1, R.OK, report=(9.0, 3.0))])
    gateway.handle(3, [outcome(2, 0, 1, R.OK, report=(9.0, 3.0)), *(arrival(n) for n in (3, 4, 5))])
    ends = [outcome(n, 0, 1, R.OK, report=(9.0, free)) for n in (3, 4)]
    assert len(of(io.Send, gateway.handle(4, ends + [arrival(n) for n in (6, 7, 8, 9)]))) == sends


def begun(gateway, request=1, patience=25_000_000):
    """A job has begun; its worker."""
    gateway.handle(1, [io.Arrival(request, 0, patience, hint=50_000)])
    worker = gateway.jobs[request].attempts[0].worker.id
    gateway.handle(2, [io.Note(request, 0, worker)])
    return worker


def test_a_job_that_tells_of_its_progress_is_well_and_is_copied_once_two_and_a_half_notes_are_missing():
    gateway = started(settings(LONG, progress=NOTES), 1, 2)
    worker = begun(gateway)
    for at in range(1, 5):
        assert not of(io.Send, gateway.handle(at * NOTES, [io.Note(1, 0, worker, 0.1 * at)]))
    assert not of(io.Send, gateway.handle(4 * NOTES + NOTES * 12 // 5, [io.Timer(0)]))
    assert len(of(io.Send, gateway.handle(4 * NOTES + NOTES * 13 // 5, [io.Timer(0)]))) == 1


def test_a_job_that_stops_telling_is_noticed_though_another_at_its_worker_tells():
    gateway = started(settings(LONG, progress=NOTES), 1)
    begun(gateway, 1), begun(gateway, 2)
    gateway.handle(3, [listing(2, kind=io.Listing.CHANGES)])
    told = [gateway.handle(at * NOTES, [io.Note(2, 0, 1, 0.1 * at)]) for at in range(1, 6)]
    assert [send.request for batch in told for send in of(io.Send, batch)] == [1]


def test_silence_is_noticed_before_the_client_leaves_though_notes_are_far_between():
    gateway = started(settings(progress=NOTES), 1, 2)
    begun(gateway, patience=5_000_000)
    assert of(io.Send, gateway.handle(4_500_000, [io.Timer(0)]))  # its run should have taken 50 ms


def test_jobs_that_may_not_be_copied_leave_the_budget_of_copies_to_others():
    gateway = started(settings(SAFE, UNSAFE), 1, 2, 3)
    gateway.handle(1, [arrival(1, job_class=1), arrival(2)])
    assert [send.request for send in of(io.Send, gateway.handle(900_000, [io.Timer(0)]))] == [2]


@pytest.mark.parametrize(("job_class", "patience"), [(0, 5_000_000), (1, 25_000_000)])
def test_classes_with_unlike_deadlines_wait_each_up_to_its_own(job_class, patience):
    gateway = started(settings(SAFE, LONG, **TOLD), 1)
    fill(gateway, 1)
    gateway.fleet.workers[1].avoid_until = 10**9
    grace = gateway.context.settings.answer_grace
    gateway.handle(2, [io.Arrival(1, job_class, 2 + patience, hint=50_000)])
    assert io.Refuse(1) not in gateway.handle(patience - grace - 10, [io.Timer(0)])
    assert io.Refuse(1) in gateway.handle(2 + patience - grace, [io.Timer(0)])


def test_a_worker_that_fails_fast_and_reports_free_slots_is_left_alone():
    """The lighter its load by its own report, the sooner it would be picked again."""
    gateway = started(settings(**TOLD), 1, 2, 3)
    sent = []
    for now in range(10_000, 410_000, 10_000):
        worker = of(io.Send, gateway.handle(now, [arrival(now, now=now)]))[0].worker
        sent.append(worker)
        gateway.handle(
            now + 1,
            [
                io.Note(now, 0, worker),
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


def test_a_repeat_that_waits_for_its_cell_does_not_keep_its_tenant_s_other_jobs_back():
    cells = [io.WorkerEntry(worker, cell=(worker + 1) // 2) for worker in (1, 2, 3, 4)]
    dear = replace(KEYED, worth=8.0, window=40_000_000)
    gateway = started(settings(dear, SAFE, may_copy=False), *cells)
    first = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    # The only other one of its cell is avoided.
    gateway.fleet.workers[{1: 2, 2: 1, 3: 4, 4: 3}[first]].avoid_until = 10**9
    gateway.handle(2, [outcome(1, 0, first, R.ERROR)])
    assert of(io.Send, gateway.handle(3, [arrival(2, job_class=1)]))


def test_a_worker_where_a_job_waits_in_line_gets_no_more_until_that_begins_or_ends():
    """Others hold its slots: what is sent there as well would wait out of reach of worth and shares."""
    for told in (io.Note(1, 0, 1), outcome(1, 0, 1, R.OK)):
        gateway = started(settings(may_copy=False, may_cancel=False), 1)
        assert of(io.Send, gateway.handle(1, [arrival()]))
        assert of(io.Send, gateway.handle(2, [arrival(2)]))  # no news yet is none of a line
        gateway.handle(3, [outcome(2, 0, 1, R.OK)])
        gateway.handle(30_000, [io.Timer(0)])
        assert not of(io.Send, gateway.handle(30_001, [arrival(3)]))
        assert [send.request for send in of(io.Send, gateway.handle(30_002, [told]))] == [3]


@pytest.mark.parametrize(("worth", "first"), [(1.0, 900), (2.0, 900), (4.0, 104)])
def test_a_job_that_can_only_come_late_waits_behind_what_earns_as_much_in_time(worth, first):
    """Half its worth is left: one that came first is not first any more, unless that is the dearer still."""
    dear = replace(SAFE, worth=worth)
    gateway = started(settings(dear, SAFE), 1)
    sent = fill(gateway, 1)
    assert len(sent) == 4
    gateway.handle(2, [io.Note(100 + number, 0, 1) for number in range(4)])
    order = []
    for now, ended in ((200_000, 100), (200_001, 101)):
        events = [arrival(900, job_class=1, now=now)] if ended == 100 else []
        order += [
            send.request for send in of(io.Send, gateway.handle(now, [*events, outcome(ended, 0, 1, R.OK)]))
        ]
    assert order[0] == first and set(order) <= {104, 900}


def test_a_failing_discovery_is_not_asked_in_a_busy_loop_where_no_time_to_ask_within_is_told():
    gateway = started(settings(SAFE, ask_within=0, subscribe=True), 1)
    failed = io.WorkerList(io.Listing.FAILED, ())
    assert not of(io.Watch, gateway.handle(1, [failed])) and not of(io.Watch, gateway.handle(100, [failed]))
    assert of(io.Watch, gateway.handle(600_000, [io.Timer(0)]))  # within the grace
