"""`lanemux soak --every-call`: runs of one balancer from start to exit, each with different C library calls failing."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path

from lanemux.rehearsal.calls.library import CallCounts, CompilerError, build_library
from lanemux.rehearsal.calls.lifecycle import LifecycleResult, run_lifecycle
from lanemux.rehearsal.calls.rules import (
    BadRules,
    Rule,
    format_rules,
    parse_rules,
    random_combination,
    single_failures,
)
from lanemux.rehearsal.loop_timing import LoopLagLog

ALL_PASSED, SOME_FAILED, USAGE_ERROR, NOT_VALID = 0, 1, 2, 3
POSITIONS_PER_KIND = 60  # calls of one kind that are made to fail, each in a run of its own
CONCURRENT_RUNS = 12
MAX_TRIES = 3  # of a run that can't be judged because a stub server or this machine failed
RETRY_PAUSE_S = 1.0
PROGRESS_INTERVAL = 200  # runs between two progress lines
MAX_OCTET = 250  # addresses used in each loopback network 127.x.y.0, and networks used in 127.x.0.0
FIRST_NETWORK, NETWORKS = 192, 62  # the x of 127.x.0.0, chosen by process id: two processes rarely share one
MAX_SHOWN = 40  # failed runs that are printed


def main(argv: Sequence[str]) -> int:
    """Run the command. Exit status 0: no run failed; 1: some did; 2: usage error; 3: no run could be judged."""
    options = _options(argv)
    started = time.monotonic()
    command = options.command or [sys.executable, "-m", "lanemux"]
    with tempfile.TemporaryDirectory(prefix="calls-") as folder:
        try:
            library = build_library(Path(folder))
            baseline = asyncio.run(run_lifecycles(command, [[]], library, Path(folder), 1))[0]
            if baseline.faults or baseline.not_valid:
                print(
                    f"lanemux: the baseline run, in which no call fails: {baseline.faults or baseline.not_valid}",
                    file=sys.stderr,
                )
                return NOT_VALID
            rule_sets = _choose_rule_sets(options, baseline.counts)
        except (CompilerError, BadRules, ValueError) as error:
            print(f"lanemux: {error}", file=sys.stderr)
            return USAGE_ERROR
        results = asyncio.run(
            run_lifecycles(command, rule_sets, library, Path(folder), options.at_once, not options.quiet)
        )
    if options.json:
        Path(options.json).write_text(json.dumps({"lives": [asdict(result) for result in results]}, indent=1) + "\n")
    _report(rule_sets, results, baseline.counts, time.monotonic() - started)
    if any(result.has_faults for result in results):
        return SOME_FAILED
    return NOT_VALID if all(result.not_valid for result in results) else ALL_PASSED


def _choose_rule_sets(options: argparse.Namespace, counts: dict[str, CallCounts]) -> list[list[Rule]]:
    """The rules of each run that the options ask for; `counts` are those of the baseline run."""
    calls = {kind: count.since for kind, count in counts.items()}
    if options.replay is not None:
        return [parse_rules(options.replay)] * options.times
    if options.combinations:
        first, _, last = options.combinations.partition("-")
        return [random_combination(seed, calls) for seed in range(int(first), int(last or first) + 1)]
    rule_sets = single_failures(calls, options.places)
    if options.kinds:
        rule_sets = [rules for rules in rule_sets if rules[0].kind in options.kinds]
    if options.sample is not None:
        rule_sets = random.Random(f"sample/{options.seed}").sample(rule_sets, min(options.sample, len(rule_sets)))
    return rule_sets


async def run_lifecycles(
    command: Sequence[str],
    rule_sets: Sequence[Sequence[Rule]],
    library: Path,
    folder: Path,
    at_once: int,
    progress: bool = False,
) -> list[LifecycleResult]:
    """Run one lifecycle per rule set, `at_once` of them concurrently; the results are in the order of `rule_sets`."""
    results: dict[int, LifecycleResult] = {}
    pending = iter(enumerate(rule_sets))
    lateness = LoopLagLog(asyncio.get_running_loop())

    async def run_once(number: int, rules: Sequence[Rule]) -> LifecycleResult:
        run_folder = folder / f"life-{number}"
        run_folder.mkdir(exist_ok=True)
        try:
            return await run_lifecycle(command, rules, library, run_folder, _host(number), lateness, number)
        finally:
            shutil.rmtree(run_folder, ignore_errors=True)

    async def run_until_valid(number: int, rules: Sequence[Rule]) -> LifecycleResult:
        held_up: list[str] = []
        for _ in range(MAX_TRIES):
            result = await run_once(number, rules)
            result.held_up = held_up
            if result.has_faults or not result.not_valid:
                break
            held_up.append(result.not_valid)
            await asyncio.sleep(RETRY_PAUSE_S)
        return result

    async def worker() -> None:
        for number, rules in pending:
            results[number] = await run_until_valid(number, rules)
            if progress and len(results) % PROGRESS_INTERVAL == 0:
                failed = sum(result.has_faults for result in results.values())
                print(f"{len(results)} of {len(rule_sets)} runs done, {failed} failed", flush=True)

    async with asyncio.TaskGroup() as group:
        for _ in range(at_once):
            group.create_task(worker())
    lateness.stop()
    return [results[number] for number in range(len(rule_sets))]


def _host(number: int) -> str:
    """The loopback address that only the run of this number uses."""
    return f"127.{FIRST_NETWORK + os.getpid() % NETWORKS}.{number // MAX_OCTET % MAX_OCTET}.{1 + number % MAX_OCTET}"


def _report(
    rule_sets: Sequence[Sequence[Rule]],
    results: Sequence[LifecycleResult],
    counts: dict[str, CallCounts],
    took_s: float,
) -> None:
    failed = [(rules, result) for rules, result in zip(rule_sets, results, strict=True) if result.has_faults]
    for rules, result in failed[:MAX_SHOWN]:
        print(f"BAD {'; '.join(result.rules)}: {'; '.join(dict.fromkeys(result.faults))}")
        print(f"    replay: {format_rules(rules)}")
        for line in result.log[-3:]:
            print(f"    | {line}")
    singles = [(rules[0], result) for rules, result in zip(rule_sets, results, strict=True) if len(rules) == 1]
    if len(singles) == len(rule_sets):
        _print_table(singles, counts)
    not_valid = Counter(result.not_valid for result in results if result.not_valid and not result.has_faults)
    for reason, number in not_valid.items():
        print(f"{number} not valid: {reason}")
    retry_reasons = [reason for result in results if not result.not_valid for reason in result.held_up]
    for reason in retry_reasons[:MAX_SHOWN]:
        print(f"run again: {reason}")
    without_failure = sum(not result.failed_calls and not result.not_valid for result in results)
    print(
        f"{len(results)} runs, {sum(not_valid.values())} not valid, {len(failed)} failed, "
        f"{len(retry_reasons)} repeated; "
        f"in {without_failure} no call failed, because none of that kind fell in its span; {took_s:.0f} s"
    )


def _print_table(singles: Iterable[tuple[Rule, LifecycleResult]], counts: dict[str, CallCounts]) -> None:
    """Print a line for each (call, error) pair."""
    rows: dict[tuple[str, str], list[int]] = {}
    for rule, result in singles:
        row = rows.setdefault((rule.kind, rule.error), [0, 0])
        row[0] += 1
        row[1] += result.has_faults
    for (kind, error), (number, failed) in rows.items():
        count = counts[kind]
        print(f"{kind:12} {error:14} calls {count.before:4} + {count.since:4}  runs {number:3}  failed {failed}")


def _options(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "lanemux soak --every-call",
        allow_abbrev=False,
        description="Run one balancer from start to exit, many times, each time with other C library calls failing.",
    )
    parser.add_argument("--every-call", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--kinds", type=lambda text: text.split(","), metavar="A,B", help="only calls of these kinds")
    parser.add_argument(
        "--places",
        type=int,
        default=POSITIONS_PER_KIND,
        metavar="N",
        help="how many calls of each kind fail, each in a run of its own",
    )
    parser.add_argument("--sample", type=int, metavar="N", help="only N of the runs, drawn by --seed")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--combinations", metavar="A-B", help="two or three failures per run, drawn from these seeds")
    parser.add_argument("--replay", metavar="RULES", help="one run, with the rules printed for a failed one")
    parser.add_argument("--times", type=int, default=1, metavar="N", help="repeat the run of --replay N times")
    parser.add_argument("--at-once", type=int, default=CONCURRENT_RUNS, metavar="N", help="concurrent runs")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--quiet", action="store_true", help="print no progress")
    parser.add_argument(
        "--command", nargs=argparse.REMAINDER, metavar="WORD", help="the command that starts a balancer"
    )
    return parser.parse_args(argv)
