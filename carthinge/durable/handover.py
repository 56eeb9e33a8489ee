"""The store passes from one process of a scheduler to the next, and back where that one ends.

The next one recovers open jobs from the store as after a crash, so that there is one way in which jobs change
hands.  What makes it more than a crash: nothing is under way when the store changes hands, all is written
down, and the clients who wait follow with their connections (scheduler/upgrade.py).
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from carthinge.durable.errors import StoreError
from carthinge.durable.jobs import DurableJobs
from carthinge.net.exchange import Attempt

CALM_WITHIN: Final = timedelta(milliseconds=500)  # of asking; what is under way then counts as perhaps sent
CALM_CHECKED: Final = timedelta(milliseconds=10)
TAKEN_BACK_WITHIN: Final = timedelta(seconds=5)  # one that is being killed has the store a moment longer


def hand_over(jobs: DurableJobs, busy: Callable[[Attempt], bool], done: Callable[[bool], None]) -> None:
    """Lets go of the store; ``done`` hears whether another process may have it now.

    ``busy``: an attempt is on its way to its worker, and gets a moment to arrive there.
    """
    clock = jobs.loop.clock
    jobs.leaving = True
    until = clock.now() + CALM_WITHIN

    def try_to() -> None:
        writer = jobs.writer
        if writer is None or writer.failing or not jobs.leaving:
            done(False)
        elif not jobs.loaded or jobs.under_way(busy) and clock.now() < until:
            jobs.loop.call_after(CALM_CHECKED, try_to)
        elif writer.stop(CALM_WITHIN):
            jobs.close()
            jobs.forget_all()
            done(True)
        else:
            writer.start()
            done(False)

    try_to()


def take_back(jobs: DurableJobs, opened: Callable[[], None]) -> None:
    """The other process has ended: goes on from the store, as that has left it; ``opened`` once that is had.

    StoreError, from the loop, where it cannot be had.
    """
    clock = jobs.loop.clock
    if jobs.writer is not None:
        jobs.close()
        jobs.forget_all()
    jobs.leaving = False
    until = clock.now() + TAKEN_BACK_WITHIN

    def try_to() -> None:
        try:
            jobs.open()
        except StoreError:
            if clock.now() >= until:
                raise
            jobs.loop.call_after(CALM_CHECKED, try_to)
        else:
            opened()

    try_to()
