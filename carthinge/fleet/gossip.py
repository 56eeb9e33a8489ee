"""What a scheduler says to the others: who it is, news of third ones that ride along, pages of its list."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from carthinge.fleet.packets import PAGE_BYTES, RUMOR_BYTES, Kind, Packet, Rumor, Standing, Summary

HERE: Final = (Standing.ALIVE, Standing.SUSPECT)
WITH_SUMMARY: Final = (Kind.PING, Kind.ACK, Kind.BEAT)

Sending = tuple[str, Packet]


@dataclass(slots=True, eq=False)
class Member:
    """Another scheduler, as this one sees it."""

    name: str
    address: str
    incarnation: int
    standing: Standing
    since: timedelta  #: when it came to stand so
    failed: int = 0  #: checks in a row


class Rumors:
    """News, each told a few times the logarithm of all members, the least told first."""

    def __init__(self) -> None:
        self._told: dict[str, int] = {}  # how often each was
        # With its size; by how often, so that none is looked at but what is told.
        self._rumors: list[dict[str, tuple[Rumor, int]]] = []

    def add(self, rumor: Rumor) -> None:
        """In place of what was to be told of that member before."""
        self.drop(rumor.name)
        self._put(0, rumor, rumor.size())

    def drop(self, name: str) -> None:
        """Forget what is told of a member."""
        if (told := self._told.pop(name, None)) is not None:
            del self._rumors[told][name]

    def clear(self) -> None:
        """Forget everything that is told."""
        self._told.clear()
        self._rumors.clear()

    def ride(self, members: int) -> list[Rumor]:
        """As many as fit in a message."""
        most, room = 2 * (members + 1).bit_length(), RUMOR_BYTES
        chosen: list[tuple[int, Rumor, int]] = []
        for told, rumors in enumerate(self._rumors if self._told else ()):
            for rumor, size in rumors.values():
                room -= size
                if room < 0:
                    break
                chosen.append((told, rumor, size))
            if room < 0:
                break
        for told, rumor, size in chosen:
            self.drop(rumor.name)
            if told + 1 < most:
                self._put(told + 1, rumor, size)
        return [rumor for _, rumor, _ in chosen]

    def _put(self, told: int, rumor: Rumor, size: int) -> None:
        while len(self._rumors) <= told:
            self._rumors.append({})
        self._rumors[told][rumor.name] = rumor, size
        self._told[rumor.name] = told


class GossipSender:
    """Messages of one scheduler, gathered until they are taken."""

    def __init__(self, name: str, address: str, incarnation: int) -> None:
        self.name, self.address, self.incarnation = name, address, incarnation
        self.rumors = Rumors()
        self.summary: Summary | None = None  #: rides along with most messages
        self.known = 0  #: members, by which news is told more often or less
        self._out: list[Sending] = []

    def sent(self) -> list[Sending]:
        """Takes what was gathered."""
        out, self._out = self._out, []
        return out

    def spread(self, member: Member) -> None:
        """News of a member rides along from now on."""
        self.rumors.add(Rumor(member.name, member.standing, member.incarnation, member.address))

    def deny(self, incarnation: int) -> None:
        """Somebody holds this one for away: a higher incarnation says no, to all."""
        self.incarnation = incarnation + 1
        self.rumors.add(Rumor(self.name, Standing.ALIVE, self.incarnation, self.address))

    def say(
        self,
        kind: Kind,
        to: Member,
        number: int = 0,
        about: str = "",
        about_at: int = 0,
        back: str = "",
        rumors: list[Rumor] | None = None,
        purse: int = 0,
        units: int = 0,
    ) -> None:
        """A message to a member; how it stands here is in each."""
        self._out.append(
            (
                to.address,
                Packet(
                    kind,
                    self.name,
                    self.address,
                    self.incarnation,
                    to.standing,
                    to.incarnation,
                    number,
                    about,
                    about_at,
                    back,
                    self.rumors.ride(self.known) if rumors is None else rumors,
                    self.summary if kind in WITH_SUMMARY else None,
                    purse,
                    units,
                ),
            )
        )

    def knock(self, address: str) -> None:
        """A ping to an address where nobody is known."""
        self._out.append(
            (
                address,
                Packet(
                    Kind.PING,
                    self.name,
                    self.address,
                    self.incarnation,
                    rumors=self.rumors.ride(self.known),
                    summary=self.summary,
                ),
            )
        )

    def page(self, ordered: Sequence[Member], start: int, to: Member) -> None:
        """Some of those that are here, in the order of their names, and where to go on (0: that was all)."""
        page: list[Rumor] = []
        room, at = PAGE_BYTES, start
        while at < len(ordered):
            member = ordered[at]
            rumor = Rumor(member.name, Standing.ALIVE, member.incarnation, member.address)
            room -= rumor.size()
            if room < 0:
                break
            page.append(rumor)
            at += 1
        self.say(Kind.PAGE, to, number=at if page and at < len(ordered) else 0, rumors=page)
