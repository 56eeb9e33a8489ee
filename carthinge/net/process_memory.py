"""The memory of this process, as the system counts it."""

from __future__ import annotations

import ctypes
import resource
from pathlib import Path
from typing import Final, NamedTuple

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE
STATM_PATH: Final = Path("/proc/self/statm")
MIN_FREE_BYTES: Final = 5 * MEBIBYTE  # less would serve nobody, however small the limit is
SUCCESSOR_WORKING_BYTES: Final = 4 * MEBIBYTE  # its connections and buffers, beside what it holds for clients
M_MMAP_THRESHOLD: Final = -3  # from malloc.h, as the next one
M_MMAP_MAX: Final = -4
MAPPED_BLOCK_BYTES: Final = 32 * KIBIBYTE
MAX_MAPPED_BLOCKS: Final = 16_384  # a process may have 65,530 mappings on Linux


class ProcessMemory(NamedTuple):
    """The resident memory of a process, in bytes."""

    total: int
    private: int  #: what is not shared with other processes of the same program


ASSUMED_MEMORY: Final = ProcessMemory(40 * MEBIBYTE, 25 * MEBIBYTE)  # where it cannot be read


def measure() -> ProcessMemory:
    """Return the resident memory of this process."""
    try:
        _, resident, shared, *_ = map(int, STATM_PATH.read_bytes().split())
    except (OSError, ValueError):
        return ASSUMED_MEMORY
    page = resource.getpagesize()
    return ProcessMemory(resident * page, (resident - shared) * page)


def free_bytes(memory_mb: int, may_have_successor: bool) -> int:
    """Return the memory that is left of a limit, to be called at the start of the process.

    ``may_have_successor``: a new version may be started beside this process.  Both count towards the limit,
    and the new one takes its room before it can tell this one that it is there.
    """
    used = measure()
    successor = used.private + SUCCESSOR_WORKING_BYTES if may_have_successor else 0
    return max(MIN_FREE_BYTES, memory_mb * MEBIBYTE - used.total - successor)


def return_large_blocks() -> None:
    """Have the C library return large blocks to the system as soon as they are freed, where it can do that.

    By default it keeps them in a heap, where one block that is still in use keeps all free ones before it
    resident.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        mallopt(M_MMAP_MAX, MAX_MAPPED_BLOCKS)
