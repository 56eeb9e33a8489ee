"""The real program as a process: attempts, callbacks and withdrawals."""

import contextlib
import socket
import struct
import time

import pytest
from world import World, job, serve_next, settings_with_caps

# ---- attempts and how they end ------------------------------------------------------------------


def test_connection_is_reused_for_next_job(tmp_path):
    with World(tmp_path) as world:
        world.submit("a1")
        _, peer = serve_next(world, "a1")
        world.submit("a2")
        assert peer.read()[1]["req-id"] == "a2"
        assert world.counters()["connections_out"] == 1


def test_idle_connection_closed_before_worker_does(tmp_path):
    with World(tmp_path, settings=settings_with_caps(idle_close=800_000)) as world:
        world.submit("a1")
        _, peer = serve_next(world, "a1")
        since = time.monotonic()
        assert peer.ended() and time.monotonic() - since < 3  # the timeout of the settings, not a default


@pytest.mark.parametrize(
    ("state", "counter"),
    [("failed", "attempt_error"), ("returned", "attempt_full"), ("lost", "attempt_reset")],
)
def test_job_not_done_is_retried_elsewhere(world, state, counter):
    client = world.submit("a1")
    first, _ = serve_next(world, "a1", state=state)
    assert world.counters()[counter] == 1
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
def test_non_202_answer_ends_attempt(world, status, headers, counter):
    client = world.submit("a1")
    world.next_request()[1].answer(status, **headers)
    second, peer, _ = world.next_request()
    peer.answer(202)
    assert world.counters()[counter] == 1
    world.send_callback("a1", "done", second, result="second")
    assert client.status() == 200


@pytest.mark.parametrize("status", [400, 404])
def test_rejected_job_not_retried_worker_not_blamed(world, status):
    client = world.submit("a1")
    world.next_request()[1].answer(status)
    assert client.status() == 400
    for number in range(2, 8):  # no worker is avoided because of it
        client.send(job(f"a{number}"))
        world.next_request()[1].answer(status)
        assert client.status() == 400
    counters = world.counters()
    assert (counters["attempts"], counters["attempt_error"], counters["failed"]) == (7, 0, 7)


def test_close_before_202_is_reset_not_retried(tmp_path):
    with World(tmp_path) as world:
        world.submit("a1")
        _, peer = serve_next(world, "a1")
        client = world.submit("a2", kind="charge")
        assert peer.read()[1]["req-id"] == "a2"  # on the reused connection
        peer.close()
        assert client.status() == 502  # it may have run, so it is neither retried nor refused
        counters = world.counters()
        assert (counters["attempt_reset"], counters["attempts"]) == (1, 2)


def serve_two_at_reachable_worker(world):
    """Two jobs go to two workers, of which only one is reachable and has to serve both."""
    clients = [world.submit(f"a{number}", kind="charge") for number in range(2)]
    while world.counters()["taken"] < 2:  # otherwise the first may end before the second arrives
        pass
    for _ in clients:
        number, peer, (_, headers, _) = world.next_request()
        peer.answer(202)
        assert world.send_callback(headers["req-id"], "done", number) == 204
    assert [client.status() for client in clients] == [200, 200]
    assert world.counters()["attempt_connect_failed"] == 1


def test_connection_refused_means_job_not_run(world):
    world.workers.pop().close()
    serve_two_at_reachable_worker(world)


def test_connect_times_out(tmp_path):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):  # with a full backlog it accepts no further connection
            fill_socket = stack.enter_context(socket.socket())
            fill_socket.setblocking(False)
            fill_socket.connect_ex(listener.getsockname())
        serve_two_at_reachable_worker(
            stack.enter_context(World(tmp_path, extra_ports=[listener.getsockname()[1]]))
        )


# ---- callbacks ----------------------------------------------------------------------------------


def test_early_and_repeated_callbacks(world):
    client = world.submit("a1")
    number, peer, _ = world.next_request()
    assert world.send_callback("a1", "done", number, result="early") == 204
    assert client.read()[2] == b"early"
    assert world.send_callback("a1", "done", number, result="again") == 204
    peer.answer(202)
    counters = world.counters()
    assert (counters["served"], counters["job_events"], counters["job_events_stale"]) == (1, 2, 1)


def test_missing_202_after_callback_frees_connection(world):
    world.submit("a1")
    number, peer, _ = world.next_request()
    world.send_callback("a1", "done", number)
    assert peer.ended()


def test_callback_counts_only_for_open_attempt(world):
    client = world.submit("a1")
    first, _ = serve_next(world, "a1", state="lost")
    second, peer, _ = world.next_request()
    peer.answer(202)
    assert world.send_callback("a1", "done", first, result="from the lost one") == 204
    assert world.send_callback("a1", "done", second, result="from the right one") == 204
    assert client.read()[2] == b"from the right one"
    assert world.send_callback("unknown", "started") == 204


def test_load_reports_reach_the_dispatcher(tmp_path):
    """The only worker reports no free slot and is not sent the next job for a while."""
    with World(tmp_path) as world:
        world.submit("a1")
        number, peer, _ = world.next_request()
        peer.answer(202)
        since = time.monotonic()
        world.send_callback("a1", "done", number, load={"util": 1.0, "qps": 3.0, "x0": 0.0})
        world.submit("a2")
        assert peer.read()[1]["req-id"] == "a2"  # once the report is outdated
        assert time.monotonic() - since > 0.15


# ---- withdrawals and deadlines ------------------------------------------------------------------


def test_client_leaving_withdraws_job(world):
    client = world.submit("a1")
    _, peer, _ = world.next_request()
    peer.answer(202)
    world.counters()  # one turn later the 202 has been read
    client.close()
    assert peer.read()[0] == "DELETE /jobs/a1 HTTP/1.1"
    peer.answer(204)
    counters = world.counters()
    assert (counters["client_gone"], counters["withdrawn"], counters["attempt_cancelled"]) == (1, 1, 1)


def test_silent_worker_withdrawn_before_retry(world):
    client = world.submit("a1")
    first, peer, _ = world.next_request()
    peer.answer(202)
    assert peer.read()[0] == "DELETE /jobs/a1 HTTP/1.1"
    peer.answer(204)
    second, peer, _ = world.next_request()
    assert second != first
    peer.answer(202)
    world.send_callback("a1", "done", second)
    assert client.status() == 200 and world.counters()["attempt_cancelled"] == 1


def expect_withdrawal_and_retry(world, client, first):
    """The job is withdrawn from its first worker by a DELETE, and only then sent to the other."""
    worker, peer, (line, _, _) = world.next_request()
    assert (worker, line) == (first, "DELETE /jobs/a1 HTTP/1.1")
    peer.answer(204)
    second, peer, (line, _, _) = world.next_request()
    assert second != first and line.startswith("POST")
    peer.answer(202)
    world.send_callback("a1", "done", second)
    assert client.status() == 200


def test_reset_withdrawal_resent_before_retry(world):
    """The worker has not read the DELETE and still runs the job: another attempt would be a second copy."""
    client = world.submit("a1")
    first, peer, _ = world.next_request()
    peer.answer(202)
    world.counters()  # the 202 has been read
    for _ in range(2):
        worker, peer, (line, _, _) = world.next_request()
        assert (worker, line) == (first, "DELETE /jobs/a1 HTTP/1.1")
        del world.worker_connections[peer.sock]
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # a reset
        peer.close()
    expect_withdrawal_and_retry(world, client, first)
    assert world.counters()["withdrawn_again"] == 2


def make_unreachable(world, stack):
    """Let a worker accept a job and be unreachable until the sockets that fill its backlog are closed."""
    first, peer, _ = world.next_request()
    listener = world.workers[first].sock
    listener.listen(0)  # with a full backlog it accepts no connection
    fill_sockets = [stack.enter_context(socket.socket()) for _ in range(4)]
    for fill_socket in fill_sockets:
        fill_socket.setblocking(False)
        fill_socket.connect_ex(listener.getsockname())
    peer.answer(202, Connection="close")
    return first, fill_sockets


def test_no_retry_while_worker_unreachable(world):
    """The unreachable worker still runs the job: another attempt would be a second copy."""
    with contextlib.ExitStack() as stack:
        client = world.submit("a1")
        first, fill_sockets = make_unreachable(world, stack)
        world.wait_for_log("event=not_withdrawn")
        assert world.counters()["attempts"] == 1
        for fill_socket in fill_sockets:
            fill_socket.close()
        expect_withdrawal_and_retry(world, client, first)  # it is reachable again


def test_no_retry_near_deadline_while_unreachable(world):
    """Too little time for another DELETE may still be enough for a second copy (scenario split+mass)."""
    with contextlib.ExitStack() as stack:
        client = world.submit("a1", deadline="2000m")
        make_unreachable(world, stack)
        assert client.status() == 503
        counters = world.counters()
        assert counters["attempts"] == 1 and counters["withdrawn_again"] > 2


def test_no_retry_while_draining_worker_refuses_connections(world):
    """A worker that refuses connections finishes its jobs, unless its agent reports them as lost."""
    client = world.submit("a1")
    first, peer, _ = world.next_request()
    world.workers.pop(first).close()
    peer.answer(202, Connection="close")
    world.wait_for_log("event=not_withdrawn")
    assert world.counters()["attempts"] == 1
    world.send_callback("a1", "lost", first)
    peer = world.accept(world.workers[0])
    assert peer.read()[0].startswith("POST")
    peer.answer(202)
    world.send_callback("a1", "done", 1 - first)
    assert client.status() == 200


def test_withdrawal_before_202_closes_and_deletes(world):
    """The worker may have sent its 202 already: then closing the connection does not withdraw the job."""
    client = world.submit("a1")
    worker, peer, _ = world.next_request()
    client.close()
    assert peer.ended()
    del world.worker_connections[peer.sock]
    same_worker, peer, (line, _, _) = world.next_request()
    assert (same_worker, line) == (worker, "DELETE /jobs/a1 HTTP/1.1")
    peer.answer(204)
    assert world.counters()["withdrawn"] == 1


def test_retry_after_stays_within_limit(tmp_path):
    with World(tmp_path, known=False, settings=settings_with_caps(max_retry_after=1_500_000)) as world:
        first, headers, _ = world.submit("a1").read()
        assert first.startswith("HTTP/1.1 503 ") and 0.75 <= float(headers["retry-after"]) <= 1.5


@pytest.mark.parametrize(("kind", "status"), [("query", 503), ("reindex", 503), ("charge", 504)])
def test_one_final_answer_before_client_deadline(world, kind, status):
    client = world.submit("a1", kind=kind, deadline="400m")
    number, peer, (_, headers, _) = world.next_request()
    assert int(headers["req-deadline"][:-1]) <= 390  # part of the time is reserved for the answer
    peer.answer(202)
    assert client.status() == status
    assert peer.read()[0] == "DELETE /jobs/a1 HTTP/1.1"
    assert world.send_callback("a1", "done", number, result="late") == 204
    assert client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200  # not the late result
