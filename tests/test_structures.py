"""Ring, removable queue and timers, compared with naive implementations over random histories."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import pytest

from lanemux.core.removable_queue import RemovableQueue
from lanemux.core.ring import Ring, hash_id
from lanemux.core.timers import MAX_CANCELLED_KEPT, Timer, Timers


@dataclass(frozen=True)
class Node:
    id: int


@pytest.mark.parametrize("seed", range(20))
def test_a_ring_is_the_sorted_list_of_its_members(seed: int) -> None:
    rng, ring, members = random.Random(seed), Ring[Node](seed), set[int]()
    for _ in range(300):
        node, inside = Node(rng.randrange(60)), rng.random() < 0.6
        assert ring.put(node, inside) == ((node.id in members) is not inside)
        (members.add if inside else members.discard)(node.id)
        order = sorted(members, key=lambda n: (hash_id(n, seed), n))
        assert [m.id for m in ring.members] == order
        assert ring.find(node) == (
            sorted([*order, node.id] if not inside else order, key=lambda n: (hash_id(n, seed), n)).index(node.id),
            inside,
        )


@pytest.mark.parametrize("seed", range(20))
def test_a_removable_queue_behaves_like_a_deque(seed: int) -> None:
    rng, queue, naive = random.Random(seed), RemovableQueue[int](), deque[int]()
    for n in range(500):
        operation = rng.randrange(5)
        if operation < 2:
            (queue.append, queue.appendleft)[operation](n)
            (naive.append, naive.appendleft)[operation](n)
        elif naive and operation == 2:
            assert queue.popleft() == naive.popleft()
        elif naive:
            gone = rng.choice(naive)
            queue.remove(gone)
            naive.remove(gone)
        assert list(queue) == list(naive) and len(queue) == len(naive)
        assert not naive or queue.first == naive[0]
    with pytest.raises(KeyError):
        queue.remove(-1)


@pytest.mark.parametrize("seed", range(20))
def test_timers_fire_in_order_and_cancelled_timers_never_fire(seed: int) -> None:
    rng, timers, now = random.Random(seed), Timers[int](), 0
    naive: list[tuple[int, int]] = []
    known: dict[int, Timer[int]] = {}
    for n in range(1, 2_000):
        operation = rng.random()
        if operation < 0.5:
            at = now + rng.randrange(50)
            known[n] = timers.set(at, n)
            naive.append((at, n))
        elif operation < 0.9 and naive:
            cancelled = rng.choice(naive)
            naive.remove(cancelled)
            timers.cancel(known[cancelled[1]])
            timers.cancel(known[cancelled[1]])  # no effect when repeated or after the timer has fired
        else:
            now += rng.randrange(20)
            due = sorted(e for e in naive if e[0] <= now)
            naive = [e for e in naive if e[0] > now]
            assert list(timers.pop_due(now)) == [number for _, number in due]
        assert len(timers) == len(naive)
        assert timers.next_ns() == min((at for at, _ in naive), default=None)
        assert timers.heap_size <= max(2 * len(naive) + 1, 2 * MAX_CANCELLED_KEPT)


def test_a_due_timer_set_while_timers_fire_fires_too() -> None:
    timers = Timers[str]()
    timers.set(1, "a")
    fired = []
    for item in timers.pop_due(5):
        fired.append(item)
        if item == "a":
            timers.set(3, "b")
            timers.set(9, "c")
    assert fired == ["a", "b"] and len(timers) == 1


def test_a_hundred_thousand_cancelled_timers_use_no_memory() -> None:
    timers = Timers[int]()
    for n in range(100_000):
        timers.cancel(timers.set(10**12 + n, n))
    assert timers.heap_size <= MAX_CANCELLED_KEPT + 2
