"""``carthinge store``: looks into a store, or tidies one up, without a scheduler.

What only this needs is loaded when it is run: the scheduler itself imports this module.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    import sqlite3

    from rich.progress import Progress

FAULTY = 1
UNUSABLE = 2
Folder = Annotated[Path, typer.Argument(help="the store's folder")]
Json = Annotated[bool, typer.Option("--json", help="one JSON object instead of tables")]

app = typer.Typer(help="Look into a store of durable jobs, or tidy it up.", no_args_is_help=True)


@app.command()
def check(folder: Folder, as_json: Json = False) -> None:
    """Read all of a store and say what is wrong with it; exit code 1 if anything is.  Changes nothing."""
    from carthinge.durable.check import faults_of

    with _reading(folder) as database, _progress(as_json) as progress:
        total = database.execute("SELECT count(*) FROM jobs").fetchone()[0]
        task = progress.add_task("jobs", total=total)
        faults = list(faults_of(database, folder, lambda: progress.advance(task)))
    if as_json:
        typer.echo(json.dumps({"jobs": total, "faults": faults}))
    else:
        for fault in faults:
            typer.echo(fault)
        typer.echo(f"{total} jobs, {len(faults)} faults")
    if faults:
        raise typer.Exit(FAULTY)


@app.command()
def show(
    folder: Folder,
    as_json: Json = False,
    most: Annotated[int, typer.Option(min=0, help="open jobs to list")] = 20,
) -> None:
    """Say what a store holds, also while a scheduler has it."""
    from carthinge.durable.check import overview

    with _reading(folder) as database:
        seen = overview(database, most)
    if as_json:
        typer.echo(json.dumps(seen))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console()
    console.print(
        f"{folder}: format {seen['format']}, opened {seen['epoch']} times, "
        f"{seen['bytes_used']:,} bytes in use, {seen['bytes_free']:,} free"
    )
    counts = Table("class", "tenant", "state", "jobs", title="jobs")
    for row in seen["jobs"]:
        counts.add_row(row["class"], row["tenant"], row["state"], f"{row['jobs']:,}")
    console.print(counts)
    listed = Table(
        "number", "request", "class", "tenant", "attempts", "out at", title="open, the oldest first"
    )
    for row in seen["open"]:
        listed.add_row(
            f"{row['number']:x}",
            row["req_id"],
            row["class"],
            row["tenant"],
            str(row["attempts"]),
            row["out_at"] or "-",
        )
    console.print(listed)


@app.command()
def compact(folder: Folder, as_json: Json = False) -> None:
    """Write a store anew without the room that is free in it.  No scheduler may have it meanwhile."""
    from carthinge.durable.check import compact as compact_store
    from carthinge.durable.errors import StoreError

    try:
        with _progress(as_json) as progress:
            progress.add_task("writing anew", total=None)
            before, after = compact_store(folder)
    except StoreError as fault:
        _unusable(str(fault))
    if as_json:
        typer.echo(json.dumps({"bytes_before": before, "bytes_after": after}))
    else:
        typer.echo(f"{before:,} bytes before, {after:,} after")


@contextmanager
def _reading(folder: Path) -> Iterator[sqlite3.Connection]:
    import sqlite3

    from carthinge.durable.check import reader
    from carthinge.durable.errors import StoreError

    try:
        with reader(folder) as database:
            yield database
    except (StoreError, sqlite3.Error) as fault:
        _unusable(f"{folder}: {fault}" if isinstance(fault, sqlite3.Error) else str(fault))


@contextmanager
def _progress(quiet: bool) -> Iterator[Progress]:
    """On a terminal only, and on standard error, so that what is piped on stays clean."""
    from rich.console import Console
    from rich.progress import Progress

    console = Console(stderr=True)
    with Progress(console=console, transient=True, disable=quiet or not sys.stderr.isatty()) as progress:
        yield progress


def _unusable(why: str) -> Any:
    typer.echo(f"carthinge: {why}", err=True)
    raise typer.Exit(UNUSABLE) from None
