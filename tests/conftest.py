"""Fixtures: the scheduler as a process, or in the test process where the order within a turn matters."""

import contextlib
import json
import os
import socket

import hypothesis
import pytest
from durable_world import FILE
from in_process import run_until
from world import HOST, SETTINGS, Listener, Peer, World, free_port, member

from carthinge.net.config import load
from carthinge.scheduler.program import Program

pytest_plugins = ["known_red"]

hypothesis.settings.register_profile("everywhere", deadline=None)  # a busy machine must not fail a test
hypothesis.settings.register_profile(
    "gate", parent=hypothesis.settings.get_profile("everywhere"), derandomize=True
)  # CI runs the same examples each time, for the same verdict
hypothesis.settings.load_profile("gate" if os.environ.get("CI") else "everywhere")


@pytest.fixture
def world(tmp_path, request):
    """A scheduler with two workers, and the OPERATOR_FILE of the test's module, if it has one."""
    with World(tmp_path, workers=2, file=getattr(request.module, "OPERATOR_FILE", None)) as started:
        yield started


def unreachable_worker(name):
    """Return a worker that does not exist, at an address that no stub of another test can get."""
    return {**member(name, 0), "host_port": f"{HOST}:{free_port()}"}


@pytest.fixture
def make_program(tmp_path):
    """Create programs that have not started; the test runs their turns."""
    programs = []

    def make(sockets=1024, settings=SETTINGS, workers=1, file=None, inherited=None):
        path = tmp_path / f"config-{len(programs)}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{free_port()}",
                    "seed": "8c1f",
                    "discovery": f"{HOST}:{free_port()}",
                    "settings": settings,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                    "known": {
                        "revision": 7,
                        "complete": True,
                        "members": [unreachable_worker(f"s-{number}") for number in range(workers)],
                    },
                }
            )
        )
        environment = {"RELAY_CONFIG": str(path), **({"CARTHINGE_FILE": str(file)} if file else {})}
        if inherited is not None:
            environment["RELAY_FD"] = str(inherited.fileno())
        programs.append(Program(load(environment), lambda before: before))
        return programs[-1]

    yield make
    for program in programs:
        program.watch.stop()
        program.frontend.close()
        program.loop.close()


@pytest.fixture
def serve(make_program):
    """Create programs and run them until they serve."""

    def serve(**more):
        program = make_program(**more)
        program.upgrade.find_predecessor()
        while not program.serving():
            program.loop.turn()
        return program

    return serve


@pytest.fixture
def durable_program(make_program, tmp_path):
    """A program with a store of durable jobs, which serves; the test runs its turns."""
    file = tmp_path / "carthinge.toml"
    file.write_text(FILE.replace("{folder}", str(tmp_path / "store")))
    program = make_program(file=file, workers=1)
    program.upgrade.find_predecessor()
    run_until(program, lambda: program.serving() and program.durable.loaded)
    yield program
    program.durable.close()


@pytest.fixture
def dial():
    """Connect clients to a program in the test process."""
    with contextlib.ExitStack() as stack:

        def dial(program):
            listen = program.config.listen
            sock = stack.enter_context(socket.create_connection((listen.host, listen.port)))
            return Peer(sock)

        yield dial


@pytest.fixture
def worker():
    """A stub worker."""
    listener = Listener()
    yield listener
    listener.close()
