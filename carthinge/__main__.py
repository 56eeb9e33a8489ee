"""Entry point: ``python -m carthinge`` serves; everything else is a sub-command."""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command given on the command line, or serve if there is none.

    Without arguments the command-line library is not imported, so that a restarted scheduler serves sooner.
    """
    if len(sys.argv) == 1:
        from carthinge.serving import serve

        sys.exit(serve())
    from carthinge.cli import app

    app()


if __name__ == "__main__":
    main()
