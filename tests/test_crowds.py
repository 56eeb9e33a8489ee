"""A scheduler with the limits of incident 81aa6e beside crowds of hostile clients.

By hand, from the root: ``PYTHONPATH=tests:. python -m crowd.bench stop_in_fields:300:5``.
"""

from statistics import median

import pytest
from crowd.bench import MEMORY_MB, MemoryMeter, crowded_world, run
from crowd.clients import ALL_CROWDS
from durable_world import FILE
from world import job

CLIENTS = 300  # more than the slots that the descriptors of the run give
SECONDS = 4.0
UPGRADE_MEMORY_MB, UPGRADE_SOCKETS = 64, 1024  # limits of a review case
BAD_CLIENT_LIMIT = 3.0  # seconds, from the acceptance rules: an error or a close
MAX_ANSWER_TIME = 5.5  # seconds: the probing client's deadline, and the half second after which it is lost
OBJECTIVE = 0.3  # seconds, of the probing client's class
FLOODS = ("blast_up", "blast_unsound", "blast_jobs", "blast_callbacks", "stop_in_fields")


def check(report):
    assert report.peak_mb <= MEMORY_MB
    assert report.crowd["longest_wait"] <= BAD_CLIENT_LIMIT + report.crowd["slowest_turn"]
    assert "none" not in report.answers, "a client got no answer"
    assert max(report.latencies) <= MAX_ANSWER_TIME
    assert report.counters["invariants_violated"] == 0
    assert not report.copies


@pytest.mark.parametrize("kind", [*ALL_CROWDS, "mixed"])
def test_crowd_keeps_process_within_memory_limit(kind, tmp_path):
    check(run(tmp_path, kind, CLIENTS, SECONDS))


def test_clients_that_leave_silent_workers_fit_memory_limit(tmp_path):
    report = run(tmp_path, "send_and_leave", 20, SECONDS, behaviour="silent")
    assert report.peak_mb <= MEMORY_MB


@pytest.mark.parametrize("kind", ["send_ahead", "stop_in_body", "wait_for_job", "send_and_leave"])
def test_upgrade_beside_crowd_keeps_both_processes_within_limit(kind, tmp_path):
    """Guards against an upgrade whose two processes together pass the limit that each of them keeps to."""
    limits = {"memory_mb": UPGRADE_MEMORY_MB, "sockets": UPGRADE_SOCKETS}
    report = run(tmp_path, kind, 250, 2 * SECONDS, upgrade_after=SECONDS, **limits)
    assert report.peak_together_mb <= UPGRADE_MEMORY_MB
    assert "none" not in report.answers, "a client got no answer"
    assert report.counters["invariants_violated"] == 0


def test_upgrade_with_many_durable_jobs_keeps_both_processes_within_limit(tmp_path):
    """Guards against open durable jobs that leave no room for the new process."""
    limits = {"memory_mb": UPGRADE_MEMORY_MB, "sockets": UPGRADE_SOCKETS, "inherited_socket": True}
    with crowded_world(tmp_path, "silent", file=FILE.replace("0.4", "60"), **limits) as (world, _):
        meter = MemoryMeter(world.processes)
        meter.start()
        open_jobs = fill_with_durable_jobs(world)
        world.upgrade()[0].terminate()
        world.wait_for_log("event=alone")
        meter.done.set()
        meter.join()
        assert world.metrics()["durable"]["open"] == open_jobs > 0
        assert meter.peak_mb <= UPGRADE_MEMORY_MB


def fill_with_durable_jobs(world):
    """Submit large durable jobs until one is refused; return the number of the others."""
    client, count, terms = (
        world.connect(),
        0,
        {"kind": "reindex", "deadline": "60000m", "body": bytes(60_000)},
    )
    while True:
        named = {"Idempotency_Key": f"k{count}", "Prefer": "respond-async"}
        if client.send(job(f"a{count}", **terms, **named)).status() != 202:
            return count
        count += 1


@pytest.mark.parametrize("kind", FLOODS)
def test_one_connection_at_full_speed_delays_nobody(kind, tmp_path):
    report = run(tmp_path, kind, 1, SECONDS)
    check(report)
    assert report.answers[200] == report.answers.total()
    assert median(report.latencies) <= OBJECTIVE


@pytest.mark.parametrize("kind", FLOODS)
def test_many_connections_at_full_speed_leave_others_in_time(kind, tmp_path):
    report = run(tmp_path, kind, 60, SECONDS)
    check(report)
    assert median(report.latencies) <= OBJECTIVE
