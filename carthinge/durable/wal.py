"""Distinguishes a torn end of SQLite's write-ahead log from damage in its middle.

SQLite silently ignores a log from its first invalid frame on.  That is right for an end torn by a crash,
and wrong for damage before the end: later commits, which were acknowledged, would be lost silently.
With ``synchronous=FULL`` a commit is synced before the next one begins, so a crash can tear the last commit
only.  So if two commits or more end at or after the first invalid frame, that frame was valid once.

The format: https://www.sqlite.org/fileformat2.html#walformat
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from typing import Final

LOG_HEADER: Final = Struct(">8I")  # magic, format, page size, sequence, two salts, two checksums
FRAME_HEADER: Final = Struct(">6I")  # page, database size if it ends a commit, two salts, two checksums
MAGIC: Final = 0x377F0682  # its last bit is the byte order of the checksums
UINT32_MAX: Final = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class LogFrames:
    """The frames of a log."""

    valid_frames: int  #: frames before the first invalid one
    valid_commits: int  #: commits that end in these frames
    later_commits: int  #: commits that end at or after the first invalid frame

    @property
    def damaged(self) -> bool:
        """Whether a commit that was synced cannot be read."""
        return self.later_commits > 1


def examine(log: bytes) -> LogFrames:
    """Examine a whole log; one that is empty, or has an invalid header, has no frames."""
    if len(log) < LOG_HEADER.size:
        return LogFrames(0, 0, 0)
    magic, _, page_bytes, _, salt_a, salt_b, checksum_a, checksum_b = LOG_HEADER.unpack_from(log)
    if magic & ~1 != MAGIC or page_bytes < 512 or page_bytes & (page_bytes - 1):
        return LogFrames(0, 0, 0)
    big_endian = bool(magic & 1)
    checksum = _checksum(log[:24], (0, 0), big_endian)
    if checksum != (checksum_a, checksum_b):
        return LogFrames(0, 0, 0)
    valid_frames = valid_commits = later_commits = 0
    frame_bytes = FRAME_HEADER.size + page_bytes
    valid = True
    for start in range(LOG_HEADER.size, len(log) - frame_bytes + 1, frame_bytes):
        _, database_pages, frame_salt_a, frame_salt_b, checksum_a, checksum_b = FRAME_HEADER.unpack_from(
            log, start
        )
        # A frame with other salts is from before the log was restarted.
        current = (frame_salt_a, frame_salt_b) == (salt_a, salt_b)
        if valid and current:
            frame = log[start : start + 8] + log[start + FRAME_HEADER.size : start + frame_bytes]
            checksum = _checksum(frame, checksum, big_endian)
            valid = checksum == (checksum_a, checksum_b)
        elif not current:
            valid = False
        if valid:
            valid_frames += 1
            valid_commits += database_pages > 0
        elif current:
            later_commits += database_pages > 0
    return LogFrames(valid_frames, valid_commits, later_commits)


def _checksum(data: bytes, checksum: tuple[int, int], big_endian: bool) -> tuple[int, int]:
    a, b = checksum
    words = Struct(f"{'>' if big_endian else '<'}{len(data) // 4}I").unpack(data)
    for first, second in zip(words[::2], words[1::2], strict=True):
        a = (a + first + b) & UINT32_MAX
        b = (b + second + a) & UINT32_MAX
    return a, b
