"""The virtual clock and its event queue. No I/O: time is a number that jumps to the next scheduled event."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

CLOCK_START_NS = 1_000_000_000_000  # the clock starts as after a quarter of an hour of uptime
RUN_START_NS = CLOCK_START_NS + 1_500_000_000  # time 0 of a run; every process has started by then
NEVER = 1 << 62


@dataclass(slots=True, eq=False)
class ScheduledEvent:
    """A callback that is due at a time."""

    at_ns: int
    action: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Do not run the callback."""
        self.cancelled = True


class EventQueue:
    """The virtual clock and the events scheduled on it."""

    def __init__(self, rng: random.Random) -> None:
        self.now_ns = CLOCK_START_NS
        self._rng = rng
        # Ordered by time; events of the same instant run in randomly drawn order.
        self._heap: list[tuple[int, float, int, ScheduledEvent]] = []
        self._sequence = 0

    def call_at(self, at_ns: int, action: Callable[[], None]) -> ScheduledEvent:
        """Schedule a callback at a time, or now if that time has passed."""
        self._sequence += 1
        event = ScheduledEvent(max(at_ns, self.now_ns), action)
        heapq.heappush(self._heap, (event.at_ns, self._rng.random(), self._sequence, event))
        return event

    def call_after(self, wait_ns: int, action: Callable[[], None]) -> ScheduledEvent:
        return self.call_at(self.now_ns + wait_ns, action)

    def next_ns(self) -> int:
        """Time of the next event; NEVER if there is none."""
        while self._heap and self._heap[0][3].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def run_next(self) -> None:
        """Run the first event, which must be due."""
        event = heapq.heappop(self._heap)[3]
        assert event.at_ns <= self.now_ns
        event.action()
