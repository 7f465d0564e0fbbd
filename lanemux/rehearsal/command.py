"""`python -m lanemux rehearse`: options, scenarios by name or file, reports, exit status."""

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
from lanemux.rehearsal.run import CannotRun, Progress, Run, rehearse
from lanemux.rehearsal.scenario import MAX_BALANCERS, MAX_BOXES, Scenario, read_scenario, validated
from lanemux.validation import ValidationError, installed

KEPT, BROKEN, BAD_USE, NOT_VALID = 0, 1, 2, 3
SIGNAL_STATUS_BASE = 128  # and the signal's number, as shells tell it
DEFAULT = "calm-short"
HONOUR = {"none": 0.0, "partly": 0.5, "wholly": 1.0}  # share of callers that come back no sooner than they are told


def main(argv: Sequence[str]) -> int:
    """Play one scenario. 0: rules kept and valid; 1: a rule broken; 2: bad use; 3: not valid; ended by a signal: 128
    and its number."""
    options = _options(argv)
    try:
        operators = load(options.operators)
        if options.list:
            for name, title in sorted(_scenario_titles(operators.rehearsal.scenarios_directory).items()):
                print(f"{name:<24}{title}")
            return KEPT
        name = options.scenario
        scenario = _overridden(find_scenario(name, operators.rehearsal.scenarios_directory), options)
    except ValidationError as error:
        for fault in error.faults:
            print(f"lanemux: {fault}", file=sys.stderr)
        return BAD_USE
    if options.html and not installed("plotly"):
        print("lanemux: --html needs the extra `rehearsal`: pip install '.[rehearsal]'", file=sys.stderr)
        return BAD_USE
    if scenario.discovery.source == "etcd" and not installed("grpclib"):
        print("lanemux: this scenario needs the extra `etcd`: pip install '.[etcd]'", file=sys.stderr)
        return BAD_USE
    command = shlex.split(options.program) if options.program else [sys.executable, "-m", "lanemux"]
    try:
        run = _run(scenario, options.seed, command)
    except (CannotRun, OSError) as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return BAD_USE
    except EndedBySignal as error:
        print(f"lanemux: ended by {error.by.name} before the run was over", file=sys.stderr)
        return SIGNAL_STATUS_BASE + error.by
    _show(run, name)
    if options.json:
        Path(options.json).write_text(json.dumps(report.as_json(run, name), indent=1) + "\n")
    if options.html:
        from lanemux.rehearsal.page import as_html

        Path(options.html).write_text(as_html(run, name), encoding="utf-8")
    return status(run)


def _run(scenario: Scenario, seed: int, command: Sequence[str]) -> Run:
    """Play it; a terminal is shown how far it is."""
    if not sys.stderr.isatty():
        return asyncio.run(rehearse_until_signal(scenario, seed, command, None))
    if not installed("rich"):
        run = asyncio.run(rehearse_until_signal(scenario, seed, command, _progress))
        print(file=sys.stderr)
        return run
    from rich.console import Console

    from lanemux.rehearsal.terminal import ProgressBar

    with ProgressBar(Console(stderr=True)) as bar:
        return asyncio.run(rehearse_until_signal(scenario, seed, command, bar.update))


def _show(run: Run, name: str) -> None:
    """The table: plain lines for scripts and where rich is not installed."""
    if not (sys.stdout.isatty() and installed("rich")):
        print(report.as_text(run, name))
        return
    from rich.console import Console

    from lanemux.rehearsal.terminal import print_summary

    print_summary(run, name, Console())


class EndedBySignal(Exception):
    """A signal ended the rehearsal."""

    def __init__(self, by: signal.Signals) -> None:
        self.by = by


async def rehearse_until_signal(
    scenario: Scenario,
    seed: int,
    command: Sequence[str],
    progress: Progress | None = None,
    folder: Path | None = None,
) -> Run:
    """The rehearsal; a signal calls it off, so that it leaves no balancer and no box behind."""
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(rehearse(scenario, seed, command, progress, folder))
    ended: list[signal.Signals] = []

    def end(by: signal.Signals) -> None:
        if not ended:  # a second one must not interrupt the clearing away
            ended.append(by)
            task.cancel()

    for by in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(by, end, by)
    try:
        return await task
    except asyncio.CancelledError:
        if ended:
            raise EndedBySignal(ended[0]) from None
        raise


def status(run: Run) -> int:
    """The exit status that a run comes to. A run that is not valid accuses nobody."""
    if not run.validity.valid:
        return NOT_VALID
    return KEPT if run.passed else BROKEN


def find_scenario(name: str, directory: str = "") -> Scenario:
    """A scenario by the path of its file, or by its name among the operators' own and the kit's."""
    if name.endswith(".toml"):
        return read_scenario(read_text(Path(name)), name)
    own = Path(directory) / f"{name}.toml" if directory else None
    if own is not None and own.is_file() and "/" not in name:
        return read_scenario(read_text(own), str(own))
    ours = resources.files("lanemux.rehearsal") / "scenarios" / f"{name}.toml"
    if "/" in name or not ours.is_file():
        raise ValidationError([f"no scenario {name!r}; there are {', '.join(sorted(_scenario_titles(directory)))}"])
    return read_scenario(ours.read_text(), name)


def _scenario_titles(directory: str) -> dict[str, str]:
    """The titles of all scenarios that have a name."""
    titles = {}
    for entry in (resources.files("lanemux.rehearsal") / "scenarios").iterdir():
        if entry.name.endswith(".toml"):
            titles[entry.name.removesuffix(".toml")] = read_scenario(entry.read_text(), entry.name).title
    for path in Path(directory).glob("*.toml") if directory else ():
        try:
            titles[path.stem] = read_scenario(read_text(path), str(path)).title
        except ValidationError as error:  # one bad file must not hide the others
            titles[path.stem] = f"(can't be used: {error.faults[0]})"
    return titles


def _options(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "lanemux rehearse",
        allow_abbrev=False,
        description=("Play a day of service against balancers started on this machine's loopback, and judge it."),
    )
    parser.add_argument("scenario", nargs="?", default=DEFAULT, metavar="NAME|FILE.toml")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--seconds", type=float, metavar="S", help="length of the run")
    parser.add_argument("--rate", type=float, metavar="R", help="asks a second")
    parser.add_argument("--balancers", type=int, metavar="N", help=f"at most {MAX_BALANCERS}")
    parser.add_argument("--boxes", type=int, metavar="N", help=f"at most {MAX_BOXES}")
    parser.add_argument("--honour", choices=sorted(HONOUR), help="how callers heed Retry-After")
    parser.add_argument("--balancers-operators", metavar="FILE", help="the operators' file of the balancers")
    parser.add_argument("--program", metavar="CMD", help="what starts one balancer; default: this build")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--html", metavar="FILE", help="a page with plots; needs the extra `rehearsal`")
    parser.add_argument("--list", action="store_true", help="the scenarios that have a name")
    parser.add_argument("--operators", metavar="FILE", default=os.environ.get("LANEMUX_OPERATORS"))
    return parser.parse_args(argv)


def _overridden(scenario: Scenario, options: argparse.Namespace) -> Scenario:
    """The scenario with what the command line says otherwise, held to the same limits as the file."""
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
    load_ = dataclasses.replace(scenario.load, rate=options.rate or scenario.load.rate)
    callers = scenario.callers
    if options.honour:
        callers = dataclasses.replace(callers, honour=HONOUR[options.honour])
    given = options.balancers_operators
    return validated(
        dataclasses.replace(
            scenario,
            fleet=fleet,
            load=load_,
            callers=callers,
            seconds=options.seconds or scenario.seconds,
            operators=scenario.operators if given is None else read_text(Path(given)),
        ),
        "command line",
    )


def _progress(at_s: float, callers: Callers) -> None:
    whole = callers.plan.scenario.seconds
    print(
        f"\r{min(at_s, whole):5.0f} of {whole:.0f} s   {callers.asked} asks   {len(callers.books.tries)} tries ",
        end="",
        file=sys.stderr,
        flush=True,
    )
