"""Effect and cost of the storm module. Run from the repository's root:

    python -m bench.storms outage [SEEDS] [ABREAST]   # storm-short, each seed with [storm] off and on
    python -m bench.storms partner [SEEDS]            # the same for partner-storm
    python -m bench.storms flood [SEEDS]              # reconnect-flood, off and on, and the scenario without the flood
    python -m bench.storms returns                    # when 400 requests refused within 100 ms come back, off and on
    python -m bench.storms cost [ROUNDS]              # time in the policy per request under normal load, off and on

A run that is not valid is repeated at most twice; after that it is left out, and the count of valid runs shows it.
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

from bench.rehearsals import Job, run_all, spread
from lanemux import interface as api
from lanemux.policy import Balancer
from lanemux.storm.module import StormModule, StormOptions

MS, SECOND = 1_000_000, 1_000_000_000
STORM_ON = "[storm]\n"
WITHOUT_FLOOD = """
title = "the day of reconnect-flood without the flood"
seconds = 12
"""
BATCH, ROUNDS = 2000, 40


def _reports_off_and_on(name: str, seeds: int, parallel: int, folder: Path) -> dict[str, list[dict[str, Any]]]:
    """The valid reports with [storm] off and on; the two runs of a seed follow one another."""
    files = {how: folder / f"{how}.toml" for how in ("off", "on")}
    files["off"].write_text("")
    files["on"].write_text(STORM_ON)
    jobs = [
        Job(name, seed, arguments=("--balancers-operators", str(files[how])))
        for seed in range(1, seeds + 1)
        for how in files
    ]
    reports = run_all(jobs, parallel)
    return {how: [r for r in reports[i::2] if r["valid"]] for i, how in enumerate(files)}


def _print_summary(how: str, reports: list[dict[str, Any]], seeds: int) -> None:
    crashed = sum(r["rules"]["cold"] for r in reports)
    broken = sum(sum(r["rules"].values()) for r in reports)
    print(
        f"{how}: {len(reports)} of {seeds} valid, rules broken {broken}, boxes pushed over {crashed}, of a cold box's "
        f"budget at most {max((r['cold_budget_most'] for r in reports), default=0):.2f} "
        f"(median {statistics.median([r['cold_budget_most'] for r in reports] or [0]):.2f})"
    )
    for figure in ("service", "outage_service", "returns_peak", "attempts_per_ask"):
        print(f"  {figure}: {spread(r[figure] for r in reports)}")
    recovery_times = [r["recovery_s"] for r in reports if r["recovery_s"] >= 0]
    print(
        f"  recovery_s: {spread(recovery_times)}; never within the run: {len(reports) - len(recovery_times)}",
        flush=True,
    )


def outage(name: str, seeds: int, parallel: int) -> None:
    """Compare an outage with [storm] off and on."""
    with tempfile.TemporaryDirectory() as folder:
        both = _reports_off_and_on(name, seeds, parallel, Path(folder))
    for how, reports in both.items():
        _print_summary(how, reports, seeds)
    gaps = {figure: _paired_differences(both, figure) for figure in ("service", "outage_service")}
    for figure, pairs in gaps.items():
        if len(pairs) > 1:
            print(
                f"{figure}, on over off, seed by seed: mean {statistics.mean(pairs):+.4f}, standard error "
                f"{statistics.stdev(pairs) / len(pairs) ** 0.5:.4f}"
            )


def _paired_differences(both: dict[str, list[dict[str, Any]]], figure: str) -> list[float]:
    off = {r["seed"]: r[figure] for r in both["off"]}
    return [r[figure] - off[r["seed"]] for r in both["on"] if r["seed"] in off]


def flood(seeds: int) -> None:
    """Compare a reconnect flood with [storm] off and on, and no flood."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        without_flood = folder / "quiet.toml"
        without_flood.write_text(WITHOUT_FLOOD)
        both = _reports_off_and_on("reconnect-flood", seeds, 1, folder)
        both["no flood"] = [
            r for r in run_all([Job(str(without_flood), s) for s in range(1, seeds + 1)], 1) if r["valid"]
        ]
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
    """Passes requests to the policy as a node does: probes are answered, each request is served after its work time."""

    def __init__(self, storm: bool) -> None:
        self.now, self.count = SECOND, 0
        inner = Balancer(_settings(), 1, self.now)
        self.module: Balancer | StormModule = (
            StormModule(inner, _settings(), StormOptions(), 1, self.now) if storm else inner
        )
        self.module.handle(self.now, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(n) for n in range(10)])])

    def run(self, count: int) -> float:
        """Handle `count` requests and return the microseconds per request."""
        began = time.perf_counter_ns()
        for _ in range(count):
            self._one()
        return (time.perf_counter_ns() - began) / count / 1000

    def _one(self) -> None:
        self.count += 1
        self.now += 10 * MS
        actions = self.module.handle(
            self.now,
            [
                api.Arrival(
                    str(self.count), "fee", "abcdefghi"[self.count % 9], self.now + 264 * MS, 75 * MS, "u", False
                )
            ],
        )
        while actions:
            events: list[api.Event] = []
            for action in actions:
                if isinstance(action, api.Probe):
                    events.append(api.ProbeResult(action.upstream, api.Result.OK, MS, {"inflight": 1, "queue": 0}))
                elif isinstance(action, api.Send):
                    events.append(api.Outcome(action.request, 0, action.upstream, api.Result.OK, 75 * MS, True))
            self.now += MS
            actions = self.module.handle(self.now, events) if events else []


def cost(rounds: int) -> None:
    """Compare the policy's time per request with [storm] off and on."""
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
    """New requests at 100 a second, all served except 400 that are refused within 100 ms."""
    for how in ("off", "on"):
        print(f"{how}: {_summary(_return_times(how == 'on'))}")


def _return_times(storm: bool) -> Iterable[int]:
    class RefusingPolicy:
        """A policy that refuses while `refusing`, with a random wait as the real policy draws it without the module."""

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

    inner, now = RefusingPolicy(), SECOND
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


def _summary(return_times: Iterable[int]) -> str:
    bins = Counter(at // (100 * MS) for at in return_times)
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
