"""Slow start with a wrong wall clock: cold upstreams are treated as cold, and warm ones soon as warm."""

from __future__ import annotations

from typing import Any

import pytest

from lanemux.core.membership import Membership
from tests.sockets import entry

SECOND = 1_000_000_000
UNIX_S = 1_700_000_000  # the true time at which the monotonic clock is 0
COLD_S = 9.0  # how long an upstream counts as cold
CLOCK_ERRORS_S = [-3600.0, -60.0, -5.0, 0.0, 5.0, 60.0, 3600.0]


def host_row(host: str, started_s: float) -> dict[str, Any]:
    """A row of the host list; `started_s` is on the monotonic clock."""
    return entry(host, born_ms=int((UNIX_S + started_s) * 1000))


def membership(clock_error_s: float) -> Membership:
    """The membership of a process whose wall clock is off by `clock_error_s`."""
    return Membership(int((UNIX_S + clock_error_s) * SECOND))


def ages_s(members: Membership, rows: list[dict[str, Any]], whole: bool, now_s: float) -> dict[str, float]:
    """The age that the balancer assumes for each upstream."""
    entries = members.apply(rows, whole, int(now_s * SECOND))
    return {e.host: now_s - e.upstream.started_ns / SECOND for e in entries}


@pytest.mark.parametrize("clock_error_s", CLOCK_ERRORS_S)
def test_an_upstream_that_starts_in_service_is_cold_whatever_the_wall_clock_says(clock_error_s: float) -> None:
    members = membership(clock_error_s)
    ages_s(members, [host_row("old-1", -5000.0), host_row("old-2", -9000.0)], True, 100.0)
    ages_s(members, [], False, 102.0)
    age = ages_s(members, [host_row("new", 102.0)], False, 103.0)["new"]
    assert age <= 1.0 + 4.0  # its true age plus the possible time between two lists
    restarted = ages_s(members, [host_row("old-1", 103.5)], False, 104.0)["old-1"]
    assert restarted <= 0.5 + 4.0


@pytest.mark.parametrize("clock_error_s", CLOCK_ERRORS_S)
def test_a_warm_upstream_is_taken_to_be_cold_no_longer_than_a_cold_one_is(clock_error_s: float) -> None:
    members = membership(clock_error_s)
    rows = [host_row(f"s{i}", -600.0 - 100 * i) for i in range(20)]
    ages_s(members, rows, True, 100.0)
    later = ages_s(members, rows, True, 100.0 + COLD_S)  # listed again after it has aged
    assert min(later.values()) >= COLD_S - 0.1


def test_a_wall_clock_an_hour_behind_makes_few_upstreams_young() -> None:
    members = membership(-3600.0)
    rows = [host_row(f"s{i}", -600.0 - 100 * i) for i in range(20)]
    first = ages_s(members, rows, True, 100.0)
    assert sum(age < COLD_S for age in first.values()) <= 2


def test_one_start_in_the_far_future_makes_no_other_upstream_old() -> None:
    members = membership(0.0)
    age = ages_s(members, [host_row("new", 99.0), host_row("rogue", 1e8)], True, 100.0)["new"]
    assert age == pytest.approx(1.0, abs=0.01)


def test_with_correct_clocks_the_announced_start_is_used() -> None:
    members = membership(0.0)
    ages_s(members, [host_row("a", 40.0)], True, 50.0)
    # Discovery was unreachable for 20 s: an upstream that started meanwhile keeps its true age.
    assert ages_s(members, [host_row("b", 55.0)], False, 70.0)["b"] == pytest.approx(15.0, abs=0.01)
    # A host that left the list and returned has not restarted.
    members.apply([{**host_row("a", 40.0), "health": "removed"}], False, 71 * SECOND)
    assert ages_s(members, [host_row("a", 40.0)], False, 80.0)["a"] == pytest.approx(40.0, abs=0.01)
