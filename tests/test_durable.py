"""Durable jobs as seen by clients and workers, and leases."""

import time

from durable_world import FILE, accept, get, put
from world import SETTINGS, World

OPERATOR_FILE = FILE  # of the fixture `world`


# ---- clients ------------------------------------------------------------------------------------


def test_async_job_result_is_polled(world):
    path = put(world, "a1")
    assert get(world, path, prefer="")[0] == 202
    number, req_id, token = accept(world)
    assert world.send_callback(req_id, "done", number, result="found") == 204
    status, body, headers = get(world, path)
    assert (status, body, headers["job-state"]) == (200, b"found", "served")
    assert world.metrics()["durable"]["open"] == 0


def test_waiting_get_is_answered_at_job_end(world):
    path = put(world, "a1")
    waiting = world.connect().send(f"GET {path} HTTP/1.1\r\nHost: x\r\nPrefer: wait=9\r\n\r\n".encode())
    short = get(world, path, prefer="wait=0")
    number, req_id, _ = accept(world)
    world.send_callback(req_id, "done", number, result="r")
    assert short[0] == 202 and waiting.read()[2] == b"r"


def test_job_without_prefer_is_answered_in_place(world):
    client = put(world, "a1", prefer=None)
    number, req_id, _ = accept(world)
    world.send_callback(req_id, "done", number, result="r")
    first, _, body = client.read()
    assert first == "HTTP/1.1 200 OK" and body == b"r"


def test_same_key_joins_job_or_gets_result(world):
    first = put(world, "a1", prefer=None)
    number, req_id, _ = accept(world)
    second = put(world, "a2", prefer=None)
    path = put(world, "a3")
    world.send_callback(req_id, "done", number, result="r")
    assert first.read()[2] == second.read()[2] == b"r"
    assert put(world, "a4", prefer=None).read()[2] == b"r"
    assert get(world, path)[1] == b"r"
    assert world.counters()["attempts_written"] == 1
    world.wait_for_log("key_found id=a4 ")
    assert world.log().count("durable_request_answered ") == 5


def test_same_key_with_other_body_is_422(world):
    put(world, "a1")
    assert put(world, "a2", prefer=None, body=b"other").status() == 422
    number, req_id, _ = accept(world)
    world.send_callback(req_id, "done", number, result="r")
    assert put(world, "a3", prefer=None, body=b"other").status() == 422


def test_async_with_wait_gets_result_in_time(world):
    client = put(world, "a1", prefer=None, Prefer="respond-async, wait=9")
    number, req_id, _ = accept(world)
    world.send_callback(req_id, "done", number, result="r")
    assert client.read()[2] == b"r"


def test_rejected_call_does_not_block_exit(world):
    assert get(world, "/v1/jobs/5-00", "PUT")[0] == 405
    world.terminate()
    assert world.process.wait(8) == 0


def test_keys_are_scoped_to_tenant_and_class(world):
    put(world, "a1")
    put(world, "a2", kind="charge")
    assert {accept(world)[1], accept(world)[1]} == {"a1", "a2"}


def test_unissued_job_names_are_404(world):
    path = put(world, "a1")
    assert get(world, "/v1/jobs/5-00112233445566778899aabb")[0] == 404
    assert get(world, path[:-1] + ("0" if path[-1] != "0" else "1"))[0] == 404
    assert get(world, "/v1/jobs/nonsense")[0] == 404


def test_results_are_deleted_after_retention(tmp_path):
    with World(tmp_path, file=FILE.replace("[leases]", "keep_results = 1\n[leases]")) as world:
        path = put(world, "a1")
        number, req_id, _ = accept(world)
        world.send_callback(req_id, "done", number, result="r")
        until = time.monotonic() + 8
        while (status := get(world, path)[0]) == 200:
            assert time.monotonic() < until
            time.sleep(0.05)  # polls: only the answer shows that it is deleted
        assert status == 410


def test_given_up_job_is_withdrawn_from_worker(world):
    path = put(world, "a1")
    accept(world)
    assert get(world, path, "DELETE")[0] == 204
    assert world.next_request()[2][0].startswith("DELETE /jobs/a1")
    assert get(world, path)[0] == 410
    assert get(world, path, "DELETE")[0] == 204
    world.kill()
    world.restart()
    assert get(world, path)[0] == 410


def test_deleting_ended_job_is_409_and_put_405(world):
    path = put(world, "a1")
    number, req_id, _ = accept(world)
    world.send_callback(req_id, "done", number, result="r")
    assert get(world, path, "DELETE")[0] == 409
    assert get(world, path, "PUT")[0] == 405


def test_client_disconnect_does_not_end_job(world):
    put(world, "a1", prefer=None).close()
    number, req_id, _ = accept(world)
    world.send_callback(req_id, "done", number, result="r")
    assert put(world, "a2", prefer=None).read()[2] == b"r"


def test_joining_client_is_answered_by_its_deadline(world):
    put(world, "a1")
    accept(world)
    began = time.monotonic()
    assert put(world, "a2", prefer=None, deadline="300m").status() == 504
    assert time.monotonic() - began < 0.31


def test_prefer_is_ignored_for_other_classes(world):
    client = world.submit("a1", Prefer="respond-async")
    number, peer, (_, headers, _) = world.next_request()
    assert "lease-token" not in headers
    peer.answer(202)
    world.send_callback("a1", "done", number, result="r")
    assert client.status() == 200


def test_job_over_open_limit_is_shed_and_key_freed(tmp_path):
    file = FILE.replace("[leases]", "max_open = 3\nmax_open_per_tenant = 2\n[leases]")
    with World(tmp_path, file=file, workers=2) as world:
        put(world, "a1")
        put(world, "a2", key="k2")
        first, headers, body = put(world, "a3", key="k3", prefer=None).read()
        assert first.split()[1] == "503" and float(headers["retry-after"]) == 1.0 and b"tenant" in body
        number, req_id, _ = accept(world)
        world.send_callback(req_id, "done", number, result="r")
        put(world, "a4", key="k3")
        assert world.metrics()["durable"]["shed"]["tenant"] == 1


# ---- leases -------------------------------------------------------------------------------------


def test_expired_lease_moves_job_to_other_worker(world):
    path = put(world, "a1")
    first, req_id, token = accept(world)
    withdrawal = world.next_request()
    assert withdrawal[0] == first and withdrawal[2][0].startswith("DELETE /jobs/a1")
    withdrawal[1].answer(200)
    second, _, later = accept(world)
    assert second != first and later > token
    assert world.send_callback(req_id, "done", first, result="late", token=token) == 409
    assert world.send_callback(req_id, "heartbeat", first, token=token) == 409
    assert world.send_callback(req_id, "done", second, result="r", token=later) == 204
    assert get(world, path)[1] == b"r"
    figures = world.metrics()["durable"]
    assert figures["leases_expired"] == 1 and figures["stale_calls"] == 2


def test_heartbeats_renew_lease(world):
    path = put(world, "a1")
    number, req_id, token = accept(world)
    until = time.monotonic() + 1.2  # three times the lease duration
    while time.monotonic() < until:
        assert world.send_callback(req_id, "heartbeat", number, token=token) == 204
        time.sleep(0.1)  # the worker's heartbeat interval
    assert world.send_callback(req_id, "done", number, result="r", token=token) == 204
    assert get(world, path)[1] == b"r" and world.metrics()["durable"]["leases_expired"] == 0


def test_late_result_counts_while_no_attempt_is_open(tmp_path):
    long_limits = {"objective": 60_000_000, "hard_limit": 600_000_000}
    patient_services = [{**service, **long_limits} for service in SETTINGS["services"]]
    with World(tmp_path, file=FILE, workers=2, settings={**SETTINGS, "services": patient_services}) as world:
        paths = [put(world, f"a{step}", key=f"k{step}", deadline="300000m") for step in range(8)]
        # Both workers are full, and the long objective keeps silent attempts open.
        taken = [world.next_request() for _ in paths]
        number, peer, (_, headers, _) = taken[0]
        late, token = headers["req-id"], int(headers["lease-token"])
        for worker, other, (_, other_headers, _) in taken[1:]:
            other.answer(202)
            assert world.send_callback(other_headers["req-id"], "started", worker) == 204
        peer.answer(202, Lease_Token=token)
        _, peer, (line, _, _) = world.next_request()
        assert line.startswith(f"DELETE /jobs/{late} ")  # its lease has expired
        peer.answer(200)
        world.wait_for_log(f"attempt_ended id={late} ")
        assert world.send_callback(late, "done", number, result="late", token=token) == 204
        assert get(world, paths[int(late[1:])])[1] == b"late"
        assert world.metrics()["durable"]["late_results"] == 1


def test_workers_without_leases_keep_their_jobs(world):
    path = put(world, "a1")
    number, req_id, _ = accept(world, takes_part=False)
    assert get(world, path, prefer="wait=1")[0] == 202  # more than twice the lease duration
    assert world.send_callback(req_id, "done", number, result="r") == 204
    assert get(world, path)[1] == b"r"
