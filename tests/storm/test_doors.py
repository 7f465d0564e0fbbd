"""Who is let in: bounded turns, and places by source."""

from __future__ import annotations

from lanemux.storm.doors import LEAST, Doors

US = 1000


def test_a_turn_accepts_what_fits_its_time() -> None:
    doors = Doors(100, 0.5)
    for cost_us, least, most in ((10, 150, 250), (1000, LEAST, LEAST), (200, 8, 12)):
        for turn in range(60):
            now = turn * 1_000_000
            count = doors.turn(now)
            doors.done(count, now + count * cost_us * US)
        assert least <= doors.turn(0) <= most


def test_an_empty_turn_teaches_nothing() -> None:
    doors = Doors(100, 0.5)
    before = doors.turn(0)
    doors.done(0, 10**9)
    assert doors.turn(0) == before


def test_a_source_with_its_part_of_the_places_gives_up_its_own_silent_ones_first_come_first() -> None:
    doors = Doors(8, 0.5)
    for n in range(4):
        assert doors.instead("flood") is None
        doors.entered("flood", n)
    doors.entered("desk", "d")
    doors.spoke("flood", 0)  # has a request: it is nobody's place
    assert doors.instead("flood") == 1 and doors.instead("desk") is None
    doors.left("flood", 1)
    assert doors.instead("flood") is None
    doors.entered("flood", 4)
    assert doors.instead("flood") == 2


def test_nothing_is_kept_of_who_has_left() -> None:
    doors = Doors(8, 0.5)
    for n in range(50):
        doors.entered(f"s{n}", n)
        if n % 2:
            doors.spoke(f"s{n}", n)
    for n in range(50):
        doors.left(f"s{n}", n)
    assert not doors._held and not doors._silent
