"""The operator's own file: what an installation sets beside what its platform tells the scheduler.

TOML, named by ``--file`` or ``CARTHINGE_FILE``.  Every key has a default, and a part that is not named is
off.  ``deploy/carthinge.toml`` shows all of them.  Spans are numbers of seconds or ISO 8601 durations
(``"PT15S"``).
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Final, get_type_hints

import msgspec

if TYPE_CHECKING:
    from ipaddress import IPv4Address, IPv6Address

LEAST_KEY: Final = 16  # bytes
LONGEST_PERIOD: Final = timedelta(minutes=1)

Count = Annotated[int, msgspec.Meta(ge=1)]
Bytes = Annotated[int, msgspec.Meta(ge=1024 * 1024)]


class FileError(Exception):
    """The file cannot be used; the text names the path of the key and what was wanted there."""


class DurableOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Jobs that outlive the scheduler (docs/durable.md)."""

    folder: str = ""  #: where the store is; off without one
    classes: list[str] = []  #: the durable ones, by the names that the site gives them
    keep_results: timedelta = timedelta(hours=1)  #: from the end of a job until it is forgotten
    keep_collected: timedelta = timedelta(minutes=10)  #: the same once a client has had the result
    max_open: Count = 100_000  #: open jobs; more are shed
    max_open_per_tenant: Count = 50_000
    max_open_bytes: Bytes = 256 * 1024 * 1024  #: of the bodies of open jobs, which are held in memory
    max_store_bytes: Bytes = 4 * 1024 * 1024 * 1024  #: on disk; nine tenths of it for new jobs
    max_backlog: Count = 20_000  #: records that wait for the disk; with more, durable jobs are shed
    recover_per_s: Count = 500  #: recovered jobs that may begin to compete with new ones


class LeaseOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Leases of workers that take part in them."""

    duration: timedelta = timedelta(seconds=10)  #: without a sign from its worker a lease ends


class FleetOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Talk between schedulers (docs/fleet-talk.md)."""

    listen: str = ""  #: an address of this machine, for datagrams; off without one
    advertise: str = ""  #: where the others reach it, if that is another
    members: list[str] = []  #: addresses of some schedulers, or of all; the own one may be among them
    period: timedelta = timedelta(seconds=1)  #: of heartbeats; every other span follows from it
    key_file: str = ""  #: a file with a secret that all share; without one anybody may take part


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    durable: DurableOptions = DurableOptions()
    leases: LeaseOptions = LeaseOptions()
    fleet: FleetOptions = FleetOptions()


LEAST_SPANS = {
    "durable.keep_results": timedelta(seconds=1),
    "durable.keep_collected": timedelta(),
    "leases.duration": timedelta(milliseconds=100),
    "fleet.period": timedelta(milliseconds=100),
}


def read(path: str | None) -> Options:
    """What the file says; all defaults without one.  FileError where it cannot be used."""
    if not path:
        return Options()
    import tomllib  # only here: a scheduler without such a file does not pay for it

    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        raise FileError(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise FileError(f"{path}: not TOML: {fault}") from None
    for unknown in _unknown(raw, Options):
        raise FileError(f"{path}: {unknown}")
    try:
        options = msgspec.convert(_with_spans(raw, Options), Options)
    except OverflowError:
        raise FileError(f"{path}: a span of seconds is out of range") from None
    except msgspec.ValidationError as fault:
        what, _, where = str(fault).partition(" - at `$.")
        raise FileError(f"{path}: {where.rstrip('`') or 'the file'}: {what}") from None
    for key, least in LEAST_SPANS.items():
        part, name = key.split(".")
        if getattr(getattr(options, part), name) < least:
            raise FileError(f"{path}: {key}: expected a span of at least {least.total_seconds()} s")
    if options.durable.classes and not options.durable.folder:
        raise FileError(f"{path}: durable.folder: expected a folder, since durable.classes names classes")
    if options.fleet != FleetOptions():
        for wrong in _fleet_faults(options.fleet):
            raise FileError(f"{path}: fleet.{wrong}")
    return options


def _fleet_faults(fleet: FleetOptions) -> Iterator[str]:
    """What is wrong, each with the path of its key."""
    if not fleet.listen:
        yield "listen: expected an address, since others of this part are set"
    if fleet.period > LONGEST_PERIOD:
        yield f"period: expected a span of at most {LONGEST_PERIOD.total_seconds():.0f} s"
    named = [("listen", fleet.listen), ("advertise", fleet.advertise or fleet.listen)]
    for key, address in named + [(f"members[{at}]", member) for at, member in enumerate(fleet.members)]:
        host, _, port = address.rpartition(":")
        try:
            nowhere = ip_of(host).is_unspecified and key != "listen"
        except ValueError:
            nowhere = True
        if nowhere or not (port.isdigit() and 0 < int(port) < 65536):
            yield f"{key}: expected the address of one machine, such as 10.0.0.7:7946, got {address!r}"
    if fleet.key_file:
        try:
            secret = Path(fleet.key_file).read_bytes().strip()
        except OSError as fault:
            yield f"key_file: {fault.strerror}"
        else:
            if len(secret) < LEAST_KEY:
                yield f"key_file: expected a secret of at least {LEAST_KEY} bytes"


def ip_of(host: str) -> IPv4Address | IPv6Address:
    """A host as it stands in an address; ValueError for a name."""
    import ipaddress  # only here: a scheduler that talks to no other does not pay for it

    return ipaddress.ip_address(host[1:-1] if host.startswith("[") and host.endswith("]") else host)


def check_classes(options: Options, classes: tuple[str, ...]) -> None:
    """The file's classes are the site's; FileError where one is not."""
    for index, name in enumerate(options.durable.classes):
        if name not in classes:
            near = _nearest(name, classes)
            raise FileError(f"durable.classes[{index}]: {name!r} is not a class of this site{near}")


def _unknown(raw: Mapping[str, Any], struct: type[msgspec.Struct], prefix: str = "") -> Iterator[str]:
    """Keys that nobody reads, each with the known name that it was most likely meant to be."""
    known = get_type_hints(struct)
    for name, value in raw.items():
        if name not in known:
            yield f"{prefix}{name}: no such key{_nearest(name, tuple(known))}"
        elif (
            isinstance(value, Mapping)
            and isinstance(known[name], type)
            and issubclass(known[name], msgspec.Struct)
        ):
            yield from _unknown(value, known[name], f"{prefix}{name}.")


def _with_spans(raw: Mapping[str, Any], struct: type[msgspec.Struct]) -> dict[str, Any]:
    """Numbers where spans are wanted are seconds."""
    known = get_type_hints(struct)

    def converted(name: str, value: object) -> object:
        if known[name] is timedelta and isinstance(value, int | float) and not isinstance(value, bool):
            return timedelta(seconds=value)
        if (
            isinstance(value, Mapping)
            and isinstance(known[name], type)
            and issubclass(known[name], msgspec.Struct)
        ):
            return _with_spans(value, known[name])
        return value

    return {name: converted(name, value) for name, value in raw.items()}


def _nearest(name: str, known: tuple[str, ...]) -> str:
    from difflib import get_close_matches

    near = get_close_matches(name, known, 1)
    return f"; did you mean {near[0]!r}?" if near else f"; known are {', '.join(known)}"
