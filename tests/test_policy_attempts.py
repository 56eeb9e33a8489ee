"""Outcomes of attempts and further ones: retries, hedges and silent attempts."""

import pytest
from helpers import (
    KEYED,
    SAFE,
    UNSAFE,
    WORTHLESS_LATE,
    arrival,
    make_dispatcher,
    only,
    outcome,
    serve,
    settings,
)

from carthinge import interface as io

R = io.Result


@pytest.mark.parametrize("result", [R.FULL, R.CONNECT_FAILED, R.NOT_SENT])
def test_unsafe_job_retried_if_it_never_ran(result):
    dispatcher = make_dispatcher(settings(UNSAFE), 1, 2)
    sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    again = only(io.Send, dispatcher.handle(2, [outcome(1, 0, sent, result)]))
    assert [action.worker for action in again] == [3 - sent] or (result is R.NOT_SENT and again)


@pytest.mark.parametrize("result", [R.ERROR, R.TIMEOUT, R.RESET, R.CANCELLED])
def test_unsafe_job_that_may_have_run_fails(result):
    dispatcher = make_dispatcher(settings(UNSAFE), 1, 2)
    sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    actions = dispatcher.handle(2, [outcome(1, 0, sent, result)])
    assert (
        only(io.Fail, actions) == [io.Fail(1)] and not only(io.Send, actions) and not only(io.Refuse, actions)
    )


def test_keyed_job_retried_only_in_scope_and_window():
    cells = [io.WorkerEntry(1, cell=1), io.WorkerEntry(2, cell=1), io.WorkerEntry(3, cell=2)]
    for when, sends in ((2, 1), (2_000_000, 0)):
        dispatcher = make_dispatcher(settings(KEYED, may_hedge=False), *cells)
        sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
        actions = dispatcher.handle(when, [outcome(1, 0, sent, R.ERROR)])
        if sent == 3:
            assert not only(io.Send, actions) and only(io.Fail, actions)
        else:
            assert [a.worker for a in only(io.Send, actions)] == [3 - sent] * sends


def test_attempts_end_at_the_limit():
    dispatcher = make_dispatcher(settings(try_limit=2), 1, 2, 3)
    sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    sent = only(io.Send, dispatcher.handle(2, [outcome(1, 0, sent, R.ERROR)]))[0].worker
    actions = dispatcher.handle(5, [outcome(1, 1, sent, R.ERROR)])
    assert not only(io.Send, actions) and only(io.Refuse, actions)


def test_silent_worker_suspected_and_safe_job_hedged():
    dispatcher = make_dispatcher(settings(), 1, 2)
    sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    copies = only(io.Send, dispatcher.handle(400_000, [io.Timer(0)]))
    assert [copy.worker for copy in copies] == [3 - sent]
    assert dispatcher.fleet.workers[sent].strikes == 1


def test_responding_worker_is_not_suspected():
    dispatcher = make_dispatcher(settings(), 1)
    dispatcher.handle(1, [arrival(1), arrival(2)])
    dispatcher.handle(90_000, [io.ProgressReport(2, 0, 1)])
    dispatcher.handle(150_000, [io.Timer(0)])
    assert dispatcher.fleet.workers[1].strikes == 0


def test_unsafe_job_is_never_hedged():
    dispatcher = make_dispatcher(settings(UNSAFE), 1, 2)
    dispatcher.handle(1, [arrival()])
    assert not only(io.Send, dispatcher.handle(1_000_000, [io.Timer(0)]))


def test_no_hedge_where_settings_forbid_it():
    dispatcher = make_dispatcher(settings(may_hedge=False), 1, 2)
    dispatcher.handle(1, [arrival()])
    assert not only(io.Send, dispatcher.handle(1_000_000, [io.Timer(0)]))


def time_until_cancelled(dispatcher, request, worker, now, healthy):
    """Return the time until a started, silent job is cancelled at ``worker``."""
    dispatcher.handle(now, [io.ProgressReport(request, 0, worker)])
    for step in range(1, 300):
        then = now + step * 20_000
        dispatcher.fleet.workers[worker].heard_at = then  # other jobs start there meanwhile
        if healthy:  # and end within their expected run time
            dispatcher.fleet.workers[worker].well_at = then
        if io.Cancel(request, 0) in dispatcher.handle(then, [io.Timer(0)]):
            return step * 20_000
    raise AssertionError("attempt was never cancelled")


def start_silent_job(healthy):
    dispatcher = make_dispatcher(settings(may_hedge=False), 1, 2)
    worker = only(io.Send, dispatcher.handle(1, [arrival(1000, hint=50_000)]))[0].worker
    return dispatcher, worker, time_until_cancelled(dispatcher, 1000, worker, 2, healthy)


def test_started_job_waits_longer_at_healthy_worker():
    """Cancelling a long job loses its work; at a slow worker it would not have ended in time (big-1)."""
    assert (
        500_000
        < start_silent_job(healthy=False)[2]
        < 700_000
        < 1_000_000
        < start_silent_job(healthy=True)[2]
        < 1_400_000
    )


@pytest.mark.parametrize(("run", "compare"), [(50_000, float.__lt__), (2_000_000, float.__gt__)])
def test_run_timeout_learns_from_silent_jobs(run, compare):
    """A lost job ends soon elsewhere; a long one takes as long there."""
    dispatcher, first, left = start_silent_job(healthy=True)
    now, before = left + 10, dispatcher.timeouts.run_patience
    dispatcher.handle(now, [outcome(1000, 0, first, R.CANCELLED)])
    dispatcher.handle(now + 1, [io.ProgressReport(1000, 1, 3 - first)])
    dispatcher.fleet.workers[3 - first].well_at = now + run - 1
    dispatcher.handle(now + run, [outcome(1000, 1, 3 - first, R.OK)])
    assert compare(dispatcher.timeouts.run_patience, before)


@pytest.mark.parametrize(("when", "again"), [(900_000, [io.Send]), (1_000_001, [io.Fail])])
def test_keyed_retry_ends_with_window(when, again):
    cell = [io.WorkerEntry(1, cell=4), io.WorkerEntry(2, cell=4)]
    dispatcher = make_dispatcher(settings(KEYED, may_hedge=False), *cell)
    sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    actions = dispatcher.handle(when, [outcome(1, 0, sent, R.ERROR)])
    assert [type(action) for action in actions if not isinstance(action, io.SetTimer)] == again


# ---- starts are reported and late results are worth nothing (colombo) ---------------------------


def test_queued_attempt_hedged_and_cancelled_on_first_start():
    """Selection without load reports left a third of the jobs queued while workers were free (big-2)."""
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE), 1, 2)
    first = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    copy = only(io.Send, dispatcher.handle(30_000, [io.Timer(0)]))
    assert [send.worker for send in copy] == [3 - first]
    begun = dispatcher.handle(31_000, [io.ProgressReport(1, 1, 3 - first)])
    assert only(io.Cancel, begun) == [io.Cancel(1, 0)]


@pytest.mark.parametrize("spec", [SAFE, UNSAFE])
def test_no_hedge_with_late_worth_or_unsafe(spec):
    dispatcher = make_dispatcher(settings(spec), 1, 2)
    dispatcher.handle(1, [arrival()])
    assert not only(io.Send, dispatcher.handle(30_000, [io.Timer(0)]))


def test_queued_attempt_cancelled_when_late_and_refused():
    """Under overload every queue was full of jobs whose clients had given up (overload)."""
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE), 1)
    dispatcher.handle(1, [arrival()])
    assert only(io.Cancel, dispatcher.handle(60_000, [io.Timer(0)])) == [io.Cancel(1, 0)]
    assert only(io.Refuse, dispatcher.handle(60_100, [outcome(1, 0, 1, R.CANCELLED)])) == [io.Refuse(1)]


def test_started_attempt_is_not_cancelled():
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE), 1)
    dispatcher.handle(1, [arrival()])
    dispatcher.handle(2_000, [io.ProgressReport(1, 0, 1)])
    assert not only(io.Cancel, dispatcher.handle(90_000, [io.Timer(0)]))


def test_queued_attempt_is_not_silent():
    """Workers with a queue were ejected for up to the cold time, and the others took their load."""
    dispatcher = make_dispatcher(settings(WORTHLESS_LATE, progress=1_000_000), 1, 2)
    sent = only(io.Send, dispatcher.handle(1, [arrival()]))[0].worker
    for now in (30_000, 60_000, 200_000, 900_000):
        dispatcher.handle(now, [io.Timer(0)])
    assert dispatcher.fleet.workers[sent].strikes == 0
    dispatcher.handle(3_000_000, [io.Timer(0)])
    assert dispatcher.fleet.workers[sent].strikes == 1  # two progress reports missed and no other response


def test_silent_attempt_cancelled_and_retried_elsewhere():
    dispatcher = make_dispatcher(settings(may_hedge=False), 1, 2, 3, 4)
    sent = only(io.Send, dispatcher.handle(1, [arrival(1)]))[0]
    assert only(io.Cancel, dispatcher.handle(2_000_000, [io.Timer(0)])) == [io.Cancel(1, 0)]
    again = only(io.Send, dispatcher.handle(2_000_001, [outcome(1, 0, sent.worker, R.CANCELLED)]))
    assert len(again) == 1 and again[0].worker != sent.worker


@pytest.mark.parametrize(("job_class", "workers"), [(UNSAFE, (1, 2, 3, 4)), (SAFE, (1,))])
def test_silent_attempt_kept_without_possible_retry(job_class, workers):
    dispatcher = make_dispatcher(settings(job_class, may_hedge=False), *workers)
    dispatcher.handle(1, [arrival(1)])
    assert not only(io.Cancel, dispatcher.handle(2_000_000, [io.Timer(0)]))


@pytest.mark.parametrize(
    ("served", "reports", "allowed"),
    [(0, io.Reports.OFF, 1), (20, io.Reports.OFF, 3), (0, io.Reports.ANSWERS, None)],
)
def test_retries_of_silent_attempts_stay_in_budget(served, reports, allowed):
    """Guards against a retry storm: a cancelled attempt may run all the same and delay others.

    With load reports queues are known, so a silent worker hangs, and most of its jobs are retried.
    """
    dispatcher = make_dispatcher(
        settings(SAFE, may_hedge=False, instances=20, reports=reports), *range(1, 31)
    )
    serve(dispatcher, served, every=50_000)
    retries = 0
    for step in range(served, 400):
        events = [arrival(step, now=step * 50_000)] if step < served + 100 else [io.Timer(0)]
        retries += len(only(io.Cancel, dispatcher.handle(step * 50_000, events)))
    assert retries == allowed if reports is io.Reports.OFF else retries > 3
