"""Runs a scheduler, from loading its configuration to its exit code."""

from __future__ import annotations

import os
import sys
from typing import Final

from carthinge.durable.errors import StoreError
from carthinge.net import log
from carthinge.net.config import Config, ConfigError, load, reload
from carthinge.net.process_memory import return_large_blocks
from carthinge.scheduler.program import Program

BAD_CONFIG: Final = 2
CANNOT_LISTEN: Final = 3
NO_STORE: Final = 4


def load_config(file: str | None) -> Config | None:
    """Return the configuration; if it is invalid, print the error to standard error and return None."""
    try:
        return load(os.environ, file)
    except ConfigError as error:
        print(f"carthinge: {error}", file=sys.stderr)
        return None


def serve(log_level: str = "info", file: str | None = None) -> int:
    """Run until SIGTERM or SIGINT; return the exit code."""
    config = load_config(file)
    if config is None:
        return BAD_CONFIG
    log.configure_logging(log_level, config.name)
    return_large_blocks()
    try:
        Program(config, lambda before: reload(os.environ, before)).run()
    except StoreError as error:
        log.logger().error("no_store", why=str(error))
        return NO_STORE
    except OSError as error:
        log.logger().error("cannot_listen", listen=str(config.listen), why=str(error))
        return CANNOT_LISTEN
    return 0
