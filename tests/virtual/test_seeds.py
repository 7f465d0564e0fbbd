"""The fixed set of seeds that every change must pass, and reproducibility: a seed has exactly one history."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

from bench.simulate import SHIFTED_DATE_LAUNCHER
from lanemux.virtual.command import run_seed, run_seeds
from lanemux.virtual.script import FAULTS, STORM_ONLY_FAULTS, draw, world_setup
from tests.virtual.planted import ROOT

FIXED = range(1, 241)
REPLAYED = "1-8"  # includes seeds with either source of the list


def test_no_seed_of_the_fixed_set_fails() -> None:
    played = list(run_seeds(FIXED, os.cpu_count() or 1))
    assert {p.seed: p.violations for p in played if p.violations} == {}
    injected: Counter[str] = Counter()
    for p in played:
        for (what, _), count in p.covered.items():
            injected[what] += count
    assert set(injected) == set(FAULTS) - set(STORM_ONLY_FAULTS), f"never struck: {set(FAULTS) - set(injected)}"
    assert sum(p.service for p in played) / len(played) > 0.5


def histories(hash_seed: str, file: Path, *start: str) -> dict[str, str]:
    subprocess.run(
        [sys.executable, *start, "--seeds", REPLAYED, "--jobs", "1", "--json", str(file)],
        check=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        timeout=120,
    )
    digests: dict[str, str] = json.loads(file.read_text())["digests"]
    return digests


def test_a_seed_has_the_same_history_in_any_process_and_on_any_date(tmp_path: Path) -> None:
    here = histories("1", tmp_path / "a", "-m", "lanemux", "simulate")
    assert {world_setup(int(seed)).scenario.discovery.source for seed in here} == {"agent", "etcd"}
    assert histories("2", tmp_path / "b", "-c", SHIFTED_DATE_LAUNCHER) == here
    assert run_seed(3).digest == here["3"]  # also in a process that has played others
    assert len(set(here.values())) == len(here)


def test_drawing_a_script_is_deterministic_and_uses_known_faults() -> None:
    assert draw(5) == draw(5) != draw(6)
    for seed in range(300):
        script = draw(seed)
        assert script.faults and all(f.what in FAULTS for f in script.faults)


def test_most_faults_coincide_with_an_event_or_another_fault() -> None:
    together = total = 0
    for seed in range(300):
        faults = draw(seed).faults
        moments = Counter((f.on, f.nth, f.at_ms) for f in faults)
        total += len(faults)
        together += sum(bool(f.on) or moments[f.on, f.nth, f.at_ms] > 1 for f in faults)
    assert together / total > 0.7
