"""What each of two processes of a scheduler does for the other while one takes over: passes on, adopts."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Final

from carthinge.front.connection import ClientConnection
from carthinge.front.frontend import Frontend
from carthinge.interface import Leave, Message, Result
from carthinge.memory import job_memory, memory_of
from carthinge.net.channel import Beat, Incoming, Open, OpenAttempt, State, Waiting
from carthinge.net.config import Config
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt, Job, TrackedRequest
from carthinge.net.worker_client import WorkerClient
from carthinge.net.worker_directory import WorkerDirectory
from carthinge.policy import Dispatcher
from carthinge.scheduler.upgrade import Upgrade

if TYPE_CHECKING:  # not loaded where no job is durable, or schedulers do not talk
    from carthinge.durable.jobs import DurableJobs
    from carthinge.scheduler.fleet_link import FleetLink

LEAST_PLACES: Final = 8  # however many the process before this one holds still
OTHER: Final = -1  # the other process, as the sender of what it has at the workers


class HandoverPeer:
    """This process as the other one sees it."""

    def __init__(
        self,
        loop: Loop,
        upgrade: Upgrade,
        table: WorkerDirectory,
        dispatcher: Dispatcher,
        tracker: RequestTracker,
        worker_client: WorkerClient,
        frontend: Frontend,
        durable: DurableJobs | None,
        config: Callable[[], Config],
        begin: Callable[[State | None], None],
        by_hand_here: Callable[[str, bool, bool], bool],
    ) -> None:
        """``begin`` and ``by_hand_here``: what the program does of what :class:`Upgrade` asks for."""
        self.begin = begin
        self.by_hand_here = by_hand_here
        self._loop = loop
        self._upgrade = upgrade
        self._table = table
        self._dispatcher = dispatcher
        self._tracker = tracker
        self._worker_client = worker_client
        self._frontend = frontend
        self._durable = durable
        self._config = config
        self.fleet: FleetLink | None = None
        self._most_in, self._most_out = frontend.slots.most, worker_client.most

    def state(self) -> State:
        """Return what the process that takes over goes on from."""
        config = self._config()
        site = config.site
        return State(
            str(config.discovery),
            self._table.revision,
            self._table.told(),
            memory_of(self._dispatcher),
            site.classes,
            site.tenants,
            site.kinds,
        )

    def leave(self, leaving: bool) -> None:
        """Stop serving new clients, or serve them again."""
        self._tracker.tell(Leave(leaving))
        if self.fleet is not None:  # the other process talks in this one's place
            self.fleet.close(leave=False) if leaving else self.fleet.open()
        if leaving:
            self._worker_client.most = self._most_out // 2
        else:
            self.alone()
            if self._frontend.draining is None:
                self._frontend.resume_accepting()
            if self._durable is not None:
                from carthinge.durable.handover import take_back

                take_back(self._durable, self._store_taken_back)

    def _store_taken_back(self) -> None:
        if self._frontend.durable is not None:
            self._frontend.durable.resume_all()
        self._frontend.handle_deferred()

    @property
    def needs_word(self) -> bool:
        """Whether the process that takes over can still fail at that."""
        return self._durable is not None

    def let_go(self, done: Callable[[bool], None]) -> None:
        """New connections are taken in until then: workers that call back must not wait for the other."""

        def gone(free: bool) -> None:
            if free:
                self._frontend.pause_accepting()
            done(free)

        if self._durable is None:
            gone(True)
        else:
            from carthinge.durable.handover import HandOver

            HandOver(self._durable, self._worker_client.calling, gone)

    def alone(self) -> None:
        """All slots and descriptors are this process's again."""
        self._frontend.slots.most, self._worker_client.most = self._most_in, self._most_out

    def call_back(self, body: bytes, known: Callable[[bool], None]) -> None:
        """Take a call-back that came to the other process."""
        self._frontend.call_backs.handle_forwarded(body, known)

    def adopt_incoming(self, sock: socket.socket, incoming: Incoming) -> None:
        """Take over a client's connection."""
        self._frontend.adopt(sock, incoming)

    def adopt_waiting(self, sock: socket.socket, waiting: Waiting) -> None:
        """Take over a connection whose client waits for a durable job."""
        self._frontend.adopt_waiting(
            sock, waiting.keep_alive, waiting.job, waiting.in_place, waiting.until_us * MICROSECOND
        )

    def adopt_open(self, sock: socket.socket, tracked: Open) -> None:
        """The client waits here from now on, and call-backs for its job are looked for here."""
        client = self._frontend.adopt_open(sock, tracked.keep_alive)
        job = Job(tracked.id, tracked.subject, tracked.body, tuple(tracked.headers))
        taken = TrackedRequest(
            0,
            job,
            tracked.class_name,
            tracked.tenant,
            client,
            tracked.give_up_us * MICROSECOND,
            effect=self._frontend.translator.effect(tracked.class_name),
        )
        for number, sent in enumerate(tracked.attempts):
            target = self._table.target(sent.worker, Address.parse(sent.address))
            taken.attempts.append(
                Attempt(
                    taken,
                    number,
                    target,
                    sent.sent_us * MICROSECOND,
                    sent.due_us * MICROSECOND,
                    open=sent.open,
                    arrived=True,
                    result=None if sent.result is None else Result(sent.result),
                )
            )
        client.wait_for_result(taken)
        self._tracker.take_over(taken, self._frontend.translator.tenant(tracked.tenant) or 0, tracked.memory)

    def adopt_outgoing(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """Take over an idle connection to a worker."""
        self._worker_client.adopt(sock, address, idle_since)

    def beat(self) -> Beat:
        """Return what this process holds just now."""
        return Beat(len(self._frontend.slots), self._dispatcher.loads())

    def heard(self, beat: Beat | None) -> None:
        """Take what the other process holds, None once it has gone."""
        self._tracker.tell(Message(OTHER, beat.loads if beat is not None else b""))
        if beat is not None and not self._upgrade.leaving:
            self.share(beat.slots)

    def share(self, slots: int) -> None:
        """Descriptors are counted together: the old process keeps so many of the slots for a while."""
        self._frontend.slots.most = max(LEAST_PLACES, self._most_in - slots)
        self._worker_client.most = self._most_out // 2

    def pass_on_all_at_rest(self) -> None:
        """To be called when all that has come up is decided on: what the module knows is then complete."""
        for sock, incoming in self._frontend.release_idle():
            self._upgrade.pass_incoming(sock, incoming)
        if self._durable is not None:
            for sock, incoming in self._frontend.release_put_off():
                self._upgrade.pass_incoming(sock, incoming)
            for sock, waiting in self._frontend.release_waiting():
                self._upgrade.pass_waiting(sock, waiting)
        for tracked in list(self._tracker.tracked_requests.values()):
            client = tracked.client
            if not (tracked.owed and isinstance(client, ClientConnection) and client.awaits_answer()):
                continue
            if all(
                attempt.arrived and not (attempt.leaving or self._worker_client.calling(attempt))
                for attempt in tracked.out()
            ):
                self._pass_on(tracked, client)
        for sock, address, idle_since in self._worker_client.release_idle():
            self._upgrade.pass_outgoing(sock, address, idle_since)

    def _pass_on(self, tracked: TrackedRequest, client: ClientConnection) -> None:
        job = tracked.job
        attempts = [
            OpenAttempt(
                sent.target.id,
                str(sent.target.address),
                sent.sent // MICROSECOND,
                sent.due // MICROSECOND,
                sent.open,
                sent.result,
            )
            for sent in tracked.attempts
        ]
        passed = Open(
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
        self._tracker.give_away(tracked)
        self._upgrade.pass_open(client.release(), passed)
