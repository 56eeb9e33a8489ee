"""Shares of the machine's descriptors and memory for the parts of a scheduler."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from importlib import import_module
from typing import Final

from carthinge.front.operator import MAX_CONNECTIONS
from carthinge.net.config import Config
from carthinge.net.process_memory import free_bytes

RESERVED_SOCKETS: Final = 48  # of the limit, for the listener, discovery, the log and the runtime
MIN_SOCKETS: Final = 16  # for connections, however small the limit is
WORKER_CONNECTIONS_SHARE: Final = 0.4  # of the rest; a worker's connection is in use only until the 202
DURABLE_SHARE: Final = 0.35  # of the memory that is free at the start, for open durable jobs


@dataclass(frozen=True, slots=True)
class Resources:
    """What the parts of a scheduler may use."""

    incoming: int  #: connections of clients, and of workers that send callbacks
    outgoing: int  #: connections to workers
    free_memory: int  #: bytes that nothing uses at the start
    durable_memory: int  #: bytes of these for open durable jobs


def plan_resources(config: Config) -> Resources:
    """Return the shares; to be called at the start of the process, before it serves."""
    descriptors = min(config.limits.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    reserved = RESERVED_SOCKETS + (MAX_CONNECTIONS if config.operator else 0)
    connections = max(MIN_SOCKETS, descriptors - reserved)
    outgoing = int(connections * WORKER_CONNECTIONS_SHARE)
    _load_optional_parts(config)
    # Only on an inherited socket can another process listen as well.
    free_memory = free_bytes(config.limits.memory_mb, may_have_successor=config.listening is not None)
    return Resources(connections - outgoing, outgoing, free_memory, int(free_memory * DURABLE_SHARE))


def _load_optional_parts(config: Config) -> None:
    """Load the code that only this configuration needs, so that its memory counts as used."""
    if config.options.durable.folder:
        import_module("carthinge.durable.jobs")
        import_module("carthinge.front.durable_front")
    if config.options.fleet.listen:
        import_module("carthinge.scheduler.fleet_link")
