"""The operator's configuration file: settings of an installation beside those of its platform.

TOML, named by ``--file`` or ``CARTHINGE_FILE``.  Every key has a default, and a section that is missing is
off.  ``deploy/carthinge.toml`` shows all keys.  Durations are numbers of seconds or ISO 8601 durations
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

MIN_KEY_BYTES: Final = 16
MAX_PERIOD: Final = timedelta(minutes=1)

Count = Annotated[int, msgspec.Meta(ge=1)]
Bytes = Annotated[int, msgspec.Meta(ge=1024 * 1024)]


class FileError(Exception):
    """The file cannot be used; the message names the path of the key and what was expected."""


class DurableOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Jobs that outlive the scheduler (docs/durable.md)."""

    folder: str = ""  #: of the store; durable jobs are off without one
    classes: list[str] = []  #: names of the durable classes, as in the site's settings
    keep_results: timedelta = timedelta(hours=1)  #: time from the end of a job until it is deleted
    keep_collected: timedelta = timedelta(minutes=10)  #: the same once a client has got the result
    max_open: Count = 100_000  #: open jobs; further ones are shed
    max_open_per_tenant: Count = 50_000
    max_open_bytes: Bytes = 256 * 1024 * 1024  #: bodies of open jobs, which are held in memory
    max_store_bytes: Bytes = 4 * 1024 * 1024 * 1024  #: on disk; new jobs may use nine tenths of it
    max_backlog: Count = 20_000  #: records not yet written; beyond that durable jobs are shed
    recover_per_s: Count = 500  #: recovered jobs that are released to compete with new ones


class LeaseOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Leases of workers that support them."""

    duration: timedelta = timedelta(seconds=10)  #: a lease expires after this time without a heartbeat


class FleetOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Communication between schedulers (docs/fleet-talk.md)."""

    listen: str = ""  #: local UDP address; off without one
    advertise: str = ""  #: address at which the others reach it, if different
    members: list[str] = []  #: addresses of some or all schedulers; may include its own
    period: timedelta = timedelta(seconds=1)  #: heartbeat interval; all others are derived from it
    key_file: str = ""  #: file with the shared secret; without one anybody can join


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    durable: DurableOptions = DurableOptions()
    leases: LeaseOptions = LeaseOptions()
    fleet: FleetOptions = FleetOptions()


MIN_DURATIONS = {
    "durable.keep_results": timedelta(seconds=1),
    "durable.keep_collected": timedelta(),
    "leases.duration": timedelta(milliseconds=100),
    "fleet.period": timedelta(milliseconds=100),
}


def read(path: str | None) -> Options:
    """Read the file; return the defaults without one.  FileError if it cannot be used."""
    if not path:
        return Options()
    import tomllib  # imported here since it is not needed without a file

    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FileError(f"{path}: not TOML: {error}") from None
    for unknown in _unknown_keys(raw, Options):
        raise FileError(f"{path}: {unknown}")
    try:
        options = msgspec.convert(_convert_durations(raw, Options), Options)
    except OverflowError:
        raise FileError(f"{path}: a duration in seconds is out of range") from None
    except msgspec.ValidationError as error:
        message, _, key_path = str(error).partition(" - at `$.")
        raise FileError(f"{path}: {key_path.rstrip('`') or 'the file'}: {message}") from None
    for key, minimum in MIN_DURATIONS.items():
        part, name = key.split(".")
        if getattr(getattr(options, part), name) < minimum:
            raise FileError(f"{path}: {key}: expected a duration of at least {minimum.total_seconds()} s")
    if options.durable.classes and not options.durable.folder:
        raise FileError(f"{path}: durable.folder: expected a folder, since durable.classes names classes")
    if options.fleet != FleetOptions():
        for problem in _fleet_errors(options.fleet):
            raise FileError(f"{path}: fleet.{problem}")
    return options


def _fleet_errors(fleet: FleetOptions) -> Iterator[str]:
    """Yield an error message for each invalid key, beginning with its path."""
    if not fleet.listen:
        yield "listen: expected an address, since other keys of this section are set"
    if fleet.period > MAX_PERIOD:
        yield f"period: expected a duration of at most {MAX_PERIOD.total_seconds():.0f} s"
    named = [("listen", fleet.listen), ("advertise", fleet.advertise or fleet.listen)]
    for key, address in named + [(f"members[{index}]", member) for index, member in enumerate(fleet.members)]:
        host, _, port = address.rpartition(":")
        try:
            invalid = ip_of(host).is_unspecified and key != "listen"
        except ValueError:
            invalid = True
        if invalid or not (port.isdigit() and 0 < int(port) < 65536):
            yield f"{key}: expected the address of one machine, such as 10.0.0.7:7946, got {address!r}"
    if fleet.key_file:
        try:
            secret = Path(fleet.key_file).read_bytes().strip()
        except OSError as error:
            yield f"key_file: {error.strerror}"
        else:
            if len(secret) < MIN_KEY_BYTES:
                yield f"key_file: expected a secret of at least {MIN_KEY_BYTES} bytes"


def ip_of(host: str) -> IPv4Address | IPv6Address:
    """Parse the host part of an address; ValueError for a name."""
    import ipaddress  # imported here since only a fleet needs it

    return ipaddress.ip_address(host[1:-1] if host.startswith("[") and host.endswith("]") else host)


def check_classes(options: Options, classes: tuple[str, ...]) -> None:
    """Check that the site has all classes of the file; FileError if not."""
    for index, name in enumerate(options.durable.classes):
        if name not in classes:
            suggestion = _suggestion(name, classes)
            raise FileError(f"durable.classes[{index}]: {name!r} is not a class of this site{suggestion}")


def _unknown_keys(raw: Mapping[str, Any], struct: type[msgspec.Struct], prefix: str = "") -> Iterator[str]:
    """Yield an error message for each unknown key, with the most similar known one."""
    known = get_type_hints(struct)
    for name, value in raw.items():
        if name not in known:
            yield f"{prefix}{name}: no such key{_suggestion(name, tuple(known))}"
        elif (
            isinstance(value, Mapping)
            and isinstance(known[name], type)
            and issubclass(known[name], msgspec.Struct)
        ):
            yield from _unknown_keys(value, known[name], f"{prefix}{name}.")


def _convert_durations(raw: Mapping[str, Any], struct: type[msgspec.Struct]) -> dict[str, Any]:
    """Convert numbers to durations in seconds where a duration is expected."""
    known = get_type_hints(struct)

    def convert(name: str, value: object) -> object:
        if known[name] is timedelta and isinstance(value, int | float) and not isinstance(value, bool):
            return timedelta(seconds=value)
        if (
            isinstance(value, Mapping)
            and isinstance(known[name], type)
            and issubclass(known[name], msgspec.Struct)
        ):
            return _convert_durations(value, known[name])
        return value

    return {name: convert(name, value) for name, value in raw.items()}


def _suggestion(name: str, known: tuple[str, ...]) -> str:
    from difflib import get_close_matches

    suggestion = get_close_matches(name, known, 1)
    return f"; did you mean {suggestion[0]!r}?" if suggestion else f"; known are {', '.join(known)}"
