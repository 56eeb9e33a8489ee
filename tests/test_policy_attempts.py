"""What becomes of an attempt, and whether there is another: repeats, copies, silence."""

import pytest
from helpers import KEYED, SAFE, UNSAFE, WORTHLESS_LATE, arrival, of, outcome, serve, settings, started

from carthinge import interface as io

R = io.Result


@pytest.mark.parametrize("result", [R.FULL, R.CONNECT_FAILED, R.NOT_SENT])
def test_unsafe_is_resent_only_when_it_never_ran(result):
    gateway = started(settings(UNSAFE), 1, 2)
    sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    again = of(io.Send, gateway.handle(2, [outcome(1, 0, sent, result)]))
    assert [action.worker for action in again] == [3 - sent] or (result is R.NOT_SENT and again)


@pytest.mark.parametrize("result", [R.ERROR, R.TIMEOUT, R.RESET, R.CANCELLED])
def test_unsafe_that_may_have_run_is_failed(result):
    gateway = started(settings(UNSAFE), 1, 2)
    sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    actions = gateway.handle(2, [outcome(1, 0, sent, result)])
    assert of(io.Fail, actions) == [io.Fail(1)] and not of(io.Send, actions) and not of(io.Refuse, actions)


def test_keyed_is_resent_only_inside_its_group_and_window():
    cells = [io.WorkerEntry(1, cell=1), io.WorkerEntry(2, cell=1), io.WorkerEntry(3, cell=2)]
    for when, sends in ((2, 1), (2_000_000, 0)):
        gateway = started(settings(KEYED, may_copy=False), *cells)
        sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
        actions = gateway.handle(when, [outcome(1, 0, sent, R.ERROR)])
        if sent == 3:
            assert not of(io.Send, actions) and of(io.Fail, actions)
        else:
            assert [a.worker for a in of(io.Send, actions)] == [3 - sent] * sends


def test_tries_end_at_the_limit():
    gateway = started(settings(try_limit=2), 1, 2, 3)
    sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    sent = of(io.Send, gateway.handle(2, [outcome(1, 0, sent, R.ERROR)]))[0].worker
    actions = gateway.handle(5, [outcome(1, 1, sent, R.ERROR)])
    assert not of(io.Send, actions) and of(io.Refuse, actions)


def test_a_silent_worker_is_doubted_and_its_safe_job_copied():
    gateway = started(settings(), 1, 2)
    sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    copies = of(io.Send, gateway.handle(400_000, [io.Timer(0)]))
    assert [copy.worker for copy in copies] == [3 - sent]
    assert gateway.fleet.workers[sent].strikes == 1


def test_a_worker_that_gives_any_sign_is_not_doubted():
    gateway = started(settings(), 1)
    gateway.handle(1, [arrival(1), arrival(2)])
    gateway.handle(90_000, [io.Note(2, 0, 1)])
    gateway.handle(150_000, [io.Timer(0)])
    assert gateway.fleet.workers[1].strikes == 0


def test_an_unsafe_job_is_never_copied():
    gateway = started(settings(UNSAFE), 1, 2)
    gateway.handle(1, [arrival()])
    assert not of(io.Send, gateway.handle(1_000_000, [io.Timer(0)]))


def test_no_second_copy_where_forbidden():
    gateway = started(settings(may_copy=False), 1, 2)
    gateway.handle(1, [arrival()])
    assert not of(io.Send, gateway.handle(1_000_000, [io.Timer(0)]))


def silent_for(gateway, request, worker, now, well):
    """How long a job that has begun at ``worker`` and stays silent is left there."""
    gateway.handle(now, [io.Note(request, 0, worker)])
    for step in range(1, 300):
        then = now + step * 20_000
        gateway.fleet.workers[worker].heard_at = then  # other jobs begin there meanwhile
        if well:  # and end within their usual span
            gateway.fleet.workers[worker].well_at = then
        if io.Cancel(request, 0) in gateway.handle(then, [io.Timer(0)]):
            return step * 20_000
    raise AssertionError("never called off")


def begun_alone(well):
    gateway = started(settings(may_copy=False), 1, 2)
    worker = of(io.Send, gateway.handle(1, [arrival(1000, hint=50_000)]))[0].worker
    return gateway, worker, silent_for(gateway, 1000, worker, 2, well)


def test_a_begun_job_is_left_longer_at_a_worker_where_others_end_as_they_should():
    """A long one that is started over loses its work; at a slow worker it would have had no hope (big-1)."""
    assert 500_000 < begun_alone(well=False)[2] < 700_000 < 1_000_000 < begun_alone(well=True)[2] < 1_400_000


@pytest.mark.parametrize(("run", "compare"), [(50_000, float.__lt__), (2_000_000, float.__gt__)])
def test_what_silent_jobs_turned_out_to_be_is_learned(run, compare):
    """Lost ones end soon elsewhere, long ones take as long there."""
    gateway, first, left = begun_alone(well=True)
    now, before = left + 10, gateway.timeouts.run_patience
    gateway.handle(now, [outcome(1000, 0, first, R.CANCELLED)])
    gateway.handle(now + 1, [io.Note(1000, 1, 3 - first)])
    gateway.fleet.workers[3 - first].well_at = now + run - 1
    gateway.handle(now + run, [outcome(1000, 1, 3 - first, R.OK)])
    assert compare(gateway.timeouts.run_patience, before)


@pytest.mark.parametrize(("when", "again"), [(900_000, [io.Send]), (1_000_001, [io.Fail])])
def test_a_keyed_repeat_ends_with_its_window(when, again):
    cell = [io.WorkerEntry(1, cell=4), io.WorkerEntry(2, cell=4)]
    gateway = started(settings(KEYED, may_copy=False), *cell)
    sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    actions = gateway.handle(when, [outcome(1, 0, sent, R.ERROR)])
    assert [type(action) for action in actions if not isinstance(action, io.SetTimer)] == again


# ---- starts are told and late answers are worth nothing (colombo) -------------------------------


def test_what_has_not_begun_is_copied_and_the_first_start_calls_the_others_off():
    """Blind picks left a third of the jobs in queues while other workers were free (big-2)."""
    gateway = started(settings(WORTHLESS_LATE), 1, 2)
    first = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    copy = of(io.Send, gateway.handle(30_000, [io.Timer(0)]))
    assert [send.worker for send in copy] == [3 - first]
    begun = gateway.handle(31_000, [io.Note(1, 1, 3 - first)])
    assert of(io.Cancel, begun) == [io.Cancel(1, 0)]


@pytest.mark.parametrize("spec", [SAFE, UNSAFE])
def test_a_start_is_not_hastened_where_late_is_worth_something_or_a_repeat_is_forbidden(spec):
    gateway = started(settings(spec), 1, 2)
    gateway.handle(1, [arrival()])
    assert not of(io.Send, gateway.handle(30_000, [io.Timer(0)]))


def test_what_is_still_queued_when_it_can_only_be_late_is_called_off_and_answered():
    """Under load every queue was full of jobs that nobody waited for any more (overload)."""
    gateway = started(settings(WORTHLESS_LATE), 1)
    gateway.handle(1, [arrival()])
    assert of(io.Cancel, gateway.handle(60_000, [io.Timer(0)])) == [io.Cancel(1, 0)]
    assert of(io.Refuse, gateway.handle(60_100, [outcome(1, 0, 1, R.CANCELLED)])) == [io.Refuse(1)]


def test_one_that_has_begun_is_not_called_off():
    gateway = started(settings(WORTHLESS_LATE), 1)
    gateway.handle(1, [arrival()])
    gateway.handle(2_000, [io.Note(1, 0, 1)])
    assert not of(io.Cancel, gateway.handle(90_000, [io.Timer(0)]))


def test_a_queue_is_not_silence():
    """Workers with a queue were left alone for up to the cold time, and the rest took their load."""
    gateway = started(settings(WORTHLESS_LATE, progress=1_000_000), 1, 2)
    sent = of(io.Send, gateway.handle(1, [arrival()]))[0].worker
    for now in (30_000, 60_000, 200_000, 900_000):
        gateway.handle(now, [io.Timer(0)])
    assert gateway.fleet.workers[sent].strikes == 0
    gateway.handle(3_000_000, [io.Timer(0)])
    assert gateway.fleet.workers[sent].strikes == 1  # two notes missed and no other sign: it is silent


def test_a_silent_attempt_is_called_off_and_the_job_tried_elsewhere():
    gateway = started(settings(may_copy=False), 1, 2, 3, 4)
    sent = of(io.Send, gateway.handle(1, [arrival(1)]))[0]
    assert of(io.Cancel, gateway.handle(2_000_000, [io.Timer(0)])) == [io.Cancel(1, 0)]
    again = of(io.Send, gateway.handle(2_000_001, [outcome(1, 0, sent.worker, R.CANCELLED)]))
    assert len(again) == 1 and again[0].worker != sent.worker


@pytest.mark.parametrize(("job_class", "workers"), [(UNSAFE, (1, 2, 3, 4)), (SAFE, (1,))])
def test_a_silent_attempt_stays_out_where_no_other_may_follow(job_class, workers):
    gateway = started(settings(job_class, may_copy=False), *workers)
    gateway.handle(1, [arrival(1)])
    assert not of(io.Cancel, gateway.handle(2_000_000, [io.Timer(0)]))


@pytest.mark.parametrize(
    ("served", "reports", "allowed"),
    [(0, io.Reports.OFF, 1), (20, io.Reports.OFF, 3), (0, io.Reports.ANSWERS, None)],
)
def test_silence_everywhere_costs_no_more_attempts_than_what_was_served_allows(served, reports, allowed):
    """Guards against a storm: what is called off may be done all the same, and makes others late.

    With reports queues are seen, and what is silent hangs: most of that is tried elsewhere.
    """
    gateway = started(settings(SAFE, may_copy=False, instances=20, reports=reports), *range(1, 31))
    serve(gateway, served, every=50_000)
    again = 0
    for step in range(served, 400):
        events = [arrival(step, now=step * 50_000)] if step < served + 100 else [io.Timer(0)]
        again += len(of(io.Cancel, gateway.handle(step * 50_000, events)))
    assert again == allowed if reports is io.Reports.OFF else again > 3
