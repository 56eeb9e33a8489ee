"""The running scheduler: assembles all parts and runs the event loop until the end."""

from __future__ import annotations

import gc
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from carthinge.front.frontend import Frontend
from carthinge.front.operator import Operator
from carthinge.interface import Inherit, Listing, OperatorExclusion, SettingsChange, WorkerList
from carthinge.net import log
from carthinge.net.channel import State
from carthinge.net.config import Config, ConfigError
from carthinge.net.counters import Counters
from carthinge.net.deadlines import drain_schedule
from carthinge.net.discovery import DiscoveryWatch
from carthinge.net.http import Address
from carthinge.net.listener import bind
from carthinge.net.loop import MICROSECOND, Loop
from carthinge.net.memory_budget import MemoryBudget
from carthinge.net.probes import Probes
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Terms
from carthinge.net.worker_client import WorkerClient
from carthinge.net.worker_directory import WorkerDirectory, worker_number
from carthinge.policy import Dispatcher
from carthinge.scheduler.handover_peer import HandoverPeer
from carthinge.scheduler.resources import plan_resources
from carthinge.scheduler.signal_handlers import install_signal_handlers
from carthinge.scheduler.upgrade import Upgrade
from carthinge.settings import positions

if TYPE_CHECKING:  # not loaded where no job is durable
    from carthinge.durable.jobs import DurableJobs
    from carthinge.durable.records import Accepted

SWITCH_INTERVAL: Final = timedelta(microseconds=250)  # the store's thread needs only short time slices
GC_THRESHOLDS: Final = (20_000, 50, 100)  # durable jobs are many and long-lived
BACKLOG: Final = 1024
QUIET_DURATION: Final = timedelta(milliseconds=300)  # without work, before the program ends
LISTEN_DELAY: Final = timedelta(milliseconds=1)  # throttling of CPU time takes effect during any wait
BOOT_ID_PATH: Final = Path("/proc/sys/kernel/random/boot_id")


class Program:
    """One scheduler, from start to end."""

    def __init__(self, config: Config, reload: Callable[[Config], Config]) -> None:
        self.config = config
        self._reload_config = reload
        self.loop = Loop()
        self.counters = Counters()
        self.directory = WorkerDirectory(config.site, self.loop.clock)
        self.dispatcher = Dispatcher(config.site.dispatcher_settings, config.seed)
        self.tracker = RequestTracker(self.loop, self.dispatcher, self.directory.targets, self.counters)
        self.tracker.outcome_counts.add_classes(config.site.classes)
        self._resources = resources = plan_resources(config)
        self.worker_client = WorkerClient(
            self.loop, config.site, self.tracker, self.counters, resources.outgoing
        )
        self.upgrade = Upgrade(self.loop, str(config.listen))
        self.frontend = Frontend(
            self.loop,
            config.site,
            self.tracker,
            self.worker_client,
            self.counters,
            resources.incoming,
            MemoryBudget(self.loop, self.counters, resources.free_memory),
            lambda: bool(self.directory.ready),
            self.upgrade,
        )
        self.watch = DiscoveryWatch(
            self.loop, config.discovery, self.directory, config.site, self.counters, self._on_worker_list
        )
        self.tracker.transport = self.worker_client
        self.tracker.watch = self.watch.start
        probes = Probes(self.loop, self.worker_client, self.tracker.emit)
        self.tracker.probe = lambda target: probes.send(target, self.config.site.connect_timeout)
        self.operator: Operator | None = None
        self.durable: DurableJobs | None = None
        if config.options.durable.folder:
            self._make_durable()
        self.handover_peer = HandoverPeer(
            self.loop,
            self.upgrade,
            self.directory,
            self.dispatcher,
            self.tracker,
            self.worker_client,
            self.frontend,
            self.durable,
            lambda: self.config,
            self.start_serving,
            self.set_excluded_here,
        )
        self.upgrade.handler = self.handover_peer
        if config.options.fleet.listen:
            from carthinge.scheduler.fleet_link import FleetLink

            self.handover_peer.fleet = FleetLink(
                self.loop, config.options.fleet, config.name, config.site, self.dispatcher, self.tracker.emit
            )
        self.fleet = self.handover_peer.fleet
        self._quiet_since: timedelta | None = None
        self._serving = False
        self._finished = False

    def _make_durable(self) -> None:
        """Create the parts that only durable jobs need."""
        from carthinge.durable.jobs import DurableJobs
        from carthinge.front.durable_front import DurableFront

        sys.setswitchinterval(SWITCH_INTERVAL.total_seconds())
        gc.set_threshold(*GC_THRESHOLDS)
        options = self.config.options
        self.durable = DurableJobs(
            self.loop,
            self.tracker,
            options,
            BOOT_ID_PATH.read_text().strip(),
            self._terms_of,
            lambda number: self.dispatcher.fleet.workers[number].entry,
            self.directory.get_or_add,
            self._resources.durable_memory,
        )
        self.frontend.callbacks.durable = self.durable
        self.worker_client.lease_duration = options.leases.duration
        self.frontend.durable = DurableFront(self.loop, self.durable, lambda: self.frontend.max_retry_after)

    def _terms_of(self, accepted: Accepted, remaining: timedelta) -> Terms | None:
        """Return the terms of a stored job by the current settings; None if its class or tenant is gone."""
        translator = self.frontend.translator
        job_class, tenant = translator.job_class(accepted.class_name), translator.tenant(accepted.tenant)
        if job_class is None or tenant is None:
            return None
        stored = accepted.terms
        hint = None if stored.hint_us is None else stored.hint_us * MICROSECOND
        return Terms(
            job_class,
            accepted.class_name,
            tenant,
            accepted.tenant,
            remaining,
            stored.key,
            hint,
            stored.slots,
            stored.memory,
            effect=translator.effect(accepted.class_name),
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT was received and all accepted requests are answered.

        Raises OSError if it cannot listen, StoreError if the store of durable jobs cannot be used.
        """
        self._wakeup_sockets = install_signal_handlers(self.loop, self._handle_signals)
        if self.config.operator is not None:
            self.operator = Operator(self.loop, self.config.operator, self, self.counters)
        limits = self.config.limits
        # Logged before any request can wait: the first log line costs more than many later ones.
        log.logger().info(
            "starting",
            instances=self.config.site.dispatcher_settings.instances,
            cores=limits.cores,
            memory_mb=limits.memory_mb,
            sockets=limits.sockets,
            workers=len(self.config.known.members),
        )
        self.upgrade.find_predecessor()
        while not self._finished:
            self.loop.turn(idle=not self.tracker.events)
            self.tracker.decide()
            if self.upgrade.handed_over and not self.tracker.events:
                self.handover_peer.hand_over_ready()
        if self.durable is not None and not self.durable.close():
            log.logger().error("store_not_written", open=self.durable.limits.open)
        self.watch.stop()
        self.upgrade.close()
        self.frontend.close()
        if self.operator is not None:
            self.operator.close()
        self.loop.close()
        unanswered = sum(
            tracked.pending and tracked.journal is None for tracked in self.tracker.tracked_requests.values()
        )
        log.logger().info("stopped", unanswered=unanswered, **self.counters.as_dict())

    def start_serving(self, state: State | None) -> None:
        """Start serving, from the state of the predecessor if there is one."""
        if state is None:
            self.tracker.emit(self.directory.apply_list(self.config.known, Listing.CACHED))
        else:
            self.config = replace(self.config, discovery=Address.parse(state.discovery))
            self.watch.set_address(self.config.discovery)
            site = self.config.site
            self.tracker.emit(
                Inherit(
                    state.memory,
                    positions(site.classes, state.classes),
                    positions(site.tenants, state.tenants),
                    positions(site.kinds, state.kinds),
                )
            )
            self.tracker.emit(self.directory.restore(state))
            self.tracker.recent_ids.extend(state.recent_ids)
            self.handover_peer.share_descriptors(0)
        if self.durable is not None:
            self.durable.open()
        if self.fleet is not None:
            self.fleet.open()
        self.tracker.decide()
        listen = partial(self._listen, state is not None)
        if self.config.site.list_is_pushed:
            self.watch.start_pushed(self.config.site, listen)
        elif state is None:
            self.loop.call_after(LISTEN_DELAY, listen)
        else:
            listen()

    def _on_worker_list(self, event: WorkerList) -> None:
        """Report the worker list to the dispatcher before the attempts that it stops."""
        self.tracker.emit(event)
        self.worker_client.cancel_unsent()

    def _listen(self, taken_over: bool) -> None:
        """Listen, as the last step of the start and in a turn of its own.

        A platform that meters CPU time may throttle this process for the cost of its start.  If it listened
        before that, requests would wait in the backlog, with their deadlines running from a time that is
        unknown here.
        """
        if not self.tracker.invariants.start():
            return
        listening = self.config.listening
        self.frontend.listen(
            bind(self.config.listen, BACKLOG) if listening is None else socket.socket(fileno=listening)
        )
        self.upgrade.listen()
        self._serving = True
        log.logger().info(
            "serving",
            listen=str(self.config.listen),
            workers=len(self.directory.ready),
            revision=self.directory.revision,
            discovery=str(self.config.discovery),
            taken_over=taken_over,
        )

    # ---- operators ------------------------------------------------------------------------

    def serving(self) -> bool:
        """Whether the scheduler accepts jobs."""
        return self._serving and self.frontend.up()

    def metrics(self) -> dict[str, Any]:
        """Return the values for ``/metrics``."""
        ended, counters, fleet = self.tracker.outcome_counts, self.counters, self.dispatcher.fleet
        return {
            "served": ended.served,
            "refused": ended.refused,
            "failed": ended.failed,
            "attempts": counters.attempts_written,
            "in_flight": self.tracker.in_flight(),
            "workers_known": len(self.directory.listed),
            "workers_excluded": fleet.excluded_count(self.loop.now // MICROSECOND),
            "overload": self.dispatcher.context.shedding_level.metrics()
            | self.dispatcher.context.retry_budget.metrics(),
            "reloads_ok": counters.reloads_ok,
            "reloads_failed": counters.reloads_failed,
            "memory": self.frontend.memory.metrics(),
            **({"durable": self.durable.metrics()} if self.durable is not None else {}),
            **({"fleet": self.fleet.metrics()} if self.fleet is not None else {}),
        }

    def set_excluded(self, worker: str, excluded: bool, done: Callable[[bool], None]) -> None:
        """Exclude or re-admit a worker, in both processes during an upgrade; then call ``done``."""
        known = self.set_excluded_here(worker, excluded, confirmed=False)
        if not self.upgrade.has_peer:
            done(known)
            return

        def on_peer_result(known_there: bool) -> None:
            done(known or (known_there and self.set_excluded_here(worker, excluded, confirmed=True)))

        self.upgrade.forward_set_excluded(worker, excluded, known, on_peer_result)

    def set_excluded_here(self, worker: str, excluded: bool, confirmed: bool) -> bool:
        """Apply an exclusion in this process, before the dispatcher makes its next decision."""
        number = worker_number(worker)
        known = confirmed or worker in self.directory.listed or number in self.dispatcher.fleet.excluded
        if known:
            log.logger().info("worker_out" if excluded else "worker_back", worker=worker)
            self.tracker.emit(OperatorExclusion(number, excluded))
            if number in self.directory.targets:
                self.worker_client.close_idle(self.directory.targets[number].address)
        return known

    # ---- signals --------------------------------------------------------------------------

    def _handle_signals(self, numbers: bytes) -> None:
        if signal.SIGUSR1 in numbers:
            log.logger().info("counters", **self.counters.as_dict())
        if signal.SIGHUP in numbers:
            self._reload()
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            self._drain()

    def _reload(self) -> None:
        """Apply a changed discovery address and changed settings; everything else needs a restart.

        The file is read and validated as a whole before any of it is applied.
        """
        try:
            config = self._reload_config(self.config)
        except ConfigError as error:
            self.counters.reloads_failed += 1
            log.logger().error("reload_failed", why=str(error), discovery=str(self.config.discovery))
            return
        self.counters.reloads_ok += 1
        log.logger().info(
            "reloaded",
            discovery=str(config.discovery),
            before=str(self.config.discovery),
            classes=",".join(config.site.classes),
            attempts=config.site.dispatcher_settings.try_limit,
        )
        before, site = self.config.site, config.site
        self.config = replace(
            self.config, discovery=config.discovery, site=site, setting_keys=config.setting_keys
        )
        self.tracker.emit(
            SettingsChange(
                site.dispatcher_settings,
                positions(site.classes, before.classes),
                positions(site.tenants, before.tenants),
                positions(site.kinds, before.kinds),
            )
        )
        if (site.zones, site.kinds) != (before.zones, before.kinds):
            self.tracker.emit(self.directory.retune(site))
        self.tracker.outcome_counts.add_classes(site.classes)
        self.frontend.retune(site)
        self.worker_client.retune(site)
        if self.fleet is not None:
            self.fleet.apply_settings(site)
        self.watch.set_address(config.discovery)
        self.watch.retune(site)

    def _drain(self) -> None:
        if self.frontend.draining is not None:
            return
        log.logger().info("draining", owed=len(self.tracker.tracked_requests))
        if self.fleet is not None:
            self.fleet.close(leave=not self.upgrade.leaving)
        decisions = self.config.site.dispatcher_settings
        longest = max(spec.deadline for spec in decisions.classes) * MICROSECOND
        # From the earliest arrival of the signal: SIGKILL follows it, however late it is handled.
        drain = drain_schedule(
            self.loop.ready_since, longest, alone=decisions.instances == 1, leaving=self.upgrade.leaving
        )
        self.frontend.draining = drain
        if self.frontend.durable is not None:  # open jobs go on after the next start
            self.loop.call_at(drain.answered_by, self.frontend.durable.answer_all_pending)
        self.loop.call_at(
            self.loop.now if self.upgrade.leaving else drain.keep_alive_until, self._check_drained
        )

    def _check_drained(self) -> None:
        """End after QUIET_DURATION without work; requests that arrive until then are still accepted."""
        if not self.upgrade.leaving:  # otherwise they are handed over to the new process
            self.frontend.close_idle()
        unanswered = any(tracked.journal is None for tracked in self.tracker.tracked_requests.values())
        connected = len(self.frontend.slots) > 0
        durable, drain = self.frontend.durable, self.frontend.draining
        if durable is not None and drain is not None and self.loop.now >= drain.answered_by:
            # Workers still call back about durable jobs, which the next process handles.
            connected = bool(durable.waiting)
        if unanswered or connected or self.upgrade.has_unsent or self.frontend.has_backlog():
            self._quiet_since = None
        elif self._quiet_since is None:
            self._quiet_since = self.loop.now
        elif self.loop.now >= self._quiet_since + QUIET_DURATION:
            self._finished = True
            return
        self.loop.call_after(timedelta(milliseconds=50), self._check_drained)
