"""Timeouts and values derived from the settings, also with settings ten times smaller or larger."""

import json
import time
from datetime import timedelta

import pytest
from durable_world import FILE, lock_store, put
from world import SETTINGS, World

from carthinge.net.load import read_load
from carthinge.net.tracked_request import Job, Terms
from carthinge.settings import SettingsTable, read_site

MS = timedelta(milliseconds=1)


def site(caps=None, **more):
    return {**SETTINGS, "caps": {**SETTINGS["caps"], **(caps or {})}, **more}


def site_with_deadline(deadline):
    return site(services=[{**spec, "hard_limit": deadline} for spec in SETTINGS["services"]])


@pytest.mark.parametrize(("timeout", "margin"), [(100 * MS, 5 * MS), (25_000 * MS, 10 * MS)])
def test_answer_margin_scales_with_client_timeout(serve, timeout, margin):
    program = serve()
    tracked = program.tracker.take(Job("a1", b"/api", b""), Terms(0, "query", 0, "acme", timeout), None)
    assert program.loop.now + timeout - tracked.give_up == margin


def test_drain_with_short_deadlines_leaves_answer_time(serve):
    program = serve(settings=site_with_deadline(200_000))
    program._drain()
    drain = program.frontend.draining
    assert drain.arriving_until < drain.answered_by < program.loop.now + 900 * MS  # SIGKILL may follow then


def test_withdrawal_waits_for_dial_timeout(tmp_path):
    with World(tmp_path, workers=2, settings=site({"dial_timeout": 2_500_000})) as world:
        world.submit("a1")
        _, peer, _ = world.next_request()
        peer.answer(202)
        assert peer.read()[0].startswith("DELETE")  # which is not answered
        since = time.monotonic()
        assert world.next_request()[2][0].startswith("POST") and time.monotonic() - since > 0.5


def test_fast_network_shortens_wait_for_202(tmp_path):
    with World(tmp_path, settings=site({"dial_timeout": 25_000})) as world:
        world.submit("a1")
        number, peer, _ = world.next_request()
        world.send_callback("a1", "done", number)
        since = time.monotonic()
        assert peer.ended() and time.monotonic() - since < 1.5


def test_durable_job_shed_before_client_timeout(tmp_path):
    with World(tmp_path, workers=2, file=FILE) as world:
        stuck = lock_store(world)
        put(world, "a0", prefer=None)  # a job with a later deadline does not delay it
        began = time.monotonic()
        first, _, _ = world.submit("a1", kind="reindex", deadline="400m", Prefer="respond-async").read()
        assert first.split()[1] == "503" and time.monotonic() - began < 0.4
        stuck.rollback()


@pytest.mark.parametrize(("allowed", "limit"), [(True, 2_000 * MS), (False, timedelta())])
def test_retry_after_only_where_settings_allow(allowed, limit):
    assert read_site(SettingsTable.from_nested(site({"retry_after": allowed}))).max_retry_after == limit


# ---- load reports and probes --------------------------------------------------------------------


@pytest.mark.parametrize(
    ("raw", "report"),
    [
        (b"queue=3,x0=2", (3.0, 2.0)),
        (b"x0=2", (0.0, 2.0)),
        (b"queue=3", ()),
        (b"", ()),
        (b"x0=nan", ()),
        (b"queue=,x0 = 2,,", (0.0, 2.0)),
        (b'{"queue":null,"x0":2}', (0.0, 2.0)),
        (b'{"x0"', ()),
    ],
)
def test_free_slots_read_from_any_report(serve, raw, report):
    program = serve(settings=site(load_info={"how": "inline", "fields": ["queue", "x0"]}))
    assert program.worker_client.load_report(read_load(raw)) == report


def test_callback_accepted_with_partial_report(tmp_path):
    with World(tmp_path) as world:
        client = world.submit("a1")
        number, peer, _ = world.next_request()
        peer.answer(202)
        assert world.send_callback("a1", "done", number, load={"util": None, "x0": 1.0}) == 204
        assert client.status() == 200


PROBED = {"load_info": {"how": "on_probe", "fields": ["x0"]}, "prices": {"probe": 0.002}}


@pytest.mark.parametrize("free", [4.0, None])
def test_probe_sent_and_decides_by_result(tmp_path, free):
    """Nothing carried the probe out: with probing enabled the program ended at the first job."""
    with World(tmp_path, settings=site({"probing": True, "peers": True}, **PROBED)) as world:
        world.submit("a1")
        _, peer, (line, _, _) = world.next_request()
        assert line == "GET /metrics/load HTTP/1.1"
        if free is not None:
            peer.answer(200, json.dumps({"x0": free}).encode())
        while world.next_request()[2][0].startswith("GET"):
            pass


# ---- two open attempts --------------------------------------------------------------------------


def submit_hedged(world):
    """Submit a job; the first worker stays silent, and the second gets a copy."""
    client = world.submit("a1")
    first, peer, _ = world.next_request()
    peer.answer(202)
    second, peer, _ = world.next_request()
    assert second == 1 - first and world.counters()["attempts"] == 2
    return client, first, second, peer


def test_hedge_result_wins_and_first_is_withdrawn(tmp_path):
    """The callback of the copy's worker was matched to the first attempt and dropped as stale."""
    with World(tmp_path, workers=2, settings=site({"second_copies": True})) as world:
        client, first, second, peer = submit_hedged(world)
        peer.answer(202)
        assert world.send_callback("a1", "done", second, result="of the copy") == 204
        assert client.read()[2] == b"of the copy"
        at, _, (line, _, _) = world.next_request()
        assert (at, line) == (first, "DELETE /jobs/a1 HTTP/1.1")


def test_handover_waits_for_all_attempts(tmp_path):
    settings = site({"second_copies": True, "try_limit": 2})
    with World(tmp_path, workers=2, settings=settings, inherited_socket=True) as world:
        client, first, second, peer = submit_hedged(world)
        world.upgrade()
        peer.answer(503, Srv_Declined="1")  # only the process that has sent it receives this
        since = time.monotonic()
        assert world.send_callback("a1", "failed", first) == 204
        assert client.status() == 503 and time.monotonic() - since < 2  # no attempt is left
