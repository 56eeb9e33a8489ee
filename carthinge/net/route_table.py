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
AGENT_SHARE: Final = 0.25  # of the grace for drains: how long a call of an agent waits, and is waited for
AGENT_LEAST: Final = timedelta(milliseconds=20)  # however short the grace is: no busy loop
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
    left: bool = False  # it drains or is gone: nothing new may go there


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
        if listing is not Listing.CHANGES:  # those that are not named have gone
            for target in self.targets.values():
                target.left = target.id not in self.ready
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
            self.targets[number] = EgressTarget(target.id, number, Address.parse(target.address),
                                                left=not target.ready)
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
        target.left = member.phase != "Ready"
        (self.ready.add if member.phase == "Ready" else self.ready.discard)(member.id)
        (self.listed.add if member.phase != "Gone" else self.listed.discard)(member.id)

    def _entry(self, member: Member) -> WorkerEntry:
        number = number_of(member.id)
        started = self._clock.of_unix_ms(member.up_since_ms) // MICROSECOND if member.up_since_ms else 0
        return WorkerEntry(number, self._zones.get(member.locality, 0), self._kinds.get(member.flavor, 0),
                           member.cell, STATES[member.phase], member.size, started)


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a watch waits, and for what."""

    wait: timedelta  #: of a call that has nothing to tell
    overdue: timedelta  #: past its wait a call is taken for lost
    overdue_most: timedelta  #: after several in a row
    again: timedelta | None  #: from a failure to the next call; None where the module says when

    @classmethod
    def of(cls, site: Site) -> Pace:
        """By the settings.

        Where lists are pushed, what the agent has counts as told whether or not it was heard: a call that
        has fallen silent must be made anew within the grace for drains, and the agent answers at once and at
        no cost.  Where discovery is asked, all schedulers share one, and what it writes counts as told.
        """
        if site.pushed:
            share = min(max(site.drain_grace * AGENT_SHARE, AGENT_LEAST), WAIT)
            return cls(share, share, 2 * share, share / 2)
        wait = min(max(WAIT, WAIT_EACH * site.decisions.instances), WAIT_MOST)
        return cls(wait, OVERDUE, OVERDUE_MOST, None)


class RouteWatch:
    """Calls discovery again at once after each answer.

    After a failure it does so when the module says; where lists are pushed, that takes changes to come by
    themselves, so that it is kept up from here.
    """

    def __init__(self, loop: Loop, address: Address, table: RouteTable, site: Site, counters: Counters,
                 tell: Callable[[WorkerList], None]) -> None:
        self._loop = loop
        self._address = address
        self._table = table
        self._connect_timeout = site.connect_timeout
        self._pace = Pace.of(site)
        self._overdue = self._pace.overdue
        self._failures = 0  # in a row
        self._counters = counters
        self._tell = tell
        self._caller: Caller | None = None
        self._call: _WatchCall | None = None
        self._first: Callable[[], None] | None = None

    def start(self) -> None:
        """The module wants to be told of changes; a watch that is under way already does that."""
        if self._call is None:
            self._ask()

    def begin(self, site: Site, then: Callable[[], None]) -> None:
        """The watch of a pushed list, from the first moment on.

        ``then`` is called once the agent has told its whole list, which it does at once: a new process is
        held to it.  While discovery is down an agent is silent: nobody waits for that longer than for a
        connection, or than a part of the grace.
        """
        self._first = then
        self._loop.call_after(min(self._pace.wait, site.connect_timeout), self._spoken)
        self._ask(whole=True)

    def retune(self, site: Site) -> None:
        """Other settings hold from the next call on."""
        self._connect_timeout = site.connect_timeout
        self._pace = Pace.of(site)
        self._overdue = self._pace.overdue
        if site.pushed:
            self.start()

    def _spoken(self) -> None:
        first, self._first = self._first, None
        if first is not None:
            first()

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

    def _ask(self, whole: bool = False) -> None:
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
        wait = self._pace.wait // MILLISECOND
        query = "" if whole or revision is None else f"?index={revision}&wait={wait}"
        call = self._call = _WatchCall(self)
        self._loop.call_after(self._pace.wait + self._overdue, call.overdue)
        self._caller.start(call, call_bytes("GET", (PATH + query).encode(), str(self._address)))

    def answered(self, answer: Answer) -> None:
        self._call = None
        self._overdue = self._pace.overdue
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
        self._failures = 0
        self._ask()  # first: a watch goes on only if the next call comes soon after the answer
        self._tell(told)
        self._spoken()

    def overdue(self) -> None:
        """Waits longer for the next one: if discovery is slow, it would never get to say anything."""
        self._overdue = min(self._overdue * 2, self._pace.overdue_most)
        self.failed("no answer in time", timedelta())

    def failed(self, why: str, pause: timedelta | None = None) -> None:
        """``pause`` before the next call, where it is not the usual one."""
        self.stop()
        self._caller = None
        self._counters.watch_failures += 1
        self._failures += 1
        again = self._pace.again
        # An agent is silent for as long as discovery is down: one line tells that.
        say = log.logger().warning if again is None or self._failures == 1 else log.logger().debug
        say("discovery_failed", why=why, revision=self._table.revision)
        if again is None:
            self._tell(WorkerList(Listing.FAILED))
        else:
            self._loop.call_after(again if pause is None else pause, self.start)


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
