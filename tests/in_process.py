"""Shorthands for tests of a program that runs in the test process, turn by turn."""

import select
import signal
import time

from faults import advance_clock

from carthinge.interface import Listing
from carthinge.net.members import Member, MemberList

UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
WAIT = 10  # seconds; no expected event in these tests takes nearly as long


def run_until(program, condition):
    """Run turns without waiting until the condition holds; bytes on loopback take a moment to arrive."""
    deadline = time.monotonic() + WAIT
    while not condition():
        assert time.monotonic() < deadline
        program.loop.turn(idle=False)
        program.tracker.decide()


def readable(sock):
    return bool(select.select([sock], [], [], 0)[0])


def set_workers(program, *members):
    """Give the program a complete list of workers, as discovery would."""
    listed = MemberList(revision=99, members=[Member(**fields) for fields in members])
    program.watch._on_update(program.directory.apply_list(listed, Listing.WHOLE))


def accept_next(listener, program):
    """Run turns until a stub worker gets a connection; return it."""
    run_until(program, lambda: readable(listener.sock))
    return listener.accept()


def read_next(peer, program):
    """Run turns until a stub gets a request or an answer; return it."""
    run_until(program, lambda: readable(peer.sock))
    return peer.read()


def encode_callback(worker, job_id, state="done", result=""):
    """Return the callback of a worker about a job, as bytes."""
    body = f'{{"id":"{job_id}","from":"{worker}","state":"{state}","result":"{result}"}}'.encode()
    return b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def drain_program(program):
    """Stop the program by SIGTERM, and advance its clock until it no longer keeps connections alive."""
    program._handle_signals(bytes((signal.SIGTERM,)))
    program.loop.turn(idle=False)
    advance_clock(program, program.frontend.draining.keep_alive_until - program.loop.clock.now())
    program.loop.turn(idle=False)
