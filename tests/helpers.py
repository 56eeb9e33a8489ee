"""Settings and shorthands for tests of the decision module."""

import os
import subprocess
import sys

from carthinge import Dispatcher
from carthinge import interface as io

SAFE = io.JobClass(objective=100_000, deadline=5_000_000, late_worth=0.5, stretch=2.0)
KEYED = io.JobClass(
    objective=100_000,
    deadline=5_000_000,
    late_worth=0.5,
    effect=io.Effect.KEYED,
    scope=io.Scope.CELL,
    window=1_000_000,
)
UNSAFE = io.JobClass(objective=100_000, deadline=5_000_000, late_worth=0.5, effect=io.Effect.UNSAFE)
WORTHLESS_LATE = io.JobClass(objective=100_000, deadline=5_000_000)


def settings(*classes, **overrides):
    defaults = {
        "classes": classes or (SAFE,),
        "tenants": (io.Tenant(0.5), io.Tenant(0.5)),
        "try_limit": 4,
        "may_hedge": True,
        "may_cancel": True,
        "tells_start": True,
        "answer_grace": 16_000,
        "drain_grace": 500_000,
        "cold_start_share": 0.4,
        "cold_time": 8_000_000,
        "fall_multiple": 3.0,
        "fall_window": 2_000_000,
        "ask_within": 10_000_000,
        "kinds": 2,
    }
    return io.Settings(**{**defaults, **overrides})


def listing(*workers, kind=io.Listing.CACHED):
    entries = (w if isinstance(w, io.WorkerEntry) else io.WorkerEntry(w) for w in workers)
    return io.WorkerList(kind, tuple(entries))


def make_dispatcher(config, *workers, seed=1):
    dispatcher = Dispatcher(config, seed)
    dispatcher.handle(0, [listing(*workers)])
    return dispatcher


def arrival(request=1, job_class=0, now=0, hint=50_000, **more):
    return io.Arrival(request, job_class, now + 5_000_000, hint=hint, **more)


def outcome(request, attempt, worker, result, latency=1000, finished=None, report=()):
    return io.Outcome(
        request,
        attempt,
        worker,
        result,
        latency,
        result is io.Result.OK if finished is None else finished,
        report,
    )


def only(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def serve(dispatcher, count, every):
    """Send jobs one after the other; each is served at once by the worker that it is sent to."""
    for step in range(count):
        sends = only(io.Send, dispatcher.handle(step * every, [arrival(step, now=step * every)]))
        dispatcher.handle(step * every + 1, [outcome(step, 0, s.worker, io.Result.OK, 50_000) for s in sends])


def run_adapter(data, hash_seed="0"):
    """Run the adapter process on the given input."""
    return subprocess.run(
        [sys.executable, "-m", "carthinge.benchlink"],
        input=data,
        capture_output=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )
