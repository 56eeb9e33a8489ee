"""Leases checked against a simple model, step by step."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from carthinge.leases import Leases

DURATION = timedelta(seconds=10)


class LeaseMachine(RuleBasedStateMachine):
    """The model maps each token to its expiry."""

    def __init__(self):
        super().__init__()
        self.leases, self.model, self.now, self.tokens = Leases(DURATION), {}, timedelta(), 0

    @rule(data=st.data())
    def grant_or_renew(self, data):
        token = data.draw(st.integers(1, self.tokens + 1))
        self.tokens = max(self.tokens, token)
        until = self.leases.grant_or_renew(token, f"holder {token}", self.now)
        assert until == self.now + DURATION
        self.model[token] = until

    @precondition(lambda self: self.tokens)
    @rule(data=st.data())
    def end(self, data):
        token = data.draw(st.integers(1, self.tokens))
        self.leases.end(token)
        self.model.pop(token, None)

    @rule(seconds=st.integers(0, 15))
    def pass_time(self, seconds):
        self.now += timedelta(seconds=seconds)
        holders = self.leases.expire(self.now)
        expired = {token for token, until in self.model.items() if until <= self.now}
        assert sorted(holders) == sorted(f"holder {token}" for token in expired)
        for token in expired:
            del self.model[token]

    @invariant()
    def matches_model(self):
        assert len(self.leases) == len(self.model)
        assert all(self.leases.held(token) == (token in self.model) for token in range(1, self.tokens + 1))
        first_expiry = min(self.model.values(), default=None)
        due = self.leases.due()
        if first_expiry is not None:  # it may be too early, but never too late
            assert due is not None and due <= first_expiry


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_heap_is_compacted():
    leases = Leases(DURATION)
    for token in range(1, 5000):
        for _ in range(3):
            leases.grant_or_renew(token, token, timedelta(seconds=token))
        leases.end(token)
    assert len(leases._heap) <= 64 and len(leases) == 0
