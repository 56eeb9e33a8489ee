"""The workers that discovery has listed, and their addresses."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from hashlib import blake2b
from typing import Final

from carthinge.interface import Listing, State, WorkerEntry, WorkerList
from carthinge.net.channel import State as HandoverState
from carthinge.net.channel import Target
from carthinge.net.clock import Clock
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND
from carthinge.net.members import Member, MemberList
from carthinge.settings import Site
from carthinge.worker_list import MAX_GONE_WORKERS, MAX_LISTED_WORKERS

STATE_BY_PHASE: Final = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """A worker: its id on the wire, its number in the decision module, and its current address."""

    id: str
    number: int
    address: Address
    draining_or_gone: bool = False  # draining or gone: must get no new attempts


@dataclass(frozen=True, slots=True)
class WorkerStart:
    """A worker's last start, as reported by discovery and on this machine's monotonic clock.

    It is converted only once: after a step of the wall clock it would be taken for another start.
    """

    unix_ms: int
    at: timedelta


def worker_number(worker: str) -> int:
    """Return a worker's number in the decision module, the same at all schedulers and after restarts."""
    return int.from_bytes(blake2b(worker.encode(), digest_size=8).digest(), "little")


class WorkerDirectory:
    """All workers that discovery has ever listed; the decision module keeps their states."""

    def __init__(self, site: Site, clock: Clock) -> None:
        self.targets: dict[int, WorkerEndpoint] = {}
        self.revision: int | None = None  # None until the current discovery has given one
        self.ready: set[str] = set()
        self.listed: set[str] = set()  # whether ready or not
        self._members: dict[str, Member] = {}  # as last listed
        self._starts: dict[str, WorkerStart] = {}
        self._clock = clock
        self._zones: dict[str, int] = {}
        self._kinds: dict[str, int] = {}
        self._set_positions(site)

    def _set_positions(self, site: Site) -> None:
        self._zones = {name: index for index, name in enumerate(site.zones)}
        self._kinds = {name: index for index, name in enumerate(site.kinds)}

    def retune(self, site: Site) -> WorkerList:
        """Apply changed zones and machine kinds; return all listed workers with their new positions."""
        self._set_positions(site)
        return WorkerList(Listing.WHOLE, self._entries())

    def apply_list(self, listed: MemberList, listing: Listing) -> WorkerList:
        """Store a list from discovery and convert it for the decision module; ValueError if it is invalid.

        It is parsed as a whole first: if a part of an invalid list were stored, the rest would never be
        requested again.
        """
        addresses = [Address.parse(member.host_port) for member in listed.members]
        entries = tuple(self._entry(member) for member in listed.members)
        self._check_size(listed, listing)
        if listing is not Listing.CHANGES:
            self.ready.clear()
            self.listed.clear()
        for member, entry, address in zip(listed.members, entries, addresses, strict=True):
            self._store(member, entry.worker, address)
        if listing is not Listing.CHANGES:  # workers that are not listed are gone
            for target in self.targets.values():
                target.draining_or_gone = target.id not in self.ready
        self.revision = listed.revision
        self._forget_gone()
        return WorkerList(listing, entries)

    def _check_size(self, listed: MemberList, listing: Listing) -> None:
        names = {member.id for member in listed.members if member.phase != "Gone"}
        if listing is Listing.CHANGES and len(self.listed) + len(names) > MAX_LISTED_WORKERS:
            names |= self.listed
        if len(names) > MAX_LISTED_WORKERS:
            raise ValueError(f"more than {MAX_LISTED_WORKERS} workers")

    def _forget_gone(self) -> None:
        """Bound the number of workers that are gone; those that were known first are forgotten."""
        excess = len(self.targets) - len(self.listed) - MAX_GONE_WORKERS
        if excess > 0:
            gone = [target for target in self.targets.values() if target.id not in self.listed]
            for target in gone[:excess]:
                del self.targets[target.number]
                self._members.pop(target.id, None)
                self._starts.pop(target.id, None)

    def handover_targets(self) -> list[Target]:
        """Return the contents for the successor process."""
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

    def restore(self, state: HandoverState) -> WorkerList:
        """Restore the predecessor's contents, converted with the zones and kinds of this process."""
        self.revision = state.revision
        for handed in state.targets:
            number = worker_number(handed.id)
            self.targets[number] = WorkerEndpoint(
                handed.id, number, Address.parse(handed.address), draining_or_gone=not handed.ready
            )
            if handed.member is not None:
                self._members[handed.id] = handed.member
                self._starts[handed.id] = WorkerStart(
                    handed.member.up_since_ms, handed.started_us * MICROSECOND
                )
        self.ready.update(handed.id for handed in state.targets if handed.ready)
        self.listed.update(handed.id for handed in state.targets if handed.listed)
        return WorkerList(Listing.CACHED, self._entries())

    def get_or_add(self, worker: str, address: Address) -> WorkerEndpoint:
        """Return a worker that another process has sent to, and add it if discovery has not listed it yet."""
        number = worker_number(worker)
        return self.targets.setdefault(number, WorkerEndpoint(worker, number, address))

    def _store(self, member: Member, number: int, address: Address) -> None:
        target = self.targets.setdefault(number, WorkerEndpoint(member.id, number, address))
        target.address = address
        target.draining_or_gone = member.phase != "Ready"
        self._members[member.id] = member
        (self.ready.add if member.phase == "Ready" else self.ready.discard)(member.id)
        (self.listed.add if member.phase != "Gone" else self.listed.discard)(member.id)

    def _entries(self) -> tuple[WorkerEntry, ...]:
        """Return all listed workers in a stable order."""
        names = sorted(self.listed & self._members.keys())
        return tuple(self._entry(self._members[name]) for name in names)

    def _entry(self, member: Member) -> WorkerEntry:
        return WorkerEntry(
            worker_number(member.id),
            self._zones.get(member.locality, 0),
            self._kinds.get(member.flavor, 0),
            member.cell,
            STATE_BY_PHASE[member.phase],
            member.size,
            self._start_time(member) // MICROSECOND,
        )

    def _start_time(self, member: Member) -> timedelta:
        if not member.up_since_ms:
            return timedelta()
        start = self._starts.get(member.id)
        if start is None or start.unix_ms != member.up_since_ms:
            start = WorkerStart(member.up_since_ms, self._clock.from_unix_ms(member.up_since_ms))
            self._starts[member.id] = start
        return start.at
