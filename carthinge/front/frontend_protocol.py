"""The interface of the front end that a client connection uses."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from carthinge.front.callbacks import Callbacks
from carthinge.front.job_ids import JobIds
from carthinge.front.translator import Translator
from carthinge.net.connection_slots import ConnectionSlots, InboundConnection
from carthinge.net.counters import Counters
from carthinge.net.loop import Loop
from carthinge.net.memory_budget import MemoryBudget
from carthinge.net.request_tracker import RequestTracker

if TYPE_CHECKING:
    from carthinge.front.durable_front import DurableFront


class FrontendProtocol(Protocol):
    """The front end, as a client connection sees it."""

    loop: Loop
    tracker: RequestTracker
    counters: Counters
    translator: Translator
    callbacks: Callbacks
    durable: DurableFront | None
    max_retry_after: timedelta
    slots: ConnectionSlots
    memory: MemoryBudget
    job_ids: JobIds
    waiting: set[InboundConnection]  #: connections whose clients wait for the answer to a job

    def refuses_jobs(self) -> bool:
        """Whether a new job has to be refused for want of a connection or of memory; counts the refusal."""

    def up(self) -> bool:
        """Whether new jobs are accepted."""

    def keeps_connections(self) -> bool:
        """Whether connections are kept open after an answer."""

    def remaining_time(self, timeout: timedelta, arrived: timedelta) -> timedelta:
        """Return what is left of the timeout of a request that arrived at the time given."""
