"""What the storm module does and costs. Run from the repository's root:

    python -m bench.storms outage [SEEDS] [ABREAST]   # storm-short, each seed with [storm] off and on
    python -m bench.storms partner [SEEDS]            # partner-storm, the same
    python -m bench.storms flood [SEEDS]              # reconnect-flood, off and on, beside the day without it
    python -m bench.storms returns                    # 400 refused within 100 ms: who comes back when, off and on
    python -m bench.storms cost [ROUNDS]              # a calm day's request through the decisions, off and on

A run that was not valid is played again, twice at the most, and then left out and counted.
"""

from __future__ import annotations

import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from bench.rehearsals import Job, played, spread
from lanemux import interface as api
from lanemux.policy import Balancer
from lanemux.storm.module import StormModule, StormOptions

MS, SECOND = 1_000_000, 1_000_000_000
ON = "[storm]\n"
QUIET = """
title = "the day of reconnect-flood without the flood"
seconds = 12
"""
BATCH, ROUNDS = 2000, 40


def _reports(name: str, seeds: int, abreast: int, folder: Path) -> dict[str, list[dict[str, Any]]]:
    """The valid reports by how [storm] was: off and on, seed by seed in turn."""
    files = {how: folder / f"{how}.toml" for how in ("off", "on")}
    files["off"].write_text("")
    files["on"].write_text(ON)
    jobs = [
        Job(name, seed, more=("--balancers-operators", str(files[how])))
        for seed in range(1, seeds + 1)
        for how in files
    ]
    reports = played(jobs, abreast)
    return {how: [r for r in reports[i::2] if r["valid"]] for i, how in enumerate(files)}


def _line(how: str, reports: list[dict[str, Any]], seeds: int) -> None:
    fallen = sum(r["rules"]["cold"] for r in reports)
    broken = sum(sum(r["rules"].values()) for r in reports)
    print(
        f"{how}: {len(reports)} of {seeds} valid, rules broken {broken}, boxes pushed over {fallen}, of a cold box's "
        f"budget at most {max((r['cold_budget_most'] for r in reports), default=0):.2f} "
        f"(median {statistics.median([r['cold_budget_most'] for r in reports] or [0]):.2f})"
    )
    for figure in ("service", "outage_service", "returns_peak", "attempts_per_ask"):
        print(f"  {figure}: {spread(r[figure] for r in reports)}")
    back = [r["recovery_s"] for r in reports if r["recovery_s"] >= 0]
    print(f"  recovery_s: {spread(back)}; never within the run: {len(reports) - len(back)}", flush=True)


def outage(name: str, seeds: int, abreast: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        both = _reports(name, seeds, abreast, Path(folder))
    for how, reports in both.items():
        _line(how, reports, seeds)
    gaps = {figure: _pairs(both, figure) for figure in ("service", "outage_service")}
    for figure, pairs in gaps.items():
        if len(pairs) > 1:
            print(
                f"{figure}, on over off, seed by seed: mean {statistics.mean(pairs):+.4f}, standard error "
                f"{statistics.stdev(pairs) / len(pairs) ** 0.5:.4f}"
            )


def _pairs(both: dict[str, list[dict[str, Any]]], figure: str) -> list[float]:
    off = {r["seed"]: r[figure] for r in both["off"]}
    return [r[figure] - off[r["seed"]] for r in both["on"] if r["seed"] in off]


def flood(seeds: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        quiet = folder / "quiet.toml"
        quiet.write_text(QUIET)
        both = _reports("reconnect-flood", seeds, 1, folder)
        both["no flood"] = [r for r in played([Job(str(quiet), s) for s in range(1, seeds + 1)], 1) if r["valid"]]
    for how, reports in both.items():
        print(
            f"{how}: {len(reports)} of {seeds} valid; rules broken {sum(sum(r['rules'].values()) for r in reports)}; "
            f"service {spread(r['service'] for r in reports)}; first attempt p99 "
            f"{spread(r['first_attempt_p99_ms'] for r in reports)} ms; descriptors at most "
            f"{max((r['descriptors_most'] for r in reports), default=0)}, memory "
            f"{max((r['memory_most_mb'] for r in reports), default=0):.1f} MB; tries that found no balancer "
            f"{[r['unreached'] for r in reports]}",
            flush=True,
        )


def _settings() -> api.Settings:
    return api.Settings(
        classes={"fee": api.RequestClass("fee", aim_ns=264 * MS), "list": api.RequestClass("list", aim_ns=264 * MS)},
        tenants={name: api.Tenant(name, 0.1) for name in "abcdefghi"},
        replicas_of_me=4,
        retries_marked=True,
        report_columns=("inflight", "queue"),
        prices=api.Prices(probe=0.002),
        limits=api.Limits(max_attempts=5, probes=True, peers=True, retry_after=True, max_retry_after_ns=2 * SECOND),
        rules=api.Rules(cold_from=0.31, cold_ns=8 * SECOND),
    )


class Driver:
    """Requests through the decisions as a node hands them over: looks answered, each served after its time."""

    def __init__(self, storm: bool) -> None:
        self.now, self.count = SECOND, 0
        inner = Balancer(_settings(), 1, self.now)
        self.module: Balancer | StormModule = (
            StormModule(inner, _settings(), StormOptions(), 1, self.now) if storm else inner
        )
        self.module.handle(self.now, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(n) for n in range(10)])])

    def run(self, count: int) -> float:
        """Microseconds a request."""
        began = time.perf_counter_ns()
        for _ in range(count):
            self._one()
        return (time.perf_counter_ns() - began) / count / 1000

    def _one(self) -> None:
        self.count += 1
        self.now += 10 * MS
        made = self.module.handle(
            self.now,
            [
                api.Arrival(
                    str(self.count), "fee", "abcdefghi"[self.count % 9], self.now + 264 * MS, 75 * MS, "u", False
                )
            ],
        )
        while made:
            events: list[api.Event] = []
            for action in made:
                if isinstance(action, api.Probe):
                    events.append(api.ProbeResult(action.upstream, api.Result.OK, MS, {"inflight": 1, "queue": 0}))
                elif isinstance(action, api.Send):
                    events.append(api.Outcome(action.request, 0, action.upstream, api.Result.OK, 75 * MS, True))
            self.now += MS
            made = self.module.handle(self.now, events) if events else []


def cost(rounds: int) -> None:
    off, on = Driver(False), Driver(True)
    for driver in (off, on):
        driver.run(BATCH)
    pairs = []
    for number in range(rounds):
        order = random.Random(number).sample([off, on], 2)
        times = {driver: driver.run(BATCH) for driver in order}
        pairs.append((times[off], times[on]))
    ratios = [b / a for a, b in pairs]
    print(
        f"off {statistics.median(a for a, _ in pairs):.1f} us, on {statistics.median(b for _, b in pairs):.1f} us a "
        f"request in the decisions (medians of {rounds} rounds of {BATCH}); on over off: median "
        f"{statistics.median(ratios):.3f}, standard error {statistics.stdev(ratios) / len(ratios) ** 0.5:.4f}"
    )


def returns() -> None:
    """Fresh requests at 100 a second, all served but for 400 refused within 100 ms."""
    for how in ("off", "on"):
        print(f"{how}: {_told(_back(how == 'on'))}")


def _back(storm: bool) -> Iterable[int]:
    class Refuses:
        """Serves, and refuses while told to; as the decisions without the module draw a wait."""

        refusing, rng = False, random.Random(1)

        def avoided(self, now: int) -> int:
            return 0

        def standing(self, now: int) -> dict[str, object]:
            return {}

        def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
            return [
                api.Refuse(e.request, int(self.rng.uniform(0.25, 1.0) * SECOND))
                for e in events
                if isinstance(e, api.Arrival) and self.refusing
            ]

    inner, now = Refuses(), SECOND
    module = StormModule(inner, _settings(), StormOptions(), 1, now) if storm else inner
    for number in range(500):
        now += 10 * MS
        module.handle(now, [api.Arrival(str(number), "fee", "a", now + SECOND)])
        module.handle(now, [api.Outcome(str(number), 0, 1, api.Result.OK, MS, True)])
    inner.refusing = True
    for number in range(400):
        now += MS // 4
        for action in module.handle(now, [api.Arrival(f"x{number}", "fee", "a", now + SECOND)]):
            if isinstance(action, api.Refuse):
                yield now + action.retry_after_ns


def _told(back: Iterable[int]) -> str:
    bins = Counter(at // (100 * MS) for at in back)
    count = max(bins) - min(bins) + 1
    return (
        f"400 come back over {count / 10:.1f} s; in 100 ms at most {max(bins.values())}, on average "
        f"{400 / count:.1f}: peak over mean {max(bins.values()) * count / 400:.2f}"
    )


def main() -> None:
    what, *more = sys.argv[1:] or [""]
    numbers = [int(word) for word in more]
    match what:
        case "outage":
            outage("storm-short", *(numbers + [20, 2][len(numbers) :]))
        case "partner":
            outage("partner-storm", *(numbers + [10, 2][len(numbers) :]))
        case "flood":
            flood(*(numbers or [5]))
        case "returns":
            returns()
        case "cost":
            cost(*(numbers or [ROUNDS]))
        case _:
            raise SystemExit(__doc__)


if __name__ == "__main__":
    main()
