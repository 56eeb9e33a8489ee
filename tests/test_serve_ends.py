"""The real program as a process: exhausted file descriptors, and shutdown."""

import resource
import time

from world import SETTINGS, WAIT, World, job, serve_next

# ---- descriptors --------------------------------------------------------------------------------


def test_idle_clients_make_room_for_new_ones(tmp_path):
    with World(tmp_path, sockets=64) as world:
        idle = [world.connect() for _ in range(30)]
        assert world.submit("a1", kind="nothing").status() == 400
        assert idle[0].ended() and world.counters()["connections_in_closed_early"] > 0


def test_survives_file_descriptor_exhaustion(world):
    """The listener stays readable then: without a pause the loop would spin or the program crash."""
    held = [world.connect() for _ in range(20)]
    world.counters()  # all of them are accepted
    _, hard_limit = resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (8, hard_limit))
    late = world.submit("late")
    world.wait_for_log("accept_paused")
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    serve_next(world, "late")
    assert late.status() == 200 and len(held) == 20


# ---- shutdown -----------------------------------------------------------------------------------


def test_sigterm_answers_accepted_and_late_requests(tmp_path):
    with World(tmp_path, workers=2, settings={**SETTINGS, "instances": 2}) as world:
        check_orderly_shutdown(world)


def check_orderly_shutdown(world):
    """With other schedulers, clients are moved to them while accepted requests are served."""
    first = world.submit("a1")
    kept = world.connect()
    _, peer, _ = world.next_request()
    peer.answer(202)
    world.terminate()
    since = time.monotonic()
    world.wait_for_log("draining")
    assert world.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")[0].endswith("503 Service Unavailable")
    second = kept.send(job("a2"))
    other, _ = serve_next(world, "a2")
    assert "connection" not in second.read()[1]
    world.send_callback("a1", "done", 1 - other, result="r")
    assert first.status() == 200
    assert second.ended() and 2 < time.monotonic() - since < 3.3  # others may be restarting before
    assert world.process.wait(WAIT) == 0
    last = world.log().splitlines()[-1]
    assert "event=stopped" in last and "unanswered=0" in last and "served=2" in last


def test_lone_scheduler_serves_until_last_answers(world):
    """Its clients have no other scheduler; SIGKILL may come 3.7 s after SIGTERM."""
    client, late = world.connect(), world.connect()
    world.counters()  # both are accepted
    world.terminate()
    since = time.monotonic()
    world.wait_for_log("draining")
    while time.monotonic() < since + 1.2:  # longer than it would keep connections beside other schedulers
        first, headers, _ = client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").read()
        assert first.endswith("503 Service Unavailable") and "connection" not in headers
    client.send(job("a1"))
    serve_next(world, "a1")
    first, headers, _ = client.read()
    assert first == "HTTP/1.1 200 OK" and "connection" not in headers
    late.send(job("late", kind="reindex", deadline="9000m"))
    assert late.status() == 503 and 2 < time.monotonic() - since < 4.5  # in time, although no worker ran it
    assert world.process.wait(WAIT) == 0 and "unanswered=0" in world.log()
