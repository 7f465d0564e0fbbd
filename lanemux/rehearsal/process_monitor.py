"""Looks at the processes of a rehearsal: who waits for a processor, and what the balancers hold."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from lanemux.rehearsal.balancers import spent_s, usage, waited_ns
from lanemux.rehearsal.records import CallerRecords

PROCESSES_PER_TURN = 4  # of the loop, whose callers must not wait for a look at hundreds


@dataclass(slots=True)
class _Look:
    """What a process had used of processors at the last look at it."""

    at_ns: int
    waited_ns: int
    spent_s: float


class ProcessMonitor:
    """Notes the most of what each look finds in the callers' books."""

    def __init__(self, books: CallerRecords) -> None:
        self._books = books
        self._last: dict[int, _Look] = {}

    async def sample(self, harness: Sequence[int], balancers: Sequence[int], record_waits: bool) -> None:
        """Look at the processes with these numbers; `record_waits`: what the kit or a balancer waited is noted."""
        for number, pid in enumerate((*harness, *balancers)):
            self._look_at(pid, pid in balancers, record_waits)
            if number % PROCESSES_PER_TURN == PROCESSES_PER_TURN - 1:
                await asyncio.sleep(0)

    def _look_at(self, pid: int, balancer: bool, record_waits: bool) -> None:
        found = _Look(time.monotonic_ns(), waited_ns(pid), spent_s(pid))
        before = self._last.get(pid)
        self._last[pid] = found
        if before is not None and found.at_ns > before.at_ns:
            span_ns = found.at_ns - before.at_ns
            if record_waits:
                waited_share = (found.waited_ns - before.waited_ns) / span_ns
                self._books.waited_share = max(self._books.waited_share, waited_share)
            if balancer:
                spent_share = (found.spent_s - before.spent_s) * 1e9 / span_ns
                self._books.busiest_share = max(self._books.busiest_share, spent_share)
        if balancer:
            descriptors, memory_mb = usage(pid)
            self._books.descriptors_most = max(self._books.descriptors_most, descriptors)
            self._books.memory_most_mb = max(self._books.memory_most_mb, memory_mb)
