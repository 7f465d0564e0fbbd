"""`python -m lanemux simulate`: runs seeds, replays one, writes its timeline and sets the exit status."""

from __future__ import annotations

import argparse
import contextlib
import hashlib
import json
import multiprocessing
import os
import sys
import time
from collections import Counter
from collections.abc import Generator, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from lanemux.validation import installed
from lanemux.virtual.script import EVENTS, FAULTS, Script, as_test, draw, needs_etcd
from lanemux.virtual.shrink import MAX_RUNS, shrink
from lanemux.virtual.simulation import Result, play

PASSED, FAILED, USAGE_ERROR = 0, 1, 2
DEFAULT_SEEDS = "1-200"
MAX_SEEDS = 1_000_000
MAX_SHRUNK_SEEDS = 3  # failing seeds that one call shrinks; the others are only listed
ETCD_EXTRA_HINT = "they need the extra `etcd`: pip install '.[etcd]'"
MAX_SHOWN_VIOLATIONS = 5  # violations printed for each seed


@dataclass(slots=True)
class SeedResult:
    """Summary of one seed's run."""

    seed: int
    digest: str
    violations: list[str]
    steps: int
    virtual_s: float
    service: float
    covered: Counter[tuple[str, str]] = field(default_factory=Counter)


def main(argv: Sequence[str]) -> int:
    """Run seeds. Exit status 0: none failed; 1: some failed; 2: invalid arguments."""
    options = _options(argv)
    if options.replay is not None:
        return _replay(options)
    seeds, left_out = playable(range(options.seeds[0], options.seeds[1] + 1))
    if left_out:
        print(f"{len(left_out)} seeds that take their list from etcd are left out: {ETCD_EXTRA_HINT}", file=sys.stderr)
    began = time.monotonic()
    results = _run_all(seeds, options.jobs, options.first, options.storm)
    wall_s = time.monotonic() - began
    failed = [p for p in results if p.violations]
    for p in failed:
        _print_violations(p)
    _print_summary(results, wall_s, options.jobs)
    if options.json:
        report = as_json(results, wall_s, options.jobs) | {"left_out": left_out}
        Path(options.json).write_text(json.dumps(report, indent=1) + "\n")
    for p in failed[:MAX_SHRUNK_SEEDS] if options.shrink else ():
        _print_shrunk(p.seed, options.storm)
    return FAILED if failed else PASSED


def playable(seeds: range) -> tuple[Sequence[int], list[int]]:
    """Split seeds into those that run with the installed packages and those left out because they need etcd."""
    if installed("grpclib"):
        return seeds, []
    left_out = [seed for seed in seeds if needs_etcd(seed)]
    return [seed for seed in seeds if not needs_etcd(seed)], left_out


def _run_all(seeds: Iterable[int], jobs: int, stop_at_first_failure: bool, storm: bool) -> list[SeedResult]:
    found = []
    with contextlib.closing(run_seeds(seeds, jobs, storm)) as runs:
        for result in runs:
            found.append(result)
            if stop_at_first_failure and result.violations:
                break
    return found


def run_seeds(seeds: Iterable[int], jobs: int, storm: bool = False) -> Generator[SeedResult, None, None]:
    """Run the seeds in `jobs` processes; results come in the order of the seeds."""
    run = run_storm if storm else run_seed
    if jobs == 1:
        yield from map(run, seeds)
        return
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap(run, seeds, chunksize=4)


def run_storm(seed: int) -> SeedResult:
    """Run a seed's storm script."""
    return run_seed(seed, storm=True)


def run_seed(seed: int, storm: bool = False) -> SeedResult:
    """Run a seed's script."""
    result = play(draw(seed, storm))
    return SeedResult(
        seed,
        result.digest,
        [_format_violation(v.rule, v.at_ns, v.request, v.box, v.proof) for v in result.violations],
        result.steps,
        result.virtual_s,
        result.figures.service,
        result.covered,
    )


def digest_of(results: Iterable[SeedResult]) -> str:
    """A hash over the histories of all runs."""
    history_hash = hashlib.blake2b(digest_size=16)
    for p in results:
        history_hash.update(f"{p.seed} {p.digest}\n".encode())
    return history_hash.hexdigest()


def as_json(results: Sequence[SeedResult], wall_s: float, jobs: int) -> dict[str, object]:
    covered: Counter[tuple[str, str]] = sum((p.covered for p in results), Counter())
    return {
        "seeds": [p.seed for p in results],
        "failed": [p.seed for p in results if p.violations],
        "digest": digest_of(results),
        "digests": {p.seed: p.digest for p in results},
        "violations": {p.seed: p.violations for p in results if p.violations},
        "wall_s": round(wall_s, 3),
        "jobs": jobs,
        "virtual_s": round(sum(p.virtual_s for p in results), 3),
        "steps": sum(p.steps for p in results),
        "covered": {
            what: {event: covered[what, event] for event in (*EVENTS, "time") if covered[what, event]}
            for what in FAULTS
        },
    }


def _format_violation(rule: str, at_ns: int, request: str, box: str, proof: str) -> str:
    subject = " ".join(word for word in (request, box) if word)
    return f"{at_ns / 1e9:.6f} s {rule} {subject}: {proof}"


def _print_violations(result: SeedResult) -> None:
    print(f"seed {result.seed}: {len(result.violations)} violations")
    for line in result.violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {line}")


def _print_summary(results: Sequence[SeedResult], wall_s: float, jobs: int) -> None:
    virtual = sum(p.virtual_s for p in results)
    faults = sum(sum(p.covered.values()) for p in results)
    print(f"{len(results)} seeds, {sum(bool(p.violations) for p in results)} failed, digest {digest_of(results)}")
    print(
        f"{wall_s:.1f} s on {jobs} processes: {len(results) / wall_s / jobs:.2f} seeds a second each, "
        f"{virtual / wall_s:.0f} virtual seconds a second; {sum(p.steps for p in results)} steps, {faults} faults"
    )


def _print_shrunk(seed: int, storm: bool = False, max_runs: int = MAX_RUNS) -> None:
    """Shrink a failing seed's script and print the smallest one that still breaks one of the same rules."""
    result = play(draw(seed, storm))
    rules = {v.rule for v in result.violations}

    def fails(script: Script) -> bool:
        return any(v.rule in rules for v in play(script).violations)

    smallest, runs = shrink(result.script, result.asks, fails, max_runs)
    print(
        f"\n# seed {seed}: {len(result.script.faults)} faults and {result.asks} asks cut down to "
        f"{len(smallest.faults)} and {result.asks if smallest.asks is None else len(smallest.asks)} in {runs} runs"
    )
    print(as_test(smallest))


def _replay(options: argparse.Namespace) -> int:
    if needs_etcd(options.replay) and not installed("grpclib"):
        print(f"lanemux: seed {options.replay} takes its list from etcd: {ETCD_EXTRA_HINT}", file=sys.stderr)
        return USAGE_ERROR
    result = play(draw(options.replay, options.storm), trace_enabled=bool(options.trace))
    _print_replay(result)
    if options.trace:
        Path(options.trace).write_text("\n".join(timeline(result)) + "\n")
    if result.violations and options.shrink:
        _print_shrunk(options.replay, options.storm)
    return FAILED if result.violations else PASSED


def timeline(result: Result) -> list[str]:
    """Everything that the parties of a run observed, ordered by time."""
    lines = [(float(line.split()[0]), line) for line in result.timeline]
    for entry in result.books.tries:
        for at, what in (
            (entry.sent_ns, f"asks balancer {entry.balancer}: {entry.target}"),
            (entry.end_ns, f"{entry.how} {entry.status or ''} by balancer {entry.balancer}"),
        ):
            lines.append((at / 1e9, f"{at / 1e9:12.6f}  caller {entry.id[:8]:<15} {what}"))
    for attempt in result.boxes.attempts:
        for at, what in (
            (attempt.whole_ns, f"asked by balancer {attempt.balancer} for {attempt.id[:8]}"),
            (attempt.end_ns, f"{attempt.how} {attempt.id[:8]}, open until {attempt.open_ns / 1e9:.6f}"),
        ):
            lines.append((at / 1e9, f"{at / 1e9:12.6f}  {'box ' + str(attempt.box):<22} {what}"))
    for news in result.books.told:
        if news.written_ns > 0:
            at_s = news.written_ns / 1e9
            lines.append(
                (
                    at_s,
                    f"{at_s:12.6f}  {'discovery':<22} tells balancer {news.balancer}: box {news.box} is {news.health}",
                )
            )
    for v in result.violations:
        lines.append(
            (v.at_ns / 1e9, f"{v.at_ns / 1e9:12.6f}  {'VIOLATION':<22} {v.rule} {v.request} {v.box} {v.proof}")
        )
    return [line for _, line in sorted(lines, key=lambda pair: pair[0])]


def _print_replay(result: Result) -> None:
    print(
        f"seed {result.script.seed}: digest {result.digest}, {result.steps} steps, "
        f"{result.virtual_s:.3f} virtual seconds, service {result.figures.service:.3f}"
    )
    for fault in result.script.faults:
        print(f"  {fault}")
    for v in result.violations:
        print(f"  {_format_violation(v.rule, v.at_ns, v.request, v.box, v.proof)}")


def _seed_range(text: str) -> tuple[int, int]:
    first, dash, last = text.partition("-")
    if not first.isdigit() or (dash and not last.isdigit()):
        raise argparse.ArgumentTypeError(f"{text!r} is not A-B")
    low, high = int(first), int(last if dash else first)
    if low > high or high - low >= MAX_SEEDS:
        raise argparse.ArgumentTypeError(f"{text!r}: A must not exceed B, and at most {MAX_SEEDS} seeds are allowed")
    return low, high


def _options(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "lanemux simulate",
        allow_abbrev=False,
        description=(
            "Run the real balancer code on a virtual clock against faults drawn from seeds, checking the four rules "
            "after every step. Exit status 0: no seed failed; 1: some failed."
        ),
    )
    parser.add_argument(
        "--seeds",
        metavar="A-B",
        type=_seed_range,
        default=_seed_range(DEFAULT_SEEDS),
        help=f"range of seeds to run (default {DEFAULT_SEEDS})",
    )
    parser.add_argument("--json", metavar="FILE", help="write a report to FILE")
    parser.add_argument(
        "--jobs", metavar="N", type=int, default=os.cpu_count() or 1, help="number of processes (default: cores)"
    )
    parser.add_argument("--replay", metavar="SEED", type=int, help="run one seed again")
    parser.add_argument("--trace", metavar="FILE", help="with --replay: write the timeline to FILE")
    parser.add_argument(
        "--storm", action="store_true", help="run storms: boxes die together, callers retry at once, [storm] is enabled"
    )
    parser.add_argument("--first", action="store_true", help="stop at the first seed that fails")
    parser.add_argument(
        "--no-shrink", dest="shrink", action="store_false", help="do not shrink the script of a failing seed"
    )
    options = parser.parse_args(argv)
    if options.jobs < 1 or (options.trace and options.replay is None):
        parser.error("--jobs must be at least 1; --trace requires --replay")
    return options


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
