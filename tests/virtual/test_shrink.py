"""A failing script is shrunk to the smallest one that still fails."""

from __future__ import annotations

from lanemux.virtual.script import Fault, Script, as_test
from lanemux.virtual.shrink import shrink

FAULTS = tuple(
    Fault(what, who=1, at_ms=100.25 * i, for_ms=333.3)
    for i, what in enumerate(("drain", "die", "freeze", "still", "reset", "hold", "move", "kill"))
)


def needs(script: Script) -> bool:
    """Fails if there are a drain and a move, and two particular requests are sent."""
    sent = range(100) if script.asks is None else script.asks
    return {"drain", "move"} <= {f.what for f in script.faults} and {17, 63} <= set(sent)


def test_only_the_necessary_faults_and_requests_remain() -> None:
    smallest, runs = shrink(Script(9, FAULTS), 100, needs)
    assert [f.what for f in smallest.faults] == ["drain", "move"]
    assert smallest.asks == (17, 63) and smallest.calm
    assert all(f.for_ms == 300 and f.at_ms == round(f.at_ms) for f in smallest.faults)
    assert needs(smallest) and runs < 100


def test_shrinking_stops_at_its_limit_of_runs() -> None:
    smallest, runs = shrink(Script(9, FAULTS), 100, needs, max_runs=5)
    assert runs == 5 and needs(smallest)


def test_a_script_is_printed_as_a_runnable_test() -> None:
    script = Script(9, FAULTS[:2], (3, 4), True)
    text = as_test(script)
    found: dict[str, object] = {}

    class SeedResult:
        violations: list[str] = []

    def play(given: Script) -> SeedResult:
        found["script"] = given
        return SeedResult()

    exec(text + "\ntest_seed_9()", {"play": play, "Script": Script, "Fault": Fault})
    assert found["script"] == script
