"""The command line: ``python -m carthinge`` serves, the sub-commands do what else is useful."""

from __future__ import annotations

import os
from typing import Annotated

import typer

from carthinge import __version__
from carthinge.durable.cli import app as store_app
from carthinge.durable.errors import StoreError
from carthinge.net import log
from carthinge.net.config import Config, ConfigError, load, reload
from carthinge.net.program import Program

BAD_CONFIG = 2
CANNOT_LISTEN = 3
NO_STORE = 4
File = Annotated[str | None, typer.Option("--file", help="the operator's own file; else CARTHINGE_FILE")]

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False,
                  help="A push scheduler for job workers.")
app.add_typer(store_app, name="store")


@app.callback(invoke_without_command=True)
def default(context: typer.Context, file: File = None) -> None:
    """Serves, unless a sub-command is given."""
    if context.invoked_subcommand is None:
        _serve("info", file)


@app.command()
def serve(log_level: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info",
          file: File = None) -> None:
    """Run one scheduler in the foreground, configured by the RELAY_ variables."""
    _serve(log_level, file)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def check_config(file: File = None) -> None:
    """Read the configuration as `serve` does and say what it holds."""
    config = _load(file)
    site, durable = config.site, config.options.durable
    typer.echo(f"{config.name}: listens on {config.listen}, "
               f"{len(config.known.members)} workers known, classes {', '.join(site.classes)}, "
               f"{len(site.tenants)} tenants, {config.limits.sockets} sockets")
    if durable.folder:
        typer.echo(f"durable: {', '.join(durable.classes) or 'no class'} in {durable.folder}")


def _load(file: str | None) -> Config:
    try:
        return load(os.environ, file)
    except ConfigError as fault:
        typer.echo(f"carthinge: {fault}", err=True)
        raise typer.Exit(BAD_CONFIG) from None


def _serve(log_level: str, file: str | None) -> None:
    if log_level not in log.LEVELS:
        raise typer.BadParameter(f"one of {', '.join(log.LEVELS)}", param_hint="--log-level")
    config = _load(file)
    log.set_up(log_level, config.name)
    try:
        Program(config, lambda before: reload(os.environ, before)).run()
    except StoreError as fault:
        log.logger().error("no_store", why=str(fault))
        raise typer.Exit(NO_STORE) from None
    except OSError as fault:
        log.logger().error("cannot_listen", listen=str(config.listen), why=str(fault))
        raise typer.Exit(CANNOT_LISTEN) from None


if __name__ == "__main__":
    app()
