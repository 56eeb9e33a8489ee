"""What a scheduler is told at its start, read from the environment and the file that it names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from carthinge.net.http import Address
from carthinge.net.members import Listed
from carthinge.operator_file import FileError, Options, check_classes, read
from carthinge.settings import Facts, Site, read_site, shape_of

LONGEST_NAME: Final = 64  # bytes, where schedulers talk


class ConfigError(Exception):
    """The configuration is of no use; the text names the fault."""


class Limits(msgspec.Struct, frozen=True):
    """What the machine gives the program."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class _File(msgspec.Struct, frozen=True):
    name: str
    listen: str
    discovery: str
    seed: str
    settings: dict[str, Any]
    operator: str | None = None
    limits: Limits = Limits()
    known: Listed = Listed()


_FILES: Final[msgspec.json.Decoder[_File]] = msgspec.json.Decoder(_File)


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that the program needs to know before it can serve."""

    name: str
    listen: Address
    listening: int | None  #: a descriptor that listens there already, if one was inherited
    operator: Address | None  #: where operators call, if anywhere
    discovery: Address
    seed: int
    limits: Limits
    known: Listed
    site: Site
    shape: frozenset[str]  #: the keys that the settings have
    options: Options  #: the operator's own file


def reload(environment: Mapping[str, str], before: Config) -> Config:
    """The configuration as the file has it now; ConfigError where it lacks what the one before had.

    The operator's own file is not read again: it holds from start to start.
    Discovery is taken from the file: a running program's environment cannot be replaced, so that what it
    says of discovery is as old as the start.
    """
    config = load(
        {
            name: value
            for name, value in environment.items()
            if name not in ("RELAY_DISCOVERY", "CARTHINGE_FILE")
        }
    )
    missing = sorted(before.shape - config.shape)
    if missing:
        raise ConfigError(f"settings: {missing[0]}: missing, though the settings in force have it")
    return config


def load(environment: Mapping[str, str], file_path: str | None = None) -> Config:
    """The configuration; addresses and name in the environment go before those in the file.

    ``file_path``: the operator's own file, by default the one that CARTHINGE_FILE names.
    """
    try:
        options = read(file_path or environment.get("CARTHINGE_FILE"))
    except FileError as fault:
        raise ConfigError(str(fault)) from None
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        file = _FILES.decode(Path(path).read_bytes())
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except msgspec.MsgspecError as fault:
        raise ConfigError(f"{path}: {fault}") from None
    try:
        for member in file.known.members:
            Address.parse(member.host_port)
        operator = environment.get("RELAY_OPERATOR") or file.operator
        site = read_site(Facts.from_nested(file.settings))
        for name, spec in zip(site.classes, site.decisions.classes, strict=True):
            if spec.deadline <= 0:
                raise ValueError(f"services: {name}: hard_limit: must be over 0")
        check_classes(options, site.classes)
        name = environment.get("RELAY_NAME") or file.name
        if options.fleet.listen and not 0 < len(name.encode()) <= LONGEST_NAME:
            raise ValueError(f"name: expected 1 to {LONGEST_NAME} bytes, for others know this one by it")
        return Config(
            name=name,
            listen=Address.parse(environment.get("RELAY_LISTEN") or file.listen),
            listening=_descriptor(environment.get("RELAY_FD")),
            operator=Address.parse(operator) if operator else None,
            discovery=Address.parse(environment.get("RELAY_DISCOVERY") or file.discovery),
            seed=int(file.seed, 16),
            limits=file.limits,
            known=file.known,
            site=site,
            shape=frozenset(shape_of(file.settings)),
            options=options,
        )
    except FileError as fault:
        raise ConfigError(str(fault)) from None
    except (ValueError, OverflowError) as fault:
        raise ConfigError(f"{path}: {fault}") from None


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdigit():
        raise ValueError(f"RELAY_FD: not a descriptor: {text!r}")
    return int(text)
