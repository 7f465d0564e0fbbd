"""When a loop last looked at its sockets: the bounds on when something came, and how late the loop runs."""

from __future__ import annotations

import asyncio
import gc
import selectors
import time
from collections import deque
from typing import Protocol

TICK_S = 0.005  # how often lateness is measured
NOTED_LATE_S = 0.010
LATE_KEPT = 10_000  # entries


class PollTimes(Protocol):
    """The last three looks of a loop at its sockets, in nanoseconds of its clock, the latest one last."""

    poll_times_ns: list[int]


class PollTimingSelector(selectors.EpollSelector):
    """Notes when each of the last looks came back. What a look reports was not there at the one before it."""

    def __init__(self) -> None:
        super().__init__()
        self.poll_times_ns = [0, 0, 0]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(timeout)
        self.poll_times_ns = [*self.poll_times_ns[1:], time.monotonic_ns()]
        return ready


class LoopLagRecorder:
    """Measures how late a loop runs what is due."""

    def __init__(self, loop: asyncio.AbstractEventLoop, book: list[int]) -> None:
        self._loop, self._book = loop, book
        self._due = loop.time() + TICK_S
        self._handle = loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        self._book.append(int((now - self._due) * 1e9))
        self._due = now + TICK_S
        self._handle = self._loop.call_at(self._due, self._tick)

    def stop(self) -> None:
        self._handle.cancel()


class LoopLagLog:
    """How late a loop ran what was due, of late; for questions about a span."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._late: deque[tuple[float, float]] = deque(maxlen=LATE_KEPT)  # (loop's time, s late)
        self._due = loop.time() + TICK_S
        self._handle = loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        if now - self._due > NOTED_LATE_S:
            self._late.append((now, now - self._due))
        self._due = now + TICK_S
        self._handle = self._loop.call_at(self._due, self._tick)

    def max_since_s(self, since: float) -> float:
        """The most since that time of the loop, what is overdue now included."""
        overdue = self._loop.time() - self._due
        return max(0.0, overdue, *(late for at, late in self._late if at >= since))

    def stop(self) -> None:
        """Measure no more."""
        self._handle.cancel()


def disable_garbage_collector() -> None:
    """Switch the cyclic garbage collector off: passes over the growing books stood still for some 40 ms.

    The books are bounded by the scenario's asks, and what a run leaves in cycles is small beside them."""
    gc.collect()
    gc.freeze()
    gc.disable()
