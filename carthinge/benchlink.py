"""Hosts dispatchers on the bench's wire: ``python -m carthinge.benchlink``.

It translates between wire records and the types of interface.py and decides
nothing.  Instances share only decoded worker lists, which nobody changes.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO, Final, TypeVar

from carthinge import wire
from carthinge.interface import (
    Abandoned,
    Arrival,
    Cancel,
    Effect,
    Event,
    Fail,
    JobClass,
    Listing,
    LogLine,
    Message,
    Note,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Reports,
    Result,
    Scope,
    Send,
    SetTimer,
    Settings,
    State,
    StreamStarted,
    Tell,
    Tenant,
    Timer,
    Watch,
    Weights,
    WorkerEntry,
    WorkerList,
)
from carthinge.policy import Dispatcher
from carthinge.wire import ACTIONS, Act, Ev, Fields, WireError

T = TypeVar("T")
RESULTS: Final = {200: Result.OK, 502: Result.ERROR, 429: Result.FULL, 408: Result.TIMEOUT,
                  521: Result.CONNECT_FAILED, 520: Result.RESET, 444: Result.CANCELLED, 409: Result.MOOT}
EFFECTS: Final = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
REPORTS: Final = {"off": Reports.OFF, "inline": Reports.ANSWERS, "on_probe": Reports.PROBES}
WEIGHTS: Final = {weights.value: weights for weights in Weights}
SCOPES: Final = {scope.value: scope for scope in Scope}


class Facts:
    """The path=value lines an instance is given at its start, read with the fault named."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise ValueError(f"{path}: missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        raw = self.text(path, None if default is None else str(default))
        try:
            return float(raw)
        except ValueError:
            raise ValueError(f"{path}: not a number: {raw!r}") from None

    def whole(self, path: str, default: int | None = None) -> int:
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.values.get(path) == "true"

    def listed(self, path: str) -> list[str]:
        raw = self.values.get(path, "")
        return raw.split(",") if raw else []

    def choice(self, path: str, choices: dict[str, T], default: str) -> T:
        raw = self.text(path, default)
        if raw not in choices:
            raise ValueError(f"{path}: unknown value {raw!r}")
        return choices[raw]


def read_settings(text: str) -> Settings:
    """The settings of one instance; keys this adapter does not know are ignored."""
    facts = Facts(text)
    names = {"rif": "held", "x0": facts.text("extra.report_x0", ""), "x1": facts.text("extra.report_x1", "")}
    fields = tuple(names.get(field, field) for field in facts.listed("load_info.fields"))
    return Settings(
        classes=tuple(_read_class(facts, i) for i in range(facts.whole("services.count"))),
        tenants=tuple(
            Tenant(facts.number(f"tenants.{i}.share", 0), facts.number(f"tenants.{i}.quota_per_s", 0))
            for i in range(facts.whole("tenants.count", 0))
        ),
        kinds=max(1, len(facts.listed("machine_types"))),
        instances=facts.whole("instances"),
        position=facts.whole("position"),
        zone=facts.whole("az", 0),
        weights=facts.choice("weights", WEIGHTS, "off"),
        reports=facts.choice("load_info.how", REPORTS, "off"),
        report_fields=fields,
        tells_start=facts.flag("extra.tells_start"),
        progress=facts.whole("extra.progress", 0),
        subscribe=facts.text("membership_mode", "automatic") == "subscribe",
        worth_by_work=facts.text("counted_by", "request") == "work",
        over_share_worth=facts.number("over_share_worth", 1),
        may_probe=facts.flag("caps.probing"),
        may_tell=facts.flag("caps.peers"),
        may_cancel=facts.flag("caps.cancel"),
        may_copy=facts.flag("caps.second_copies"),
        may_advise=facts.flag("caps.retry_after"),
        try_limit=facts.whole("caps.try_limit"),
        max_retry_after=facts.whole("caps.max_retry_after", 0),
        price_probe=facts.number("prices.probe", 0),
        price_connection=facts.number("prices.connection", 0) + facts.number("prices.handshake", 0),
        price_fetch=facts.number("prices.origin", 0),
        price_message=facts.number("prices.peer", 0),
        price_cross_zone=facts.number("prices.cross_zone", 0),
        answer_grace=facts.whole("rules.grace_to_answer", 0),
        drain_grace=facts.whole("rules.drain_grace", 0),
        ask_within=facts.whole("rules.ask_within", 0),
        cold_start_share=facts.number("rules.start_capacity", 1),
        cold_time=facts.whole("rules.cold", 0),
        fall_multiple=facts.number("rules.fall_multiple", 1),
        fall_window=facts.whole("rules.fall", 0),
    )


def _read_class(facts: Facts, index: int) -> JobClass:
    def extra(name: str, default: float) -> float:
        listed = facts.listed(f"extra.{name}")
        return float(listed[index]) if index < len(listed) else default

    at = f"services.{index}."
    return JobClass(
        objective=facts.whole(at + "objective"),
        deadline=facts.whole(at + "hard_limit"),
        effect=facts.choice(at + "effect", EFFECTS, ""),
        scope=facts.choice(at + "group", SCOPES, "all"),
        window=facts.whole(at + "window", 0),
        worth=facts.number(at + "value", 1),
        late_worth=facts.number(at + "late_worth", 0),
        stretch=extra("class_stretch", 0),
        kind=int(extra("class_kind", -1)),
        priority=int(extra("class_priority", 0)),
        streamed=facts.flag(at + "stream"),
    )


def worker_id(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


def _entry(raw: Fields) -> WorkerEntry:
    worker, zone, kind, cell, state, rating, started = raw
    return WorkerEntry(worker_id(worker), zone, kind, cell, State(state), rating, started)


def _arrival(f: Fields) -> Arrival:
    _, request, job_class, tenant, key, give_up, hint, slots, memory, marks = f
    return Arrival(request, job_class, give_up, tenant, key, hint if marks & 1 else None, slots, memory,
                   bool(marks & 2))


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
        self.dispatchers[who] = Dispatcher(read_settings(fields[2].decode()), fields[1])

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
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
