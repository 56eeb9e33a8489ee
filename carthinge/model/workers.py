"""Model workers: cores, a queue served in order, and what may befall them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, Protocol

from carthinge import interface as io
from carthinge.model.agenda import Agenda
from carthinge.model.tally import Tally
from carthinge.model.world import Cancels, Ill, WorkerKind

DELETE_ARRIVES: Final = 100_000  # a withdrawal that nobody answers counts as arrived after so long
ERROR_AFTER: Final = 2_000  # a worker that fails at once does so within that
MUTE: Final = frozenset({Ill.HANG, Ill.REFUSES, Ill.SILENT})  # nothing sent there is ever served


class Attempt(Protocol):
    """One send, as its worker knows it."""

    work: int  #: what it takes, unlike any hint
    key: int  #: the program that it needs, 0 for none
    due: int  #: when its client leaves
    open: bool  #: its scheduler waits for it


class Home(Protocol):
    """Where an attempt comes from; called when the news is there."""

    def note(self, attempt: Attempt, done: float | None) -> None:
        """Hear of the start or the progress of a job."""

    def end(self, attempt: Attempt, result: io.Result, report: tuple[float, ...]) -> None:
        """Hear of the end of a job."""


@dataclass(slots=True, eq=False)
class Piece:
    """An attempt at its worker."""

    attempt: Attempt
    home: Home
    begun: int = -1
    left: int = 0  # of its running time, while the worker hangs
    span: int = 1  # running time
    turn: int = 0  # of its end: an earlier one is void
    over: bool = False


class Store:
    """Where workers fetch programs from: one fetch takes ``setup``, all together no more than ``rate`` each
    microsecond.  ``fetched`` counts them."""

    def __init__(self, agenda: Agenda, setup: int, rate: float) -> None:
        self._agenda, self._setup, self._gap = agenda, setup, 1 / rate
        self._free_at = 0.0
        self.fetched = self.asked = 0

    def fetch(self) -> int:
        """How long a fetch that begins now will take."""
        now = self._agenda.now
        self.fetched += 1
        self._free_at = max(float(now), self._free_at) + self._gap
        return max(self._setup, int(self._free_at) - now)


class ModelWorker:
    """One worker.  ``delay`` draws the time that news needs, one way; ``keeps`` programs stay there."""

    def __init__(
        self,
        agenda: Agenda,
        tally: Tally,
        kind: WorkerKind,
        entry: io.WorkerEntry,
        rng: Random,
        settings: io.Settings,
        delay: Callable[[], int],
        connect_timeout: int = 250_000,
        store: Store | None = None,
        keeps: int = 0,
    ) -> None:
        self.kind, self.entry, self.settings = kind, entry, settings
        self.speed = max(0.1 * kind.speed, rng.gauss(kind.speed, kind.speed * kind.speed_spread))
        self.ill: Ill | None = None
        self.size = 1.0
        self.found: set[int] = set()  # while it is ill: the schedulers that know
        self.started = -1  # when it last came back, -1 for long ago
        self.held = 0  # running and waiting
        self.running: list[Piece] = []
        self.queue: deque[Piece] = deque()
        self._pieces: dict[Attempt, Piece] = {}
        self._shown: tuple[float, ...] = ()
        self._agenda, self._tally, self._rng, self._delay = agenda, tally, rng, delay
        self._connect_timeout = connect_timeout
        self._store, self._keeps = store, keeps
        self._kept: dict[int, None] = {}  # the one used last stands last

    # ---- what schedulers want of it -------------------------------------------------------

    def take(self, attempt: Attempt, home: Home) -> None:
        """An attempt has arrived, or would have."""
        piece = Piece(attempt, home)
        if self.ill is Ill.SILENT:
            self._agenda.at(
                self._agenda.now + self._connect_timeout, home.end, attempt, io.Result.CONNECT_FAILED, ()
            )
        elif self.ill is Ill.REFUSES:
            self._tell_end(piece, io.Result.CONNECT_FAILED)
        elif self.ill is Ill.ERRORS and self._rng.random() < self.size:
            self._agenda.at(self._agenda.now + ERROR_AFTER, self._tell_end, piece, io.Result.ERROR)
        elif len(self._pieces) >= self.kind.cores + self.kind.queue:
            if self.ill is not Ill.HANG:
                self._tell_end(piece, io.Result.FULL)
        else:
            self._pieces[attempt] = piece
            self.held += 1
            self.queue.append(piece)
            self._start()

    def withdraw(self, attempt: Attempt, home: Home) -> None:
        """A withdrawal has arrived, or would have; its scheduler hears as soon as that is sure."""
        if self.ill is Ill.SILENT:
            return  # tried again up to the client's time, with no more success
        wait = DELETE_ARRIVES if self.ill is Ill.HANG else self._delay()
        self._agenda.at(self._agenda.now + wait, home.end, attempt, io.Result.CANCELLED, ())
        piece = self._pieces.get(attempt)
        if piece is None or self.ill is Ill.HANG or self.kind.cancel is Cancels.NONE:
            return
        if piece.begun < 0 or self.kind.cancel is Cancels.ALL:
            self._drop(piece)
            self._start()

    def probe(self, answer: Callable[[int, io.Result, tuple[float, ...]], None]) -> None:
        """A shallow check: a worker that hangs answers it like any other."""
        if self.ill is Ill.SILENT:
            wait, result = self._connect_timeout, io.Result.CONNECT_FAILED
        else:
            wait, result = self._delay(), io.Result.OK
            if self.ill is Ill.REFUSES:
                result = io.Result.CONNECT_FAILED
        report = self._shown if result is io.Result.OK else ()
        self._agenda.at(self._agenda.now + wait, answer, self.entry.worker, result, report)

    def refresh(self, every: int) -> None:
        """Its report, from now on and again and again."""
        self._shown = (float(max(0, self.kind.cores - self.held)),)
        self._agenda.at(self._agenda.now + every, self.refresh, every)

    # ---- its work -------------------------------------------------------------------------

    def _start(self) -> None:
        while self.ill is not Ill.HANG and self.queue and len(self.running) < self.kind.cores:
            piece = self.queue.popleft()
            if piece.over:
                continue
            if self.kind.drops_expired and self._agenda.now >= piece.attempt.due:
                self._drop(piece)
                continue
            now = piece.begun = self._agenda.now
            piece.span = max(1, int(piece.attempt.work / self._rate())) + self._set_up(piece.attempt.key)
            self.running.append(piece)
            self._agenda.at(now + piece.span, self._finish, piece, piece.turn)
            if self.settings.tells_start:
                self._agenda.at(now + self._delay(), piece.home.note, piece.attempt, None)
            if self.settings.progress:
                self._agenda.at(now + self.settings.progress, self._progress, piece)

    def _set_up(self, key: int) -> int:
        """How long it takes to have a program here."""
        if not key or self._store is None:
            return 0
        self._store.asked += 1
        wait = 0 if key in self._kept else self._store.fetch()
        self._kept.pop(key, None)
        self._kept[key] = None
        if len(self._kept) > self._keeps:
            del self._kept[next(iter(self._kept))]
        return wait

    def _rate(self) -> float:
        """Work done in a unit of time by each running job that begins now."""
        rate = self.speed * self._warmth()
        if self.ill is Ill.SLOW:
            rate /= self.size
        beyond = self.held / self.kind.cores - self.kind.thrash_at
        return rate / (1.0 + self.kind.thrash * beyond) if beyond > 0 else rate

    def _warmth(self) -> float:
        if self.started < 0 or not self.settings.cold_time:
            return 1.0
        risen = min(1.0, (self._agenda.now - self.started) / self.settings.cold_time)
        return self.settings.cold_start_share + (1 - self.settings.cold_start_share) * risen

    def _progress(self, piece: Piece) -> None:
        if piece.over:
            return
        now, every = self._agenda.now, self.settings.progress
        if self.ill is not Ill.HANG:
            done = min(1.0, (now - piece.begun) / piece.span)
            self._agenda.at(now + self._delay(), piece.home.note, piece.attempt, done)
        self._agenda.at(now + every, self._progress, piece)

    def _finish(self, piece: Piece, turn: int) -> None:
        if piece.over or piece.turn != turn:
            return
        wasted = not piece.attempt.open
        self._drop(piece, wasted)
        failed = self.kind.error_rate > 0 and self._rng.random() < self.kind.error_rate
        self._tell_end(piece, io.Result.ERROR if failed else io.Result.OK)
        self._start()

    def _drop(self, piece: Piece, wasted: bool = True) -> None:
        """It neither waits nor runs any more."""
        piece.over = True
        del self._pieces[piece.attempt]
        self.held -= 1
        if piece.begun >= 0:
            self.running.remove(piece)
            second = self._tally.at(self._agenda.now)
            second.busy += self._agenda.now - piece.begun
            second.wasted += (self._agenda.now - piece.begun) * wasted

    def _tell_end(self, piece: Piece, result: io.Result) -> None:
        report = self._shown if self.settings.reports is not io.Reports.OFF else ()
        self._agenda.at(self._agenda.now + self._delay(), piece.home.end, piece.attempt, result, report)

    # ---- what befalls it ------------------------------------------------------------------

    def fall_ill(self, ill: Ill, size: float) -> None:
        """Until :meth:`recover`."""
        self.ill, self.size, self.found = ill, size, set()
        if ill is Ill.HANG:
            for piece in self.running:
                piece.turn += 1
                piece.left = max(1, piece.begun + piece.span - self._agenda.now)
        elif ill in (Ill.REFUSES, Ill.SILENT):
            for piece in list(self._pieces.values()):
                self._drop(piece)
                if ill is Ill.REFUSES:
                    self._agenda.at(
                        self._agenda.now + self._delay(), piece.home.end, piece.attempt, io.Result.RESET, ()
                    )
            self.queue.clear()
            self._kept.clear()

    def recover(self) -> None:
        """What has hung goes on; what was dead starts cold."""
        was, self.ill, now = self.ill, None, self._agenda.now
        if was is Ill.HANG:
            for piece in self.running:
                piece.span = now - piece.begun + piece.left
                self._agenda.at(now + piece.left, self._finish, piece, piece.turn)
        elif was in (Ill.REFUSES, Ill.SILENT):
            self.started = now
        self._start()


def draw_workers(kinds: Sequence[WorkerKind], count: int, rng: Random) -> list[WorkerKind]:
    """The kinds of so many workers, as near to their shares as whole numbers are, in no order."""
    total, part = sum(kind.share for kind in kinds), 0.0
    drawn: list[WorkerKind] = []
    for kind in kinds:
        part += kind.share
        drawn += [kind] * (round(count * part / total) - len(drawn))
    rng.shuffle(drawn)
    return drawn
