"""The index of the durable jobs that are open here."""

from __future__ import annotations

from carthinge.durable.durable_job import DurableJob
from carthinge.durable.limits import Limits


class JobIndex:
    """Open jobs by number, by key and by request id; counted by the limits."""

    def __init__(self, limits: Limits) -> None:
        self.by_number: dict[int, DurableJob] = {}
        self.by_key: dict[bytes, DurableJob] = {}
        self.by_req_id: dict[str, DurableJob] = {}
        self._limits = limits

    def add(self, durable_job: DurableJob) -> None:
        """Add an open job."""
        accepted = durable_job.accepted
        self.by_number[accepted.number] = durable_job
        self.by_req_id[accepted.req_id] = durable_job
        if accepted.key is not None:
            self.by_key[accepted.key] = durable_job
        self._limits.add(accepted.tenant, len(accepted.body))

    def remove(self, durable_job: DurableJob) -> None:
        """Remove a job; does nothing if it is not in the index."""
        accepted = durable_job.accepted
        if self.by_number.pop(accepted.number, None) is None:
            return
        if self.by_req_id.get(accepted.req_id) is durable_job:
            del self.by_req_id[accepted.req_id]
        if accepted.key is not None and self.by_key.get(accepted.key) is durable_job:
            del self.by_key[accepted.key]
        self._limits.remove(accepted.tenant, len(accepted.body))
        durable_job.tracked = None  # breaks the reference cycle, which only the garbage collector would free
