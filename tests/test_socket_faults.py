"""System calls that fail with errors documented for Linux: no lost jobs, no busy loops, no dead listeners."""

import errno
import socket
import struct
import time
from datetime import timedelta

import pytest
from faults import CONNECTION_ERRORS, LOCAL_ERRORS, advance_clock, inject_faults, stopped_clock
from in_process import UP_REQUEST, accept_next, encode_callback, read_next, run_until, set_workers
from world import HOST, free_port, job, member

from carthinge.net.channel import Incoming
from carthinge.net.listener import ACCEPT_PAUSE, MAX_ABORTS_PER_TURN
from carthinge.net.loop import Loop
from carthinge.net.stream import Stream

LISTENER = (*LOCAL_ERRORS, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EOPNOTSUPP)


def serve_one(program, dial, worker, name="a1"):
    """Run a job from its client's request to the response."""
    client = dial(program).send(job(name))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    run_until(program, lambda: not program.worker_client._calls)
    dial(program).send(encode_callback("s-0", name, result="r"))
    assert read_next(client, program)[2] == b"r"
    return peer


@pytest.mark.parametrize("error", LISTENER, ids=errno.errorcode.get)
def test_failed_accept_pauses_listener(serve, dial, error):
    """A listener stays ready while accept fails: without a pause the loop would spin."""
    program = serve()
    sockets = inject_faults(program)
    sockets.fail("accept", *[error] * 3)
    client = dial(program).send(UP_REQUEST)
    with stopped_clock(program):
        run_until(program, lambda: sockets.call_counts["accept"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.call_counts["accept"] == 1, "accept was retried within the pause"
    for _ in range(3):
        advance_clock(program, ACCEPT_PAUSE)
        program.loop.turn(idle=False)
    run_until(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200 and sockets.pending("accept") == 0
    assert program.counters.accept_pauses == 3


def test_aborted_connection_delays_no_accept(serve, dial):
    program = serve()
    sockets = inject_faults(program)
    sockets.fail("accept", errno.ECONNABORTED, errno.EPROTO)
    client = dial(program).send(UP_REQUEST)
    run_until(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200 and program.counters.accept_pauses == 0


def test_endless_aborted_accepts_do_not_spin(serve, dial):
    program = serve()
    sockets = inject_faults(program)
    sockets.fail("accept", *[errno.ECONNABORTED] * (MAX_ABORTS_PER_TURN + 1))
    dial(program)
    with stopped_clock(program):
        run_until(program, lambda: sockets.call_counts["accept"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.call_counts["accept"] == MAX_ABORTS_PER_TURN and program.counters.accept_pauses == 1


@pytest.mark.parametrize("error", LOCAL_ERRORS, ids=errno.errorcode.get)
def test_local_shortage_is_not_blamed_on_worker(serve, dial, worker, error):
    """Guards against failed connects that each use up an attempt and count as a strike against a worker."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    sockets.fail("connect", *[error] * 5)
    client = dial(program).send(job("a1"))
    with stopped_clock(program):
        run_until(program, lambda: sockets.call_counts["connect"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.call_counts["connect"] == 1, "it was retried at once"
    for _ in range(5):
        advance_clock(program, timedelta(milliseconds=20))
        program.loop.turn(idle=False)
    read_next(accept_next(worker, program), program)
    (worker_state,) = (entry for entry in program.dispatcher.fleet.workers.values() if entry.ready)
    assert program.counters.attempts == 1 and worker_state.strikes == 0
    client.close()


def test_lasting_shortage_ends_attempt_without_strike(serve, dial, worker):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    sockets.fail("connect", *[errno.EMFILE] * 10_000)
    client = dial(program).send(job("a1", deadline="2000m"))
    for _ in range(30):
        program.loop.turn(idle=False)
        program.tracker.decide()
        advance_clock(program, timedelta(milliseconds=100))
    assert read_next(client, program)[0].startswith("HTTP/1.1 50")  # exactly one response, in time
    (worker_state,) = (entry for entry in program.dispatcher.fleet.workers.values() if entry.ready)
    assert worker_state.strikes == 0 and program.counters.attempt_not_sent == program.counters.attempts > 0


@pytest.mark.parametrize("error", LOCAL_ERRORS, ids=errno.errorcode.get)
def test_discovery_is_retried_after_shortage(serve, worker, error):
    program = serve()
    sockets = inject_faults(program)
    sockets.fail("connect", error, error)
    from carthinge.net.http import Address

    program.watch.set_address(Address("127.0.0.1", worker.port))
    assert sockets.call_counts["connect"] == 1
    for _ in range(2):
        advance_clock(program, timedelta(milliseconds=20))
        program.loop.turn(idle=False)
    assert read_next(accept_next(worker, program), program)[0] == "GET /discovery/hosts HTTP/1.1"


@pytest.mark.parametrize("error", CONNECTION_ERRORS, ids=errno.errorcode.get)
def test_break_before_202_is_a_reset(serve, dial, worker, error):
    """Whatever the error: the job may have run, and jobs of such a class are not sent again."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    client = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    sockets.fail("receive", error)
    peer.answer(202)
    run_until(program, lambda: program.counters.failed)
    assert client.status() == 502 and program.counters.attempt_reset == 1
    assert program.counters.attempts_written == 1


@pytest.mark.parametrize("error", CONNECTION_ERRORS, ids=errno.errorcode.get)
def test_break_before_last_byte_is_not_a_run(serve, dial, worker, error):
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    sockets.after("connect_error", lambda sock: sockets.fail("send", error))
    client = dial(program).send(job("a1", kind="charge"))
    run_until(program, lambda: program.counters.attempt_connect_failed)
    assert program.counters.failed == program.counters.attempt_reset == 0  # it may be retried
    client.close()


@pytest.mark.parametrize("error", CONNECTION_ERRORS, ids=errno.errorcode.get)
def test_broken_client_connection_counts_as_gone(serve, dial, error):
    program = serve()
    sockets = inject_faults(program)
    client = dial(program).send(job("a1"))
    run_until(program, lambda: program.counters.taken)
    sockets.fail("receive", error)
    client.send(b"x")
    run_until(program, lambda: program.counters.client_gone)
    assert len(program.frontend.slots) == 0


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_response_waits_for_socket_buffers(serve, dial, error):
    """Guards against a shortage treated as a broken connection, which lost the response."""
    program = serve()
    sockets = inject_faults(program)
    sockets.fail("send", error, error)
    client = dial(program).send(UP_REQUEST)
    with stopped_clock(program):
        run_until(program, lambda: sockets.call_counts["send"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.call_counts["send"] == 1, "it was retried at once"
    run_until(program, lambda: sockets.pending("send") == 0 and not program.loop._next_turn_calls)
    assert read_next(client, program)[0].endswith("200 OK")


def test_failed_close_ends_only_its_connection(serve, dial, monkeypatch):
    program = serve()
    close, failed = socket.socket.close, []

    def fails(sock):
        if sock.getsockname()[1] != program.config.listen.port:
            close(sock)
            return
        failed.append(sock.fileno())
        raise OSError(errno.EIO, "not all was sent")

    first = dial(program).send(b"nonsense\r\n\r\n")
    assert read_next(first, program)[0].endswith("400 Bad Request")
    first.close()
    monkeypatch.setattr(socket.socket, "close", fails)
    run_until(program, lambda: failed)
    monkeypatch.undo()
    client = dial(program).send(UP_REQUEST)
    run_until(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200


def test_full_selector_costs_one_connection(serve, dial, monkeypatch):
    """Guards against epoll_ctl's ENOSPC, at the user's limit of watches, ending the program."""
    program = serve()
    register, failing = program.loop._selector.register, [True]

    def full(*arguments):
        if failing:
            failing.clear()
            raise OSError(errno.ENOSPC, "no room")
        return register(*arguments)

    monkeypatch.setattr(program.loop._selector, "register", full, raising=False)
    first = dial(program)
    run_until(program, lambda: not failing)
    assert first.ended()
    client = dial(program).send(UP_REQUEST)
    run_until(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200


def test_short_writes_and_reads_lose_no_data(serve, dial, worker):
    """Every call on every connection transfers one byte."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    sockets = inject_faults(program)
    send, receive = sockets.send, sockets.receive
    sockets.send = lambda sock, data: send(sock, bytes(data[:1]))
    sockets.receive = lambda sock, max_bytes: receive(sock, 1)
    serve_one(program, dial, worker)


class Owner:
    def __init__(self):
        self.ends = []

    def received(self, data):
        pass

    def flushed(self):
        pass

    def ended(self, why):
        self.ends.append(why)


def test_reset_ends_only_its_stream():
    loop, owner = Loop(), Owner()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        there = socket.create_connection(listener.getsockname())
        stream = Stream(loop, listener.accept()[0], owner)
        there.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        there.close()
        until = time.monotonic() + 10
        while not owner.ends:
            assert time.monotonic() < until
            loop.turn(idle=False)
        assert stream.closed and stream.closed_by_peer()
    loop.close()


# ---- the upgrade channel, and datagrams ---------------------------------------------


@pytest.mark.parametrize("error", LISTENER, ids=errno.errorcode.get)
def test_failed_upgrade_accept_pauses_listener(serve, tmp_path, monkeypatch, error):
    """Guards against a loop that spins on a ready listener with no descriptor left."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    program = serve()
    sockets = inject_faults(program)
    sockets.fail("accept", error, error)
    with socket.socket(socket.AF_UNIX) as other:
        other.connect(str(program.upgrade._path))
        with stopped_clock(program):
            run_until(program, lambda: sockets.call_counts["accept"])
            for _ in range(20):
                program.loop.turn(idle=False)
            assert sockets.call_counts["accept"] == 1, "accept was retried within the pause"
        for _ in range(2):
            advance_clock(program, ACCEPT_PAUSE)
            program.loop.turn(idle=False)
        run_until(program, lambda: program.upgrade.has_peer)


def test_failed_takeover_ends_only_its_connection(serve, dial, worker, monkeypatch):
    """Guards against epoll_ctl's ENOSPC, at the user's limit of watches, ending the successor."""
    program = serve()
    register, failing = program.loop._selector.register, [True]

    def full(*arguments):
        if failing:
            failing.clear()
            raise OSError(errno.ENOSPC, "no room")
        return register(*arguments)

    monkeypatch.setattr(program.loop._selector, "register", full, raising=False)
    sock = socket.create_connection(("127.0.0.1", worker.port))
    other = worker.accept()
    program.upgrade._on_message(Incoming(fresh=True), sock)
    assert other.ended() and not failing
    client = dial(program).send(UP_REQUEST)
    run_until(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200


@pytest.mark.parametrize("error", [*LOCAL_ERRORS, errno.ECONNREFUSED, errno.EPERM], ids=errno.errorcode.get)
def test_failed_datagram_is_counted_and_next_sent(make_program, tmp_path, error):
    file = tmp_path / "carthinge.toml"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        member_address = f"127.0.0.1:{other.getsockname()[1]}"
        file.write_text(
            f"[fleet]\nlisten = '{HOST}:{free_port()}'\nmembers = ['{member_address}']\nperiod = 0.1\n"
        )
        program = make_program(file=file)
        sockets = inject_faults(program)
        sockets.fail("send_to", error)
        sockets.fail("receive", error)
        program.upgrade.find_predecessor()
        run_until(program, lambda: program.fleet.counts["not_sent"])
        until = time.monotonic() + 10
        while not program.fleet.counts["sent"]:
            assert time.monotonic() < until
            advance_clock(program, timedelta(milliseconds=50))
            program.loop.turn(idle=False)
            program.tracker.decide()
        program.fleet.close(leave=False)
