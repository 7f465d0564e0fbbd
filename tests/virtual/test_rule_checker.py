"""The rule checker: which delays of a balancer are exempt, and which violations it finds."""

from __future__ import annotations

import pytest

from lanemux.rehearsal.plan import MS, SECOND, draw_plan
from lanemux.rehearsal.records import Anomaly, Attempt, BoxRecords, CallerRecords, StateSpan, Told, Try
from lanemux.virtual.rule_checker import Exemptions, RuleChecker
from lanemux.virtual.script import world_setup

GRACE = 500 * MS


def make_checker(exemptions: Exemptions | None = None) -> tuple[RuleChecker, BoxRecords, CallerRecords]:
    boxes, callers = BoxRecords(), CallerRecords()
    return (
        RuleChecker(draw_plan(world_setup(1).scenario, 1), boxes, callers, exemptions or Exemptions()),
        boxes,
        callers,
    )


def attempt(at_ns: int, name: str = "r", box: int = 0, open_ns: int = 0, how: str = "answered") -> Attempt:
    return Attempt(box, 0, name, "/rate-lookup/0", at_ns, at_ns, open_ns or at_ns + MS, open_ns or at_ns + MS, how)


def answered_try(sent_ns: int, end_ns: int, status: int = 503) -> Try:
    return Try(0, 0, "r", 0, "/rate-lookup/0", sent_ns, sent_ns + 100 * MS, end_ns, "answered", status)


def rules(checker: RuleChecker) -> list[str]:
    checker.check()
    return [v.rule for v in checker.violations]


@pytest.mark.parametrize(("late_ms", "found"), [(149, []), (151, ["lost"])])
def test_an_answer_is_in_time_or_late_by_more_than_the_grace(late_ms: int, found: list[str]) -> None:
    checker, _, callers = make_checker()
    callers.tries.append(answered_try(SECOND, SECOND + late_ms * MS))
    assert rules(checker) == found


def test_time_in_which_the_process_was_paused_does_not_count() -> None:
    exemptions = Exemptions()
    exemptions.stopped[0].append((SECOND + 50 * MS, 2 * SECOND))
    checker, _, callers = make_checker(exemptions)
    callers.tries += [answered_try(SECOND, 2 * SECOND + 90 * MS), answered_try(SECOND, 2 * SECOND + 160 * MS)]
    assert rules(checker) == ["lost"]


def test_waiting_at_the_connection_limit_does_not_count() -> None:
    for freed_ms, found in ((60, []), (40, ["lost"])):
        exemptions = Exemptions()
        exemptions.set_at_connection_limit(0, True, SECOND)
        exemptions.set_at_connection_limit(0, False, SECOND + 20 * MS)
        exemptions.set_at_connection_limit(0, True, SECOND + 20 * MS)  # the connection that ended was replaced at once
        exemptions.set_at_connection_limit(0, True, SECOND + 30 * MS)
        exemptions.set_at_connection_limit(0, False, SECOND + freed_ms * MS)
        assert exemptions.at_connection_limit[0] == [(SECOND, SECOND + freed_ms * MS)]
        checker, _, callers = make_checker(exemptions)
        callers.tries.append(answered_try(SECOND, SECOND + 200 * MS))  # 50 ms after its deadline and the grace
        assert rules(checker) == found


def rules_broken_by_send_after_drain(exemptions: Exemptions, sent_ns: int) -> list[str]:
    """The rules broken by an attempt at `sent_ns` if the drain was announced at 1 s."""
    checker, boxes, callers = make_checker(exemptions)
    callers.told.append(Told(0, 0, "draining", SECOND, 7 * SECOND))
    boxes.attempts.append(attempt(sent_ns))
    return rules(checker)


def test_a_drain_counts_from_when_it_could_be_read() -> None:
    assert rules_broken_by_send_after_drain(Exemptions(), SECOND + 549 * MS) == []
    assert rules_broken_by_send_after_drain(Exemptions(), SECOND + 551 * MS) == ["drain"]
    paused = Exemptions()
    paused.stopped[0].append((SECOND + 400 * MS, 3 * SECOND))
    assert rules_broken_by_send_after_drain(paused, 3 * SECOND + 49 * MS) == []
    assert rules_broken_by_send_after_drain(paused, 3 * SECOND + 51 * MS) == ["drain"]


def test_a_silent_link_exempts_only_until_the_news_is_due() -> None:
    silent = Exemptions()
    silent.discovery_silent[0].append((0, 60 * SECOND))
    assert rules_broken_by_send_after_drain(silent, 7 * SECOND + 549 * MS) == []
    assert rules_broken_by_send_after_drain(silent, 7 * SECOND + 551 * MS) == ["drain"]


def test_a_box_that_is_up_again_may_be_sent_to_even_if_its_drain_was_received_late() -> None:
    silent = Exemptions()
    silent.discovery_silent[0].append((0, 3 * SECOND))
    checker, boxes, callers = make_checker(silent)
    callers.told += [Told(0, 0, "draining", SECOND, 7 * SECOND), Told(0, 0, "up", 2 * SECOND, 8 * SECOND)]
    boxes.attempts.append(attempt(5 * SECOND))
    assert rules(checker) == []


def test_any_later_up_overrides_older_news() -> None:
    """Storm seed 880096: the next `up` was never written, since the box died again before the link worked."""
    silent = Exemptions()
    silent.discovery_silent[0].append((SECOND + 200 * MS, 5 * SECOND))
    checker, boxes, callers = make_checker(silent)
    callers.told += [
        Told(0, 0, "removed", SECOND, 7 * SECOND),
        Told(0, 0, "up", 0, 8 * SECOND),
        Told(0, 0, "removed", 3 * SECOND, 9 * SECOND),
        Told(0, 0, "up", 4 * SECOND, 10 * SECOND),
    ]
    boxes.attempts.append(attempt(6 * SECOND))
    assert rules(checker) == []


def test_news_on_a_silent_link_does_not_count_for_the_next_process() -> None:
    """Storm seed 957: the balancer had since restarted with a newer list."""
    silent = Exemptions()
    silent.discovery_silent[0].append((0, 5 * SECOND))
    checker, boxes, callers = make_checker(silent)
    callers.told += [Told(0, 0, "removed", SECOND, 7 * SECOND), Told(0, 0, "up", 0, 20 * SECOND)]
    callers.balancers_down.append(StateSpan(0, "down", 2 * SECOND, 3 * SECOND))
    boxes.attempts.append(attempt(6 * SECOND))
    assert rules(checker) == []


def test_two_concurrent_attempts_are_found_when_the_first_ends() -> None:
    checker, boxes, _ = make_checker()
    first = attempt(SECOND, how="")
    boxes.attempts += [first, attempt(SECOND + 10 * MS, box=1, open_ns=SECOND + 30 * MS)]
    assert rules(checker) == []
    first.how, first.open_ns = "cancelled", SECOND + 20 * MS
    assert rules(checker) == ["twice"]


def test_oddities_and_unfinished_requests_are_reported() -> None:
    checker, boxes, callers = make_checker()
    boxes.anomalies.append(Anomaly(SECOND, "cold", "pushed over", box=0))
    callers.tries.append(Try(0, 0, "r", 0, "/rate-lookup/0", SECOND))
    assert rules(checker) == ["cold"]
    checker.finish()
    assert [v.rule for v in checker.violations] == ["cold", "outcome"]
