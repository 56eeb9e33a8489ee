"""The command line's subcommands."""

from __future__ import annotations

from typing import Annotated

import typer

from carthinge import __version__, serving
from carthinge.durable.cli import app as store_app
from carthinge.net import log

File = Annotated[
    str | None, typer.Option("--file", help="the operator's configuration file; default: CARTHINGE_FILE")
]

app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, help="A push scheduler for job workers."
)
app.add_typer(store_app, name="store")


@app.callback(invoke_without_command=True)
def default(context: typer.Context, file: File = None) -> None:
    """Run a scheduler if no subcommand is given."""
    if context.invoked_subcommand is None:
        raise typer.Exit(serving.serve(file=file))


@app.command()
def serve(
    log_level: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info", file: File = None
) -> None:
    """Run one scheduler in the foreground, configured by the RELAY_ variables."""
    if log_level not in log.LEVELS:
        raise typer.BadParameter(f"one of {', '.join(log.LEVELS)}", param_hint="--log-level")
    raise typer.Exit(serving.serve(log_level, file))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def check_config(file: File = None) -> None:
    """Read the configuration as `serve` does and print a summary."""
    config = serving.load_config(file)
    if config is None:
        raise typer.Exit(serving.BAD_CONFIG)
    site, durable = config.site, config.options.durable
    typer.echo(
        f"{config.name}: listens on {config.listen}, "
        f"{len(config.known.members)} workers known, classes {', '.join(site.classes)}, "
        f"{len(site.tenants)} tenants, {config.limits.sockets} sockets"
    )
    if durable.folder:
        typer.echo(f"durable: {', '.join(durable.classes) or 'no class'} in {durable.folder}")
