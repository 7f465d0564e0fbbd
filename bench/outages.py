"""Effect of the storm module on an outage, on the virtual clock: off, on, and with one of its parts disabled.

    python -m bench.outages [SEEDS] [--first N] [--world NAME] [--only BUILD ...] [--jobs N] [--json FILE] [--plot]

A third of the boxes crashes at the same time and is back, cold, before discovery reports the crash; boxes are not
probed; clients retry at once and do not mark retries. Every build runs the same plans, seed by seed.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import math
import multiprocessing
import os
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from lanemux import interface as api
from lanemux.policy import Balancer
from lanemux.rehearsal.command import find_scenario
from lanemux.rehearsal.scenario import (
    DEFAULT_CLASSES,
    DEFAULT_PARTNERS,
    Callers,
    Discovery,
    Fault,
    Fleet,
    Load,
    Scenario,
)
from lanemux.rehearsal.service import time_series
from lanemux.storm.module import StormModule, StormOptions
from lanemux.storm.restarts import RestartDetector
from lanemux.virtual.network import LinkConditions
from lanemux.virtual.script import Script, WorldSetup
from lanemux.virtual.simulation import play

MS, SECOND = 1_000_000, 1_000_000_000
OFF, ON = "off", "on"


class _NoSpread(StormModule):
    """Leaves Retry-After as the policy set it instead of spreading the returns."""

    def _with_retry_after(self, action: api.Refuse, now: int) -> api.Refuse:
        self._count_unserved(action.request)
        return action


class _DisabledRestartDetector(RestartDetector):
    def observe(self, upstream: int, result: api.Result, now: int) -> api.Upstream | None:
        """Detect nothing: only the upstream list reports restarts."""
        return None


class _NoRestarts(StormModule):
    """Does not detect restarts of upstreams."""

    def __init__(self, inner: Balancer, settings: api.Settings, options: StormOptions, seed: int, now: int) -> None:
        super().__init__(inner, settings, options, seed, now)
        self._restart_detector = _DisabledRestartDetector()


BUILDS: dict[str, type[StormModule] | None] = {
    OFF: None,
    ON: StormModule,
    "no spread of returns": _NoSpread,
    "no finding out": _NoRestarts,
}


@dataclass(frozen=True, slots=True)
class World:
    """Parameters of an outage."""

    looks: bool = False  # whether balancers probe the boxes
    marks: bool = False  # whether clients mark retries
    balancers: int = 8
    boxes: int = 8
    load: float = 0.8  # share of the boxes' capacity
    part: float = 0.34  # share of the boxes that crash
    down_s: tuple[float, float] = (1.0, 3.0)
    notice_s: tuple[float, float] = (5.0, 9.0)  # from the crash to its report by discovery: after the box is back
    seconds: float = 16.0
    honour: float = 0.3  # share of the clients that obey Retry-After
    fall_multiple: float = 2.5  # a cold box crashes at this multiple of its capacity


WORLDS = {
    "blind": World(),  # no probes; crashes are reported after the boxes are back
    "told": World(notice_s=(0.3, 0.9), down_s=(2.0, 4.0)),  # no probes; crashes are reported soon
    "looks": World(looks=True),
    "marked": World(marks=True),
    "overload": World(load=1.1),
    "many": World(balancers=16, boxes=6, load=0.9),
    "many-over": World(balancers=16, boxes=6, load=1.4, part=0.5),
    "half": World(balancers=16, boxes=8, load=0.9, part=0.5, honour=0.0),
    "frail": World(fall_multiple=1.3),
    "frail-over": World(fall_multiple=1.3, load=1.1),
    "frail-told": World(fall_multiple=1.3, load=1.1, notice_s=(0.3, 0.9), down_s=(2.0, 4.0)),
}
CRASH_S = 5.0


PARTNER, PARTNERS_WORLD = "miami-desk", "partner"  # that partner's retry storm: the scenario partner-storm


def setting(name: str) -> WorldSetup:
    """The world as a setting of the simulation."""
    links = dict.fromkeys(("client", "box", "list", "peer"), LinkConditions(jitter_ns=100_000))
    return WorldSetup(find_scenario("partner-storm", "") if name == PARTNERS_WORLD else _outage(WORLDS[name]), links)


def _outage(world: World) -> Scenario:
    mean_s = sum(c.share * c.work_ms for c in DEFAULT_CLASSES) / 1000
    return Scenario(
        "an outage",
        world.seconds,
        1.0,
        Fleet(boxes=world.boxes, balancers=world.balancers, looks=world.looks, fall_multiple=world.fall_multiple),
        Load(rate=world.load * world.boxes / mean_s, swing=0.1),
        Callers(at_once=1.0, honour=world.honour, marks=world.marks),
        Discovery(notice_s=world.notice_s, add_s=(0.77, 2.5)),
        classes=DEFAULT_CLASSES,
        partners=DEFAULT_PARTNERS,
        faults=(Fault("crash", at_s=CRASH_S, part=(world.part, world.part), down_s=world.down_s),),
    )


@dataclass(slots=True)
class Row:
    """One build's run of one seed."""

    build: str
    seed: int
    service: float
    outage_service: float  # from the crashes until some seconds after the last box is back
    recovery_s: float
    returns_peak: float
    fell: int  # boxes that crashed of overload while cold
    budget: float  # largest share of a cold box's load budget that it was sent
    attempts_per_ask: float
    others: float  # mean service of the other partners, within their shares
    broken: dict[str, int]
    worth: list[tuple[float, float]]  # value earned and requested, per half second


def run(job: tuple[str, str, int]) -> Row:
    """One run."""
    name, build, seed = job
    module_class = BUILDS[build]

    def wrap(policy: Balancer, settings: api.Settings, seed: int, now: int) -> StormModule | Balancer:
        return policy if module_class is None else module_class(policy, settings, StormOptions(), seed, now)

    result = play(Script(seed), setup=setting(name), wrap_module=wrap)
    broken: dict[str, int] = {}
    for violation in result.violations:
        broken[violation.rule] = broken.get(violation.rule, 0) + 1
    f = result.figures
    fell = len({v.box for v in result.violations if v.rule == "cold"})
    return Row(
        build,
        seed,
        f.service,
        f.outage_service,
        f.recovery_s,
        f.returns_peak,
        fell,
        f.cold_budget_most,
        f.attempts_per_ask,
        statistics.mean(v for p, v in f.by_partner.items() if p != PARTNER),
        broken,
        [(sum(p.earned.values()), sum(p.asked.values())) for p in time_series(result.plan, result.boxes, result.books)],
    )


def spread(values: Sequence[float]) -> str:
    """Mean and standard deviation."""
    return f"{statistics.mean(values):.3f} ({statistics.pstdev(values):.3f})" if values else "-"


def line(build: str, rows: Sequence[Row], off: Sequence[Row]) -> str:
    """One build's row of the table."""
    others: dict[str, int] = {}
    for row in rows:
        for rule, count in row.broken.items():
            if rule != "cold":
                others[rule] = others.get(rule, 0) + count
    back = [r.recovery_s for r in rows if r.recovery_s >= 0]
    before = {r.seed: r.outage_service for r in off}
    gaps = [r.outage_service - before[r.seed] for r in rows if r.seed in before]
    error = statistics.stdev(gaps) / len(gaps) ** 0.5 if len(gaps) > 1 else 0.0
    return (
        f"{build:<22}{sum(r.fell for r in rows):>5}{sum(r.fell > 0 for r in rows):>6}"
        f"{max(r.budget for r in rows):>8.2f}{statistics.median(r.budget for r in rows):>7.2f}  "
        f"{spread([r.service for r in rows])}  {spread([r.outage_service for r in rows])}  "
        f"{statistics.mean(gaps) if gaps else 0:+.3f} ({error:.3f})  "
        f"{statistics.median(back) if back else math.nan:6.2f} s{len(rows) - len(back):>5}  "
        f"{statistics.median(r.returns_peak for r in rows):6.2f}  "
        f"{statistics.median(r.attempts_per_ask for r in rows):5.2f}  "
        f"{spread([r.others for r in rows])}  {others or ''}"
    )


def table(rows: Iterable[Row]) -> None:
    """Print one row per build."""
    by_build: dict[str, list[Row]] = {}
    for row in rows:
        by_build.setdefault(row.build, []).append(row)
    print(
        f"{'':<22}{'fell':>5}{'seeds':>6}{'budget':>8}{'med.':>7}  service        in the outage  over off        "
        "back after  never  peak  tries  other partners  other rules broken"
    )
    for build, own in by_build.items():
        print(line(build, own, by_build.get(OFF, [])), flush=True)


def plot(rows: Sequence[Row], builds: Sequence[str]) -> None:
    """Print the service per half second over all seeds as a Mermaid chart, without the last, incomplete half second."""
    lines: list[tuple[str, list[float]]] = []
    for build in builds:
        own = [r.worth for r in rows if r.build == build]
        steps = min(len(w) for w in own) - 1
        lines.append((build, [sum(w[i][0] for w in own) / max(1.0, sum(w[i][1] for w in own)) for i in range(steps)]))
    steps = len(lines[0][1])
    names = ", ".join(name for name, _ in lines)
    print(f'```mermaid\nxychart-beta\n    title "service by half seconds: {names}"')
    print(f'    x-axis "seconds; a third of the boxes dies at {CRASH_S:g}" 0 --> {steps / 2:g}')
    print('    y-axis "service" 0 --> 1')
    for _, values in lines:
        print("    line [" + ", ".join(f"{v:.2f}" for v in values) + "]")
    print("```")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("seeds", type=int, nargs="?", default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--world", choices=sorted([*WORLDS, PARTNERS_WORLD]), default="blind")
    parser.add_argument("--only", nargs="+", choices=list(BUILDS), default=list(BUILDS))
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--plot", action="store_true")
    options = parser.parse_args()
    jobs = [
        (options.world, build, seed)
        for seed in range(options.first, options.first + options.seeds)
        for build in options.only
    ]
    with multiprocessing.get_context("spawn").Pool(options.jobs) as pool:
        rows = list(pool.imap_unordered(run, jobs))
    rows.sort(key=lambda r: (options.only.index(r.build), r.seed))
    table(rows)
    if options.plot:
        plot(rows, options.only)
    if options.json:
        options.json.write_text(json.dumps([dataclasses.asdict(r) for r in rows], indent=1) + "\n")


if __name__ == "__main__":
    main()
