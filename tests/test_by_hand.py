"""Upstreams out by hand, and the front's states: pure."""

from __future__ import annotations

import random

import pytest

from lanemux import interface as api
from lanemux.core.cordons import MAX_CORDONS, CordonRecord, Cordons
from lanemux.core.membership import Entry
from lanemux.core.readiness import Phase, Readiness
from lanemux.core.tally import Tally

SECOND = 1_000_000_000
UNIX = 1_700_000_000 * SECOND  # what the module's clock is behind Unix time
COLD = 8 * SECOND


def entry(host: str = "a", state: api.State = api.State.READY, started_ns: int = 0) -> Entry:
    return Entry(api.Upstream(7, state, started_ns=started_ns), ("127.0.0.1", 1), host)


def seen(cordons: Cordons, told: Entry, now_ns: int) -> tuple[api.State, int]:
    upstream = cordons.effective_entries([told], now_ns)[0].upstream
    return upstream.state, upstream.started_ns


def test_who_is_out_drains_whatever_the_list_says_and_comes_back_cold() -> None:
    cordons = Cordons(UNIX, COLD)
    assert cordons.apply(cordons.new_record("a", True, UNIX + 10 * SECOND))
    assert seen(cordons, entry(), 11 * SECOND) == (api.State.DRAINING, 0)
    assert seen(cordons, entry(started_ns=11 * SECOND), 12 * SECOND)[0] is api.State.DRAINING  # it was restarted
    assert seen(cordons, entry("b"), 12 * SECOND) == (api.State.READY, 0)
    assert seen(cordons, entry(state=api.State.GONE), 12 * SECOND)[0] is api.State.GONE
    assert cordons.apply(cordons.new_record("a", False, UNIX + 20 * SECOND))
    assert seen(cordons, entry(), 21 * SECOND) == (api.State.READY, 20 * SECOND)
    assert seen(cordons, entry(started_ns=23 * SECOND), 24 * SECOND) == (api.State.READY, 23 * SECOND)
    assert seen(cordons, entry(), 28 * SECOND) == (api.State.READY, 0)  # warm again
    cordons.discard_expired(29 * SECOND)
    assert not cordons.is_cordoned("a") and cordons.has_room("a")


def test_the_later_word_holds_in_whatever_order_and_however_often_words_are_heard() -> None:
    words = [CordonRecord("a", out, at) for at, out in enumerate([True, False, True, True, False, True], 1)]
    for seed in range(200):
        mixed = words * 2
        random.Random(seed).shuffle(mixed)
        cordons = Cordons(0, COLD)
        for word in mixed:
            cordons.apply(word)
        assert cordons.is_cordoned("a")


def test_a_wall_clock_that_was_set_back_does_not_undo_a_call() -> None:
    cordons = Cordons(UNIX, COLD)
    cordons.apply(cordons.new_record("a", True, UNIX + 100 * SECOND))
    assert cordons.apply(cordons.new_record("a", False, UNIX))
    assert not cordons.is_cordoned("a")


def test_the_table_is_bounded_and_a_call_back_finds_room() -> None:
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
def test_the_front_changes_only_in_legal_ways(calls: str, phase: Phase) -> None:
    readiness = Readiness()
    for call in calls.split():
        getattr(readiness, call)()
    assert readiness.phase is phase
    assert readiness.accepting is (phase is Phase.READY)


def test_ends_are_counted_by_class_and_kind() -> None:
    tally = Tally(["read", "pay"])
    for status in (200, 200, 503, 429, 504, 500):
        tally.ended("read", status)
    assert (tally.succeeded, tally.declined, tally.aborted) == (
        {"read": 2, "pay": 0},
        {"read": 2, "pay": 0},
        {"read": 2, "pay": 0},
    )
