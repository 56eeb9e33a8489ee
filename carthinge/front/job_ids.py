"""Which ids of requests are in use, in this process and in the other one of an upgrade."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from carthinge.net.request_tracker import RequestTracker


class OtherProcess(Protocol):
    """The other process of this scheduler during an upgrade."""

    @property
    def answers_queries(self) -> bool:
        """Whether another process is connected that can be asked about ids."""

    @property
    def leaving(self) -> bool:
        """Whether this process is the predecessor."""

    def query_job(self, job_id: str, done: Callable[[bool], None]) -> None:
        """Ask whether an id is in use there."""


class JobIds:
    """The ids of open requests, of those that may have run, and of those the other process is asked about."""

    def __init__(self, tracker: RequestTracker, other_process: OtherProcess) -> None:
        self._tracker = tracker
        self._other_process = other_process
        self._asked: set[str] = set()

    def in_use(self, job_id: str) -> bool:
        """Whether a request with this id is open here, or may have run."""
        return job_id in self._tracker.by_id or job_id in self._tracker.recent_ids

    def in_use_for_other_process(self, job_id: str) -> bool:
        """Answer the other process; of two requests that come to both at once, the predecessor's is taken."""
        return self.in_use(job_id) or (self._other_process.leaving and job_id in self._asked)

    def ask_other_process(self, job_id: str, done: Callable[[bool], None]) -> None:
        """Call ``done`` with whether the id is in use at the other process; at once if there is none."""
        if not self._other_process.answers_queries:
            done(False)
        elif job_id in self._asked:
            done(True)
        else:
            self._asked.add(job_id)

            def answered(known: bool) -> None:
                self._asked.discard(job_id)
                done(known)

            self._other_process.query_job(job_id, answered)
