"""Parser of a scheduler's settings, shared by the simulator's adapter and the real program.

The simulator sends them as ``path=value`` lines, a real scheduler reads them as nested JSON from its
configuration; names and units are the same.  Both are first converted to one table from paths to values.
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
    """The settings of the dispatcher, and those that the rest of the program needs."""

    dispatcher_settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: tuple[str, ...]  #: as the workers name them, in the dispatcher's order
    connect_timeout: timedelta
    idle_close: timedelta  #: idle time after which a worker closes a connection
    max_retry_after: timedelta
    list_is_pushed: bool  #: an agent pushes the list; what the agent has counts as known to the scheduler
    drain_grace: timedelta  #: time after which a draining worker may get no new job


class SettingsTable:
    """Settings by path; errors name the path.  ``typed`` ones must have the right JSON type."""

    def __init__(self, values: Mapping[str, object], typed: bool = False) -> None:
        self.values = values
        self._check_types = typed

    @classmethod
    def from_lines(cls, text: str) -> SettingsTable:
        """Parse the simulator's ``path=value`` lines."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def from_nested(cls, nested: Mapping[str, Any]) -> SettingsTable:
        """Flatten nested JSON; a list of objects gets a count, as in the simulator's lines."""
        return cls(dict(_flatten(nested)), typed=True)

    def text(self, path: str, default: str | None = None) -> str:
        """Return a string; ValueError if it is missing and has no default."""
        value = self.values.get(path, default)
        if value is None:
            raise ValueError(f"{path}: missing")
        self._check(path, value, str)
        return str(value)

    def underscored_text(self, path: str) -> str:
        """Return a phrase with underscores for blanks, as the simulator's lines have it.

        Otherwise "free slots" in JSON would not be recognized and load reports would go unused.
        """
        return self.text(path, "").replace(" ", "_")

    def number(self, path: str, default: float | None = None) -> float:
        """Return a finite number."""
        raw = self.values.get(path, default)
        if raw is None:
            raise ValueError(f"{path}: missing")
        self._check(path, raw, int, float)
        try:
            parsed = float(str(raw))
        except ValueError:
            raise ValueError(f"{path}: not a number: {raw!r}") from None
        if not math.isfinite(parsed):
            raise ValueError(f"{path}: not finite: {raw!r}")
        return parsed

    def integer(self, path: str, default: int | None = None) -> int:
        """Return a number as an integer, truncated."""
        return int(self.number(path, default))

    def _check(self, path: str, value: object, *kinds: type) -> None:
        """Reject JSON values that would be converted silently, such as "5" for a number or 1 for a flag."""
        if self._check_types and (
            not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds)
        ):
            raise ValueError(f"{path}: wrong type: {value!r}")

    def duration(self, path: str, default: timedelta) -> timedelta:
        """Return a duration that is given in microseconds."""
        return timedelta(microseconds=self.number(path, default / timedelta(microseconds=1)))

    def flag(self, path: str) -> bool:
        """Return a flag, False if it is missing."""
        value = self.values.get(path, False)
        self._check(path, value, bool)
        return value in ("true", True)

    def text_list(self, path: str) -> list[str]:
        """Return a list of strings, empty if it is missing."""
        raw = self.values.get(path) or []
        self._check(path, raw, list)
        return [str(item) for item in (raw.split(",") if isinstance(raw, str) else _as_list(raw))]

    def choice(self, path: str, choices: dict[str, T], default: str) -> T:
        """Return the choice that a string names; ValueError if there is none."""
        raw = self.text(path, default)
        if raw not in choices:
            raise ValueError(f"{path}: unknown value {raw!r}")
        return choices[raw]


def key_paths(nested: Mapping[str, Any], prefix: str = "") -> set[str]:
    """Return the paths of all keys; of a list of objects, those that all its objects have."""
    paths = set()
    for name, value in nested.items():
        paths.add(path := prefix + name)
        if isinstance(value, Mapping):
            paths |= key_paths(value, path + ".")
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            paths |= set.intersection(*(key_paths(item, path + ".*.") for item in value))
    return paths


def _as_list(raw: object) -> list[object]:
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


def read_site(table: SettingsTable) -> Site:
    """Read the settings of the dispatcher and what else the real program needs."""
    settings = read_settings(table)
    return Site(
        # A dispatcher's messages have no transport between real schedulers, whatever a site allows.
        dispatcher_settings=replace(settings, may_send_messages=False),
        classes=_unique_names(table, "services"),
        tenants=_unique_names(table, "tenants"),
        zones=tuple(table.text_list("zones")),
        kinds=tuple(table.text_list("machine_types")),
        report_fields=tuple(table.text_list("load_info.fields")),
        connect_timeout=table.duration("caps.dial_timeout", timedelta(milliseconds=250)),
        idle_close=table.duration("caps.idle_close", timedelta(seconds=5)),
        max_retry_after=timedelta(microseconds=settings.max_retry_after * settings.may_send_retry_after),
        list_is_pushed=_is_pushed(table),
        drain_grace=table.duration("rules.drain_grace", timedelta()),
    )


def _is_pushed(table: SettingsTable) -> bool:
    return table.choice("membership_mode", {"automatic": True, "subscribe": False}, "automatic")


def _unique_names(table: SettingsTable, path: str) -> tuple[str, ...]:
    names = tuple(table.text(f"{path}.{i}.name") for i in range(table.integer(f"{path}.count", 0)))
    if len(set(names)) < len(names):
        raise ValueError(f"{path}: duplicate name")
    return names


def read_settings(table: SettingsTable) -> Settings:
    """Read the settings of one instance; unknown keys are ignored."""
    names = {
        "rif": "held",
        "inflight": "held",
        "x0": table.underscored_text("extra.report_x0"),
        "x1": table.underscored_text("extra.report_x1"),
    }
    fields = tuple(names.get(field, field) for field in table.text_list("load_info.fields"))
    return Settings(
        classes=tuple(_read_class(table, i) for i in range(table.integer("services.count"))),
        tenants=tuple(
            Tenant(table.number(f"tenants.{i}.share", 0), table.number(f"tenants.{i}.quota_per_s", 0))
            for i in range(table.integer("tenants.count", 0))
        ),
        kinds=max(1, len(table.text_list("machine_types"))),
        instances=table.integer("instances"),
        position=table.integer("position"),
        zone=table.integer("az", 0),
        weights=table.choice("weights", WEIGHTS, "off"),
        reports=table.choice("load_info.how", REPORTS, "off"),
        report_fields=fields,
        tells_start=table.flag("extra.tells_start"),
        progress=table.integer("extra.progress", 0),
        subscribe=not _is_pushed(table),
        worth_by_work=table.text("counted_by", "request") == "work",
        over_share_worth=table.number("over_share_worth", 1),
        may_probe=table.flag("caps.probing"),
        may_send_messages=table.flag("caps.peers"),
        may_cancel=table.flag("caps.cancel"),
        may_hedge=table.flag("caps.second_copies"),
        may_send_retry_after=table.flag("caps.retry_after"),
        try_limit=table.integer("caps.try_limit"),
        max_retry_after=table.integer("caps.max_retry_after", 0),
        idle_close=table.integer("caps.idle_close", 0),
        price_probe=table.number("prices.probe", 0),
        price_connection=table.number("prices.connection", 0) + table.number("prices.handshake", 0),
        price_fetch=table.number("prices.origin", 0),
        price_message=table.number("prices.peer", 0),
        price_cross_zone=table.number("prices.cross_zone", 0),
        answer_grace=table.integer("rules.grace_to_answer", 0),
        drain_grace=table.integer("rules.drain_grace", 0),
        ask_within=table.integer("rules.ask_within", 0),
        cold_start_share=table.number("rules.start_capacity", 1),
        cold_time=table.integer("rules.cold", 0),
        fall_multiple=table.number("rules.fall_multiple", 1),
        fall_window=table.integer("rules.fall", 0),
    )


def _read_class(table: SettingsTable, index: int) -> JobClass:
    def extra(name: str, default: float) -> float:
        listed = table.text_list(f"extra.{name}")
        return float(listed[index]) if index < len(listed) else default

    prefix = f"services.{index}."
    effect = table.choice(prefix + "effect", EFFECTS, "")
    return JobClass(
        objective=table.integer(prefix + "objective"),
        deadline=table.integer(prefix + "hard_limit"),
        effect=effect,
        scope=table.choice(prefix + "group", SCOPES, "all"),
        window=table.integer(prefix + "window", None if effect is Effect.KEYED else 0),
        worth=table.number(prefix + "value", 1),
        late_worth=table.number(prefix + "late_worth", 0),
        stretch=extra("class_stretch", 0),
        kind=int(extra("class_kind", -1)),
        priority=int(extra("class_priority", 0)),
        streamed=table.flag(prefix + "stream"),
    )


def positions(names: tuple[str, ...], before: tuple[str, ...]) -> list[int]:
    """Return the old position of each name, -1 for a new one."""
    return [before.index(name) if name in before else -1 for name in names]
