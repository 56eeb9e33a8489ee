"""Tells a torn end of SQLite's write-ahead log from a damaged middle.  Bytes in, a verdict out.

SQLite takes a log up to its first frame that does not fit, without a word.  That is right for an end that was
torn by a crash.  It is wrong for damage further up: what was committed after it, and acknowledged, would be
gone silently.  The two can be told apart, since with ``synchronous=FULL`` a commit is synced before the next
one begins: a crash can only tear the last one.  So where two commits or more begin at or after the first bad
frame, that frame was good once.

The format: https://www.sqlite.org/fileformat2.html#walformat
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from typing import Final

HEADER: Final = Struct(">8I")  # magic, format, page size, sequence, two salts, two sums
FRAME: Final = Struct(">6I")  # page, size of the database if it ends a commit, two salts, two sums
MAGIC: Final = 0x377F0682  # its last bit tells the byte order of the sums
MASK: Final = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a log holds."""

    good: int  #: frames that fit
    commits: int  #: among these
    beyond: int  #: commits at or after the first one that does not fit

    @property
    def damaged(self) -> bool:
        """Something that was committed cannot be read."""
        return self.beyond > 1


def examine(log: bytes) -> Verdict:
    """Reads a whole log; one that is empty, or whose header is torn, holds nothing."""
    if len(log) < HEADER.size:
        return Verdict(0, 0, 0)
    magic, _, page, _, salt_a, salt_b, sum_a, sum_b = HEADER.unpack_from(log)
    if magic & ~1 != MAGIC or page < 512 or page & (page - 1):
        return Verdict(0, 0, 0)
    big = bool(magic & 1)
    sums = _sums(log[:24], (0, 0), big)
    if sums != (sum_a, sum_b):
        return Verdict(0, 0, 0)
    good = commits = beyond = 0
    size = FRAME.size + page
    fits = True
    for start in range(HEADER.size, len(log) - size + 1, size):
        _, ends, its_a, its_b, sum_a, sum_b = FRAME.unpack_from(log, start)
        ours = (its_a, its_b) == (salt_a, salt_b)  # else it is from before the log was begun anew
        if fits and ours:
            frame = log[start : start + 8] + log[start + FRAME.size : start + size]
            sums = _sums(frame, sums, big)
            fits = sums == (sum_a, sum_b)
        elif not ours:
            fits = False
        if fits:
            good += 1
            commits += ends > 0
        elif ours:
            beyond += ends > 0
    return Verdict(good, commits, beyond)


def _sums(data: bytes, sums: tuple[int, int], big: bool) -> tuple[int, int]:
    a, b = sums
    words = Struct(f"{'>' if big else '<'}{len(data) // 4}I").unpack(data)
    for first, second in zip(words[::2], words[1::2], strict=True):
        a = (a + first + b) & MASK
        b = (b + second + a) & MASK
    return a, b
