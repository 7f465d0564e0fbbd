"""Cordons, readiness states and request counters: pure unit tests."""

from __future__ import annotations

import random

import pytest

from lanemux import interface as api
from lanemux.core.cordons import MAX_CORDONS, CordonRecord, Cordons
from lanemux.core.membership import Entry
from lanemux.core.readiness import Phase, Readiness
from lanemux.core.tally import Tally

SECOND = 1_000_000_000
UNIX = 1_700_000_000 * SECOND  # offset from the module's clock to Unix time
COLD = 8 * SECOND


def entry(host: str = "a", state: api.State = api.State.READY, started_ns: int = 0) -> Entry:
    return Entry(api.Upstream(7, state, started_ns=started_ns), ("127.0.0.1", 1), host)


def effective(cordons: Cordons, listed: Entry, now_ns: int) -> tuple[api.State, int]:
    upstream = cordons.effective_entries([listed], now_ns)[0].upstream
    return upstream.state, upstream.started_ns


def test_a_cordoned_upstream_drains_whatever_the_list_says_and_returns_cold() -> None:
    cordons = Cordons(UNIX, COLD)
    assert cordons.apply(cordons.new_record("a", True, UNIX + 10 * SECOND))
    assert effective(cordons, entry(), 11 * SECOND) == (api.State.DRAINING, 0)
    assert (
        effective(cordons, entry(started_ns=11 * SECOND), 12 * SECOND)[0] is api.State.DRAINING
    )  # restarted while cordoned
    assert effective(cordons, entry("b"), 12 * SECOND) == (api.State.READY, 0)
    assert effective(cordons, entry(state=api.State.GONE), 12 * SECOND)[0] is api.State.GONE
    assert cordons.apply(cordons.new_record("a", False, UNIX + 20 * SECOND))
    assert effective(cordons, entry(), 21 * SECOND) == (api.State.READY, 20 * SECOND)
    assert effective(cordons, entry(started_ns=23 * SECOND), 24 * SECOND) == (api.State.READY, 23 * SECOND)
    assert effective(cordons, entry(), 28 * SECOND) == (api.State.READY, 0)  # warm again
    cordons.discard_expired(29 * SECOND)
    assert not cordons.is_cordoned("a") and cordons.has_room("a")


def test_the_latest_record_wins_in_any_order_and_with_duplicates() -> None:
    records = [CordonRecord("a", cordoned, at) for at, cordoned in enumerate([True, False, True, True, False, True], 1)]
    for seed in range(200):
        shuffled = records * 2
        random.Random(seed).shuffle(shuffled)
        cordons = Cordons(0, COLD)
        for record in shuffled:
            cordons.apply(record)
        assert cordons.is_cordoned("a")


def test_a_wall_clock_set_back_does_not_prevent_an_uncordon() -> None:
    cordons = Cordons(UNIX, COLD)
    cordons.apply(cordons.new_record("a", True, UNIX + 100 * SECOND))
    assert cordons.apply(cordons.new_record("a", False, UNIX))
    assert not cordons.is_cordoned("a")


def test_the_table_is_bounded_and_an_uncordon_always_fits() -> None:
    cordons = Cordons(0, COLD)
    for i in range(MAX_CORDONS):
        assert cordons.apply(CordonRecord(f"h{i}", True, 1))
    assert not cordons.apply(CordonRecord("one more", True, 1)) and not cordons.has_room("one more")
    assert cordons.apply(CordonRecord("h0", False, 2))


@pytest.mark.parametrize(
    ("calls", "phase"),
    [
        ("quiesce", Phase.QUIESCING),
        ("quiesce finish_quiesce", Phase.QUIESCED),
        ("finish_quiesce", Phase.READY),
        ("resume", Phase.READY),
        ("quiesce resume", Phase.READY),
        ("quiesce finish_quiesce resume", Phase.READY),
        ("quiesce finish_quiesce quiesce", Phase.QUIESCED),
        ("end quiesce", Phase.ENDING),
        ("quiesce end resume", Phase.ENDING),
        ("quiesce end finish_quiesce", Phase.ENDING),
    ],
)
def test_readiness_allows_only_valid_transitions(calls: str, phase: Phase) -> None:
    readiness = Readiness()
    for call in calls.split():
        getattr(readiness, call)()
    assert readiness.phase is phase
    assert readiness.accepting is (phase is Phase.READY)


def test_results_are_counted_by_class_and_kind() -> None:
    tally = Tally(["read", "pay"])
    for status in (200, 200, 503, 429, 504, 500):
        tally.ended("read", status)
    assert (tally.succeeded, tally.declined, tally.aborted) == (
        {"read": 2, "pay": 0},
        {"read": 2, "pay": 0},
        {"read": 2, "pay": 0},
    )
