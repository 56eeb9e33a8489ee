"""Settings that change at SIGHUP are applied by name and as a whole, or not at all."""

import copy
import json

import pytest
from helpers import SAFE, UNSAFE, arrival, make_dispatcher, only, outcome, settings
from world import SETTINGS, World, job, serve_next

from carthinge import interface as io

QUERY, REINDEX, CHARGE = SETTINGS["services"]


def changed_settings(services=SETTINGS["services"], **caps):
    return {**SETTINGS, "services": services, "caps": {**SETTINGS["caps"], **caps}}


@pytest.fixture
def world(tmp_path):
    with World(tmp_path, workers=3) as started:
        yield started


def reload_and_wait(world, changed):
    before = world.metrics()["reloads_ok"]
    world.reload(changed)
    world.wait_for_log("event=reloaded")
    while world.metrics()["reloads_ok"] == before:
        pass  # each metrics request is one turn of the loop


def test_added_class_serves_and_dropped_is_unknown(world):
    client = world.submit("a1")
    serve_next(world, "a1")
    assert client.status() == 200
    # a new class at the old position
    reload_and_wait(world, changed_settings([{**QUERY, "name": "scan"}, REINDEX, CHARGE]))
    assert world.submit("a2").status() == 400
    client = world.submit("a3", kind="scan")
    serve_next(world, "a3")
    assert client.status() == 200
    assert world.metrics()["served"] == {"query": 1, "scan": 1, "reindex": 0, "charge": 0}


def test_open_job_keeps_its_class(world):
    """By position its class would now be one that may be retried, and it would run twice."""
    client = world.submit("a1", kind="charge")
    number, peer, _ = world.next_request()
    peer.answer(202)
    reload_and_wait(world, changed_settings([REINDEX, {**CHARGE, "effect": "read_like"}, QUERY]))
    world.send_callback("a1", "lost", number)
    assert client.status() == 502
    repeated = world.submit("a2", kind="charge")  # by its new effect
    number, peer, _ = world.next_request()
    peer.answer(202)
    world.send_callback("a2", "lost", number)
    serve_next(world, "a2")
    assert repeated.status() == 200


@pytest.mark.parametrize(("before", "after"), [(3, 1), (1, 3)])
def test_lower_attempt_limit_applies(tmp_path, before, after):
    with World(tmp_path, workers=3, settings=changed_settings(try_limit=before)) as world:
        client = world.submit("a1")
        number, peer, _ = world.next_request()
        peer.answer(202)
        reload_and_wait(world, changed_settings(try_limit=after))
        world.send_callback("a1", "lost", number)
        assert client.status() == 503
        client = world.submit("a2")
        for _ in range(after):
            number, peer, _ = world.next_request()
            peer.answer(202)
            world.send_callback("a2", "lost", number)
        assert client.status() == 503


def settings_without(path):
    changed = copy.deepcopy(SETTINGS)
    at = changed
    *parents, last = path
    for step in parents:
        at = at[step]
    del at[last]
    return changed


def settings_with_class(**more):
    return changed_settings([QUERY, REINDEX, {**CHARGE, **more}])


INVALID = {
    "empty": "",
    "cut off": json.dumps({"settings": SETTINGS})[:-40],
    "no object": "[]",
    "no settings": {},
    "a class lacks its window": settings_without(["services", 1, "window"]),
    "no attempts": settings_without(["caps", "try_limit"]),
    "no cold time": settings_without(["rules", "cold"]),
    "no tenants": settings_without(["tenants"]),
    "no classes": changed_settings([]),
    "a text for a number": settings_with_class(value="1"),
    "a number for a flag": changed_settings(cancel=1),
    "an unknown effect": settings_with_class(effect="maybe"),
    "a deadline of zero": settings_with_class(hard_limit=0),
    "a deadline below zero": settings_with_class(hard_limit=-5),
    "a deadline of null": settings_with_class(hard_limit=None),
    "a name twice": settings_with_class(name="query"),
    "attempts of zero": changed_settings(try_limit=0),
    "attempts below zero": changed_settings(try_limit=-1),
    "attempts that are not finite": changed_settings(try_limit="1e999"),  # its quotes are removed below
    "attempts that are no number": changed_settings(try_limit=float("nan")),
    "true for a number": changed_settings(try_limit=True),
    "a late worth below zero": settings_with_class(late_worth=-1),
}


def test_invalid_settings_change_nothing(world):
    for count, (name, changed) in enumerate(INVALID.items(), 1):
        if not isinstance(changed, str):
            changed = json.dumps({**world.config, "settings": changed}).replace('"1e999"', "1e999")
        world.reload(changed)
        while world.metrics()["reloads_failed"] < count:
            assert world.metrics()["reloads_ok"] == 0, name
    client = world.submit("a1", kind="charge")
    number, peer, _ = world.next_request()
    peer.answer(202)
    world.send_callback("a1", "lost", number)
    assert client.status() == 502  # by the old effect
    assert world.connect().send(job("a2", kind="maybe")).status() == 400


# ---- the dispatcher ---------------------------------------------------------------------------------


def test_waiting_job_keeps_class_and_deficit():
    old = settings(SAFE, UNSAFE, tenants=(io.Tenant(0.5), io.Tenant(0.3), io.Tenant(0.2)), may_hedge=False)
    dispatcher = make_dispatcher(old, 1, 2)
    ring = dispatcher.tenants.ring
    first, second, third = ring.queues
    second.deficit = 7.0
    dispatcher.fleet.workers[1].avoid_until = dispatcher.fleet.workers[2].avoid_until = 500
    dispatcher.handle(1, [arrival(1, 1, now=1, tenant=2)])
    assert third.head() is not None
    new = settings(SAFE, tenants=(io.Tenant(0.6), io.Tenant(0.4)), may_hedge=False)
    dispatcher.handle(2, [io.SettingsChange(new, [0], [1, -1])])
    assert ring.queues[0] is second and second.deficit == 0.0  # an empty queue loses its deficit
    assert (
        ring.queues[2] is third and first not in ring.queues
    )  # a dropped queue stays until its job has left
    sends = only(io.Send, dispatcher.handle(300_000, []))
    assert [send.request for send in sends] == [1]
    final = dispatcher.handle(300_001, [outcome(1, 0, sends[0].worker, io.Result.RESET)])
    assert only(io.Fail, final) and not only(io.Send, final)  # its class may not be retried
