"""The link to the other schedulers: sends and receives datagrams, and applies joint decisions.

Loaded only if the operator's file has ``[fleet]``.  Nothing here blocks: a datagram that cannot be sent at
once is dropped, as the protocol tolerates, and an invalid one is counted and dropped.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from functools import lru_cache
from ipaddress import ip_address
from pathlib import Path
from random import SystemRandom
from typing import Any, Final

from carthinge.fleet.codec import BadPacketError, decode, encode
from carthinge.fleet.fleet_node import FleetNode, Observations
from carthinge.fleet.gossip import OutgoingPacket
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import MAX_PACKET_BYTES, UINT48_LIMIT, MemberState
from carthinge.fleet.quota_lending import LENDABLE_UNITS, OWN_UNITS
from carthinge.fleet.summary import layout_digest
from carthinge.interface import FleetView
from carthinge.net import log
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, MILLISECOND, READ, Loop, Timer
from carthinge.net.sockets import NOT_READY
from carthinge.operator_file import FleetOptions
from carthinge.policy import Dispatcher
from carthinge.scheduler.fleet_adapter import FleetAdapter, quota_budgets
from carthinge.settings import Site

MAX_DATAGRAMS_PER_TURN: Final = 64
RECEIVE_BUFFER_BYTES: Final = 1 << 20  # holds a burst while the loop is busy
INITIAL_SHARE: Final = 1 - LENDABLE_UNITS / OWN_UNITS  # of a quota, until the others are known
STATE_EVENTS: Final = {
    MemberState.ALIVE: "member_here",
    MemberState.SUSPECT: "member_suspected",
    MemberState.DEAD: "member_dead",
    MemberState.LEFT: "member_left",
}


class FleetLink:
    """One scheduler's socket for the fleet, and its part in the joint decisions."""

    def __init__(
        self,
        loop: Loop,
        options: FleetOptions,
        name: str,
        site: Site,
        dispatcher: Dispatcher,
        emit: Callable[[FleetView], None],
    ) -> None:
        """``emit``: passes a view to the dispatcher before it decides on anything else."""
        self.loop, self.options, self.name, self.site = loop, options, name, site
        self.counts: Counter[str] = Counter()
        self._adapter, self._emit = self._make_adapter(dispatcher), emit
        self._key = Path(options.key_file).read_bytes().strip() if options.key_file else b""
        self._sock: socket.socket | None = None
        self._node: FleetNode | None = None
        self._timer: Timer | None = None
        self._timer_due = timedelta()
        self._emitted_changes = 0  # of the view
        self._incarnation = 0

    def open(self) -> None:
        """Join the fleet, and try again while the predecessor still has the address."""
        if self._sock is not None:
            return
        # The previous run may have lent the rest of the quotas.
        self._emit(FleetView(quota_shares=self._tenant_shares({}, INITIAL_SHARE)))
        listen = Address.parse(self.options.listen)
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind((listen.host, listen.port))
        except OSError as error:
            sock.close()
            if not self.counts["binds_failed"] or error.errno != errno.EADDRINUSE:
                log.logger().warning("fleet_waits", listen=self.options.listen, why=str(error))
            self.counts["binds_failed"] += 1
            self._timer = self.loop.call_after(self.options.period, self.open)
            return
        self._sock = sock
        now, rng = self.loop.clock.now(), SystemRandom()
        # Higher than in previous runs; if the clock was set back, the others report the previous one.
        self._incarnation = max(self._incarnation + 1, self.loop.clock.wall() // MILLISECOND)
        options = self.options
        membership = Membership(
            self.name,
            options.advertise or options.listen,
            options.members,
            options.period,
            self._incarnation,
            rng.getrandbits(64),
            now,
        )
        self._node = FleetNode(
            membership, self._layout(), self._adapter.budgets.keys(), rng.randrange(UINT48_LIMIT), self, now
        )
        self.loop.register(sock, READ, lambda _: self._read())
        self._on_timer()
        log.logger().info(
            "fleet_open",
            listen=self.options.listen,
            members=len(self.options.members),
            sealed=bool(self._key),
        )

    def close(self, leave: bool) -> None:
        """Close the socket.  ``leave``: announce that to the others; otherwise a successor takes over."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is None or self._node is None:
            return
        if leave:
            self._send(self._node.leave(self.loop.clock.now()))
        self.loop.unregister(self._sock)
        self._sock.close()
        self._emit(
            FleetView(
                quota_shares=self._tenant_shares(self._node.standalone_shares(self.loop.clock.now()), 1.0)
            )
        )
        self._sock = self._node = None

    def apply_settings(self, site: Site) -> None:
        """Apply new settings."""
        self.site = site
        self._adapter = self._make_adapter(self._adapter.dispatcher)
        if self._node is not None:
            self._node.apply_settings(self.loop.clock.now(), self._layout(), self._adapter.budgets.keys())
            self._emit_view()

    def metrics(self) -> dict[str, Any]:
        """The metrics of the fleet and of its messages."""
        counts = {
            name: self.counts[name]
            for name in ("sent", "received", "bytes_sent", "bytes_received", "bad", "not_sent", "namesakes")
        }
        return {**counts, **(self._node.metrics() if self._node is not None else {})}

    # ---- local observations -------------------------------------------------------------------

    def observe(self, workers: Collection[int]) -> Observations:
        """The current observations of the dispatcher, with the signs of life of these workers."""
        return self._adapter.observe(workers, self.loop.now // MICROSECOND)

    def retry_budget_left(self) -> float:
        """The current retry budget."""
        return self._adapter.dispatcher.context.retry_budget.retries_left

    def _layout(self) -> int:
        return layout_digest(self.site.tenants, self.site.classes)

    def _make_adapter(self, dispatcher: Dispatcher) -> FleetAdapter:
        site = self.site
        return FleetAdapter(
            dispatcher, quota_budgets(site.tenants, site.dispatcher_settings), len(site.classes)
        )

    # ---- datagrams ----------------------------------------------------------------------------

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._sock is None or self._node is None:
                return
            try:
                data = self.loop.sockets.receive(self._sock, MAX_PACKET_BYTES + 1)
            except NOT_READY:
                break
            except OSError:  # an ICMP error for a datagram sent before: nobody listens there
                continue
            self.counts["received"] += 1
            self.counts["bytes_received"] += len(data)
            try:
                packet = decode(data, self._key)
            except BadPacketError as error:
                self.counts["bad"] += 1
                log.logger().debug("bad_datagram", why=str(error))
                continue
            if packet.name == self.name:
                self.counts["namesakes"] += 1
            else:
                packets = self._node.handle_packet(self.loop.clock.now(), packet)
                self._emit_view()  # before a grant is sent: lent units must not be used here any longer
                self._send(packets)
        self._update()

    def _on_timer(self) -> None:
        self._timer = None
        if self._node is not None:
            self._send(self._node.tick(self.loop.clock.now()))
            self._update()

    def _update(self) -> None:
        node = self._node
        if node is None:
            return
        for name, state in node.take_state_changes():
            log.logger().info(STATE_EVENTS[state], member=name)
        self._emit_view()
        self._set_timer()

    def _emit_view(self) -> None:
        if self._node is not None and self._node.changes != self._emitted_changes:
            self._emitted_changes = self._node.changes
            self._emit(self._adapter.view(self._node, self._tenant_shares(self._node.view.quota_shares, 1.0)))

    def _tenant_shares(self, known: Mapping[int, float], default: float) -> tuple[float, ...]:
        """The quota shares by the positions of the tenants; 1.0 for quotas that are not lent."""
        shares = [1.0] * len(self.site.dispatcher_settings.tenants)
        for budget, position in self._adapter.budgets.items():
            shares[position] = known.get(budget, default)
        return tuple(shares)

    def _set_timer(self) -> None:
        """Set the only timer to the earliest due time."""
        if self._node is None:
            return
        due = self._node.due()
        if self._timer is None or due < self._timer_due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            self._timer = self.loop.call_at(due, self._on_timer)

    def _send(self, packets: list[OutgoingPacket]) -> None:
        for address, packet in packets:
            target = _parse_numeric(address)
            try:
                if self._sock is None or target is None:
                    raise OSError("the address is not numeric")
                data = encode(packet, self._key)
                self.loop.sockets.send_to(self._sock, data, target)
            except (OSError, ValueError) as error:
                self.counts["not_sent"] += 1
                log.logger().debug("not_sent", to=address, why=str(error))
                continue
            self.counts["sent"] += 1
            self.counts["bytes_sent"] += len(data)


@lru_cache(maxsize=8192)
def _parse_numeric(address: str) -> tuple[str, int] | None:
    """Reject host names in messages: a DNS lookup would block the loop."""
    try:
        parsed = Address.parse(address)
        ip_address(parsed.host)
    except ValueError:
        return None
    return (parsed.host, parsed.port) if 0 < parsed.port < 65536 else None
