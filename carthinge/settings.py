"""The one reader of a scheduler's settings, for the simulator's adapter and for the real program.

The simulator sends them as ``path=value`` lines, a real scheduler finds them as nested JSON in its
configuration; names and units are the same.  Both become one table from paths to values first.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any, Final, TypeVar

from carthinge.rules import Effect, JobClass, Reports, Scope, Settings, Tenant, Weights

T = TypeVar("T")
EFFECTS: Final = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
REPORTS: Final = {"off": Reports.OFF, "inline": Reports.ANSWERS, "on_probe": Reports.PROBES}
WEIGHTS: Final = {weights.value: weights for weights in Weights}
SCOPES: Final = {scope.value: scope for scope in Scope}


@dataclass(frozen=True, slots=True)
class Site:
    """What the program around the decision module needs to know of the site."""

    decisions: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: tuple[str, ...]  #: as workers name them, in the order the module reads them
    connect_timeout: timedelta
    idle_close: timedelta  #: the other side closes a connection that was idle for so long
    max_retry_after: timedelta
    pushed: bool  #: an agent beside the scheduler has the list; what it has counts as told
    drain_grace: timedelta  #: so long after that was told nothing new may go to a worker that leaves


class Facts:
    """Settings by path, read with the fault named; ``typed`` ones must be of the right JSON type."""

    def __init__(self, values: Mapping[str, object], typed: bool = False) -> None:
        self.values = values
        self._typed = typed

    @classmethod
    def from_lines(cls, text: str) -> Facts:
        """From the simulator's ``path=value`` lines."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def from_nested(cls, nested: Mapping[str, Any]) -> Facts:
        """From nested JSON; a list of objects gets a count, as it has in the lines."""
        return cls(dict(_flatten(nested)), typed=True)

    def text(self, path: str, default: str | None = None) -> str:
        """Return a text; ValueError where it is missing and has no default."""
        value = self.values.get(path, default)
        if value is None:
            raise ValueError(f"{path}: missing")
        self._check(path, value, str)
        return str(value)

    def word(self, path: str) -> str:
        """A phrase as one word.  The lines have it so; left as it is in JSON ("free slots"), it would not
        be known, and the module would go without load reports."""
        return self.text(path, "").replace(" ", "_")

    def number(self, path: str, default: float | None = None) -> float:
        """Return a finite number."""
        raw = self.values.get(path, default)
        if raw is None:
            raise ValueError(f"{path}: missing")
        self._check(path, raw, int, float)
        try:
            figure = float(str(raw))
        except ValueError:
            raise ValueError(f"{path}: not a number: {raw!r}") from None
        if not math.isfinite(figure):
            raise ValueError(f"{path}: not finite: {raw!r}")
        return figure

    def whole(self, path: str, default: int | None = None) -> int:
        """Return a number without its fraction."""
        return int(self.number(path, default))

    def _check(self, path: str, value: object, *kinds: type) -> None:
        """Guards against JSON that would pass for what it is not: "5" for a number, or 1 for a flag."""
        if self._typed and (not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds)):
            raise ValueError(f"{path}: of the wrong type: {value!r}")

    def span(self, path: str, default: timedelta) -> timedelta:
        """Return a span that is given in microseconds."""
        return timedelta(microseconds=self.number(path, default / timedelta(microseconds=1)))

    def flag(self, path: str) -> bool:
        """Return a flag, False where it is missing."""
        value = self.values.get(path, False)
        self._check(path, value, bool)
        return value in ("true", True)

    def listed(self, path: str) -> list[str]:
        """Return a list of texts, empty where it is missing."""
        raw = self.values.get(path) or []
        self._check(path, raw, list)
        return [str(item) for item in (raw.split(",") if isinstance(raw, str) else _items(raw))]

    def choice(self, path: str, choices: dict[str, T], default: str) -> T:
        """Return what a word stands for; ValueError where it stands for nothing."""
        raw = self.text(path, default)
        if raw not in choices:
            raise ValueError(f"{path}: unknown value {raw!r}")
        return choices[raw]


def shape_of(nested: Mapping[str, Any], prefix: str = "") -> set[str]:
    """Which keys there are, by path; of a list of objects those that all of them have."""
    paths = set()
    for name, value in nested.items():
        paths.add(path := prefix + name)
        if isinstance(value, Mapping):
            paths |= shape_of(value, path + ".")
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            paths |= set.intersection(*(shape_of(item, path + ".*.") for item in value))
    return paths


def _items(raw: object) -> list[object]:
    return raw if isinstance(raw, list) else [raw]


def _flatten(nested: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, object]]:
    for name, value in nested.items():
        path = prefix + name
        if isinstance(value, Mapping):
            yield from _flatten(value, path + ".")
        elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
            yield path + ".count", len(value)
            yield from _flatten({str(index): item for index, item in enumerate(value)}, path + ".")
        else:
            yield path, value


def read_site(facts: Facts) -> Site:
    """The settings of the module and what else the real program needs."""
    decisions = read_settings(facts)
    return Site(
        # Real schedulers have no way to talk to each other, whatever a site would allow.
        decisions=replace(decisions, may_tell=False),
        classes=_names(facts, "services"),
        tenants=_names(facts, "tenants"),
        zones=tuple(facts.listed("zones")),
        kinds=tuple(facts.listed("machine_types")),
        report_fields=tuple(facts.listed("load_info.fields")),
        connect_timeout=facts.span("caps.dial_timeout", timedelta(milliseconds=250)),
        idle_close=facts.span("caps.idle_close", timedelta(seconds=5)),
        max_retry_after=timedelta(microseconds=decisions.max_retry_after * decisions.may_advise),
        pushed=_pushed(facts),
        drain_grace=facts.span("rules.drain_grace", timedelta()),
    )


def _pushed(facts: Facts) -> bool:
    return facts.choice("membership_mode", {"automatic": True, "subscribe": False}, "automatic")


def _names(facts: Facts, path: str) -> tuple[str, ...]:
    names = tuple(facts.text(f"{path}.{i}.name") for i in range(facts.whole(f"{path}.count", 0)))
    if len(set(names)) < len(names):
        raise ValueError(f"{path}: a name comes twice")
    return names


def read_settings(facts: Facts) -> Settings:
    """The settings of one instance; keys this reader does not know are ignored."""
    names = {
        "rif": "held",
        "inflight": "held",
        "x0": facts.word("extra.report_x0"),
        "x1": facts.word("extra.report_x1"),
    }
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
        subscribe=not _pushed(facts),
        worth_by_work=facts.text("counted_by", "request") == "work",
        over_share_worth=facts.number("over_share_worth", 1),
        may_probe=facts.flag("caps.probing"),
        may_tell=facts.flag("caps.peers"),
        may_cancel=facts.flag("caps.cancel"),
        may_copy=facts.flag("caps.second_copies"),
        may_advise=facts.flag("caps.retry_after"),
        try_limit=facts.whole("caps.try_limit"),
        max_retry_after=facts.whole("caps.max_retry_after", 0),
        idle_close=facts.whole("caps.idle_close", 0),
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
    effect = facts.choice(at + "effect", EFFECTS, "")
    return JobClass(
        objective=facts.whole(at + "objective"),
        deadline=facts.whole(at + "hard_limit"),
        effect=effect,
        scope=facts.choice(at + "group", SCOPES, "all"),
        window=facts.whole(at + "window", None if effect is Effect.KEYED else 0),
        worth=facts.number(at + "value", 1),
        late_worth=facts.number(at + "late_worth", 0),
        stretch=extra("class_stretch", 0),
        kind=int(extra("class_kind", -1)),
        priority=int(extra("class_priority", 0)),
        streamed=facts.flag(at + "stream"),
    )


def positions(names: tuple[str, ...], before: tuple[str, ...]) -> list[int]:
    """Where each of these names stood before, -1 where it did not."""
    return [before.index(name) if name in before else -1 for name in names]
