"""Probes: workers asked for their load, where the settings allow that and the module wants it."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Final

from carthinge.interface import ProbeResult, Result
from carthinge.net.caller import Caller
from carthinge.net.http import Answer, call_bytes
from carthinge.net.load import read_load
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.worker_client import WorkerClient
from carthinge.net.worker_directory import WorkerEndpoint

PATH: Final = b"/metrics/load"
ANSWERED_WITHIN: Final = 2  # times what a connection may take: that, and as much again for the answer


class Probes:
    """Carries out what the module asks for; each probe has one result, which goes to ``tell``."""

    def __init__(self, loop: Loop, worker_client: WorkerClient, tell: Callable[[ProbeResult], None]) -> None:
        self.loop = loop
        self.worker_client = worker_client
        self._tell = tell

    def send(self, target: WorkerEndpoint, connect_timeout: timedelta) -> None:
        """Asks a worker; one that cannot be reached or says nothing within its time has not answered."""
        probe = _Probe(self, target)
        caller = self.worker_client.connection(target.address)
        self.loop.call_after(ANSWERED_WITHIN * connect_timeout, lambda: probe.cut(caller))
        probe.caller = caller
        caller.start(probe)

    def ended(
        self, target: WorkerEndpoint, result: Result, took: timedelta, report: tuple[float, ...]
    ) -> None:
        """Tell the result of a probe."""
        self._tell(ProbeResult(target.number, result, took // MICROSECOND, report))


class _Probe:
    """One probe, up to its result."""

    def __init__(self, probes: Probes, target: WorkerEndpoint) -> None:
        self.caller: Caller | None = None
        self._probes = probes
        self._target = target
        self._sent = probes.loop.now

    def request(self) -> bytes:
        return call_bytes("GET", PATH, str(self._target.address))

    def written(self) -> None:
        """Nothing follows from that."""

    def answered(self, answer: Answer) -> None:
        well = answer.status == HTTPStatus.OK
        self.end(Result.OK if well else Result.ERROR, read_load(answer.body))

    def broken(self, written: bool, why: str) -> None:
        self.end(Result.RESET if written else Result.CONNECT_FAILED)

    def cut(self, caller: Caller) -> None:
        if caller.call is self:
            caller.close()
            self.end(Result.TIMEOUT)

    def end(self, result: Result, load: dict[str, float] | None = None) -> None:
        probes = self._probes
        if self.caller is not None:
            probes.worker_client.free(self.caller)
        probes.ended(
            self._target, result, probes.loop.now - self._sent, probes.worker_client.report(load or {})
        )
