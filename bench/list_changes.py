"""CPU cost of list updates in the policy, by the size of the fleet. Run from the repository's root:

    python -m bench.list_changes [--before REVISION]

Prints medians for one drain and its end, a slice of 64 changes and a whole list, at 100, 1,000 and 10,000 upstreams;
with a revision, also for the policy of that revision, in the same process.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from types import ModuleType
from typing import Any

from lanemux import interface as api
from lanemux import policy

SIZES = (100, 1_000, 10_000)
PROXIES = 4
REPETITIONS = 15
SLICE = 64


def load_policy(revision: str) -> ModuleType:
    """`policy.py` of another revision, as a module."""
    text = subprocess.run(
        ["git", "show", f"{revision}:lanemux/policy.py"], capture_output=True, text=True, check=True
    ).stdout
    module = sys.modules["policy_before"] = ModuleType("policy_before")
    exec(compile(text, "policy_before.py", "exec"), module.__dict__)
    return module


def fleet(size: int) -> list[api.Upstream]:
    """Upstreams with distinct, scattered IDs."""
    return [api.Upstream(i * 7919 % 2**32, started_ns=1, kind="m") for i in range(size)]


def median_times(balancer: Any, updates: Sequence[Callable[[], api.ListUpdate]]) -> list[float]:
    """Median time of each update, in milliseconds."""
    spent: list[list[float]] = [[] for _ in updates]
    for turn in range(REPETITIONS):
        for number, make in enumerate(updates):
            update = make()
            began = time.perf_counter()
            balancer.handle(2 + turn, [update])
            spent[number].append((time.perf_counter() - began) * 1000)
    return [statistics.median(s) for s in spent]


def measure(module: ModuleType, size: int, probes: bool) -> list[float]:
    """Median times in ms of one change, a slice of changes and a whole list."""
    limits = api.Limits(max_attempts=3, probes=probes)
    balancer = module.Balancer(
        api.Settings(me=1, replicas_of_me=PROXIES, limits=limits, report_columns=("inflight",)), 1, 1
    )
    entries = fleet(size)
    balancer.handle(1, [api.ListUpdate(api.ListKind.FULL, entries)])
    changed = entries[:SLICE]
    kind = api.ListKind.DELTA
    drain, up, drains, ups, whole = median_times(
        balancer,
        [
            lambda: api.ListUpdate(kind, [changed[0]._replace(state=api.State.DRAINING)]),
            lambda: api.ListUpdate(kind, [changed[0]]),
            lambda: api.ListUpdate(kind, [e._replace(state=api.State.GONE) for e in changed]),
            lambda: api.ListUpdate(kind, changed),
            lambda: api.ListUpdate(api.ListKind.FULL, entries[1:] + entries[:1]),
        ],
    )
    return [(drain + up) / 2, (drains + ups) / 2, whole]


def main() -> None:
    parser = argparse.ArgumentParser("bench.list_changes")
    parser.add_argument("--before", metavar="REVISION")
    options = parser.parse_args()
    modules = [("now", policy), *([(options.before, load_policy(options.before))] if options.before else [])]
    for probes in (False, True):
        for size in SIZES:
            for name, module in modules:
                one, many, whole = measure(module, size, probes)
                print(
                    f"{'whole fleet' if probes else 'quarter'} as home, {size:6} upstreams, {name}: one change "
                    f"{one:.3f} ms, {SLICE} changes {many:.3f} ms, whole list {whole:.1f} ms",
                    flush=True,
                )


if __name__ == "__main__":
    main()
