"""SQLite as the store uses it: statements that stay prepared, and rows by the hundred."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import Any, Final

CHUNKS: Final = (1, 2, 4, 8, 16, 32, 64, 128, 256)  # rows of one statement: few texts, all kept prepared
LOCKED_FOR: Final = 0.2  # seconds to wait for another writer: there is to be none
Connect = Callable[[str], sqlite3.Connection]


def connect(path: str) -> sqlite3.Connection:
    """An ordinary connection; transactions are begun and ended by hand."""
    return sqlite3.connect(
        path, timeout=LOCKED_FOR, isolation_level=None, check_same_thread=False, cached_statements=128
    )


class Database:
    """A connection to SQLite, while there is one."""

    def __init__(self) -> None:
        self._database: sqlite3.Connection | None = None

    def _run(self, text: str, values: Sequence[Any] = ()) -> None:
        assert self._database is not None, "the store is not open"
        self._database.execute(text, values)

    def _all(self, text: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        assert self._database is not None, "the store is not open"
        return self._database.execute(text, values).fetchall()

    def _one(self, text: str) -> Any:
        return self._all(text)[0][0]

    def _rows(self, before: str, row: str, after: str, rows: list[tuple[Any, ...]]) -> None:
        """One statement for up to 256 rows, filled up by the last one: what it does may be done again."""
        for start in range(0, len(rows), CHUNKS[-1]):
            part = rows[start : start + CHUNKS[-1]]
            size = next(size for size in CHUNKS if size >= len(part))
            part += part[-1:] * (size - len(part))
            self._run(_text(before, row, size, after), [value for values in part for value in values])

    def _roll_back(self) -> None:
        if self._database is not None and self._database.in_transaction:
            self._database.rollback()


@lru_cache(maxsize=128)
def _text(before: str, row: str, size: int, after: str) -> str:
    """The same object each time: SQLite's cache of statements goes by it."""
    return before + ",".join([row] * size) + after
