"""Idle clients that fill the descriptors: discovery, workers and call-backs must still be reached."""

import json
import resource

import pytest
from faults import let_pass
from in_process import call_back, lists, reading, taken, turns
from world import SETTINGS, Listener, World, job, member

from carthinge.net.http import Address
from carthinge.net.read_timeouts import READ_TIMEOUT

TIGHT = 64  # descriptors: what is not kept back leaves slots for ten connections


def filled(program, dial, half=b""):
    """Clients by far more than there are slots, that say nothing or never end what they begin to say."""
    clients = [dial(program).send(half) for _ in range(5 * program.frontend.slots.most)]
    turns(program, lambda: len(program.frontend.slots) == program.frontend.slots.most)
    return clients


@pytest.mark.parametrize("half", [b"", b"GET /up HT"], ids=["silent", "half a request"])
def test_a_job_goes_its_whole_way_while_idle_clients_fill_the_descriptors(serve, dial, worker, half):
    program = serve(sockets=TIGHT)
    lists(program, member("s-0", worker.port))
    filled(program, dial, half)
    let_pass(program, program.config.site.connect_timeout)
    client = dial(program).send(job("a1"))
    peer = taken(worker, program)
    reading(peer, program)
    peer.answer(202)
    let_pass(program, program.config.site.connect_timeout)
    caller = dial(program).send(call_back("s-0", "a1", result="r"))
    assert reading(caller, program)[0].split()[1] == "204"
    assert reading(client, program)[2] == b"r"


def test_discovery_is_reached_when_it_is_back_while_idle_clients_fill_the_descriptors(serve, dial):
    program = serve(sockets=TIGHT)
    filled(program, dial)
    turns(program, lambda: program.counters.watch_failures)  # it is down
    discovery = Listener()
    program.watch.move(Address("127.0.0.1", discovery.port))
    peer = taken(discovery, program)
    reading(peer, program)
    peer.answer(200, json.dumps({"revision": 3, "complete": True, "members": []}).encode())
    assert "index=3&" in reading(peer, program)[0]
    discovery.close()


def test_those_that_say_nothing_leave_in_the_end(serve, dial):
    program = serve(sockets=TIGHT)
    clients = filled(program, dial)
    let_pass(program, READ_TIMEOUT * 2)
    turns(program, lambda: program.counters.connections_in == len(clients))
    let_pass(program, READ_TIMEOUT * 2)
    turns(program, lambda: len(program.frontend.slots) == 0)


def test_a_limit_of_the_process_that_is_lower_than_the_settings_one_counts(make_program):
    """ConnectionSlots were shared out by the number that was told: accepting took the last descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    told = make_program(sockets=400)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, hard))
    try:
        held = make_program(sockets=400)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert (
        held.frontend.slots.most + held.worker_client.most
        < 200
        < told.frontend.slots.most + told.worker_client.most
    )


def test_the_real_process_answers_beside_hundreds_of_idle_clients(tmp_path):
    with World(tmp_path, sockets=128, settings=SETTINGS) as world:
        idle = [world.connect() for _ in range(300)]
        client = world.submit("a1")
        number, peer, _ = world.take()
        peer.answer(202)
        assert world.tell("a1", "done", number, result="r") == 204
        assert client.read()[2] == b"r" and len(idle) == 300
