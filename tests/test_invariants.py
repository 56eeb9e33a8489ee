"""Invariants that the program checks itself: a violation is detected, counted and prevented if possible."""

import errno
from datetime import timedelta

import pytest
from faults import inject_faults
from in_process import UP_REQUEST, accept_next, encode_callback, read_next, run_until, set_workers
from world import job, member

from carthinge import interface as io
from carthinge.net.close_reason import CloseReason
from carthinge.net.counters import Counters
from carthinge.net.invariants import Invariants
from carthinge.net.read_timeouts import MIN_READ_TIME
from carthinge.net.tracked_request import Attempt, Job, TrackedRequest
from carthinge.net.worker_directory import WorkerEndpoint

NOW = timedelta(days=1)
STOPPED_CLIENT_LIMIT = timedelta(seconds=3)  # from the operators' acceptance rules, not from the program


def next_attempt(effect, *results, written=True, workers=None):
    """Return an unsent attempt of a request whose earlier attempts have these results (None: open)."""
    tracked = TrackedRequest(1, Job("a1", b"/api", b""), "c", "t", None, NOW, effect=effect)
    for number, result in enumerate([*results, None]):
        worker_number = (workers or range(9))[number]
        target = WorkerEndpoint(f"s-{worker_number}", worker_number, None)
        tracked.attempts.append(
            Attempt(tracked, number, target, NOW, NOW, open=result is None, written=written, result=result)
        )
    return tracked.attempts[-1]


@pytest.mark.parametrize("effect", io.Effect)
@pytest.mark.parametrize("may_hedge", [False, True])
@pytest.mark.parametrize("written", [False, True])
@pytest.mark.parametrize("result", [None, *io.Result])
def test_may_send_depends_on_previous_attempt(effect, may_hedge, written, result):
    counters = Counters()
    permitted = Invariants(counters, lambda: may_hedge).may_send(
        next_attempt(effect, result, written=written)
    )
    if result is None:
        expected = may_hedge and effect is not io.Effect.UNSAFE
    else:
        expected = effect is not io.Effect.UNSAFE or not written or result in io.NEVER_RAN
    assert permitted is expected and counters.invariants_violated == (not expected)


def test_worker_never_has_two_open_attempts(request):
    invariants = Invariants(Counters(), lambda: True)
    assert not invariants.may_send(next_attempt(io.Effect.SAFE, None, workers=[4, 4]))
    assert invariants.may_send(next_attempt(io.Effect.SAFE, io.Result.TIMEOUT, workers=[4, 4]))


def test_partial_request_limits_with_late_accept():
    counters = Counters()
    invariants = Invariants(counters, lambda: True)
    invariants.check_partial_request(1, NOW, NOW, NOW + STOPPED_CLIENT_LIMIT)
    invariants.check_partial_request(
        1, NOW, NOW + STOPPED_CLIENT_LIMIT, NOW + STOPPED_CLIENT_LIMIT + 2 * MIN_READ_TIME
    )
    assert counters.invariants_violated == 0
    invariants.check_partial_request(1, NOW, NOW, NOW + STOPPED_CLIENT_LIMIT + timedelta(microseconds=1))
    assert counters.invariants_violated == 1


def test_wrong_decision_sends_no_second_attempt(serve, dial, worker):
    """A wrong decision of the dispatcher is counted as a violation and not carried out."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    (tracked,) = program.tracker.tracked_requests.values()
    program.tracker._send(io.Send(tracked.number, tracked.attempts[0].target.number))
    assert program.counters.invariants_violated == 1 and program.counters.attempts == 1
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"


def test_close_with_unanswered_request_is_counted(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    idle = dial(program).send(UP_REQUEST)
    read_next(idle, program)
    for connection in program.frontend.slots.all():
        connection.close(CloseReason.SLOT_NEEDED)
    assert program.counters.invariants_violated == 1


def test_scheduler_starts_serving_once(serve):
    program = serve()
    listener = program.frontend._listener
    program._listen(False)
    assert program.counters.invariants_violated == 1 and program.frontend._listener is listener


def test_no_violation_on_failed_connects_and_resets(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    sockets.fail("connect", errno.EMFILE, errno.ECONNREFUSED)
    client = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(503, Srv_Declined=1)
    retried = read_next(peer, program)
    assert retried[1]["req-id"] == "a1"
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"
    run_until(program, lambda: not program.tracker.tracked_requests)
    assert program.counters.invariants_violated == 0
