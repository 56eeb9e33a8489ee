"""A worker repeats a callback that got no answer: the repeat does not count for a later attempt."""

import pytest
from durable_world import FILE, accept, put
from helpers import SAFE, UNSAFE, arrival, make_dispatcher, only, outcome, settings
from in_process import accept_next, encode_callback, read_next, set_workers
from test_invariants import next_attempt
from test_upgrade import wait_for_handover
from world import World, job, member, serve_next

from carthinge import interface as io
from carthinge.net.counters import Counters
from carthinge.net.invariants import Invariants

KINDS = pytest.mark.parametrize("kind", ["query", "reindex", "charge"])


# ---- the scheduler as a process ---------------------------------------------------------------


@KINDS
def test_worker_that_returned_job_does_not_get_it_again(world, kind):
    """Guards against a repeated `returned` that ends a later attempt at its worker: the job ran twice."""
    client = world.submit("a1", kind=kind)
    first, _ = serve_next(world, "a1", state="returned")
    second, _ = serve_next(world, "a1", state="returned")
    assert second != first and client.status() == 503  # no worker is left: at once, and not at the deadline
    assert world.send_callback("a1", "returned", first) == 204
    counters = world.counters()
    assert (counters["attempts"], counters["job_events_stale"], counters["invariants_violated"]) == (2, 1, 0)


def test_repeated_callback_leaves_attempt_elsewhere_open(world):
    client = world.submit("a1", kind="charge")
    first, _ = serve_next(world, "a1", state="returned")
    second, peer, _ = world.next_request()
    peer.answer(202)
    assert world.send_callback("a1", "returned", first) == 204
    assert world.send_callback("a1", "done", second, result="r") == 204
    assert client.read()[2] == b"r" and world.counters()["attempts"] == 2


def test_declined_job_may_go_to_its_worker_again(tmp_path):
    """A refusal on the attempt's own connection cannot come again later."""
    with World(tmp_path, workers=1) as world:
        client = world.submit("a1", kind="charge")
        world.next_request()[1].answer(503, Srv_Declined="1")
        serve_next(world, "a1")
        assert client.status() == 200


def test_successor_does_not_send_returned_job_back(tmp_path):
    """Guards against an upgrade that forgets which workers may repeat a callback."""
    with World(tmp_path, workers=2, inherited_socket=True) as world:
        client = world.submit("a1", kind="charge")
        first, _ = serve_next(world, "a1", state="returned")
        second, peer, _ = world.next_request()
        peer.answer(202)
        assert world.send_callback("a1", "started", second) == 204
        world.upgrade()
        wait_for_handover(world, 1)
        assert world.send_callback("a1", "returned", second) == 204
        assert second != first and client.status() == 503


def hand_back(world, takes_part):
    """Accept the next attempt of a durable job and return it."""
    number, req_id, token = accept(world, takes_part)
    more = {"token": token} if takes_part else {}
    assert world.send_callback(req_id, "returned", number, **more) == 204


@pytest.mark.parametrize("takes_part", [False, True])
def test_durable_job_not_sent_back_after_crash(tmp_path, takes_part):
    """Guards against a crash that forgets which workers may repeat a callback without a lease token."""
    with World(tmp_path, workers=2, file=FILE.replace("0.4", "9")) as world:
        put(world, "a1")
        hand_back(world, takes_part)
        second, _, token = accept(world, takes_part)
        world.kill()
        world.restart()
        client = put(world, "a2", prefer=None)  # joins the job, as it has the same key
        assert (
            world.send_callback("a1", "returned", second, **({"token": token} if takes_part else {})) == 204
        )
        if takes_part:  # the token tells one attempt from another
            third, _, token = accept(world)
            assert world.send_callback("a1", "done", third, token=token) == 204
        assert client.status() == (200 if takes_part else 503)
        assert world.counters()["attempts"] == takes_part


# ---- ids that come again ------------------------------------------------------------------------


@KINDS
def test_id_of_returned_job_is_in_use_for_a_while(serve, dial, worker, kind):
    """Guards against a repeated `returned` that ends an attempt of another request with the same id."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", kind=kind))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    dial(program).send(encode_callback("s-0", "a1", "returned"))
    assert read_next(client, program)[0].split()[1] == "503"
    client.send(job("a1", kind=kind))
    assert read_next(client, program)[0].split()[1] == "400" and program.counters.attempts == 1


def test_id_of_served_job_is_in_use_while_a_failure_may_be_repeated(world):
    """Guards against a repeated `failed` of a request whose second attempt was served."""
    client = world.submit("a1")
    serve_next(world, "a1", state="failed")
    serve_next(world, "a1")
    assert client.status() == 200
    client.send(job("a1"))
    assert client.status() == 400 and world.counters()["attempts"] == 2


# ---- the decisions ----------------------------------------------------------------------------


def returned(request, attempt, worker):
    event = outcome(request, attempt, worker, io.Result.FULL)
    event.by_callback = True
    return event


@pytest.mark.parametrize("spec", [SAFE, UNSAFE])
def test_returned_job_goes_to_each_worker_once(spec):
    dispatcher = make_dispatcher(settings(spec, try_limit=9), 1, 2, 3)
    actions, seen = dispatcher.handle(1, [arrival()]), []
    while sends := only(io.Send, actions):
        seen.append(sends[0].worker)
        actions = dispatcher.handle(1 + len(seen), [returned(1, len(seen) - 1, seen[-1])])
    assert sorted(seen) == [1, 2, 3] and len(only(io.Refuse, actions)) == 1


def test_returned_job_that_waits_lets_others_of_its_tenant_pass():
    """Its only worker is busy; the one that returned it is free for other jobs."""
    dispatcher = make_dispatcher(settings(UNSAFE), 1, 2)
    for worker in dispatcher.fleet.workers.values():
        worker.cap = 1.0
    busy = only(io.Send, dispatcher.handle(1, [arrival(1)]))[0].worker
    sent = only(io.Send, dispatcher.handle(2, [arrival(2)]))[0].worker
    assert sent == 3 - busy
    assert not only(io.Send, dispatcher.handle(3, [returned(2, 0, sent)]))
    dispatcher.fleet.workers[sent].cap, dispatcher.fleet.workers[sent].avoid_until = 1.0, 0
    sends = only(io.Send, dispatcher.handle(4, [arrival(3)]))
    assert [(send.request, send.worker) for send in sends] == [(3, sent)]


@pytest.mark.parametrize("workers", [[4, 4], [4, 5]])
def test_wrong_decision_sends_no_attempt_to_worker_that_may_repeat(workers):
    counters = Counters()
    attempt = next_attempt(io.Effect.SAFE, io.Result.FULL, workers=workers)
    attempt.tracked.attempts[0].ended_by_callback = True
    permitted = Invariants(counters, lambda: False).may_send(attempt)
    assert permitted is (workers == [4, 5]) and counters.invariants_violated == (not permitted)
