"""The report page and the options of `rehearse`, without sockets."""

from __future__ import annotations

import asyncio
import io
import re
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest
from rich.console import Console

from lanemux.rehearsal import command
from lanemux.rehearsal.callers import Callers
from lanemux.rehearsal.command import USAGE_ERROR, find_scenario, main
from lanemux.rehearsal.page import as_html
from lanemux.rehearsal.plan import SECOND, draw_plan
from lanemux.rehearsal.records import Anomaly, Attempt, BoxRecords, CallerRecords, StateSpan
from lanemux.rehearsal.report import MAX_LISTED, as_json, summary_rows
from lanemux.rehearsal.rules import Violation, find_violations
from lanemux.rehearsal.run import Run
from lanemux.rehearsal.scenario import read_scenario
from lanemux.rehearsal.service import compute_figures
from lanemux.rehearsal.terminal import ProgressBar, print_summary
from lanemux.rehearsal.validity import assess_validity


def broken_run() -> Run:
    plan = draw_plan(find_scenario("month-end-short"), 1)
    boxes = BoxRecords(
        attempts=[Attempt(0, 0, plan.asks[0].ids[0], "/", SECOND, SECOND, 2 * SECOND)],
        state_spans=[StateSpan(0, "frozen", SECOND, 2 * SECOND), StateSpan(1, "fallen", SECOND)],
        anomalies=[Anomaly(SECOND, "cold", "pushed <over>", box=1)],
        held=[(SECOND, 0, 3)],
    )
    callers = CallerRecords()
    return Run(
        plan,
        plan.digest(),
        boxes,
        callers,
        compute_figures(plan, boxes, callers),
        find_violations(plan, boxes, callers),
        assess_validity(boxes, callers),
    )


def test_the_page_is_self_contained_and_lists_each_violation_with_its_proof() -> None:
    page = as_html(broken_run(), "month-end-short")
    assert not re.search(
        r"""<(script|link|img)[^>]+(src|href)=["']?(https?:)?//""", page
    )  # loads nothing from elsewhere
    for title in ("Service by class", "Boxes", "How tries ended", "Attempts", "Broken rules: 1"):
        assert f"{title}</h2>" in page
    assert "pushed &lt;over&gt;" in page and "pushed <over>" not in page
    assert page.count('class="plotly-graph-div"') == 4


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("calm-short", "--rate", "0"), "--rate: 0 is not from 0.1 to 5000"),
        (("calm-short", "--balancers", "999"), "--balancers: 999 is not from 1 to 192"),
        (("storms",), "no scenario 'storms'; there are back-to-school"),
        (("../calm",), "no scenario '../calm'"),
        (("/nowhere.toml",), "No such file"),
        (("calm-short", "--operators", "/nowhere.toml"), "No such file"),
    ],
)
def test_a_usage_error_prints_one_line_and_runs_nothing(
    arguments: tuple[str, ...], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == USAGE_ERROR
    assert message in capsys.readouterr().err


def test_the_terminal_shows_the_same_table_and_highlights_failures() -> None:
    console = Console(record=True, width=200, force_terminal=True, file=io.StringIO())
    run = broken_run()
    print_summary(run, "month-end-short", console)
    shown = console.export_text(clear=False)
    for label, text in summary_rows(run):
        assert label in shown and " ".join(text.split()[:4]) in " ".join(shown.split())
    assert "pushed <over>" in shown and 'class="r' in console.export_html(inline_styles=False)
    run.violations.clear()
    print_summary(run, "x", console)
    assert "pushed" not in console.export_text()


def test_the_terminal_shows_the_progress_of_a_run() -> None:
    console = Console(width=100, force_terminal=True, file=io.StringIO())
    plan = broken_run().plan
    callers = cast(Callers, SimpleNamespace(plan=plan, asked=12, records=CallerRecords()))
    with ProgressBar(console) as bar:
        bar.update(4.0, callers)
    assert "4 of 10 s" in (told := cast(io.StringIO, console.file).getvalue()) and "12 asks, 0 tries" in told


def test_a_page_without_its_extra_is_a_usage_error_before_the_run(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(command, "installed", lambda name: False)
    monkeypatch.setattr(asyncio, "run", lambda work: pytest.fail("it was played"))
    assert main(["calm-short", "--html", "x.html"]) == USAGE_ERROR
    assert "pip install '.[rehearsal]'" in capsys.readouterr().err


def test_the_operators_own_scenarios_are_found_by_name_and_listed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "ours.toml").write_text('title = "our own Friday"\nseconds = 5\n')
    (tmp_path / "operators.toml").write_text(f'[rehearsal]\nscenarios_directory = "{tmp_path}"\n')
    assert find_scenario("ours", str(tmp_path)).seconds == 5
    assert main(["--list", "--operators", str(tmp_path / "operators.toml")]) == 0
    output = capsys.readouterr().out
    assert "our own Friday" in output and "friday-rush" in output
    assert "(can't be used: " in output  # the operators' file itself is not a scenario


def test_the_example_of_the_operators_page_is_a_sound_scenario() -> None:
    page = (Path(__file__).parent.parent.parent / "docs" / "operating" / "rehearsal.md").read_text()
    block = page[page.index('    title = "our own Friday"') : page.index("All keys with units")]
    scenario = read_scenario("\n".join(line[4:] for line in block.splitlines()), "page")
    assert scenario.fleet.boxes == 24 and scenario.faults[0].kind == "freeze" and draw_plan(scenario, 1).happenings
    for name in command._scenario_titles(""):
        assert f"`{name}`" in page or f"`{name.removesuffix('-short')}`" in page


def test_a_rule_that_was_broken_late_is_listed_behind_many_violations_of_another() -> None:
    """Guards against: a rule is counted, and none of the listed violations is of it."""
    run = broken_run()
    early = [Violation("deadline", at_ns, f"r{at_ns}", "", "told too much") for at_ns in range(1, 2 * MAX_LISTED)]
    run.violations = [*early, Violation("lost", SECOND, "late", "", "no answer")]
    listed = cast(list[dict[str, object]], as_json(run, "x")["violations"])
    assert [entry["rule"] for entry in listed].count("lost") == 1 and len(listed) == MAX_LISTED
    assert [entry["at_s"] for entry in listed] == sorted(cast(float, entry["at_s"]) for entry in listed)
