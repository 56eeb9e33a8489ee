"""A scheduler with the limits of incident 81aa6e beside crowds of hostile clients.

By hand, from the root: ``PYTHONPATH=tests:. python -m crowd.bench stop_in_fields:300:5``.
"""

from statistics import median

import pytest
from crowd.bench import MEMORY_MB, run
from crowd.clients import ALL_CROWDS

CLIENTS = 300  # more than the slots that the descriptors of the run give
SECONDS = 4.0
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
