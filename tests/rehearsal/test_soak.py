"""The soak test: what a seed draws, a short soak of this build, and builds with one defect each that it detects."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lanemux.rehearsal.injection_plan import InjectionPlan, InvalidPlan, Window, read_plan
from lanemux.rehearsal.plan import draw_plan, earliest_kill_ns
from lanemux.rehearsal.soak.command import ALL_PASSED, NOT_VALID, SOME_FAILED, read_seeds
from lanemux.rehearsal.soak.draw import draw

ROOT = Path(__file__).parent.parent.parent
SECOND = 1_000_000_000
TIMEOUT_S = 240


def soak(folder: Path, *words: str) -> tuple[int, list[dict[str, object]], str]:
    """The exit status, the outcome of each seed, and the standard output."""
    json_path = folder / "soak.json"
    finished = subprocess.run(
        [
            sys.executable,
            "-m",
            "lanemux",
            "soak",
            "--json",
            str(json_path),
            "--evidence",
            str(folder / "evidence"),
            *words,
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert json_path.is_file(), finished.stderr
    return finished.returncode, json.loads(json_path.read_text())["outcomes"], finished.stdout


def test_a_seed_draws_the_same_run_each_time() -> None:
    assert draw(7) == draw(7) and draw(7) != draw(8)
    assert read_plan(draw(7).injection.to_json()) == draw(7).injection


def test_every_seed_restarts_a_balancer_and_kills_it_at_the_earliest_moment() -> None:
    for seed in range(40):
        run = draw(seed)
        plan = draw_plan(run.scenario, seed)
        restarts = [h for h in plan.happenings if h.what == "restart"]
        assert restarts and all(h.until_ns - h.at_ns == earliest_kill_ns(run.scenario) for h in restarts)
        longest = max(c.deadline_ms for c in run.scenario.classes) / 1000
        assert earliest_kill_ns(run.scenario) == pytest.approx((min(3.0, longest) + 0.7) * SECOND)


@pytest.mark.parametrize("text", ["", "[]", "{", '{"speed": 1}', '{"windows": [{"call": "socket"}]}', '{"windows": 3}'])
def test_an_invalid_plan_is_rejected(text: str) -> None:
    with pytest.raises(InvalidPlan):
        read_plan(text)


def test_a_plan_reads_back_as_it_was_written() -> None:
    plan = InjectionPlan(seed=3, windows=[Window("bind", "EADDRINUSE", 1.0, 0.5)], short_share=0.5)
    assert read_plan(plan.to_json()) == plan


@pytest.mark.parametrize(("text", "seeds"), [("3", [3]), ("3-5", [3, 4, 5])])
def test_seeds_are_read(text: str, seeds: list[int]) -> None:
    assert list(read_seeds(text)) == seeds


@pytest.mark.parametrize("text", ["", "x", "5-3", "1-x", "1-100000"])
def test_invalid_seeds_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="seeds"):
        read_seeds(text)


def test_a_short_soak_of_this_build_keeps_every_rule(tmp_path: Path) -> None:
    status, outcomes, output = soak(tmp_path, "--seeds", "1-3")
    assert status in (ALL_PASSED, NOT_VALID), output
    assert [outcome["crashes"] for outcome in outcomes if outcome["valid"]] in ([], [[]], [[]] * 2, [[]] * 3), output


@pytest.mark.parametrize(("defect", "seeds"), [("signals_end_it", "5-6"), ("drops_requests_at_the_end", "3-5")])
def test_a_build_with_a_defect_is_found(tmp_path: Path, defect: str, seeds: str) -> None:
    """Several seeds: one run may not be valid, and another may have no request open when a balancer ends."""
    status, outcomes, output = soak(tmp_path, "--seeds", seeds, "--module", f"tests.rehearsal.broken.{defect}")
    assert status in (SOME_FAILED, NOT_VALID), output
    assert any(outcome["crashes"] or outcome["faults"] for outcome in outcomes), output
    for outcome in outcomes:
        needs_evidence = outcome["valid"] and outcome["faults"]
        assert not needs_evidence or (tmp_path / "evidence" / str(outcome["seed"]) / "timeline.txt").exists()


def test_a_soak_that_is_ended_by_a_signal_leaves_no_balancer_behind(tmp_path: Path) -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "lanemux", "soak", "--seeds", "1-3", "--evidence", str(tmp_path)],
        cwd=ROOT,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    )
    try:
        end = time.monotonic() + TIMEOUT_S
        while not balancers(tmp_path):
            assert time.monotonic() < end
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 128 + signal.SIGTERM
        assert balancers(tmp_path) == []
    finally:
        process.kill()


def balancers(folder: Path) -> list[str]:
    """The ids of the processes that were started with a plan in `folder`."""
    found = []
    for process in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = process.read_bytes().split(b"\0")
        except OSError:
            continue
        if b"lanemux.rehearsal.injection" in words and any(w.startswith(str(folder).encode()) for w in words):
            found.append(process.parent.name)
    return found
