"""Slow start where the wall clock is wrong: cold upstreams stay cold, and warm ones are soon taken to be warm."""

from __future__ import annotations

from typing import Any

import pytest

from lanemux.core.membership import Membership
from tests.sockets import entry

SECOND = 1_000_000_000
UNIX_S = 1_700_000_000  # the true time when the monotonic clock stands at 0
COLD_S = 9.0  # how long an upstream is cold
WRONG_S = [-3600.0, -60.0, -5.0, 0.0, 5.0, 60.0, 3600.0]


def row(host: str, started_s: float) -> dict[str, Any]:
    """A row of the list; the start is given on the monotonic clock."""
    return entry(host, born_ms=int((UNIX_S + started_s) * 1000))


def membership(wrong_s: float) -> Membership:
    """As a process has it whose wall clock is off by so much."""
    return Membership(int((UNIX_S + wrong_s) * SECOND))


def ages_s(known: Membership, rows: list[dict[str, Any]], whole: bool, now_s: float) -> dict[str, float]:
    """How old each upstream is taken to be."""
    entries = known.apply(rows, whole, int(now_s * SECOND))
    return {e.host: now_s - e.upstream.started_ns / SECOND for e in entries}


@pytest.mark.parametrize("wrong_s", WRONG_S)
def test_an_upstream_that_starts_in_service_is_cold_whatever_the_wall_clock_says(wrong_s: float) -> None:
    known = membership(wrong_s)
    ages_s(known, [row("old-1", -5000.0), row("old-2", -9000.0)], True, 100.0)
    ages_s(known, [], False, 102.0)
    age = ages_s(known, [row("new", 102.0)], False, 103.0)["new"]
    assert age <= 1.0 + 4.0  # its true age, and what may lie between two lists
    restarted = ages_s(known, [row("old-1", 103.5)], False, 104.0)["old-1"]
    assert restarted <= 0.5 + 4.0


@pytest.mark.parametrize("wrong_s", WRONG_S)
def test_a_warm_upstream_is_taken_to_be_cold_no_longer_than_a_cold_one_is(wrong_s: float) -> None:
    known = membership(wrong_s)
    rows = [row(f"s{i}", -600.0 - 100 * i) for i in range(20)]
    ages_s(known, rows, True, 100.0)
    later = ages_s(known, rows, True, 100.0 + COLD_S)  # told again, it has aged
    assert min(later.values()) >= COLD_S - 0.1


def test_a_wall_clock_an_hour_behind_makes_few_upstreams_young() -> None:
    known = membership(-3600.0)
    rows = [row(f"s{i}", -600.0 - 100 * i) for i in range(20)]
    first = ages_s(known, rows, True, 100.0)
    assert sum(age < COLD_S for age in first.values()) <= 2


def test_one_start_in_the_far_future_makes_no_other_upstream_old() -> None:
    known = membership(0.0)
    age = ages_s(known, [row("new", 99.0), row("rogue", 1e8)], True, 100.0)["new"]
    assert age == pytest.approx(1.0, abs=0.01)


def test_with_right_clocks_a_start_is_as_old_as_it_is_told() -> None:
    known = membership(0.0)
    ages_s(known, [row("a", 40.0)], True, 50.0)
    # Discovery could not be asked for 20 s: what started meanwhile is no younger for it.
    assert ages_s(known, [row("b", 55.0)], False, 70.0)["b"] == pytest.approx(15.0, abs=0.01)
    # A host that left the list and is back has not started again.
    known.apply([{**row("a", 40.0), "health": "removed"}], False, 71 * SECOND)
    assert ages_s(known, [row("a", 40.0)], False, 80.0)["a"] == pytest.approx(40.0, abs=0.01)
