"""A timer queue in which most timers are cancelled before they are due. No I/O and no clock."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")
MAX_CANCELLED_KEPT = 64  # cancelled timers that may stay in the heap: compacting a small heap is not worth it


@dataclass(slots=True, eq=False)
class Timer(Generic[Item]):
    """One timer. `item` is None once the timer was cancelled or has fired."""

    at_ns: int
    item: Item | None


class Timers(Generic[Item]):
    """A heap that is compacted once cancelled timers are the majority, so that its size is proportional to the number
    of pending timers, whatever the traffic. Timers with equal times fire in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer[Item]]] = []
        self._sequence = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """Number of pending timers."""
        return len(self._heap) - self._cancelled

    @property
    def heap_size(self) -> int:
        """Number of heap entries, including cancelled timers."""
        return len(self._heap)

    def set(self, at_ns: int, item: Item) -> Timer[Item]:
        """Add a timer that fires at `at_ns`."""
        self._sequence += 1
        timer = Timer(at_ns, item)
        heapq.heappush(self._heap, (at_ns, self._sequence, timer))
        return timer

    def cancel(self, timer: Timer[Item]) -> None:
        """Cancel a timer; no effect on one that has fired."""
        if timer.item is None:
            return
        timer.item = None
        self._cancelled += 1
        if self._cancelled > MAX_CANCELLED_KEPT and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].item is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_ns(self) -> int | None:
        """When the next timer is due; None if there is none."""
        heap = self._heap
        while heap and heap[0][2].item is None:
            heapq.heappop(heap)
            self._cancelled -= 1
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> Iterator[Item]:
        """Yield the items of due timers in order, including timers set during the iteration that are already due."""
        while (at := self.next_ns()) is not None and at <= now:
            timer = heapq.heappop(self._heap)[2]
            item, timer.item = timer.item, None
            if item is not None:
                yield item
