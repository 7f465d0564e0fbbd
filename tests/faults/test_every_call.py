"""No single failing call of the C library ends a balancer, keeps it from starting, hangs it or costs a request."""

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

AT_ONCE = 6
PLACES = 4  # of each kind of call that fail here, a life each; `lanemux soak --every-call` plays more
IMPORTS_MS = 400
COMMAND = [sys.executable, "-m", "lanemux"]
needs_compiler = pytest.mark.skipif(not any(map(shutil.which, COMPILERS)), reason="no C compiler")


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("library"))


@pytest.fixture(scope="module")
def calls(library: Path, tmp_path_factory: pytest.TempPathFactory) -> dict[str, int]:
    """How often a life in which nothing fails makes each kind of call."""
    (life,) = asyncio.run(run_lifecycles(COMMAND, [[]], library, tmp_path_factory.mktemp("plain"), 1))
    assert not life.faults, life.log
    return {kind: counts.since for kind, counts in life.counts.items()}


def expect_good_lives(lives: Sequence[Sequence[Rule]], library: Path, folder: Path) -> None:
    """Play them; a life that could not be judged fails the test too, and what was wrong is printed whole."""
    played = asyncio.run(run_lifecycles(COMMAND, lives, library, folder, AT_ONCE))
    assert any(life.failed_calls for life in played)
    bad = [
        "\n".join([f"{life.rules}: {life.faults} {life.not_valid}", *life.log])
        for life in played
        if life.faults or life.not_valid
    ]
    if bad:
        pytest.fail("\n".join(bad), pytrace=False)


@needs_compiler
@pytest.mark.parametrize("kind", TRANSIENT_ERRORS)
def test_single_failing_calls_leave_a_life_as_it_is(
    kind: str, library: Path, calls: dict[str, int], tmp_path: Path
) -> None:
    lives = [rules for rules in single_failures(calls, PLACES) if rules[0].kind == kind and not rules[0].timed]
    assert lives, f"a life makes no call of this kind: {calls}"
    expect_good_lives(lives, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize(("kind", "most"), [("epoll_ctl", 12), ("write", 8), ("setsockopt", 6), ("fcntl", 12)])
def test_each_of_the_first_calls_may_fail(kind: str, most: int, library: Path, tmp_path: Path) -> None:
    lives = [
        [Rule(kind, error, number, number)] for error in TRANSIENT_ERRORS[kind][:2] for number in range(1, most + 1)
    ]
    expect_good_lives(lives, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize("kind", ["open", "opendir", "read", "stat", "dlopen", "close"])
def test_a_start_whose_imports_fail_for_a_while_comes_up(kind: str, library: Path, tmp_path: Path) -> None:
    lives = [[Rule(kind, error, 0, IMPORTS_MS, timed=True)] for error in TRANSIENT_ERRORS[kind]]
    expect_good_lives(lives, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize("kind", ["epoll_ctl", "socket", "bind", "accept", "fcntl", "write", "setsockopt"])
def test_a_start_whose_sockets_fail_for_a_while_comes_up(kind: str, library: Path, tmp_path: Path) -> None:
    lives = [[Rule(kind, error, 0, 1500, timed=True)] for error in TRANSIENT_ERRORS[kind]]
    expect_good_lives(lives, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize(("kind", "error"), [("send", "ENOBUFS"), ("send", "ENOMEM"), ("recv", "ENOMEM")])
def test_a_write_or_read_that_fails_for_a_moment_costs_no_request(
    kind: str, error: str, library: Path, tmp_path: Path
) -> None:
    lives = [[Rule(kind, error, 0, 60_000, True, share)] for share in (50, 100, 300)]
    expect_good_lives(lives, library, tmp_path)


@needs_compiler
@pytest.mark.parametrize("first", range(1, 25, 6))
def test_random_combinations_leave_a_life_as_it_is(
    first: int, library: Path, calls: dict[str, int], tmp_path: Path
) -> None:
    expect_good_lives([random_combination(seed, calls) for seed in range(first, first + 6)], library, tmp_path)


def test_rules_are_read_as_they_were_written() -> None:
    for seed in range(50):
        rules = random_combination(seed, dict.fromkeys(TRANSIENT_ERRORS, 40))
        assert parse_rules(format_rules(rules)) == rules
    for text in ("x:5:k1-2", "read:5", "read:5:z1-2", "read:99999:k1-2"):
        with pytest.raises(BadRules):
            parse_rules(text)


def test_the_places_of_failing_calls_are_spread_over_all() -> None:
    assert spread_positions(3, 60) == [1, 2, 3]
    assert spread_positions(600, 3) == [1, 300, 600] or spread_positions(600, 3) == [1, 301, 600]
    assert len(spread_positions(600, 60)) == 60
