"""A client that has closed its connection has gone: no attempt begins after that, first or further.

Each order of events is forced: by what waits unread before a turn, or by a hook at a socket call.
"""

import socket
from datetime import timedelta

import pytest
from faults import faulty, let_pass
from in_process import UP, call_back, lists, readable, reading, taken, turns
from world import Listener, altered, job, member


def test_a_request_whose_client_has_left_before_it_was_read_is_not_sent(serve, dial, worker):
    """Its end waits behind it in the same socket, and was seen only in the turn after the send."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    client.close()
    turns(program, lambda: program.counters.taken and not program.tracker.events)
    assert (program.counters.attempts, program.counters.client_gone) == (0, 1)
    assert program.tracker.tracked_requests == {} and program.dispatcher.jobs == {}


def test_one_that_leaves_between_the_decision_and_the_connect_is_not_sent(serve, dial, worker):
    """The turn is a long one: whoever was there when it began may have left when it decides."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    handle = program.dispatcher.handle

    def decide(now, events):
        actions = handle(now, events)
        if program.counters.taken:
            client.close()
        return actions

    program.dispatcher.handle = decide
    turns(program, lambda: program.counters.client_gone and not program.tracker.events)
    assert program.counters.attempts == 0


@pytest.mark.parametrize("cancel", [True, False])
def test_one_that_leaves_while_its_worker_is_connected_to_is_not_sent(serve, dial, worker, cancel):
    """Where the settings allow no withdrawals, the attempt went out as soon as its connection was up."""
    program = serve(settings=altered(cancel=cancel))
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    client = dial(program).send(job("a1"))
    sockets.before("connect_error", lambda sock: client.close())
    turns(program, lambda: program.counters.client_gone and not program.tracker.events)
    assert program.counters.attempts_written == 0 and program.worker_client._calls == {}


def test_an_attempt_that_waits_for_its_connection_ends_with_its_client(serve, dial):
    program = serve(settings=altered(cancel=False))
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # from then on nobody's connection comes up there
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        lists(program, member("s-0", full.getsockname()[1]))
        client = dial(program).send(job("a1"))
        turns(program, lambda: program.worker_client._calls)
        client.close()
        turns(program, lambda: program.counters.client_gone)
        assert program.worker_client._calls == {} and program.counters.attempt_not_sent == 1
        for filler in fillers:
            filler.close()


def test_one_that_leaves_while_it_is_queued_is_not_sent_when_a_slot_frees_up(serve, dial, worker):
    """It leaves after its end could be seen in this turn, and before the decision that would send it."""
    program = serve(settings={**altered(), "load_info": {"how": "off", "fields": []}})
    lists(program, member("s-0", worker.port))
    first = dial(program).send(job("a1", kind="charge"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    for held in program.dispatcher.fleet.workers.values():
        held.cap = 0.5  # busy with that one
    queued = dial(program).send(job("b1", kind="charge"))
    turns(program, lambda: program.counters.taken == 2)
    assert program.counters.attempts == 1
    end = program.tracker.end

    def ended(attempt, *more, **named):
        end(attempt, *more, **named)
        queued.close()

    program.tracker.end = ended
    dial(program).send(call_back("s-0", "a1"))
    turns(program, lambda: program.counters.client_gone)
    turns(program, lambda: not program.tracker.events)
    assert first.status() == 200 and program.counters.attempts == 1


def test_one_that_leaves_between_two_attempts_is_not_sent_again(serve, dial, worker):
    program = serve(workers=2)
    second = Listener()
    lists(program, member("s-0", worker.port), member("s-1", second.port))
    client = dial(program).send(job("a1"))
    turns(program, lambda: readable(worker.sock) or readable(second.sock))
    listening = worker if readable(worker.sock) else second
    peer = listening.accept()
    reading(peer, program)
    end = program.tracker.end

    def ended(attempt, *more, **named):
        client.close()
        end(attempt, *more, **named)

    program.tracker.end = ended
    peer.answer(503, Srv_Declined=1)
    turns(program, lambda: program.counters.client_gone)
    turns(program, lambda: not program.tracker.events)
    assert program.counters.attempts == 1 and program.counters.attempt_full == 1
    second.close()


def test_what_a_client_sent_before_it_left_on_a_kept_connection_is_not_sent_on(serve, dial, worker):
    """Two requests and the end, all at once: neither has anybody who waits for it."""
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(UP)
    turns(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200
    client.send(job("a1") + job("a2"))
    client.close()
    turns(program, lambda: program.counters.client_gone)
    turns(program, lambda: not program.tracker.events)
    assert program.counters.attempts == 0


# ---- the deadline that a worker is told ---------------------------------------------------------


def told(request):
    """The time that a worker was told, as a span."""
    value = request[1]["req-deadline"]
    assert value.endswith("m")
    return timedelta(milliseconds=int(value[:-1]))


def test_a_worker_is_told_what_is_left_when_the_request_goes_out(serve, dial, worker):
    """It was told what was left when its connection was begun, which came up 0.2 s later."""
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    sockets.before("connect_error", lambda sock: let_pass(program, timedelta(milliseconds=200)))
    client = dial(program).send(job("a1", deadline="3000m"))
    peer = taken(worker, program)
    since = program.tracker.by_id["a1"].give_up
    assert told(reading(peer, program)) <= since - program.loop.clock.now() + timedelta(milliseconds=150)
    assert told_within(since, program)
    client.close()


def told_within(give_up, program):
    """The give-up itself was not moved by the late connection."""
    return give_up - program.loop.clock.now() <= timedelta(milliseconds=2800)


def test_a_further_attempt_tells_what_is_left_then(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", deadline="3000m"))
    peer = taken(worker, program)
    first = told(reading(peer, program))
    let_pass(program, timedelta(milliseconds=700))
    peer.answer(503, Srv_Declined=1)
    turns(program, lambda: program.counters.attempt_full)
    let_pass(program, timedelta(milliseconds=300))  # its worker is left alone for a moment
    again = told(reading(peer, program))
    assert again <= first - timedelta(milliseconds=1000)
    client.close()


def test_a_repeat_that_would_begin_after_its_window_is_not_sent(serve, dial, worker):
    """Its connection came up when the workers no longer drop what they have run before."""
    services = [
        {**spec, "window": 1_000_000} if spec["effect"] == "idempotency_key" else spec
        for spec in altered()["services"]
    ]
    program = serve(settings={**altered(dial_timeout=900_000), "services": services})
    lists(program, member("s-0", worker.port), member("s-1", worker.port))
    program.watch.stop()
    program.tracker.watch = lambda: None  # the connect that takes long must not be discovery's
    sockets = faulty(program)
    client = dial(program).send(job("a1", kind="reindex", deadline="9000m", Idempotency_Key="k"))
    peer = taken(worker, program)
    reading(peer, program)
    sockets.before("connect_error", lambda sock: let_pass(program, timedelta(milliseconds=700)))
    let_pass(program, timedelta(milliseconds=400))
    peer.close()  # it may have run
    turns(program, lambda: program.counters.attempt_reset)
    turns(program, lambda: program.counters.failed or program.counters.shed)
    assert (program.counters.attempts, program.counters.attempts_written) == (2, 1)
    assert program.counters.attempt_not_sent
    assert client.status() in (502, 503)
