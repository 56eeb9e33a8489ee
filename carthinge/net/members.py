"""Workers as discovery words them."""

from __future__ import annotations

from typing import Literal

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One worker."""

    id: str
    host_port: str
    phase: Literal["Ready", "Terminating", "Gone"]
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: int = 0


class Listed(msgspec.Struct, frozen=True):
    """The whole list, or what has changed in it."""

    revision: int = 0
    complete: bool = True
    members: list[Member] = []
