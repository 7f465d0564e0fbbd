"""No single failing C library call crashes a balancer, prevents its start, hangs it or costs a request."""

from __future__ import annotations

import asyncio
import shutil
import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from lanemux.rehearsal.calls.command import run_lifecycles
from lanemux.rehearsal.calls.library import COMPILERS, build_library
from lanemux.rehearsal.calls.rules import (
    TRANSIENT_ERRORS,
    BadRules,
    Rule,
    format_rules,
    parse_rules,
    random_combination,
    single_failures,
    spread_positions,
)

CONCURRENT_RUNS = 6
POSITIONS_PER_KIND = 4  # failing calls of each kind, each in a run of its own; `lanemux soak --every-call` uses more
IMPORT_FAILURE_MS = 400
COMMAND = [sys.executable, "-m", "lanemux"]
needs_compiler = pytest.mark.skipif(not any(map(shutil.which, COMPILERS)), reason="no C compiler")


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("library"))


@pytest.fixture(scope="module")
def calls(library: Path, tmp_path_factory: pytest.TempPathFactory) -> dict[str, int]:
    """How many calls of each kind a run without failures makes."""
    (baseline,) = asyncio.run(run_lifecycles(COMMAND, [[]], library, tmp_path_factory.mktemp("plain"), 1))
    assert not baseline.faults, baseline.log
    return {kind: counts.since for kind, counts in baseline.counts.items()}


def expect_no_faults(rule_sets: Sequence[Sequence[Rule]], library: Path, folder: Path) -> None:
    """Run them and fail with all details if a run failed or could not be judged."""
    results = asyncio.run(run_lifecycles(COMMAND, rule_sets, library, folder, CONCURRENT_RUNS))
    assert any(result.failed_calls for result in results)
    failures = [
        "\n".join([f"{result.rules}: {result.faults} {result.not_valid}", *result.log])
        for result in results
        if result.faults or result.not_valid
    ]
    if failures:
        pytest.fail("\n".join(failures), pytrace=False)


@needs_compiler
@pytest.mark.parametrize("kind", TRANSIENT_ERRORS)
def test_single_failing_calls_cause_no_fault(kind: str, library: Path, calls: dict[str, int], tmp_path: Path) -> None:
    rule_sets = [
        rules for rules in single_failures(calls, POSITIONS_PER_KIND) if rules[0].kind == kind and not rules[0].timed
    ]
    assert rule_sets, f"a run makes no call of this kind: {calls}"
    expect_no_faults(rule_sets, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize(("kind", "most"), [("epoll_ctl", 12), ("write", 8), ("setsockopt", 6), ("fcntl", 12)])
def test_each_of_the_first_calls_may_fail(kind: str, most: int, library: Path, tmp_path: Path) -> None:
    rule_sets = [
        [Rule(kind, error, number, number)] for error in TRANSIENT_ERRORS[kind][:2] for number in range(1, most + 1)
    ]
    expect_no_faults(rule_sets, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize("kind", ["open", "opendir", "read", "stat", "dlopen", "close"])
def test_a_start_whose_imports_fail_for_a_while_comes_up(kind: str, library: Path, tmp_path: Path) -> None:
    rule_sets = [[Rule(kind, error, 0, IMPORT_FAILURE_MS, timed=True)] for error in TRANSIENT_ERRORS[kind]]
    expect_no_faults(rule_sets, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize("kind", ["epoll_ctl", "socket", "bind", "accept", "fcntl", "write", "setsockopt"])
def test_a_start_whose_sockets_fail_for_a_while_comes_up(kind: str, library: Path, tmp_path: Path) -> None:
    rule_sets = [[Rule(kind, error, 0, 1500, timed=True)] for error in TRANSIENT_ERRORS[kind]]
    expect_no_faults(rule_sets, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize(("kind", "error"), [("send", "ENOBUFS"), ("send", "ENOMEM"), ("recv", "ENOMEM")])
def test_a_write_or_read_that_fails_for_a_moment_costs_no_request(
    kind: str, error: str, library: Path, tmp_path: Path
) -> None:
    rule_sets = [[Rule(kind, error, 0, 60_000, True, share)] for share in (50, 100, 300)]
    expect_no_faults(rule_sets, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize("first", range(1, 25, 6))
def test_random_combinations_cause_no_fault(first: int, library: Path, calls: dict[str, int], tmp_path: Path) -> None:
    expect_no_faults([random_combination(seed, calls) for seed in range(first, first + 6)], library, tmp_path)


def test_rules_are_read_as_they_were_written() -> None:
    for seed in range(50):
        rules = random_combination(seed, dict.fromkeys(TRANSIENT_ERRORS, 40))
        assert parse_rules(format_rules(rules)) == rules
    for text in ("x:5:k1-2", "read:5", "read:5:z1-2", "read:99999:k1-2"):
        with pytest.raises(BadRules):
            parse_rules(text)


def test_the_positions_of_failing_calls_are_spread_evenly() -> None:
    assert spread_positions(3, 60) == [1, 2, 3]
    assert spread_positions(600, 3) == [1, 300, 600] or spread_positions(600, 3) == [1, 301, 600]
    assert len(spread_positions(600, 60)) == 60
