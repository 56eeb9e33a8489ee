"""The order of a start: what is open to clients, and when."""

import json
import socket

import pytest
from world import HOST, SETTINGS, free_port, member

from carthinge.net import program as net
from carthinge.net.config import load


@pytest.fixture
def program(tmp_path):
    """A program in this process that has not begun."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": f"{HOST}:{free_port()}", "seed": "8c1f",
        "discovery": f"127.0.0.1:{free_port()}",
        "known": {"revision": 7, "complete": True, "members": [member("s-0", free_port())]},
        "settings": SETTINGS}))
    started = net.Program(load({"RELAY_CONFIG": str(path)}), lambda before: before)
    yield started
    started.watch.stop()
    started.ingress.close()
    started.loop.close()


def test_it_listens_after_a_wait_so_that_what_the_start_took_is_paid_for_before(program, monkeypatch):
    """Where processor time is metered, clients that came in after the bind waited unread for as long.

    Their deadlines run from their last byte: with seven in ten schedulers restarted they were answered late.
    """
    order, bind, select = [], net.bind, program.loop._selector.select

    def noted_bind(*arguments):
        order.append("bind")
        return bind(*arguments)

    def noted_select(timeout):
        order.append("wait" if timeout > 0 else "poll")
        return select(timeout)

    monkeypatch.setattr(net, "bind", noted_bind)
    monkeypatch.setattr(program.loop._selector, "select", noted_select, raising=False)
    program.upgrade.find()
    order.append("begun")
    while "bind" not in order:
        program.loop.turn()
    assert order[:2] == ["begun", "wait"] and order[-1] == "bind"
    assert program.serving()  # and nothing is left to do before it reads
    program.loop.turn(idle=False)
    assert order[-1] == "poll"


def test_nothing_listens_while_it_is_put_together(program):
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((program.config.listen.host, program.config.listen.port))
