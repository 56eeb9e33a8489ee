"""System calls that fail temporarily, by a signal or a shortage of memory, break no connection."""

import errno

import pytest
from faults import inject_faults
from in_process import UP_REQUEST, accept_next, encode_callback, read_next, run_until, set_workers
from world import job, member

CALLS = ("connect", "accept", "receive", "peek", "send")
TEMPORARY = (errno.EINTR, errno.ENOMEM, errno.ENOBUFS)


@pytest.mark.parametrize("error", TEMPORARY, ids=errno.errorcode.get)
@pytest.mark.parametrize("call", CALLS)
def test_temporary_failure_breaks_nothing(serve, dial, worker, call, error):
    """Guards against an interrupted send treated as a broken connection, which lost the client's response."""
    program = serve()
    set_workers(program, member("s-0", worker.port))
    idle = dial(program).send(UP_REQUEST)
    assert read_next(idle, program)[0].endswith("200 OK")
    sockets = inject_faults(program)
    sockets.fail(call, error)
    client = dial(program).send(job("a1", kind="charge"))
    peer = accept_next(worker, program)
    sockets.fail(call, error)
    read_next(peer, program)
    peer.answer(202)
    run_until(program, lambda: not program.worker_client._calls)
    sockets.fail(call, error)
    dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(client, program)[2] == b"r"
    idle.send(UP_REQUEST)
    assert read_next(idle, program)[0].endswith("200 OK")
    counters = program.counters
    assert (counters.attempts, counters.served, counters.client_gone) == (1, 1, 0)
