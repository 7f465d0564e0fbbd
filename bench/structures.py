"""Speed of the data structures of `lanemux/core` against simple ones, as a ratio within one run.

python -m bench.structures     takes less than half a minute
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
class Member:
    id: int


def ring(size: int, steps: list[int]) -> float:
    """At each step one member leaves the ring and joins again."""
    members = Ring[Member](0)
    for n in range(size):
        members.put(Member(n), True)

    def run() -> None:
        for n in steps:
            members.put(Member(n % size), False)
            members.put(Member(n % size), True)

    return timed(run)


def ring_plain(size: int, steps: list[int]) -> float:
    """A list of members that is sorted after each change."""
    members = [Member(n) for n in range(size)]

    def run() -> None:
        for n in steps[:20]:
            members.remove(Member(n % size))
            members.append(Member(n % size))
            members.sort(key=lambda member: (hash_id(member.id, 0), member.id))

    return timed(run, len(steps) / 20)


def line(size: int, steps: list[int]) -> float:
    """At each step an entry is removed from anywhere and appended again."""
    queue = RemovableQueue[int]()
    for n in range(size):
        queue.append(n)

    def run() -> None:
        for n in steps:
            queue.remove(n % size)
            queue.append(n % size)

    return timed(run)


def line_plain(size: int, steps: list[int]) -> float:
    """The same with a deque."""
    queue = deque(range(size))

    def run() -> None:
        for n in steps:
            queue.remove(n % size)
            queue.append(n % size)

    return timed(run)


def timers(size: int, steps: list[int]) -> float:
    """At each step one timer is set and cancelled, like that of a request answered in time; `size` others stay set."""
    timer_queue = Timers[int]()
    for n in range(size):
        timer_queue.set(10**9 + n, n)

    def run() -> None:
        for n in steps * 10:
            timer_queue.cancel(timer_queue.set(10**9 + n, n))

    return timed(run, 0.1)


def timers_plain(size: int, steps: list[int]) -> float:
    """A heap that keeps each timer until it expires: those of 100 ms at a thousand a second."""
    heap = [(10**9 + n, n) for n in range(size)]

    def run() -> None:
        for n in range(len(steps) * 10):
            heapq.heappush(heap, (10**9 + 100 + n, n))
            while heap[0][0] <= 10**9 + n:
                heapq.heappop(heap)

    return timed(run, 0.1)


def timed(work: Callable[[], object], factor: float = 1.0) -> float:
    """Run the work and return its time in seconds, multiplied by the factor."""
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) * factor


def main() -> None:
    rng = random.Random(1)
    for measure, measure_plain in ((ring, ring_plain), (line, line_plain), (timers, timers_plain)):
        for size in SIZES:
            ratios, ours = [], []
            for _ in range(ROUNDS):
                steps = [rng.randrange(size) for _ in range(STEPS)]
                own, other = measure(size, steps), measure_plain(size, steps)
                ours.append(own / STEPS * 1e6)
                ratios.append(other / own)
            print(
                f"{measure.__name__:8}{size:7} {statistics.median(ours):8.2f} us a step, plain over ours "
                f"{statistics.median(ratios):8.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
            )


if __name__ == "__main__":
    main()
