"""The retry schedule of refused requests."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from lanemux.storm.retry_schedule import RetrySchedule

MS = 1_000_000
SECOND = 1000 * MS


def mass_refusal(
    count: int, capacity: float, new_per_s: float, priority: float = 1.0, max_wait: int = 2 * SECOND
) -> Counter[int]:
    """Refuse `count` requests at one instant; return the number of retries in each 100 ms."""
    schedule = RetrySchedule(max_wait, False, random.Random(1))
    schedule.set_load(capacity, new_per_s)
    now = 5 * SECOND
    return Counter((now + schedule.wait_ns(priority, now)) // (100 * MS) for _ in range(count))


def test_retries_are_scheduled_at_the_free_rate() -> None:
    bins = mass_refusal(60, 100, 50)
    assert max(bins.values()) <= 9  # 50 a second are 5 in 100 ms; slots are not aligned with the bins
    assert max(bins) - min(bins) <= 14  # and no later than necessary: 60 at 50 a second


def test_excess_retries_are_spread_over_the_whole_schedule() -> None:
    bins = mass_refusal(2000, 100, 100)
    assert max(bins.values()) < 2.0 * 2000 / 20
    assert len(bins) >= 19


def test_some_capacity_is_reserved_for_retries() -> None:
    assert sum(mass_refusal(20, 100, 1000).values()) == 20
    schedule = RetrySchedule(2 * SECOND, False, random.Random(1))
    schedule.set_load(100, 1000)
    assert schedule.retries_per_s == 25


def test_higher_priority_retries_sooner() -> None:
    schedule = RetrySchedule(2 * SECOND, False, random.Random(1))
    schedule.set_load(100, 0)
    waits: dict[float, list[int]] = {0.0: [], 1.0: []}
    for n in range(100):
        priority = float(n % 2)
        waits[priority].append(schedule.wait_ns(priority, SECOND))
    assert sum(waits[1.0]) < 0.8 * sum(waits[0.0])


def test_passing_time_frees_slots() -> None:
    schedule = RetrySchedule(2 * SECOND, False, random.Random(1))
    schedule.set_load(100, 0)
    late = [schedule.wait_ns(1.0, SECOND) for _ in range(150)][-1]
    assert schedule.wait_ns(1.0, 4 * SECOND) < late / 4


def test_whole_seconds_are_spread_and_keep_the_mean() -> None:
    schedule = RetrySchedule(8 * SECOND, True, random.Random(1))
    schedule.set_load(40, 20)
    waits = [schedule.wait_ns(1.0, SECOND) for _ in range(100)]
    assert all(w % SECOND == 0 and SECOND <= w <= 8 * SECOND for w in waits)
    assert len(set(waits)) >= 5  # 100 at 20 a second
    assert max(Counter(waits).values()) <= 40  # rounding adds half a second's worth to the first


@pytest.mark.parametrize("max_wait", [0, 1, 40 * MS, 600 * SECOND])
def test_waits_respect_the_maximum(max_wait: int) -> None:
    schedule = RetrySchedule(max_wait, False, random.Random(1))
    for now in range(0, 3 * SECOND, 100 * MS):
        schedule.set_load(1, 100)
        assert all(0 < schedule.wait_ns(m, now) <= max(64, max_wait) for m in (0.0, 0.5, 1.0) for _ in range(50))
