"""What the parts of a dispatcher share: the time, the fleet, open jobs, meters, and what is to be done."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from carthinge import interface as io
from carthinge.fleet import comeback
from carthinge.records import Attempt, Heat, Job, Queue, Rate, Worker, mix
from carthinge.roster import Fleet, Loads
from carthinge.timers import Timers


class Desk:
    """Each part is handed the desk of its dispatcher, and the parts that it asks.  No decisions."""

    __slots__ = ("settings", "rng", "now", "actions", "jobs", "fleet", "freed", "timers", "after",
                 "mean_work", "served", "arrivals", "heat", "queue")

    def __init__(self, settings: io.Settings, seed: int,
                 part: Callable[[Desk, list[Worker]], list[Worker]]) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.actions: list[io.Action] = []
        self.jobs: dict[int, Job] = {}
        self.fleet = Fleet(settings.price_connection > 0 and settings.price_fetch <= 0,
                           lambda pool: part(self, pool))
        self.freed: list[Worker] = []  # where a slot may have come free in this call
        self.timers = Timers()
        self.after = self.timers.add
        self.mean_work = float(self.shortest())
        self.served, self.arrivals = Rate(), Rate()
        self.heat, self.queue = Heat(), Queue()

    def shortest(self) -> int:
        """The least objective of all classes."""
        return min(spec.objective for spec in self.settings.classes)

    def attempt(self, event: io.Note | io.Outcome | io.StreamStarted) -> Attempt | None:
        """The one that an event names, while its job is known."""
        job = self.jobs.get(event.request)
        return job.attempts[event.attempt] if job and event.attempt < len(job.attempts) else None

    def loads(self) -> bytes:
        """What is out from here, as a message."""
        return Loads.pack(self.fleet.workers.values(), self.rng)

    def away(self, job: Job) -> int:
        """How long a client that is refused stays away; 0 where the settings have it told nothing."""
        settings = self.settings
        room = comeback.until_room(len(self.jobs) * self.mean_work, self.served.left(self.now))
        point = mix(settings.position << 40 ^ job.id)
        most = settings.max_retry_after * settings.may_advise
        return comeback.stay_away(room, job.spec.objective, most, point)

    def watch(self) -> None:
        self.actions.append(io.Watch())

    def nothing(self, _: io.Timer | None = None) -> None:
        """A wake matters for the clock alone: what is due is in the heap, and a release follows."""
