"""The structures of `lanemux/core` beside plain ones, as a ratio in one run.

python -m bench.structures     under half a minute
"""

from __future__ import annotations

import heapq
import random
import statistics
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lanemux.core.removable_queue import RemovableQueue
from lanemux.core.ring import Ring, hash_id
from lanemux.core.timers import Timers

SIZES, ROUNDS, STEPS = (10, 1_000, 10_000), 7, 400


@dataclass(frozen=True)
class One:
    id: int


def ring(size: int, steps: list[int]) -> float:
    """One member leaves and comes back, at each step."""
    row = Ring[One](0)
    for n in range(size):
        row.put(One(n), True)

    def turns() -> None:
        for n in steps:
            row.put(One(n % size), False)
            row.put(One(n % size), True)

    return timed(turns)


def ring_plain(size: int, steps: list[int]) -> float:
    """A list of members that is sorted anew."""
    row = [One(n) for n in range(size)]

    def turns() -> None:
        for n in steps[:20]:
            row.remove(One(n % size))
            row.append(One(n % size))
            row.sort(key=lambda one: (hash_id(one.id, 0), one.id))

    return timed(turns, len(steps) / 20)


def line(size: int, steps: list[int]) -> float:
    """One from anywhere leaves, and joins at the end."""
    row = RemovableQueue[int]()
    for n in range(size):
        row.append(n)

    def turns() -> None:
        for n in steps:
            row.remove(n % size)
            row.append(n % size)

    return timed(turns)


def line_plain(size: int, steps: list[int]) -> float:
    row = deque(range(size))

    def turns() -> None:
        for n in steps:
            row.remove(n % size)
            row.append(n % size)

    return timed(turns)


def timers(size: int, steps: list[int]) -> float:
    """So many are open; at each step one is set and settled, as a request's is that is answered before it is due."""
    kept = Timers[int]()
    for n in range(size):
        kept.set(10**9 + n, n)

    def turns() -> None:
        for n in steps * 10:
            kept.cancel(kept.set(10**9 + n, n))

    return timed(turns, 0.1)


def timers_plain(size: int, steps: list[int]) -> float:
    """A heap that keeps each until it is due: 100 ms of a thousand a second."""
    heap = [(10**9 + n, n) for n in range(size)]

    def turns() -> None:
        for n in range(len(steps) * 10):
            heapq.heappush(heap, (10**9 + 100 + n, n))
            while heap[0][0] <= 10**9 + n:
                heapq.heappop(heap)

    return timed(turns, 0.1)


def timed(work: Callable[[], object], factor: float = 1.0) -> float:
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) * factor


def main() -> None:
    rng = random.Random(1)
    for made, plain in ((ring, ring_plain), (line, line_plain), (timers, timers_plain)):
        for size in SIZES:
            ratios, ours = [], []
            for _ in range(ROUNDS):
                steps = [rng.randrange(size) for _ in range(STEPS)]
                own, other = made(size, steps), plain(size, steps)
                ours.append(own / STEPS * 1e6)
                ratios.append(other / own)
            print(
                f"{made.__name__:8}{size:7} {statistics.median(ours):8.2f} us a step, plain over ours "
                f"{statistics.median(ratios):8.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
            )


if __name__ == "__main__":
    main()
