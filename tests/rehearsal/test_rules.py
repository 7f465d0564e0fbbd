"""The rules' checker on books written by hand: what proves a broken rule, and what excuses."""

from __future__ import annotations

import dataclasses
from dataclasses import replace

from lanemux.rehearsal.command import find_scenario
from lanemux.rehearsal.plan import MS, draw_plan
from lanemux.rehearsal.records import Anomaly, Attempt, BoxRecords, CallerRecords, StateSpan, Told, Try
from lanemux.rehearsal.rules import Violation, find_violations, violation_counts

PLAN = draw_plan(find_scenario("calm-short"), 1)
T = 1000 * MS


def attempt(
    box: int,
    whole: int,
    open_: int,
    how: str = "answered",
    name: str = "a",
    digest: str = "d",
    balancer: int = 0,
    first: int | None = None,
) -> Attempt:
    return Attempt(box, balancer, name, "/", whole if first is None else first, whole, open_, open_, how, digest)


def served(name: str = "a", digest: str = "d", how: str = "answered", status: int = 200) -> Try:
    return Try(0, 0, name, 0, "/", T, T + 300 * MS, T + 100 * MS, how, status, digest)


def found(
    attempts: list[Attempt],
    tries: list[Try],
    told: list[Told] | None = None,
    down: list[StateSpan] | None = None,
    anomalies: list[Anomaly] | None = None,
) -> list[Violation]:
    return find_violations(
        PLAN,
        BoxRecords(attempts=attempts),
        CallerRecords(tries=tries, told=told or [], balancers_down=down or [], anomalies=anomalies or []),
    )


def test_an_honest_request_breaks_nothing() -> None:
    assert found([attempt(0, T + MS, T + 90 * MS)], [served()]) == []
    assert (
        found([attempt(0, T + MS, T + 9 * MS, "declined", digest=""), attempt(1, T + 10 * MS, T + 90 * MS)], [served()])
        == []
    )


def test_a_body_that_was_made_for_another_request_is_lost() -> None:
    (broken,) = found(
        [attempt(0, T, T + 90 * MS), attempt(1, T, T + 90 * MS, name="b", digest="e")], [served(digest="e")]
    )
    assert broken.rule == "lost" and broken.request == "a" and PLAN.boxes[0].host in broken.proof
    assert [v.rule for v in found([], [served()])] == ["lost"]  # nor one that no box made


def test_no_answer_and_a_connection_that_ends_without_one_are_lost() -> None:
    assert [v.rule for v in found([], [served(how="silent", status=0), served(how="lost", status=0)])] == ["lost"] * 2


def test_who_left_who_found_no_balancer_and_what_a_killed_balancer_held_are_not_lost() -> None:
    assert found([], [served(how="left", status=0), served(how="refused", status=0)]) == []
    unsent = dataclasses.replace(served(how="lost", status=0), sent_ns=0)
    assert found([], [unsent]) == []
    killed = [StateSpan(0, "down", T + 50 * MS, T + 400 * MS)]
    assert found([], [served(how="lost", status=0)], down=killed) == []
    assert len(found([], [served(how="lost", status=0)], down=[StateSpan(1, "down", T, T + 400 * MS)])) == 1


def test_two_attempts_at_once_are_proved_by_the_first_still_open_when_the_second_is_whole() -> None:
    both = [attempt(0, T, T + 90 * MS), attempt(1, T + 50 * MS, T + 95 * MS)]
    (broken,) = found(both, [served()])
    assert broken.rule == "twice" and broken.box == PLAN.boxes[1].host


def test_a_close_that_a_frozen_box_saw_late_excuses() -> None:
    # Closed at an unknown time after its last look at T + 40 ms; the box wrote it down at T + 240 ms.
    late = dataclasses.replace(attempt(0, T, T + 40 * MS, "cancelled", digest=""), end_ns=T + 240 * MS)
    assert found([late, attempt(1, T + 50 * MS, T + 90 * MS)], [served()]) == []


TOLD = [Told(0, 3, "draining", T, T + 6000 * MS)]


def test_a_send_after_a_drain_was_told_breaks_the_rule_from_its_grace_on() -> None:
    def sends(
        after_ms: int, balancer: int = 0, told: list[Told] | None = None, down: list[StateSpan] | None = None
    ) -> list[str]:
        at = T + after_ms * MS
        rows = [attempt(3, at, at + 50 * MS, balancer=balancer)]
        return [v.rule for v in found(rows, [served()], TOLD if told is None else told, down)]

    assert sends(540) == [] and sends(560) == ["drain"]
    assert sends(560, balancer=1) == []  # it has not been told
    up = Told(0, 3, "up", T + 300 * MS, T + 9000 * MS)
    assert sends(560, told=[*TOLD, up]) == []
    unread = [Told(0, 3, "removed", 0, T)]  # the agent had it 6 s ago, and the balancer never asked
    assert sends(560, told=unread) == ["drain"]
    started_anew = [StateSpan(0, "down", T + 10 * MS, T + 200 * MS)]
    assert sends(560, down=started_anew) == []


def test_a_send_that_may_have_begun_after_the_box_was_told_up_again_is_no_proof() -> None:
    up = Told(0, 3, "up", T + 901 * MS, T + 9000 * MS)
    crosses = attempt(3, T + 902 * MS, T + 950 * MS, first=T + 900 * MS)
    before = attempt(3, T + 900 * MS, T + 950 * MS, first=T + 900 * MS)
    assert found([crosses], [served()], [*TOLD, up]) == []
    assert [v.rule for v in found([before], [served()], [*TOLD, up])] == ["drain"]


def test_a_first_byte_that_may_have_come_before_the_grace_was_over_excuses() -> None:
    frozen = attempt(3, T + 700 * MS, T + 800 * MS, first=T + 500 * MS)
    assert found([frozen], [served()], TOLD) == []


def test_what_the_stand_ins_saw_counts_and_is_told_with_its_box() -> None:
    broken = found([], [], anomalies=[Anomaly(T, "cold", "pushed over", box=2), Anomaly(T, "foreign", "x", "id")])
    assert violation_counts(broken) == {"lost": 0, "twice": 0, "drain": 0, "cold": 1, "foreign": 1, "deadline": 0}
    assert broken[0].box == PLAN.boxes[2].host


# ---- classes that are not safe to repeat ---------------------------------------------------------------

PAYMENTS = draw_plan(find_scenario("payments-short"), 1)


def repeated(effect: str, hows: list[tuple[int, int, str]], status: int = 200) -> list[str]:
    """An ask of that effect with attempts (box, ms, how), answered with that status at last."""
    ask = next(a for a in PAYMENTS.asks if a.effect == effect)
    name = ask.ids[0]
    rows = [
        Attempt(
            box,
            0,
            name,
            "/",
            T + ms * MS,
            T + ms * MS,
            T + (ms + 5) * MS,
            T + (ms + 5) * MS,
            how,
            "d" if how == "answered" else "",
        )
        for box, ms, how in hows
    ]
    entry = Try(
        ask.number, 0, name, 0, "/", T, T + 9000 * MS, T + 8000 * MS, "answered", status, "d" if status == 200 else ""
    )
    return [v.rule for v in find_violations(PAYMENTS, BoxRecords(attempts=rows), CallerRecords(tries=[entry]))]


def test_an_unsafe_request_may_be_sent_again_only_after_it_was_turned_away_unseen() -> None:
    assert repeated("unsafe", [(0, 0, "declined"), (1, 10, "answered")]) == []
    assert repeated("unsafe", [(0, 0, "died"), (1, 10, "answered")]) == ["twice"]
    assert repeated("unsafe", [(0, 0, "cancelled"), (1, 10, "declined")], 504) == ["twice"]


def test_a_refusal_of_what_may_have_run_is_a_lie_and_a_failure_is_none() -> None:
    assert repeated("unsafe", [(0, 0, "died")], 503) == ["twice"]
    assert repeated("unsafe", [(0, 0, "died")], 504) == []
    assert repeated("unsafe", [(0, 0, "declined")], 503) == []
    assert repeated("keyed", [(0, 0, "died")], 503) == ["twice"]  # its scope is a cell, and the retry may go elsewhere


def test_a_keyed_request_may_be_sent_again_within_its_group_while_that_remembers() -> None:
    # Cells of four, rooms in turn: boxes 0 and 2 are of one cell and room, 1 of another room, 4 of another cell.
    assert repeated("keyed", [(0, 0, "died"), (2, 10, "answered")]) == []
    assert repeated("keyed", [(0, 0, "died"), (1, 10, "answered")]) == ["twice"]
    assert repeated("keyed", [(0, 0, "died"), (4, 10, "answered")]) == ["twice"]
    assert repeated("keyed", [(0, 0, "died"), (2, 5100, "answered")]) == ["twice"]


def test_a_request_that_was_read_is_lost_also_where_its_used_connection_ends() -> None:
    crossed = replace(served(how="refused", status=0), crossed_ns=T + 80 * MS)
    assert [v.rule for v in found([attempt(0, T + 10 * MS, T + 79 * MS, how="cancelled")], [crossed])] == ["lost"]
    assert found([], [crossed]) == []  # nobody has seen it: it crossed the end of its connection
    elsewhere = attempt(0, T + 10 * MS, T + 79 * MS, how="cancelled", balancer=1)
    assert found([elsewhere], [crossed]) == []


def test_no_attempt_begins_long_after_its_client_has_left() -> None:
    gone = served(how="left", status=0)
    for late_ms, rules in ((90, []), (110, ["lost"])):
        begun = attempt(0, gone.end_ns + late_ms * MS, gone.end_ns + 200 * MS, how="cancelled")
        assert [v.rule for v in found([begun], [gone])] == rules


def test_an_upstream_is_told_no_more_than_its_client_has_left() -> None:
    entry = served()
    for over_ms, rules in ((140, []), (160, ["deadline"])):
        left_ms = (entry.deadline_ns - T) // MS
        told = replace(attempt(0, T, T + 50 * MS), told_ms=left_ms + over_ms)
        assert [v.rule for v in found([told], [entry])] == rules
