"""The rules that the program checks by itself: a violation is found, counted and, if it can be, prevented."""

import errno
from datetime import timedelta

import pytest
from faults import faulty
from in_process import UP, call_back, lists, reading, taken, turns
from world import job, member

from carthinge import interface as io
from carthinge.net.close_reason import CloseReason
from carthinge.net.counters import Counters
from carthinge.net.invariants import Invariants
from carthinge.net.read_timeouts import LAST_CHANCE
from carthinge.net.tracked_request import Attempt, Job, TrackedRequest
from carthinge.net.worker_directory import WorkerEndpoint

NOW = timedelta(days=1)
OWED_WITHIN = timedelta(seconds=3)  # by the standing test's page, and not by the program


def attempts(effect, *results, arrived=True, workers=None):
    """Attempts of one request that have ended so (None: is out), and one more that is to go out."""
    tracked = TrackedRequest(1, Job("a1", b"/api", b""), "c", "t", None, NOW, effect=effect)
    for number, result in enumerate([*results, None]):
        name = (workers or range(9))[number]
        target = WorkerEndpoint(f"s-{name}", name, None)
        tracked.attempts.append(
            Attempt(tracked, number, target, NOW, NOW, open=result is None, arrived=arrived, result=result)
        )
    return tracked.attempts[-1]


@pytest.mark.parametrize("effect", io.Effect)
@pytest.mark.parametrize("may_copy", [False, True])
@pytest.mark.parametrize("arrived", [False, True])
@pytest.mark.parametrize("result", [None, *io.Result])
def test_an_attempt_goes_out_only_where_the_one_before_permits_it(effect, may_copy, arrived, result):
    counters = Counters()
    allowed = Invariants(counters, lambda: may_copy).may_send(attempts(effect, result, arrived=arrived))
    if result is None:
        wanted = may_copy and effect is not io.Effect.UNSAFE
    else:
        wanted = effect is not io.Effect.UNSAFE or not arrived or result in io.NEVER_RAN
    assert allowed is wanted and counters.invariants_violated == (not wanted)


def test_no_worker_gets_a_second_attempt_beside_its_first(request):
    invariants = Invariants(Counters(), lambda: True)
    assert not invariants.may_send(attempts(io.Effect.SAFE, None, workers=[4, 4]))
    assert invariants.may_send(attempts(io.Effect.SAFE, io.Result.TIMEOUT, workers=[4, 4]))


def test_half_requests_are_held_to_what_is_owed_and_a_connection_that_waited_to_its_last_chance():
    counters = Counters()
    invariants = Invariants(counters, lambda: True)
    invariants.half_request_ended(1, NOW, NOW, NOW + OWED_WITHIN)
    invariants.half_request_ended(1, NOW, NOW + OWED_WITHIN, NOW + OWED_WITHIN + 2 * LAST_CHANCE)
    assert counters.invariants_violated == 0
    invariants.half_request_ended(1, NOW, NOW, NOW + OWED_WITHIN + timedelta(microseconds=1))
    assert counters.invariants_violated == 1


def test_the_module_s_wrong_word_sends_no_second_attempt(serve, dial, worker):
    """The guard stands behind the decisions: one that is wrong is counted and not carried out."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind="charge"))
    peer = taken(worker, program)
    reading(peer, program)
    (tracked,) = program.tracker.tracked_requests.values()
    program.tracker._send(io.Send(tracked.number, tracked.attempts[0].target.number))
    assert program.counters.invariants_violated == 1 and program.counters.attempts == 1
    peer.answer(202)
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"


def test_a_close_over_a_request_that_was_read_is_counted(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    dial(program).send(job("a1"))
    peer = taken(worker, program)
    reading(peer, program)
    rested = dial(program).send(UP)
    reading(rested, program)
    for connection in program.frontend.slots.all():
        connection.close(CloseReason.SLOT_NEEDED)
    assert program.counters.invariants_violated == 1


def test_a_scheduler_begins_to_serve_once(serve):
    program = serve()
    listener = program.frontend._listener
    program._listen(False)
    assert program.counters.invariants_violated == 1 and program.frontend._listener is listener


def test_nothing_is_violated_where_calls_fail_and_a_worker_resets(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    sockets.fail("connect", errno.EMFILE, errno.ECONNREFUSED)
    client = dial(program).send(job("a1"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(503, Srv_Declined=1)
    again = reading(peer, program)
    assert again[1]["req-id"] == "a1"
    peer.answer(202)
    dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(client, program)[2] == b"r"
    turns(program, lambda: not program.tracker.tracked_requests)
    assert program.counters.invariants_violated == 0
