"""``carthinge store``: inspects or compacts a store, without a scheduler.

Imports that only these commands need are local, since the scheduler's entry point imports this module too.
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

EXIT_FAULTY = 1
EXIT_UNUSABLE = 2
Folder = Annotated[Path, typer.Argument(help="the store's folder")]
Json = Annotated[bool, typer.Option("--json", help="one JSON object instead of tables")]

app = typer.Typer(help="Inspect or compact a store of durable jobs.", no_args_is_help=True)


@app.command()
def check(folder: Folder, as_json: Json = False) -> None:
    """Check all of a store and list its faults; exit code 1 if there are any.  Changes nothing."""
    from carthinge.durable.check import find_faults

    with _open_read_only(folder) as database, _progress(as_json) as progress:
        total = database.execute("SELECT count(*) FROM jobs").fetchone()[0]
        task = progress.add_task("jobs", total=total)
        faults = list(find_faults(database, folder, lambda: progress.advance(task)))
    if as_json:
        typer.echo(json.dumps({"jobs": total, "faults": faults}))
    else:
        for fault in faults:
            typer.echo(fault)
        typer.echo(f"{total} jobs, {len(faults)} faults")
    if faults:
        raise typer.Exit(EXIT_FAULTY)


@app.command()
def show(
    folder: Folder,
    as_json: Json = False,
    most: Annotated[int, typer.Option(min=0, help="open jobs to list")] = 20,
) -> None:
    """Show the content of a store, even while a scheduler uses it."""
    from carthinge.durable.check import overview

    with _open_read_only(folder) as database:
        summary = overview(database, most)
    if as_json:
        typer.echo(json.dumps(summary))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console()
    console.print(
        f"{folder}: format {summary['format']}, opened {summary['epoch']} times, "
        f"{summary['bytes_used']:,} bytes in use, {summary['bytes_free']:,} free"
    )
    count_table = Table("class", "tenant", "state", "jobs", title="jobs")
    for row in summary["jobs"]:
        count_table.add_row(row["class"], row["tenant"], row["state"], f"{row['jobs']:,}")
    console.print(count_table)
    open_table = Table(
        "number", "request", "class", "tenant", "attempts", "out at", title="open, the oldest first"
    )
    for row in summary["open"]:
        open_table.add_row(
            f"{row['number']:x}",
            row["req_id"],
            row["class"],
            row["tenant"],
            str(row["attempts"]),
            row["out_at"] or "-",
        )
    console.print(open_table)


@app.command()
def compact(folder: Folder, as_json: Json = False) -> None:
    """Rewrite a store without its free space.  No scheduler may use it meanwhile."""
    from carthinge.durable.check import compact as compact_store
    from carthinge.durable.errors import StoreError

    try:
        with _progress(as_json) as progress:
            progress.add_task("rewriting", total=None)
            before, after = compact_store(folder)
    except StoreError as fault:
        _exit_unusable(str(fault))
    if as_json:
        typer.echo(json.dumps({"bytes_before": before, "bytes_after": after}))
    else:
        typer.echo(f"{before:,} bytes before, {after:,} after")


@contextmanager
def _open_read_only(folder: Path) -> Iterator[sqlite3.Connection]:
    import sqlite3

    from carthinge.durable.check import open_read_only
    from carthinge.durable.errors import StoreError

    try:
        with open_read_only(folder) as database:
            yield database
    except (StoreError, sqlite3.Error) as fault:
        _exit_unusable(f"{folder}: {fault}" if isinstance(fault, sqlite3.Error) else str(fault))


@contextmanager
def _progress(disabled: bool) -> Iterator[Progress]:
    """Show progress on a terminal only, on standard error, so that piped output stays clean."""
    from rich.console import Console
    from rich.progress import Progress

    console = Console(stderr=True)
    with Progress(console=console, transient=True, disable=disabled or not sys.stderr.isatty()) as progress:
        yield progress


def _exit_unusable(why: str) -> Any:
    typer.echo(f"carthinge: {why}", err=True)
    raise typer.Exit(EXIT_UNUSABLE) from None
