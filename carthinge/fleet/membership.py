"""Which schedulers are there: pings in random rounds, suspicion before death, checks through others.

A pure state machine after SWIM: messages and the time go in, messages come out.  What differs from SWIM:
death is never told on.  A suspicion is; each member that hears of it waits for the suspected one's word, then
makes checks of its own, through others as well, and only when all of these fail is that member dead, for it
alone.  So no word of another member can make a live one dead, and a cut heals from both ends: whoever holds a
member for suspected or dead says so in every message to it, and that one answers with a higher incarnation.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from carthinge.fleet import membership_limits as limits
from carthinge.fleet.agenda import Agenda
from carthinge.fleet.gossip import HERE, GossipSender, Member, Sending
from carthinge.fleet.packets import LIFE_MOST, Kind, Packet, Rumor, Standing


class Membership:
    """One scheduler's view of all.  Every span follows from ``period``; only what is returned is sent."""

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
        """``seeds``: addresses to begin with, the own one among them or not.  ``incarnation``: higher than
        that of this scheduler's life before, where that can be had (milliseconds since 1970, say)."""
        self.name, self.period = name, period
        self.voice = GossipSender(name, address, incarnation)
        self.members: dict[str, Member] = {}
        self._here: dict[str, Member] = {}  # of these the ones that are not held for dead
        self._away: dict[str, Member] = {}  # and those that are
        self._ordered: list[Member] = []  # by name, those that are here; empty: to be made anew
        self._homes: dict[str, Member] = {}  # by address, the one that was last known to have it
        self.news: list[tuple[str, Standing]] = []  #: for whoever asks, to be cleared by it
        self.left = False
        self._seeds = [other for other in seeds if other != address]
        self._contacts: list[str] = []  # whom it knew before it was stopped
        self._rng = Random(seed)
        self._agenda = Agenda()
        self._numbers = self._rounds = 0
        self._order: list[str] = []  # of this round's pings; beats go through one of their own
        self._beats: list[str] = []
        self._checks: dict[int, Member] = {}  # who is asked just now whether it is there
        self._pace, self._lost = 1, 0  # pings a period; checks that failed in it less those that passed
        self._page_from = 0  # of somebody's list: the place that is wanted next
        self._page_asked = False
        self._joining = True  # the whole list is wanted
        self._seen_at = now
        self._agenda.at(now, self._round)

    # ---- what it is asked --------------------------------------------------------------------

    def due(self) -> timedelta:
        """When ``tick`` is wanted next."""
        return self._agenda.due()

    def here(self) -> list[Member]:
        """The others that are not held for dead."""
        return list(self._here.values())

    def counts(self) -> dict[str, int]:
        """Members by their standing, this one among the living."""
        counts = {standing.name.lower(): 0 for standing in Standing}
        counts["alive"] = 1
        for member in self.members.values():
            counts[member.standing.name.lower()] += 1
        return counts

    # ---- what happens ------------------------------------------------------------------------

    def tick(self, now: timedelta) -> list[Sending]:
        """Does what is due by now; returns what is to be sent, with the addresses."""
        self._wake(now)
        self._agenda.run(now)
        return self.voice.sent()

    def hear(self, now: timedelta, packet: Packet) -> list[Sending]:
        """Takes in a message; returns what is to be sent at once."""
        if packet.name == self.name or self.left:
            return []
        self._wake(now)
        self._refute(packet.held, packet.held_at)
        sender = self._met(now, packet)
        for rumor in packet.rumors:
            self._rumor(now, rumor)
        if sender is not None:
            self._answer(now, packet, sender)
        return self.voice.sent()

    def leave(self, now: timedelta) -> list[Sending]:
        """Tells everybody that this scheduler ends; nothing more comes of it."""
        self.left = True
        for member in self.here():
            self.voice.say(Kind.LEAVE, member)
        self._agenda.clear()
        self._agenda.at(now + self.period * limits.REMEMBERED, lambda later: None)
        return self.voice.sent()

    # ---- rounds ------------------------------------------------------------------------------

    def _wake(self, now: timedelta) -> None:
        """Guards against a process that was stopped: verdicts on the others would be about itself."""
        away, self._seen_at = now - self._seen_at > limits.AWAY * self.period, now
        if away:
            self._contacts = [member.address for member in self.here()]
            self.news.extend((member.name, Standing.LEFT) for member in self.here())
            self.voice.incarnation += 1
            self.voice.rumors.clear()
            for known in (self.members, self._here, self._away, self._ordered, self._homes):
                known.clear()
            self._checks.clear()
            self._agenda.clear()
            self._page_from, self._page_asked, self._joining = 0, False, True
            self._agenda.at(now, self._round)

    def _round(self, now: timedelta) -> None:
        """Once a period: a ping, beats, a knock at the door of one that is away, and some of a list."""
        if self.left:
            return
        self._rounds += 1
        self._agenda.at(now + self.period, self._round)
        self._ping_some(now)
        told: set[str] = set()
        for _ in range(limits.FANOUT):
            if (member := self._next(self._beats)) is None or member.name in told:
                break
            told.add(member.name)
            self.voice.say(Kind.BEAT, member)
        self._knock()
        again = self._page_asked  # its answer was lost
        if again or self._rounds % limits.SYNC_EVERY == 0:
            if not (again or self._joining):
                self._page_from = self._rng.randrange(max(1, len(self.members)))
            if here := self.here():
                self._pull(self._rng.choice(here))
        if self._rounds % limits.FORGET_EVERY == 0:
            for member in [
                one for one in self._away.values() if now - one.since > self.period * limits.REMEMBERED
            ]:
                self._drop(member)

    def _ping_some(self, now: timedelta) -> None:
        """One, and twice as many as before while most checks fail: then a great part is gone, and news of
        that hardly comes round, as most of whom it is told are gone too.  Half of the checks are others'."""
        self._pace = min(2 * self._pace, self._burst() // 2) if self._lost > 0 else 1
        self._lost = 0
        for _ in range(self._pace):
            if (member := self._next(self._order)) is not None and not self._asked(member):
                self._check(now, member)

    def _asked(self, member: Member) -> bool:
        return any(other is member for other in self._checks.values())

    def _burst(self) -> int:
        """Checks at once, at the most: where a great part of the fleet has gone together all are wanted."""
        return max(limits.FANOUT, len(self.members) // 32)

    def _next(self, order: list[str]) -> Member | None:
        """The next of a round through all, in an order drawn anew for each round."""
        for _ in range(2):
            while order:
                member = self.members.get(order.pop())
                if member is not None and member.standing in HERE:
                    return member
            order.extend(self._here)
            self._rng.shuffle(order)
        return None

    def _knock(self) -> None:
        """Whoever is away may be back, and a cut may have healed: some that are not here are asked."""
        if self._here:
            self._contacts = []
        for address in self._rng.sample(self._contacts, min(limits.FANOUT, len(self._contacts))):
            self.voice.knock(address)
        dead = [member for member in self._away.values() if member.standing is Standing.DEAD]
        seeds = [address for address in self._seeds if self._home(address) is None]
        if dead and (not seeds or self._rng.random() < 0.5):
            self.voice.say(Kind.PING, self._rng.choice(dead))
        elif seeds:
            self.voice.knock(self._rng.choice(seeds))

    def _drop(self, member: Member) -> None:
        del self.members[member.name], self._away[member.name]
        if self._homes.get(member.address) is member:
            del self._homes[member.address]

    def _move(self, member: Member, address: str) -> None:
        member.address = address
        self._homes[address] = member

    def _home(self, address: str) -> Member | None:
        """Who is here and has that address."""
        member = self._homes.get(address)
        return member if member and member.address == address and member.standing in HERE else None

    def _pull(self, member: Member) -> None:
        self._page_asked = True
        self.voice.say(Kind.PULL, member, number=self._page_from)

    # ---- checks ------------------------------------------------------------------------------

    def _check(self, now: timedelta, member: Member) -> None:
        self._numbers += 1
        number = self._numbers
        self._checks[number] = member
        self.voice.say(Kind.PING, member, number=number)
        self._agenda.at(now + limits.AGAIN_AFTER * self.period, lambda later: self._ping_again(number))
        self._agenda.at(now + limits.THROUGH_AFTER * self.period, lambda later: self._through_others(number))
        self._agenda.at(now + limits.VERDICT_AFTER * self.period, lambda later: self._verdict(later, number))

    def _ping_again(self, number: int) -> None:
        if member := self._checks.get(number):
            self.voice.say(Kind.PING, member, number=number)

    def _through_others(self, number: int) -> None:
        if member := self._checks.get(number):
            others = [other for other in self._here.values() if other is not member]
            for other in self._rng.sample(others, min(limits.THROUGH, len(others))):
                self.voice.say(Kind.CHECK, other, number=number, about=member.address)

    def _verdict(self, now: timedelta, number: int) -> None:
        member = self._checks.pop(number, None)
        if member is None or self.members.get(member.name) is not member:
            return
        member.failed += 1
        self._lost += 1
        if member.standing is Standing.ALIVE:
            self._suspect(now, member)
        elif member.standing is Standing.SUSPECT:
            if member.failed >= limits.CHECKS and now - member.since >= self._patience():
                self._stand(now, member, Standing.DEAD)
            else:
                self._again(now, member, member.incarnation)

    def _suspect(self, now: timedelta, member: Member) -> None:
        """From now on it has time to hear of that and to speak for itself; then it is checked from here."""
        self._stand(now, member, Standing.SUSPECT)
        self.voice.spread(member)
        incarnation = member.incarnation
        wait = self._patience() * self._rng.uniform(0.8, 1.2)
        self._agenda.at(now + wait, lambda later: self._again(later, member, incarnation))

    def _again(self, now: timedelta, member: Member, incarnation: int) -> None:
        if member.standing is not Standing.SUSPECT or member.incarnation != incarnation:
            return
        if len(self._checks) >= self._burst():
            self._agenda.at(now + self.period / 2, lambda later: self._again(later, member, incarnation))
        elif not self._asked(member):
            self._check(now, member)

    def _patience(self) -> timedelta:
        """For a suspected member's word to come round: half the rounds that news takes through all."""
        return self.period * (len(self.members) + 2).bit_length() / 2

    # ---- what is heard -----------------------------------------------------------------------

    def _refute(self, held: Standing, incarnation: int) -> None:
        """Somebody holds this one for away, or knows it from a life before."""
        own = self.voice.incarnation
        if incarnation >= LIFE_MOST - 1 or incarnation > max(own + limits.JUMP, limits.ABOVE):
            return
        if incarnation > own or (held is not Standing.ALIVE and incarnation == own):
            self.voice.deny(incarnation)

    def _met(self, now: timedelta, packet: Packet) -> Member | None:
        """The sender; one that is held for dead comes back by a higher incarnation alone."""
        member = self.members.get(packet.name)
        if packet.kind is Kind.LEAVE:
            if member is not None and packet.incarnation >= member.incarnation:
                member.incarnation = packet.incarnation
                self._stand(now, member, Standing.LEFT)
            return None
        if member is None:
            return self._enter(now, packet.name, packet.address, packet.incarnation)
        if packet.incarnation > member.incarnation:
            self._move(member, packet.address)
            self._back(now, member, packet.incarnation)
        return member

    def _rumor(self, now: timedelta, rumor: Rumor) -> None:
        """The word of a third one, which may be old: never that somebody is dead."""
        if rumor.name == self.name:
            self._refute(rumor.standing, rumor.incarnation)
            return
        member = self.members.get(rumor.name)
        if member is None:
            if rumor.address:
                self._enter(now, rumor.name, rumor.address, rumor.incarnation)
            return
        if rumor.incarnation > member.incarnation + limits.JUMP:
            return
        if rumor.incarnation > member.incarnation:
            self._move(member, rumor.address or member.address)
            self._back(now, member, rumor.incarnation)
        if (
            rumor.standing is Standing.SUSPECT
            and member.standing is Standing.ALIVE
            and rumor.incarnation == member.incarnation
        ):
            member.failed = 0  # nobody is dead but by checks from here
            self._suspect(now, member)

    def _answer(self, now: timedelta, packet: Packet, sender: Member) -> None:
        kind, number = packet.kind, packet.number
        if kind is Kind.PING:
            self.voice.say(Kind.ACK, sender, number=number, back=packet.back)
        elif kind is Kind.CHECK:
            if (member := self._homes.get(packet.about)) is not None:
                self.voice.say(Kind.PING, member, number=number, back=sender.address)
        elif kind is Kind.ACK and packet.back:
            if (member := self._home(packet.back)) is not None:
                self.voice.say(
                    Kind.ACK, member, number=number, about=sender.name, about_at=sender.incarnation
                )
        elif kind is Kind.ACK:
            self._passed(now, packet, sender)
            if self._joining and not self._page_asked:  # it has just begun: here is the first who answers
                self._pull(sender)
        elif kind is Kind.PULL:
            self._ordered = self._ordered or sorted(self._here.values(), key=lambda member: member.name)
            self.voice.page(self._ordered, number, sender)
        elif kind is Kind.PAGE and self._page_asked:
            self._page_asked = False
            self._joining = self._joining and number > self._page_from  # a place gone through already ends it
            self._page_from = number if self._joining else 0
            if self._joining:
                self._pull(sender)

    def _passed(self, now: timedelta, packet: Packet, sender: Member) -> None:
        """An ACK, from the member itself or passed on."""
        member = self._checks.get(packet.number)
        if member is None:
            return
        if packet.about == member.name:
            if member.incarnation < packet.about_at <= member.incarnation + limits.JUMP:
                self._back(now, member, packet.about_at)
        elif packet.about or sender is not member:
            return
        del self._checks[packet.number]
        member.failed = 0
        self._lost -= 1
        if member.standing is Standing.SUSPECT:  # its word is on its way round; here it has passed
            self._stand(now, member, Standing.ALIVE)

    # ---- standings ---------------------------------------------------------------------------

    def _enter(self, now: timedelta, name: str, address: str, incarnation: int) -> Member | None:
        if len(self.members) >= limits.MEMBERS_MOST:
            if not self._away:
                return None
            self._drop(min(self._away.values(), key=lambda member: member.since))
        member = Member(name, address, incarnation, Standing.ALIVE, now)
        self.members[name] = self._here[name] = self._homes[address] = member
        self._ordered = []
        self.voice.known = len(self.members)
        self.news.append((name, Standing.ALIVE))
        self._welcome(member)
        return member

    def _back(self, now: timedelta, member: Member, incarnation: int) -> None:
        """It has spoken for itself."""
        member.incarnation, member.failed = incarnation, 0
        away = member.standing not in HERE
        self._stand(now, member, Standing.ALIVE)
        if away:
            self._welcome(member)
        self.voice.spread(member)

    def _welcome(self, member: Member) -> None:
        """It is put somewhere in the rounds that are under way."""
        for order in (self._order, self._beats):
            order.insert(self._rng.randrange(len(order) + 1), member.name)
        self.voice.spread(member)

    def _stand(self, now: timedelta, member: Member, standing: Standing) -> None:
        if member.standing is not standing:
            member.standing, member.since = standing, now
            self.news.append((member.name, standing))
            before, after = (self._away, self._here) if standing in HERE else (self._here, self._away)
            if before.pop(member.name, None) is not None:
                after[member.name] = member
                self._ordered = []
            if standing not in HERE:
                self.voice.rumors.drop(member.name)
