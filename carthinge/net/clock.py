"""The clocks: monotonic time for all durations, and conversion of wall-clock readings to it."""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Final, NamedTuple

MIN_STEP: Final = timedelta(milliseconds=50)  # less is drift, which is adjusted without a step
MAX_PERIODS: Final = 64  # old ones can be dropped: a worker's start is converted soon after it


class WallPeriod(NamedTuple):
    """A period in which the wall clock ran without a step."""

    start: timedelta  #: on the monotonic clock; zero for the first period, which has no known start
    origin: timedelta  #: wall-clock time of the machine's boot, by the readings in this period


class Clock:
    """Monotonic time since one day before the machine's boot, so that a start shortly before boot has a time.

    All processes of a machine read the same values, so that times remain valid across a handover.
    The wall clock may be set at any time.  Its steps are recorded, so that a reading from before a step is
    converted with the offset that was valid then.
    """

    HISTORY: Final = timedelta(days=1)

    def __init__(self) -> None:
        self._last_check = self.now()
        self._periods = [WallPeriod(timedelta(), self._wall_origin())]

    def now(self) -> timedelta:
        """Return the monotonic time, the only one used to measure durations."""
        return timedelta(microseconds=time.monotonic_ns() // 1000) + self.HISTORY

    def wall(self) -> timedelta:
        """Return the wall-clock time since 1970: for display and storage, never to measure durations."""
        return timedelta(microseconds=time.time_ns() // 1000)

    def check_for_step(self, now: timedelta) -> None:
        """Record a step of the wall clock.  Call it often: a step is dated to the previous check."""
        origin = self._wall_origin()
        if abs(origin - self._periods[-1].origin) >= MIN_STEP:
            self._periods.append(WallPeriod(self._last_check, origin))
            del self._periods[1:-MAX_PERIODS]
        self._last_check = now

    def from_unix_ms(self, unix_ms: int) -> timedelta:
        """Convert a wall-clock reading to monotonic time; zero if it is earlier than that or 0 (long ago).

        Of several possible times the latest is returned, but never one in the future: callers need the
        shortest time that can have passed since a worker's start.
        """
        reading = timedelta(milliseconds=unix_ms)
        end = self.now()
        self.check_for_step(end)
        for period in reversed(self._periods):
            start_time = reading - period.origin + self.HISTORY
            if start_time >= period.start - MIN_STEP:  # readings are rounded, steps dated to checks
                return min(max(start_time, timedelta()), end)
            end = period.start
        return timedelta()

    @staticmethod
    def _wall_origin() -> timedelta:
        return timedelta(microseconds=(time.time_ns() - time.monotonic_ns()) // 1000)
