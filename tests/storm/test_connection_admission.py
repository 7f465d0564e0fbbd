"""Connection admission: limited accepts per turn, and slots per source."""

from __future__ import annotations

from lanemux.storm.connection_admission import MIN_ACCEPTS, ConnectionAdmission

US = 1000


def test_accepts_per_turn_follow_the_measured_cost() -> None:
    admission = ConnectionAdmission(100, 0.5)
    for cost_us, least, most in ((10, 150, 250), (1000, MIN_ACCEPTS, MIN_ACCEPTS), (200, 8, 12)):
        for turn in range(60):
            now = turn * 1_000_000
            count = admission.begin_accepting(now)
            admission.end_accepting(count, now + count * cost_us * US)
        assert least <= admission.begin_accepting(0) <= most


def test_turn_without_accepts_leaves_the_cost_estimate() -> None:
    admission = ConnectionAdmission(100, 0.5)
    before = admission.begin_accepting(0)
    admission.end_accepting(0, 10**9)
    assert admission.begin_accepting(0) == before


def test_source_at_its_share_loses_its_own_oldest_silent_connections() -> None:
    admission = ConnectionAdmission(8, 0.5)
    for n in range(4):
        assert admission.victim("flood") is None
        admission.opened("flood", n)
    admission.opened("desk", "d")
    admission.became_active("flood", 0)  # it has a request, so it is not evicted
    assert admission.victim("flood") == 1 and admission.victim("desk") is None
    admission.closed("flood", 1)
    assert admission.victim("flood") is None
    admission.opened("flood", 4)
    assert admission.victim("flood") == 2


def test_closed_connections_leave_no_state() -> None:
    admission = ConnectionAdmission(8, 0.5)
    for n in range(50):
        admission.opened(f"s{n}", n)
        if n % 2:
            admission.became_active(f"s{n}", n)
    for n in range(50):
        admission.closed(f"s{n}", n)
    assert not admission._open_by_source and not admission._silent_by_source
