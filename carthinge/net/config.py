"""The configuration of a scheduler, read from the environment and the file that it names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from carthinge.net.decoding import UndecodableError, decode
from carthinge.net.http import Address
from carthinge.net.members import MemberList
from carthinge.operator_file import FileError, Options, check_classes, read
from carthinge.settings import SettingsTable, Site, key_paths, read_site

MAX_NAME_BYTES: Final = 64  # in messages among schedulers


class ConfigError(Exception):
    """The configuration is invalid; the text names the fault."""


class Limits(msgspec.Struct, frozen=True):
    """The resources that the machine provides."""

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
    known: MemberList = MemberList()


_FILE_DECODER: Final[msgspec.json.Decoder[_File]] = msgspec.json.Decoder(_File)


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of a scheduler."""

    name: str
    listen: Address
    listening: int | None  #: an inherited descriptor that already listens there
    operator: Address | None  #: address of the operator API, if any
    discovery: Address
    seed: int
    limits: Limits
    known: MemberList
    site: Site
    setting_keys: frozenset[str]  #: the keys that are present in the settings
    options: Options  #: from the operator's file


def reload(environment: Mapping[str, str], current: Config) -> Config:
    """Read the file again; ConfigError if a key of the current settings is missing.

    The operator's file is read only at the start.  Discovery is taken from the file: the environment of a
    running process cannot be replaced, so that its value of discovery may be outdated.
    """
    config = load(
        {
            name: value
            for name, value in environment.items()
            if name not in ("RELAY_DISCOVERY", "CARTHINGE_FILE")
        }
    )
    missing = sorted(current.setting_keys - config.setting_keys)
    if missing:
        raise ConfigError(f"settings: {missing[0]}: missing, though the settings in force have it")
    return config


def load(environment: Mapping[str, str], file_path: str | None = None) -> Config:
    """Read the configuration; addresses and name in the environment override those in the file.

    ``file_path`` is the operator's file, by default the one that CARTHINGE_FILE names.
    """
    try:
        options = read(file_path or environment.get("CARTHINGE_FILE"))
    except FileError as fault:
        raise ConfigError(str(fault)) from None
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        file = decode(_FILE_DECODER, Path(path).read_bytes())
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except UndecodableError as fault:
        raise ConfigError(f"{path}: {fault}") from None
    try:
        for member in file.known.members:
            Address.parse(member.host_port)
        operator = environment.get("RELAY_OPERATOR") or file.operator
        site = read_site(SettingsTable.from_nested(file.settings))
        for name, spec in zip(site.classes, site.dispatcher_settings.classes, strict=True):
            if spec.deadline <= 0:
                raise ValueError(f"services: {name}: hard_limit: must be over 0")
        check_classes(options, site.classes)
        name = environment.get("RELAY_NAME") or file.name
        if options.fleet.listen and not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            raise ValueError(
                f"name: expected 1 to {MAX_NAME_BYTES} bytes, as it identifies this scheduler to others"
            )
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
            setting_keys=frozenset(key_paths(file.settings)),
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
