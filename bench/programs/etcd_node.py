"""This build following etcd, and telling at its end how late it took up what it was told and how its loop stood.

    python -m bench.programs.etcd_node REPORT.json     (RELAY_CONFIG and LANEMUX_OPERATORS as for the daemon)

A row whose `site` is a number carries the clock (nanoseconds, CLOCK_MONOTONIC) at which it was written to the store.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from lanemux.cli import _list_source
from lanemux.net import daemon
from lanemux.net.node import Node
from lanemux.net.reload import ListSourceSetting
from lanemux.net.upstream_set import UpstreamSet
from lanemux.operators import load

LOOK_S = 0.002
late: list[tuple[int, int, str]] = []  # (when, how late, state)
stood: list[tuple[int, int]] = []  # (when, for how long the loop did not come round)
took: list[int] = []  # nanoseconds of the loop for each slice
passes: list[tuple[int, int]] = []  # (generation, how long)
listed, start = UpstreamSet.apply_listing, Node.start


def timed(self: Any, listing: Any) -> None:
    began = time.monotonic_ns()
    listed(self, listing)
    now = time.monotonic_ns()
    took.append(now - began)
    for entry in listing.entries if listing is not None else ():
        if entry.upstream.zone.isdigit():
            late.append((now, now - int(entry.upstream.zone), entry.upstream.state.name))


async def watched(self: Any, readiness_delay_s: float = 0.0) -> int:
    loop = asyncio.get_running_loop()

    def look(due: float) -> None:
        behind = loop.time() - due
        if behind > LOOK_S / 2:
            stood.append((time.monotonic_ns(), int(behind * 1e9)))
        loop.call_later(LOOK_S, look, loop.time() + LOOK_S)

    look(loop.time())
    return await start(self, readiness_delay_s)


def collected(phase: str, told: dict[str, int]) -> None:
    """How long each pass of the collector of garbage takes."""
    if phase == "start":
        passes.append((told["generation"], time.monotonic_ns()))
    else:
        passes[-1] = (told["generation"], time.monotonic_ns() - passes[-1][1])


gc.callbacks.append(collected)
UpstreamSet.apply_listing = timed  # type: ignore[method-assign]
Node.start = watched  # type: ignore[method-assign]
status = daemon.main(ListSourceSetting(lambda: _list_source(load(os.environ["LANEMUX_OPERATORS"]))))
Path(sys.argv[1]).write_text(json.dumps({"late": late, "stood": stood, "took": took, "passes": passes}))
sys.exit(status)
