"""Runs dispatchers for the simulator, over stdin and stdout: ``python -m carthinge.benchlink``.

It only translates between wire records and the types of interface.py.  The dispatchers share nothing but
decoded worker lists, which are immutable.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO, Final

from carthinge import wire
from carthinge.interface import (
    Abandoned,
    Arrival,
    Cancel,
    Event,
    Fail,
    Listing,
    LogLine,
    Message,
    Outcome,
    Probe,
    ProbeResult,
    ProgressReport,
    Refuse,
    Result,
    Send,
    SendMessage,
    SetTimer,
    State,
    StreamStarted,
    Timer,
    Watch,
    WorkerEntry,
    WorkerList,
)
from carthinge.policy import Dispatcher
from carthinge.settings import SettingsTable, read_settings
from carthinge.wire import ACTIONS, ActionCode, EventCode, Fields, WireError

RESULTS: Final = {
    200: Result.OK,
    502: Result.ERROR,
    429: Result.FULL,
    408: Result.TIMEOUT,
    521: Result.CONNECT_FAILED,
    520: Result.RESET,
    444: Result.CANCELLED,
    409: Result.NOT_SENT,
}


def worker_id(raw: bytes) -> int:
    """Return the integer id of a worker's address and port."""
    return int.from_bytes(raw, "little")


def _entry(raw: Fields) -> WorkerEntry:
    worker, zone, kind, cell, state, rating, started = raw
    return WorkerEntry(worker_id(worker), zone, kind, cell, State(state), rating, started)


def _arrival(fields: Fields) -> Arrival:
    _, request, job_class, tenant, key, give_up, hint, slots, memory, flags = fields
    return Arrival(
        request, job_class, give_up, tenant, key, hint if flags & 1 else None, slots, memory, bool(flags & 2)
    )


def _outcome(fields: Fields) -> Outcome:
    _, request, latency, finished, worker, attempt, status, _, report = fields
    return Outcome(request, attempt, worker_id(worker), RESULTS[status], latency, bool(finished), report)


def _progress_report(fields: Fields) -> ProgressReport:
    _, request, attempt, worker, change_kind, done = fields
    return ProgressReport(request, attempt, worker_id(worker), None if change_kind == 1 else done)


DECODERS: Final[dict[int, Callable[[Fields], Event]]] = {
    EventCode.REQUEST: _arrival,
    EventCode.ENDED: _outcome,
    EventCode.CHANGE: _progress_report,
    EventCode.WAKE: lambda f: Timer(f[1]),
    EventCode.ABANDONED: lambda f: Abandoned(f[1]),
    EventCode.ACCEPTED: lambda f: StreamStarted(f[1], f[2], worker_id(f[3])),
    EventCode.CHECK_RESULT: lambda f: ProbeResult(worker_id(f[1]), RESULTS[f[2]], f[3], f[4]),
    EventCode.MEMO: lambda f: Message(f[1], f[2]),
}


def _wire_worker(worker: int) -> bytes:
    return worker.to_bytes(6, "little")


ENCODERS: Final[dict[type, tuple[int, Callable[[int, Any], Fields]]]] = {
    Send: (ActionCode.ISSUE, lambda instance, a: (instance, a.request, _wire_worker(a.worker), a.timeout)),
    Refuse: (ActionCode.BOUNCE, lambda instance, a: (instance, a.request, a.retry_after)),
    Fail: (ActionCode.END_FAILED, lambda instance, a: (instance, a.request)),
    Cancel: (ActionCode.WITHDRAW, lambda instance, a: (instance, a.request, a.attempt)),
    Probe: (ActionCode.PROBE, lambda instance, a: (instance, _wire_worker(a.worker))),
    SetTimer: (ActionCode.SLEEP, lambda instance, a: (instance, a.token, a.due)),
    SendMessage: (
        ActionCode.MEMO_TO,
        lambda instance, a: (instance, wire.EVERY_PEER if a.to is None else a.to, a.body),
    ),
    Watch: (ActionCode.WATCH, lambda instance, a: (instance, 1)),
    LogLine: (ActionCode.LOG, lambda instance, a: (instance, a.text.encode()[:200])),
}


class Adapter:
    """The dispatchers of this process and the worker lists they refer to by number."""

    def __init__(self) -> None:
        self.dispatchers: dict[int, Dispatcher] = {}
        self.tables: dict[int, tuple[WorkerEntry, ...]] = {}
        self.reply: list[bytes] = []
        self.failed_instances: set[int] = set()

    def answer(self, frame: bytes) -> bytes:
        """Process a batch of events; return the encoded reply."""
        now, records = wire.decode_batch(frame)
        self.reply = []
        inbox: dict[int, list[Event]] = {}
        for code, fields in records:
            if code == EventCode.CATALOG:
                self.tables[fields[0]] = tuple(_entry(raw) for raw in fields[1])
                continue
            instance = fields[0]
            if code == EventCode.NEW_INSTANCE:
                inbox.pop(instance, None)
                self._run_step(instance, lambda i=instance, f=fields: self._start(i, f))  # type: ignore[misc]
            elif code == EventCode.SHUTDOWN:
                inbox.pop(instance, None)
                self.dispatchers.pop(instance, None)
            else:
                event = self._sync(fields) if code == EventCode.SYNC else DECODERS[code](fields)
                if instance in self.dispatchers:
                    inbox.setdefault(instance, []).append(event)
        for instance, events in inbox.items():
            self._run_step(instance, lambda i=instance, e=events: self._handle(i, now, e))  # type: ignore[misc]
        return wire.encode_reply(self.reply)

    def _run_step(self, instance: int, step: Callable[[], None]) -> None:
        """Run a step; report an exception of the decision code, which ends the simulation."""
        try:
            step()
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            if instance not in self.failed_instances:
                self.failed_instances.add(instance)
                frame_summary = traceback.extract_tb(error.__traceback__)[-1]
                text = f"{type(error).__name__}: {error} ({frame_summary.name}:{frame_summary.lineno})"
                self.reply.append(
                    wire.encode_record(ActionCode.BAIL_OUT, (instance, text.encode()[:1000]), ACTIONS)
                )

    def _start(self, instance: int, fields: Fields) -> None:
        self.dispatchers[instance] = Dispatcher(
            read_settings(SettingsTable.from_lines(fields[2].decode())), fields[1]
        )

    def _sync(self, fields: Fields) -> WorkerList:
        _, _, scope, table = fields
        listing = Listing(scope)
        if listing is Listing.FAILED:
            return WorkerList(listing)
        if table not in self.tables:
            raise WireError(f"table {table} was never given (SYNC, bytes 10 and 11)")
        return WorkerList(listing, self.tables[table])

    def _handle(self, instance: int, now: int, events: list[Event]) -> None:
        for action in self.dispatchers[instance].handle(now, events):
            code, to_fields = ENCODERS[type(action)]
            self.reply.append(wire.encode_record(code, to_fields(instance, action), ACTIONS))


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer batches until the input ends."""
    adapter = Adapter()
    while (frame := wire.read_frame(stdin)) is not None:
        stdout.write(adapter.answer(frame))
        stdout.flush()


def main() -> int:
    """Serve the simulator until its input ends; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
