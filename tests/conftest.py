"""The real program as a process; or within the test's own, for what depends on the order within a turn."""

import contextlib
import json
import os
import socket

import hypothesis
import pytest
from world import HOST, SETTINGS, Listener, Peer, World, free_port, member

from carthinge.net.config import load
from carthinge.scheduler.program import Program

pytest_plugins = ["known_red"]

hypothesis.settings.register_profile("everywhere", deadline=None)  # how busy the machine is says nothing
hypothesis.settings.register_profile(
    "gate", parent=hypothesis.settings.get_profile("everywhere"), derandomize=True
)  # there the same examples each time: the same verdict
hypothesis.settings.load_profile("gate" if os.environ.get("CI") else "everywhere")


@pytest.fixture
def world(tmp_path, request):
    """A scheduler with two workers, and the operator's file that the test's module names, if it does."""
    with World(tmp_path, workers=2, file=getattr(request.module, "OPERATOR_FILE", None)) as started:
        yield started


def nowhere(name):
    """A worker that is not there, at an address where no other test's stub can be taken for it."""
    return {**member(name, 0), "host_port": f"{HOST}:{free_port()}"}


@pytest.fixture
def make_program(tmp_path):
    """Programs that have not begun; the test makes their turns."""
    made = []

    def make(sockets=1024, settings=SETTINGS, workers=1, file=None):
        path = tmp_path / f"config-{len(made)}.json"
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
                        "members": [nowhere(f"s-{number}") for number in range(workers)],
                    },
                }
            )
        )
        environment = {"RELAY_CONFIG": str(path), **({"CARTHINGE_FILE": str(file)} if file else {})}
        made.append(Program(load(environment), lambda before: before))
        return made[-1]

    yield make
    for program in made:
        program.watch.stop()
        program.frontend.close()
        program.loop.close()


@pytest.fixture
def serve(make_program):
    """The same, serving."""

    def serve(**more):
        program = make_program(**more)
        program.upgrade.find_predecessor()
        while not program.serving():
            program.loop.turn()
        return program

    return serve


@pytest.fixture
def dial():
    """A client that connects to a program of the test's own process."""
    with contextlib.ExitStack() as opened:

        def dial(program):
            listen = program.config.listen
            sock = opened.enter_context(socket.create_connection((listen.host, listen.port)))
            return Peer(sock)

        yield dial


@pytest.fixture
def worker():
    """A stub worker."""
    listener = Listener()
    yield listener
    listener.close()
