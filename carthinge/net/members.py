"""The worker list in the format of discovery."""

from __future__ import annotations

from typing import Literal

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One entry of the list."""

    id: str
    host_port: str
    phase: Literal["Ready", "Terminating", "Gone"]
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: int = 0


class MemberList(msgspec.Struct, frozen=True):
    """The complete list, or the changes since a revision."""

    revision: int = 0
    complete: bool = True
    members: list[Member] = []
