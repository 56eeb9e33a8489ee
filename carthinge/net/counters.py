"""What the program has taken in, sent and answered since its start."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class Counters:
    """Printed at exit, on SIGUSR1 and by ``GET /counters``."""

    taken: int = 0  #: exchanges, each of which is owed one final answer
    served: int = 0
    shed: int = 0
    failed: int = 0
    client_gone: int = 0  #: closed by the client before its answer
    bad_input: int = 0  #: refused with 400, 404 or 413, never taken
    attempts: int = 0
    attempt_ok: int = 0
    attempt_error: int = 0
    attempt_full: int = 0
    attempt_timeout: int = 0
    attempt_connect_failed: int = 0
    attempt_reset: int = 0
    attempt_cancelled: int = 0
    attempt_moot: int = 0
    withdrawn: int = 0  #: DELETEs sent to workers
    job_events: int = 0  #: call-backs of workers
    job_events_stale: int = 0  #: of these, for an attempt that had ended, or for none
    connections_in: int = 0
    connections_in_closed_early: int = 0  #: closed to make room for others, to stay within the descriptors
    connections_in_silent: int = 0  #: closed since no whole request came in time
    connections_out: int = 0  #: to workers: each costs a handshake
    accept_pauses: int = 0  #: times that no descriptor was left for a new client
    watch_answers: int = 0
    watch_failures: int = 0
    list_lines: int = 0  #: entries that discovery has sent

    def as_dict(self) -> dict[str, int]:
        return asdict(self)
