"""Who holds the slots for connections that come in, and who makes room when all are taken."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Final, Protocol

from carthinge.net.close_reason import CloseReason
from carthinge.net.read_timeouts import silent_at

FRESH_SHARE: Final = 0.5  # of all slots: more connections without a request yet push out each other


class Holder(Protocol):
    """A connection that came in."""

    def idle(self) -> bool:
        """Nothing is under way on it: it may be closed if it is silent too."""

    def silent(self) -> bool:
        """Nothing waits on it to be read, and nothing to be sent."""

    def began(self) -> bool:
        """A part of a request has come on it."""

    def close(self, reason: CloseReason) -> None:
        """Close it at once."""

    def release(self) -> socket.socket:
        """Lets go of its socket, which stays open."""


@dataclass(frozen=True, slots=True)
class Opened:
    """The beginning of a connection."""

    connected: timedelta  #: its client has connected no earlier
    entered: timedelta  #: it was accepted here


class ConnectionSlots:
    """The connections that came in, by how they have behaved; each is in one of the three orders.

    Guards against clients that open connections by hundreds: those make room for each other, while the
    kept connections of well-behaved clients stay.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.fresh: OrderedDict[Holder, Opened] = OrderedDict()  # no request yet
        self.kept: OrderedDict[Holder, None] = OrderedDict()  # the longest unused first
        self.ending: OrderedDict[Holder, None] = OrderedDict()  # their last answer is written

    def __len__(self) -> int:
        return len(self.fresh) + len(self.kept) + len(self.ending)

    def all(self) -> list[Holder]:
        """Return all connections."""
        return [*self.fresh, *self.kept, *self.ending]

    def enter(self, holder: Holder, opened: Opened) -> None:
        """Count a new connection."""
        self.fresh[holder] = opened

    def used(self, holder: Holder) -> None:
        """A whole request has come on it."""
        self.fresh.pop(holder, None)
        if holder not in self.ending:
            self.kept[holder] = None
            self.kept.move_to_end(holder)

    def misused(self, holder: Holder) -> None:
        """Its request was turned away as bad: it is the first of the kept to go."""
        if holder in self.kept:
            self.kept.move_to_end(holder, last=False)

    def end(self, holder: Holder) -> None:
        """Note that the last answer on a connection is written."""
        if self.fresh.pop(holder, self) is not self or self.kept.pop(holder, self) is not self:
            self.ending[holder] = None

    def leave(self, holder: Holder) -> None:
        """Forget a connection that is closed."""
        for order in (self.fresh, self.kept, self.ending):
            order.pop(holder, None)

    def overdue(self, now: timedelta) -> list[Holder]:
        """Those on which nothing has come in time, not even unread."""
        return [
            holder
            for holder, opened in self.fresh.items()
            if now >= silent_at(opened.connected, opened.entered) and not holder.began() and holder.silent()
        ]

    def make_room(self, now: timedelta, greeting: timedelta) -> Holder | None:
        """The one to be closed for a new one, where all slots are taken; None where all are at work.

        What waits to be read on one makes it at work too, though nothing has been read, and so does having
        come within ``greeting``: its first request may be on its way.
        """
        # Guards against a request that has come and was not read yet: with the connection it would be lost.
        if done := _first_silent(self.ending):
            return done
        greeted = [holder for holder, opened in self.fresh.items() if now >= opened.entered + greeting]
        greeted.sort(key=lambda holder: holder.began())  # of a request that has begun some would be lost
        if len(self.fresh) > self.most * FRESH_SHARE:  # the kept ones do not suffer for these
            return _first_silent(greeted)
        return _first_silent(self.kept, idle=True) or _first_silent(greeted)


def _first_silent(order: Iterable[Holder], idle: bool = False) -> Holder | None:
    """One on which nothing waits and, if it has to be ``idle``, nothing is under way."""
    return next((holder for holder in order if (not idle or holder.idle()) and holder.silent()), None)
