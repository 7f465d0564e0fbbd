"""A failing script is cut down to the least that still fails."""

from __future__ import annotations

from lanemux.virtual.script import Fault, Script, as_test
from lanemux.virtual.shrink import shrink

FAULTS = tuple(
    Fault(what, who=1, at_ms=100.25 * i, for_ms=333.3)
    for i, what in enumerate(("drain", "die", "freeze", "still", "reset", "hold", "move", "kill"))
)


def needs(script: Script) -> bool:
    """Fails where a drain and a move meet, and two certain asks are sent."""
    sent = range(100) if script.asks is None else script.asks
    return {"drain", "move"} <= {f.what for f in script.faults} and {17, 63} <= set(sent)


def test_only_what_is_needed_is_left() -> None:
    least, tries = shrink(Script(9, FAULTS), 100, needs)
    assert [f.what for f in least.faults] == ["drain", "move"]
    assert least.asks == (17, 63) and least.calm
    assert all(f.for_ms == 300 and f.at_ms == round(f.at_ms) for f in least.faults)
    assert needs(least) and tries < 100


def test_shrinking_stops_when_its_tries_are_spent() -> None:
    least, tries = shrink(Script(9, FAULTS), 100, needs, most=5)
    assert tries == 5 and needs(least)


def test_a_script_is_printed_as_a_test_that_can_be_pasted() -> None:
    script = Script(9, FAULTS[:2], (3, 4), True)
    text = as_test(script)
    found: dict[str, object] = {}

    class Played:
        violations: list[str] = []

    def play(given: Script) -> Played:
        found["script"] = given
        return Played()

    exec(text + "\ntest_seed_9()", {"play": play, "Script": Script, "Fault": Fault})
    assert found["script"] == script
