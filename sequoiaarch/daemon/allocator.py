"""Keep the memory of many threads small."""

from __future__ import annotations

import contextlib
import ctypes

# Parameters of mallopt in glibc's malloc.h.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
MMAP_THRESHOLD_BYTES = 128 * 1024
MAX_ARENAS = 2


def bound_arenas() -> None:
    """Return freed bodies to the system, where the C library is glibc.

    By default each thread has an arena of its own, which keeps what was freed, and the
    size from which blocks are mapped rises with the longest one.
    """
    with contextlib.suppress(AttributeError, OSError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(M_ARENA_MAX, MAX_ARENAS)
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
