"""Results and cost of rehearsals over many seeds. Run from the repository's root:

    python -m bench.rehearsals healthy    # each short scenario, 20 seeds: no rule may be broken
    python -m bench.rehearsals broken     # each broken build, 10 seeds: what detects it, on how many runs
    python -m bench.rehearsals service    # calm and friday-rush, 10 seeds: this build and textbook policies
    python -m bench.rehearsals cost       # the highest rate at which a rehearsal is still valid

A run that is not valid is repeated at most twice; after that it is left out, and the count of valid runs shows it.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.rehearsal.test_broken import BY_FIGURE, BY_RULE, HEALTHY

MAX_RUNS = 3
TEXTBOOK_POLICIES = ("random_choice", "least_connections")
RATES = (250, 500, 750, 1000, 1500, 2000)
BALANCERS_AT_RATE = 2  # minimal ones, so that the rehearsal's own cost is measured and not the balancers'


@dataclass(frozen=True)
class Job:
    """One rehearsal to be run."""

    scenario: str
    seed: int
    program: str = ""
    arguments: tuple[str, ...] = ()


def run(job: Job, max_runs: int = MAX_RUNS) -> dict[str, Any]:
    """Run the rehearsal, at most `max_runs` times until it is valid, and return the last report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        program = ["--program", f"{sys.executable} -m {job.program}"] if job.program else []
        command = [
            sys.executable,
            "-m",
            "lanemux",
            "rehearse",
            job.scenario,
            "--seed",
            str(job.seed),
            "--json",
            file.name,
            *job.arguments,
            *program,
        ]
        report: dict[str, Any] = {"valid": False}
        for _ in range(max_runs):
            subprocess.run(command, capture_output=True, timeout=600)
            text = Path(file.name).read_text()
            report = json.loads(text) if text else report
            if report["valid"]:
                break
        return report


def run_all(jobs: list[Job], parallel: int) -> list[dict[str, Any]]:
    """Run the rehearsals, at most `parallel` at a time; reports in the order of the jobs."""
    with ThreadPoolExecutor(parallel) as pool:
        return list(pool.map(run, jobs))


def spread(values: Iterable[float]) -> str:
    """Median, range and standard deviation."""
    ordered = sorted(values)
    if not ordered:
        return "no valid run"
    return (
        f"median {statistics.median(ordered):.3f}, {ordered[0]:.3f} to {ordered[-1]:.3f}, "
        f"standard deviation {statistics.pstdev(ordered):.3f}"
    )


def healthy(seeds: int, parallel: int) -> None:
    """Rehearse each short scenario with this build."""
    for name in HEALTHY:
        reports = run_all([Job(name, seed) for seed in range(1, seeds + 1)], parallel)
        valid = [r for r in reports if r["valid"]]
        failed = [r["seed"] for r in valid if any(r["rules"].values()) or r["crashes"] or r["expectations_missed"]]
        print(
            f"{name}: {len(valid)} of {seeds} valid, accused on seeds {failed or 'none'}; service "
            f"{spread(r['service'] for r in valid)}; of a cold box's budget at most "
            f"{max((r['cold_budget_most'] for r in valid), default=0):.2f}; blindness at most "
            f"{max((r['blindness'] for r in valid), default=0):.2f}",
            flush=True,
        )


def broken(seeds: int, parallel: int) -> None:
    """Rehearse each broken build, and count the runs on which its rule or figure detects it."""
    cases = [
        *((b, n, r, True) for b, n, r in BY_RULE),
        ("never_answers", "friday-rush-short", "lost", True),
        *((b, n, f, False) for b, n, f in BY_FIGURE),
    ]
    for build, name, detector, is_rule in cases:
        reports = run_all([Job(name, s, f"tests.rehearsal.broken.{build}") for s in range(1, seeds + 1)], parallel)
        valid = [r for r in reports if r["valid"]]
        caught = [
            r
            for r in valid
            if (
                r["rules"][detector] if is_rule else any(line.startswith(detector) for line in r["expectations_missed"])
            )
        ]
        print(
            f"{build} ({name}): caught by {detector} on {len(caught)} of {len(valid)} valid runs of {seeds}", flush=True
        )


def service(seeds: int, parallel: int, seconds: float) -> None:
    """Compare the service of this build with that of the textbook policies."""
    arguments = ("--seconds", str(seconds)) if seconds else ()
    for name in ("calm", "friday-rush"):
        for program in ("", *TEXTBOOK_POLICIES):
            path = f"bench.programs.{program}" if program else ""
            reports = run_all([Job(name, s, path, arguments) for s in range(1, seeds + 1)], parallel)
            valid = [r for r in reports if r["valid"]]
            print(
                f"{name}, {program or 'this build'}: {len(valid)} of {seeds} valid; service "
                f"{spread(r['service'] for r in valid)}; worst 10 s {spread(r['worst_10_s'] for r in valid)}",
                flush=True,
            )


def cost() -> None:
    """Rehearse minimal balancers at rising request rates."""
    for rate in RATES:
        report = run(
            Job(
                "calm",
                1,
                "bench.programs.least_connections",
                ("--rate", str(rate), "--boxes", "100", "--seconds", "12", "--balancers", str(BALANCERS_AT_RATE)),
            ),
            1,
        )
        validity = report["validity"]
        print(
            f"{rate} asks/s: valid {report['valid']}; asks late p99 {validity['asks_late_p99_ms']:.1f} ms, callers "
            f"{validity['callers_late_p99_ms']:.1f} ms, boxes {validity['boxes_late_p99_ms']:.1f} ms; "
            f"{report['attempts']} attempts; {validity['reasons']}",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser("bench.rehearsals")
    parser.add_argument("what", choices=("healthy", "broken", "service", "cost"))
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--abreast", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=0.0, help="service: length of a run")
    options = parser.parse_args()
    match options.what:
        case "healthy":
            healthy(options.seeds or 20, options.abreast)
        case "broken":
            broken(options.seeds or 10, options.abreast)
        case "service":
            service(options.seeds or 10, options.abreast, options.seconds)
        case "cost":
            cost()


if __name__ == "__main__":
    main()
