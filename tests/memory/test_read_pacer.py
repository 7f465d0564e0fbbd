"""Reading takes a bounded part of each iteration of the loop."""

from __future__ import annotations

import asyncio

from lanemux.net.read_pacer import MAX_READ_BYTES, MIN_READ_BYTES, TURN_BUDGET_NS, ReadPacer
from tests.sockets import run


def test_reads_are_small_once_an_iteration_has_taken_its_time_and_large_again_in_the_next() -> None:
    async def test() -> None:
        now_ns = 0

        def handle(data: memoryview) -> None:
            nonlocal now_ns
            now_ns += TURN_BUDGET_NS // 2

        pacer = ReadPacer(lambda: now_ns)
        for expected in (MAX_READ_BYTES, MAX_READ_BYTES, MIN_READ_BYTES):
            assert len(pacer.buffer()) == expected
            pacer.handle(10, handle)
        await asyncio.sleep(0)
        assert len(pacer.buffer()) == MAX_READ_BYTES

    run(test())
