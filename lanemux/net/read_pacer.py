"""Bounds how long reading keeps the loop busy: what many peers have sent at once is read in smaller pieces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanemux.core.clock import now_ns

MAX_READ_BYTES = 64 * 1024
MIN_READ_BYTES = 1024  # a usual request fits in, whatever others send
TURN_BUDGET_NS = 20_000_000  # for reading and handling what was read, in one iteration of the loop


class ReadPacer:
    """The buffer that connections share to read into, smaller once an iteration of the loop has taken its time.

    Parsing costs by pieces, not by bytes: 64 KiB in chunks of one byte take some milliseconds."""

    def __init__(self, time_ns: Callable[[], int] = now_ns) -> None:
        self._time_ns = time_ns
        self._buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._spent_ns = 0  # in this iteration
        self._reset_pending = False

    def buffer(self) -> memoryview:
        """What to read into now; its content is handled before the next read."""
        return self._buffer if self._spent_ns < TURN_BUDGET_NS else self._buffer[:MIN_READ_BYTES]

    def handle(self, count: int, handler: Callable[[memoryview], None]) -> None:
        """Handle what was read, and count its time."""
        began_ns = self._time_ns()
        try:
            handler(self._buffer[:count])
        finally:
            self._spent_ns += self._time_ns() - began_ns
            if not self._reset_pending:
                self._reset_pending = True
                asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._spent_ns, self._reset_pending = 0, False
