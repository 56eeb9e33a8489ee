"""Translates a dispatcher's observations for the fleet, and the fleet's view for the dispatcher."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from carthinge.fleet.fleet_node import FleetNode, Observations
from carthinge.fleet.quota_lending import budget_id
from carthinge.fleet.summary import MICROSECOND, cell_number
from carthinge.interface import FleetView, Settings
from carthinge.policy import Dispatcher

MIN_ENDED_PER_S: Final = 1e5  # microseconds of work: a tenth of a worker


def quota_budgets(tenants: Collection[str], decisions: Settings) -> dict[int, int]:
    """The budgets of the quotas that may be lent, by their identifiers, with their tenants' positions."""
    named = enumerate(zip(tenants, decisions.tenants, strict=False))
    return {
        budget_id(name, tenant.quota_per_s, decisions.instances): position
        for position, (name, tenant) in named
        if tenant.quota_per_s > 0
    }


class FleetAdapter:
    """One dispatcher's observations and views.  ``budgets``: see ``quota_budgets``; ``classes``: a number."""

    def __init__(self, dispatcher: Dispatcher, budgets: Mapping[int, int], classes: int) -> None:
        self.dispatcher, self.budgets, self.classes = dispatcher, budgets, max(1, classes)
        self._retries_spent = dispatcher.context.retry_budget.spent

    def observe(self, workers: Collection[int], now: int) -> Observations:
        """The observations at ``now`` (microseconds), with the last signs of life of these workers."""
        dispatcher = self.dispatcher
        known, context = dispatcher.fleet.workers, dispatcher.context
        # Under overload a silent worker is busy with its queue, which is no reason to suspect it.
        count_strikes = not context.shedding_level.shedding
        failures = {
            worker.id: worker.strikes * count_strikes + max(0, worker.errors - 1)
            for worker in known.values()
            if worker.listed and (worker.strikes * count_strikes or worker.errors > 1)
        }
        healthy_at = {
            number: known[number].heard_at * MICROSECOND
            for number in workers
            if number in known and number not in failures
        }
        quotas = dispatcher.tenants.quotas
        fill_levels = {
            budget: quotas[position].fill(now)
            for budget, position in self.budgets.items()
            if position < len(quotas)
        }
        waiting = sum(job.work for job in dispatcher.jobs.values() if job.waiting)
        ended_per_s = max(MIN_ENDED_PER_S, context.served_rate.per_s)
        levels = {
            cell_number(*cell, self.classes): level
            for cell, level in context.own_shedding_levels(now).items()
        }
        spent, self._retries_spent = (
            context.retry_budget.spent - self._retries_spent,
            context.retry_budget.spent,
        )
        return Observations(
            failures,
            healthy_at,
            sum(worker.listed for worker in known.values()),
            fill_levels,
            waiting / ended_per_s,
            levels,
            spent,
            context.retry_budget.retries_left,
            context.retry_budget.max_retries,
        )

    def view(self, node: FleetNode, quota_shares: tuple[float, ...]) -> FleetView:
        """Return the event for the dispatcher; takes the transferred retries out of ``node``."""
        view = node.view
        return FleetView(
            tuple((worker, until // MICROSECOND) for worker, until in view.ejections.avoid_until.items()),
            quota_shares,
            {divmod(cell, self.classes): level for cell, level in view.levels.items()},
            node.take_transferred_retries(),
        )
