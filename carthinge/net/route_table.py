"""Discovery: the route table, and the watch that keeps it up to date."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from hashlib import blake2b
from http import HTTPStatus
from typing import Final, Literal

import msgspec

from carthinge.interface import Listing, State, WorkerEntry, WorkerList
from carthinge.net import log
from carthinge.net.channel import State as HandedOver
from carthinge.net.channel import Target
from carthinge.net.counters import Counters
from carthinge.net.http import Address, Answer, Caller, call_bytes
from carthinge.net.loop import MICROSECOND, MILLISECOND, Clock, Loop
from carthinge.settings import Site

STATES: Final = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
PATH: Final = "/discovery/hosts"
WAIT: Final = timedelta(seconds=1)  # of a watch that has nothing to tell: a silent one is noticed soon after
WAIT_EACH: Final = timedelta(milliseconds=50)  # at the least, for each scheduler: they share one discovery
WAIT_MOST: Final = timedelta(seconds=60)  # by the protocol: a call that asks for more may be turned down
OVERDUE: Final = timedelta(seconds=1)  # past its wait a call is taken for lost
OVERDUE_MOST: Final = timedelta(seconds=8)  # after several in a row: discovery may be slow, and not gone
BROKEN_OFF: Final = timedelta(milliseconds=300)  # between two parts of an answer
LIST_LIMIT: Final = 16 * 1024 * 1024


class Member(msgspec.Struct, frozen=True):
    """One worker, as discovery words it."""

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


_LISTS: Final[msgspec.json.Decoder[Listed]] = msgspec.json.Decoder(Listed)


@dataclass(slots=True, eq=False)
class EgressTarget:
    """A worker: its name on the wire, its number for the module, and where it listens just now."""

    id: str
    number: int
    address: Address


def number_of(worker: str) -> int:
    """The module's id of a worker, the same at every scheduler and after every start."""
    return int.from_bytes(blake2b(worker.encode(), digest_size=8).digest(), "little")


class RouteTable:
    """All workers that discovery has ever named here; the module keeps their states."""

    def __init__(self, site: Site, clock: Clock) -> None:
        self.targets: dict[int, EgressTarget] = {}
        self.revision: int | None = None  # none that the present discovery has given
        self.ready: set[str] = set()
        self.listed: set[str] = set()  # ready or not
        self._zones = {name: index for index, name in enumerate(site.zones)}
        self._kinds = {name: index for index, name in enumerate(site.kinds)}
        self._clock = clock

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
        self.revision = listed.revision
        return WorkerList(listing, entries)

    def told(self) -> list[Target]:
        """For the process that takes over."""
        return [Target(target.id, str(target.address), target.id in self.ready, target.id in self.listed)
                for target in self.targets.values()]

    def go_on(self, state: HandedOver) -> WorkerList:
        """From what another process held; the list is told as the module there had it."""
        self.revision = state.revision
        self._clock.wall_origin = state.wall_origin_us * MICROSECOND
        for target in state.targets:
            number = number_of(target.id)
            self.targets[number] = EgressTarget(target.id, number, Address.parse(target.address))
        self.ready.update(target.id for target in state.targets if target.ready)
        self.listed.update(target.id for target in state.targets if target.listed)
        return WorkerList(Listing.CACHED, [known.entry for known in state.memory.workers if known.listed])

    def target(self, worker: str, address: Address) -> EgressTarget:
        """A worker that another process has sent to; discovery need not have named it here yet."""
        number = number_of(worker)
        return self.targets.setdefault(number, EgressTarget(worker, number, address))

    def _hold(self, member: Member, number: int, address: Address) -> None:
        target = self.targets.setdefault(number, EgressTarget(member.id, number, address))
        target.address = address
        (self.ready.add if member.phase == "Ready" else self.ready.discard)(member.id)
        (self.listed.add if member.phase != "Gone" else self.listed.discard)(member.id)

    def _entry(self, member: Member) -> WorkerEntry:
        number = number_of(member.id)
        started = self._clock.of_unix_ms(member.up_since_ms) // MICROSECOND if member.up_since_ms else 0
        return WorkerEntry(number, self._zones.get(member.locality, 0), self._kinds.get(member.flavor, 0),
                           member.cell, STATES[member.phase], member.size, started)


class RouteWatch:
    """Calls discovery again at once after each answer; after a failure only when it is told to."""

    def __init__(self, loop: Loop, address: Address, table: RouteTable, connect_timeout: timedelta,
                 instances: int, counters: Counters, tell: Callable[[WorkerList], None]) -> None:
        self._loop = loop
        self._address = address
        self._table = table
        self._connect_timeout = connect_timeout
        self._overdue = OVERDUE
        self._wait = min(max(WAIT, WAIT_EACH * instances), WAIT_MOST)
        self._counters = counters
        self._tell = tell
        self._caller: Caller | None = None
        self._call: _WatchCall | None = None

    def start(self) -> None:
        """The module wants to be told of changes; a watch that is under way already does that."""
        if self._call is None:
            self._ask()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on.  What is known holds until the new one has spoken.

        It is asked for its whole list: its revisions are its own, so that a watch from one of the old
        discovery's could wait in vain, or miss what came before it.
        """
        if address == self._address:
            return
        self._address = address
        self._table.revision = None
        self.stop()
        self._caller = None
        self._ask()

    def stop(self) -> None:
        if self._call is not None:
            self._call.dropped = True
            self._call = None
        if self._caller is not None:
            self._caller.close()

    def _ask(self) -> None:
        try:
            if self._caller is None or not self._caller.usable():
                self._caller = Caller(self._loop, self._address, self._connect_timeout, LIST_LIMIT,
                                      BROKEN_OFF)
                self._caller.open()
        except OSError as fault:
            why = str(fault)
            self._caller = None
            self._loop.soon(lambda: self.failed(why))
            return
        revision = self._table.revision
        query = "" if revision is None else f"?index={revision}&wait={self._wait // MILLISECOND}"
        call = self._call = _WatchCall(self)
        self._loop.call_after(self._wait + self._overdue, call.overdue)
        self._caller.start(call, call_bytes("GET", (PATH + query).encode(), str(self._address)))

    def answered(self, answer: Answer) -> None:
        self._call = None
        self._overdue = OVERDUE
        if answer.status != HTTPStatus.OK:
            self.failed(f"status {answer.status}")
            return
        try:
            listed = _LISTS.decode(answer.body)
            told = self._table.take(listed, Listing.WHOLE if listed.complete else Listing.CHANGES)
        except (msgspec.MsgspecError, ValueError, OverflowError) as fault:
            self.failed(f"unreadable: {fault}")
            return
        log.logger().debug("list_taken", revision=listed.revision, complete=listed.complete,
                           members=",".join(f"{member.id}={member.phase}" for member in listed.members))
        self._counters.watch_answers += 1
        self._counters.list_lines += len(listed.members)
        self._ask()  # first: a watch goes on only if the next call comes soon after the answer
        self._tell(told)

    def overdue(self) -> None:
        """Waits longer for the next one: if discovery is slow, it would never get to say anything."""
        self._overdue = min(self._overdue * 2, OVERDUE_MOST)
        self.failed("no answer in time")

    def failed(self, why: str) -> None:
        self.stop()
        self._caller = None
        self._counters.watch_failures += 1
        log.logger().warning("discovery_failed", why=why, revision=self._table.revision)
        self._tell(WorkerList(Listing.FAILED))


class _WatchCall:
    """One call of a watch."""

    def __init__(self, watch: RouteWatch) -> None:
        self._watch = watch
        self.dropped = False

    def written(self) -> None:
        """Nothing follows from that."""

    def answered(self, answer: Answer) -> None:
        if not self.dropped:
            self.dropped = True
            self._watch.answered(answer)

    def broken(self, written: bool, why: str) -> None:
        if not self.dropped:
            self._watch.failed(why)

    def overdue(self) -> None:
        """Guards against a watch that has fallen silent, as when discovery's machine vanishes.

        Nothing would ever be said on it, and meanwhile jobs would go to workers that have left.
        """
        if not self.dropped:
            self._watch.overdue()
