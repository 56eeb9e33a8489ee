"""Long polling of discovery, which keeps the list of workers up to date."""

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
from carthinge.net.counters import Counters
from carthinge.net.decoding import decode
from carthinge.net.http import Address, Answer, encode_request
from carthinge.net.loop import MILLISECOND, Loop, Timer
from carthinge.net.members import MemberList
from carthinge.net.outgoing_connection import OutgoingConnection
from carthinge.net.worker_directory import WorkerDirectory
from carthinge.settings import Site
from carthinge.worker_list import MAX_LISTED_WORKERS

PATH: Final = "/discovery/hosts"
MAX_MEMBER_BYTES: Final = 1024  # of an entry on the wire, indented, in the mean over a list
MAX_LIST_BYTES: Final = MAX_LISTED_WORKERS * MAX_MEMBER_BYTES
STALL_TIMEOUT: Final = timedelta(milliseconds=300)  # between two parts of a response

# Polling of a central discovery.  A change must be known 6 s after discovery has it and is reachable, even
# after failed calls: the timeout of a call and the pause after it are shorter than that together.
POLL_WAIT: Final = timedelta(seconds=1)  # without changes; short, so that a dead connection is noticed soon
POLL_WAIT_PER_SCHEDULER: Final = timedelta(milliseconds=50)  # minimum: all schedulers share one discovery
MAX_POLL_WAIT: Final = timedelta(seconds=60)  # by the protocol; calls with a longer wait may be rejected
RESPONSE_MARGIN: Final = timedelta(seconds=1)  # beyond its wait, until a call counts as lost
RETRY_WAIT: Final = MILLISECOND  # of the first call after a failure: the response is due at once
RETRY_RESPONSE_MARGIN: Final = timedelta(seconds=3.5)  # the response may be queued at discovery

# In pushed mode, an agent on this machine answers at once and at no cost.
AGENT_WAIT_FRACTION: Final = 0.25  # of the drain grace: wait of a call to an agent, and its margin
MIN_AGENT_WAIT: Final = timedelta(milliseconds=20)  # avoids a busy loop if the grace is very short

_LIST_DECODER: Final[msgspec.json.Decoder[MemberList]] = msgspec.json.Decoder(MemberList)


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """The waits, margins and pauses of a watch."""

    wait: timedelta  #: of a call if nothing changes
    margin: timedelta  #: beyond the wait, until a call counts as lost
    retry_wait: timedelta  #: these two: for calls after a failure, until one is answered
    retry_margin: timedelta
    retry_interval: timedelta | None  #: from a failure to the next call; None if the decision module decides

    @classmethod
    def of(cls, site: Site) -> WatchTiming:
        """Return the timing for the settings.

        In pushed mode, a change counts as known once the agent has it, even if it was not received here, so
        a call without response must be repeated within the drain grace.  In polled mode, all schedulers
        share one discovery, and a change counts as known once discovery has written it.
        """
        if site.list_is_pushed:
            agent_wait = min(max(site.drain_grace * AGENT_WAIT_FRACTION, MIN_AGENT_WAIT), POLL_WAIT)
            return cls(agent_wait, agent_wait, agent_wait, 2 * agent_wait, agent_wait / 2)
        wait = min(
            max(POLL_WAIT, POLL_WAIT_PER_SCHEDULER * site.dispatcher_settings.instances), MAX_POLL_WAIT
        )
        return cls(wait, RESPONSE_MARGIN, RETRY_WAIT, RETRY_RESPONSE_MARGIN, None)


class WatchState(Enum):
    """The state of a watch."""

    STOPPED = 1  #: no call until it is started
    CALLING = 2  #: a call is in progress
    PAUSING = 3  #: after a failure, until the next call


class DiscoveryWatch:
    """Calls discovery, and again at once after each response.

    After a failure the decision module decides when to call again.  In pushed mode it expects changes to
    arrive by themselves, so there the watch retries on its own.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        directory: WorkerDirectory,
        site: Site,
        counters: Counters,
        on_update: Callable[[WorkerList], None],
    ) -> None:
        self.state = WatchState.STOPPED
        self._loop = loop
        self._address = address
        self._directory = directory
        self._connect_timeout = site.connect_timeout
        self._timing = WatchTiming.of(site)
        self._failures = 0  # in a row
        self._counters = counters
        self._on_update = on_update
        self._connection: OutgoingConnection | None = None
        self._timer: Timer | None = None  # response timeout while CALLING, next call while PAUSING
        self._first_list_received: Callable[[], None] | None = None

    def start(self) -> None:
        """Start watching for changes, unless a call is in progress already."""
        if self.state is not WatchState.CALLING:
            self._call()

    def start_pushed(self, site: Site, first_list_received: Callable[[], None]) -> None:
        """Start watching a pushed list at the start of the process.

        ``first_list_received`` is called once the agent has sent its whole list, which a new process has to
        know and which the agent sends at once.  While discovery is down its agent does not respond; the
        wait for it is limited to the connect timeout and to a fraction of the drain grace.
        """
        self._first_list_received = first_list_received
        self._loop.call_after(min(self._timing.wait, site.connect_timeout), self._notify_first_list)
        self._call(whole=True)

    def retune(self, site: Site) -> None:
        """Apply changed settings from the next call on."""
        self._connect_timeout = site.connect_timeout
        self._timing = WatchTiming.of(site)
        if site.list_is_pushed:
            self.start()

    def set_address(self, address: Address) -> None:
        """Switch to another discovery address.  The known list stays valid until the new one has answered.

        The whole list is requested, since revisions differ between discoveries: a watch from a revision of
        the old one could wait in vain, or miss changes.
        """
        if address == self._address:
            return
        self._address = address
        self._directory.revision = None
        self._failures = 0
        self.stop()
        self._call()

    def stop(self) -> None:
        """Cancel the call in progress and the timer."""
        self.state = WatchState.STOPPED
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    # ---- calls ---------------------------------------------------------

    def _call(self, whole: bool = False) -> None:
        if self._timer is not None:
            self._timer.cancel()
        connection = self._connection
        if connection is None or not connection.usable():
            if connection is not None:
                connection.close()
            connection = self._connection = OutgoingConnection(
                self._loop, self._address, self._connect_timeout, MAX_LIST_BYTES, STALL_TIMEOUT
            )
            connection.open()
        retrying = self._failures > 0
        wait = self._timing.retry_wait if retrying else self._timing.wait
        margin = self._timing.retry_margin if retrying else self._timing.margin
        revision = None if whole else self._directory.revision
        query = "" if revision is None else f"?index={revision}&wait={max(1, wait // MILLISECOND)}"
        self.state = WatchState.CALLING
        self._timer = self._loop.call_after(wait + margin, self._response_overdue)
        connection.start(_WatchCall(self, (PATH + query).encode(), str(self._address), revision))

    def answered(self, revision: int | None, answer: Answer) -> None:
        """Handle a response; changes since ``revision`` were requested, the whole list if it is None."""
        if answer.status != HTTPStatus.OK:
            self._failed(f"status {answer.status}")
            return
        try:
            listed = decode(_LIST_DECODER, answer.body)
            if revision is not None and listed.revision < revision:
                # An older list would undo later changes, such as a worker's drain.  If discovery has
                # restarted, its revisions have too, and its whole list is valid.
                log.logger().warning("list_out_of_order", revision=listed.revision, known=revision)
                self._call(whole=True)
                return
            update = self._directory.apply_list(listed, Listing.WHOLE if listed.complete else Listing.CHANGES)
        except (ValueError, OverflowError) as fault:
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
        self._call()  # before the list is handled: the watch lasts only if the next call follows soon
        self._on_update(update)
        self._notify_first_list()

    def broken(self, why: str) -> None:
        """Handle that a call ended without a response."""
        self._failed(why)

    def _response_overdue(self) -> None:
        """Handle a response timeout, as when discovery's machine disappears.

        Without it the call would wait forever, while jobs were sent to workers that have left.
        """
        self._failed("no answer in time", timedelta())

    def _failed(self, why: str, pause: timedelta | None = None) -> None:
        """Handle a failed call; ``pause`` replaces the usual pause before the next one."""
        self.stop()
        self._counters.watch_failures += 1
        self._failures += 1
        self.state = WatchState.PAUSING
        interval = self._timing.retry_interval
        # An agent does not respond while discovery is down: only the first failure is a warning.
        log_failure = log.logger().warning if interval is None or self._failures == 1 else log.logger().debug
        log_failure("discovery_failed", why=why, revision=self._directory.revision)
        if interval is None:
            self._on_update(WorkerList(Listing.FAILED))
        else:
            self._timer = self._loop.call_after(interval if pause is None else pause, self.start)

    def _notify_first_list(self) -> None:
        callback, self._first_list_received = self._first_list_received, None
        if callback is not None:
            callback()


class _WatchCall:
    """One call of a watch; gets no events after its caller was closed."""

    reads_body = True

    def __init__(self, watch: DiscoveryWatch, target: bytes, host: str, revision: int | None) -> None:
        self._watch = watch
        self._revision = revision
        self._data = encode_request("GET", target, host)

    def request(self) -> bytes:
        return self._data

    def written(self) -> None:
        """Ignore that the request was sent."""

    def answered(self, answer: Answer) -> None:
        self._watch.answered(self._revision, answer)

    def broken(self, written: bool, why: str) -> None:
        self._watch.broken(why)
