"""Fault detection and reproducibility of the simulation. Run from the repository's root:

python -m bench.simulate planted [NAME ...]   # each planted fault: seeds until found, size of the minimised plan
python -m bench.simulate replay [SEEDS]       # same seeds in three processes: other hash seeds, another date
python -m bench.simulate agree [SEEDS]        # a scenario without faults, in real and virtual time
"""

from __future__ import annotations

import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from lanemux.rehearsal.command import find_scenario
from lanemux.virtual.network import LinkConditions
from lanemux.virtual.script import Script, WorldSetup
from lanemux.virtual.simulation import play
from tests.virtual.planted import PLANTED, ROOT, STORMS, Planted, plant

MAX_SEEDS = 2000
DATE_SHIFT_S = 400 * 86_400
# Starts `simulate` with a system clock that is DATE_SHIFT_S ahead.
SHIFTED_DATE_LAUNCHER = f"""
import sys, time
real_s, real_ns = time.time, time.time_ns
time.time = lambda: real_s() + {DATE_SHIFT_S}
time.time_ns = lambda: real_ns() + {DATE_SHIFT_S} * 10**9
from lanemux.virtual.command import main
sys.exit(main(sys.argv[1:]))
"""


def planted(names: list[str]) -> None:
    """Print, for each planted fault, the seeds and time until it is found."""
    print(f"{'fault':<20}{'seeds':>6}{'wall s':>8}  {'cut down to':<32} found by")
    for fault in (*PLANTED, *STORMS):
        if not names or fault.name in names:
            _find(fault)


def _find(fault: Planted) -> None:
    with tempfile.TemporaryDirectory() as folder:
        copy, options = plant(fault, Path(folder)), ("--storm",) if fault.storm else ()
        report, began = copy / "report.json", time.monotonic()
        _simulate(copy, "--seeds", f"1-{MAX_SEEDS}", "--first", "--no-shrink", "--json", str(report), *options)
        wall_s, result = time.monotonic() - began, json.loads(report.read_text())
        if not result["failed"]:
            print(f"{fault.name:<20}{'none':>6}{wall_s:8.1f}  not found within {MAX_SEEDS} seeds", flush=True)
            return
        seed = result["failed"][0]
        rules = sorted({line.split()[2] for line in result["violations"][str(seed)]})
        minimised = re.search(
            r"cut down to (\d+) and (\d+) in (\d+) runs", _simulate(copy, "--replay", str(seed), *options)
        )
        size = f"{minimised[1]} faults, {minimised[2]} asks ({minimised[3]} runs)" if minimised else "?"
        print(f"{fault.name:<20}{seed:>6}{wall_s:8.1f}  {size:<32} {', '.join(rules)}", flush=True)


def _simulate(root: Path, *arguments: str, hash_seed: str = "0", launcher: str = "") -> str:
    start = ["-c", launcher] if launcher else ["-m", "lanemux", "simulate"]
    done = subprocess.run(
        [sys.executable, *start, *arguments],
        cwd=root,
        capture_output=True,
        text=True,
        timeout=3000,
        env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(root)},
    )
    return done.stdout + done.stderr


def replay(seeds: int) -> None:
    """Compare the digests of the same seeds in three processes."""
    reports: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder:
        for hash_seed, launcher in (("1", ""), ("2", ""), ("3", SHIFTED_DATE_LAUNCHER)):
            report = Path(folder) / f"{hash_seed}.json"
            _simulate(
                ROOT,
                "--seeds",
                f"1-{seeds}",
                "--no-shrink",
                "--json",
                str(report),
                hash_seed=hash_seed,
                launcher=launcher,
            )
            reports.append(json.loads(report.read_text()))
            print(f"hash seed {hash_seed}{', 400 days on' if launcher else ''}: digest {reports[-1]['digest']}")
    differ = [s for s in reports[0]["digests"] if len({f["digests"][s] for f in reports}) > 1]
    print(f"{len(reports[0]['digests'])} seeds, {len(differ)} with another history in another process {differ[:10]}")


def agree(seeds: int) -> None:
    """Compare service on the same requests and boxes; on the virtual clock, the balancers' CPU time counts as zero."""
    scenario = find_scenario("calm-short", "")
    rows = []
    for seed in range(1, seeds + 1):
        with tempfile.NamedTemporaryFile(suffix=".json") as file:
            subprocess.run(
                [sys.executable, "-m", "lanemux", "rehearse", "calm-short", "--seed", str(seed), "--json", file.name],
                capture_output=True,
                timeout=300,
            )
            real = json.loads(Path(file.name).read_text())
        links = dict.fromkeys(("client", "box", "list", "peer"), LinkConditions())
        virtual = play(Script(seed), setup=WorldSetup(scenario, links)).figures
        rows.append((real["service"], virtual.service))
        print(
            f"seed {seed}: real {real['service']:.4f} ({real['answered_in_time']} of {real['asked']} in time, "
            f"{real['attempts']} attempts, valid {real['valid']}), virtual {virtual.service:.4f} "
            f"({virtual.answered_in_time} of {virtual.asked}, {virtual.attempts})",
            flush=True,
        )
    for name, column in (("real", [r for r, _ in rows]), ("virtual", [v for _, v in rows])):
        print(f"{name}: mean {statistics.mean(column):.4f}, deviation {statistics.stdev(column):.4f}")
    gaps = [v - r for r, v in rows]
    print(f"virtual over real, seed by seed: {statistics.mean(gaps):+.4f}, deviation {statistics.stdev(gaps):.4f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("planted", "replay", "agree"))
    parser.add_argument("more", nargs="*")
    options = parser.parse_args()
    if options.what == "planted":
        planted(options.more)
    elif options.what == "replay":
        replay(int(options.more[0]) if options.more else 200)
    else:
        agree(int(options.more[0]) if options.more else 10)


if __name__ == "__main__":
    main()
