"""Complete rehearsals: the healthy build violates no rule, and each broken build is caught by its defect.

A machine that is too busy makes a run not valid: then figures and the healthy build are not judged, but violations
that the records of a broken build prove still count.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent.parent
CONCURRENT_RUNS = max(1, (os.cpu_count() or 1) // 2)  # each run keeps about two cores partly busy
TIMEOUT_S = 90
SHORT_RUN = ("--seconds", "5")  # enough for builds that violate a rule on every hundredth request

HEALTHY = (
    "calm-short",
    "friday-rush-short",
    "month-end-short",
    "back-to-school-short",
    "payments-short",
    "etcd-deploy-short",
)
BY_RULE = (
    ("two_at_once", "friday-rush-short", "twice"),
    ("late_drain", "month-end-short", "drain"),
    ("swaps_bodies", "friday-rush-short", "lost"),
    ("answers_twice", "friday-rush-short", "lost"),
    ("resends_silently", "friday-rush-short", "twice"),
    ("floods_cold", "month-end-short", "cold"),
    ("ignores_deadlines", "friday-rush-short", "lost"),
    ("repeats_unsafe", "payments-short", "twice"),
)
BY_FIGURE = (
    ("old_reports", "friday-rush-short", "given_up_share"),
    ("holds_refusals", "friday-rush-short", "refusal_held"),
    ("refuses_heavy", "friday-rush-short", "heavy"),
    ("leaks_connections", "friday-rush-short", "connections_per_box"),
)


LOSSES = """
title = "a balancer is killed and comes back, and boxes vanish in silence"
seconds = 7

[[faults]]
kind = "kill"
at_s = 2
part = [0.25, 0.25]
down_s = [1, 1.5]

[[faults]]
kind = "vanish"
at_s = 3
for_s = 2
part = [0.2, 0.2]
"""


@dataclass(frozen=True)
class Played:
    status: int
    report: dict[str, Any]
    text: str


def play(folder: Path, scenario: str, build: str = "", seed: int = 1) -> Played:
    """Run one rehearsal from the command line, of a named scenario or of LOSSES."""
    arguments = ["rehearse", scenario]
    if scenario == "losses":
        arguments[1] = str(folder / "losses.toml")
        Path(arguments[1]).write_text(LOSSES)
    length = SHORT_RUN if scenario == "friday-rush-short" and build in {b for b, _, _ in BY_RULE} else ()
    path = folder / f"{build or 'healthy'}-{scenario}-{seed}.json"
    program = ["--program", f"{sys.executable} -m tests.rehearsal.broken.{build}"] if build else []
    process = subprocess.run(
        [sys.executable, "-m", "lanemux", *arguments, "--seed", str(seed), "--json", str(path), *program, *length],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert path.is_file(), process.stderr
    return Played(process.returncode, json.loads(path.read_text()), process.stdout)


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], Played]:
    folder = tmp_path_factory.mktemp("rehearsals")
    pairs = [("", name) for name in (*HEALTHY, "losses")] + [(build, name) for build, name, _ in (*BY_RULE, *BY_FIGURE)]
    with ThreadPoolExecutor(CONCURRENT_RUNS) as pool:
        return dict(zip(pairs, pool.map(lambda pair: play(folder, pair[1], pair[0]), pairs), strict=True))


@pytest.mark.parametrize("name", HEALTHY)
def test_the_healthy_build_is_not_accused(played: dict[tuple[str, str], Played], name: str) -> None:
    run = played["", name]
    if run.report["valid"]:
        assert run.status == 0, run.text
        assert run.report["service"] > 0.4 and not any(run.report["rules"].values())
    else:
        assert run.status == 3, run.text


def test_what_a_killed_balancer_held_is_its_callers_to_retry(played: dict[tuple[str, str], Played]) -> None:
    run = played["", "losses"]
    assert run.report["unreached"] > 0, run.text  # callers tried the dead balancer
    if run.report["valid"]:
        assert run.status == 0 and run.report["service"] > 0.4, run.text


@pytest.mark.parametrize(("build", "name", "rule"), BY_RULE)
def test_a_broken_build_is_caught_by_its_rule(
    played: dict[tuple[str, str], Played], build: str, name: str, rule: str
) -> None:
    run = played[build, name]
    assert run.status == (1 if run.report["valid"] else 3), run.text
    assert run.report["rules"][rule] > 0, run.text
    first = next(v for v in run.report["violations"] if v["rule"] == rule)
    assert first["proof"] and first["at_s"] > 0


@pytest.mark.parametrize(("build", "name", "figure"), BY_FIGURE)
def test_a_broken_build_is_caught_by_its_figure(
    played: dict[tuple[str, str], Played], build: str, name: str, figure: str
) -> None:
    run = played[build, name]
    assert run.status == (1 if run.report["valid"] else 3), run.text
    assert any(line.startswith(figure) for line in run.report["expectations_missed"]), run.text


def test_the_same_seed_plays_the_same_plan(played: dict[tuple[str, str], Played]) -> None:
    rush = [run.report["digest"] for (_, name), run in played.items() if name == "friday-rush-short"]
    assert len(set(rush)) == 2  # one of full runs, one of short runs
    assert len({run.report["digest"] for run in played.values()}) == 2 + len(HEALTHY)  # with losses


def test_a_program_that_does_not_start_is_bad_use() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "lanemux", "rehearse", "calm-short", "--program", "false"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert process.returncode == 2 and "did not become ready" in process.stderr


def test_a_balancer_that_ends_by_itself_fails_the_run(tmp_path: Path) -> None:
    start = "import threading, os\nthreading.Timer(3, lambda: os._exit(7)).start()\n"
    program = tmp_path / "dies.py"
    program.write_text(start + "import sys\nfrom lanemux.net import daemon\nsys.exit(daemon.main())\n")
    path = tmp_path / "report.json"
    process = subprocess.run(
        [
            sys.executable,
            "-m",
            "lanemux",
            "rehearse",
            "calm-short",
            "--seconds",
            "4",
            "--balancers",
            "2",
            "--json",
            str(path),
            "--program",
            f"env PYTHONPATH={ROOT} {sys.executable} {program}",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    report = json.loads(path.read_text())
    assert report["crashes"] and process.returncode == (1 if report["valid"] else 3)


@pytest.mark.parametrize("by", [signal.SIGTERM, signal.SIGINT])
def test_a_rehearsal_that_is_ended_leaves_nobody_behind(tmp_path: Path, by: signal.Signals) -> None:
    program = tmp_path / "known.py"  # a balancer that reveals its process id
    program.write_text(
        "import os, pathlib, sys\nfrom lanemux.net import daemon\n"
        f"pathlib.Path({str(tmp_path)!r}, f'{{os.getpid()}}.pid').touch()\nsys.exit(daemon.main())\n"
    )
    rehearsal = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lanemux",
            "rehearse",
            "calm-short",
            "--seconds",
            "60",
            "--balancers",
            "2",
            "--program",
            f"env PYTHONPATH={ROOT} {sys.executable} {program}",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    while len(balancers := [int(p.stem) for p in tmp_path.glob("*.pid")]) < 2:
        assert rehearsal.poll() is None, rehearsal.communicate()
        time.sleep(0.01)
    rehearsal.send_signal(by)
    _, errors = rehearsal.communicate(timeout=TIMEOUT_S)
    assert rehearsal.returncode == 128 + by and by.name in errors, errors
    for pid in balancers:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_a_busy_machine_makes_the_run_not_valid_and_nobody_guilty(tmp_path: Path) -> None:
    # Two busy processes per core: one per core is also detected, but by a smaller margin.
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(2 * (os.cpu_count() or 1))]
    try:
        run = play(tmp_path, "calm-short")
    finally:
        for process in busy:
            process.kill()
            process.wait()
    assert run.status == 3 and not run.report["valid"], run.text
