"""The line to the other schedulers: datagrams in and out, and what comes of them told to the decisions.

Loaded only where the operator's file has ``[fleet]``.  Nothing here waits: a datagram that cannot be sent at
once is lost, as any may be, and one that cannot be read is counted and dropped.
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
from carthinge.fleet.gossip import Sending
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import LIFE_MOST, PACKET_MOST, Standing
from carthinge.fleet.quota_lending import BASE, LENDABLE
from carthinge.fleet.summary import shape_of
from carthinge.fleet.talk import Facts, Talk
from carthinge.interface import FleetView
from carthinge.net import log
from carthinge.net.http import Address
from carthinge.net.loop import MICROSECOND, MILLISECOND, READ, Loop, Timer
from carthinge.net.sockets import NOT_READY
from carthinge.operator_file import FleetOptions
from carthinge.policy import Dispatcher
from carthinge.scheduler.fleet_facts import Insight, purses_of
from carthinge.settings import Site

BATCH: Final = 64  # datagrams that are read in a turn
RECEIVE_BUFFER: Final = 1 << 20  # bytes: a burst waits there while the loop is at other work
BEFORE: Final = 1 - LENDABLE / BASE  # part of a quota here until the others are known
NEWS: Final = {
    Standing.ALIVE: "member_here",
    Standing.SUSPECT: "member_suspected",
    Standing.DEAD: "member_dead",
    Standing.LEFT: "member_left",
}


class FleetLink:
    """One scheduler's socket for the others, and its part in what all decide."""

    def __init__(
        self,
        loop: Loop,
        options: FleetOptions,
        name: str,
        site: Site,
        dispatcher: Dispatcher,
        tell: Callable[[FleetView], None],
    ) -> None:
        """``tell``: has the decisions hear of a view before they decide on anything else."""
        self.loop, self.options, self.name, self.site = loop, options, name, site
        self.counts: Counter[str] = Counter()
        self._insight, self._tell = self._insight_of(dispatcher), tell
        self._key = Path(options.key_file).read_bytes().strip() if options.key_file else b""
        self._sock: socket.socket | None = None
        self._talk: Talk | None = None
        self._timer: Timer | None = None
        self._armed = timedelta()
        self._shown = 0  # of the changes of the view
        self._incarnation = 0

    def open(self) -> None:
        """Begins to talk; while the process before this one has the address, it is tried again."""
        if self._sock is not None:
            return
        self._tell(FleetView(parts=self._parts({}, BEFORE)))  # a life before may have lent out the rest
        listen = Address.parse(self.options.listen)
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            sock.bind((listen.host, listen.port))
        except OSError as fault:
            sock.close()
            if not self.counts["binds_failed"] or fault.errno != errno.EADDRINUSE:
                log.logger().warning("fleet_waits", listen=self.options.listen, why=str(fault))
            self.counts["binds_failed"] += 1
            self._timer = self.loop.call_after(self.options.period, self.open)
            return
        self._sock = sock
        now, draw = self.loop.clock.now(), SystemRandom()
        # Above that of any life before, unless the clock was set back: then the others tell it theirs.
        self._incarnation = max(self._incarnation + 1, self.loop.clock.wall() // MILLISECOND)
        options = self.options
        membership = Membership(
            self.name,
            options.advertise or options.listen,
            options.members,
            options.period,
            self._incarnation,
            draw.getrandbits(64),
            now,
        )
        self._talk = Talk(
            membership, self._shape(), self._insight.purses.keys(), draw.randrange(LIFE_MOST), self, now
        )
        self.loop.register(sock, READ, lambda _: self._read())
        self._due()
        log.logger().info(
            "fleet_open",
            listen=self.options.listen,
            members=len(self.options.members),
            sealed=bool(self._key),
        )

    def close(self, leave: bool) -> None:
        """Ends to talk.  ``leave``: for good, which the others are told; else another process goes on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is None or self._talk is None:
            return
        if leave:
            self._send(self._talk.leave(self.loop.clock.now()))
        self.loop.forget(self._sock)
        self._sock.close()
        self._tell(FleetView(parts=self._parts(self._talk.alone(self.loop.clock.now()), 1.0)))
        self._sock = self._talk = None

    def retune(self, site: Site) -> None:
        """Other settings hold from now on."""
        self.site = site
        self._insight = self._insight_of(self._insight.dispatcher)
        if self._talk is not None:
            self._talk.retune(self.loop.clock.now(), self._shape(), self._insight.purses.keys())
            self._show()

    def figures(self) -> dict[str, Any]:
        """What operators see."""
        counts = {
            name: self.counts[name]
            for name in ("sent", "received", "bytes_sent", "bytes_received", "bad", "not_sent", "namesakes")
        }
        return {**counts, **(self._talk.figures() if self._talk is not None else {})}

    # ---- what is told of this scheduler -------------------------------------------------------

    def look(self, workers: Collection[int]) -> Facts:
        """What the decisions know just now; signs of these workers."""
        return self._insight.look(workers, self.loop.now // MICROSECOND)

    def repeats(self) -> float:
        """What they have left for further attempts."""
        return self._insight.dispatcher.context.budget.left

    def _shape(self) -> int:
        return shape_of(self.site.tenants, self.site.classes)

    def _insight_of(self, dispatcher: Dispatcher) -> Insight:
        site = self.site
        return Insight(dispatcher, purses_of(site.tenants, site.decisions), len(site.classes))

    # ---- datagrams ----------------------------------------------------------------------------

    def _read(self) -> None:
        for _ in range(BATCH):
            if self._sock is None or self._talk is None:
                return
            try:
                data = self.loop.sockets.receive(self._sock, PACKET_MOST + 1)
            except NOT_READY:
                break
            except OSError:  # what came back of one that was sent: nobody listens there
                continue
            self.counts["received"] += 1
            self.counts["bytes_received"] += len(data)
            try:
                packet = decode(data, self._key)
            except BadPacketError as fault:
                self.counts["bad"] += 1
                log.logger().debug("bad_datagram", why=str(fault))
                continue
            if packet.name == self.name:
                self.counts["namesakes"] += 1
            else:
                sendings = self._talk.hear(self.loop.clock.now(), packet)
                self._show()  # what is lent is not used any more before the other one knows that it has it
                self._send(sendings)
        self._after()

    def _due(self) -> None:
        self._timer = None
        if self._talk is not None:
            self._send(self._talk.tick(self.loop.clock.now()))
            self._after()

    def _after(self) -> None:
        talk = self._talk
        if talk is None:
            return
        for name, standing in talk.news():
            log.logger().info(NEWS[standing], member=name)
        self._show()
        self._arm()

    def _show(self) -> None:
        if self._talk is not None and self._talk.changes != self._shown:
            self._shown = self._talk.changes
            self._tell(self._insight.view(self._talk, self._parts(self._talk.view.parts, 1.0)))

    def _parts(self, known: Mapping[int, float], else_: float) -> tuple[float, ...]:
        """By the positions of the tenants; a quota that no purse is for does not change."""
        parts = [1.0] * len(self.site.decisions.tenants)
        for purse, at in self._insight.purses.items():
            parts[at] = known.get(purse, else_)
        return tuple(parts)

    def _arm(self) -> None:
        """One timer is enough: at the time that is due next."""
        if self._talk is None:
            return
        due = self._talk.due()
        if self._timer is None or due < self._armed:
            if self._timer is not None:
                self._timer.cancel()
            self._armed = due
            self._timer = self.loop.call_at(due, self._due)

    def _send(self, sendings: list[Sending]) -> None:
        for address, packet in sendings:
            target = _numeric(address)
            try:
                if self._sock is None or target is None:
                    raise OSError("no numeric address")
                data = encode(packet, self._key)
                self.loop.sockets.send_to(self._sock, data, target)
            except (OSError, ValueError) as fault:
                self.counts["not_sent"] += 1
                log.logger().debug("not_sent", to=address, why=str(fault))
                continue
            self.counts["sent"] += 1
            self.counts["bytes_sent"] += len(data)


@lru_cache(maxsize=8192)
def _numeric(address: str) -> tuple[str, int] | None:
    """Guards against a name in a message: to look it up would hold the loop."""
    try:
        parsed = Address.parse(address)
        ip_address(parsed.host)
    except ValueError:
        return None
    return (parsed.host, parsed.port) if 0 < parsed.port < 65536 else None
