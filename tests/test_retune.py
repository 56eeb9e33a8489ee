"""Settings that change at SIGHUP: taken whole, by name, or not at all."""

import copy
import json

import pytest
from helpers import SAFE, UNSAFE, arrival, of, outcome, settings, started
from world import SETTINGS, World, job, serve_next

from carthinge import interface as io

QUERY, REINDEX, CHARGE = SETTINGS["services"]


def changed(services=SETTINGS["services"], **caps):
    return {**SETTINGS, "services": services, "caps": {**SETTINGS["caps"], **caps}}


@pytest.fixture
def world(tmp_path):
    with World(tmp_path, workers=3) as started:
        yield started


def taken(world, given):
    before = world.metrics()["reloads_ok"]
    world.reload(given)
    world.wait_for_log("event=reloaded")
    while world.metrics()["reloads_ok"] == before:
        pass  # a metrics call is a turn


def test_a_class_that_is_added_serves_and_one_that_is_dropped_is_unknown_but_keeps_its_counts(world):
    client = world.submit("a1")
    serve_next(world, "a1")
    assert client.status() == 200
    taken(world, changed([{**QUERY, "name": "scan"}, REINDEX, CHARGE]))  # another class at the old position
    assert world.submit("a2").status() == 400
    client = world.submit("a3", kind="scan")
    serve_next(world, "a3")
    assert client.status() == 200
    assert world.metrics()["served"] == {"query": 1, "scan": 1, "reindex": 0, "charge": 0}


def test_an_open_job_keeps_the_class_it_came_with(world):
    """By position its class would now be one that may be repeated, and a charge would be made twice."""
    client = world.submit("a1", kind="charge")
    number, peer, _ = world.take()
    peer.answer(202)
    taken(world, changed([REINDEX, {**CHARGE, "effect": "read_like"}, QUERY]))
    world.tell("a1", "lost", number)
    assert client.status() == 502
    repeated = world.submit("a2", kind="charge")  # by its new effect
    number, peer, _ = world.take()
    peer.answer(202)
    world.tell("a2", "lost", number)
    serve_next(world, "a2")
    assert repeated.status() == 200


@pytest.mark.parametrize(("before", "after"), [(3, 1), (1, 3)])
def test_attempts_are_limited_by_the_settings_a_job_came_under_and_by_those_of_now(tmp_path, before, after):
    with World(tmp_path, workers=3, settings=changed(try_limit=before)) as world:
        client = world.submit("a1")
        number, peer, _ = world.take()
        peer.answer(202)
        taken(world, changed(try_limit=after))
        world.tell("a1", "lost", number)
        assert client.status() == 503
        client = world.submit("a2")
        for _ in range(after):
            number, peer, _ = world.take()
            peer.answer(202)
            world.tell("a2", "lost", number)
        assert client.status() == 503


def without(path):
    given = copy.deepcopy(SETTINGS)
    at = given
    *way, last = path
    for step in way:
        at = at[step]
    del at[last]
    return given


def with_class(**more):
    return changed([QUERY, REINDEX, {**CHARGE, **more}])


BROKEN = {
    "empty": "",
    "cut off": json.dumps({"settings": SETTINGS})[:-40],
    "no object": "[]",
    "no settings": {},
    "a class lacks its window": without(["services", 1, "window"]),
    "no attempts": without(["caps", "try_limit"]),
    "no cold time": without(["rules", "cold"]),
    "no tenants": without(["tenants"]),
    "no classes": changed([]),
    "a text for a number": with_class(value="1"),
    "a number for a flag": changed(cancel=1),
    "an unknown effect": with_class(effect="maybe"),
    "a deadline of zero": with_class(hard_limit=0),
    "a deadline below zero": with_class(hard_limit=-5),
    "a deadline of null": with_class(hard_limit=None),
    "a name twice": with_class(name="query"),
    "attempts of zero": changed(try_limit=0),
    "attempts below zero": changed(try_limit=-1),
    "attempts that are not finite": changed(try_limit="1e999"),  # written without its quotes
    "attempts that are no number": changed(try_limit=float("nan")),
    "true for a number": changed(try_limit=True),
    "a late worth below zero": with_class(late_worth=-1),
}


def test_what_is_broken_changes_nothing_and_the_program_serves_on(world):
    for count, (name, given) in enumerate(BROKEN.items(), 1):
        if not isinstance(given, str):
            given = json.dumps({**world.config, "settings": given}).replace('"1e999"', "1e999")
        world.reload(given)
        while world.metrics()["reloads_failed"] < count:
            assert world.metrics()["reloads_ok"] == 0, name
    client = world.submit("a1", kind="charge")
    number, peer, _ = world.take()
    peer.answer(202)
    world.tell("a1", "lost", number)
    assert client.status() == 502  # by the old effect
    assert world.connect().send(job("a2", kind="maybe")).status() == 400


# ---- the module ---------------------------------------------------------------------------------


def test_what_is_waiting_keeps_its_class_and_its_tenant_s_credit_goes_by_name():
    old = settings(SAFE, UNSAFE, tenants=(io.Tenant(0.5), io.Tenant(0.3), io.Tenant(0.2)), may_copy=False)
    gateway = started(old, 1, 2)
    ring = gateway.tenants.ring
    first, second, third = ring.queues
    second.deficit = 7.0
    gateway.fleet.workers[1].avoid_until = gateway.fleet.workers[2].avoid_until = 500
    gateway.handle(1, [arrival(1, 1, now=1, tenant=2)])
    assert third.head() is not None
    new = settings(SAFE, tenants=(io.Tenant(0.6), io.Tenant(0.4)), may_copy=False)
    gateway.handle(2, [io.Retune(new, [0], [1, -1])])
    assert ring.queues[0] is second and second.deficit == 0.0  # an empty class keeps no credit
    assert ring.queues[2] is third and first not in ring.queues  # until its job has left
    sends = of(io.Send, gateway.handle(300_000, []))
    assert [send.request for send in sends] == [1]
    final = gateway.handle(300_001, [outcome(1, 0, sends[0].worker, io.Result.RESET)])
    assert of(io.Fail, final) and not of(io.Send, final)  # its class may not be repeated
