"""When a storm is detected, and when not."""

from __future__ import annotations

import pytest

from lanemux.storm.detector import CALM_AFTER_NS, UPDATE_INTERVAL_NS, Phase, StormDetector

MS = 1_000_000
SECOND = 1000 * MS


def play(
    detector: StormDetector, from_ns: int, for_ns: int, new_requests: float, retries: float, unserved: float
) -> list[Phase]:
    """Play requests per second, of which a share is not served; return the phases in order."""
    phases, due_new, due_retries = [detector.phase], 0.0, 0.0
    for now in range(from_ns, from_ns + for_ns, 10 * MS):
        due_new, due_retries = due_new + new_requests / 100, due_retries + retries / 100
        for retry, due in ((False, int(due_new)), (True, int(due_retries))):
            for n in range(due):
                detector.record_arrival(retry)
                detector.record_end((n + now // (10 * MS)) % 100 >= 100 * unserved)
        due_new, due_retries = due_new % 1, due_retries % 1
        if now % (100 * MS) == 0 and detector.update(now, UPDATE_INTERVAL_NS):
            phases.append(detector.phase)
    return phases


def test_refused_retries_are_detected_as_a_storm_within_a_second() -> None:
    detector = StormDetector()
    assert play(detector, 0, 5 * SECOND, 100, 2, 0.01) == [Phase.CALM]
    assert play(detector, 5 * SECOND, SECOND, 100, 100, 0.4) == [Phase.CALM, Phase.STORM]


@pytest.mark.parametrize(
    ("new_requests", "retries", "unserved"),
    [
        (1000, 5, 0.6),  # far more new requests than can be served
        (100, 100, 0.0),  # retries that are served
        (1, 3, 1.0),  # a handful
    ],
)
def test_other_load_is_no_storm(new_requests: float, retries: float, unserved: float) -> None:
    detector = StormDetector()
    play(detector, 0, 3 * SECOND, 100, 2, 0.01)
    assert play(detector, 3 * SECOND, 5 * SECOND, new_requests, retries, unserved) == [Phase.CALM]


def test_storm_subsides_before_calm_and_a_second_wave_is_detected_sooner() -> None:
    waves, shares = [], (0.2, 0.4)
    for share in shares:  # of retries: the first would be too low for a first wave
        detector = StormDetector()
        play(detector, 0, 2 * SECOND, 100, 100, 0.5)
        assert detector.phase is Phase.STORM
        assert play(detector, 2 * SECOND, SECOND, 100, 1, 0.01)[-1] is Phase.SUBSIDING
        waves.append(play(detector, 3 * SECOND, SECOND, 100, 100 * share / (1 - share), 0.5)[-1])
    assert waves == [Phase.STORM, Phase.STORM]
    first = StormDetector()
    assert play(first, 0, 3 * SECOND, 100, 25, 0.5) == [Phase.CALM]
    detector = StormDetector(Phase.SUBSIDING, 0)
    assert play(detector, 0, CALM_AFTER_NS + 200 * MS, 100, 1, 0.01) == [Phase.SUBSIDING, Phase.CALM]


def test_phase_does_not_flap() -> None:
    """Shares that oscillate around the threshold change the phase once."""
    detector, turns = StormDetector(), 0
    for second in range(20):
        turns += len(play(detector, second * SECOND, SECOND, 100, 30 if second % 2 else 40, 0.3)) - 1
    assert turns == 1
