"""What the rehearsal kit tells and costs, over many seeds. Run from the repository's root:

    python -m bench.rehearsals healthy    # each short scenario, 20 seeds: no rule broken
    python -m bench.rehearsals broken     # each broken build, 10 seeds: caught by what, on how many
    python -m bench.rehearsals service    # calm and friday-rush, 10 seeds, beside plain programs on the same seeds
    python -m bench.rehearsals cost       # the rate at which the kit still calls itself valid

A run that was not valid is played again, twice at the most, and then left out and counted.
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

PLAYS = 3
PLAIN = ("random_choice", "least_connections")
RATES = (250, 500, 750, 1000, 1500, 2000)
BALANCERS_AT_RATE = 2  # plain ones: a light balancer, so that the kit is measured and not the balancers


@dataclass(frozen=True)
class Job:
    """One rehearsal to be played."""

    scenario: str
    seed: int
    program: str = ""
    more: tuple[str, ...] = ()


def play(job: Job, plays: int = PLAYS) -> dict[str, Any]:
    """Its report; played again while it is not valid."""
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        program = ["--program", f"{sys.executable} -m {job.program}"] if job.program else []
        words = [
            sys.executable,
            "-m",
            "lanemux",
            "rehearse",
            job.scenario,
            "--seed",
            str(job.seed),
            "--json",
            file.name,
            *job.more,
            *program,
        ]
        report: dict[str, Any] = {"valid": False}
        for _ in range(plays):
            subprocess.run(words, capture_output=True, timeout=600)
            text = Path(file.name).read_text()
            report = json.loads(text) if text else report
            if report["valid"]:
                break
        return report


def played(jobs: list[Job], abreast: int) -> list[dict[str, Any]]:
    with ThreadPoolExecutor(abreast) as pool:
        return list(pool.map(play, jobs))


def spread(values: Iterable[float]) -> str:
    ordered = sorted(values)
    if not ordered:
        return "no valid run"
    return (
        f"median {statistics.median(ordered):.3f}, {ordered[0]:.3f} to {ordered[-1]:.3f}, "
        f"standard deviation {statistics.pstdev(ordered):.3f}"
    )


def healthy(seeds: int, abreast: int) -> None:
    for name in HEALTHY:
        reports = played([Job(name, seed) for seed in range(1, seeds + 1)], abreast)
        valid = [r for r in reports if r["valid"]]
        accused = [r["seed"] for r in valid if any(r["rules"].values()) or r["crashes"] or r["expectations_missed"]]
        print(
            f"{name}: {len(valid)} of {seeds} valid, accused on seeds {accused or 'none'}; service "
            f"{spread(r['service'] for r in valid)}; of a cold box's budget at most "
            f"{max((r['cold_budget_most'] for r in valid), default=0):.2f}; blindness at most "
            f"{max((r['blindness'] for r in valid), default=0):.2f}",
            flush=True,
        )


def broken(seeds: int, abreast: int) -> None:
    rows = [
        *((b, n, r, True) for b, n, r in BY_RULE),
        ("never_answers", "friday-rush-short", "lost", True),
        *((b, n, f, False) for b, n, f in BY_FIGURE),
    ]
    for build, name, by, rule in rows:
        reports = played([Job(name, s, f"tests.rehearsal.broken.{build}") for s in range(1, seeds + 1)], abreast)
        valid = [r for r in reports if r["valid"]]
        caught = [
            r
            for r in valid
            if (r["rules"][by] if rule else any(line.startswith(by) for line in r["expectations_missed"]))
        ]
        print(f"{build} ({name}): caught by {by} on {len(caught)} of {len(valid)} valid runs of {seeds}", flush=True)


def service(seeds: int, abreast: int, seconds: float) -> None:
    more = ("--seconds", str(seconds)) if seconds else ()
    for name in ("calm", "friday-rush"):
        for program in ("", *PLAIN):
            path = f"bench.programs.{program}" if program else ""
            reports = played([Job(name, s, path, more) for s in range(1, seeds + 1)], abreast)
            valid = [r for r in reports if r["valid"]]
            print(
                f"{name}, {program or 'this build'}: {len(valid)} of {seeds} valid; service "
                f"{spread(r['service'] for r in valid)}; worst 10 s {spread(r['worst_10_s'] for r in valid)}",
                flush=True,
            )


def cost() -> None:
    for rate in RATES:
        report = play(
            Job(
                "calm",
                1,
                "bench.programs.least_connections",
                ("--rate", str(rate), "--boxes", "100", "--seconds", "12", "--balancers", str(BALANCERS_AT_RATE)),
            ),
            1,
        )
        v = report["validity"]
        print(
            f"{rate} asks/s: valid {report['valid']}; asks late p99 {v['asks_late_p99_ms']:.1f} ms, callers "
            f"{v['callers_late_p99_ms']:.1f} ms, boxes {v['boxes_late_p99_ms']:.1f} ms; "
            f"{report['attempts']} attempts; {v['reasons']}",
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
