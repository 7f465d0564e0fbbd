"""`python -m lanemux simulate`: exit status, report, timeline, and the output for a failing seed."""

from __future__ import annotations

import ast
import json
import subprocess
import sys
from pathlib import Path

import pytest

from lanemux.cli import main
from tests.virtual.planted import PLANTED, STORMS, plant


def test_passing_seeds_exit_with_0_and_write_a_report(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "report.json"
    assert main(["simulate", "--seeds", "3-5", "--jobs", "1", "--json", str(file)]) == 0
    report_json = json.loads(file.read_text())
    assert report_json["seeds"] == [3, 4, 5] and report_json["failed"] == []
    assert report_json["digest"] in capsys.readouterr().out
    assert sum(sum(events.values()) for events in report_json["covered"].values()) > 0


def test_a_replay_writes_the_timeline_of_all_parties(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    trace = tmp_path / "trace"
    assert main(["simulate", "--replay", "8", "--trace", str(trace)]) == 0
    lines = trace.read_text().splitlines()
    times = [float(line.split()[0]) for line in lines]
    assert times == sorted(times)
    for party in ("caller ", "box ", "discovery", "fault", "> client", "> box", "> list"):
        assert any(party in line for line in lines), party
    assert "Fault(" in capsys.readouterr().out


def test_without_the_etcd_extra_seeds_that_need_it_are_skipped_and_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "grpclib", None)
    report = tmp_path / "report.json"
    assert main(["simulate", "--seeds", "1-3", "--jobs", "1", "--json", str(report)]) == 0
    report_json = json.loads(report.read_text())
    assert report_json["seeds"] == [2] and report_json["left_out"] == [1, 3]
    assert "2 seeds that take their list from etcd are left out" in capsys.readouterr().err
    assert main(["simulate", "--replay", "3"]) == 2
    assert "pip install '.[etcd]'" in capsys.readouterr().err


def test_the_edits_of_every_planted_bug_still_apply(tmp_path: Path) -> None:
    for fault in (*PLANTED, *STORMS):
        plant(fault, tmp_path)


@pytest.mark.parametrize("words", [["--seeds", "5-3"], ["--seeds", "x"], ["--jobs", "0"], ["--trace", "f"]])
def test_invalid_arguments_exit_with_2(words: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["simulate", *words])
    assert ended.value.code == 2


def test_a_failing_seed_exits_with_1_and_prints_the_shrunk_script_as_a_test(tmp_path: Path) -> None:
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
