"""Logging in logfmt on standard error; docs/oncall.md describes every event."""

from __future__ import annotations

import logging
import sys
from types import ModuleType
from typing import Final, cast

# Where rich is installed, structlog imports it for tracebacks on a terminal.  No line is rendered by it here,
# and it would take 5 MB of each process: while structlog is imported, an import of rich fails.
_RICH: Final = sys.modules.get("rich")
if _RICH is None:
    sys.modules["rich"] = cast(ModuleType, None)
import structlog  # noqa: E402

if _RICH is None:
    del sys.modules["rich"]

LEVELS: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logging(level: str, name: str) -> None:
    """Configure logging; called once, before the first line.  Every line has the scheduler's name."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(scheduler=name)


def logger() -> structlog.typing.FilteringBoundLogger:
    """Return the shared logger, which is assembled at its first line, an expensive step."""
    return _LOGGER


_LOGGER: Final[structlog.typing.FilteringBoundLogger] = structlog.get_logger()
