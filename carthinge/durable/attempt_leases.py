"""Leases of the attempts of durable jobs; each grant is on disk before its attempt is sent."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

import msgspec

from carthinge import interface as io
from carthinge.durable.records import (
    ENDED_BY_CALLBACK,
    AttemptFailed,
    AttemptState,
    Granted,
    Renewed,
    StoredAttempt,
)
from carthinge.durable.writer import Writer
from carthinge.leases import Leases
from carthinge.net import log
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, Loop, Timer
from carthinge.net.tracked_request import Attempt, RestoredAttempt
from carthinge.net.worker_directory import WorkerEndpoint

_ENTRY_DECODER: Final[msgspec.msgpack.Decoder[io.WorkerEntry]] = msgspec.msgpack.Decoder(io.WorkerEntry)


class AttemptLeases:
    """Tracks which worker holds which job, and until when."""

    def __init__(
        self,
        loop: Loop,
        duration: timedelta,
        entry_of: Callable[[int], io.WorkerEntry],
        target_of: Callable[[str, Address], WorkerEndpoint],
        on_expired: Callable[[Attempt], None],
    ) -> None:
        """``entry_of`` returns a worker's listed entry, ``target_of`` a worker by its name, listed or not;
        ``on_expired`` is called for an attempt whose lease has expired."""
        self.leases: Leases[Attempt] = Leases(duration)
        self.expired = 0
        self._loop = loop
        self._entry_of = entry_of
        self._target_of = target_of
        self._on_expired = on_expired
        self._timer: Timer | None = None
        self._encoded_entries: dict[int, tuple[io.WorkerEntry, bytes]] = {}

    def grant(self, writer: Writer, job: int, attempt: Attempt, send: Callable[[object], None]) -> None:
        """Record that an attempt is about to be sent; ``send`` is called once that is on disk."""
        target = attempt.target
        entry = self._entry_of(target.number)
        encoded_entry, encoded = self._encoded_entries.get(target.number, (None, b""))
        if entry is not encoded_entry:  # the entry is replaced by a new object when the list changes it
            encoded = msgspec.msgpack.encode(entry)
            self._encoded_entries[target.number] = (entry, encoded)

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
            send,
        )

    def renew(self, writer: Writer | None, attempt: Attempt, begun: bool) -> None:
        """Renew a lease after a callback.  The first renewal is written at once, since it shows that the
        worker takes part; later ones may wait for the next record, since a restart renews it anyway."""
        is_first = not self.leases.held(attempt.token)
        until = self._extend(attempt)
        if writer is not None:
            begun_us = self._loop.now // MICROSECOND if begun else 0
            writer.write(Renewed(attempt.token, until // MICROSECOND, begun_us), wake=is_first)

    def end(self, writer: Writer | None, attempt: Attempt, result: io.Result) -> None:
        """End the lease of an attempt that is over."""
        self.leases.end(attempt.token)
        if result is not io.Result.OK and attempt.token and writer is not None:
            state = AttemptState.NEVER_RAN if result in io.NEVER_RAN else AttemptState.MAY_HAVE_RUN
            writer.write(AttemptFailed(attempt.token, state, attempt.ended_by_callback), wake=False)

    def convert(self, stored: StoredAttempt) -> RestoredAttempt:
        """Convert a stored attempt for the tracker and the decision module.

        An attempt that was granted but perhaps never sent cannot be told from a running one; it counts as
        running.
        """
        target = self._target_of(stored.worker, Address.parse(stored.address))
        return RestoredAttempt(
            target,
            stored.sent * MICROSECOND,
            stored.due * MICROSECOND,
            stored.token,
            io.AttemptMemory(
                worker=target.number,
                entry=_ENTRY_DECODER.decode(stored.entry),
                sent=stored.sent,
                expected=0.0,
                begun=stored.begun,
                open=stored.state is AttemptState.ACTIVE,
                alone=False,
                may_have_run=stored.state is not AttemptState.NEVER_RAN,
                ended_by_callback=stored.until == ENDED_BY_CALLBACK,
            ),
        )

    def resume(self, attempt: Attempt) -> None:
        """Renew the lease of an attempt that was open before a restart for one duration: no callback of its
        worker could arrive while the scheduler was down."""
        self._extend(attempt)

    def clear(self) -> None:
        """Drop all leases: another process has them now."""
        self.leases = Leases(self.leases.duration)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _extend(self, attempt: Attempt) -> timedelta:
        until = self.leases.grant_or_renew(attempt.token, attempt, self._loop.clock.now())
        if self._timer is None:
            self._timer = self._loop.call_at(until, self._expire)
        return until

    def _expire(self) -> None:
        self._timer = None
        for attempt in self.leases.expire(self._loop.now):
            self.expired += 1
            log.logger().info("lease_expired", worker=attempt.target.id, id=attempt.tracked.job.id)
            self._on_expired(attempt)
        due = self.leases.due()
        if due is not None:
            self._timer = self._loop.call_at(due, self._expire)
