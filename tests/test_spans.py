"""Spans and figures that follow the settings: right where these are ten times smaller or larger, too."""

import json
import time
from datetime import timedelta

import pytest
from durable_world import FILE, locked, put
from world import SETTINGS, World

from carthinge.net.load import read_load
from carthinge.net.tracked_request import Job, Terms
from carthinge.settings import Facts, read_site

MS = timedelta(milliseconds=1)


def site(caps=None, **more):
    return {**SETTINGS, "caps": {**SETTINGS["caps"], **(caps or {})}, **more}


def short(deadline):
    return site(services=[{**spec, "hard_limit": deadline} for spec in SETTINGS["services"]])


@pytest.mark.parametrize(("patience", "margin"), [(100 * MS, 5 * MS), (25_000 * MS, 10 * MS)])
def test_a_short_patience_is_not_eaten_up_by_the_margin_for_the_answer(serve, patience, margin):
    program = serve()
    tracked = program.tracker.take(Job("a1", b"/api", b""), Terms(0, "query", 0, "acme", patience), None)
    assert program.loop.now + patience - tracked.give_up == margin


def test_a_drain_leaves_time_for_answers_where_all_deadlines_are_short(serve):
    program = serve(settings=short(200_000))
    program._drain()
    drain = program.frontend.draining
    assert drain.arriving_until < drain.answered_by < program.loop.now + 900 * MS  # when SIGKILL may come


def test_a_withdrawal_is_on_its_way_for_as_long_as_the_network_may_take(tmp_path):
    with World(tmp_path, workers=2, settings=site({"dial_timeout": 2_500_000})) as world:
        world.submit("a1")
        _, peer, _ = world.take()
        peer.answer(202)
        assert peer.read()[0].startswith("DELETE")  # and no answer to it comes
        since = time.monotonic()
        assert world.take()[2][0].startswith("POST") and time.monotonic() - since > 0.5


def test_on_a_fast_network_a_late_202_is_not_waited_for_as_on_a_slow_one(tmp_path):
    with World(tmp_path, settings=site({"dial_timeout": 25_000})) as world:
        world.submit("a1")
        number, peer, _ = world.take()
        world.tell("a1", "done", number)
        since = time.monotonic()
        assert peer.ended() and time.monotonic() - since < 1.5


def test_a_durable_job_whose_client_is_hasty_is_shed_before_that_leaves(tmp_path):
    with World(tmp_path, workers=2, file=FILE) as world:
        stuck = locked(world)
        put(world, "a0", prefer=None)  # one with more time does not make it wait
        began = time.monotonic()
        first, _, _ = world.submit("a1", kind="reindex", deadline="400m", Prefer="respond-async").read()
        assert first.split()[1] == "503" and time.monotonic() - began < 0.4
        stuck.rollback()


@pytest.mark.parametrize(("advises", "most"), [(True, 2_000 * MS), (False, timedelta())])
def test_clients_are_told_to_stay_away_only_where_the_settings_let_them(advises, most):
    assert read_site(Facts.from_nested(site({"retry_after": advises}))).max_retry_after == most


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
def test_the_free_slots_of_a_report_count_whatever_else_is_in_it(serve, raw, report):
    program = serve(settings=site(load_info={"how": "inline", "fields": ["queue", "x0"]}))
    assert program.worker_client.report(read_load(raw)) == report


def test_a_call_back_counts_though_its_report_has_gaps(tmp_path):
    with World(tmp_path) as world:
        client = world.submit("a1")
        number, peer, _ = world.take()
        peer.answer(202)
        assert world.tell("a1", "done", number, load={"util": None, "x0": 1.0}) == 204
        assert client.status() == 200


PROBED = {"load_info": {"how": "on_probe", "fields": ["x0"]}, "prices": {"probe": 0.002}}


@pytest.mark.parametrize("free", [4.0, None])
def test_a_probe_is_carried_out_and_its_answer_or_silence_decides(tmp_path, free):
    """Nobody did: where probes were wanted the program ended with the first job."""
    with World(tmp_path, settings=site({"probing": True, "peers": True}, **PROBED)) as world:
        world.submit("a1")
        _, peer, (line, _, _) = world.take()
        assert line == "GET /metrics/load HTTP/1.1"
        if free is not None:
            peer.answer(200, json.dumps({"x0": free}).encode())
        while world.take()[2][0].startswith("GET"):
            pass


# ---- two attempts out ---------------------------------------------------------------------------


def copied(world):
    """A job that the first worker is silent about and the second has got a copy of."""
    client = world.submit("a1")
    first, peer, _ = world.take()
    peer.answer(202)
    second, peer, _ = world.take()
    assert second == 1 - first and world.counters()["attempts"] == 2
    return client, first, second, peer


def test_the_result_of_a_second_copy_is_the_job_s_and_the_first_is_withdrawn(tmp_path):
    """What the copy's worker told was held against the first attempt, and dropped as stale."""
    with World(tmp_path, workers=2, settings=site({"second_copies": True})) as world:
        client, first, second, peer = copied(world)
        peer.answer(202)
        assert world.tell("a1", "done", second, result="of the copy") == 204
        assert client.read()[2] == b"of the copy"
        at, _, (line, _, _) = world.take()
        assert (at, line) == (first, "DELETE /jobs/a1 HTTP/1.1")


def test_a_job_moves_to_the_next_process_only_once_all_its_attempts_are_at_rest(tmp_path):
    settings = site({"second_copies": True, "try_limit": 2})
    with World(tmp_path, workers=2, settings=settings, held=True) as world:
        client, first, second, peer = copied(world)
        world.upgrade()
        peer.answer(503, Srv_Declined="1")  # which only the process that has sent it hears
        since = time.monotonic()
        assert world.tell("a1", "failed", first) == 204
        assert client.status() == 503 and time.monotonic() - since < 2  # all tries are over
