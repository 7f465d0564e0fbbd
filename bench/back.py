"""How soon a balancer whose upstreams have room serves again after a trouble, on the model of `tests/fleet.py`.

    python -m bench.back [SEEDS] [REVISION]     the decisions of this tree, and beside them those of a revision

Told is the time from the end of the trouble until nine in ten of what is asked within a second from then on are served:
median and most over the seeds (3 s for one seed and build). A trouble ends before the last attempt that it spoilt does,
so this is no shorter than from the last bad outcome.
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
WARM_S, WATCHED_S, SERVED = 2.5, 16.0, 0.9
STEP_NS = 50 * MS
RESTED_S = (0.4, 0.5)  # a new process gets its first request so long after its start
TENANTS = {name: api.Tenant(name, share) for name, share in (("ash", 0.5), ("birch", 0.3), ("cedar", 0.2))}
PROBING_SETTINGS = {
    "tenants": TENANTS,
    "prices": api.Prices(probe=0.002),
    "limits": api.Limits(max_attempts=5, may_cancel=True, probes=True, retry_after=True),
}


def fleet(seed: int, proxies: int = 1, clients: Clients | None = None) -> Fleet:
    """Balancers that ask upstreams for their load, as on the site, over upstreams that are about half busy."""
    return Fleet(proxies, BOXES, seed, work_ns=WORK_NS, clients=clients, told=PROBING_SETTINGS)


def back_s(played: Fleet, i: int, since_ns: int, window_ns: int = SECOND) -> float:
    """From `since_ns` on, when nine in ten of what was asked of balancer `i` within a window are served."""
    fates = sorted(fate for (of, _), fate in played.fates.items() if of == i and fate[0] >= since_ns)
    at = since_ns
    while at + window_ns <= played.now:
        served = [ok for asked, ok in fates if at <= asked < at + window_ns]
        if served and sum(served) >= SERVED * len(served):
            return (at - since_ns) / SECOND
        at += STEP_NS
    return WATCHED_S


def blank_start(seed: int, rate: float = 400.0) -> float:
    """A blank process in the place of one of two, with no old one beside it; one upstream in eight does not answer."""
    played = fleet(seed, 2, Clients())
    played.boxes[1].silent = True
    played.run(WARM_S, rate)
    played.restart(0, seed)
    played.away = {0}
    played.run(random.Random(seed).uniform(*RESTED_S), rate)
    played.away = set()
    since = played.now
    played.run(WATCHED_S, rate)
    return back_s(played, 0, since)


def standstill(seed: int, rate: float = 300.0) -> float:
    """The loop stands for a second."""
    played = fleet(seed)
    played.run(WARM_S, rate)
    played.stall(0, SECOND)
    played.run(1.0, rate)
    since = played.now
    played.run(WATCHED_S, rate)
    return back_s(played, 0, since)


def cut(seed: int, rate: float = 300.0, window_ns: int = SECOND) -> float:
    """For 3 s nothing comes back from any upstream."""
    played = fleet(seed)
    played.run(WARM_S, rate)
    for silent in (True, False):
        for box in played.boxes.values():
            box.silent = silent
        if silent:
            played.run(3.0, rate)
    since = played.now
    played.run(WATCHED_S, rate)
    return back_s(played, 0, since, window_ns)


def little_traffic(seed: int) -> float:
    """The same cut, for a process with two requests a second."""
    return cut(seed, 2.0, 4 * SECOND)


CASES: dict[str, Callable[[int], float]] = {
    "blank start": blank_start,
    "standstill of 1 s": standstill,
    "cut of 3 s": cut,
    "cut, two a second": little_traffic,
}


def tell(seeds: int) -> None:
    with ProcessPoolExecutor() as pool:
        for name, play in CASES.items():
            took = list(pool.map(play, range(1, seeds + 1)))
            print(f"  {name:20} median {statistics.median(took):5.2f} s, most {max(took):5.2f} s, {seeds} seeds")


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
    tell(seeds)


if __name__ == "__main__":
    main()
