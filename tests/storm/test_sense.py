"""When a storm is told, and when not."""

from __future__ import annotations

import pytest

from lanemux.storm.detector import CALM_AFTER_NS, LOOK_NS, Gauge, Phase

MS = 1_000_000
SECOND = 1000 * MS


def play(gauge: Gauge, from_ns: int, for_ns: int, fresh: float, again: float, unserved: float) -> list[Phase]:
    """So many a second come, and of all that ends this share is not served; the phases told on the way."""
    phases, owed_fresh, owed_again = [gauge.phase], 0.0, 0.0
    for now in range(from_ns, from_ns + for_ns, 10 * MS):
        owed_fresh, owed_again = owed_fresh + fresh / 100, owed_again + again / 100
        for retry, owed in ((False, int(owed_fresh)), (True, int(owed_again))):
            for n in range(owed):
                gauge.arrived(retry)
                gauge.ended((n + now // (10 * MS)) % 100 >= 100 * unserved)
        owed_fresh, owed_again = owed_fresh % 1, owed_again % 1
        if now % (100 * MS) == 0 and gauge.look(now, LOOK_NS):
            phases.append(gauge.phase)
    return phases


def test_retries_that_meet_refusals_are_a_storm_within_a_second() -> None:
    gauge = Gauge()
    assert play(gauge, 0, 5 * SECOND, 100, 2, 0.01) == [Phase.CALM]
    assert play(gauge, 5 * SECOND, SECOND, 100, 100, 0.4) == [Phase.CALM, Phase.STORM]


@pytest.mark.parametrize(
    ("fresh", "again", "unserved"),
    [
        (1000, 5, 0.6),  # far more fresh work than can be served
        (100, 100, 0.0),  # retries that are served
        (1, 3, 1.0),  # a handful
    ],
)
def test_what_is_no_storm(fresh: float, again: float, unserved: float) -> None:
    gauge = Gauge()
    play(gauge, 0, 3 * SECOND, 100, 2, 0.01)
    assert play(gauge, 3 * SECOND, 5 * SECOND, fresh, again, unserved) == [Phase.CALM]


def test_a_storm_ebbs_before_it_is_calm_and_a_second_wave_is_met_sooner() -> None:
    waves, shares = [], (0.2, 0.4)
    for share in shares:  # of retries: the first is too little for a first wave
        gauge = Gauge()
        play(gauge, 0, 2 * SECOND, 100, 100, 0.5)
        assert gauge.phase is Phase.STORM
        assert play(gauge, 2 * SECOND, SECOND, 100, 1, 0.01)[-1] is Phase.EBB
        waves.append(play(gauge, 3 * SECOND, SECOND, 100, 100 * share / (1 - share), 0.5)[-1])
    assert waves == [Phase.STORM, Phase.STORM]
    first = Gauge()
    assert play(first, 0, 3 * SECOND, 100, 25, 0.5) == [Phase.CALM]
    gauge = Gauge(Phase.EBB, 0)
    assert play(gauge, 0, CALM_AFTER_NS + 200 * MS, 100, 1, 0.01) == [Phase.EBB, Phase.CALM]


def test_a_phase_does_not_flap() -> None:
    """Shares that swing about the line of entry turn it once."""
    gauge, turns = Gauge(), 0
    for second in range(20):
        turns += len(play(gauge, second * SECOND, SECOND, 100, 30 if second % 2 else 40, 0.3)) - 1
    assert turns == 1
