"""Simulation of a fleet in virtual time: independent decision modules with model workers and clients.

It shows the joint behaviour of hundreds of schedulers; docs/fleet-overload.md describes its scope and limits.
It uses no real clock and no sockets: equal seeds give equal runs.

    from carthinge import Dispatcher
    from carthinge.model import Simulation
    tally = Simulation(world, seed=1, make=Dispatcher).run()
"""

from carthinge.model.simulation import Simulation
from carthinge.model.tally import Tally, Window
from carthinge.model.world import (
    CancelSupport,
    Clients,
    FaultKind,
    JobProfile,
    Keys,
    Load,
    SchedulerKill,
    WorkerFault,
    WorkerKind,
    World,
)

__all__ = [
    "CancelSupport",
    "Clients",
    "FaultKind",
    "JobProfile",
    "Keys",
    "Load",
    "SchedulerKill",
    "Simulation",
    "Tally",
    "Window",
    "WorkerFault",
    "WorkerKind",
    "World",
]
