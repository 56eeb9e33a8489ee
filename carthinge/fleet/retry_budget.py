"""The retry budget limits retries to a share of the served jobs, so that they cannot amplify overload."""

from typing import Final

EARNED_PER_SERVED_JOB: Final = 0.1  # with 0.3 the model recovers from bursts three times as slowly
MAX_BUDGET: Final = 10.0  # retries that one scheduler may accumulate
MAX_FLEET_BUDGET: Final = 200.0  # retries that all schedulers may accumulate; each at least one


class RetryBudget:
    """One scheduler's part of the fleet's retry budget.

    All ``instances`` together never hold more than ``bound``, even after restarts: a new budget holds only
    a fraction of a retry, and served jobs have to earn the rest.
    """

    def __init__(self, instances: int) -> None:
        self.max_retries = self.max_for(instances)
        self.retries_left = self.max_retries / MAX_BUDGET  # a tenth of the maximum, up to one retry
        self.spent = 0

    def resize(self, instances: int) -> None:
        """Apply a new number of schedulers."""
        self.max_retries = self.max_for(instances)
        self.retries_left = min(self.retries_left, self.max_retries)

    def transfer(self, retries: float) -> None:
        """Add retries received from other schedulers; negative for retries given to them."""
        self.retries_left = min(max(0.0, self.retries_left + retries), self.max_retries)

    @staticmethod
    def max_for(instances: int) -> float:
        """The retries that each of ``instances`` schedulers may accumulate."""
        return min(MAX_BUDGET, max(1.0, MAX_FLEET_BUDGET / instances))

    @classmethod
    def bound(cls, instances: int) -> float:
        """The retries that all schedulers may make at once without serving any job meanwhile."""
        return cls.max_for(instances) * instances

    def earn(self) -> None:
        """Add the share of a served job."""
        self.retries_left = min(self.retries_left + EARNED_PER_SERVED_JOB, self.max_retries)

    def allows(self) -> bool:
        """Whether a retry may be made now."""
        return self.retries_left >= 1 - 1e-9

    def metrics(self) -> dict[str, float]:
        """The metrics of the budget."""
        return {"budget_left": round(self.retries_left, 1), "budget_spent": self.spent}

    def spend(self) -> None:
        """Deduct a retry, made here or by a client; the budget does not go below zero."""
        self.spent += 1
        self.retries_left = max(0.0, self.retries_left - 1)
