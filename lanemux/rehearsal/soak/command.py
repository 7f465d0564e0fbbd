"""`python -m lanemux soak`: runs seeds one after another and keeps the evidence of those that fail."""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from lanemux.rehearsal import report
from lanemux.rehearsal.calls.library import CompilerError, build_library
from lanemux.rehearsal.calls.rules import format_rules
from lanemux.rehearsal.command import SIGNAL_STATUS_BASE, EndedBySignal, rehearse_until_signal
from lanemux.rehearsal.rules import violation_counts
from lanemux.rehearsal.run import CannotRun, Run
from lanemux.rehearsal.soak.draw import SECONDS, SoakRun, draw

ALL_PASSED, SOME_FAILED, USAGE_ERROR, NOT_VALID = 0, 1, 2, 3
EVERY_CALL = "--every-call"  # run `calls.command` instead of seeds: each call of one balancer fails in turn
DEFAULT_SEEDS = "1-5"
MAX_SEEDS = 10_000
MAX_DETAILS = 400  # characters of reasons and faults on a seed's line
MAX_BUSY_SHARE = 0.6  # of a second of processor time: the load of these runs stays below it, a busy loop exceeds it


@dataclass
class Outcome:
    """The result of one seed."""

    seed: int
    valid: bool
    kept: bool
    rules: dict[str, int] = field(default_factory=dict)
    crashes: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # the first broken rules with the evidence
    service: float = 0.0
    busiest_share: float = 0.0  # the most processor time that any balancer used, as a share of a second
    descriptors_most: int = 0
    memory_most_mb: float = 0.0
    wall_s: float = 0.0
    not_valid: list[str] = field(default_factory=list)  # why the run can't be judged

    @property
    def failed(self) -> bool:
        """A rule was broken, or a process crashed, hung or did not start. False for a run that is not valid."""
        return not self.kept and self.valid


def main(argv: Sequence[str]) -> int:
    """Run the seeds. Exit status 0: none failed; 1: some did; 2: usage error; 3: no run was valid."""
    if EVERY_CALL in argv:
        from lanemux.rehearsal.calls.command import main as every_call

        return every_call(argv)
    options = _options(argv)
    try:
        seeds = [options.replay] if options.replay is not None else list(read_seeds(options.seeds))
    except ValueError as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return USAGE_ERROR
    outcomes: list[Outcome] = []
    end_s = time.monotonic() + options.minutes * 60 if options.minutes else float("inf")
    for seed in seeds:
        if time.monotonic() >= end_s:
            print(f"time limit reached: {len(seeds) - len(outcomes)} of {len(seeds)} seeds were not run")
            break
        run, keep = draw(seed, options.seconds, options.balancers), options.replay is not None
        try:
            outcomes.append(_run_seed(run, options.module, Path(options.evidence), keep))
        except EndedBySignal as error:
            print(f"lanemux: ended by {error.by.name} during seed {seed}", file=sys.stderr)
            return SIGNAL_STATUS_BASE + error.by
        print(_summary_line(outcomes[-1]), flush=True)
    if options.json:
        Path(options.json).write_text(json.dumps({"outcomes": [asdict(o) for o in outcomes]}, indent=1) + "\n")
    failed = [o.seed for o in outcomes if o.failed]
    print(f"{len(outcomes)} seeds run, {sum(o.valid for o in outcomes)} valid, {len(failed)} failed {failed or ''}")
    if failed:
        return SOME_FAILED
    return ALL_PASSED if any(o.valid for o in outcomes) else NOT_VALID


def read_seeds(text: str) -> Iterable[int]:
    """The seeds of `A-B` or `A`. Raises ValueError for anything else."""
    first, _, last = text.partition("-")
    if not first.isdecimal() or (last and not last.isdecimal()):
        raise ValueError(f"--seeds: {text!r} is not A-B")
    seeds = range(int(first), int(last or first) + 1)
    if not 0 < len(seeds) <= MAX_SEEDS:
        raise ValueError(f"--seeds: from 1 to {MAX_SEEDS} seeds")
    return seeds


def _run_seed(run: SoakRun, module: str, evidence: Path, keep: bool) -> Outcome:
    """Run one seed against balancers started from `module`; keep its folder if it fails or `keep` is set."""
    with tempfile.TemporaryDirectory(prefix=f"soak-{run.seed}-") as folder:
        plan = Path(folder) / "injection.json"
        plan.write_text(run.injection.to_json())
        preload = _preload(run, Path(folder))
        command = [*preload, sys.executable, "-m", "lanemux.rehearsal.injection", str(plan), module]
        logs = Path(folder) / "logs"
        logs.mkdir()
        started = time.monotonic()
        try:
            outcome = _judge(
                run.seed,
                asyncio.run(rehearse_until_signal(run.scenario, run.seed, command, folder=logs)),
                evidence / str(run.seed),
            )
        except CannotRun as error:
            outcome = Outcome(run.seed, valid=True, kept=False, crashes=[str(error)])
        outcome.wall_s = time.monotonic() - started
        if outcome.failed or keep:
            shutil.copytree(folder, evidence / str(run.seed), dirs_exist_ok=True)
    return outcome


def _preload(run: SoakRun, folder: Path) -> list[str]:
    """The prefix of a balancer's command that makes its calls fail; empty if the library can't be built."""
    if not run.calls:
        return []
    try:
        library = build_library(folder)
    except CompilerError as error:
        print(f"lanemux: {error}: no calls of the C library fail", file=sys.stderr)
        return []
    return [
        "/usr/bin/env",
        f"LD_PRELOAD={library}",
        f"LANEMUX_FAIL={format_rules(run.calls)}",
        f"LANEMUX_FAIL_SEED={run.seed}",
    ]


def _judge(seed: int, run: Run, evidence: Path) -> Outcome:
    """The outcome of a finished run; writes its report and timeline if it failed."""
    if run.callers.busiest_share > MAX_BUSY_SHARE:
        run.crashes.append(f"a balancer kept a processor busy for {run.callers.busiest_share:.0%} of a second")
    outcome = Outcome(
        seed,
        run.validity.valid,
        run.passed,
        violation_counts(run.violations),
        run.crashes,
        report.failure_lines(run),
        run.figures.service,
        run.callers.busiest_share,
        run.callers.descriptors_most,
        run.callers.memory_most_mb,
        not_valid=run.validity.reasons,
    )
    if outcome.failed:
        evidence.mkdir(parents=True, exist_ok=True)
        (evidence / "report.json").write_text(json.dumps(report.as_json(run, f"soak {seed}"), indent=1) + "\n")
        (evidence / "timeline.txt").write_text("\n".join(_timeline(run)) + "\n")
    return outcome


def _timeline(run: Run) -> Iterator[str]:
    """The scenario's events, broken rules, and every try and attempt of the requests they concern, in order of time."""
    request_ids = {violation.request for violation in run.violations}
    lines = [(event.at_ns, f"{event.what} {event.who}") for event in run.plan.happenings]
    lines += [(violation.at_ns, f"RULE {violation.rule}: {violation.proof}") for violation in run.violations]
    lines += [
        (
            entry.sent_ns,
            f"request {entry.id} to balancer {entry.balancer}: {entry.how} {entry.status or ''} "
            f"at {entry.end_ns / 1e9:.3f}, due {entry.deadline_ns / 1e9:.3f}",
        )
        for entry in run.callers.tries
        if entry.id in request_ids
    ]
    lines += [
        (
            attempt.first_lo_ns,
            f"attempt of {attempt.id} at box {attempt.box}: {attempt.how} at {attempt.end_ns / 1e9:.3f}",
        )
        for attempt in run.boxes.attempts
        if attempt.id in request_ids
    ]
    return (f"{at_ns / 1e9:8.3f} {text}" for at_ns, text in sorted(lines))


def _summary_line(outcome: Outcome) -> str:
    state = "FAILED" if outcome.failed else "kept" if outcome.valid else "not valid"
    broken = {rule: count for rule, count in outcome.rules.items() if count}
    figures = [
        f"service {outcome.service:.3f}",
        f"busiest {outcome.busiest_share:.2f}",
        f"descriptors {outcome.descriptors_most}",
        f"memory {outcome.memory_most_mb:.0f} MB",
        f"{outcome.wall_s:.0f} s",
    ]
    details = "; ".join(dict.fromkeys([*outcome.not_valid, *outcome.faults, *outcome.crashes]))[:MAX_DETAILS]
    return "  ".join([f"seed {outcome.seed}: {state}", *figures, str(broken or ""), details]).rstrip()


def _options(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "lanemux soak",
        allow_abbrev=False,
        description=(
            "Run short rehearsals drawn from seeds against balancers with failing system calls, and check the rules."
        ),
    )
    parser.add_argument(EVERY_CALL, action="store_true", help="runs with single failing calls; has its own options")
    parser.add_argument("--seeds", default=DEFAULT_SEEDS, metavar="A-B")
    parser.add_argument("--replay", type=int, metavar="SEED", help="one seed; its evidence is always kept")
    parser.add_argument("--minutes", type=float, metavar="M", help="start no further seed after M minutes")
    parser.add_argument("--seconds", type=float, default=SECONDS, metavar="S", help="length of each run")
    parser.add_argument("--balancers", type=int, metavar="N", help="balancers in each run, instead of a drawn number")
    parser.add_argument("--module", metavar="NAME", default="lanemux", help="the module that starts a balancer")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument(
        "--evidence", metavar="DIR", default="soak-evidence", help="where each failed seed gets a folder"
    )
    return parser.parse_args(argv)
