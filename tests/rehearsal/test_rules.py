"""The rule checker on hand-written records: what proves a violation and what does not."""

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
    received_ns: int,
    open_ns: int,
    outcome: str = "answered",
    request: str = "a",
    digest: str = "d",
    balancer: int = 0,
    first_byte_ns: int | None = None,
) -> Attempt:
    return Attempt(
        box,
        balancer,
        request,
        "/",
        received_ns if first_byte_ns is None else first_byte_ns,
        received_ns,
        open_ns,
        open_ns,
        outcome,
        digest,
    )


def served(request: str = "a", digest: str = "d", outcome: str = "answered", status: int = 200) -> Try:
    return Try(0, 0, request, 0, "/", T, T + 300 * MS, T + 100 * MS, outcome, status, digest)


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


def test_a_correct_request_violates_nothing() -> None:
    assert found([attempt(0, T + MS, T + 90 * MS)], [served()]) == []
    assert (
        found([attempt(0, T + MS, T + 9 * MS, "declined", digest=""), attempt(1, T + 10 * MS, T + 90 * MS)], [served()])
        == []
    )


def test_a_body_produced_for_another_request_counts_as_lost() -> None:
    (broken,) = found(
        [attempt(0, T, T + 90 * MS), attempt(1, T, T + 90 * MS, request="b", digest="e")], [served(digest="e")]
    )
    assert broken.rule == "lost" and broken.request == "a" and PLAN.boxes[0].host in broken.proof
    assert [v.rule for v in found([], [served()])] == ["lost"]  # nor may a body come from no box at all


def test_no_response_and_a_connection_closed_without_one_count_as_lost() -> None:
    assert [v.rule for v in found([], [served(outcome="silent", status=0), served(outcome="lost", status=0)])] == [
        "lost"
    ] * 2


def test_clients_that_left_or_could_not_connect_and_requests_of_a_killed_balancer_are_not_lost() -> None:
    assert found([], [served(outcome="left", status=0), served(outcome="refused", status=0)]) == []
    unsent = dataclasses.replace(served(outcome="lost", status=0), sent_ns=0)
    assert found([], [unsent]) == []
    killed = [StateSpan(0, "down", T + 50 * MS, T + 400 * MS)]
    assert found([], [served(outcome="lost", status=0)], down=killed) == []
    assert len(found([], [served(outcome="lost", status=0)], down=[StateSpan(1, "down", T, T + 400 * MS)])) == 1


def test_two_attempts_are_concurrent_if_the_first_is_open_when_the_second_is_received() -> None:
    both = [attempt(0, T, T + 90 * MS), attempt(1, T + 50 * MS, T + 95 * MS)]
    (broken,) = found(both, [served()])
    assert broken.rule == "twice" and broken.box == PLAN.boxes[1].host


def test_a_close_that_a_frozen_box_noticed_late_is_no_violation() -> None:
    # Closed at an unknown time after the last poll at T + 40 ms; the box noticed it at T + 240 ms.
    late_close = dataclasses.replace(attempt(0, T, T + 40 * MS, "cancelled", digest=""), end_ns=T + 240 * MS)
    assert found([late_close, attempt(1, T + 50 * MS, T + 90 * MS)], [served()]) == []


TOLD = [Told(0, 3, "draining", T, T + 6000 * MS)]


def test_a_send_after_a_drain_was_delivered_violates_the_rule_once_the_grace_is_over() -> None:
    def sends(
        after_ms: int, balancer: int = 0, told: list[Told] | None = None, down: list[StateSpan] | None = None
    ) -> list[str]:
        at = T + after_ms * MS
        attempts = [attempt(3, at, at + 50 * MS, balancer=balancer)]
        return [v.rule for v in found(attempts, [served()], TOLD if told is None else told, down)]

    assert sends(540) == [] and sends(560) == ["drain"]
    assert sends(560, balancer=1) == []  # it was not notified
    up_again = Told(0, 3, "up", T + 300 * MS, T + 9000 * MS)
    assert sends(560, told=[*TOLD, up_again]) == []
    unread = [Told(0, 3, "removed", 0, T)]  # the agent received it 6 s ago, and the balancer never read it
    assert sends(560, told=unread) == ["drain"]
    restarted = [StateSpan(0, "down", T + 10 * MS, T + 200 * MS)]
    assert sends(560, down=restarted) == []


def test_a_send_that_may_have_begun_after_the_box_was_reported_up_again_is_no_violation() -> None:
    up_again = Told(0, 3, "up", T + 901 * MS, T + 9000 * MS)
    overlapping = attempt(3, T + 902 * MS, T + 950 * MS, first_byte_ns=T + 900 * MS)
    before = attempt(3, T + 900 * MS, T + 950 * MS, first_byte_ns=T + 900 * MS)
    assert found([overlapping], [served()], [*TOLD, up_again]) == []
    assert [v.rule for v in found([before], [served()], [*TOLD, up_again])] == ["drain"]


def test_a_first_byte_that_may_have_come_before_the_grace_was_over_is_no_violation() -> None:
    frozen = attempt(3, T + 700 * MS, T + 800 * MS, first_byte_ns=T + 500 * MS)
    assert found([frozen], [served()], TOLD) == []


def test_anomalies_count_and_are_reported_with_their_box() -> None:
    broken = found([], [], anomalies=[Anomaly(T, "cold", "pushed over", box=2), Anomaly(T, "foreign", "x", "id")])
    assert violation_counts(broken) == {"lost": 0, "twice": 0, "drain": 0, "cold": 1, "foreign": 1, "deadline": 0}
    assert broken[0].box == PLAN.boxes[2].host


# ---- classes that are not safe to repeat ---------------------------------------------------------------

PAYMENTS = draw_plan(find_scenario("payments-short"), 1)


def repeated(effect: str, outcomes: list[tuple[int, int, str]], status: int = 200) -> list[str]:
    """Violations of an ask of that effect with attempts (box, ms, outcome) and this final status."""
    ask = next(a for a in PAYMENTS.asks if a.effect == effect)
    request = ask.ids[0]
    attempts = [
        Attempt(
            box,
            0,
            request,
            "/",
            T + ms * MS,
            T + ms * MS,
            T + (ms + 5) * MS,
            T + (ms + 5) * MS,
            outcome,
            "d" if outcome == "answered" else "",
        )
        for box, ms, outcome in outcomes
    ]
    entry = Try(
        ask.number,
        0,
        request,
        0,
        "/",
        T,
        T + 9000 * MS,
        T + 8000 * MS,
        "answered",
        status,
        "d" if status == 200 else "",
    )
    return [v.rule for v in find_violations(PAYMENTS, BoxRecords(attempts=attempts), CallerRecords(tries=[entry]))]


def test_an_unsafe_request_may_be_sent_again_only_after_it_was_declined() -> None:
    assert repeated("unsafe", [(0, 0, "declined"), (1, 10, "answered")]) == []
    assert repeated("unsafe", [(0, 0, "died"), (1, 10, "answered")]) == ["twice"]
    assert repeated("unsafe", [(0, 0, "cancelled"), (1, 10, "declined")], 504) == ["twice"]


def test_what_may_have_run_may_be_failed_but_not_refused() -> None:
    assert repeated("unsafe", [(0, 0, "died")], 503) == ["twice"]
    assert repeated("unsafe", [(0, 0, "died")], 504) == []
    assert repeated("unsafe", [(0, 0, "declined")], 503) == []
    assert repeated("keyed", [(0, 0, "died")], 503) == [
        "twice"
    ]  # its scope is a cell, and the client's retry may go to another


def test_a_keyed_request_may_be_sent_again_within_its_dedup_scope_and_window() -> None:
    # Cells of four, rooms alternate: boxes 0 and 2 share cell and room, 1 is in another room, 4 in another cell.
    assert repeated("keyed", [(0, 0, "died"), (2, 10, "answered")]) == []
    assert repeated("keyed", [(0, 0, "died"), (1, 10, "answered")]) == ["twice"]
    assert repeated("keyed", [(0, 0, "died"), (4, 10, "answered")]) == ["twice"]
    assert repeated("keyed", [(0, 0, "died"), (2, 5100, "answered")]) == ["twice"]


def test_a_request_that_was_read_is_lost_even_if_its_reused_connection_closes() -> None:
    crossed = replace(served(outcome="refused", status=0), crossed_ns=T + 80 * MS)
    assert [v.rule for v in found([attempt(0, T + 10 * MS, T + 79 * MS, outcome="cancelled")], [crossed])] == ["lost"]
    assert found([], [crossed]) == []  # no box received it: it crossed the close of its connection
    elsewhere = attempt(0, T + 10 * MS, T + 79 * MS, outcome="cancelled", balancer=1)
    assert found([elsewhere], [crossed]) == []


def test_no_attempt_begins_long_after_its_client_has_left() -> None:
    client_left = served(outcome="left", status=0)
    for late_ms, rules in ((90, []), (110, ["lost"])):
        begun = attempt(0, client_left.end_ns + late_ms * MS, client_left.end_ns + 200 * MS, outcome="cancelled")
        assert [v.rule for v in found([begun], [client_left])] == rules


def test_an_upstream_is_told_no_more_than_its_client_has_left() -> None:
    entry = served()
    for over_ms, rules in ((140, []), (160, ["deadline"])):
        left_ms = (entry.deadline_ns - T) // MS
        told = replace(attempt(0, T, T + 50 * MS), told_ms=left_ms + over_ms)
        assert [v.rule for v in found([told], [entry])] == rules
