"""The clocks: monotonic time for every span, and readings of the wall clock translated to it."""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Final, NamedTuple

STEP_LEAST: Final = timedelta(milliseconds=50)  # less is drift, which is adjusted without a step
PERIODS_KEPT: Final = 64  # between steps of the wall clock; a worker's start is asked about soon after it


class WallPeriod(NamedTuple):
    """A time in which the wall clock went on without a step."""

    begins: timedelta  #: on the monotonic clock; zero for the first, which has always been
    origin: timedelta  #: what the wall clock showed at the machine's start, by its readings in this period


class Clock:
    """Monotonic time since one day before the machine's start: a recent start has a time.

    All processes of a machine read the same: what one of them has learned keeps its times for the next.
    The wall clock may be set at any time.  Its steps are noted, so that a reading that was taken before a
    step is translated by what held then.
    """

    HISTORY: Final = timedelta(days=1)

    def __init__(self) -> None:
        self._checked = self.now()
        self._periods = [WallPeriod(timedelta(), self._wall_origin())]

    def now(self) -> timedelta:
        """Monotonic time, the only one that spans are measured with."""
        return timedelta(microseconds=time.monotonic_ns() // 1000) + self.HISTORY

    def wall(self) -> timedelta:
        """Time since 1970 by the wall clock: to be shown or stored, never to end a span."""
        return timedelta(microseconds=time.time_ns() // 1000)

    def check_for_step(self, now: timedelta) -> None:
        """Notes a step of the wall clock; to be called often, as a step is dated to the check before."""
        origin = self._wall_origin()
        if abs(origin - self._periods[-1].origin) >= STEP_LEAST:
            self._periods.append(WallPeriod(self._checked, origin))
            del self._periods[1:-PERIODS_KEPT]
        self._checked = now

    def of_unix_ms(self, unix_ms: int) -> timedelta:
        """A reading of the wall clock on this one; zero for what was before it, and for 0 (long ago).

        Of several possible times it is the latest, and never the future: whoever asks wants to know how long
        ago a worker has started at the least.
        """
        reading = timedelta(milliseconds=unix_ms)
        ends = self.now()
        self.check_for_step(ends)
        for period in reversed(self._periods):
            at = reading - period.origin + self.HISTORY
            if at >= period.begins - STEP_LEAST:  # readings are rounded, and steps are dated by the checks
                return min(max(at, timedelta()), ends)
            ends = period.begins
        return timedelta()

    @staticmethod
    def _wall_origin() -> timedelta:
        return timedelta(microseconds=(time.time_ns() - time.monotonic_ns()) // 1000)
