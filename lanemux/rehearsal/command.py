"""The `python -m lanemux rehearse` command: options, scenario lookup, reports and exit status."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import os
import shlex
import signal
import sys
from collections.abc import Sequence
from importlib import resources
from pathlib import Path

from lanemux.operators import load, read_text
from lanemux.rehearsal import report
from lanemux.rehearsal.callers import Callers
from lanemux.rehearsal.run import CannotRun, ProgressCallback, Run, rehearse
from lanemux.rehearsal.scenario import MAX_BALANCERS, MAX_BOXES, Scenario, read_scenario, validated
from lanemux.validation import ValidationError, installed

PASSED, FAILED, USAGE_ERROR, INVALID = 0, 1, 2, 3
SIGNAL_STATUS_BASE = 128  # plus the signal number, as shells report it
DEFAULT_SCENARIO = "calm-short"
HONOUR_SHARES = {"none": 0.0, "partly": 0.5, "wholly": 1.0}  # share of callers that obey Retry-After


def main(argv: Sequence[str]) -> int:
    """Run one scenario and return the exit status.

    0: valid and passed; 1: failed; 2: usage error; 3: not valid; 128 plus the signal number if a signal ended it."""
    options = _parse_options(argv)
    try:
        operators = load(options.operators)
        if options.list:
            for name, title in sorted(_scenario_titles(operators.rehearsal.scenarios_directory).items()):
                print(f"{name:<24}{title}")
            return PASSED
        name = options.scenario
        scenario = _with_overrides(find_scenario(name, operators.rehearsal.scenarios_directory), options)
    except ValidationError as error:
        for fault in error.faults:
            print(f"lanemux: {fault}", file=sys.stderr)
        return USAGE_ERROR
    if options.html and not installed("plotly"):
        print("lanemux: --html needs the extra `rehearsal`: pip install '.[rehearsal]'", file=sys.stderr)
        return USAGE_ERROR
    if scenario.discovery.source == "etcd" and not installed("grpclib"):
        print("lanemux: this scenario needs the extra `etcd`: pip install '.[etcd]'", file=sys.stderr)
        return USAGE_ERROR
    command = shlex.split(options.program) if options.program else [sys.executable, "-m", "lanemux"]
    try:
        run = _run_scenario(scenario, options.seed, command)
    except (CannotRun, OSError) as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return USAGE_ERROR
    except EndedBySignal as error:
        print(f"lanemux: ended by {error.by.name} before the run was over", file=sys.stderr)
        return SIGNAL_STATUS_BASE + error.by
    _print_results(run, name)
    if options.json:
        Path(options.json).write_text(json.dumps(report.as_json(run, name), indent=1) + "\n")
    if options.html:
        from lanemux.rehearsal.page import as_html

        Path(options.html).write_text(as_html(run, name), encoding="utf-8")
    return exit_status(run)


def _run_scenario(scenario: Scenario, seed: int, command: Sequence[str]) -> Run:
    """Run the scenario; show progress if stderr is a terminal."""
    if not sys.stderr.isatty():
        return asyncio.run(rehearse_until_signal(scenario, seed, command, None))
    if not installed("rich"):
        run = asyncio.run(rehearse_until_signal(scenario, seed, command, _print_progress))
        print(file=sys.stderr)
        return run
    from rich.console import Console

    from lanemux.rehearsal.terminal import ProgressBar

    with ProgressBar(Console(stderr=True)) as bar:
        return asyncio.run(rehearse_until_signal(scenario, seed, command, bar.update))


def _print_results(run: Run, name: str) -> None:
    """Print the results table: plain lines for scripts and where rich is not installed."""
    if not (sys.stdout.isatty() and installed("rich")):
        print(report.as_text(run, name))
        return
    from rich.console import Console

    from lanemux.rehearsal.terminal import print_summary

    print_summary(run, name, Console())


class EndedBySignal(Exception):
    """The rehearsal was ended by a signal."""

    def __init__(self, number: signal.Signals) -> None:
        self.by = number


async def rehearse_until_signal(
    scenario: Scenario,
    seed: int,
    command: Sequence[str],
    progress: ProgressCallback | None = None,
    folder: Path | None = None,
) -> Run:
    """Run the rehearsal; SIGINT and SIGTERM cancel it, so that no balancer or box process is left behind."""
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(rehearse(scenario, seed, command, progress, folder))
    received: list[signal.Signals] = []

    def on_signal(number: signal.Signals) -> None:
        if not received:  # a second signal must not interrupt the cleanup
            received.append(number)
            task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, on_signal, number)
    try:
        return await task
    except asyncio.CancelledError:
        if received:
            raise EndedBySignal(received[0]) from None
        raise


def exit_status(run: Run) -> int:
    """The exit status of a run. A run that is not valid does not count as a failure of the balancers."""
    if not run.validity.valid:
        return INVALID
    return PASSED if run.passed else FAILED


def find_scenario(name: str, directory: str = "") -> Scenario:
    """Find a scenario by the path of a TOML file, or by name: first in `directory`, then among the bundled ones."""
    if name.endswith(".toml"):
        return read_scenario(read_text(Path(name)), name)
    own_file = Path(directory) / f"{name}.toml" if directory else None
    if own_file is not None and own_file.is_file() and "/" not in name:
        return read_scenario(read_text(own_file), str(own_file))
    bundled = resources.files("lanemux.rehearsal") / "scenarios" / f"{name}.toml"
    if "/" in name or not bundled.is_file():
        raise ValidationError([f"no scenario {name!r}; there are {', '.join(sorted(_scenario_titles(directory)))}"])
    return read_scenario(bundled.read_text(), name)


def _scenario_titles(directory: str) -> dict[str, str]:
    """The titles of all named scenarios, by name."""
    titles = {}
    for entry in (resources.files("lanemux.rehearsal") / "scenarios").iterdir():
        if entry.name.endswith(".toml"):
            titles[entry.name.removesuffix(".toml")] = read_scenario(entry.read_text(), entry.name).title
    for path in Path(directory).glob("*.toml") if directory else ():
        try:
            titles[path.stem] = read_scenario(read_text(path), str(path)).title
        except ValidationError as error:  # one invalid file must not hide the others
            titles[path.stem] = f"(can't be used: {error.faults[0]})"
    return titles


def _parse_options(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "lanemux rehearse",
        allow_abbrev=False,
        description=(
            "Run a scenario's traffic against balancers started on this machine's loopback, and check the result."
        ),
    )
    parser.add_argument("scenario", nargs="?", default=DEFAULT_SCENARIO, metavar="NAME|FILE.toml")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--seconds", type=float, metavar="S", help="length of the run")
    parser.add_argument("--rate", type=float, metavar="R", help="asks (logical client requests) per second")
    parser.add_argument("--balancers", type=int, metavar="N", help=f"at most {MAX_BALANCERS}")
    parser.add_argument("--boxes", type=int, metavar="N", help=f"at most {MAX_BOXES}")
    parser.add_argument("--honour", choices=sorted(HONOUR_SHARES), help="which callers obey Retry-After")
    parser.add_argument("--balancers-operators", metavar="FILE", help="operators' file passed to the balancers")
    parser.add_argument("--program", metavar="CMD", help="command that starts one balancer; default: this build")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--html", metavar="FILE", help="a page with plots; needs the extra `rehearsal`")
    parser.add_argument("--list", action="store_true", help="list the named scenarios")
    parser.add_argument("--operators", metavar="FILE", default=os.environ.get("LANEMUX_OPERATORS"))
    return parser.parse_args(argv)


def _with_overrides(scenario: Scenario, options: argparse.Namespace) -> Scenario:
    """The scenario with the command line's values, checked against the same limits as the file's."""
    limits = [
        ("--seconds", options.seconds, 1, 3600),
        ("--rate", options.rate, 0.1, 5000),
        ("--balancers", options.balancers, 1, MAX_BALANCERS),
        ("--boxes", options.boxes, 1, MAX_BOXES),
    ]
    faults = [
        f"{name}: {value:g} is not from {low:g} to {high:g}"
        for name, value, low, high in limits
        if value is not None and not low <= value <= high
    ]
    if faults:
        raise ValidationError(faults)
    fleet = dataclasses.replace(
        scenario.fleet,
        balancers=options.balancers or scenario.fleet.balancers,
        boxes=options.boxes or scenario.fleet.boxes,
    )
    load_section = dataclasses.replace(scenario.load, rate=options.rate or scenario.load.rate)
    callers = scenario.callers
    if options.honour:
        callers = dataclasses.replace(callers, honour=HONOUR_SHARES[options.honour])
    operators_file = options.balancers_operators
    return validated(
        dataclasses.replace(
            scenario,
            fleet=fleet,
            load=load_section,
            callers=callers,
            seconds=options.seconds or scenario.seconds,
            operators=scenario.operators if operators_file is None else read_text(Path(operators_file)),
        ),
        "command line",
    )


def _print_progress(at_s: float, callers: Callers) -> None:
    total_s = callers.plan.scenario.seconds
    print(
        f"\r{min(at_s, total_s):5.0f} of {total_s:.0f} s   {callers.asked} asks   {len(callers.records.tries)} tries ",
        end="",
        file=sys.stderr,
        flush=True,
    )
