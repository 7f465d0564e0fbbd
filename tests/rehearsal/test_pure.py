"""The rehearsal's box model, plan, figures and HTTP framing, without sockets."""

from __future__ import annotations

import dataclasses
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanemux.rehearsal import framing
from lanemux.rehearsal.box import BoxModel
from lanemux.rehearsal.command import _scenario_titles, find_scenario
from lanemux.rehearsal.plan import MS, SECOND, Box, draw_plan
from lanemux.rehearsal.records import Attempt, BoxRecords, CallerRecords, Try
from lanemux.rehearsal.scenario import Fleet, Scenario, read_scenario
from lanemux.rehearsal.service import ask_results, compute_figures, missed_expectations
from lanemux.rehearsal.validity import assess_validity
from lanemux.validation import ValidationError

BOX = Box("q-1", "woodbrook", 0, "box-a", 0, 1.0, 2, 0.0, 100.0, 0.31, 8 * SECOND, 10**18, 0.0, 2 * MS, 0, 0, 1)
MEAN_WORK_NS = 75 * MS


def box_model(cold: bool = False, **fleet: float) -> BoxModel:
    return BoxModel(BOX, Fleet(full_tax=0.0, **fleet), 0, cold)  # type: ignore[arg-type]


# ---- a box ---------------------------------------------------------------------------------------------


def test_a_box_processes_one_request_queues_two_and_declines_the_rest() -> None:
    box = box_model()
    jobs = [box.offer(100 * MS, MEAN_WORK_NS) for _ in range(4)]
    assert [job is not None for job in jobs] == [True, True, True, False]
    assert (box.report().inflight, box.report().queue) == (3, 2)
    assert box.advance(100 * MS + 1) == [jobs[0]]
    assert box.advance(301 * MS) == [jobs[1], jobs[2]]
    assert box.next_completion_ns() is None


def test_a_frozen_box_does_no_work_and_its_report_does_not_change() -> None:
    box = box_model()
    job = box.offer(50 * MS, MEAN_WORK_NS)
    assert box.report().inflight == 1
    box.advance(20 * MS)
    box.freeze(260 * MS)
    assert box.advance(259 * MS) == [] and box.next_completion_ns() == 290 * MS + 1
    assert box.advance(289 * MS) == []
    assert box.advance(290 * MS + 1) == [job]


def test_a_neighbour_process_takes_its_share_of_the_cpu() -> None:
    box = box_model()
    box.stolen_share = 0.5
    job = box.offer(50 * MS, MEAN_WORK_NS)
    assert box.advance(99 * MS) == [] and box.advance(101 * MS) == [job]


def test_a_cold_box_starts_at_reduced_capacity_and_warms_up_in_time() -> None:
    box = box_model(cold=True)
    assert box.warm_fraction() == 0.31
    box.advance(4 * SECOND)
    assert box.warm_fraction() == pytest.approx(0.655)
    box.advance(8 * SECOND)
    assert box.warm_fraction() == 1.0 and not box.cold


def test_only_a_cold_box_that_is_sent_too_much_within_the_window_falls_over() -> None:
    # The budget is 2.5 x 0.31 x 1.5 s plus the slack: 1.31 s of work at once.
    box = box_model(cold=True)
    for _ in range(17):
        box.offer(75 * MS, MEAN_WORK_NS)
    assert not box.crashed and 0.9 < box.max_budget_share < 1
    box.offer(75 * MS, MEAN_WORK_NS)  # declined, but it counts against the budget all the same
    assert box.crashed
    spread = box_model(cold=True)
    for i in range(60):
        spread.advance(i * 100 * MS)
        spread.offer(75 * MS, MEAN_WORK_NS)
    assert not spread.crashed
    warm = box_model()
    for _ in range(60):
        warm.offer(75 * MS, MEAN_WORK_NS)
    assert not warm.crashed


def test_one_heavy_request_alone_does_not_make_a_box_fall_over() -> None:
    box = box_model(cold=True)
    box.offer(29 * MEAN_WORK_NS, MEAN_WORK_NS)
    assert not box.crashed


def test_a_cancel_keeps_running_work_and_drops_queued_work_only_if_configured() -> None:
    for drops in (False, True):
        box = dataclasses.replace(box_model(), cancels_queued=drops)
        first, second = box.offer(50 * MS, MEAN_WORK_NS), box.offer(50 * MS, MEAN_WORK_NS)
        assert first is not None and second is not None
        box.cancel(first)
        box.cancel(second)
        assert len(box.running) == 1 and len(box.queue) == (0 if drops else 1)


def test_a_draining_box_declines_new_work_and_finishes_its_current_work() -> None:
    box = box_model()
    job = box.offer(50 * MS, MEAN_WORK_NS)
    box.draining = True
    assert box.offer(50 * MS, MEAN_WORK_NS) is None
    assert box.advance(51 * MS) == [job]


# ---- the plan ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", sorted(_scenario_titles("")))
def test_every_bundled_scenario_is_valid_and_its_plan_the_same_in_any_process(name: str) -> None:
    scenario = find_scenario(name)
    if not name.endswith("-short"):
        scenario = dataclasses.replace(scenario, seconds=min(scenario.seconds, 12.0))
    plan = draw_plan(scenario, 7)
    assert len(plan.asks) > 50 and all(a.at_ns <= b.at_ns for a, b in zip(plan.asks, plan.asks[1:], strict=False))
    assert len({i for a in plan.asks for i in a.ids}) == sum(len(a.ids) for a in plan.asks)
    assert plan.digest() != draw_plan(scenario, 8).digest()
    started = {n.box for n in plan.notices if n.health == "up"}
    assert started == {h.who for h in plan.happenings if h.what in ("start", "return")}
    if name == "month-end-short":
        program = (
            "from lanemux.rehearsal.command import find_scenario\nfrom lanemux.rehearsal.plan import draw_plan\n"
            f"print(draw_plan(find_scenario({name!r}), 7).digest())"
        )
        other_process = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True, env={"PYTHONHASHSEED": "12345"}
        )
        assert other_process.stdout.strip() == plan.digest()


def test_friday_rush_freezes_the_configured_share_for_the_configured_times() -> None:
    plan = draw_plan(find_scenario("friday-rush"), 3)
    freezes = [h for h in plan.happenings if h.what == "freeze"]
    assert 0.35 * 40 - 1 <= len({h.who for h in freezes}) <= 0.41 * 40 + 1
    assert all(66 * MS <= h.until_ns - h.at_ns <= 240 * MS for h in freezes)


def test_month_end_replaces_almost_all_boxes_and_kills_a_quarter_at_once() -> None:
    plan = draw_plan(find_scenario("month-end"), 3)
    drained = {h.who for h in plan.happenings if h.what == "drain"}
    assert len(drained) == 12 and len(plan.boxes) == 24
    died = [h for h in plan.happenings if h.what == "die" and h.who not in drained]
    assert len(died) == 3 and len({h.at_ns for h in died}) == 1
    for box in drained:  # reported draining before it is reported removed
        at = {n.health: n.at_ns for n in plan.notices if n.box == box}
        assert at["draining"] <= at["removed"]


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", "title: missing"),
        ('title = "x"\nspeed = 1', "unknown key"),
        ('title = "x"\nseconds = 0', "a number from 1 to 3600"),
        ('title = "x"\n[fleet]\nboxes = 1.5', "a whole number"),
        ('title = "x"\n[callers]\ntry_share = [0.5, 0.4]', "low end lies above"),
        ('title = "x"\n[callers]\ntry_share = [0.5]', "a list of 2"),
        ('title = "x"\n[[faults]]\nkind = "rain"', "one of freeze, neighbour"),
        ('title = "x"\n[[faults]]\nkind = "heavy"\nclass_name = "cheque"', "no class 'cheque'"),
        ('title = "x"\nseconds = 3600\n[load]\nrate = 5000', "over 200000 asks"),
    ],
)
def test_errors_of_a_scenario_name_the_file_the_key_and_what_is_allowed(text: str, fault: str) -> None:
    with pytest.raises(ValidationError) as caught:
        read_scenario(text, "my.toml")
    assert len(caught.value.faults) == 1 and fault in caught.value.faults[0]
    assert caught.value.faults[0].startswith("my.toml: ")


# ---- figures -------------------------------------------------------------------------------------------


def records_of_tries(*ends: tuple[int, int, int, float]) -> tuple[Scenario, CallerRecords]:
    """Records of tries (ask, number, status, ms after the ask was due) of a plan with seed 1."""
    scenario = dataclasses.replace(find_scenario("calm-short"), seconds=2.0, warm_up_s=0.0)
    plan, records = draw_plan(scenario, 1), CallerRecords()
    for ask, number, status, after_ms in ends:
        ask_row = plan.asks[ask]
        records.tries.append(
            Try(
                ask,
                number,
                ask_row.ids[number],
                number,
                "/",
                sent_ns=ask_row.at_ns,
                end_ns=ask_row.at_ns + int(after_ms * MS),
                how="answered",
                status=status,
                deadline_ns=ask_row.at_ns + ask_row.try_ns,
            )
        )
    return scenario, records


def test_a_retry_is_counted_with_its_first_try_whichever_balancer_answers() -> None:
    # Refused by balancer 0, served by balancer 1 within the aim of the first try: one ask, one worth.
    scenario, records = records_of_tries((0, 0, 503, 20), (0, 1, 200, 250), (1, 0, 503, 20), (1, 1, 200, 270))
    rows = {r.ask.number: r for r in ask_results(draw_plan(scenario, 1), records.tries)}
    assert rows[0].in_time and not rows[1].in_time  # 270 ms: within the aim of the retry, not of the ask
    found = compute_figures(draw_plan(scenario, 1), BoxRecords(), records)
    assert (found.asked, found.answered_in_time, found.tries) == (len(rows), 1, 4)
    assert found.service == pytest.approx(rows[0].worth / sum(r.worth for r in rows.values()))


def test_held_time_of_a_refusal_starts_at_the_end_of_its_last_attempt() -> None:
    # Half of the refusals are late because an attempt was cut off by its timeout: that time is not held.
    scenario, records = records_of_tries((0, 0, 503, 200), (1, 0, 503, 1))
    for entry in records.tries:
        entry.deadline_ns = entry.sent_ns + 200 * MS
    late = records.tries[0]
    boxes = BoxRecords(
        attempts=[Attempt(0, 0, late.id, "/", late.sent_ns, late.sent_ns, late.end_ns, late.end_ns, "cancelled")]
    )
    plan = draw_plan(scenario, 1)
    found = compute_figures(plan, boxes, records)
    assert found.refusal_p90_share == 1.0 and found.refusal_held_share < 0.01
    boxes.attempts[0].open_ns = late.sent_ns + 20 * MS  # the attempt had ended long before the refusal
    assert compute_figures(plan, boxes, records).refusal_held_share == pytest.approx(0.9)


def test_short_last_tries_do_not_count_for_the_held_time() -> None:
    scenario, records = records_of_tries((0, 0, 503, 4.3), (1, 0, 503, 1))
    records.tries[0].deadline_ns = records.tries[0].sent_ns + 3 * MS
    found = compute_figures(draw_plan(scenario, 1), BoxRecords(), records)
    assert found.refusal_held_share < 0.01
    missed = missed_expectations(draw_plan(scenario, 1), dataclasses.replace(found, refusal_held_share=1.4))
    assert not any("held" in line for line in missed)  # the scenario sets no such expectation


def test_two_answers_to_one_ask_count_once() -> None:
    scenario, records = records_of_tries((0, 0, 200, 240), (0, 1, 200, 250))
    assert compute_figures(draw_plan(scenario, 1), BoxRecords(), records).answered_in_time == 1


def test_a_late_harness_makes_the_run_not_valid() -> None:
    assert assess_validity(BoxRecords(lag_ns=[MS] * 100), CallerRecords(late_ns=[MS] * 100)).valid
    assert not assess_validity(BoxRecords(lag_ns=[MS] * 100), CallerRecords(late_ns=[MS] * 90 + [20 * MS] * 10)).valid
    assert not assess_validity(BoxRecords(lag_ns=[MS] * 100 + [60 * MS]), CallerRecords()).valid
    assert not assess_validity(BoxRecords(), CallerRecords(waited_share=0.5)).valid


# ---- framing -------------------------------------------------------------------------------------------


@given(st.lists(st.binary(max_size=300), max_size=4), st.lists(st.integers(1, 50), min_size=1, max_size=20))
def test_messages_do_not_depend_on_how_their_bytes_are_split(bodies: list[bytes], cuts: list[int]) -> None:
    data = b"".join(framing.response(200, body) for body in bodies)
    framer, at = framing.MessageParser(responses=True), 0
    found: list[framing.Message] = []
    while at < len(data):
        size = cuts[len(found) % len(cuts)]
        found += framer.feed(data[at : at + size])
        at += size
    assert [m.body for m in found] == bodies and not framer.has_partial


def test_interim_chunked_and_close_delimited_responses_are_parsed() -> None:
    framer = framing.MessageParser(responses=True)
    (whole,) = framer.feed(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    )
    assert (whole.status, whole.body) == (200, b"abcde")
    assert framer.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") == []
    last = framer.finish()
    assert last is not None and last.body == b"abc"


@pytest.mark.parametrize(
    "data",
    [
        b"GET\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 abc X\r\n\r\n",
        b"x" * (framing.MAX_HEAD + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_malformed_responses_are_unreadable(data: bytes) -> None:
    with pytest.raises(framing.Unreadable):
        framing.MessageParser(responses=True).feed(data)
