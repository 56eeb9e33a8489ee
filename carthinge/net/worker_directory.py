"""The workers that discovery has named, as this scheduler reaches them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from hashlib import blake2b
from typing import Final

from carthinge.interface import Listing, State, WorkerEntry, WorkerList
from carthinge.net.channel import State as HandedOver
from carthinge.net.channel import Target
from carthinge.net.clock import Clock
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND
from carthinge.net.members import Listed, Member
from carthinge.settings import Site

STATES: Final = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """A worker: its name on the wire, its number for the module, and where it listens just now."""

    id: str
    number: int
    address: Address
    left: bool = False  # it drains or is gone: nothing new may go there


@dataclass(frozen=True, slots=True)
class Start:
    """A worker's last start: as discovery tells it, and on this machine's monotonic clock.

    Kept as it was translated when it was first heard of: a step of the wall clock would make it another one.
    """

    unix_ms: int
    at: timedelta


def number_of(worker: str) -> int:
    """The module's id of a worker, the same at every scheduler and after every start."""
    return int.from_bytes(blake2b(worker.encode(), digest_size=8).digest(), "little")


class WorkerDirectory:
    """All workers that discovery has ever named here; the module keeps their states."""

    def __init__(self, site: Site, clock: Clock) -> None:
        self.targets: dict[int, WorkerEndpoint] = {}
        self.revision: int | None = None  # none that the present discovery has given
        self.ready: set[str] = set()
        self.listed: set[str] = set()  # ready or not
        self._members: dict[str, Member] = {}  # as they were named last
        self._starts: dict[str, Start] = {}
        self._clock = clock
        self._zones: dict[str, int] = {}
        self._kinds: dict[str, int] = {}
        self._name(site)

    def _name(self, site: Site) -> None:
        self._zones = {name: index for index, name in enumerate(site.zones)}
        self._kinds = {name: index for index, name in enumerate(site.kinds)}

    def retune(self, site: Site) -> WorkerList:
        """Zones and machine kinds have other positions from now on: all that is listed, told by these."""
        self._name(site)
        return WorkerList(Listing.WHOLE, self._entries())

    def take(self, listed: Listed, listing: Listing) -> WorkerList:
        """Holds what discovery says and translates it for the module.

        All of it is read first: with half of a bad answer held, the rest would never be asked for again.
        """
        addresses = [Address.parse(member.host_port) for member in listed.members]
        entries = tuple(self._entry(member) for member in listed.members)
        if listing is not Listing.CHANGES:
            self.ready.clear()
            self.listed.clear()
        for member, entry, address in zip(listed.members, entries, addresses, strict=True):
            self._hold(member, entry.worker, address)
        if listing is not Listing.CHANGES:  # those that are not named have gone
            for target in self.targets.values():
                target.left = target.id not in self.ready
        self.revision = listed.revision
        return WorkerList(listing, entries)

    def told(self) -> list[Target]:
        """For the process that takes over."""
        return [
            Target(
                target.id,
                str(target.address),
                target.id in self.ready,
                target.id in self.listed,
                self._members.get(target.id),
                start.at // MICROSECOND if (start := self._starts.get(target.id)) else 0,
            )
            for target in self.targets.values()
        ]

    def go_on(self, state: HandedOver) -> WorkerList:
        """From what another process held, translated by the names of this one's settings."""
        self.revision = state.revision
        for told in state.targets:
            number = number_of(told.id)
            self.targets[number] = WorkerEndpoint(
                told.id, number, Address.parse(told.address), left=not told.ready
            )
            if told.member is not None:
                self._members[told.id] = told.member
                self._starts[told.id] = Start(told.member.up_since_ms, told.started_us * MICROSECOND)
        self.ready.update(told.id for told in state.targets if told.ready)
        self.listed.update(told.id for told in state.targets if told.listed)
        return WorkerList(Listing.CACHED, self._entries())

    def target(self, worker: str, address: Address) -> WorkerEndpoint:
        """A worker that another process has sent to; discovery need not have named it here yet."""
        number = number_of(worker)
        return self.targets.setdefault(number, WorkerEndpoint(worker, number, address))

    def _hold(self, member: Member, number: int, address: Address) -> None:
        target = self.targets.setdefault(number, WorkerEndpoint(member.id, number, address))
        target.address = address
        target.left = member.phase != "Ready"
        self._members[member.id] = member
        (self.ready.add if member.phase == "Ready" else self.ready.discard)(member.id)
        (self.listed.add if member.phase != "Gone" else self.listed.discard)(member.id)

    def _entries(self) -> tuple[WorkerEntry, ...]:
        """All that is listed, in an order that does not change."""
        named = sorted(self.listed & self._members.keys())
        return tuple(self._entry(self._members[name]) for name in named)

    def _entry(self, member: Member) -> WorkerEntry:
        return WorkerEntry(
            number_of(member.id),
            self._zones.get(member.locality, 0),
            self._kinds.get(member.flavor, 0),
            member.cell,
            STATES[member.phase],
            member.size,
            self._started(member) // MICROSECOND,
        )

    def _started(self, member: Member) -> timedelta:
        if not member.up_since_ms:
            return timedelta()
        start = self._starts.get(member.id)
        if start is None or start.unix_ms != member.up_since_ms:
            start = Start(member.up_since_ms, self._clock.of_unix_ms(member.up_since_ms))
            self._starts[member.id] = start
        return start.at
