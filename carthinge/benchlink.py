"""Hosts dispatchers on the bench's wire: ``python -m carthinge.benchlink``.

It translates between wire records and the types of interface.py and decides
nothing.  Instances share only decoded worker lists, which nobody changes.
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
    Note,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Result,
    Send,
    SetTimer,
    State,
    StreamStarted,
    Tell,
    Timer,
    Watch,
    WorkerEntry,
    WorkerList,
)
from carthinge.policy import Dispatcher
from carthinge.settings import Facts, read_settings
from carthinge.wire import ACTIONS, Act, Ev, Fields, WireError

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


def _arrival(f: Fields) -> Arrival:
    _, request, job_class, tenant, key, give_up, hint, slots, memory, marks = f
    return Arrival(
        request, job_class, give_up, tenant, key, hint if marks & 1 else None, slots, memory, bool(marks & 2)
    )


def _outcome(f: Fields) -> Outcome:
    _, request, lag, finished, worker, attempt, status, _, report = f
    return Outcome(request, attempt, worker_id(worker), RESULTS[status], lag, bool(finished), report)


def _note(f: Fields) -> Note:
    _, request, attempt, worker, sort, level = f
    return Note(request, attempt, worker_id(worker), None if sort == 1 else level)


TRANSLATORS: Final[dict[int, Callable[[Fields], Event]]] = {
    Ev.REQUEST: _arrival,
    Ev.ENDED: _outcome,
    Ev.CHANGE: _note,
    Ev.WAKE: lambda f: Timer(f[1]),
    Ev.ABANDONED: lambda f: Abandoned(f[1]),
    Ev.ACCEPTED: lambda f: StreamStarted(f[1], f[2], worker_id(f[3])),
    Ev.CHECK_RESULT: lambda f: ProbeResult(worker_id(f[1]), RESULTS[f[2]], f[3], f[4]),
    Ev.MEMO: lambda f: Message(f[1], f[2]),
}


def _wire_worker(worker: int) -> bytes:
    return worker.to_bytes(6, "little")


ENCODERS: Final[dict[type, tuple[int, Callable[[int, Any], Fields]]]] = {
    Send: (Act.ISSUE, lambda who, a: (who, a.request, _wire_worker(a.worker), a.timeout)),
    Refuse: (Act.BOUNCE, lambda who, a: (who, a.request, a.stay_away)),
    Fail: (Act.END_FAILED, lambda who, a: (who, a.request)),
    Cancel: (Act.WITHDRAW, lambda who, a: (who, a.request, a.attempt)),
    Probe: (Act.PROBE, lambda who, a: (who, _wire_worker(a.worker))),
    SetTimer: (Act.SLEEP, lambda who, a: (who, a.token, a.due)),
    Tell: (Act.MEMO_TO, lambda who, a: (who, wire.EVERY_PEER if a.to is None else a.to, a.body)),
    Watch: (Act.WATCH, lambda who, a: (who, 1)),
    LogLine: (Act.LOG, lambda who, a: (who, a.text.encode()[:200])),
}


class Host:
    """The dispatchers of this process and the numbered lists they were told of."""

    def __init__(self) -> None:
        self.dispatchers: dict[int, Dispatcher] = {}
        self.tables: dict[int, tuple[WorkerEntry, ...]] = {}
        self.reply: list[bytes] = []
        self.faulted: set[int] = set()

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        now, records = wire.decode_batch(frame)
        self.reply = []
        inbox: dict[int, list[Event]] = {}
        for code, fields in records:
            if code == Ev.CATALOG:
                self.tables[fields[0]] = tuple(_entry(raw) for raw in fields[1])
                continue
            who = fields[0]
            if code == Ev.NEW_INSTANCE:
                inbox.pop(who, None)
                self._guarded(who, lambda w=who, f=fields: self._start(w, f))  # type: ignore[misc]
            elif code == Ev.SHUTDOWN:
                inbox.pop(who, None)
                self.dispatchers.pop(who, None)
            else:
                event = self._sync(fields) if code == Ev.SYNC else TRANSLATORS[code](fields)
                if who in self.dispatchers:
                    inbox.setdefault(who, []).append(event)
        for who, events in inbox.items():
            self._guarded(who, lambda w=who, e=events: self._act(w, now, e))  # type: ignore[misc]
        return wire.encode_reply(self.reply)

    def _guarded(self, who: int, step: Callable[[], None]) -> None:
        """A bug in the decision code ends the day with its text; it is never swallowed."""
        try:
            step()
        except Exception as fault:
            traceback.print_exc(file=sys.stderr)
            if who not in self.faulted:
                self.faulted.add(who)
                where = traceback.extract_tb(fault.__traceback__)[-1]
                text = f"{type(fault).__name__}: {fault} ({where.name}:{where.lineno})"
                self.reply.append(wire.encode_record(Act.BAIL_OUT, (who, text.encode()[:1000]), ACTIONS))

    def _start(self, who: int, fields: Fields) -> None:
        self.dispatchers[who] = Dispatcher(read_settings(Facts.from_lines(fields[2].decode())), fields[1])

    def _sync(self, fields: Fields) -> WorkerList:
        _, _, scope, table = fields
        listing = Listing(scope)
        if listing is Listing.FAILED:
            return WorkerList(listing)
        if table not in self.tables:
            raise WireError(f"table {table} was never given (SYNC, bytes 10 and 11)")
        return WorkerList(listing, self.tables[table])

    def _act(self, who: int, now: int, events: list[Event]) -> None:
        for action in self.dispatchers[who].handle(now, events):
            code, fields_of = ENCODERS[type(action)]
            self.reply.append(wire.encode_record(code, fields_of(who, action), ACTIONS))


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while (frame := wire.read_frame(stdin)) is not None:
        stdout.write(host.answer(frame))
        stdout.flush()


def main() -> int:
    """Serve the simulator until its input ends; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
