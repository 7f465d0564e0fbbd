"""Who is let in: bounded turns, and places by source."""

from __future__ import annotations

from lanemux.storm.connection_admission import LEAST, ConnectionAdmission

US = 1000


def test_a_turn_accepts_what_fits_its_time() -> None:
    admission = ConnectionAdmission(100, 0.5)
    for cost_us, least, most in ((10, 150, 250), (1000, LEAST, LEAST), (200, 8, 12)):
        for turn in range(60):
            now = turn * 1_000_000
            count = admission.begin_accepting(now)
            admission.end_accepting(count, now + count * cost_us * US)
        assert least <= admission.begin_accepting(0) <= most


def test_an_empty_turn_teaches_nothing() -> None:
    admission = ConnectionAdmission(100, 0.5)
    before = admission.begin_accepting(0)
    admission.end_accepting(0, 10**9)
    assert admission.begin_accepting(0) == before


def test_a_source_with_its_part_of_the_places_gives_up_its_own_silent_ones_first_come_first() -> None:
    admission = ConnectionAdmission(8, 0.5)
    for n in range(4):
        assert admission.victim("flood") is None
        admission.opened("flood", n)
    admission.opened("desk", "d")
    admission.became_active("flood", 0)  # has a request: it is nobody's place
    assert admission.victim("flood") == 1 and admission.victim("desk") is None
    admission.closed("flood", 1)
    assert admission.victim("flood") is None
    admission.opened("flood", 4)
    assert admission.victim("flood") == 2


def test_nothing_is_kept_of_who_has_left() -> None:
    admission = ConnectionAdmission(8, 0.5)
    for n in range(50):
        admission.opened(f"s{n}", n)
        if n % 2:
            admission.became_active(f"s{n}", n)
    for n in range(50):
        admission.closed(f"s{n}", n)
    assert not admission._held and not admission._silent
