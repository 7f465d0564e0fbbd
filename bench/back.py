"""Recovery time of a balancer whose upstreams have spare capacity, measured on the simulation of `tests/fleet.py`.

    python -m bench.back [SEEDS] [REVISION]     the policy of this tree, and of REVISION for comparison

The recovery time runs from the end of a disturbance to the start of the first one-second window in which nine in ten
requests are served. Printed are the median and the maximum over the seeds; one seed and build takes 3 s. A disturbance
ends before the last attempt that it spoiled, so this time is no shorter than one counted from the last bad outcome.
"""

from __future__ import annotations

import os
import random
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from lanemux import interface as api
from tests.bench import MS, SECOND
from tests.fleet import Clients, Fleet

ROOT = Path(__file__).parent.parent
BOXES, WORK_NS = 8, 12 * MS
WARM_UP_S, OBSERVATION_S, RECOVERED_SHARE = 2.5, 16.0, 0.9
STEP_NS = 50 * MS
FIRST_REQUEST_DELAY_S = (0.4, 0.5)  # from the start of a new process to its first request
TENANTS = {name: api.Tenant(name, share) for name, share in (("ash", 0.5), ("birch", 0.3), ("cedar", 0.2))}
PROBING_SETTINGS = {
    "tenants": TENANTS,
    "prices": api.Prices(probe=0.002),
    "limits": api.Limits(max_attempts=5, may_cancel=True, probes=True, retry_after=True),
}


def fleet(seed: int, proxies: int = 1, clients: Clients | None = None) -> Fleet:
    """Balancers that probe their upstreams for load, as in production; the upstreams are about half busy."""
    return Fleet(proxies, BOXES, seed, work_ns=WORK_NS, clients=clients, told=PROBING_SETTINGS)


def recovery_s(simulation: Fleet, i: int, since_ns: int, window_ns: int = SECOND) -> float:
    """Time from `since_ns` to the first window in which nine in ten requests to balancer `i` are served."""
    outcomes = sorted(outcome for (of, _), outcome in simulation.fates.items() if of == i and outcome[0] >= since_ns)
    at = since_ns
    while at + window_ns <= simulation.now:
        served = [ok for asked, ok in outcomes if at <= asked < at + window_ns]
        if served and sum(served) >= RECOVERED_SHARE * len(served):
            return (at - since_ns) / SECOND
        at += STEP_NS
    return OBSERVATION_S


def restart_without_state(seed: int, rate: float = 400.0) -> float:
    """One of two balancers restarts without state or an overlapping old process; one upstream in eight is silent."""
    simulation = fleet(seed, 2, Clients())
    simulation.boxes[1].silent = True
    simulation.run(WARM_UP_S, rate)
    simulation.restart(0, seed)
    simulation.away = {0}
    simulation.run(random.Random(seed).uniform(*FIRST_REQUEST_DELAY_S), rate)
    simulation.away = set()
    since = simulation.now
    simulation.run(OBSERVATION_S, rate)
    return recovery_s(simulation, 0, since)


def event_loop_stall(seed: int, rate: float = 300.0) -> float:
    """The event loop stalls for a second."""
    simulation = fleet(seed)
    simulation.run(WARM_UP_S, rate)
    simulation.stall(0, SECOND)
    simulation.run(1.0, rate)
    since = simulation.now
    simulation.run(OBSERVATION_S, rate)
    return recovery_s(simulation, 0, since)


def upstream_outage(seed: int, rate: float = 300.0, window_ns: int = SECOND) -> float:
    """For 3 s no upstream answers."""
    simulation = fleet(seed)
    simulation.run(WARM_UP_S, rate)
    for silent in (True, False):
        for box in simulation.boxes.values():
            box.silent = silent
        if silent:
            simulation.run(3.0, rate)
    since = simulation.now
    simulation.run(OBSERVATION_S, rate)
    return recovery_s(simulation, 0, since, window_ns)


def low_traffic_outage(seed: int) -> float:
    """The outage of `upstream_outage` for a balancer that gets two requests a second."""
    return upstream_outage(seed, 2.0, 4 * SECOND)


CASES: dict[str, Callable[[int], float]] = {
    "blank start": restart_without_state,
    "standstill of 1 s": event_loop_stall,
    "cut of 3 s": upstream_outage,
    "cut, two a second": low_traffic_outage,
}


def report(seeds: int) -> None:
    """Print the recovery times of each case."""
    with ProcessPoolExecutor() as pool:
        for name, play in CASES.items():
            times = list(pool.map(play, range(1, seeds + 1)))
            print(f"  {name:20} median {statistics.median(times):5.2f} s, most {max(times):5.2f} s, {seeds} seeds")


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    if len(sys.argv) > 2:
        with tempfile.TemporaryDirectory() as folder:
            archive = subprocess.run(
                ["git", "archive", sys.argv[2], "lanemux"], cwd=ROOT, check=True, capture_output=True
            )
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
            for name in ("bench", "tests"):
                Path(folder, name).symlink_to(ROOT / name)
            print(f"{sys.argv[2]}:", flush=True)
            subprocess.run(
                [sys.executable, "-m", "bench.back", str(seeds)],
                cwd=folder,
                check=True,
                env=os.environ | {"PYTHONPATH": folder},
            )
    print("this tree:")
    report(seeds)


if __name__ == "__main__":
    main()
