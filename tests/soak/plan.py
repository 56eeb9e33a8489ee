"""Draws the plan of a run from its seed: settings, fleet size, and faults with their times."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from world import SETTINGS

QUIET_TIME = 1.5  # seconds at the start and before the end of a run without new faults
MAX_CLOCK_ERROR = 7200  # seconds by which the wall clock may be wrong
MAX_RELOADS = 4  # in a row


@dataclass(frozen=True)
class FaultWindow:
    """A fault between two times of the run, in seconds from its start."""

    begins: float
    ends: float
    kind: str
    target: int  # a scheduler, a worker, or the discovery of a scheduler
    magnitude: float = 0.0


@dataclass(frozen=True)
class Plan:
    seed: int
    seconds: float
    schedulers: int
    workers: int
    clients: int
    idle_groups: int  # groups of 20 clients that hold idle connections
    settings: dict
    durable: frozenset[int]  # schedulers with a durable store
    crowds: tuple[tuple[int, str], ...]  # schedulers beside a crowd, and its kind
    upgraded: frozenset[int]  # schedulers with an inherited listening socket, which are upgraded under load
    windows: tuple[FaultWindow, ...] = field(default=())

    def windows_of(self, *kinds):
        return [window for window in self.windows if window.kind in kinds]


PROCESS_FAULTS = ("kill", "term", "hup", "stop")  # signals and restarts of a process
INTERNAL_FAULTS = ("sockets", "hold", "wall", "disk")  # faults in the calls of a process
WORKER_FAULTS = ("hang", "reset", "mute", "decline", "garbage", "pieces", "lose", "drain", "rest")
CROWDED_SHARE = 0.5  # of the runs without idle clients
CROWDS = 2  # in a crowded run
CROWD_KINDS = ("mixed", "slow", "stop_in_body", "stop_in_fields", "send_ahead", "blast_jobs", "blast_unsound")
DISCOVERY_FAULTS = ("down", "silent", "unavailable", "slow", "broken")


def draw_plan(seed, seconds=12.0, schedulers=24, with_idle_clients=None, with_crowds=None):
    """Return the plan of a seed; the same arguments give the same plan."""
    rng = random.Random(seed)
    workers = rng.randint(8, 16)
    idle_groups = rng.choice([0, 0, 40]) if with_idle_clients is None else 40 * with_idle_clients
    upgraded = frozenset(rng.sample(range(schedulers), schedulers // 6))
    others = [number for number in range(schedulers) if number not in upgraded]
    durable = frozenset(rng.sample(others, schedulers // 8))
    windows = []
    for number in range(schedulers):
        kinds = INTERNAL_FAULTS if number in upgraded else PROCESS_FAULTS + INTERNAL_FAULTS
        windows += _windows(rng, seconds, number, kinds, rng.randint(1, 4))
    for number in upgraded:
        begins = rng.uniform(QUIET_TIME, seconds - 2 * QUIET_TIME)
        windows.append(FaultWindow(begins, begins, "upgrade", number))
    for number in range(workers):
        windows += _windows(rng, seconds, number, WORKER_FAULTS, rng.randint(0, 3))
    for number in range(schedulers):
        windows += _windows(rng, seconds, number, DISCOVERY_FAULTS, rng.randint(0, 2))
    return Plan(
        seed,
        seconds,
        schedulers,
        workers,
        rng.randint(40, 70),
        idle_groups,
        _settings(rng, schedulers),
        durable,
        _crowds(seed, schedulers, with_crowds) if not idle_groups else (),
        upgraded,
        tuple(sorted(windows, key=lambda window: window.begins)),
    )


def _crowds(seed, schedulers, with_crowds):
    rng = random.Random(f"{seed} crowds")  # of its own, so that it does not change the rest of a plan
    if not (rng.random() < CROWDED_SHARE if with_crowds is None else with_crowds):
        return ()
    return tuple((number, rng.choice(CROWD_KINDS)) for number in rng.sample(range(schedulers), CROWDS))


def _windows(rng, seconds, target, kinds, count):
    windows = []
    for _ in range(count):
        begins = rng.uniform(QUIET_TIME, seconds - QUIET_TIME)
        ends = min(seconds - QUIET_TIME, begins + rng.uniform(0.1, 4.0))
        kind = rng.choice(kinds)
        magnitude = {
            "wall": rng.uniform(-MAX_CLOCK_ERROR, MAX_CLOCK_ERROR),
            "hup": rng.randint(1, MAX_RELOADS),
            "stop": rng.uniform(0.02, 0.15),
        }.get(kind, rng.uniform(0.005, 0.05))
        windows.append(FaultWindow(begins, ends, kind, target, magnitude))
    return windows


def _settings(rng, schedulers):
    deadlines = rng.sample([700_000, 1_200_000, 2_000_000, 3_000_000], 3)
    classes = [
        {
            **spec,
            "hard_limit": deadline,
            "objective": deadline // 3,
            "window": rng.choice([400_000, 15_000_000]),
        }
        for spec, deadline in zip(SETTINGS["services"], deadlines, strict=True)
    ]
    caps = {
        "second_copies": rng.random() < 0.5,
        "try_limit": rng.choice([1, 3, 5]),
        "dial_timeout": rng.choice([100_000, 250_000]),
        "idle_close": rng.choice([700_000, 5_000_000]),
    }
    return {
        **SETTINGS,
        "instances": schedulers,
        "services": classes,
        "membership_mode": rng.choice(["automatic", "subscribe"]),
        "caps": {**SETTINGS["caps"], **caps},
        "rules": {**SETTINGS["rules"], "drain_grace": rng.choice([1_000_000, 2_500_000]), "cold": 500_000},
    }
