"""Looks at hundreds of processes do not hold up the loop that the callers run in."""

from __future__ import annotations

import asyncio
import os

from lanemux.rehearsal.process_monitor import PROCESSES_PER_TURN, ProcessMonitor
from lanemux.rehearsal.records import CallerRecords

MANY = 12 * PROCESSES_PER_TURN


def test_a_look_at_many_processes_leaves_the_loop_its_turns() -> None:
    async def test() -> int:
        turns = 0

        async def other() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(other())
        await ProcessMonitor(CallerRecords()).sample([], [os.getpid()] * MANY, record_waits=True)
        task.cancel()
        return turns

    assert asyncio.run(test()) >= MANY // PROCESSES_PER_TURN


def test_a_balancer_that_computes_shows_and_one_that_is_gone_does_not() -> None:
    async def test() -> CallerRecords:
        books = CallerRecords()
        monitor = ProcessMonitor(books)
        for _ in range(2):
            await monitor.sample([], [os.getpid(), 0], record_waits=True)
            sum(range(2_000_000))
        await monitor.sample([], [os.getpid(), 0], record_waits=True)
        return books

    books = asyncio.run(test())
    assert books.busiest_share > 0.5
    assert books.descriptors_most > 0 and books.memory_most_mb > 1
