"""When an event loop last polled its sockets, which bounds the time of an event, and how far the loop lags."""

from __future__ import annotations

import asyncio
import gc
import selectors
import time
from collections import deque
from typing import Protocol

TICK_S = 0.005  # interval between measurements of loop lag
MIN_LOGGED_LAG_S = 0.010
MAX_LOG_ENTRIES = 10_000


class PollTimes(Protocol):
    """The times of the last three polls of a loop, in nanoseconds of its clock, the latest one last."""

    poll_times_ns: list[int]


class PollTimingSelector(selectors.EpollSelector):
    """Records when the last polls returned. An event that a poll reports had not happened at the poll before."""

    def __init__(self) -> None:
        super().__init__()
        self.poll_times_ns = [0, 0, 0]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(timeout)
        self.poll_times_ns = [*self.poll_times_ns[1:], time.monotonic_ns()]
        return ready


class LoopLagRecorder:
    """Appends the lag of a loop's timers, in nanoseconds, to a list at each tick."""

    def __init__(self, loop: asyncio.AbstractEventLoop, samples_ns: list[int]) -> None:
        self._loop, self._samples_ns = loop, samples_ns
        self._due = loop.time() + TICK_S
        self._handle = loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        self._samples_ns.append(int((now - self._due) * 1e9))
        self._due = now + TICK_S
        self._handle = self._loop.call_at(self._due, self._tick)

    def stop(self) -> None:
        """Stop measuring."""
        self._handle.cancel()


class LoopLagLog:
    """Keeps the recent lags of a loop, to answer how far it lagged in a given span."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lags: deque[tuple[float, float]] = deque(maxlen=MAX_LOG_ENTRIES)  # (loop time, lag in s)
        self._due = loop.time() + TICK_S
        self._handle = loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        if now - self._due > MIN_LOGGED_LAG_S:
            self._lags.append((now, now - self._due))
        self._due = now + TICK_S
        self._handle = self._loop.call_at(self._due, self._tick)

    def max_since_s(self, since_s: float) -> float:
        """The largest lag in s since that loop time, including a tick that is overdue now."""
        overdue_s = self._loop.time() - self._due
        return max(0.0, overdue_s, *(lag_s for at_s, lag_s in self._lags if at_s >= since_s))

    def stop(self) -> None:
        """Stop measuring."""
        self._handle.cancel()


def disable_garbage_collector() -> None:
    """Turn the cyclic garbage collector off: its passes over the growing records paused the loop for about 40 ms.

    The records are bounded by the scenario's number of asks, and the cyclic garbage of a run is small in comparison."""
    gc.collect()
    gc.freeze()
    gc.disable()
