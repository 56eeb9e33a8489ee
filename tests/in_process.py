"""A program that runs in the test's own process, turn by turn, and the stubs around it."""

import select
import signal
import time

from faults import let_pass

from carthinge.interface import Listing
from carthinge.net.members import Listed, Member

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
WAIT = 10  # seconds, for anything to happen; nothing in these tests takes nearly as long


def turns(program, until):
    """Turns that do not wait, until that holds; the other side's bytes need a moment on loopback."""
    end = time.monotonic() + WAIT
    while not until():
        assert time.monotonic() < end
        program.loop.turn(idle=False)
        program.tracker.decide()


def readable(sock):
    return bool(select.select([sock], [], [], 0)[0])


def lists(program, *members):
    """Discovery has named these workers, and no others."""
    listed = Listed(revision=99, members=[Member(**each) for each in members])
    program.watch._on_update(program.directory.apply_list(listed, Listing.WHOLE))


def taken(listener, program):
    """The next connection that a stub worker gets, while the program goes on with its turns."""
    turns(program, lambda: readable(listener.sock))
    return listener.accept()


def reading(peer, program):
    """The next request or answer that a stub gets, likewise."""
    turns(program, lambda: readable(peer.sock))
    return peer.read()


def call_back(worker, job_id, state="done", result=""):
    """What a worker tells of a job, as bytes."""
    body = f'{{"id":"{job_id}","from":"{worker}","state":"{state}","result":"{result}"}}'.encode()
    return b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def drained(program):
    """Told to end, and past the time for which clients are kept."""
    program._handle_signals(bytes((signal.SIGTERM,)))
    program.loop.turn(idle=False)
    let_pass(program, program.frontend.draining.keep_alive_until - program.loop.clock.now())
    program.loop.turn(idle=False)
