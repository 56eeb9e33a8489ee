"""What further attempts may cost: a share of what is served, so that they cannot feed on themselves."""

from typing import Final

SHARE: Final = 0.1  # of served jobs: with three tenths, the model's bursts come back three times as slowly
MOST: Final = 10.0  # that one scheduler may save up
MOST_ALL: Final = 200.0  # and all of them together, where each may have one


class RetryBudget:
    """One scheduler's part of the fleet's budget for further attempts.

    All ``instances`` together never hold more than ``bound``, whoever has restarted: a start brings a part of
    one attempt, the rest has to be earned by jobs that were served.
    """

    def __init__(self, instances: int) -> None:
        self.most = self.most_of(instances)
        self.left = self.most / MOST  # a start brings a tenth of what may be saved up
        self.spent = 0

    def resize(self, instances: int) -> None:
        """There are so many schedulers from now on."""
        self.most = self.most_of(instances)
        self.left = min(self.left, self.most)

    def pass_on(self, attempts: float) -> None:
        """So many have come from others, or gone to them where that is below 0."""
        self.left = min(max(0.0, self.left + attempts), self.most)

    @staticmethod
    def most_of(instances: int) -> float:
        """What one of so many may save up."""
        return min(MOST, max(1.0, MOST_ALL / instances))

    @classmethod
    def bound(cls, instances: int) -> float:
        """Further attempts that all of them may make at once, having served nothing meanwhile."""
        return cls.most_of(instances) * instances

    def earn(self) -> None:
        """A job was served."""
        self.left = min(self.left + SHARE, self.most)

    def allows(self) -> bool:
        """Whether a further attempt may be made now."""
        return self.left >= 1 - 1e-9

    def figures(self) -> dict[str, float]:
        """For operators."""
        return {"budget_left": round(self.left, 1), "budget_spent": self.spent}

    def spend(self) -> None:
        """A further attempt was made, or one of a client's; what is owed beyond the budget is not kept."""
        self.spent += 1
        self.left = max(0.0, self.left - 1)
