"""What was learned under one deployment's settings is not applied to another's, at SIGHUP or upgrade."""

import json
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import SAFE, UNSAFE, arrival, listing, make_dispatcher, only, outcome, settings
from in_process import accept_next, read_next, run_until, set_workers
from world import SETTINGS, Listener, World, job, member

from carthinge import interface as io
from carthinge.memory import export_memory
from carthinge.settings import SettingsTable, read_site

ROOT = Path(__file__).resolve().parent.parent
SHORT = replace(SAFE, objective=10_000, deadline=400_000)
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


def member_of_kind(name, port, kind):
    return {**member(name, port), "flavor": kind}


# ---- SIGHUP -------------------------------------------------------------------------------------


def trained_dispatcher():
    """Return a dispatcher that has served long jobs for a while, some of them late."""
    dispatcher = make_dispatcher(settings(SAFE, UNSAFE), 1, 2)
    for step in range(60):
        now = step * 400_000
        sends = only(io.Send, dispatcher.handle(now, [arrival(step, now=now, hint=900_000)]))
        for send in sends:
            dispatcher.handle(now + 1, [io.ProgressReport(step, 0, send.worker, begun=True)])
            dispatcher.handle(now + 350_000, [outcome(step, 0, send.worker, io.Result.OK)])
    assert dispatcher.context.mean_work > 200_000 and dispatcher.max_client_waits[0] > 4_000_000
    return dispatcher


def test_new_classes_reset_averages():
    """The averages of long jobs made timeouts and slow start wrong for short ones for minutes."""
    dispatcher, fresh = trained_dispatcher(), make_dispatcher(settings(SHORT, instances=40), 1, 2)
    dispatcher.handle(30_000_000, [io.SettingsChange(settings(SHORT, instances=40), [-1], [-1, -1])])
    context, timeouts = dispatcher.context, dispatcher.timeouts
    assert (
        context.mean_work == fresh.context.mean_work and dispatcher.max_client_waits == fresh.max_client_waits
    )
    assert (timeouts.patience, timeouts.run_patience, timeouts.prompt) == (
        fresh.timeouts.patience,
        fresh.timeouts.run_patience,
        fresh.timeouts.prompt,
    )
    assert context.shedding_level.tolerable_wait == fresh.context.shedding_level.tolerable_wait
    assert (
        context.retry_budget.max_retries == fresh.context.retry_budget.max_retries
        and context.retry_budget.retries_left <= context.retry_budget.max_retries
    )
    assert context.warm_worker_rate.per_s == context.served_rate.per_s == context.arrival_rate.per_s == 0


def test_averages_follow_class_names():
    dispatcher = trained_dispatcher()
    work, client_wait = dispatcher.context.mean_work, dispatcher.max_client_waits[0]
    dispatcher.handle(30_000_000, [io.SettingsChange(settings(UNSAFE, SAFE), [1, 0], [0, 1])])
    assert dispatcher.context.mean_work == work and dispatcher.max_client_waits == [0, client_wait]


def test_shorter_deadline_keeps_arrival_time():
    """With the old, longer wait of clients each new job counted as one that had waited already."""
    dispatcher = trained_dispatcher()
    short = replace(SAFE, deadline=800_000)
    now = 30_000_000
    dispatcher.handle(now, [io.SettingsChange(settings(short, UNSAFE), [0, 1], [0, 1])])
    for worker in dispatcher.fleet.workers.values():
        worker.avoid(now + 10**9)
    dispatcher.handle(now, [io.Arrival(900, 0, now + 800_000, hint=50_000)])
    assert dispatcher.jobs[900].came == now


def test_fleet_subset_follows_instance_count():
    many = settings(SAFE, instances=200, position=7, price_connection=0.02)
    dispatcher = make_dispatcher(settings(SAFE, instances=1, price_connection=0.02), *range(1, 101))
    assert len(dispatcher.fleet.subset) == 100
    dispatcher.handle(1, [io.SettingsChange(many, [0], [0, 1])])
    assert len(dispatcher.fleet.subset) < 100


def test_sighup_with_reordered_machine_kinds(serve, dial, worker):
    """Worker entries kept the old positions, and jobs went to machines that cannot run them."""
    program = serve(settings=MACHINES)
    press = Listener()
    set_workers(
        program,
        member_of_kind("s-plain", worker.port, "plain"),
        member_of_kind("s-press", press.port, "press"),
    )
    before = program.config.site
    site = read_site(SettingsTable.from_nested(SWAPPED))
    program._reload_config = lambda config: replace(config, site=site)
    program._reload()
    assert program.config.site is site is not before
    clients = [dial(program).send(job("a1", kind="reindex")), dial(program).send(job("a2", kind="query"))]
    assert read_next(accept_next(press, program), program)[1]["req-id"] == "a1"
    assert read_next(accept_next(worker, program), program)[1]["req-id"] == "a2"
    run_until(program, lambda: not program.tracker.events)
    for client in clients:
        client.close()
    press.close()


def test_kind_statistics_follow_kind_name():
    dispatcher = make_dispatcher(settings(SAFE, kinds=2))
    entries = [io.WorkerEntry(1, kind=0), io.WorkerEntry(2, kind=1)]
    dispatcher.handle(0, [listing(*entries)])
    dispatcher.fleet.kinds[0].slowdown, dispatcher.fleet.kinds[1].slowdown = 3.0, 0.5
    swapped = [replace(entry, kind=1 - entry.kind) for entry in entries]
    dispatcher.handle(
        1,
        [
            io.SettingsChange(settings(SAFE, kinds=2), [0], [0, 1], [1, 0]),
            listing(*swapped, kind=io.Listing.WHOLE),
        ],
    )
    assert dispatcher.fleet.kinds[1].slowdown == dispatcher.fleet.workers[1].kind_stats.slowdown == 3.0
    assert dispatcher.fleet.kinds[0].slowdown == dispatcher.fleet.workers[2].kind_stats.slowdown == 0.5


def test_returning_worker_may_change_kind():
    dispatcher = make_dispatcher(settings(SAFE, kinds=2))
    dispatcher.handle(0, [listing(io.WorkerEntry(1, kind=0), io.WorkerEntry(2, kind=1))])
    dispatcher.handle(1, [listing(io.WorkerEntry(1, kind=1, started=1), kind=io.Listing.CHANGES)])
    workers = dispatcher.fleet.workers
    assert workers[1].kind_stats is workers[2].kind_stats is dispatcher.fleet.kinds[1]


# ---- upgrades -----------------------------------------------------------------------------------


def test_memory_is_restored_by_name():
    """A deployment with the same number of classes was taken for the same one."""
    dispatcher = trained_dispatcher()
    memory = export_memory(dispatcher)
    swapped = make_dispatcher(settings(UNSAFE, SAFE))
    swapped.handle(30_000_000, [io.Inherit(memory, [1, 0], [1, 0], [0, 1])])
    assert swapped.max_client_waits == [memory.spans[1], memory.spans[0]]
    assert [bucket.level for bucket in swapped.tenants.quotas] == [memory.quotas[1][0], memory.quotas[0][0]]
    assert swapped.context.mean_work == dispatcher.context.mean_work
    other = make_dispatcher(settings(SHORT, SAFE))
    fresh = other.context.mean_work
    other.handle(30_000_000, [io.Inherit(memory, [-1, -1], [-1, -1], [-1, -1])])
    assert other.context.mean_work == fresh and other.max_client_waits == [0, 0]
    assert set(other.fleet.workers) == {1, 2}, "the machines are the same"


def test_upgrade_with_reordered_machine_kinds(tmp_path):
    with World(tmp_path, workers=2, settings=MACHINES, inherited_socket=True) as world:
        peer, _ = world.accept_watch()
        ports = [worker.port for worker in world.workers]
        members = [member_of_kind("s-0", ports[0], "plain"), member_of_kind("s-1", ports[1], "press")]
        peer.answer(200, json.dumps({"revision": 9, "complete": True, "members": members}).encode())
        peer.read()
        world.config_path.write_text(json.dumps({**world.config, "settings": SWAPPED}))
        old, _ = world.upgrade()
        old.terminate()
        assert old.wait(10) == 0
        for name, kind, number in (("a1", "reindex", 1), ("a2", "query", 0)):
            client = world.submit(name, kind=kind)
            at, peer, _ = world.next_request()
            assert at == number
            peer.answer(202)
            assert world.send_callback(name, "done", at, result="r") == 204
            assert client.status() == 200


# ---- the code -----------------------------------------------------------------------------------

SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_code_has_no_deployment_names(path):
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
