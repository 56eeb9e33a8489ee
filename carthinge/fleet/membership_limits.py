"""Limits and spans of the membership protocol; spans are in periods or parts of one."""

from __future__ import annotations

from typing import Final

from carthinge.fleet.packets import LIFE_MOST

MEMBERS_MOST: Final = 4096  # known ones; the longest dead make room
THROUGH: Final = 3  # members that are asked to check another one
AGAIN_AFTER: Final = 0.15  # of a period, from a ping to the next one of the same check
THROUGH_AFTER: Final = 0.3  # of a period, until others are asked
VERDICT_AFTER: Final = 0.6  # of a period, from the first ping: one that answers within that has passed
CHECKS: Final = 3  # own ones in a row that a suspected member must fail to be dead
FANOUT: Final = 8  # members that a beat goes to, a period
AWAY: Final = 5  # periods without a turn: this process was stopped, and what it holds is out of date
REMEMBERED: Final = 3600  # periods for which the dead are known: old news must not bring them back
SYNC_EVERY: Final = 8  # periods, from one page of somebody's list to the next
FORGET_EVERY: Final = 64  # periods
JUMP: Final = 1 << 20  # by which the word of a third one may raise an incarnation at once
ABOVE: Final = LIFE_MOST // 2  # a member takes any incarnation below that from others, so that it may return
