"""Sampling hundreds of processes must not stall the event loop in which the callers run."""

from __future__ import annotations

import asyncio
import os

from lanemux.rehearsal.process_monitor import PROCESSES_PER_TURN, ProcessMonitor
from lanemux.rehearsal.records import CallerRecords

MANY_PROCESSES = 12 * PROCESSES_PER_TURN


def test_sampling_many_processes_lets_the_event_loop_run_other_tasks() -> None:
    async def test() -> int:
        turns = 0

        async def other() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(other())
        await ProcessMonitor(CallerRecords(), 1000.0).sample([], [os.getpid()] * MANY_PROCESSES, record_waits=True)
        task.cancel()
        return turns

    assert asyncio.run(test()) >= MANY_PROCESSES // PROCESSES_PER_TURN


def test_a_busy_balancer_is_recorded_and_an_exited_one_is_ignored() -> None:
    async def test() -> CallerRecords:
        records = CallerRecords()
        monitor = ProcessMonitor(records, 1000.0)
        for _ in range(2):
            await monitor.sample([], [os.getpid(), 0], record_waits=True)
            sum(range(2_000_000))
        await monitor.sample([], [os.getpid(), 0], record_waits=True)
        return records

    records = asyncio.run(test())
    assert records.busiest_share > 0.5
    assert records.descriptors_most > 0 and records.memory_most_mb > 1
