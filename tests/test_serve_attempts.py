"""The real program as a process: attempts, call-backs, and jobs that are withdrawn."""

import contextlib
import socket
import struct
import time

import pytest
from world import World, altered, job, serve_next

# ---- attempts and how they end ------------------------------------------------------------------


def test_a_connection_carries_one_job_after_the_other(tmp_path):
    with World(tmp_path) as world:
        world.submit("a1")
        _, peer = serve_next(world, "a1")
        world.submit("a2")
        assert peer.read()[1]["req-id"] == "a2"
        assert world.counters()["connections_out"] == 1


def test_an_idle_connection_is_closed_before_its_worker_would(tmp_path):
    with World(tmp_path, settings=altered(idle_close=800_000)) as world:
        world.submit("a1")
        _, peer = serve_next(world, "a1")
        since = time.monotonic()
        assert peer.ended() and time.monotonic() - since < 3  # by the settings, not some span of its own


@pytest.mark.parametrize(
    ("state", "counter"),
    [("failed", "attempt_error"), ("returned", "attempt_full"), ("lost", "attempt_reset")],
)
def test_what_a_worker_gives_back_is_tried_elsewhere(world, state, counter):
    client = world.submit("a1")
    first, _ = serve_next(world, "a1", state=state)
    assert world.counters()[counter] == 1
    if state != "returned":  # the module may ask the same worker again where nothing has run
        second, _ = serve_next(world, "a1", result="second")
        assert second != first and client.read()[2] == b"second"


@pytest.mark.parametrize(
    ("status", "headers", "counter"),
    [
        (503, {"Srv-Declined": "1"}, "attempt_full"),
        (504, {"Srv-Declined": "1"}, "attempt_full"),
        (503, {}, "attempt_error"),
        (500, {"Srv-Declined": "1"}, "attempt_error"),
        (500, {}, "attempt_error"),
        (200, {}, "attempt_error"),
        (429, {}, "attempt_error"),
    ],
)
def test_answers_other_than_202_end_the_attempt(world, status, headers, counter):
    client = world.submit("a1")
    world.take()[1].answer(status, **headers)
    second, peer, _ = world.take()
    peer.answer(202)
    assert world.counters()[counter] == 1
    world.tell("a1", "done", second, result="second")
    assert client.status() == 200


@pytest.mark.parametrize("status", [400, 404])
def test_what_a_worker_cannot_use_is_tried_nowhere_else_and_not_held_against_it(world, status):
    client = world.submit("a1")
    world.take()[1].answer(status)
    assert client.status() == 400
    for number in range(2, 8):  # no worker is left alone for it
        client.send(job(f"a{number}"))
        world.take()[1].answer(status)
        assert client.status() == 400
    counted = world.counters()
    assert (counted["attempts"], counted["attempt_error"], counted["failed"]) == (7, 0, 7)


def test_a_connection_that_ends_before_the_202_is_a_reset_and_nothing_is_sent_again(tmp_path):
    with World(tmp_path) as world:
        world.submit("a1")
        _, peer = serve_next(world, "a1")
        client = world.submit("a2", kind="charge")
        assert peer.read()[1]["req-id"] == "a2"  # on the connection kept from before
        peer.close()
        assert client.status() == 502  # it may have run, so it is neither repeated nor refused
        counted = world.counters()
        assert (counted["attempt_reset"], counted["attempts"]) == (1, 2)


def serve_two_at_the_only_one(world):
    """Two jobs go to two workers; of these only one can be reached, and has to serve both."""
    clients = [world.submit(f"a{number}", kind="charge") for number in range(2)]
    while world.counters()["taken"] < 2:  # else the first may be over when the second comes
        pass
    for _ in clients:
        number, peer, (_, headers, _) = world.take()
        peer.answer(202)
        assert world.tell(headers["req-id"], "done", number) == 204
    assert [client.status() for client in clients] == [200, 200]
    assert world.counters()["attempt_connect_failed"] == 1


def test_a_worker_that_refuses_connections_has_not_run_the_job(world):
    world.workers.pop().close()
    serve_two_at_the_only_one(world)


def test_a_connection_that_never_comes_up_is_given_up_after_its_time(tmp_path):
    with contextlib.ExitStack() as stack:
        full = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):  # with its backlog full it answers no further one
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        serve_two_at_the_only_one(stack.enter_context(World(tmp_path, extra_ports=[full.getsockname()[1]])))


# ---- call-backs ---------------------------------------------------------------------------------


def test_a_call_back_may_come_before_the_202_and_more_than_once(world):
    client = world.submit("a1")
    number, peer, _ = world.take()
    assert world.tell("a1", "done", number, result="early") == 204
    assert client.read()[2] == b"early"
    assert world.tell("a1", "done", number, result="again") == 204
    peer.answer(202)
    counted = world.counters()
    assert (counted["served"], counted["job_events"], counted["job_events_stale"]) == (1, 2, 1)


def test_a_202_that_never_follows_the_call_back_holds_no_connection(world):
    world.submit("a1")
    number, peer, _ = world.take()
    world.tell("a1", "done", number)
    assert peer.ended()


def test_a_call_back_counts_for_the_attempt_that_is_out_and_no_other(world):
    client = world.submit("a1")
    first, _ = serve_next(world, "a1", state="lost")
    second, peer, _ = world.take()
    peer.answer(202)
    assert world.tell("a1", "done", first, result="from the lost one") == 204
    assert world.tell("a1", "done", second, result="from the right one") == 204
    assert client.read()[2] == b"from the right one"
    assert world.tell("unknown", "started") == 204


def test_load_reports_reach_the_module(tmp_path):
    """With no slot free by its report, the only worker is not sent the next job for a while."""
    with World(tmp_path) as world:
        world.submit("a1")
        number, peer, _ = world.take()
        peer.answer(202)
        since = time.monotonic()
        world.tell("a1", "done", number, load={"util": 1.0, "qps": 3.0, "x0": 0.0})
        world.submit("a2")
        assert peer.read()[1]["req-id"] == "a2"  # once the report is old
        assert time.monotonic() - since > 0.15


# ---- the end of patience ------------------------------------------------------------------------


def test_a_client_that_leaves_withdraws_its_job(world):
    client = world.submit("a1")
    _, peer, _ = world.take()
    peer.answer(202)
    world.counters()  # a turn later the 202 has been read
    client.close()
    assert peer.read()[0] == "DELETE /jobs/a1 HTTP/1.1"
    peer.answer(204)
    counted = world.counters()
    assert (counted["client_gone"], counted["withdrawn"], counted["attempt_cancelled"]) == (1, 1, 1)


def test_a_job_at_a_silent_worker_is_withdrawn_there_before_it_goes_elsewhere(world):
    client = world.submit("a1")
    first, peer, _ = world.take()
    peer.answer(202)
    assert peer.read()[0] == "DELETE /jobs/a1 HTTP/1.1"
    peer.answer(204)
    second, peer, _ = world.take()
    assert second != first
    peer.answer(202)
    world.tell("a1", "done", second)
    assert client.status() == 200 and world.counters()["attempt_cancelled"] == 1


def withdrawn_and_served_elsewhere(world, client, first):
    """The job is given up by a DELETE to its first worker, and only then goes to the other."""
    at, peer, (line, _, _) = world.take()
    assert (at, line) == (first, "DELETE /jobs/a1 HTTP/1.1")
    peer.answer(204)
    second, peer, (line, _, _) = world.take()
    assert second != first and line.startswith("POST")
    peer.answer(202)
    world.tell("a1", "done", second)
    assert client.status() == 200


def test_a_withdrawal_that_is_reset_is_sent_again_before_the_job_goes_elsewhere(world):
    """The worker has not read it, and still runs the job: another attempt would be a second copy."""
    client = world.submit("a1")
    first, peer, _ = world.take()
    peer.answer(202)
    world.counters()  # the 202 is read
    for _ in range(2):
        at, peer, (line, _, _) = world.take()
        assert (at, line) == (first, "DELETE /jobs/a1 HTTP/1.1")
        del world.kept[peer.sock]
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # a reset
        peer.close()
    withdrawn_and_served_elsewhere(world, client, first)
    assert world.counters()["withdrawn_again"] == 2


def cut_off(world, stack):
    """Takes a job on and can be reached no more, until what fills its backlog is closed."""
    first, peer, _ = world.take()
    listener = world.workers[first].sock
    listener.listen(0)  # with its backlog full it answers no further connection
    fillers = [stack.enter_context(socket.socket()) for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    peer.answer(202, Connection="close")
    return first, fillers


def test_a_job_stays_with_a_worker_that_cannot_be_told_of_its_withdrawal(world):
    """Cut off from here, it still runs the job: another attempt would be a second copy."""
    with contextlib.ExitStack() as stack:
        client = world.submit("a1")
        first, fillers = cut_off(world, stack)
        world.wait_for_log("event=not_withdrawn")
        assert world.counters()["attempts"] == 1
        for filler in fillers:
            filler.close()
        withdrawn_and_served_elsewhere(world, client, first)  # it can be reached again


def test_nor_does_it_go_elsewhere_in_the_last_moment(world):
    """With too little time left for another DELETE there was still enough for a second copy (split+mass)."""
    with contextlib.ExitStack() as stack:
        client = world.submit("a1", deadline="2000m")
        cut_off(world, stack)
        assert client.status() == 503
        counted = world.counters()
        assert counted["attempts"] == 1 and counted["withdrawn_again"] > 2


def test_a_job_stays_with_a_draining_worker_that_takes_no_connections(world):
    """Refused is not dead: it finishes what it has, unless its agent says that it was lost."""
    client = world.submit("a1")
    first, peer, _ = world.take()
    world.workers.pop(first).close()
    peer.answer(202, Connection="close")
    world.wait_for_log("event=not_withdrawn")
    assert world.counters()["attempts"] == 1
    world.tell("a1", "lost", first)
    peer = world.accept(world.workers[0])
    assert peer.read()[0].startswith("POST")
    peer.answer(202)
    world.tell("a1", "done", 1 - first)
    assert client.status() == 200


def test_before_the_202_a_job_is_withdrawn_by_closing_its_connection_and_by_word(world):
    """The worker may have said 202 already: then closing gives nothing up."""
    client = world.submit("a1")
    at, peer, _ = world.take()
    client.close()
    assert peer.ended()
    del world.kept[peer.sock]
    again, peer, (line, _, _) = world.take()
    assert (again, line) == (at, "DELETE /jobs/a1 HTTP/1.1")
    peer.answer(204)
    assert world.counters()["withdrawn"] == 1


def test_a_refusal_says_when_to_come_back_within_the_limit(tmp_path):
    with World(tmp_path, known=False, settings=altered(max_retry_after=1_500_000)) as world:
        first, headers, _ = world.submit("a1").read()
        assert first.startswith("HTTP/1.1 503 ") and 0.75 <= float(headers["retry-after"]) <= 1.5


@pytest.mark.parametrize(("kind", "status"), [("query", 503), ("reindex", 503), ("charge", 504)])
def test_the_final_answer_comes_before_the_client_gives_up_and_only_once(world, kind, status):
    client = world.submit("a1", kind=kind, deadline="400m")
    number, peer, (_, headers, _) = world.take()
    assert int(headers["req-deadline"][:-1]) <= 390  # the answer needs some of the time
    peer.answer(202)
    assert client.status() == status
    assert peer.read()[0] == "DELETE /jobs/a1 HTTP/1.1"
    assert world.tell("a1", "done", number, result="late") == 204
    assert client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200  # and not that result
