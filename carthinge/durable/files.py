"""The file system calls that the store makes outside SQLite.

Tests pass the store a subclass of :class:`Files` whose calls fail in the ways that Linux documents (ENOSPC,
EIO).  Faults of SQLite itself are injected by the connection passed to the store.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class Files:
    """Each method is one system call or a few related ones, and raises OSError."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents if they do not exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def open_lock(self, path: Path) -> int:
        """Open the lock file of a store's folder and return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def lock(self, descriptor: int) -> None:
        """Take the lock; BlockingIOError if another process holds it."""
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def owner(self, descriptor: int) -> str:
        """Return the owner that the lock file names."""
        return os.pread(descriptor, 32, 0).decode("ascii", "replace").strip()

    def note_owner(self, descriptor: int, owner: str) -> None:
        """Write the owner into the lock file."""
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, f"{owner}\n".encode(), 0)

    def close(self, descriptor: int) -> None:
        """Release a lock; errors are ignored, since Linux frees the descriptor even then."""
        with contextlib.suppress(OSError):
            os.close(descriptor)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        return path.read_bytes() if path.is_file() else None
