"""The membership protocol, after SWIM: random pings, suspicion and indirect pings find members that fail.

A pure state machine: messages and the time go in, messages come out.  Unlike in SWIM, only suspicions are
disseminated, not deaths: a member that learns of one waits for the suspect to refute it, then checks it
itself, also through others, and considers it dead, for itself alone, only if these checks fail.  So no
message of another member can make a live one dead.  A partition heals from both sides: each message tells
its receiver whether the sender suspects it or considers it dead, and it refutes with a higher incarnation.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from carthinge.fleet import membership_limits as limits
from carthinge.fleet.gossip import LIVE, GossipSender, Member, OutgoingPacket
from carthinge.fleet.packets import UINT48_LIMIT, MemberState, Packet, PacketKind, Rumor
from carthinge.fleet.timer_queue import TimerQueue


class Membership:
    """One scheduler's view of the fleet.  Intervals follow from ``period``; only what is returned is sent."""

    def __init__(
        self,
        name: str,
        address: str,
        seeds: Sequence[str],
        period: timedelta,
        incarnation: int,
        seed: int,
        now: timedelta,
    ) -> None:
        """``seeds``: the addresses to contact first; the own one is ignored.  ``incarnation``: higher than in
        the previous run if possible (milliseconds since 1970, for example)."""
        self.name, self.period = name, period
        self.gossip = GossipSender(name, address, incarnation)
        self.members: dict[str, Member] = {}
        self._live: dict[str, Member] = {}  # the members that are alive or suspected
        self._gone: dict[str, Member] = {}  # the members that are dead or have left
        self._sorted: list[Member] = []  # the live members by name; empty: to be sorted again
        self._by_address: dict[str, Member] = {}  # the last known member at each address
        self.state_changes: list[tuple[str, MemberState]] = []  #: cleared by the reader
        self.left = False
        self._seeds = [other for other in seeds if other != address]
        self._former: list[str] = []  # addresses of the members known before this process was stopped
        self._rng = Random(seed)
        self._timers = TimerQueue()
        self._last_number = self._rounds = 0
        self._ping_order: list[str] = []  # names left in this pass over all members
        self._gossip_order: list[str] = []  # the same for gossip
        self._checks: dict[int, Member] = {}  # in progress, by number
        self._new_checks, self._net_failed = 1, 0  # per period: checks to start; failed minus passed ones
        self._page_start = 0  # the position in another member's list to request next
        self._awaiting_page = False
        self._joining = True  # until the whole list has been received
        self._last_active = now
        self._timers.at(now, self._round)

    # ---- queries -----------------------------------------------------------------------------

    def due(self) -> timedelta:
        """When ``tick`` has to be called next."""
        return self._timers.due()

    def live_members(self) -> list[Member]:
        """The other members that are alive or suspected."""
        return list(self._live.values())

    def counts(self) -> dict[str, int]:
        """The number of members by state; this one is alive."""
        counts = {state.name.lower(): 0 for state in MemberState}
        counts["alive"] = 1
        for member in self.members.values():
            counts[member.state.name.lower()] += 1
        return counts

    # ---- events ------------------------------------------------------------------------------

    def tick(self, now: timedelta) -> list[OutgoingPacket]:
        """Do what is due by now; return the messages to send."""
        self._detect_pause(now)
        self._timers.run(now)
        return self.gossip.take_queued()

    def handle_packet(self, now: timedelta, packet: Packet) -> list[OutgoingPacket]:
        """Handle a message; return the messages to send at once."""
        if packet.name == self.name or self.left:
            return []
        self._detect_pause(now)
        self._refute(packet.receiver_state, packet.receiver_incarnation)
        sender = self._update_sender(now, packet)
        for rumor in packet.rumors:
            self._apply_rumor(now, rumor)
        if sender is not None:
            self._handle(now, packet, sender)
        return self.gossip.take_queued()

    def leave(self, now: timedelta) -> list[OutgoingPacket]:
        """Return the messages that tell all members that this scheduler leaves, and stop."""
        self.left = True
        for member in self.live_members():
            self.gossip.queue(PacketKind.LEAVE, member)
        self._timers.clear()
        self._timers.at(now + self.period * limits.RETENTION, lambda later: None)
        return self.gossip.take_queued()

    # ---- rounds ------------------------------------------------------------------------------

    def _detect_pause(self, now: timedelta) -> None:
        """Rejoin after this process was stopped: its failed checks would say nothing about the others."""
        paused, self._last_active = now - self._last_active > limits.MAX_PAUSE * self.period, now
        if paused:
            self._former = [member.address for member in self.live_members()]
            self.state_changes.extend((member.name, MemberState.LEFT) for member in self.live_members())
            self.gossip.incarnation += 1
            self.gossip.rumors.clear()
            for known in (self.members, self._live, self._gone, self._sorted, self._by_address):
                known.clear()
            self._checks.clear()
            self._timers.clear()
            self._page_start, self._awaiting_page, self._joining = 0, False, True
            self._timers.at(now, self._round)

    def _round(self, now: timedelta) -> None:
        """Once a period: start checks, send gossip, ping an unreachable member and continue the sync."""
        if self.left:
            return
        self._rounds += 1
        self._timers.at(now + self.period, self._round)
        self._start_checks(now)
        sent_to: set[str] = set()
        for _ in range(limits.FANOUT):
            if (member := self._next_member(self._gossip_order)) is None or member.name in sent_to:
                break
            sent_to.add(member.name)
            self.gossip.queue(PacketKind.GOSSIP, member)
        self._ping_unreachable()
        page_lost = self._awaiting_page
        if page_lost or self._rounds % limits.SYNC_INTERVAL == 0:
            if not (page_lost or self._joining):
                self._page_start = self._rng.randrange(max(1, len(self.members)))
            if live := self.live_members():
                self._request_page(self._rng.choice(live))
        if self._rounds % limits.CLEANUP_INTERVAL == 0:
            for member in [
                gone for gone in self._gone.values() if now - gone.since > self.period * limits.RETENTION
            ]:
                self._remove(member)

    def _start_checks(self, now: timedelta) -> None:
        """Start one check, and twice as many as in the last period while most checks fail: then a large part
        of the fleet is gone, and updates spread slowly, as most go to members that are gone as well.  These
        checks take at most half of the limit; the other half is for suspects that other members announce."""
        self._new_checks = min(2 * self._new_checks, self._max_checks() // 2) if self._net_failed > 0 else 1
        self._net_failed = 0
        for _ in range(self._new_checks):
            if (member := self._next_member(self._ping_order)) is not None and not self._in_check(member):
                self._start_check(now, member)

    def _in_check(self, member: Member) -> bool:
        return any(other is member for other in self._checks.values())

    def _max_checks(self) -> int:
        """The limit of concurrent checks; it grows with the fleet, as a large part may fail together."""
        return max(limits.FANOUT, len(self.members) // 32)

    def _next_member(self, order: list[str]) -> Member | None:
        """The next of a pass over all live members, in a random order that is drawn for each pass."""
        for _ in range(2):
            while order:
                member = self.members.get(order.pop())
                if member is not None and member.state in LIVE:
                    return member
            order.extend(self._live)
            self._rng.shuffle(order)
        return None

    def _ping_unreachable(self) -> None:
        """Ping some members and seeds that are not live: they may be back, or a partition healed."""
        if self._live:
            self._former = []
        for address in self._rng.sample(self._former, min(limits.FANOUT, len(self._former))):
            self.gossip.ping_address(address)
        dead = [member for member in self._gone.values() if member.state is MemberState.DEAD]
        seeds = [address for address in self._seeds if self._live_at(address) is None]
        if dead and (not seeds or self._rng.random() < 0.5):
            self.gossip.queue(PacketKind.PING, self._rng.choice(dead))
        elif seeds:
            self.gossip.ping_address(self._rng.choice(seeds))

    def _remove(self, member: Member) -> None:
        del self.members[member.name], self._gone[member.name]
        if self._by_address.get(member.address) is member:
            del self._by_address[member.address]

    def _set_address(self, member: Member, address: str) -> None:
        if self._by_address.get(member.address) is member:
            del self._by_address[member.address]
        member.address = address
        self._by_address[address] = member

    def _live_at(self, address: str) -> Member | None:
        member = self._by_address.get(address)
        return member if member and member.address == address and member.state in LIVE else None

    def _request_page(self, member: Member) -> None:
        self._awaiting_page = True
        self.gossip.queue(PacketKind.PULL, member, number=self._page_start)

    # ---- checks ------------------------------------------------------------------------------

    def _start_check(self, now: timedelta, member: Member) -> None:
        self._last_number += 1
        number = self._last_number
        self._checks[number] = member
        self.gossip.queue(PacketKind.PING, member, number=number)
        self._timers.at(now + limits.REPEAT_PING_AFTER * self.period, lambda later: self._repeat_ping(number))
        self._timers.at(now + limits.PING_REQ_AFTER * self.period, lambda later: self._send_ping_reqs(number))
        self._timers.at(now + limits.CHECK_TIMEOUT * self.period, lambda later: self._time_out(later, number))

    def _repeat_ping(self, number: int) -> None:
        if member := self._checks.get(number):
            self.gossip.queue(PacketKind.PING, member, number=number)

    def _send_ping_reqs(self, number: int) -> None:
        if member := self._checks.get(number):
            others = [other for other in self._live.values() if other is not member]
            for other in self._rng.sample(others, min(limits.PING_REQ_MEMBERS, len(others))):
                self.gossip.queue(PacketKind.PING_REQ, other, number=number, target=member.address)

    def _time_out(self, now: timedelta, number: int) -> None:
        member = self._checks.pop(number, None)
        if member is None or self.members.get(member.name) is not member:
            return
        member.failed += 1
        self._net_failed += 1
        if member.state is MemberState.ALIVE:
            self._suspect(now, member)
        elif member.state is MemberState.SUSPECT:
            if member.failed >= limits.MAX_FAILED_CHECKS and now - member.since >= self._refute_timeout():
                self._set_state(now, member, MemberState.DEAD)
            else:
                self._check_suspect(now, member, member.incarnation)

    def _suspect(self, now: timedelta, member: Member) -> None:
        """Suspect a member; it is checked from here if it does not refute that in time."""
        self._set_state(now, member, MemberState.SUSPECT)
        self.gossip.announce(member)
        incarnation = member.incarnation
        timeout = self._refute_timeout() * self._rng.uniform(0.8, 1.2)
        self._timers.at(now + timeout, lambda later: self._check_suspect(later, member, incarnation))

    def _check_suspect(self, now: timedelta, member: Member, incarnation: int) -> None:
        if member.state is not MemberState.SUSPECT or member.incarnation != incarnation:
            return
        if len(self._checks) >= self._max_checks():
            self._timers.at(now + self.period / 2, lambda at: self._check_suspect(at, member, incarnation))
        elif not self._in_check(member):
            self._start_check(now, member)

    def _refute_timeout(self) -> timedelta:
        """The time for a refutation to arrive: half the rounds that an update takes to reach all members."""
        return self.period * (len(self.members) + 2).bit_length() / 2

    # ---- received messages -------------------------------------------------------------------

    def _refute(self, state: MemberState, incarnation: int) -> None:
        """Refute a state of this scheduler other than alive, or an incarnation of an earlier run."""
        own = self.gossip.incarnation
        if incarnation >= UINT48_LIMIT - 1 or incarnation > max(
            own + limits.MAX_INCREASE, limits.OUTBID_LIMIT
        ):
            return
        if incarnation > own or (state is not MemberState.ALIVE and incarnation == own):
            self.gossip.refute(incarnation)

    def _update_sender(self, now: timedelta, packet: Packet) -> Member | None:
        """Return the sender, updated; a dead one becomes alive only with a higher incarnation."""
        member = self.members.get(packet.name)
        if packet.kind is PacketKind.LEAVE:
            if member is not None and packet.incarnation >= member.incarnation:
                member.incarnation = packet.incarnation
                self._set_state(now, member, MemberState.LEFT)
            return None
        if member is None:
            return self._add(now, packet.name, packet.address, packet.incarnation)
        if packet.incarnation > member.incarnation:
            self._set_address(member, packet.address)
            self._set_alive(now, member, packet.incarnation)
        return member

    def _apply_rumor(self, now: timedelta, rumor: Rumor) -> None:
        """Apply a piggybacked update, which may be stale and never makes a member dead."""
        if rumor.name == self.name:
            self._refute(rumor.state, rumor.incarnation)
            return
        member = self.members.get(rumor.name)
        if member is None:
            if rumor.address:
                self._add(now, rumor.name, rumor.address, rumor.incarnation)
            return
        if rumor.incarnation > member.incarnation + limits.MAX_INCREASE:
            return
        if rumor.incarnation > member.incarnation:
            self._set_address(member, rumor.address or member.address)
            self._set_alive(now, member, rumor.incarnation)
        if (
            rumor.state is MemberState.SUSPECT
            and member.state is MemberState.ALIVE
            and rumor.incarnation == member.incarnation
        ):
            member.failed = 0  # only checks made here after this count
            self._suspect(now, member)

    def _handle(self, now: timedelta, packet: Packet, sender: Member) -> None:
        kind, number = packet.kind, packet.number
        if kind is PacketKind.PING:
            self.gossip.queue(PacketKind.ACK, sender, number=number, relay_to=packet.relay_to)
        elif kind is PacketKind.PING_REQ:
            if (member := self._by_address.get(packet.target)) is not None:
                self.gossip.queue(PacketKind.PING, member, number=number, relay_to=sender.address)
        elif kind is PacketKind.ACK and packet.relay_to:
            if (member := self._live_at(packet.relay_to)) is not None:
                self.gossip.queue(
                    PacketKind.ACK, member, number=number, target=sender.name, incarnation=sender.incarnation
                )
        elif kind is PacketKind.ACK:
            self._handle_ack(now, packet, sender)
            if self._joining and not self._awaiting_page:  # the first answer after the start
                self._request_page(sender)
        elif kind is PacketKind.PULL:
            self._sorted = self._sorted or sorted(self._live.values(), key=lambda member: member.name)
            self.gossip.queue_page(self._sorted, number, sender)
        elif kind is PacketKind.PAGE and self._awaiting_page:
            self._awaiting_page = False
            self._joining = self._joining and number > self._page_start  # only while pages advance
            self._page_start = number if self._joining else 0
            if self._joining:
                self._request_page(sender)

    def _handle_ack(self, now: timedelta, packet: Packet, sender: Member) -> None:
        """Handle an ACK, from the member itself or relayed."""
        member = self._checks.get(packet.number)
        if member is None:
            return
        if packet.target == member.name:
            if member.incarnation < packet.target_incarnation <= member.incarnation + limits.MAX_INCREASE:
                self._set_alive(now, member, packet.target_incarnation)
        elif packet.target or sender is not member:
            return
        del self._checks[packet.number]
        member.failed = 0
        self._net_failed -= 1
        if member.state is MemberState.SUSPECT:  # its refutation may still be on the way
            self._set_state(now, member, MemberState.ALIVE)

    # ---- states ------------------------------------------------------------------------------

    def _add(self, now: timedelta, name: str, address: str, incarnation: int) -> Member | None:
        if len(self.members) >= limits.MAX_MEMBERS:
            if not self._gone:
                return None
            self._remove(min(self._gone.values(), key=lambda member: member.since))
        member = Member(name, address, incarnation, MemberState.ALIVE, now)
        self.members[name] = self._live[name] = self._by_address[address] = member
        self._sorted = []
        self.gossip.member_count = len(self.members)
        self.state_changes.append((name, MemberState.ALIVE))
        self._add_to_orders(member)
        return member

    def _set_alive(self, now: timedelta, member: Member, incarnation: int) -> None:
        """Apply a higher incarnation, which only the member itself can have chosen."""
        member.incarnation, member.failed = incarnation, 0
        was_gone = member.state not in LIVE
        self._set_state(now, member, MemberState.ALIVE)
        if was_gone:
            self._add_to_orders(member)
        self.gossip.announce(member)

    def _add_to_orders(self, member: Member) -> None:
        """Insert a member at a random place of the passes in progress."""
        for order in (self._ping_order, self._gossip_order):
            if len(order) > 2 * len(self._live):  # most are names of members that are gone
                order[:] = dict.fromkeys(name for name in order if name in self._live)
            order.insert(self._rng.randrange(len(order) + 1), member.name)
        self.gossip.announce(member)

    def _set_state(self, now: timedelta, member: Member, state: MemberState) -> None:
        if member.state is not state:
            member.state, member.since = state, now
            self.state_changes.append((member.name, state))
            before, after = (self._gone, self._live) if state in LIVE else (self._live, self._gone)
            if before.pop(member.name, None) is not None:
                after[member.name] = member
                self._sorted = []
            if state not in LIVE:
                self.gossip.rumors.drop(member.name)
