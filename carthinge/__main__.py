"""``python -m carthinge`` serves, the sub-commands do what else is useful."""

from __future__ import annotations

import sys


def main() -> None:
    """Runs what the command line asks for.

    Guards against the command line's library in the start of a scheduler that was killed: it serves again the
    later for it, and needs no word on the line.
    """
    if len(sys.argv) == 1:
        from carthinge.serving import serve

        sys.exit(serve())
    from carthinge.cli import app

    app()


if __name__ == "__main__":
    main()
