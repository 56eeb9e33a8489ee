"""What a scheduler's decisions know, in the terms of the talk, and what comes back of it."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from carthinge.fleet.quota_lending import purse_of
from carthinge.fleet.summary import MICROSECOND, cell_of
from carthinge.fleet.talk import Facts, Talk
from carthinge.interface import FleetView, Settings
from carthinge.policy import Dispatcher

LEAST_RATE: Final = 1e5  # of work that ends in a second, in microseconds: a tenth of a worker


def purses_of(tenants: Collection[str], decisions: Settings) -> dict[int, int]:
    """The quotas that may pass, by the names of their tenants, to the tenants' positions."""
    named = enumerate(zip(tenants, decisions.tenants, strict=False))
    return {
        purse_of(name, tenant.quota_per_s, decisions.instances): at
        for at, (name, tenant) in named
        if tenant.quota_per_s > 0
    }


class Insight:
    """One dispatcher's facts and views; ``purses`` as from ``purses_of``, ``classes``: how many there are."""

    def __init__(self, dispatcher: Dispatcher, purses: Mapping[int, int], classes: int) -> None:
        self.dispatcher, self.purses, self.classes = dispatcher, purses, max(1, classes)
        self._spent = dispatcher.context.budget.spent

    def look(self, workers: Collection[int], now: int) -> Facts:
        """What the decisions know at that time, in microseconds; signs of these workers."""
        dispatcher = self.dispatcher
        known, context = dispatcher.fleet.workers, dispatcher.context
        struck = not context.level.up  # else silence is a queue, and no doubt that others should share
        doubted = {
            worker.id: worker.strikes * struck + max(0, worker.errors - 1)
            for worker in known.values()
            if worker.listed and (worker.strikes * struck or worker.errors > 1)
        }
        well = {
            number: known[number].heard_at * MICROSECOND
            for number in workers
            if number in known and number not in doubted
        }
        quotas = dispatcher.tenants.quotas
        left = {purse: quotas[at].fill(now) for purse, at in self.purses.items() if at < len(quotas)}
        waiting = sum(job.work for job in dispatcher.jobs.values() if job.waiting)
        ended = max(LEAST_RATE, context.served.per_s)
        levels = {cell_of(*cell, self.classes): level for cell, level in context.levels(now).items()}
        spent, self._spent = context.budget.spent - self._spent, context.budget.spent
        return Facts(
            doubted,
            well,
            sum(worker.listed for worker in known.values()),
            left,
            waiting / ended,
            levels,
            spent,
            context.budget.left,
            context.budget.most,
        )

    def view(self, talk: Talk, parts: tuple[float, ...]) -> FleetView:
        """What the decisions are told; what has been passed on is taken out of the talk."""
        view = talk.view
        return FleetView(
            tuple((worker, until // MICROSECOND) for worker, until in view.ruling.alone.items()),
            parts,
            {divmod(cell, self.classes): level for cell, level in view.levels.items()},
            talk.passed(),
        )
