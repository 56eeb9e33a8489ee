"""The real program as a process: descriptors that run out, and its end."""

import resource
import time

from world import SETTINGS, WAIT, World, job, serve_next

# ---- descriptors --------------------------------------------------------------------------------


def test_idle_clients_make_room_for_new_ones(tmp_path):
    with World(tmp_path, sockets=64) as world:
        idle = [world.connect() for _ in range(30)]
        assert world.submit("a1", kind="nothing").status() == 400
        assert idle[0].ended() and world.counters()["connections_in_closed_early"] > 0


def test_it_survives_the_last_descriptor(world):
    """The listener stays ready then: without a pause the loop would spin, or the program die."""
    held = [world.connect() for _ in range(20)]
    world.counters()  # all of them are accepted
    _, most = resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (8, most))
    late = world.submit("late")
    world.wait_for_log("accept_paused")
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (most, most))
    serve_next(world, "late")
    assert late.status() == 200 and len(held) == 20


# ---- the end of the program ---------------------------------------------------------------------


def test_sigterm_answers_all_that_is_taken_and_what_still_arrives(tmp_path):
    with World(tmp_path, workers=2, settings={**SETTINGS, "instances": 2}) as world:
        ended_in_order(world)


def ended_in_order(world):
    """Where there are other schedulers, clients are made to turn to them while those here are served."""
    first = world.submit("a1")
    kept = world.connect()
    _, peer, _ = world.take()
    peer.answer(202)
    world.terminate()
    since = time.monotonic()
    world.wait_for_log("draining")
    assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("503 Service Unavailable")
    second = kept.send(job("a2"))
    other, _ = serve_next(world, "a2")
    assert "connection" not in second.read()[1]
    world.tell("a1", "done", 1 - other, result="r")
    assert first.status() == 200
    assert second.ended() and 2 < time.monotonic() - since < 3.3  # until then: others may be restarting
    assert world.process.wait(WAIT) == 0
    last = world.log().splitlines()[-1]
    assert "event=stopped" in last and "unanswered=0" in last and "served=2" in last


def test_a_lone_scheduler_serves_kept_connections_while_there_is_time_and_answers_all(world):
    """Its clients have nobody else; SIGKILL may come 3.7 s after SIGTERM."""
    client, late = world.connect(), world.connect()
    world.counters()  # both are accepted
    world.terminate()
    since = time.monotonic()
    world.wait_for_log("draining")
    while time.monotonic() < since + 1.2:  # past the time for which others would keep connections
        first, headers, _ = client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").read()
        assert first.endswith("503 Service Unavailable") and "connection" not in headers
    client.send(job("a1"))
    serve_next(world, "a1")
    first, headers, _ = client.read()
    assert first == "HTTP/1.1 200 OK" and "connection" not in headers
    late.send(job("late", kind="reindex", deadline="9000m"))
    assert late.status() == 503 and 2 < time.monotonic() - since < 4.5  # in time, though nobody ran it
    assert world.process.wait(WAIT) == 0 and "unanswered=0" in world.log()
