"""Runs this build's balancer on an etcd list; at its end it writes the delays of updates and event loop stalls.

    python -m bench.programs.etcd_node REPORT.json     (RELAY_CONFIG and LANEMUX_OPERATORS as for the daemon)

A row whose `site` is a number carries the time (nanoseconds, CLOCK_MONOTONIC) at which it was written to the store.
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

LOOP_CHECK_INTERVAL_S = 0.002
update_delays: list[tuple[int, int, str]] = []  # (time, delay since the write to the store, state)
loop_stalls: list[tuple[int, int]] = []  # (time, how long the event loop was blocked)
slice_durations: list[int] = []  # time the event loop spends on each slice, in ns
collections: list[tuple[int, int]] = []  # (generation, duration)
apply_listing, start_node = UpstreamSet.apply_listing, Node.start


def apply_listing_timed(self: Any, listing: Any) -> None:
    """Apply a listing, and record how long that takes and how late its rows are."""
    began = time.monotonic_ns()
    apply_listing(self, listing)
    now = time.monotonic_ns()
    slice_durations.append(now - began)
    for entry in listing.entries if listing is not None else ():
        if entry.upstream.zone.isdigit():
            update_delays.append((now, now - int(entry.upstream.zone), entry.upstream.state.name))


async def start_with_stall_check(self: Any, readiness_delay_s: float = 0.0) -> int:
    """Start the node and a periodic check for event loop stalls."""
    loop = asyncio.get_running_loop()

    def check_loop(due: float) -> None:
        behind = loop.time() - due
        if behind > LOOP_CHECK_INTERVAL_S / 2:
            loop_stalls.append((time.monotonic_ns(), int(behind * 1e9)))
        loop.call_later(LOOP_CHECK_INTERVAL_S, check_loop, loop.time() + LOOP_CHECK_INTERVAL_S)

    check_loop(loop.time())
    return await start_node(self, readiness_delay_s)


def record_collection(phase: str, info: dict[str, int]) -> None:
    """Record the duration of each garbage collection."""
    if phase == "start":
        collections.append((info["generation"], time.monotonic_ns()))
    else:
        collections[-1] = (info["generation"], time.monotonic_ns() - collections[-1][1])


gc.callbacks.append(record_collection)
UpstreamSet.apply_listing = apply_listing_timed  # type: ignore[method-assign]
Node.start = start_with_stall_check  # type: ignore[method-assign]
status = daemon.main(ListSourceSetting(lambda: _list_source(load(os.environ["LANEMUX_OPERATORS"]))))
Path(sys.argv[1]).write_text(
    json.dumps({"late": update_delays, "stood": loop_stalls, "took": slice_durations, "passes": collections})
)
sys.exit(status)
