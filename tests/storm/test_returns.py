"""When refused clients are told to come back."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from lanemux.storm.retry_schedule import Returns

MS = 1_000_000
SECOND = 1000 * MS


def mass_refusal(
    count: int, capacity: float, fresh: float, matters: float = 1.0, longest: int = 2 * SECOND
) -> Counter[int]:
    """So many refused in one instant: how many come back in each 100 ms."""
    returns = Returns(longest, False, random.Random(1))
    returns.bear(capacity, fresh)
    now = 5 * SECOND
    return Counter((now + returns.wait_ns(matters, now)) // (100 * MS) for _ in range(count))


def test_returns_come_at_what_is_borne() -> None:
    bins = mass_refusal(60, 100, 50)
    assert max(bins.values()) <= 9  # 50 a second are 5 in 100 ms; slots do not lie along the bins
    assert max(bins) - min(bins) <= 14  # and no later than they must: 60 at 50 a second


def test_what_cannot_be_borne_in_time_is_spread_over_all_of_it() -> None:
    bins = mass_refusal(2000, 100, 100)
    assert max(bins.values()) < 2.0 * 2000 / 20
    assert len(bins) >= 19


def test_some_room_is_left_for_returns_beside_any_fresh_work() -> None:
    assert sum(mass_refusal(20, 100, 1000).values()) == 20
    returns = Returns(2 * SECOND, False, random.Random(1))
    returns.bear(100, 1000)
    assert returns.borne == 25


def test_what_matters_comes_back_sooner() -> None:
    returns = Returns(2 * SECOND, False, random.Random(1))
    returns.bear(100, 0)
    waits: dict[float, list[int]] = {0.0: [], 1.0: []}
    for n in range(100):
        matters = float(n % 2)
        waits[matters].append(returns.wait_ns(matters, SECOND))
    assert sum(waits[1.0]) < 0.8 * sum(waits[0.0])


def test_time_frees_the_calendar() -> None:
    returns = Returns(2 * SECOND, False, random.Random(1))
    returns.bear(100, 0)
    late = [returns.wait_ns(1.0, SECOND) for _ in range(150)][-1]
    assert returns.wait_ns(1.0, 4 * SECOND) < late / 4


def test_whole_seconds_are_told_apart_and_keep_the_mean() -> None:
    returns = Returns(8 * SECOND, True, random.Random(1))
    returns.bear(40, 20)
    waits = [returns.wait_ns(1.0, SECOND) for _ in range(100)]
    assert all(w % SECOND == 0 and SECOND <= w <= 8 * SECOND for w in waits)
    assert len(set(waits)) >= 5  # 100 at 20 a second
    assert max(Counter(waits).values()) <= 40  # the first second has those of half a one more


@pytest.mark.parametrize("longest", [0, 1, 40 * MS, 600 * SECOND])
def test_no_wait_is_longer_than_allowed(longest: int) -> None:
    returns = Returns(longest, False, random.Random(1))
    for now in range(0, 3 * SECOND, 100 * MS):
        returns.bear(1, 100)
        assert all(0 < returns.wait_ns(m, now) <= max(64, longest) for m in (0.0, 0.5, 1.0) for _ in range(50))
