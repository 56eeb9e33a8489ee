"""What schedulers tell each other: the forms of their messages.  Spans and ages are whole microseconds."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

NAME_MOST: Final = 64  # bytes
LIFE_MOST: Final = 1 << 48  # no incarnation or number is as high as that
PACKET_MOST: Final = 1452  # bytes: a datagram of that size travels in one piece
RUMOR_BYTES: Final = 500  # of a message, for what is told of others
PAGE_BYTES: Final = 1000  # the same in a page of the members, which has no summary
CELLS_MOST: Final = 32  # levels of a summary that are not zero
DOUBTS_MOST: Final = 8
LEVEL_MOST: Final = 100
UNITS_MOST: Final = 1 << 20

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]
Address = Annotated[str, msgspec.Meta(max_length=NAME_MOST)]
Life = Annotated[int, msgspec.Meta(ge=0, lt=LIFE_MOST)]
Worker = Annotated[int, msgspec.Meta(ge=0)]
Age = Annotated[int, msgspec.Meta(ge=0, lt=LIFE_MOST)]
Units = Annotated[int, msgspec.Meta(ge=0, le=UNITS_MOST)]


class Kind(IntEnum):
    """What a message is for."""

    PING = 0  #: wants an ACK with the same number
    ACK = 1
    CHECK = 2  #: wants the receiver to ping another member, and to pass on its ACK
    BEAT = 3  #: only tells
    PULL = 4  #: wants a PAGE of the members from a place on
    PAGE = 5
    LEAVE = 6  #: the sender ends
    ASK = 7  #: wants a part of a budget
    GRANT = 8


class Standing(IntEnum):
    """How a member stands with another one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumor(msgspec.Struct, array_like=True, frozen=True):
    """What is told of a third member; only ALIVE and SUSPECT are ever told."""

    name: Name
    standing: Standing
    incarnation: Life
    address: Address = ""  #: empty where the receiver is taken to know it

    def size(self) -> int:
        """Bytes in a message, at the most."""
        return len(self.name.encode()) + len(self.address.encode()) + 16


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """What a member tells of itself, and of nobody else."""

    life: Life  #: drawn at its start
    sequence: Life
    shape: Life  #: a digest of its tenants and classes, which the cells are numbered by
    pressure: float  #: work that waits over work that ends in a second, as it sees it; 0 and up
    levels: Annotated[
        list[tuple[Units, Annotated[int, msgspec.Meta(ge=0, le=LEVEL_MOST)]]],
        msgspec.Meta(max_length=CELLS_MOST),
    ] = []  #: what it sheds by cell, per cent
    spent: Annotated[float, msgspec.Meta(ge=0)] = 0.0  #: of its budget for repeats, since the last summary
    left: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    doubts: Annotated[list[tuple[Worker, Age]], msgspec.Meta(max_length=DOUBTS_MOST)] = []  #: since when
    well: Annotated[list[tuple[Worker, Age]], msgspec.Meta(max_length=DOUBTS_MOST)] = []  #: by its owner


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """One message."""

    kind: Kind
    name: Name  #: the sender's
    address: Address
    incarnation: Life
    held: Standing = Standing.ALIVE  #: how the receiver stands with the sender
    held_at: Life = 0  #: by which incarnation of the receiver
    number: Life = 0
    about: Address = ""  #: CHECK: whom to ping, by address; ACK that is passed on: whose it is, by name
    about_at: Life = 0
    back: Address = ""  #: PING and ACK: to whom the ACK is passed on
    rumors: Annotated[list[Rumor], msgspec.Meta(max_length=128)] = []
    summary: Summary | None = None
    purse: Life = 0  #: ASK and GRANT: which budget
    units: Units = 0
