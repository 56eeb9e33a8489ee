"""The messages between schedulers.  Durations and ages are whole microseconds.

Structs are encoded by position: the order and the types of their fields must not change.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

MAX_NAME_LENGTH: Final = 64
UINT48_LIMIT: Final = 1 << 48  # exclusive upper bound of incarnations and numbers
MAX_PACKET_BYTES: Final = 1452  # a datagram of that size is not fragmented
MAX_RUMOR_BYTES: Final = 500  # of a message, for updates about other members
MAX_PAGE_BYTES: Final = 1000  # the same in a page of the member list, which has no summary
MAX_CELLS: Final = 32  # cells of a summary
MAX_REPORTED_WORKERS: Final = 8
MAX_LEVEL: Final = 100  # per cent
MAX_UNITS: Final = 1 << 20

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Uint48 = Annotated[int, msgspec.Meta(ge=0, lt=UINT48_LIMIT)]
WorkerNumber = Annotated[int, msgspec.Meta(ge=0)]
Age = Annotated[int, msgspec.Meta(ge=0, lt=UINT48_LIMIT)]
Units = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNITS)]


class PacketKind(IntEnum):
    """The type of a message."""

    PING = 0  #: requests an ACK with the same number
    ACK = 1
    PING_REQ = 2  #: requests that the receiver ping another member and relay its ACK
    GOSSIP = 3  #: carries state only; no reply
    PULL = 4  #: requests a PAGE of the member list from a position on
    PAGE = 5
    LEAVE = 6  #: the sender is shutting down
    BUDGET_REQUEST = 7  #: requests units of a budget
    GRANT = 8


class MemberState(IntEnum):
    """The state of a member as seen by another one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumor(msgspec.Struct, array_like=True, frozen=True):
    """A piggybacked update about another member; only ALIVE and SUSPECT are ever sent."""

    name: Name
    state: MemberState
    incarnation: Uint48
    address: Address = ""  #: empty if the receiver is assumed to know it

    def size(self) -> int:
        """An upper bound of the encoded size in bytes."""
        return len(self.name.encode()) + len(self.address.encode()) + 16


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """What a member reports of itself, and of no other member."""

    run_id: Uint48  #: drawn at random when the process starts
    sequence: Uint48
    layout: Uint48  #: a digest of the tenants and classes by which it numbers cells
    pressure: float  #: waiting work over the work that ends per second, as measured there; 0 and up
    levels: Annotated[
        list[tuple[Units, Annotated[int, msgspec.Meta(ge=0, le=MAX_LEVEL)]]],
        msgspec.Meta(max_length=MAX_CELLS),
    ] = []  #: what it sheds by cell, per cent
    retries_spent: Annotated[float, msgspec.Meta(ge=0)] = 0.0  #: since the last summary
    retries_left: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    #: Suspected workers and the age of each suspicion.
    suspected: Annotated[list[tuple[WorkerNumber, Age]], msgspec.Meta(max_length=MAX_REPORTED_WORKERS)] = []
    #: Suspected workers that it has found healthy since, and how long ago.
    healthy: Annotated[list[tuple[WorkerNumber, Age]], msgspec.Meta(max_length=MAX_REPORTED_WORKERS)] = []


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """A message."""

    kind: PacketKind
    name: Name  #: of the sender
    address: Address
    incarnation: Uint48
    receiver_state: MemberState = MemberState.ALIVE  #: of the receiver, as seen by the sender
    receiver_incarnation: Uint48 = 0  #: that the state applies to
    number: Uint48 = 0
    target: Address = ""  #: PING_REQ: the address to ping; relayed ACK: the name of the member it comes from
    target_incarnation: Uint48 = 0
    relay_to: Address = ""  #: PING and ACK: the address to relay the ACK to
    rumors: Annotated[list[Rumor], msgspec.Meta(max_length=128)] = []
    summary: Summary | None = None
    budget_id: Uint48 = 0  #: BUDGET_REQUEST and GRANT
    units: Units = 0
