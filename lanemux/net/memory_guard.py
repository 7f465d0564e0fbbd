"""Watches the memory of the process: gives back what was freed, and logs what it takes."""

from __future__ import annotations

import asyncio
import logging

from lanemux.core.allocator import Allocator
from lanemux.core.memory_account import ALLOCATOR_OVERHEAD, MB, USED_SHARE, MemoryAccount, account_limit_bytes
from lanemux.core.system import ProcessMemory, System

log = logging.getLogger(__name__)

MIB = 1024 * 1024
CHECK_S = 0.25
GIVE_BACK_S = 1.0  # what is freed within this time is given back together
GIVE_BACK_BYTES = MIB  # after growing by this much since then, memory is given back at once
LOG_INTERVAL_S = 60.0
ALERT_SHARE = 0.75  # of the limit; logged once when passed
REARM_SHARE = 0.65  # of the limit; below it the alert is armed again


class MemoryGuard:
    """Checks the memory of this process at a fixed interval."""

    def __init__(self, system: System, account: MemoryAccount, limit_mb: float, processes: int = 1) -> None:
        """`limit_mb`: the memory limit in MB, for as many processes at once; 0: unknown."""
        self._system = system
        self._account = account
        self._limit_mb, self._processes = limit_mb, processes
        self._limit_bytes = int(limit_mb * MB) // processes
        account.limit_bytes = account_limit_bytes(limit_mb, self._limit_bytes, processes)  # the least, until `start`
        self._exhausted_bytes = int(USED_SHARE * self._limit_bytes)  # resident from here on: nothing large is taken on
        self._loop = asyncio.get_running_loop()
        self._allocator = Allocator()
        self._timer: asyncio.TimerHandle | None = None
        self._kept_bytes = 0  # resident after memory was last given back
        self._give_back_due_s = 0.0
        self._logged_peak_bytes = 0
        self._log_due_s = self._loop.time() + LOG_INTERVAL_S
        self._alerted = False

    def start(self) -> None:
        """The process has started: from what it takes now follows what is left for the account. Begin to check."""
        memory = self._system.memory()
        if memory is not None:
            at_rest_bytes = max(0, memory.resident - self._account.used_bytes)
            self._account.limit_bytes = account_limit_bytes(self._limit_mb, at_rest_bytes, self._processes)
            # Where the limit holds little more than the processes at rest, the account still has its least share.
            account_bytes = int(ALLOCATOR_OVERHEAD * self._account.limit_bytes)
            self._exhausted_bytes = max(self._exhausted_bytes, at_rest_bytes + account_bytes)
        self._check()

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        self._timer = self._loop.call_later(CHECK_S, self._check)
        memory = self._system.memory()
        if memory is None:
            return
        if self._loop.time() >= self._give_back_due_s or memory.resident > self._kept_bytes + GIVE_BACK_BYTES:
            memory = self._give_back(memory)
        self._account.exhausted = self._limit_bytes > 0 and self._exhausted_bytes < memory.resident
        self._alert(memory)
        self._log_peak(memory)

    def _give_back(self, before: ProcessMemory) -> ProcessMemory:
        self._allocator.give_back()
        after = self._system.memory() or before
        self._kept_bytes = after.resident
        self._give_back_due_s = self._loop.time() + GIVE_BACK_S
        return after

    def _alert(self, memory: ProcessMemory) -> None:
        """Log once that the process has come near its limit."""
        if not self._limit_bytes or memory.resident < REARM_SHARE * self._limit_bytes:
            self._alerted = False
        elif memory.resident >= ALERT_SHARE * self._limit_bytes and not self._alerted:
            self._alerted = True
            log.warning("memory: %s", self._summary(memory))

    def _log_peak(self, memory: ProcessMemory) -> None:
        """Log the memory once a minute if its peak has moved."""
        if self._loop.time() < self._log_due_s:
            return
        self._log_due_s = self._loop.time() + LOG_INTERVAL_S
        if memory.peak > self._logged_peak_bytes:
            self._logged_peak_bytes = memory.peak
            log.info("memory: %s", self._summary(memory))

    def _summary(self, memory: ProcessMemory) -> str:
        limit = f" of {self._limit_bytes / MIB:.1f}" if self._limit_bytes else ""
        return f"{memory.resident / MIB:.1f}{limit} MiB, {memory.peak / MIB:.1f} at most; {self._account.describe()}"
