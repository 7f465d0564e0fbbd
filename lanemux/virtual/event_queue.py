"""What is to happen when, on the virtual clock. No I/O: time is a number that jumps to the next entry."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

START_NS = 1_000_000_000_000  # where the clock begins: as after a quarter of an hour of uptime
ZERO_NS = START_NS + 1_500_000_000  # the first moment of a run; all are up by then
NEVER = 1 << 62


@dataclass(slots=True, eq=False)
class Entry:
    """One thing that is to happen."""

    at_ns: int
    do: Callable[[], None]
    off: bool = False

    def cancel(self) -> None:
        self.off = True


class EventQueue:
    """The clock and what is due on it."""

    def __init__(self, rng: random.Random) -> None:
        self.now_ns = START_NS
        self._rng = rng
        # Those of the same instant come in the order that was drawn for them.
        self._entries: list[tuple[int, float, int, Entry]] = []
        self._count = 0

    def at(self, at_ns: int, do: Callable[[], None]) -> Entry:
        """Do it then, or as soon as may be where that has gone by."""
        self._count += 1
        entry = Entry(max(at_ns, self.now_ns), do)
        heapq.heappush(self._entries, (entry.at_ns, self._rng.random(), self._count, entry))
        return entry

    def after(self, wait_ns: int, do: Callable[[], None]) -> Entry:
        return self.at(self.now_ns + wait_ns, do)

    def next_ns(self) -> int:
        """When the next entry is due; NEVER if there is none."""
        while self._entries and self._entries[0][3].off:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else NEVER

    def run_one(self) -> None:
        """Do the first entry; it must be due."""
        entry = heapq.heappop(self._entries)[3]
        assert entry.at_ns <= self.now_ns
        entry.do()
