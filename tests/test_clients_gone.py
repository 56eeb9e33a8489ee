"""After a client has closed its connection, no attempt of its request begins, neither a first nor a retry.

The order of events is forced by unread data that waits before a turn, or by a hook at a socket call.
"""

import socket
from datetime import timedelta

import pytest
from faults import advance_clock, inject_faults
from in_process import UP_REQUEST, accept_next, encode_callback, read_next, readable, run_until, set_workers
from world import Listener, job, member, settings_with_caps

from carthinge.net.recent_ids import MAX_RECENT_IDS, MEMORY_TIME


def test_client_left_before_read_not_sent(serve, dial, worker):
    """Guards against a close noticed only after the send: it waits behind the request in the same socket."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    client.close()
    run_until(program, lambda: program.counters.taken and not program.tracker.events)
    assert (program.counters.attempts, program.counters.client_gone) == (0, 1)
    assert program.tracker.tracked_requests == {} and program.dispatcher.jobs == {}


def test_client_left_before_connect_not_sent(serve, dial, worker):
    """In a long turn, a client that was connected when it began may have left when the dispatcher decides."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1"))
    handle = program.dispatcher.handle

    def decide(now, events):
        actions = handle(now, events)
        if program.counters.taken:
            client.close()
        return actions

    program.dispatcher.handle = decide
    run_until(program, lambda: program.counters.client_gone and not program.tracker.events)
    assert program.counters.attempts == 0


@pytest.mark.parametrize("cancel", [True, False])
def test_client_left_during_connect_not_sent(serve, dial, worker, cancel):
    """Guards against an attempt sent once its connection is up, where settings allow no withdrawals."""
    program = serve(settings=settings_with_caps(cancel=cancel))
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    client = dial(program).send(job("a1"))
    sockets.before("connect_error", lambda sock: client.close())
    run_until(program, lambda: program.counters.client_gone and not program.tracker.events)
    assert program.counters.attempts_written == 0 and program.worker_client._calls == {}


def test_waiting_attempt_ends_with_its_client(serve, dial):
    program = serve(settings=settings_with_caps(cancel=False))
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        fill_sockets = [socket.socket() for _ in range(4)]
        for fill_socket in fill_sockets:  # a full backlog: no further connection comes up
            fill_socket.setblocking(False)
            fill_socket.connect_ex(listener.getsockname())
        set_workers(program, member("s-0", listener.getsockname()[1]))
        client = dial(program).send(job("a1"))
        run_until(program, lambda: program.worker_client._calls)
        client.close()
        run_until(program, lambda: program.counters.client_gone)
        assert program.worker_client._calls == {} and program.counters.attempt_not_sent == 1
        for fill_socket in fill_sockets:
            fill_socket.close()


def test_client_left_while_queued_not_sent(serve, dial, worker):
    """The client leaves too late for its close to be seen in this turn, but before the decision to send."""
    program = serve(settings={**settings_with_caps(), "load_info": {"how": "off", "fields": []}})
    set_workers(program, member("s-0", worker.port))
    first = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    for known in program.dispatcher.fleet.workers.values():
        known.cap = 0.5  # no free capacity
    queued = dial(program).send(job("b1", kind="charge"))
    run_until(program, lambda: program.counters.taken == 2)
    assert program.counters.attempts == 1
    end = program.tracker.end

    def end_and_leave(attempt, *args, **kwargs):
        end(attempt, *args, **kwargs)
        queued.close()

    program.tracker.end = end_and_leave
    dial(program).send(encode_callback("s-0", "a1"))
    run_until(program, lambda: program.counters.client_gone)
    run_until(program, lambda: not program.tracker.events)
    assert first.status() == 200 and program.counters.attempts == 1


def test_client_left_between_attempts_not_retried(serve, dial, worker):
    program = serve(workers=2)
    second = Listener()
    set_workers(program, member("s-0", worker.port), member("s-1", second.port))
    client = dial(program).send(job("a1"))
    run_until(program, lambda: readable(worker.sock) or readable(second.sock))
    listening = worker if readable(worker.sock) else second
    peer = listening.accept()
    read_next(peer, program)
    end = program.tracker.end

    def end_and_leave(attempt, *args, **kwargs):
        client.close()
        end(attempt, *args, **kwargs)

    program.tracker.end = end_and_leave
    peer.answer(503, Srv_Declined=1)
    run_until(program, lambda: program.counters.client_gone)
    run_until(program, lambda: not program.tracker.events)
    assert program.counters.attempts == 1 and program.counters.attempt_full == 1
    second.close()


def test_requests_followed_by_close_not_sent(serve, dial, worker):
    """Two requests and the close arrive at once: no client waits for either."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(UP_REQUEST)
    run_until(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200
    client.send(job("a1") + job("a2"))
    client.close()
    run_until(program, lambda: program.counters.client_gone)
    run_until(program, lambda: not program.tracker.events)
    assert program.counters.attempts == 0


# ---- the deadline sent to a worker --------------------------------------------------------------


def time_left(request):
    """The time left that a worker was sent, as a timedelta."""
    value = request[1]["req-deadline"]
    assert value.endswith("m")
    return timedelta(milliseconds=int(value[:-1]))


def test_deadline_header_computed_when_written(serve, dial, worker):
    """Guards against a time left as of the start of the connect, here 0.2 s before the connection is up."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    sockets.before("connect_error", lambda sock: advance_clock(program, timedelta(milliseconds=200)))
    client = dial(program).send(job("a1", deadline="3000m"))
    peer = accept_next(worker, program)
    due = program.tracker.by_id["a1"].give_up
    assert time_left(read_next(peer, program)) <= due - program.loop.clock.now() + timedelta(milliseconds=150)
    assert answer_time_kept(due, program)
    client.close()


def answer_time_kept(give_up, program):
    """Whether the late connection has not moved the deadline of the answer."""
    return give_up - program.loop.clock.now() <= timedelta(milliseconds=2800)


def test_retry_deadline_header_is_recomputed(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", deadline="3000m"))
    peer = accept_next(worker, program)
    first = time_left(read_next(peer, program))
    advance_clock(program, timedelta(milliseconds=700))
    peer.answer(503, Srv_Declined=1)
    run_until(program, lambda: program.counters.attempt_full)
    advance_clock(program, timedelta(milliseconds=300))  # the worker is avoided for a moment
    retried = time_left(read_next(peer, program))
    assert retried <= first - timedelta(milliseconds=1000)
    client.close()


def test_retry_after_its_window_not_sent(serve, dial, worker):
    """The connection is up only after the window in which workers drop jobs that they have already run."""
    services = [
        {**spec, "window": 1_000_000} if spec["effect"] == "idempotency_key" else spec
        for spec in settings_with_caps()["services"]
    ]
    program = serve(settings={**settings_with_caps(dial_timeout=900_000), "services": services})
    set_workers(program, member("s-0", worker.port), member("s-1", worker.port))
    program.watch.stop()
    program.tracker.watch = lambda: None  # the slow connect must not be that of discovery
    sockets = inject_faults(program)
    client = dial(program).send(job("a1", kind="reindex", deadline="9000m", Idempotency_Key="k"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    sockets.before("connect_error", lambda sock: advance_clock(program, timedelta(milliseconds=700)))
    advance_clock(program, timedelta(milliseconds=400))
    peer.close()  # it may have run
    run_until(program, lambda: program.counters.attempt_reset)
    run_until(program, lambda: program.counters.failed or program.counters.shed)
    assert (program.counters.attempts, program.counters.attempts_written) == (2, 1)
    assert program.counters.attempt_not_sent
    assert client.status() in (502, 503)


def test_client_left_behind_much_unread_not_sent(serve, dial, worker):
    """Guards against a close that is not noticed before all that the client sent has been read."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(b"".join(job(f"a{number}", body=bytes(60_000)) for number in range(6)))
    client.close()
    run_until(program, lambda: not len(program.frontend.slots) and program.counters.connections_in)
    assert program.counters.attempts == 0 and not program.tracker.tracked_requests
    assert program.counters.client_gone == program.counters.taken


def leave_with_open_attempt(program, dial, worker, **more):
    """Send job a1, and leave once it is at a worker; return the worker's end of the attempt."""
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(job("a1", **more))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    run_until(program, lambda: not program.worker_client._calls)
    client.close()
    run_until(program, lambda: program.counters.client_gone)
    return peer


@pytest.mark.parametrize("kind", ["query", "reindex", "charge"])
def test_id_that_returns_after_its_client_left_is_not_run_again(serve, dial, worker, kind):
    """Guards against a second run where the first has ended, and was forgotten with its client."""
    program = serve(settings=settings_with_caps(cancel=False))
    _peer = leave_with_open_attempt(program, dial, worker, kind=kind)
    dial(program).send(encode_callback("s-0", "a1"))
    run_until(program, lambda: not program.tracker.tracked_requests)
    again = dial(program).send(job("a1", kind=kind))
    assert read_next(again, program)[0].split()[1] == "400" and program.counters.attempts == 1


def test_id_that_returns_while_its_worker_hangs_is_not_run_beside(serve, dial, worker):
    """Guards against a second run after the deadline, when nothing proves that the first was given up."""
    program = serve()
    _peer = leave_with_open_attempt(program, dial, worker, deadline="300m")
    advance_clock(program, timedelta(seconds=1))
    run_until(program, lambda: not program.tracker.tracked_requests)
    again = dial(program).send(job("a1"))
    assert read_next(again, program)[0].split()[1] == "400" and program.counters.attempts == 1


def test_id_that_was_never_sent_may_return(serve, dial, worker):
    program = serve()
    client = dial(program).send(job("a1"))
    run_until(program, lambda: program.counters.taken)
    client.close()
    run_until(program, lambda: program.counters.client_gone)
    set_workers(program, member("s-0", worker.port))
    again = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    assert read_next(peer, program)[1]["req-id"] == "a1"
    again.close()


def test_remembered_ids_are_bounded_and_expire(serve):
    """Guards against memory that grows with ever new ids."""
    program = serve()
    recent = program.tracker.recent_ids
    recent.extend(f"a{number}" for number in range(MAX_RECENT_IDS + 100))
    assert "a0" not in recent and f"a{MAX_RECENT_IDS + 99}" in recent and len(recent._until) == MAX_RECENT_IDS
    program.loop.now += MEMORY_TIME
    recent.add("b")
    assert "a200" not in recent and "b" in recent and len(recent._until) == 1
