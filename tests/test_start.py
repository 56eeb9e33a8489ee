"""The order of the startup steps, and its duration."""

import json
import time
from datetime import timedelta

from world import SETTINGS, World, member

from carthinge.scheduler import program as program_module


def test_start_waits_before_it_listens(make_program, monkeypatch):
    """With a CPU quota, the start uses it up, and clients that connect after the bind wait unread.

    Their deadlines run from their last byte: with seven in ten schedulers restarted, responses were late.
    """
    program = make_program()
    clock = program.loop.clock
    order, bind, select, current = [], program_module.bind, program.loop._selector.select, [clock.now()]

    def noted_bind(*arguments):
        order.append("bind")
        return bind(*arguments)

    def noted_select(timeout):
        order.append("wait" if timeout > 0 else "poll")
        current[0] += timedelta(seconds=timeout)  # only waits advance the time, however busy the machine is
        return select(0)

    monkeypatch.setattr(program_module, "bind", noted_bind)
    monkeypatch.setattr(clock, "now", lambda: current[0])
    monkeypatch.setattr(program.loop._selector, "select", noted_select, raising=False)
    program.upgrade.find_predecessor()
    order.append("begun")
    while "bind" not in order:
        program.loop.turn()
    assert order[:2] == ["begun", "wait"] and order[-1] == "bind"
    assert program.serving()  # nothing is left to do before it reads
    program.loop.turn(idle=False)
    assert order[-1] == "poll"


def test_repeated_restarts_are_ready_in_time(tmp_path):
    """Ten restarts, each with over a thousand listed workers and a silent discovery, within ten seconds."""
    with World(tmp_path, settings={**SETTINGS, "instances": 230}) as world:
        world.config["known"]["members"] += [
            {**member(f"s-far-{number}", 1), "host_port": f"127.9.{number // 250}.{number % 250 + 1}:9"}
            for number in range(1100)
        ]
        world.config_path.write_text(json.dumps(world.config))
        for _ in range(10):
            world.kill()
            started = time.monotonic()
            world.restart()
            assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("200 OK")
            assert time.monotonic() - started < 10
