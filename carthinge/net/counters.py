"""Counters of requests, attempts, connections and other events since the start."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field


@dataclass(slots=True)
class Counters:
    """Reported at exit, on SIGUSR1 and by ``GET /counters``."""

    taken: int = 0  #: tracked requests accepted; each must get one final response
    served: int = 0
    shed: int = 0
    failed: int = 0
    client_gone: int = 0  #: ended because the client closed before its response
    bad_input: int = 0  #: rejected with 400, 404 or 413; not in ``taken``
    attempts: int = 0  #: started
    attempts_written: int = 0  #: of these, sent completely to a worker
    attempt_ok: int = 0
    attempt_error: int = 0
    attempt_full: int = 0
    attempt_timeout: int = 0
    attempt_connect_failed: int = 0
    attempt_reset: int = 0
    attempt_cancelled: int = 0
    attempt_not_sent: int = 0
    withdrawn: int = 0  #: attempts withdrawn by a DELETE
    withdrawn_again: int = 0  #: DELETEs repeated after a connection reset
    job_events: int = 0  #: callbacks of workers
    job_events_passed_on: int = 0  #: forwarded to another process of this scheduler, which counts them
    job_events_stale: int = 0  #: of these, for an ended or unknown attempt
    requests_taken_over: int = 0  #: open ones, from the predecessor; not in ``taken``
    requests_given_away: int = 0  #: open ones, to the successor, which answers them
    requests_recovered: int = 0  #: durable ones, from the store; not in ``taken``
    connections_in: int = 0
    connections_taken_over: int = 0  #: from the predecessor
    connections_in_closed_early: int = 0  #: closed for others, to stay within the descriptor limit
    connections_in_silent: int = 0  #: closed because no complete request arrived in time
    connections_out: int = 0  #: opened to workers, each with a handshake
    shed_for_room: int = 0  #: shed because their connections would have blocked callbacks
    shed_for_memory: int = 0  #: shed because requests held too much memory, or too many were tracked
    connections_in_shed: int = 0  #: ended because all connections together held too much memory
    accept_pauses: int = 0  #: pauses because no connection could be accepted
    watch_answers: int = 0
    watch_failures: int = 0
    list_lines: int = 0  #: list entries received from discovery
    reloads_ok: int = 0  #: configurations applied at SIGHUP
    reloads_failed: int = 0  #: configurations rejected at SIGHUP
    invariants_violated: int = 0  #: violations found by the program itself; none is expected
    operator_calls: int = 0
    operator_silent: int = 0  #: operator connections closed without a complete call

    def as_dict(self) -> dict[str, int]:
        """Return all counters by name."""
        return asdict(self)


@dataclass(slots=True)
class OutcomeCounts:
    """How jobs ended since the start, by class name; a class that is removed keeps its counts."""

    served: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)

    def add_classes(self, classes: tuple[str, ...]) -> None:
        """Add classes with zero counts, so that they are reported before their first job."""
        for counts in (self.served, self.refused, self.failed):
            counts.update(dict.fromkeys(classes, 0))
