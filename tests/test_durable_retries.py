"""Several requests with the same key at once: each of them gets its answer."""

import pytest
from durable_world import BlockedDisk
from faults import advance_clock
from in_process import accept_next, encode_callback, read_next, readable, run_until, set_workers
from world import job, member

from carthinge.durable.admission import ACCEPT_TIMEOUT

RETRIES = 3  # at once
PREFERENCES = [None, "respond-async", "respond-async, wait=9"]


def encode_retry(req_id, prefer=None, **more):
    headers = {"Prefer": prefer} if prefer else {}
    return job(req_id, kind="reindex", deadline="9000m", Idempotency_Key="k1", **headers, **more)


def serve_job(program, dial, worker):
    """Have a worker serve the job with the key of the retries."""
    set_workers(program, member("s-0", worker.port))
    client = dial(program).send(encode_retry("a1"))
    attempt = accept_next(worker, program)
    read_next(attempt, program)
    attempt.answer(202)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"


def send_at_once(program, dial, disk, prefer):
    """Send retries, so that all have been read before the first one is written to the disk."""
    clients = [dial(program).send(encode_retry(f"b{number}", prefer)) for number in range(RETRIES)]
    run_until(program, lambda: disk.entered.is_set() and len(program.frontend.durable.waiting) == RETRIES)
    return clients


@pytest.mark.parametrize("prefer", PREFERENCES)
def test_retries_at_once_of_ended_job_are_all_answered(durable_program, dial, worker, prefer):
    """Every second retry got no answer, or 504 at its deadline, though the job had been served."""
    program = durable_program
    serve_job(program, dial, worker)
    disk = BlockedDisk(program.durable._store)
    retries = send_at_once(program, dial, disk, prefer)
    disk.released.set()
    answers = [read_next(client, program) for client in retries]
    if prefer == "respond-async":  # without a wait the location of the job is enough
        accepted = [(first.split()[1], "location" in headers) for first, headers, _ in answers]
        assert accepted == [("202", True)] * RETRIES
    else:
        assert [(first.split()[1], body) for first, _, body in answers] == [("200", b"r")] * RETRIES
    assert not program.frontend.durable.waiting


@pytest.mark.parametrize("prefer", PREFERENCES)
def test_requests_that_join_unwritten_job_are_all_shed(durable_program, dial, prefer):
    """Guards the other end of an unwritten job, where each answer removes a waiter of it too."""
    program = durable_program
    disk = BlockedDisk(program.durable._store)
    clients = send_at_once(program, dial, disk, prefer)
    advance_clock(program, ACCEPT_TIMEOUT)
    assert [read_next(client, program)[0].split()[1] for client in clients] == ["503"] * RETRIES
    assert not program.frontend.durable.waiting
    disk.released.set()


def test_retry_gets_result_beside_one_with_another_body(durable_program, dial, worker):
    """A correct retry got 422 for the key, as it was compared with a wrong one that is not on disk yet."""
    program = durable_program
    serve_job(program, dial, worker)
    disk = BlockedDisk(program.durable._store)
    wrong = dial(program).send(encode_retry("b0", body=b"other"))
    run_until(program, disk.entered.is_set)
    correct = dial(program).send(encode_retry("b1"))
    run_until(program, lambda: readable(correct.sock) or len(program.frontend.durable.waiting) == 2)
    disk.released.set()
    assert read_next(wrong, program)[0].split()[1] == "422"
    first, _, body = read_next(correct, program)
    assert (first.split()[1], body) == ("200", b"r")
