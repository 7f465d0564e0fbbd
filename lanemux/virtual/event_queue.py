"""What is to happen when, on the virtual clock. No I/O: time is a number that jumps to the next entry."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

CLOCK_START_NS = 1_000_000_000_000  # where the clock begins: as after a quarter of an hour of uptime
RUN_START_NS = CLOCK_START_NS + 1_500_000_000  # the first moment of a run; all are up by then
NEVER = 1 << 62


@dataclass(slots=True, eq=False)
class ScheduledEvent:
    """One thing that is to happen."""

    at_ns: int
    action: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


class EventQueue:
    """The clock and what is due on it."""

    def __init__(self, rng: random.Random) -> None:
        self.now_ns = CLOCK_START_NS
        self._rng = rng
        # Those of the same instant come in the order that was drawn for them.
        self._heap: list[tuple[int, float, int, ScheduledEvent]] = []
        self._sequence = 0

    def call_at(self, at_ns: int, action: Callable[[], None]) -> ScheduledEvent:
        """Do it then, or as soon as may be where that has gone by."""
        self._sequence += 1
        event = ScheduledEvent(max(at_ns, self.now_ns), action)
        heapq.heappush(self._heap, (event.at_ns, self._rng.random(), self._sequence, event))
        return event

    def call_after(self, wait_ns: int, action: Callable[[], None]) -> ScheduledEvent:
        return self.call_at(self.now_ns + wait_ns, action)

    def next_ns(self) -> int:
        """When the next entry is due; NEVER if there is none."""
        while self._heap and self._heap[0][3].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def run_next(self) -> None:
        """Do the first entry; it must be due."""
        event = heapq.heappop(self._heap)[3]
        assert event.at_ns <= self.now_ns
        event.action()
