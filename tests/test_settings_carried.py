"""Nothing of one deployment's settings goes on under another's: after SIGHUP, an upgrade, in the code."""

import json
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import SAFE, UNSAFE, arrival, listing, of, outcome, settings, started
from in_process import lists, reading, taken, turns
from world import SETTINGS, Listener, World, job, member

from carthinge import interface as io
from carthinge.memory import memory_of
from carthinge.settings import Facts, read_site

ROOT = Path(__file__).resolve().parent.parent
QUICK = replace(SAFE, objective=10_000, deadline=400_000)
MACHINES = {
    **SETTINGS,
    "machine_types": ["plain", "press"],
    "extra": {**SETTINGS["extra"], "class_kind": [0, 1, -1]},
}
SWAPPED = {
    **SETTINGS,
    "machine_types": ["press", "plain"],
    "extra": {**SETTINGS["extra"], "class_kind": [1, 0, -1]},
}


def of_kind(name, port, kind):
    return {**member(name, port), "flavor": kind}


# ---- SIGHUP -------------------------------------------------------------------------------------


def learned():
    """A gateway that has served long jobs for a while, some of them late."""
    gateway = started(settings(SAFE, UNSAFE), 1, 2)
    for step in range(60):
        now = step * 400_000
        sends = of(io.Send, gateway.handle(now, [arrival(step, now=now, hint=900_000)]))
        for send in sends:
            gateway.handle(now + 1, [io.Note(step, 0, send.worker, begun=True)])
            gateway.handle(now + 350_000, [outcome(step, 0, send.worker, io.Result.OK)])
    assert gateway.context.mean_work > 200_000 and gateway.spans[0] > 4_000_000
    return gateway


def test_what_jobs_of_one_deployment_have_shown_says_nothing_of_another_s():
    """Long jobs' means had the short ones' patience and cold allowance wrong for minutes."""
    gateway, fresh = learned(), started(settings(QUICK, instances=40), 1, 2)
    gateway.handle(30_000_000, [io.Retune(settings(QUICK, instances=40), [-1], [-1, -1])])
    context, timeouts = gateway.context, gateway.timeouts
    assert context.mean_work == fresh.context.mean_work and gateway.spans == fresh.spans
    assert (timeouts.patience, timeouts.run_patience, timeouts.prompt) == (
        fresh.timeouts.patience,
        fresh.timeouts.run_patience,
        fresh.timeouts.prompt,
    )
    assert context.level.bearable == fresh.context.level.bearable
    assert context.budget.most == fresh.context.budget.most and context.budget.left <= context.budget.most
    assert context.carried.per_s == context.served.per_s == context.arrivals.per_s == 0


def test_a_class_that_goes_on_keeps_what_was_learned_by_its_name():
    gateway = learned()
    work, span = gateway.context.mean_work, gateway.spans[0]
    gateway.handle(30_000_000, [io.Retune(settings(UNSAFE, SAFE), [1, 0], [0, 1])])
    assert gateway.context.mean_work == work and gateway.spans == [0, span]


def test_a_deadline_that_becomes_shorter_makes_no_job_late_that_has_just_come():
    """Its clients were taken to wait as long as before, and each new job for one that had waited already."""
    gateway = learned()
    short = replace(SAFE, deadline=800_000)
    now = 30_000_000
    gateway.handle(now, [io.Retune(settings(short, UNSAFE), [0, 1], [0, 1])])
    for worker in gateway.fleet.workers.values():
        worker.avoid(now + 10**9)
    gateway.handle(now, [io.Arrival(900, 0, now + 800_000, hint=50_000)])
    assert gateway.jobs[900].came == now


def test_the_part_of_a_fleet_goes_by_the_number_of_schedulers_of_now():
    many = settings(SAFE, instances=200, position=7, price_connection=0.02)
    gateway = started(settings(SAFE, instances=1, price_connection=0.02), *range(1, 101))
    assert len(gateway.fleet.near) == 100
    gateway.handle(1, [io.Retune(many, [0], [0, 1])])
    assert len(gateway.fleet.near) < 100


def test_machine_kinds_that_change_places_at_sighup(serve, dial, worker):
    """Entries kept the old positions, and jobs went to machines that cannot run them."""
    program = serve(settings=MACHINES)
    press = Listener()
    lists(program, of_kind("s-plain", worker.port, "plain"), of_kind("s-press", press.port, "press"))
    before = program.config.site
    site = read_site(Facts.from_nested(SWAPPED))
    program._reload_config = lambda config: replace(config, site=site)
    program._reload()
    assert program.config.site is site is not before
    clients = [dial(program).send(job("a1", kind="reindex")), dial(program).send(job("a2", kind="query"))]
    assert reading(taken(press, program), program)[1]["req-id"] == "a1"
    assert reading(taken(worker, program), program)[1]["req-id"] == "a2"
    turns(program, lambda: not program.tracker.events)
    for client in clients:
        client.close()
    press.close()


def test_what_is_known_of_a_machine_kind_follows_its_name():
    gateway = started(settings(SAFE, kinds=2))
    entries = [io.WorkerEntry(1, kind=0), io.WorkerEntry(2, kind=1)]
    gateway.handle(0, [listing(*entries)])
    gateway.fleet.kinds[0].pace, gateway.fleet.kinds[1].pace = 3.0, 0.5
    swapped = [replace(entry, kind=1 - entry.kind) for entry in entries]
    gateway.handle(
        1, [io.Retune(settings(SAFE, kinds=2), [0], [0, 1], [1, 0]), listing(*swapped, kind=io.Listing.WHOLE)]
    )
    assert gateway.fleet.kinds[1].pace == gateway.fleet.workers[1].pool.pace == 3.0
    assert gateway.fleet.kinds[0].pace == gateway.fleet.workers[2].pool.pace == 0.5


def test_a_worker_that_comes_back_as_another_kind_of_machine_is_taken_for_one():
    gateway = started(settings(SAFE, kinds=2))
    gateway.handle(0, [listing(io.WorkerEntry(1, kind=0), io.WorkerEntry(2, kind=1))])
    gateway.handle(1, [listing(io.WorkerEntry(1, kind=1, started=1), kind=io.Listing.CHANGES)])
    workers = gateway.fleet.workers
    assert workers[1].pool is workers[2].pool is gateway.fleet.kinds[1]


# ---- upgrades -----------------------------------------------------------------------------------


def test_memory_goes_on_by_names_and_not_by_positions():
    """Another deployment with as many classes was taken for the same one."""
    gateway = learned()
    memory = memory_of(gateway)
    swapped = started(settings(UNSAFE, SAFE))
    swapped.handle(30_000_000, [io.Inherit(memory, [1, 0], [1, 0], [0, 1])])
    assert swapped.spans == [memory.spans[1], memory.spans[0]]
    assert [bucket.level for bucket in swapped.tenants.quotas] == [memory.quotas[1][0], memory.quotas[0][0]]
    assert swapped.context.mean_work == gateway.context.mean_work
    other = started(settings(QUICK, SAFE))
    fresh = other.context.mean_work
    other.handle(30_000_000, [io.Inherit(memory, [-1, -1], [-1, -1], [-1, -1])])
    assert other.context.mean_work == fresh and other.spans == [0, 0]
    assert set(other.fleet.workers) == {1, 2}, "the machines are the same"


def test_machine_kinds_that_change_places_at_an_upgrade(tmp_path):
    with World(tmp_path, workers=2, settings=MACHINES, held=True) as world:
        peer, _ = world.watched()
        ports = [worker.port for worker in world.workers]
        told = [of_kind("s-0", ports[0], "plain"), of_kind("s-1", ports[1], "press")]
        peer.answer(200, json.dumps({"revision": 9, "complete": True, "members": told}).encode())
        peer.read()
        world.config_path.write_text(json.dumps({**world.config, "settings": SWAPPED}))
        old, _ = world.upgrade()
        old.terminate()
        assert old.wait(10) == 0
        for name, kind, number in (("a1", "reindex", 1), ("a2", "query", 0)):
            client = world.submit(name, kind=kind)
            at, peer, _ = world.take()
            assert at == number
            peer.answer(202)
            assert world.tell(name, "done", at, result="r") == 204
            assert client.status() == 200


# ---- the code -----------------------------------------------------------------------------------

SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_no_name_of_a_deployment_is_in_the_code_or_in_the_deploy_file(path):
    site = tomllib.loads(path.read_text())
    names = {
        site["name"],
        *site["net"]["zones"],
        *(part["name"] for key in ("class", "tenant") for part in site[key]),
    }
    names |= {kind["name"] for tier in site["tier"] for kind in tier["kind"]}
    files = [*(ROOT / "carthinge").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]
    found = {name for name in names for file in files if name in file.read_text()}
    assert not found
