"""What a run is about, drawn from its seed: settings, the size of the fleet, the faults and their times."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from world import SETTINGS

CALM = 1.5  # seconds at the beginning and before the end, without new faults
STEP_MOST = 7200  # seconds, of the wall clock
SIGNAL_SERIES = 4  # at the most, one after the other


@dataclass(frozen=True)
class Window:
    """A fault from one time of the run to another, in seconds from its start."""

    begins: float
    ends: float
    kind: str
    target: int  # a scheduler, a worker, or the discovery of a scheduler
    much: float = 0.0


@dataclass(frozen=True)
class Plan:
    seed: int
    seconds: float
    schedulers: int
    workers: int
    clients: int
    crowd: int  # clients that hold connections without need
    settings: dict
    durable: frozenset[int]  # schedulers with a folder that lasts
    upgraded: frozenset[int]  # schedulers whose listener is held, and whose program is replaced under load
    windows: tuple[Window, ...] = field(default=())

    def of(self, *kinds):
        return [window for window in self.windows if window.kind in kinds]


PROCESS = ("kill", "term", "hup", "stop")  # what is done to a process
INSIDE = ("sockets", "hold", "wall", "disk")  # what fails inside one
WORKER = ("hang", "reset", "mute", "decline", "garbage", "pieces", "lose", "drain", "rest")
DISCOVERY = ("down", "silent", "unavailable", "slow", "broken")


def drawn(seed, seconds=12.0, schedulers=24, crowded=None):
    """The plan of a seed; always the same for the same arguments."""
    rng = random.Random(seed)
    workers = rng.randint(8, 16)
    crowd = rng.choice([0, 0, 40]) if crowded is None else 40 * crowded
    upgraded = frozenset(rng.sample(range(schedulers), schedulers // 6))
    others = [number for number in range(schedulers) if number not in upgraded]
    durable = frozenset(rng.sample(others, schedulers // 8))
    windows = []
    for number in range(schedulers):
        kinds = INSIDE if number in upgraded else PROCESS + INSIDE
        windows += _windows(rng, seconds, number, kinds, rng.randint(1, 4))
    for number in upgraded:
        begins = rng.uniform(CALM, seconds - 2 * CALM)
        windows.append(Window(begins, begins, "upgrade", number))
    for number in range(workers):
        windows += _windows(rng, seconds, number, WORKER, rng.randint(0, 3))
    for number in range(schedulers):
        windows += _windows(rng, seconds, number, DISCOVERY, rng.randint(0, 2))
    return Plan(
        seed,
        seconds,
        schedulers,
        workers,
        rng.randint(40, 70),
        crowd,
        _settings(rng, schedulers),
        durable,
        upgraded,
        tuple(sorted(windows, key=lambda window: window.begins)),
    )


def _windows(rng, seconds, target, kinds, count):
    found = []
    for _ in range(count):
        begins = rng.uniform(CALM, seconds - CALM)
        ends = min(seconds - CALM, begins + rng.uniform(0.1, 4.0))
        kind = rng.choice(kinds)
        much = {
            "wall": rng.uniform(-STEP_MOST, STEP_MOST),
            "hup": rng.randint(1, SIGNAL_SERIES),
            "stop": rng.uniform(0.02, 0.15),
        }.get(kind, rng.uniform(0.005, 0.05))
        found.append(Window(begins, ends, kind, target, much))
    return found


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
