"""Compares the store with a model of dictionaries: random batches, applied once or twice, with crashes."""

import shutil
import tempfile
from itertools import count

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from store_shorthands import accepted, at, ended, granted, opened

from carthinge.durable.records import AttemptFailed, AttemptState, Collected, JobState, Renewed


class StoreMachine(RuleBasedStateMachine):
    """Applies random batches once or twice, with crashes in between."""

    def __init__(self):
        super().__init__()
        self.folder = tempfile.mkdtemp(prefix="store")
        self.jobs, self.attempts, self.keys, self.numbers, self.now = {}, {}, {}, count(1), 1

    @initialize()
    def start(self):
        self.store = opened(self.folder)

    def teardown(self):
        self.store.close()
        shutil.rmtree(self.folder)

    @rule(
        keys=st.lists(st.sampled_from([None, b"k1", b"k2", b"k3"]), min_size=1, max_size=20),
        twice=st.booleans(),
    )
    def accept(self, keys, twice):
        batch, used = [], set()
        for key in keys:
            if key is None or key not in used:
                used.add(key)
                batch.append(accepted(next(self.numbers), key, bytes(next(self.numbers) % 50)))
        existing = self.apply(batch, twice)
        for record in batch:
            holder = self.keys.get(record.key)
            assert (existing[record.number].number if record.number in existing else None) == holder
            if holder is None:
                self.jobs[record.number] = [JobState.OPEN, record.body, record.key, None]
                if record.key is not None:
                    self.keys[record.key] = record.number

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), twice=st.booleans())
    def attempt(self, data, twice):
        job = data.draw(st.sampled_from(sorted(self.jobs)))
        token = next(self.numbers)
        state = data.draw(st.sampled_from(AttemptState))
        batch = [granted(token, job), Renewed(token, 77, 5)]
        if state is not AttemptState.ACTIVE:
            batch.append(AttemptFailed(token, state))
        self.apply(batch, twice)
        self.attempts[token] = (job, state)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), state=st.sampled_from(list(JobState)[1:]), twice=st.booleans())
    def end(self, data, state, twice):
        number = data.draw(st.sampled_from(sorted(self.jobs)))
        self.apply([ended(number, state, b"result %d" % state, self.now + 50)], twice)
        job = self.jobs[number]
        if job[0] is JobState.OPEN:  # only the first end counts
            self.jobs[number] = [state, b"result %d" % state, job[2], self.now + 50]
            if state is JobState.REFUSED and job[2] is not None:
                del self.keys[job[2]]
                self.jobs[number][2] = None

    @precondition(lambda self: any(job[3] for job in self.jobs.values()))
    @rule(data=st.data(), forget_at=st.integers(1, 200))
    def collect(self, data, forget_at):
        number = data.draw(st.sampled_from(sorted(n for n, job in self.jobs.items() if job[3])))
        self.apply([Collected(number, forget_at)], False)
        self.jobs[number][3] = min(self.jobs[number][3], forget_at)

    @rule(elapsed=st.integers(1, 60))
    def forget(self, elapsed):
        self.now += elapsed
        while self.store.forget(self.now):
            pass
        for number in [n for n, job in self.jobs.items() if job[3] and job[3] <= self.now]:
            key = self.jobs.pop(number)[2]
            if key is not None:
                del self.keys[key]
            self.attempts = {
                token: attempt_state
                for token, attempt_state in self.attempts.items()
                if attempt_state[0] != number
            }

    @rule()
    def crash(self):
        """Reopen the store, whose log is left as by a killed process."""
        self.store.close()
        epoch = self.store.epoch
        self.store = opened(self.folder, at(self.now))
        assert self.store.epoch == epoch + 1

    def apply(self, batch, twice):
        existing = self.store.apply(batch, at(self.now))
        return self.store.apply(batch, at(self.now)) if twice else existing

    @invariant()
    def matches_model(self):
        if not hasattr(self, "store"):
            return
        open_jobs = {job.accepted.number: job for job in self.store.open_jobs(0, 1000).jobs}
        assert sorted(open_jobs) == sorted(n for n, job in self.jobs.items() if job[0] is JobState.OPEN)
        for number, job in open_jobs.items():
            assert job.accepted.body == self.jobs[number][1] and job.accepted.key == self.jobs[number][2]
            assert {(sent.token, sent.state) for sent in job.attempts} == {
                (token, state) for token, (job_number, state) in self.attempts.items() if job_number == number
            }
        for number, (state, result, _, forget_at) in self.jobs.items():
            found = self.store.find(number)
            assert found.state is state and (forget_at is None or found.result == result)


TestStore = StoreMachine.TestCase
TestStore.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
