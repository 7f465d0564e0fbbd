"""The C library's allocator: how it takes memory from the system, and giving freed memory back."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

# Parameters of mallopt(3).
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
# A block from this size on is mapped by itself and unmapped when it is freed. glibc raises its own threshold to the
# largest block that was freed: later ones then lie in the heap, and one small block behind them keeps them all.
MAPPED_BLOCK_BYTES = 32 * 1024
TRIM_BYTES = 128 * 1024  # of free memory at the heap's end


def _no_trim(keep_bytes: int) -> int:
    return 0


class Allocator:
    """Sets the allocator's parameters once; where the library does not have them, nothing changes."""

    def __init__(self, load: Callable[[], Any] | None = None) -> None:
        """`load` returns the C library."""
        self._trim: Callable[[int], int] = _no_trim
        try:
            library = (load or _load_library)()
            library.mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
            library.mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
            self._trim = library.malloc_trim
        except (ImportError, OSError, AttributeError, MemoryError) as error:
            log.info("freed memory is given back late: %s", error)

    def give_back(self) -> None:
        """Give all free pages back to the system; takes some tenths of a millisecond for some megabytes."""
        self._trim(0)


def _load_library() -> Any:
    import ctypes

    return ctypes.CDLL(None)
