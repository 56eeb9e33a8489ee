"""What a scheduler sends to the others: its own state, piggybacked updates and pages of its member list."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from carthinge.fleet.packets import (
    MAX_PAGE_BYTES,
    MAX_RUMOR_BYTES,
    MemberState,
    Packet,
    PacketKind,
    Rumor,
    Summary,
)

LIVE: Final = (MemberState.ALIVE, MemberState.SUSPECT)
WITH_SUMMARY: Final = (PacketKind.PING, PacketKind.ACK, PacketKind.GOSSIP)

OutgoingPacket = tuple[str, Packet]  # the receiver's address, and the message


@dataclass(slots=True, eq=False)
class Member:
    """Another scheduler, as seen by this one."""

    name: str
    address: str
    incarnation: int
    state: MemberState
    since: timedelta  #: when it got that state
    failed: int = 0  #: consecutive failed checks


class Rumors:
    """Updates to piggyback, the least sent first; each is sent O(log n) times for n members."""

    def __init__(self) -> None:
        self._times_sent: dict[str, int] = {}
        # Updates with their sizes, grouped by the times sent: ``take`` visits only those that it returns.
        self._groups: list[dict[str, tuple[Rumor, int]]] = []

    def add(self, rumor: Rumor) -> None:
        """Add an update in place of an earlier one about the same member."""
        self.drop(rumor.name)
        self._insert(0, rumor, rumor.size())

    def drop(self, name: str) -> None:
        """Drop the update about a member."""
        if (times := self._times_sent.pop(name, None)) is not None:
            del self._groups[times][name]

    def clear(self) -> None:
        """Drop all updates."""
        self._times_sent.clear()
        self._groups.clear()

    def take(self, member_count: int) -> list[Rumor]:
        """Return as many updates as fit in a message and count them as sent."""
        max_times, bytes_left = 2 * (member_count + 1).bit_length(), MAX_RUMOR_BYTES
        chosen: list[tuple[int, Rumor, int]] = []
        for times, group in enumerate(self._groups if self._times_sent else ()):
            for rumor, size in group.values():
                bytes_left -= size
                if bytes_left < 0:
                    break
                chosen.append((times, rumor, size))
            if bytes_left < 0:
                break
        for times, rumor, size in chosen:
            self.drop(rumor.name)
            if times + 1 < max_times:
                self._insert(times + 1, rumor, size)
        return [rumor for _, rumor, _ in chosen]

    def _insert(self, times: int, rumor: Rumor, size: int) -> None:
        while len(self._groups) <= times:
            self._groups.append({})
        self._groups[times][rumor.name] = rumor, size
        self._times_sent[rumor.name] = times


class GossipSender:
    """Builds one scheduler's messages and queues them until they are taken."""

    def __init__(self, name: str, address: str, incarnation: int) -> None:
        self.name, self.address, self.incarnation = name, address, incarnation
        self.rumors = Rumors()
        self.summary: Summary | None = None  #: is sent with most messages
        self.member_count = 0  #: an update is sent more often among more members
        self._queued: list[OutgoingPacket] = []

    def take_queued(self) -> list[OutgoingPacket]:
        """Return and clear the queued messages."""
        queued, self._queued = self._queued, []
        return queued

    def announce(self, member: Member) -> None:
        """Piggyback the state of a member on the next messages."""
        self.rumors.add(Rumor(member.name, member.state, member.incarnation, member.address))

    def refute(self, incarnation: int) -> None:
        """Refute to all that this scheduler is suspected or dead, with a higher incarnation."""
        self.incarnation = incarnation + 1
        self.rumors.add(Rumor(self.name, MemberState.ALIVE, self.incarnation, self.address))

    def queue(
        self,
        kind: PacketKind,
        to: Member,
        number: int = 0,
        target: str = "",
        incarnation: int = 0,
        relay_to: str = "",
        rumors: list[Rumor] | None = None,
        budget_id: int = 0,
        units: int = 0,
    ) -> None:
        """Queue a message to a member, with its state as seen here; ``incarnation``: of the target."""
        self._queued.append(
            (
                to.address,
                Packet(
                    kind,
                    self.name,
                    self.address,
                    self.incarnation,
                    to.state,
                    to.incarnation,
                    number,
                    target,
                    incarnation,
                    relay_to,
                    self.rumors.take(self.member_count) if rumors is None else rumors,
                    self.summary if kind in WITH_SUMMARY else None,
                    budget_id,
                    units,
                ),
            )
        )

    def ping_address(self, address: str) -> None:
        """Queue a ping to an address without a known member."""
        self._queued.append(
            (
                address,
                Packet(
                    PacketKind.PING,
                    self.name,
                    self.address,
                    self.incarnation,
                    rumors=self.rumors.take(self.member_count),
                    summary=self.summary,
                ),
            )
        )

    def queue_page(self, members: Sequence[Member], start: int, to: Member) -> None:
        """Queue a page of the live members, sorted by name, with the position of the next page (0: none)."""
        page: list[Rumor] = []
        bytes_left, position = MAX_PAGE_BYTES, start
        while position < len(members):
            member = members[position]
            rumor = Rumor(member.name, MemberState.ALIVE, member.incarnation, member.address)
            bytes_left -= rumor.size()
            if bytes_left < 0:
                break
            page.append(rumor)
            position += 1
        self.queue(
            PacketKind.PAGE, to, number=position if page and position < len(members) else 0, rumors=page
        )
