"""What a client's connection wants of the front end."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from carthinge.front.call_backs import CallBacks
from carthinge.front.translator import Translator
from carthinge.net.connection_slots import ConnectionSlots, Holder
from carthinge.net.counters import Counters
from carthinge.net.loop import Loop
from carthinge.net.request_tracker import RequestTracker

if TYPE_CHECKING:
    from carthinge.front.durable_front import DurableFront


class Gate(Protocol):
    """What a connection wants of the front end that it came in by."""

    loop: Loop
    tracker: RequestTracker
    counters: Counters
    translator: Translator
    call_backs: CallBacks
    durable: DurableFront | None
    max_retry_after: timedelta
    slots: ConnectionSlots
    waiting: set[Holder]  #: their clients wait for the answer to a job

    def up(self) -> bool:
        """New jobs are welcome."""

    def keeps_connections(self) -> bool:
        """Connections may go on after an answer."""

    def patience(self, asked: timedelta, came: timedelta) -> timedelta:
        """What is left of a time, for a request that ``came`` then."""
