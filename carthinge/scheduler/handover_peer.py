"""Carries out an upgrade in both processes: hands over state and connections, and adopts them."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Final

from carthinge.front.connection import ClientConnection
from carthinge.front.frontend import Frontend
from carthinge.interface import Leave, Message, Result
from carthinge.memory import export_memory, job_memory
from carthinge.net.channel import Heartbeat, Incoming, Open, OpenAttempt, Outgoing, State, Waiting
from carthinge.net.config import Config
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt, Job, TrackedRequest
from carthinge.net.worker_client import WorkerClient
from carthinge.net.worker_directory import WorkerDirectory
from carthinge.policy import Dispatcher
from carthinge.scheduler.upgrade import Upgrade

if TYPE_CHECKING:  # loaded only where jobs may be durable, or schedulers form a fleet
    from carthinge.durable.jobs import DurableJobs
    from carthinge.scheduler.fleet_link import FleetLink

MIN_CLIENT_SLOTS: Final = 8  # however many the predecessor still holds
PEER: Final = -1  # sender of the messages with the other process's load at the workers


class HandoverPeer:
    """This process as its peer sees it during an upgrade."""

    def __init__(
        self,
        loop: Loop,
        upgrade: Upgrade,
        directory: WorkerDirectory,
        dispatcher: Dispatcher,
        tracker: RequestTracker,
        worker_client: WorkerClient,
        frontend: Frontend,
        durable: DurableJobs | None,
        config: Callable[[], Config],
        start_serving: Callable[[State | None], None],
        set_excluded_here: Callable[[str, bool, bool], bool],
    ) -> None:
        """``start_serving`` and ``set_excluded_here``: implemented by the program."""
        self.start_serving = start_serving
        self.set_excluded_here = set_excluded_here
        self._loop = loop
        self._upgrade = upgrade
        self._directory = directory
        self._dispatcher = dispatcher
        self._tracker = tracker
        self._worker_client = worker_client
        self._frontend = frontend
        self._durable = durable
        self._config = config
        self.fleet: FleetLink | None = None
        self._max_slots, self._max_outgoing = frontend.slots.max_connections, worker_client.max_connections

    def state(self) -> State:
        """Return the state that the successor goes on from."""
        config = self._config()
        site = config.site
        return State(
            str(config.discovery),
            self._directory.revision,
            self._directory.handover_targets(),
            export_memory(self._dispatcher),
            site.classes,
            site.tenants,
            site.kinds,
            self._tracker.recent_ids.begin_report(),
            answers_queries=True,
        )

    def has_job(self, job_id: str) -> bool:
        """Whether an id is in use here."""
        return self._frontend.job_ids.in_use_for_other_process(job_id) or (
            self._durable is not None and self._durable.has_request(job_id)
        )

    def set_leaving(self, leaving: bool) -> None:
        """Stop serving new clients, or serve them again."""
        self._tracker.emit(Leave(leaving))
        if self.fleet is not None:  # the other process talks to the fleet in place of this one
            self.fleet.close(leave=False) if leaving else self.fleet.open()
        if leaving:
            self._worker_client.max_connections = self._max_outgoing // 2
            self._frontend.memory.share_with_other_process(True)
        else:
            self.peer_ended()
            if self._frontend.draining is None:
                self._frontend.resume_accepting()
            if self._durable is not None:
                from carthinge.durable.handover import reclaim_store

                reclaim_store(self._durable, self._on_store_reclaimed)

    def _on_store_reclaimed(self) -> None:
        if self._frontend.durable is not None:
            self._frontend.durable.resume_all()
        self._frontend.handle_deferred()

    @property
    def needs_confirmation(self) -> bool:
        """Whether the successor has to confirm that it serves, as it may fail to open the store."""
        return self._durable is not None

    def release_store(self, done: Callable[[bool], None]) -> None:
        """Release the store, if any; ``done`` is called with whether the successor may open it.

        New connections are accepted until then, so that worker callbacks do not wait for the successor.
        """

        def released(free: bool) -> None:
            if free:
                self._frontend.pause_accepting()
            done(free)

        if self._durable is None:
            released(True)
        else:
            from carthinge.durable.handover import StoreHandover

            StoreHandover(self._durable, self._worker_client.post_in_progress, released)

    def peer_ended(self) -> None:
        """Use all slots and descriptors again, as the other process has ended."""
        self._frontend.memory.share_with_other_process(False)
        self._frontend.slots.max_connections, self._worker_client.max_connections = (
            self._max_slots,
            self._max_outgoing,
        )

    def handle_callback(self, body: bytes, done: Callable[[bool], None]) -> None:
        """Handle a callback that the other process received."""
        self._frontend.callbacks.handle_forwarded(body, done)

    def adopt_incoming(self, sock: socket.socket, incoming: Incoming) -> None:
        """Take over a client's connection."""
        self._frontend.adopt(sock, incoming)

    def adopt_waiting(self, sock: socket.socket, waiting: Waiting) -> None:
        """Take over a connection whose client waits for a durable job."""
        self._frontend.adopt_waiting(
            sock, waiting.keep_alive, waiting.job, waiting.in_place, waiting.until_us * MICROSECOND
        )

    def adopt_open(self, sock: socket.socket, tracked: Open) -> None:
        """Take over an open request with its client; callbacks for its job are handled here from now on."""
        client = self._frontend.adopt_open(sock, tracked.keep_alive)
        job = Job(tracked.id, tracked.subject, tracked.body, tuple(tracked.headers))
        request = TrackedRequest(
            0,
            job,
            tracked.class_name,
            tracked.tenant,
            client,
            tracked.give_up_us * MICROSECOND,
            effect=self._frontend.translator.effect(tracked.class_name),
        )
        for number, attempt in enumerate(tracked.attempts):
            target = self._directory.get_or_add(attempt.worker, Address.parse(attempt.address))
            request.attempts.append(
                Attempt(
                    request,
                    number,
                    target,
                    attempt.sent_us * MICROSECOND,
                    attempt.due_us * MICROSECOND,
                    open=attempt.open,
                    written=True,
                    result=None if attempt.result is None else Result(attempt.result),
                    ended_by_callback=attempt.ended_by_callback,
                )
            )
        client.wait_for_result(request)
        self._tracker.take_over(
            request, self._frontend.translator.tenant(tracked.tenant) or 0, tracked.memory
        )

    def adopt_outgoing(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """Take over an idle connection to a worker."""
        self._worker_client.adopt(sock, address, idle_since)

    def heartbeat(self) -> Heartbeat:
        """Return the current load of this process."""
        return Heartbeat(
            len(self._frontend.slots),
            self._dispatcher.encode_loads(),
            self._tracker.recent_ids.take_unreported(),
        )

    def handle_heartbeat(self, heartbeat: Heartbeat | None) -> None:
        """Note the load of the other process, None once it has ended."""
        self._tracker.emit(Message(PEER, heartbeat.loads if heartbeat is not None else b""))
        if heartbeat is None:
            self._tracker.recent_ids.end_report()
        else:
            self._tracker.recent_ids.extend(heartbeat.ended_ids)
        if heartbeat is not None and not self._upgrade.leaving:
            self.share_descriptors(heartbeat.slots)

    def share_descriptors(self, slots: int) -> None:
        """Reduce the limits by the client slots that the predecessor still holds, as both share them."""
        self._frontend.slots.max_connections = max(MIN_CLIENT_SLOTS, self._max_slots - slots)
        self._worker_client.max_connections = self._max_outgoing // 2
        self._frontend.memory.share_with_other_process(True)

    def hand_over_ready(self) -> None:
        """Hand over everything that is ready for it.

        Called when all events are decided on, so that the state of the dispatcher is complete.
        """
        if self._upgrade.congested:
            return
        for sock, incoming in self._frontend.release_idle():
            self._upgrade.hand_over(sock, incoming)
        if self._durable is not None:
            for sock, incoming in self._frontend.release_deferred():
                self._upgrade.hand_over(sock, incoming)
            for sock, waiting in self._frontend.release_waiting():
                self._upgrade.hand_over(sock, waiting)
        for tracked in list(self._tracker.tracked_requests.values()):
            client = tracked.client
            if not (tracked.pending and isinstance(client, ClientConnection) and client.awaits_answer()):
                continue
            if all(
                attempt.written and not (attempt.withdrawing or self._worker_client.post_in_progress(attempt))
                for attempt in tracked.open_attempts()
            ):
                self._hand_over(tracked, client)
        for sock, address, idle_since in self._worker_client.release_idle():
            self._upgrade.hand_over(sock, Outgoing(str(address), idle_since // MICROSECOND))

    def _hand_over(self, tracked: TrackedRequest, client: ClientConnection) -> None:
        job = tracked.job
        attempts = [
            OpenAttempt(
                attempt.target.id,
                str(attempt.target.address),
                attempt.sent // MICROSECOND,
                attempt.due // MICROSECOND,
                attempt.open,
                attempt.result,
                attempt.ended_by_callback,
            )
            for attempt in tracked.attempts
        ]
        request = Open(
            job.id,
            job.subject,
            job.body,
            list(job.headers),
            tracked.class_name,
            tracked.tenant_name,
            tracked.give_up // MICROSECOND,
            client.keep_alive(),
            attempts,
            job_memory(self._dispatcher, tracked.number),
        )
        self._tracker.hand_over(tracked)
        self._upgrade.hand_over(client.release(), request)
