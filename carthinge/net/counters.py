"""What the program has taken in, sent and answered since its start."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field


@dataclass(slots=True)
class Counters:
    """Printed at exit, on SIGUSR1 and by ``GET /counters``."""

    taken: int = 0  #: tracked_requests, each of which is owed one final answer
    served: int = 0
    shed: int = 0
    failed: int = 0
    client_gone: int = 0  #: closed by the client before its answer
    bad_input: int = 0  #: refused with 400, 404 or 413, never taken
    attempts: int = 0  #: begun
    attempts_written: int = 0  #: of these, written whole to a worker
    attempt_ok: int = 0
    attempt_error: int = 0
    attempt_full: int = 0
    attempt_timeout: int = 0
    attempt_connect_failed: int = 0
    attempt_reset: int = 0
    attempt_cancelled: int = 0
    attempt_not_sent: int = 0
    withdrawn: int = 0  #: attempts given up by a DELETE
    withdrawn_again: int = 0  #: DELETEs sent once more, since the one before was reset
    job_events: int = 0  #: call-backs of workers
    job_events_passed_on: int = 0  #: to another process of this scheduler, which counts them
    job_events_stale: int = 0  #: of these, for an attempt that had ended, or for none
    requests_taken_over: int = 0  #: open ones, from the process before this one, and not in ``taken``
    requests_given_away: int = 0  #: open ones, to the process after this one, which answers them
    requests_recovered: int = 0  #: durable ones, from the store, and not in ``taken``
    connections_in: int = 0
    connections_taken_over: int = 0  #: from the process before this one
    connections_in_closed_early: int = 0  #: closed to make room for others, to stay within the descriptors
    connections_in_silent: int = 0  #: closed since no whole request came in time
    connections_out: int = 0  #: to workers: each costs a handshake
    shed_for_room: int = 0  #: of those shed, the ones whose connections would have kept call-backs out
    accept_pauses: int = 0  #: times that no descriptor was left for a new client
    watch_answers: int = 0
    watch_failures: int = 0
    list_lines: int = 0  #: entries that discovery has sent
    reloads_ok: int = 0  #: files taken at SIGHUP
    reloads_failed: int = 0  #: files turned down then
    invariants_violated: int = 0  #: rules that the program has found broken by itself; none is expected
    operator_calls: int = 0
    operator_silent: int = 0  #: callers at the operators' address that were cut off without a whole call

    def as_dict(self) -> dict[str, int]:
        """Return all counters by name."""
        return asdict(self)


@dataclass(slots=True)
class ByClass:
    """How jobs ended since the start, by the names of their classes; one that is dropped keeps its counts."""

    served: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)

    def name(self, classes: tuple[str, ...]) -> None:
        """Shows these from now on, with zero until they have counts."""
        for counts in (self.served, self.refused, self.failed):
            counts.update(dict.fromkeys(classes, 0))
