"""Restarts that the upstream list has not reported."""

from __future__ import annotations

import pytest

from lanemux import interface as api
from lanemux.storm.restarts import LOCAL_FAULT_MIN, MIN_DOWNTIME_NS, RestartDetector

SECOND = 1_000_000_000
FULL, DELTA = api.ListKind.FULL, api.ListKind.DELTA


def detector_for(*entries: api.Upstream) -> RestartDetector:
    detector = RestartDetector()
    detector.amend_update(api.ListUpdate(FULL, entries))
    return detector


def refuse(detector: RestartDetector, now: int, upstream: int = 7) -> None:
    assert detector.observe(upstream, api.Result.CONNECT_FAILED, now) is None


def test_answer_after_refusal_is_a_restart() -> None:
    detector = detector_for(api.Upstream(7), api.Upstream(8))
    refuse(detector, SECOND)
    assert detector.observe(8, api.Result.OK, 2 * SECOND) is None
    assert detector.observe(7, api.Result.OK, 2 * SECOND) == api.Upstream(7, started_ns=2 * SECOND)
    assert detector.observe(7, api.Result.OK, 3 * SECOND) is None  # reported once


@pytest.mark.parametrize("result", [api.Result.FULL, api.Result.ERROR])
def test_any_answer_reveals_a_restart(result: api.Result) -> None:
    detector = detector_for(api.Upstream(7))
    refuse(detector, SECOND)
    assert detector.observe(7, result, 2 * SECOND) is not None


def test_early_answer_and_inconclusive_results_reveal_no_restart() -> None:
    detector = detector_for(api.Upstream(7))
    refuse(detector, SECOND)
    refuse(detector, SECOND + MIN_DOWNTIME_NS - 2)
    assert detector.observe(7, api.Result.OK, SECOND + MIN_DOWNTIME_NS - 1) is None
    for result in (api.Result.RESET, api.Result.TIMEOUT, api.Result.CANCELLED, api.Result.NOT_SENT):
        for n in range(5):
            assert detector.observe(7, result, (4 + n) * SECOND) is None
    assert detector.observe(7, api.Result.OK, 9 * SECOND) is None


def test_refusals_by_most_upstreams_count_as_local_fault() -> None:
    detector = detector_for(*(api.Upstream(n) for n in range(10)))
    for n in range(7):
        refuse(detector, SECOND + n, n)
    assert not detector.suspects
    assert [detector.observe(n, api.Result.OK, 2 * SECOND) for n in range(7)] == [None] * 7
    for n in range(6):  # more than half of a fleet may die together
        refuse(detector, 3 * SECOND + n, n)
    assert all(detector.observe(n, api.Result.OK, 4 * SECOND) for n in range(6))


def test_two_upstreams_of_a_small_list_may_restart_together() -> None:
    detector = detector_for(*(api.Upstream(n) for n in range(LOCAL_FAULT_MIN - 1)))
    for n in range(LOCAL_FAULT_MIN - 1):
        refuse(detector, SECOND, n)
    assert all(detector.observe(n, api.Result.OK, 2 * SECOND) for n in range(LOCAL_FAULT_MIN - 1))


def test_detected_start_is_kept_until_the_list_reports_one() -> None:
    detector = detector_for(api.Upstream(7))
    refuse(detector, SECOND)
    detector.observe(7, api.Result.OK, 2 * SECOND)
    old = api.Upstream(7, weight=2.0)
    for kind in (DELTA, FULL):
        assert detector.amend_update(api.ListUpdate(kind, [old])).upstreams == [old._replace(started_ns=2 * SECOND)]
    exact = api.Upstream(7, started_ns=SECOND + 5)
    assert detector.amend_update(api.ListUpdate(DELTA, [exact])).upstreams == [exact]
    assert detector.amend_update(api.ListUpdate(DELTA, [exact])).upstreams == [exact]


def test_removed_upstreams_leave_no_state() -> None:
    detector = detector_for(api.Upstream(7), api.Upstream(8))
    detector.amend_update(api.ListUpdate(DELTA, [api.Upstream(7, api.State.GONE)]))
    refuse(detector, SECOND)
    assert detector.observe(7, api.Result.OK, 2 * SECOND) is None
    detector.amend_update(api.ListUpdate(FULL, [api.Upstream(9)]))
    assert set(detector._records) == {9} and not detector.suspects
