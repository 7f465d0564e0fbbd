"""The runs with single failing calls detect builds that have one such defect each."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import pytest

from lanemux.rehearsal.calls.command import ALL_PASSED, NOT_VALID, SOME_FAILED, USAGE_ERROR, main
from lanemux.rehearsal.calls.library import COMPILERS

pytestmark = pytest.mark.skipif(not any(map(shutil.which, COMPILERS)), reason="no C compiler")
BROKEN = "tests.rehearsal.broken"
MAX_RUNS = 3  # until one is valid


@pytest.mark.parametrize(
    ("build", "kinds", "places"),
    [
        ("imports_once", "opendir", 6),
        ("flag_before_call", "epoll_ctl", 30),
        ("close_error_escapes", "close", 60),
        ("write_error_ends_connection", "send", 20),
        ("lost_wakeup", "write", 12),
        ("callback_dies_silently", "accept", 3),
    ],
)
def test_a_build_with_one_defect_is_found(
    build: str, kinds: str, places: int, capsys: pytest.CaptureFixture[str]
) -> None:
    words = ["--every-call", "--quiet", "--kinds", kinds, "--places", str(places)]
    assert main([*words, "--command", sys.executable, "-m", f"{BROKEN}.{build}"]) == SOME_FAILED
    printed = capsys.readouterr().out
    assert f"BAD {kinds} " in printed and "replay: " in printed


def first_valid(words: list[str]) -> int:
    """The status of the first run that was valid: one that the machine made late judges nothing."""
    statuses = (main(words) for _ in range(MAX_RUNS))
    return next((status for status in statuses if status != NOT_VALID), NOT_VALID)


def test_a_failed_run_is_replayed_from_its_printed_rules(tmp_path: Path) -> None:
    words = ["--every-call", "--replay", "send:105:t0-60000:300", "--json", str(tmp_path / "lives.json"), "--command"]
    assert first_valid([*words, sys.executable, "-m", f"{BROKEN}.write_error_ends_connection"]) == SOME_FAILED
    assert first_valid([*words, sys.executable, "-m", "lanemux"]) == ALL_PASSED


def test_usage_errors_and_a_program_that_never_starts_are_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--every-call", "--replay", "nothing"]) == USAGE_ERROR
    assert main(["--every-call", "--command", sys.executable, "-c", "pass"]) == NOT_VALID
    assert "no rule" in capsys.readouterr().err
