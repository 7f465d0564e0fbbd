"""Samples the processes of a rehearsal: time spent waiting for a CPU, and the balancers' resource usage."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from lanemux.rehearsal.balancers import cpu_time_s, cpu_wait_ns, descriptors_and_memory_mb
from lanemux.rehearsal.records import CallerRecords

PROCESSES_PER_TURN = 4  # sampled per loop iteration: sampling hundreds at once would delay the callers on this loop


@dataclass(slots=True)
class _Sample:
    """CPU counters of a process at the last sample."""

    at_ns: int
    waited_ns: int
    spent_s: float


class ProcessMonitor:
    """Keeps the maximum of each sampled value in the callers' records."""

    def __init__(self, records: CallerRecords, limit_mb: float) -> None:
        """`limit_mb`: the memory that a balancer may take, in 10^6 bytes with the files that it has mapped."""
        self._records = records
        self._limit_mb = limit_mb
        self._last: dict[int, _Sample] = {}
        self._over_limit: set[int] = set()  # balancers that have exceeded their memory limit

    async def sample(self, harness: Sequence[int], balancers: Sequence[int], record_waits: bool) -> None:
        """Sample the processes with these IDs: those of the harness and the balancers.

        `record_waits`: whether the time they waited for a CPU is recorded."""
        for number, pid in enumerate((*harness, *balancers)):
            self._sample_process(pid, pid in balancers, record_waits)
            if number % PROCESSES_PER_TURN == PROCESSES_PER_TURN - 1:
                await asyncio.sleep(0)

    def _sample_process(self, pid: int, balancer: bool, record_waits: bool) -> None:
        current = _Sample(time.monotonic_ns(), cpu_wait_ns(pid), cpu_time_s(pid))
        previous = self._last.get(pid)
        self._last[pid] = current
        if previous is not None and current.at_ns > previous.at_ns:
            span_ns = current.at_ns - previous.at_ns
            if record_waits:
                waited_share = (current.waited_ns - previous.waited_ns) / span_ns
                self._records.waited_share = max(self._records.waited_share, waited_share)
            if balancer:
                spent_share = (current.spent_s - previous.spent_s) * 1e9 / span_ns
                self._records.busiest_share = max(self._records.busiest_share, spent_share)
        if balancer:
            descriptors, memory_mb = descriptors_and_memory_mb(pid)
            self._records.descriptors_most = max(self._records.descriptors_most, descriptors)
            self._records.memory_most_mb = max(self._records.memory_most_mb, memory_mb)
            if memory_mb > self._limit_mb and pid not in self._over_limit:
                self._over_limit.add(pid)
                self._records.crashes.append(
                    f"a balancer took {memory_mb:.0f} MB; the limit is {self._limit_mb:.0f} MB"
                )
