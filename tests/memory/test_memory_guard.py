"""The guard derives the account from what the process has, and compares with the kernel's count."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

import pytest

from lanemux.core.memory_account import ALLOCATOR_OVERHEAD, LEAST_SHARE, MB, MemoryAccount
from lanemux.core.system import Machine, ProcessMemory
from lanemux.net.memory_guard import CHECK_S, MemoryGuard
from tests.sockets import run

AT_REST = 20 * MB


@dataclass
class Resident:
    """What the process has now."""

    size: int = AT_REST


class MachineWith(Machine):
    """A machine that tells a given memory of the process."""

    resident: Resident

    def memory(self) -> ProcessMemory | None:
        return ProcessMemory(self.resident.size, self.resident.size)


async def started(limit_mb: float, processes: int) -> tuple[MemoryGuard, MemoryAccount, Resident]:
    machine, resident, account = MachineWith(), Resident(), MemoryAccount()
    object.__setattr__(machine, "resident", resident)
    guard = MemoryGuard(machine, account, limit_mb, processes)
    guard.start()
    return guard, account, resident


@pytest.mark.parametrize(("limit_mb", "processes"), [(32.0, 1), (80.0, 1), (192.0, 2)])
def test_nothing_large_is_taken_on_above_nine_tenths_of_the_limit(
    limit_mb: float, processes: int, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        guard, account, resident = await started(limit_mb, processes)
        assert not account.exhausted and 0 < account.limit_bytes < limit_mb * MB
        resident.size = int(0.95 * limit_mb * MB / processes)
        await asyncio.sleep(3 * CHECK_S)
        assert account.exhausted
        resident.size = AT_REST
        await asyncio.sleep(2 * CHECK_S)
        assert not account.exhausted
        guard.stop()

    with caplog.at_level(logging.WARNING):
        run(test())
    assert sum("of the" in line or "MiB" in line for line in caplog.messages) == 1  # told once


def test_large_requests_are_taken_on_where_two_processes_have_no_room_beyond_their_rest() -> None:
    """Guards against: every large request refused in a process that may be upgraded, with 32 MB."""

    async def test() -> None:
        guard, account, resident = await started(32.0, 2)
        least_bytes = int(LEAST_SHARE * 32 * MB) // 2
        assert account.limit_bytes == least_bytes and not account.exhausted
        resident.size = AT_REST + int(ALLOCATOR_OVERHEAD * least_bytes) + 1
        await asyncio.sleep(2 * CHECK_S)
        assert account.exhausted
        guard.stop()

    run(test())
