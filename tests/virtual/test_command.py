"""`python -m lanemux simulate`: exit status, report, timeline, and what a failing seed prints."""

from __future__ import annotations

import ast
import json
import subprocess
import sys
from pathlib import Path

import pytest

from lanemux.cli import main
from tests.virtual.planted import PLANTED, STORMS, plant


def test_seeds_that_pass_give_0_and_a_report(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "report.json"
    assert main(["simulate", "--seeds", "3-5", "--jobs", "1", "--json", str(file)]) == 0
    told = json.loads(file.read_text())
    assert told["seeds"] == [3, 4, 5] and told["failed"] == []
    assert told["digest"] in capsys.readouterr().out
    assert sum(sum(events.values()) for events in told["covered"].values()) > 0


def test_a_replay_writes_what_each_party_saw(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    trace = tmp_path / "trace"
    assert main(["simulate", "--replay", "8", "--trace", str(trace)]) == 0
    lines = trace.read_text().splitlines()
    times = [float(line.split()[0]) for line in lines]
    assert times == sorted(times)
    for party in ("caller ", "box ", "discovery", "fault", "> client", "> box", "> list"):
        assert any(party in line for line in lines), party
    assert "Fault(" in capsys.readouterr().out


def test_without_the_extra_the_seeds_that_need_etcd_are_left_out_and_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "grpclib", None)
    report = tmp_path / "report.json"
    assert main(["simulate", "--seeds", "1-3", "--jobs", "1", "--json", str(report)]) == 0
    told = json.loads(report.read_text())
    assert told["seeds"] == [2] and told["left_out"] == [1, 3]
    assert "2 seeds that take their list from etcd are left out" in capsys.readouterr().err
    assert main(["simulate", "--replay", "3"]) == 2
    assert "pip install '.[etcd]'" in capsys.readouterr().err


def test_every_planted_fault_still_finds_its_lines(tmp_path: Path) -> None:
    for fault in (*PLANTED, *STORMS):
        plant(fault, tmp_path)


@pytest.mark.parametrize("words", [["--seeds", "5-3"], ["--seeds", "x"], ["--jobs", "0"], ["--trace", "f"]])
def test_bad_use_is_told(words: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["simulate", *words])
    assert ended.value.code == 2


def test_a_seed_that_fails_gives_1_and_the_least_script_as_a_test(tmp_path: Path) -> None:
    fault = next(p for p in PLANTED if p.name == "timers-left")
    copy = plant(fault, tmp_path)
    done = subprocess.run(
        [sys.executable, "-m", "lanemux", "simulate", "--seeds", "54", "--jobs", "1"],
        cwd=copy,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 1, done.stdout + done.stderr
    assert "1 failed" in done.stdout and "cut down to" in done.stdout
    ast.parse(done.stdout[done.stdout.index("def test_seed_") :])
