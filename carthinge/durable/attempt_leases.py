"""Attempts of durable jobs at their workers: granted on disk before they are sent, held by leases."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

import msgspec

from carthinge import interface as io
from carthinge.durable.records import AttemptState, Granted, HandedBack, Renewed, StoredAttempt
from carthinge.durable.writer import Writer
from carthinge.leases import Leases
from carthinge.net import log
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.tracked_request import Attempt, Sent
from carthinge.net.worker_directory import WorkerEndpoint

_ENTRIES: Final[msgspec.msgpack.Decoder[io.WorkerEntry]] = msgspec.msgpack.Decoder(io.WorkerEntry)


class AttemptLeases:
    """Who has which job, and until when."""

    def __init__(
        self,
        loop: Loop,
        duration: timedelta,
        entry_of: Callable[[int], io.WorkerEntry],
        target_of: Callable[[str, Address], WorkerEndpoint],
        expired: Callable[[Attempt], None],
    ) -> None:
        """``entry_of``: a worker as it is listed; ``target_of``: the same by its name, listed or not;
        ``expired`` hears of an attempt whose lease is over."""
        self.leases: Leases[Attempt] = Leases(duration)
        self.expired = 0
        self._loop = loop
        self._entry_of = entry_of
        self._target_of = target_of
        self._tell_expired = expired
        self._timer: Timer | None = None
        self._encoded: dict[int, tuple[io.WorkerEntry, bytes]] = {}

    def grant(self, writer: Writer, job: int, attempt: Attempt, go: Callable[[object], None]) -> None:
        """Writes down that it is about to be sent; ``go`` once it may be."""
        target = attempt.target
        entry = self._entry_of(target.number)
        known, encoded = self._encoded.get(target.number, (None, b""))
        if entry is not known:  # a worker's entry is another object once the list has said something of it
            encoded = msgspec.msgpack.encode(entry)
            self._encoded[target.number] = (entry, encoded)

        writer.write(
            Granted(
                attempt.token,
                job,
                attempt.number,
                target.id,
                str(target.address),
                encoded,
                attempt.sent // MICROSECOND,
                attempt.due // MICROSECOND,
            ),
            go,
        )

    def renew(self, writer: Writer | None, attempt: Attempt, begun: bool) -> None:
        """Its worker has given a sign.  The first one is written down at once, since it says that the worker
        takes part; later ones with whatever comes next: the lease is renewed at a start in any case."""
        first = not self.leases.held(attempt.token)
        until = self._hold(attempt)
        if writer is not None:
            at = self._loop.now // MICROSECOND if begun else 0
            writer.write(Renewed(attempt.token, until // MICROSECOND, at), soon=first)

    def end(self, writer: Writer | None, attempt: Attempt, result: io.Result) -> None:
        """The attempt is over."""
        self.leases.end(attempt.token)
        if result is not io.Result.OK and attempt.token and writer is not None:
            state = AttemptState.NEVER_RAN if result in io.NEVER_RAN else AttemptState.MAY_HAVE_RUN
            writer.write(HandedBack(attempt.token, state), soon=False)

    def read_back(self, stored: StoredAttempt) -> Sent:
        """An attempt from before a crash, as the tracker and the module are told of it.

        Granted and perhaps never sent: that cannot be told apart from running, and counts as that.
        """
        target = self._target_of(stored.worker, Address.parse(stored.address))
        return Sent(
            target,
            stored.sent * MICROSECOND,
            stored.due * MICROSECOND,
            stored.token,
            io.AttemptMemory(
                worker=target.number,
                entry=_ENTRIES.decode(stored.entry),
                sent=stored.sent,
                expected=0.0,
                begun=stored.begun,
                open=stored.state is AttemptState.OUT,
                alone=False,
                may_have_run=stored.state is not AttemptState.NEVER_RAN,
            ),
        )

    def resume(self, attempt: Attempt) -> None:
        """An attempt from before a crash is out still, and its worker held a lease.  It does for one duration
        more: no sign of its worker can have got here meanwhile."""
        self._hold(attempt)

    def clear(self) -> None:
        """Another process has all of them now."""
        self.leases = Leases(self.leases.duration)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _hold(self, attempt: Attempt) -> timedelta:
        until = self.leases.hold(attempt.token, attempt, self._loop.clock.now())
        if self._timer is None:
            self._timer = self._loop.call_at(until, self._expire)
        return until

    def _expire(self) -> None:
        self._timer = None
        for attempt in self.leases.expire(self._loop.now):
            self.expired += 1
            log.logger().info("lease_expired", worker=attempt.target.id, id=attempt.tracked.job.id)
            self._tell_expired(attempt)
        due = self.leases.due()
        if due is not None:
            self._timer = self._loop.call_at(due, self._expire)
