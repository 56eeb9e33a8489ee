"""Load probes of workers, sent where the settings allow them and the dispatcher asks for one."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Final

from carthinge.interface import ProbeResult, Result
from carthinge.net.http import Answer, encode_request
from carthinge.net.load import read_load
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.outgoing_connection import OutgoingConnection
from carthinge.net.worker_client import WorkerClient
from carthinge.net.worker_directory import WorkerEndpoint

LOAD_PATH: Final = b"/metrics/load"
TIMEOUT_FACTOR: Final = 2  # connect timeouts: one to connect, one for the answer


class Probes:
    """Sends probes; each has exactly one result, which is passed to ``report``."""

    def __init__(
        self, loop: Loop, worker_client: WorkerClient, report: Callable[[ProbeResult], None]
    ) -> None:
        self.loop = loop
        self.worker_client = worker_client
        self._report = report

    def send(self, target: WorkerEndpoint, connect_timeout: timedelta) -> None:
        """Probe a worker; the probe fails if the worker is unreachable or does not answer in time."""
        probe = _Probe(self, target)
        connection = self.worker_client.acquire(target.address)
        self.loop.call_after(TIMEOUT_FACTOR * connect_timeout, lambda: probe.time_out(connection))
        probe.connection = connection
        connection.start(probe)

    def ended(
        self, target: WorkerEndpoint, result: Result, latency: timedelta, report: tuple[float, ...]
    ) -> None:
        """Report the result of a probe."""
        self._report(ProbeResult(target.number, result, latency // MICROSECOND, report))


class _Probe:
    """One probe in progress."""

    reads_body = True

    def __init__(self, probes: Probes, target: WorkerEndpoint) -> None:
        self.connection: OutgoingConnection | None = None
        self._probes = probes
        self._target = target
        self._sent = probes.loop.now

    def request(self) -> bytes:
        return encode_request("GET", LOAD_PATH, str(self._target.address))

    def written(self) -> None:
        """Nothing to do: only the answer counts."""

    def answered(self, answer: Answer) -> None:
        ok = answer.status == HTTPStatus.OK
        self.end(Result.OK if ok else Result.ERROR, read_load(answer.body))

    def broken(self, written: bool, why: str) -> None:
        self.end(Result.RESET if written else Result.CONNECT_FAILED)

    def time_out(self, connection: OutgoingConnection) -> None:
        if connection.call is self:
            connection.close()
            self.end(Result.TIMEOUT)

    def end(self, result: Result, load: dict[str, float] | None = None) -> None:
        probes = self._probes
        if self.connection is not None:
            probes.worker_client.free(self.connection)
        probes.ended(
            self._target, result, probes.loop.now - self._sent, probes.worker_client.load_report(load or {})
        )
