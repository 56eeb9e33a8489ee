"""Kills the scheduler at random points, by seed, and checks the outcome with the benchmark's auditor."""

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
import durable
from harness import Fleet, Run

VIOLATIONS = (
    "lost",
    "answered_twice",
    "keyed_repeats_in_window",
    "run_again_after_window",
    "unsafe_run_twice",
    "served_by_nobody",
)


@pytest.mark.parametrize("seed", [1, 2])
def test_kills_lose_and_repeat_no_jobs(seed):
    verdict = asyncio.run(durable.kills(5, seed))
    assert verdict["accepted"] >= 10 and verdict["answered_once"] == verdict["accepted"], verdict
    assert not any(verdict[name] for name in VIOLATIONS), f"seed {seed}: {verdict}"


@pytest.mark.parametrize(
    "violate, name",
    [
        (lambda audit, fleet, final: final.pop("k1"), "lost"),
        (lambda audit, fleet, final: final.update(k1=(410, b"")), "lost"),
        (lambda audit, fleet, final: audit.answered("k1", 200, b"another"), "answered_twice"),
        (
            lambda audit, fleet, final: fleet.runs.append(Run("s-1", "r", "k1", 5.0)),
            "keyed_repeats_in_window",
        ),
        (
            lambda audit, fleet, final: fleet.runs.append(Run("s-1", "r", "k1", 50.0)),
            "run_again_after_window",
        ),
        (lambda audit, fleet, final: fleet.runs.append(Run("s-1", "r", "u1", 50.0)), "unsafe_run_twice"),
        (lambda audit, fleet, final: fleet.runs.clear(), "served_by_nobody"),
    ],
)
def test_auditor_detects_each_violation(violate, name):
    """Each kind of violation makes the auditor fail."""
    fleet = Fleet(0, lambda draw: 0.0)
    fleet.runs += [Run("s-0", "r", "k1", 0.0), Run("s-0", "r", "u1", 0.0)]
    audit = durable.Audit()
    audit.accepted, audit.unsafe = {"k1": "/v1/jobs/1", "u1": "/v1/jobs/2"}, {"u1"}
    final = {"k1": (200, b"result"), "u1": (200, b"result")}
    for key in final:
        audit.answered(key, 200, b"result")
    assert not any(audit.verdict(fleet, final)[violation] for violation in VIOLATIONS)
    violate(audit, fleet, final)
    assert audit.verdict(fleet, final)[name] >= 1
