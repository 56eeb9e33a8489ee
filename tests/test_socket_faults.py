"""System calls that fail in the ways that Linux documents: rules hold, nothing spins, listeners go on."""

import errno
import socket
import struct
import time
from datetime import timedelta

import pytest
from faults import BROKEN, LOCAL, FaultySockets, clock_stopped, faulty, let_pass
from in_process import UP, call_back, lists, reading, taken, turns
from world import HOST, free_port, job, member

from carthinge.net.channel import Channel, Incoming
from carthinge.net.listener import ACCEPT_PAUSE, MAX_ABORTS_PER_TURN
from carthinge.net.loop import Loop
from carthinge.net.stream import Stream

LISTENER = (*LOCAL, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EOPNOTSUPP)


def serve_one(program, dial, worker, name="a1"):
    """A job from its client to its answer."""
    client = dial(program).send(job(name))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    turns(program, lambda: not program.worker_client._calls)
    dial(program).send(call_back("s-0", name, result="r"))
    assert reading(client, program)[2] == b"r"
    return peer


@pytest.mark.parametrize("error", LISTENER, ids=errno.errorcode.get)
def test_an_accept_that_fails_pauses_the_listener_and_it_goes_on(serve, dial, error):
    """A listener stays ready while its accept fails: without a pause the loop would turn for nothing."""
    program = serve()
    sockets = faulty(program)
    sockets.fail("accept", *[error] * 3)
    client = dial(program).send(UP)
    with clock_stopped(program):
        turns(program, lambda: sockets.made["accept"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.made["accept"] == 1, "it was tried again within the pause"
    for _ in range(3):
        let_pass(program, ACCEPT_PAUSE)
        program.loop.turn(idle=False)
    turns(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200 and sockets.left("accept") == 0
    assert program.counters.accept_pauses == 3


def test_one_that_was_gone_before_it_was_accepted_keeps_nobody_waiting(serve, dial):
    program = serve()
    sockets = faulty(program)
    sockets.fail("accept", errno.ECONNABORTED, errno.EPROTO)
    client = dial(program).send(UP)
    turns(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200 and program.counters.accept_pauses == 0


def test_accepts_that_are_aborted_without_end_do_not_spin(serve, dial):
    program = serve()
    sockets = faulty(program)
    sockets.fail("accept", *[errno.ECONNABORTED] * (MAX_ABORTS_PER_TURN + 1))
    dial(program)
    with clock_stopped(program):
        turns(program, lambda: sockets.made["accept"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.made["accept"] == MAX_ABORTS_PER_TURN and program.counters.accept_pauses == 1


@pytest.mark.parametrize("error", LOCAL, ids=errno.errorcode.get)
def test_a_shortage_of_this_machine_is_waited_out_and_no_worker_is_to_blame(serve, dial, worker, error):
    """Each failed connect took one of the job's attempts, and a strike was put on each of the workers."""
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    sockets.fail("connect", *[error] * 5)
    client = dial(program).send(job("a1"))
    with clock_stopped(program):
        turns(program, lambda: sockets.made["connect"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.made["connect"] == 1, "it was tried again at once"
    for _ in range(5):
        let_pass(program, timedelta(milliseconds=20))
        program.loop.turn(idle=False)
    reading(taken(worker, program), program)
    (only,) = (held for held in program.dispatcher.fleet.workers.values() if held.ready)
    assert program.counters.attempts == 1 and only.strikes == 0
    client.close()


def test_a_shortage_that_lasts_ends_the_attempt_and_leaves_the_worker_its_name(serve, dial, worker):
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    sockets.fail("connect", *[errno.EMFILE] * 10_000)
    client = dial(program).send(job("a1", deadline="2000m"))
    for _ in range(30):
        program.loop.turn(idle=False)
        program.tracker.decide()
        let_pass(program, timedelta(milliseconds=100))
    assert reading(client, program)[0].startswith("HTTP/1.1 50")  # once, and in its time
    (only,) = (held for held in program.dispatcher.fleet.workers.values() if held.ready)
    assert only.strikes == 0 and program.counters.attempt_not_sent == program.counters.attempts > 0


@pytest.mark.parametrize("error", LOCAL, ids=errno.errorcode.get)
def test_discovery_is_called_again_after_a_shortage(serve, worker, error):
    program = serve()
    sockets = faulty(program)
    sockets.fail("connect", error, error)
    from carthinge.net.http import Address

    program.watch.move(Address("127.0.0.1", worker.port))
    assert sockets.made["connect"] == 1
    for _ in range(2):
        let_pass(program, timedelta(milliseconds=20))
        program.loop.turn(idle=False)
    assert reading(taken(worker, program), program)[0] == "GET /discovery/hosts HTTP/1.1"


@pytest.mark.parametrize("error", BROKEN, ids=errno.errorcode.get)
def test_a_worker_s_connection_that_breaks_before_the_202_is_a_reset(serve, dial, worker, error):
    """Whatever number it has: the job may have run, and of such a class it is not sent again."""
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    client = dial(program).send(job("a1", kind="charge"))
    peer = taken(worker, program)
    reading(peer, program)
    sockets.fail("receive", error)
    peer.answer(202)
    turns(program, lambda: program.counters.failed)
    assert client.status() == 502 and program.counters.attempt_reset == 1
    assert program.counters.attempts_written == 1


@pytest.mark.parametrize("error", BROKEN, ids=errno.errorcode.get)
def test_a_request_that_breaks_off_before_its_last_byte_has_not_run(serve, dial, worker, error):
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    sockets.after("connect_error", lambda sock: sockets.fail("send", error))
    client = dial(program).send(job("a1", kind="charge"))
    turns(program, lambda: program.counters.attempt_connect_failed)
    assert program.counters.failed == program.counters.attempt_reset == 0  # it may be tried again
    client.close()


@pytest.mark.parametrize("error", BROKEN, ids=errno.errorcode.get)
def test_a_client_s_connection_that_breaks_is_a_client_that_has_left(serve, dial, error):
    program = serve()
    sockets = faulty(program)
    client = dial(program).send(job("a1"))
    turns(program, lambda: program.counters.taken)
    sockets.fail("receive", error)
    client.send(b"x")
    turns(program, lambda: program.counters.client_gone)
    assert len(program.frontend.slots) == 0


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_an_answer_waits_for_buffers_of_this_machine(serve, dial, error):
    """It was taken for a broken connection, and the answer was lost with it."""
    program = serve()
    sockets = faulty(program)
    sockets.fail("send", error, error)
    client = dial(program).send(UP)
    with clock_stopped(program):
        turns(program, lambda: sockets.made["send"])
        for _ in range(20):
            program.loop.turn(idle=False)
        assert sockets.made["send"] == 1, "it was tried again at once"
    turns(program, lambda: sockets.left("send") == 0 and not program.loop._next_turn_calls)
    assert reading(client, program)[0].endswith("200 OK")


def test_a_close_that_fails_ends_nothing_but_its_connection(serve, dial, monkeypatch):
    program = serve()
    close, failed = socket.socket.close, []

    def fails(sock):
        if sock.getsockname()[1] != program.config.listen.port:
            close(sock)
            return
        failed.append(sock.fileno())
        raise OSError(errno.EIO, "not all was sent")

    first = dial(program).send(b"nonsense\r\n\r\n")
    assert reading(first, program)[0].endswith("400 Bad Request")
    first.close()
    monkeypatch.setattr(socket.socket, "close", fails)
    turns(program, lambda: failed)
    monkeypatch.undo()
    client = dial(program).send(UP)
    turns(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200


def test_a_selector_without_room_costs_one_connection(serve, dial, monkeypatch):
    """epoll_ctl fails with ENOSPC at the user's limit of watches: that ended the program."""
    program = serve()
    register, failing = program.loop._selector.register, [True]

    def full(*given):
        if failing:
            failing.clear()
            raise OSError(errno.ENOSPC, "no room")
        return register(*given)

    monkeypatch.setattr(program.loop._selector, "register", full, raising=False)
    first = dial(program)
    turns(program, lambda: not failing)
    assert first.ended()
    client = dial(program).send(UP)
    turns(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200


def test_short_writes_and_reads_lose_nothing(serve, dial, worker):
    """A byte at a time in both directions, on all connections of the program."""
    program = serve()
    lists(program, member("s-0", worker.port))
    sockets = faulty(program)
    send, receive = sockets.send, sockets.receive
    sockets.send = lambda sock, data: send(sock, bytes(data[:1]))
    sockets.receive = lambda sock, most: receive(sock, 1)
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


def test_a_reset_under_a_connection_in_the_loop_is_its_end_and_no_more():
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
        assert stream.closed and stream.left()
    loop.close()


# ---- the channel between two processes, and datagrams ---------------------------------------------


@pytest.mark.parametrize("error", LISTENER, ids=errno.errorcode.get)
def test_an_upgrade_s_accept_that_fails_pauses_its_listener(serve, tmp_path, monkeypatch, error):
    """It stayed ready with no descriptor left, and the loop turned for nothing."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    program = serve()
    sockets = faulty(program)
    sockets.fail("accept", error, error)
    with socket.socket(socket.AF_UNIX) as other:
        other.connect(str(program.upgrade._path))
        with clock_stopped(program):
            turns(program, lambda: sockets.made["accept"])
            for _ in range(20):
                program.loop.turn(idle=False)
            assert sockets.made["accept"] == 1, "it was tried again within the pause"
        for _ in range(2):
            let_pass(program, ACCEPT_PAUSE)
            program.loop.turn(idle=False)
        turns(program, lambda: program.upgrade.paired)


def test_a_connection_that_cannot_be_taken_over_ends_nothing_but_itself(serve, dial, worker, monkeypatch):
    """epoll_ctl fails with ENOSPC at the user's limit of watches: that ended the process that takes over."""
    program = serve()
    register, failing = program.loop._selector.register, [True]

    def full(*given):
        if failing:
            failing.clear()
            raise OSError(errno.ENOSPC, "no room")
        return register(*given)

    monkeypatch.setattr(program.loop._selector, "register", full, raising=False)
    sock = socket.create_connection(("127.0.0.1", worker.port))
    other = worker.accept()
    program.upgrade._received(Incoming(fresh=True), sock)
    assert other.ended() and not failing
    client = dial(program).send(UP)
    turns(program, lambda: program.frontend.slots.kept)
    assert client.status() == 200


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EPIPE, errno.ETOOMANYREFS], ids=errno.errorcode.get)
def test_a_socket_that_could_not_be_handed_over_is_kept(error):
    loop, lost = Loop(), []
    here, there = socket.socketpair(socket.AF_UNIX)
    client, _ = socket.socketpair(socket.AF_UNIX)
    loop.sockets = FaultySockets()
    loop.sockets.fail("send_with_socket", error)
    channel = Channel(loop, here, lambda *_: None, lost.extend)
    channel.send(Incoming(fresh=True), client)
    loop.turn(idle=False)
    ((message, kept),) = lost
    assert isinstance(message, Incoming) and kept is client and client.fileno() >= 0
    there.close()
    loop.close()


@pytest.mark.parametrize("error", [*LOCAL, errno.ECONNREFUSED, errno.EPERM], ids=errno.errorcode.get)
def test_a_datagram_that_fails_is_counted_and_the_next_ones_go_out(make_program, tmp_path, error):
    file = tmp_path / "carthinge.toml"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        member_address = f"127.0.0.1:{other.getsockname()[1]}"
        file.write_text(
            f"[fleet]\nlisten = '{HOST}:{free_port()}'\nmembers = ['{member_address}']\nperiod = 0.1\n"
        )
        program = make_program(file=file)
        sockets = faulty(program)
        sockets.fail("send_to", error)
        sockets.fail("receive", error)
        program.upgrade.find()
        turns(program, lambda: program.fleet.counts["not_sent"])
        until = time.monotonic() + 10
        while not program.fleet.counts["sent"]:
            assert time.monotonic() < until
            let_pass(program, timedelta(milliseconds=50))
            program.loop.turn(idle=False)
            program.tracker.decide()
        program.fleet.close(leave=False)
