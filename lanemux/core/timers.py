"""Timers by time, most of which are settled before they are due. No I/O and no clock."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")
MAX_CANCELLED_KEPT = 64  # settled ones left in the heap before it is looked through: a small heap is not worth it


@dataclass(slots=True, eq=False)
class Timer(Generic[Item]):
    """One timer that was set; without an item it is settled or has rung."""

    at_ns: int
    item: Item | None


class Timers(Generic[Item]):
    """A heap from which settled timers are taken out once they are the greater part, so that it stays as
    long as what is open, whatever the traffic; those of one time ring in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer[Item]]] = []
        self._count = 0
        self._settled = 0

    def __len__(self) -> int:
        """Those that are set and have neither rung nor been settled."""
        return len(self._heap) - self._settled

    @property
    def heap_size(self) -> int:
        """All that take room, settled ones included."""
        return len(self._heap)

    def set(self, at_ns: int, item: Item) -> Timer[Item]:
        self._count += 1
        timer = Timer(at_ns, item)
        heapq.heappush(self._heap, (at_ns, self._count, timer))
        return timer

    def cancel(self, timer: Timer[Item]) -> None:
        """It need not ring any more; of no effect on one that has rung."""
        if timer.item is None:
            return
        timer.item = None
        self._settled += 1
        if self._settled > MAX_CANCELLED_KEPT and 2 * self._settled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].item is not None]
            heapq.heapify(self._heap)
            self._settled = 0

    def next_ns(self) -> int | None:
        """When the next one rings; None if there is none."""
        heap = self._heap
        while heap and heap[0][2].item is None:
            heapq.heappop(heap)
            self._settled -= 1
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> Iterator[Item]:
        """What is due by now, one after the other; what is set meanwhile and due already rings as well."""
        while (at := self.next_ns()) is not None and at <= now:
            timer = heapq.heappop(self._heap)[2]
            item, timer.item = timer.item, None
            if item is not None:
                yield item
