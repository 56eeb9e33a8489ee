"""The order of a start: what is open to clients, and when."""

import json
import time
from datetime import timedelta

from world import SETTINGS, World, member

from carthinge.scheduler import program as net


def test_it_listens_after_a_wait_so_that_what_the_start_took_is_paid_for_before(make_program, monkeypatch):
    """Where processor time is metered, clients that came in after the bind waited unread for as long.

    Their deadlines run from their last byte: with seven in ten schedulers restarted they were answered late.
    """
    program = make_program()
    clock = program.loop.clock
    order, bind, select, time = [], net.bind, program.loop._selector.select, [clock.now()]

    def noted_bind(*arguments):
        order.append("bind")
        return bind(*arguments)

    def noted_select(timeout):
        order.append("wait" if timeout > 0 else "poll")
        time[0] += timedelta(seconds=timeout)  # time goes on by waits alone, however busy the machine is
        return select(0)

    monkeypatch.setattr(net, "bind", noted_bind)
    monkeypatch.setattr(clock, "now", lambda: time[0])
    monkeypatch.setattr(program.loop._selector, "select", noted_select, raising=False)
    program.upgrade.find()
    order.append("begun")
    while "bind" not in order:
        program.loop.turn()
    assert order[:2] == ["begun", "wait"] and order[-1] == "bind"
    assert program.serving()  # and nothing is left to do before it reads
    program.loop.turn(idle=False)
    assert order[-1] == "poll"


def test_ten_restarts_in_a_row_are_ready_within_ten_seconds_each(tmp_path):
    """With a list of over a thousand workers and a discovery that says nothing."""
    with World(tmp_path, settings={**SETTINGS, "instances": 230}) as world:
        world.config["known"]["members"] += [
            {**member(f"s-far-{number}", 1), "host_port": f"127.9.{number // 250}.{number % 250 + 1}:9"}
            for number in range(1100)
        ]
        world.config_path.write_text(json.dumps(world.config))
        for _ in range(10):
            world.kill()
            began = time.monotonic()
            world.restart()
            assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("200 OK")
            assert time.monotonic() - began < 10
