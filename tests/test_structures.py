"""Ring, line and timers beside the plain ones that they stand for, over random histories."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import pytest

from lanemux.core.removable_queue import RemovableQueue
from lanemux.core.ring import Ring, hash_id
from lanemux.core.timers import MAX_CANCELLED_KEPT, Timer, Timers


@dataclass(frozen=True)
class One:
    id: int


@pytest.mark.parametrize("seed", range(20))
def test_a_ring_is_the_sorted_list_of_its_members(seed: int) -> None:
    rng, ring, members = random.Random(seed), Ring[One](seed), set[int]()
    for _ in range(300):
        one, inside = One(rng.randrange(60)), rng.random() < 0.6
        assert ring.put(one, inside) == ((one.id in members) is not inside)
        (members.add if inside else members.discard)(one.id)
        order = sorted(members, key=lambda n: (hash_id(n, seed), n))
        assert [m.id for m in ring.members] == order
        assert ring.find(one) == (
            sorted([*order, one.id] if not inside else order, key=lambda n: (hash_id(n, seed), n)).index(one.id),
            inside,
        )


@pytest.mark.parametrize("seed", range(20))
def test_a_line_is_a_deque(seed: int) -> None:
    rng, line, plain = random.Random(seed), RemovableQueue[int](), deque[int]()
    for n in range(500):
        what = rng.randrange(5)
        if what < 2:
            (line.append, line.appendleft)[what](n)
            (plain.append, plain.appendleft)[what](n)
        elif plain and what == 2:
            assert line.popleft() == plain.popleft()
        elif plain:
            gone = rng.choice(plain)
            line.remove(gone)
            plain.remove(gone)
        assert list(line) == list(plain) and len(line) == len(plain)
        assert not plain or line.first == plain[0]
    with pytest.raises(KeyError):
        line.remove(-1)


@pytest.mark.parametrize("seed", range(20))
def test_timers_ring_in_order_and_settled_ones_never(seed: int) -> None:
    rng, timers, now = random.Random(seed), Timers[int](), 0
    plain: list[tuple[int, int]] = []
    known: dict[int, Timer[int]] = {}
    for n in range(1, 2_000):
        what = rng.random()
        if what < 0.5:
            at = now + rng.randrange(50)
            known[n] = timers.set(at, n)
            plain.append((at, n))
        elif what < 0.9 and plain:
            settled = rng.choice(plain)
            plain.remove(settled)
            timers.cancel(known[settled[1]])
            timers.cancel(known[settled[1]])  # a second time, and after it has rung, does nothing
        else:
            now += rng.randrange(20)
            due = sorted(e for e in plain if e[0] <= now)
            plain = [e for e in plain if e[0] > now]
            assert list(timers.pop_due(now)) == [number for _, number in due]
        assert len(timers) == len(plain)
        assert timers.next_ns() == min((at for at, _ in plain), default=None)
        assert timers.heap_size <= max(2 * len(plain) + 1, 2 * MAX_CANCELLED_KEPT)


def test_what_is_set_while_timers_ring_and_due_already_rings_too() -> None:
    timers = Timers[str]()
    timers.set(1, "a")
    rung = []
    for item in timers.pop_due(5):
        rung.append(item)
        if item == "a":
            timers.set(3, "b")
            timers.set(9, "c")
    assert rung == ["a", "b"] and len(timers) == 1


def test_a_hundred_thousand_settled_timers_leave_no_room_behind() -> None:
    timers = Timers[int]()
    for n in range(100_000):
        timers.cancel(timers.set(10**12 + n, n))
    assert timers.heap_size <= MAX_CANCELLED_KEPT + 2
