"""The watch on discovery that keeps the list of workers up to date."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from http import HTTPStatus
from typing import Final

import msgspec

from carthinge.interface import Listing, WorkerList
from carthinge.net import log
from carthinge.net.caller import Caller
from carthinge.net.counters import Counters
from carthinge.net.http import Address, Answer, call_bytes
from carthinge.net.loop import MILLISECOND, Loop, Timer
from carthinge.net.members import Listed
from carthinge.net.worker_directory import WorkerDirectory
from carthinge.settings import Site

PATH: Final = "/discovery/hosts"
LIST_LIMIT: Final = 16 * 1024 * 1024  # bytes
BROKEN_OFF: Final = timedelta(milliseconds=300)  # between two parts of an answer

# Where discovery is asked.  A change counts as told 6 s after discovery had it and could be reached, whatever
# became of the calls before: a call that is given up and the pause after it stay below that together.
WAIT: Final = timedelta(seconds=1)  # of a watch that has nothing to tell: a silent one is noticed soon after
WAIT_EACH: Final = timedelta(milliseconds=50)  # at the least, for each scheduler: they share one discovery
WAIT_MOST: Final = timedelta(seconds=60)  # by the protocol: a call that asks for more may be turned down
OVERDUE: Final = timedelta(seconds=1)  # past its wait a call is taken for lost
CHECK_WAIT: Final = MILLISECOND  # of the first call after a failure: its answer is due at once
CHECK_OVERDUE: Final = timedelta(seconds=3.5)  # the answer may have to wait in discovery's own queue

# Where lists are pushed, an agent on this machine answers at once and at no cost.
AGENT_SHARE: Final = 0.25  # of the grace for drains: how long a call of an agent waits, and is waited for
AGENT_LEAST: Final = timedelta(milliseconds=20)  # however short the grace is: no busy loop

_LISTS: Final[msgspec.json.Decoder[Listed]] = msgspec.json.Decoder(Listed)


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a watch waits, and for what."""

    wait: timedelta  #: of a call that has nothing to tell
    overdue: timedelta  #: past its wait a call is taken for lost
    check_wait: timedelta  #: the same two for the calls after a failure, until one is answered
    check_overdue: timedelta
    again: timedelta | None  #: from a failure to the next call; None where the module says when

    @classmethod
    def of(cls, site: Site) -> Pace:
        """By the settings.

        Where lists are pushed, what the agent has counts as told whether or not it was heard: a call that
        has fallen silent must be made anew within the grace for drains.  Where discovery is asked, all
        schedulers share one, and what it writes counts as told.
        """
        if site.pushed:
            share = min(max(site.drain_grace * AGENT_SHARE, AGENT_LEAST), WAIT)
            return cls(share, share, share, 2 * share, share / 2)
        wait = min(max(WAIT, WAIT_EACH * site.decisions.instances), WAIT_MOST)
        return cls(wait, OVERDUE, CHECK_WAIT, CHECK_OVERDUE, None)


class WatchState(Enum):
    """What a watch is about."""

    STOPPED = 1  #: nothing is asked before somebody says so
    CALLING = 2  #: a call is under way
    PAUSING = 3  #: after a failure, until the next call


class DiscoveryWatch:
    """Calls discovery again at once after each answer.

    After a failure it does so when the module says; where lists are pushed, that takes changes to come by
    themselves, so that it is kept up from here.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        table: WorkerDirectory,
        site: Site,
        counters: Counters,
        tell: Callable[[WorkerList], None],
    ) -> None:
        self.state = WatchState.STOPPED
        self._loop = loop
        self._address = address
        self._table = table
        self._connect_timeout = site.connect_timeout
        self._pace = Pace.of(site)
        self._failures = 0  # in a row
        self._counters = counters
        self._tell = tell
        self._caller: Caller | None = None
        self._timer: Timer | None = None  # for an overdue answer while CALLING, for the next call in a pause
        self._first: Callable[[], None] | None = None

    def start(self) -> None:
        """The module wants to be told of changes; a watch that is under way already does that."""
        if self.state is not WatchState.CALLING:
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
        if site.pushed:
            self.start()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on.  What is known holds until the new one has spoken.

        It is asked for its whole list: its revisions are its own, so that a watch from one of the old
        discovery's could wait in vain, or miss what came before it.
        """
        if address == self._address:
            return
        self._address = address
        self._table.revision = None
        self._failures = 0
        self.stop()
        self._ask()

    def stop(self) -> None:
        """Nothing of what is under way counts any more."""
        self.state = WatchState.STOPPED
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._caller is not None:
            self._caller.close()
            self._caller = None

    # ---- one call after the other ---------------------------------------------------------

    def _ask(self, whole: bool = False) -> None:
        if self._timer is not None:
            self._timer.cancel()
        caller = self._caller
        if caller is None or not caller.usable():
            if caller is not None:
                caller.close()
            caller = self._caller = Caller(
                self._loop, self._address, self._connect_timeout, LIST_LIMIT, BROKEN_OFF
            )
            caller.open()
        checking = self._failures > 0
        wait = self._pace.check_wait if checking else self._pace.wait
        overdue = self._pace.check_overdue if checking else self._pace.overdue
        revision = None if whole else self._table.revision
        query = "" if revision is None else f"?index={revision}&wait={max(1, wait // MILLISECOND)}"
        self.state = WatchState.CALLING
        self._timer = self._loop.call_after(wait + overdue, self._overdue)
        caller.start(_WatchCall(self, (PATH + query).encode(), str(self._address), revision))

    def answered(self, revision: int | None, answer: Answer) -> None:
        """``revision``: that news were asked for since, None where the whole list was."""
        if answer.status != HTTPStatus.OK:
            self._failed(f"status {answer.status}")
            return
        try:
            listed = _LISTS.decode(answer.body)
            if revision is not None and listed.revision < revision:
                # An older list than the one that is known would take back what was told since, such as a
                # worker's drain; and if discovery has begun anew, its whole list is what counts.
                log.logger().warning("list_out_of_order", revision=listed.revision, known=revision)
                self._ask(whole=True)
                return
            told = self._table.take(listed, Listing.WHOLE if listed.complete else Listing.CHANGES)
        except (msgspec.MsgspecError, ValueError, OverflowError) as fault:
            self._failed(f"unreadable: {fault}")
            return
        log.logger().debug(
            "list_taken",
            revision=listed.revision,
            complete=listed.complete,
            members=",".join(f"{member.id}={member.phase}" for member in listed.members),
        )
        self._counters.watch_answers += 1
        self._counters.list_lines += len(listed.members)
        self._failures = 0
        self._ask()  # first: a watch goes on only if the next call comes soon after the answer
        self._tell(told)
        self._spoken()

    def broken(self, why: str) -> None:
        """Hear that the call under way ended without an answer."""
        self._failed(why)

    def _overdue(self) -> None:
        """Guards against a watch that has fallen silent, as when discovery's machine vanishes.

        Nothing would ever be said on it, and meanwhile jobs would go to workers that have left.
        """
        self._failed("no answer in time", timedelta())

    def _failed(self, why: str, pause: timedelta | None = None) -> None:
        """``pause`` before the next call, where it is not the usual one."""
        self.stop()
        self._counters.watch_failures += 1
        self._failures += 1
        self.state = WatchState.PAUSING
        again = self._pace.again
        # An agent is silent for as long as discovery is down: one line tells that.
        say = log.logger().warning if again is None or self._failures == 1 else log.logger().debug
        say("discovery_failed", why=why, revision=self._table.revision)
        if again is None:
            self._tell(WorkerList(Listing.FAILED))
        else:
            self._timer = self._loop.call_after(again if pause is None else pause, self.start)

    def _spoken(self) -> None:
        first, self._first = self._first, None
        if first is not None:
            first()


class _WatchCall:
    """One call of a watch; it is told nothing more once its caller was closed."""

    def __init__(self, watch: DiscoveryWatch, target: bytes, host: str, revision: int | None) -> None:
        self._watch = watch
        self._revision = revision
        self._data = call_bytes("GET", target, host)

    def request(self) -> bytes:
        return self._data

    def written(self) -> None:
        """Nothing follows from that."""

    def answered(self, answer: Answer) -> None:
        self._watch.answered(self._revision, answer)

    def broken(self, written: bool, why: str) -> None:
        self._watch.broken(why)
