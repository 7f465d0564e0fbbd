"""The command line and the operators' file: what is accepted, and that each fault is reported in one line."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from lanemux.operators import MAX_FILE_BYTES, OperatorsFile, StormSection, load
from lanemux.validation import ValidationError, build
from tests.test_process import config

ROOT = Path(__file__).parent.parent
OPTIONAL = (
    "argparse",
    "tomllib",
    "lanemux.rehearsal",
    "lanemux.operators",
    "lanemux.validation",
    "lanemux.etcd",
    "grpclib",
    "google.protobuf",
)


def lanemux(*arguments: str, **variables: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lanemux", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin", **variables},
        timeout=30,
    )


def faults(tmp_path: Path, text: str) -> list[str]:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    with pytest.raises(ValidationError) as caught:
        load(str(path))
    return caught.value.faults


def test_example_file_enables_nothing_and_shows_every_key() -> None:
    example = ROOT / "deploy" / "operators.toml"
    assert load(str(example)) == OperatorsFile()
    shown = [
        line.removeprefix("# ")
        for line in example.read_text().splitlines()
        if line.startswith("# [") or " = " in line.partition("#")[2].partition("#")[0]
    ]
    table = tomllib.loads("\n".join(shown))
    assert {section: set(keys) for section, keys in table.items()} == {
        "rehearsal": {"scenarios_directory"},
        "etcd": {"endpoints", "prefix", "user", "password_file"},
        "storm": {"longest_wait_ms", "whole_seconds", "source_part"},
        "log": {"level"},
        "fleet": {"council", "lease_ms"},
    }
    # The defaults are as shown.
    assert build(OperatorsFile, {"storm": table["storm"]}, "example").storm == StormSection()


def test_each_fault_is_one_line_with_file_key_and_allowed_values(tmp_path: Path) -> None:
    lines = faults(tmp_path, "[rehearsal]\nscenarios_directory = 4\nspeed = 1\n[warp]\n")
    assert len(lines) == 3
    assert all(line.startswith(str(tmp_path / "operators.toml")) for line in lines)
    text = "\n".join(lines)
    assert "rehearsal.scenarios_directory: '4' is not text" in text
    assert "rehearsal.speed: unknown key; allowed: scenarios_directory" in text
    assert "warp: unknown key; allowed: etcd, storm, fleet, rehearsal, log" in text


def test_invalid_council_is_one_fault(tmp_path: Path) -> None:
    for council in ("[0, 1]", "[0, 1, 1]", "[-1]", '"all"'):
        assert len(faults(tmp_path, f"[fleet]\ncouncil = {council}\n")) == 1


def test_check_and_daemon_reject_a_council_member_without_a_peer(tmp_path: Path) -> None:
    path, operators = tmp_path / "config.json", tmp_path / "operators.toml"
    path.write_text(json.dumps(config(peers=["127.0.0.1:9", "127.0.0.1:10"], peer_listen="127.0.0.1:9")))
    operators.write_text("[fleet]\ncouncil = [0, 1, 2]\n")
    for command in (["check", str(path)], ["serve"]):
        ended = lanemux(*command, RELAY_CONFIG=str(path), LANEMUX_OPERATORS=str(operators))
        assert ended.returncode == 2
        assert ended.stderr == f"lanemux: {operators}: fleet.council: 2 is no number in peers; allowed are 0 to 1\n"


def test_unknown_log_level_is_reported_together_with_other_faults(tmp_path: Path) -> None:
    lines = faults(tmp_path, '[log]\nlevel = "loud"\n[etcd]\nendpoints = []\nprefix = "/"\n')
    assert len(lines) == 2 and "log.level: 'loud' is none of debug, info, warning" in lines[0]


def test_etcd_section_is_validated_beyond_its_types(tmp_path: Path) -> None:
    lines = faults(tmp_path, '[etcd]\nendpoints = ["etcd:2379", "127.0.0.1:2379"]\nprefix = ""\nuser = "u"\n')
    text = "\n".join(lines)
    assert len(lines) == 3 and "etcd.endpoints[0]: 'etcd:2379' is not IP:PORT" in text
    assert "etcd.prefix: ''" in text and "etcd.user, password_file" in text
    assert "etcd.endpoints: missing" in "\n".join(faults(tmp_path, '[etcd]\nprefix = "/a/"\n'))
    assert "at least one IP:PORT" in faults(tmp_path, '[etcd]\nendpoints = []\nprefix = "/a/"\n')[0]


def test_etcd_section_reports_a_missing_extra(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sys.modules, "grpclib", None)
    monkeypatch.delitem(sys.modules, "grpclib.client", raising=False)
    assert "pip install '.[etcd]'" in faults(tmp_path, '[etcd]\nendpoints = ["127.0.0.1:1"]\nprefix = "/a/"\n')[0]


@pytest.mark.parametrize("text", ["a = ", "a = " + "[" * 5000, "x" * (MAX_FILE_BYTES + 1)])
def test_invalid_toml_is_one_fault(tmp_path: Path, text: str) -> None:
    assert len(faults(tmp_path, text)) == 1


def test_check_validates_both_files(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(json.dumps(config(1)))
    bad.write_text("{}")
    (tmp_path / "bad.toml").write_text("[warp]\n")
    assert lanemux("check", str(good)).returncode == 0
    assert lanemux("check", RELAY_CONFIG=str(good)).returncode == 0
    both = lanemux("check", "--operators", str(tmp_path / "bad.toml"), str(bad))
    assert both.returncode == 2 and len(both.stderr.splitlines()) == 2
    assert lanemux("check").returncode == 2


@pytest.mark.parametrize(
    "arguments",
    [("--operators", "/nowhere.toml"), ("serve", "--speed"), ("fly",), ("check", "--operators", "/nowhere.toml")],
)
def test_invalid_usage_exits_with_status_2_and_a_message(arguments: tuple[str, ...]) -> None:
    ended = lanemux(*arguments)
    assert ended.returncode == 2 and ended.stderr


def test_platform_start_imports_no_optional_module() -> None:
    # Features that are off must not be imported: they would cost memory and start-up time.
    look = (
        "import sys; sys.argv = ['lanemux']\nfrom lanemux.cli import main\nassert main([]) == 2\n"
        f"print([m for m in {OPTIONAL!r} if m in sys.modules])"
    )
    ended = subprocess.run(
        [sys.executable, "-c", look],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin"},
        timeout=30,
    )
    assert ended.stdout.strip() == "[]" and "RELAY_CONFIG is not set" in ended.stderr
