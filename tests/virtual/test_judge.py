"""What a balancer is excused for, and what it is not."""

from __future__ import annotations

import pytest

from lanemux.rehearsal.plan import MS, SECOND, draw_plan
from lanemux.rehearsal.records import Anomaly, Attempt, BoxRecords, CallerRecords, StateSpan, Told, Try
from lanemux.virtual.rule_checker import Exemptions, RuleChecker
from lanemux.virtual.script import world_setup

GRACE = 500 * MS


def checker(exemptions: Exemptions | None = None) -> tuple[RuleChecker, BoxRecords, CallerRecords]:
    boxes, callers = BoxRecords(), CallerRecords()
    return RuleChecker(draw_plan(world_setup(1).scenario, 1), boxes, callers, exemptions or Exemptions()), boxes, callers


def attempt(at_ns: int, name: str = "r", box: int = 0, open_ns: int = 0, how: str = "answered") -> Attempt:
    return Attempt(box, 0, name, "/rate-lookup/0", at_ns, at_ns, open_ns or at_ns + MS, open_ns or at_ns + MS, how)


def answer(sent_ns: int, end_ns: int, status: int = 503) -> Try:
    return Try(0, 0, "r", 0, "/rate-lookup/0", sent_ns, sent_ns + 100 * MS, end_ns, "answered", status)


def rules(made: RuleChecker) -> list[str]:
    made.check()
    return [v.rule for v in made.violations]


@pytest.mark.parametrize(("late_ms", "found"), [(149, []), (151, ["lost"])])
def test_an_answer_is_in_time_or_late_by_more_than_the_grace(late_ms: int, found: list[str]) -> None:
    made, _, callers = checker()
    callers.tries.append(answer(SECOND, SECOND + late_ms * MS))
    assert rules(made) == found


def test_the_time_that_a_process_stood_still_does_not_count() -> None:
    exemptions = Exemptions()
    exemptions.stopped[0].append((SECOND + 50 * MS, 2 * SECOND))
    made, _, callers = checker(exemptions)
    callers.tries += [answer(SECOND, 2 * SECOND + 90 * MS), answer(SECOND, 2 * SECOND + 160 * MS)]
    assert rules(made) == ["lost"]


def test_who_waits_while_all_places_are_taken_has_not_been_taken() -> None:
    for freed_ms, found in ((60, []), (40, ["lost"])):
        exemptions = Exemptions()
        exemptions.set_at_connection_limit(0, True, SECOND)
        exemptions.set_at_connection_limit(0, False, SECOND + 20 * MS)
        exemptions.set_at_connection_limit(0, True, SECOND + 20 * MS)  # the place that came free was taken at once
        exemptions.set_at_connection_limit(0, True, SECOND + 30 * MS)
        exemptions.set_at_connection_limit(0, False, SECOND + freed_ms * MS)
        assert exemptions.at_connection_limit[0] == [(SECOND, SECOND + freed_ms * MS)]
        made, _, callers = checker(exemptions)
        callers.tries.append(answer(SECOND, SECOND + 200 * MS))  # 50 ms after its time and the grace
        assert rules(made) == found


def drained(exemptions: Exemptions, sent_ns: int) -> list[str]:
    """Told at one second; sent then."""
    made, boxes, callers = checker(exemptions)
    callers.told.append(Told(0, 0, "draining", SECOND, 7 * SECOND))
    boxes.attempts.append(attempt(sent_ns))
    return rules(made)


def test_a_drain_counts_from_when_it_could_be_read() -> None:
    assert drained(Exemptions(), SECOND + 549 * MS) == []
    assert drained(Exemptions(), SECOND + 551 * MS) == ["drain"]
    still = Exemptions()
    still.stopped[0].append((SECOND + 400 * MS, 3 * SECOND))
    assert drained(still, 3 * SECOND + 49 * MS) == []
    assert drained(still, 3 * SECOND + 51 * MS) == ["drain"]


def test_a_silent_link_excuses_no_longer_than_until_the_news_counts_as_told() -> None:
    silent = Exemptions()
    silent.discovery_silent[0].append((0, 60 * SECOND))
    assert drained(silent, 7 * SECOND + 549 * MS) == []
    assert drained(silent, 7 * SECOND + 551 * MS) == ["drain"]


def test_a_box_that_is_up_again_may_be_sent_to_though_its_drain_was_heard_late() -> None:
    silent = Exemptions()
    silent.discovery_silent[0].append((0, 3 * SECOND))
    made, boxes, callers = checker(silent)
    callers.told += [Told(0, 0, "draining", SECOND, 7 * SECOND), Told(0, 0, "up", 2 * SECOND, 8 * SECOND)]
    boxes.attempts.append(attempt(5 * SECOND))
    assert rules(made) == []


def test_news_is_overtaken_by_any_later_up_and_not_only_by_the_next() -> None:
    """Storm seed 880096: the next `up` was never written, since the box had died once more before the link spoke."""
    silent = Exemptions()
    silent.discovery_silent[0].append((SECOND + 200 * MS, 5 * SECOND))
    made, boxes, callers = checker(silent)
    callers.told += [
        Told(0, 0, "removed", SECOND, 7 * SECOND),
        Told(0, 0, "up", 0, 8 * SECOND),
        Told(0, 0, "removed", 3 * SECOND, 9 * SECOND),
        Told(0, 0, "up", 4 * SECOND, 10 * SECOND),
    ]
    boxes.attempts.append(attempt(6 * SECOND))
    assert rules(made) == []


def test_news_on_a_silent_link_does_not_count_for_the_process_after_it() -> None:
    """Storm seed 957: the balancer had started again since, with a newer list."""
    silent = Exemptions()
    silent.discovery_silent[0].append((0, 5 * SECOND))
    made, boxes, callers = checker(silent)
    callers.told += [Told(0, 0, "removed", SECOND, 7 * SECOND), Told(0, 0, "up", 0, 20 * SECOND)]
    callers.balancers_down.append(StateSpan(0, "down", 2 * SECOND, 3 * SECOND))
    boxes.attempts.append(attempt(6 * SECOND))
    assert rules(made) == []


def test_two_attempts_out_at_once_are_found_when_the_first_ends() -> None:
    made, boxes, _ = checker()
    first = attempt(SECOND, how="")
    boxes.attempts += [first, attempt(SECOND + 10 * MS, box=1, open_ns=SECOND + 30 * MS)]
    assert rules(made) == []
    first.how, first.open_ns = "cancelled", SECOND + 20 * MS
    assert rules(made) == ["twice"]


def test_oddities_and_requests_without_an_end_are_told() -> None:
    made, boxes, callers = checker()
    boxes.anomalies.append(Anomaly(SECOND, "cold", "pushed over", box=0))
    callers.tries.append(Try(0, 0, "r", 0, "/rate-lookup/0", SECOND))
    assert rules(made) == ["cold"]
    made.finish()
    assert [v.rule for v in made.violations] == ["cold", "outcome"]
