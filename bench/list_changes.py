"""What a change of the list costs the decisions, by the size of the fleet. Run from the repository's root:

    python -m bench.list_changes [--before REVISION]

One drain and its end, a slice of 64 changes, and a whole list, at 100, 1,000 and 10,000 upstreams, as medians; with
a revision, beside the decisions as they stood there, in the same process.
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
TIMES = 15
SLICE = 64


def before(revision: str) -> ModuleType:
    """`policy.py` of another revision, as a module."""
    text = subprocess.run(
        ["git", "show", f"{revision}:lanemux/policy.py"], capture_output=True, text=True, check=True
    ).stdout
    module = sys.modules["policy_before"] = ModuleType("policy_before")
    exec(compile(text, "policy_before.py", "exec"), module.__dict__)
    return module


def fleet(size: int) -> list[api.Upstream]:
    return [api.Upstream(i * 7919 % 2**32, started_ns=1, kind="m") for i in range(size)]


def timed(balancer: Any, updates: Sequence[Callable[[], api.ListUpdate]]) -> list[float]:
    """Milliseconds for each update, as medians."""
    spent: list[list[float]] = [[] for _ in updates]
    for turn in range(TIMES):
        for number, make in enumerate(updates):
            update = make()
            began = time.perf_counter()
            balancer.handle(2 + turn, [update])
            spent[number].append((time.perf_counter() - began) * 1000)
    return [statistics.median(s) for s in spent]


def measure(module: ModuleType, size: int, looks: bool) -> list[float]:
    limits = api.Limits(max_attempts=3, probes=looks)
    balancer = module.Balancer(
        api.Settings(me=1, replicas_of_me=PROXIES, limits=limits, report_columns=("inflight",)), 1, 1
    )
    entries = fleet(size)
    balancer.handle(1, [api.ListUpdate(api.ListKind.FULL, entries)])
    some = entries[:SLICE]
    kind = api.ListKind.DELTA
    drain, up, drains, ups, whole = timed(
        balancer,
        [
            lambda: api.ListUpdate(kind, [some[0]._replace(state=api.State.DRAINING)]),
            lambda: api.ListUpdate(kind, [some[0]]),
            lambda: api.ListUpdate(kind, [e._replace(state=api.State.GONE) for e in some]),
            lambda: api.ListUpdate(kind, some),
            lambda: api.ListUpdate(api.ListKind.FULL, entries[1:] + entries[:1]),
        ],
    )
    return [(drain + up) / 2, (drains + ups) / 2, whole]


def main() -> None:
    parser = argparse.ArgumentParser("bench.list_changes")
    parser.add_argument("--before", metavar="REVISION")
    options = parser.parse_args()
    modules = [("now", policy), *([(options.before, before(options.before))] if options.before else [])]
    for looks in (False, True):
        for size in SIZES:
            for name, module in modules:
                one, many, whole = measure(module, size, looks)
                print(
                    f"{'whole fleet' if looks else 'quarter'} as home, {size:6} upstreams, {name}: one change "
                    f"{one:.3f} ms, {SLICE} changes {many:.3f} ms, whole list {whole:.1f} ms",
                    flush=True,
                )


if __name__ == "__main__":
    main()
