"""The file calls that the store makes beside SQLite, in one place.

Production and tests use the same calls: a test hands the store another :class:`Files`, whose calls fail in
the ways that Linux documents (ENOSPC, EIO).  What SQLite does itself fails by the connection that it is
handed.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class Files:
    """Each method is one system call, or the few that belong together; they raise OSError."""

    def make_folder(self, folder: Path) -> None:
        """Make a folder and those above it, unless it is there."""
        folder.mkdir(parents=True, exist_ok=True)

    def open_lock(self, path: Path) -> int:
        """Return a descriptor of the file that whoever owns a folder holds locked."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def lock(self, descriptor: int) -> None:
        """Take the lock; BlockingIOError where another process has it."""
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def owner(self, descriptor: int) -> str:
        """Return who has the lock, by its own word."""
        return os.pread(descriptor, 32, 0).decode("ascii", "replace").strip()

    def note_owner(self, descriptor: int, owner: str) -> None:
        """Write down who has the lock."""
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, f"{owner}\n".encode(), 0)

    def close(self, descriptor: int) -> None:
        """Let go of a lock; the descriptor is free afterwards, whatever the call says."""
        with contextlib.suppress(OSError):
            os.close(descriptor)

    def read(self, path: Path) -> bytes | None:
        """Return what is in a file, None where there is none."""
        return path.read_bytes() if path.is_file() else None
