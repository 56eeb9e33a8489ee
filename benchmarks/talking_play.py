"""A play of the model whose schedulers talk: the talk's pure machines beside the decision modules."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta
from random import Random
from typing import Any

from carthinge import interface as io
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import Kind, Packet, Rumor, Standing
from carthinge.fleet.talk import Facts, Talk
from carthinge.model import Play
from carthinge.model.agenda import MICROSECOND, micros
from carthinge.scheduler.fleet_facts import Insight

DELAY = 500  # microseconds that a message is under way


class Talker:
    """One life of one scheduler."""

    def __init__(self, play: TalkingPlay, position: int, life: int) -> None:
        self.play, self.scheduler = play, play.schedulers[position]
        self.module: Any = self.scheduler.module
        self.insight = Insight(self.module, {}, len(play.world.sorts))
        self.name, self._shown, self._due = f"s{position}", 0, 0
        rng, now = Random(f"{play.seed}/talk/{position}/{life}"), play.agenda.now * MICROSECOND
        member = Membership(
            self.name,
            self.name,
            ["s0", "s1"],
            play.period,
            1000 + life,
            rng.getrandbits(60),
            now + rng.random() * play.period,
        )
        if not life:  # they know each other from the start: how they join is another matter
            other = f"s{(position + 1) % len(play.schedulers)}"
            member.hear(now, Packet(Kind.BEAT, other, other, 1000, rumors=play.known))
            member.voice.rumors.clear()
            member.voice.sent()
        self.talk = Talk(member, 7, (), rng.getrandbits(40), self, now + rng.random() * play.period)
        self.module.handle(play.agenda.now, [io.FleetView()])
        self.arm()

    def look(self, workers: Collection[int]) -> Facts:
        return self.insight.look(workers, self.play.agenda.now)

    def repeats(self) -> float:
        return float(self.module.context.budget.left)

    def hear(self, packet: Packet) -> None:
        if self.scheduler.module is self.module:
            self._after(self.talk.hear(self.play.agenda.now * MICROSECOND, packet))

    def arm(self) -> None:
        due = max(self.play.agenda.now + 1, -(-self.talk.due() // MICROSECOND))
        if not self._due or due < self._due:
            self._due = due
            self.play.agenda.at(due, self._tick, due)

    def _tick(self, due: int) -> None:
        if due == self._due and self.scheduler.module is self.module:
            self._due = 0
            self._after(self.talk.tick(due * MICROSECOND))

    def _after(self, sendings: list[tuple[str, Packet]]) -> None:
        if self.talk.changes != self._shown:
            self._shown = self.talk.changes
            self.scheduler.hear(self.insight.view(self.talk, ()))
        for to, packet in sendings:
            self.play.carry(to, packet)
        self.arm()


class TalkingPlay(Play):
    """``period``: of the talk; nothing is lost."""

    def __init__(self, *arguments: Any, period: timedelta = timedelta(seconds=1)) -> None:
        super().__init__(*arguments)
        self.period, self.messages = period, 0
        self.talkers: dict[str, Talker] = {}
        names = [f"s{scheduler.position}" for scheduler in self.schedulers]
        self.known = [Rumor(name, Standing.ALIVE, 1000, name) for name in names]

    def _start(self, scheduler: Any, listed: tuple[io.WorkerEntry, ...], times: int = 0) -> None:
        super()._start(scheduler, listed, times)
        self.talkers[f"s{scheduler.position}"] = Talker(self, scheduler.position, times)

    def carry(self, to: str, packet: Packet) -> None:
        self.messages += 1
        if to in self.talkers:
            self.agenda.at(self.agenda.now + DELAY, self.talkers[to].hear, packet)

    def span(self) -> int:
        return micros(self.period)
