"""Idle clients that use up the descriptors: discovery, workers and callbacks must still be served."""

import json
import resource

import pytest
from faults import advance_clock
from in_process import accept_next, encode_callback, read_next, run_until, set_workers
from world import SETTINGS, Listener, World, job, member

from carthinge.net.http import Address
from carthinge.net.read_timeouts import READ_TIMEOUT

TIGHT = 64  # descriptors: after the reserve, ten slots for connections remain


def fill_slots(program, dial, partial=b""):
    """Connect five times as many clients as there are slots, silent or with a partial request."""
    clients = [dial(program).send(partial) for _ in range(5 * program.frontend.slots.max_connections)]
    run_until(program, lambda: len(program.frontend.slots) == program.frontend.slots.max_connections)
    return clients


@pytest.mark.parametrize("partial", [b"", b"GET /up HT"], ids=["silent", "partial request"])
def test_job_completes_despite_idle_clients(serve, dial, worker, partial):
    program = serve(sockets=TIGHT)
    set_workers(program, member("s-0", worker.port))
    fill_slots(program, dial, partial)
    advance_clock(program, program.config.site.connect_timeout)
    client = dial(program).send(job("a1"))
    peer = accept_next(worker, program)
    read_next(peer, program)
    peer.answer(202)
    advance_clock(program, program.config.site.connect_timeout)
    caller = dial(program).send(encode_callback("s-0", "a1", result="r"))
    assert read_next(caller, program)[0].split()[1] == "204"
    assert read_next(client, program)[2] == b"r"


def test_discovery_is_reached_despite_idle_clients(serve, dial):
    program = serve(sockets=TIGHT)
    fill_slots(program, dial)
    run_until(program, lambda: program.counters.watch_failures)  # it is down
    discovery = Listener()
    program.watch.set_address(Address("127.0.0.1", discovery.port))
    peer = accept_next(discovery, program)
    read_next(peer, program)
    peer.answer(200, json.dumps({"revision": 3, "complete": True, "members": []}).encode())
    assert "index=3&" in read_next(peer, program)[0]
    discovery.close()


def test_silent_clients_are_all_closed(serve, dial):
    program = serve(sockets=TIGHT)
    clients = fill_slots(program, dial)
    advance_clock(program, READ_TIMEOUT * 2)
    run_until(program, lambda: program.counters.connections_in == len(clients))
    advance_clock(program, READ_TIMEOUT * 2)
    run_until(program, lambda: len(program.frontend.slots) == 0)


def test_lower_process_limit_applies(make_program):
    """Guards against slots computed from the configured limit: accepting took the last descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = make_program(sockets=400)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, hard))
    try:
        limited = make_program(sockets=400)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert (
        limited.frontend.slots.max_connections + limited.worker_client.max_connections
        < 200
        < unlimited.frontend.slots.max_connections + unlimited.worker_client.max_connections
    )


def test_real_process_serves_despite_idle_clients(tmp_path):
    with World(tmp_path, sockets=128, settings=SETTINGS) as world:
        idle = [world.connect() for _ in range(300)]
        client = world.submit("a1")
        number, peer, _ = world.next_request()
        peer.answer(202)
        assert world.send_callback("a1", "done", number, result="r") == 204
        assert client.read()[2] == b"r" and len(idle) == 300
