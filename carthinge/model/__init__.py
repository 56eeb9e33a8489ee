"""A fleet in virtual time: many decision modules that share nothing, against model workers and clients.

It tells what hundreds of schedulers do *together*; docs/fleet-overload.md says what it holds and leaves out.
No clock, no socket: equal seeds give equal plays.

    from carthinge import Dispatcher
    from carthinge.model import Play
    tally = Play(world, seed=1, make=Dispatcher).run()
"""

from carthinge.model.play import Play
from carthinge.model.tally import Tally, Window
from carthinge.model.world import (
    Cancels,
    Clients,
    Herd,
    Ill,
    JobSort,
    Keys,
    Load,
    Trouble,
    WorkerKind,
    World,
)

__all__ = [
    "Cancels",
    "Clients",
    "Herd",
    "Ill",
    "JobSort",
    "Keys",
    "Load",
    "Play",
    "Tally",
    "Trouble",
    "Window",
    "WorkerKind",
    "World",
]
