"""SQLite helpers of the store: statements that stay prepared and write up to 256 rows each."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import Any, Final

STATEMENT_ROWS: Final = (1, 2, 4, 8, 16, 32, 64, 128, 256)  # few sizes, so that all statements stay prepared
BUSY_TIMEOUT_S: Final = 0.2  # the store has one writer; another one is an error
Connect = Callable[[str], sqlite3.Connection]


def connect(path: str) -> sqlite3.Connection:
    """Open a connection in autocommit mode; transactions are explicit."""
    return sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False, cached_statements=128
    )


class Database:
    """An SQLite connection that may be closed."""

    def __init__(self) -> None:
        self._database: sqlite3.Connection | None = None

    def _execute(self, text: str, values: Sequence[Any] = ()) -> None:
        assert self._database is not None, "the store is not open"
        self._database.execute(text, values)

    def _fetch_all(self, text: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        assert self._database is not None, "the store is not open"
        return self._database.execute(text, values).fetchall()

    def _fetch_value(self, text: str) -> Any:
        return self._fetch_all(text)[0][0]

    def _execute_rows(self, before: str, row: str, after: str, rows: list[tuple[Any, ...]]) -> None:
        """Execute one statement per 256 rows, padded by repeating the last row: it must be idempotent."""
        for start in range(0, len(rows), STATEMENT_ROWS[-1]):
            chunk = rows[start : start + STATEMENT_ROWS[-1]]
            size = next(size for size in STATEMENT_ROWS if size >= len(chunk))
            chunk += chunk[-1:] * (size - len(chunk))
            self._execute(
                _statement(before, row, size, after), [value for values in chunk for value in values]
            )

    def _roll_back(self) -> None:
        if self._database is not None and self._database.in_transaction:
            self._database.rollback()


@lru_cache(maxsize=128)
def _statement(before: str, row: str, size: int, after: str) -> str:
    """Return the statement, cached so that SQLite's statement cache is hit."""
    return before + ",".join([row] * size) + after
