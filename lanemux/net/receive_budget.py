"""A budget of memory for what clients have sent of their requests. No I/O."""

from __future__ import annotations

from collections.abc import Hashable

MIB = 1024 * 1024
BUDGET_SHARE = 0.125  # of the process's memory limit
FREE_BYTES = 4 * 1024  # of each request; usual ones stay below and are never refused for the memory that others take


class ReceiveBudget:
    """Bounds the memory of all requests together, from their first byte to their response.

    The number of clients follows from the descriptors, and each may hold a whole head and body; with little memory, all
    of them together would exceed its limit."""

    def __init__(self, memory_mb: float) -> None:
        """`memory_mb`: the memory limit of the process in MiB; 0: unknown, and nothing is refused."""
        self.limit_bytes = int(memory_mb * MIB * BUDGET_SHARE)
        self.used_bytes = 0
        self._charges: dict[Hashable, int] = {}  # by holder, those above 0

    def charge(self, holder: Hashable, held_bytes: int) -> bool:
        """Set what a holder's request takes; False if it grows beyond the budget, which is then not charged."""
        charge = max(0, held_bytes - FREE_BYTES)
        growth = charge - self._charges.get(holder, 0)
        if growth > 0 and self.limit_bytes and self.used_bytes + growth > self.limit_bytes:
            return False
        self.used_bytes += growth
        if charge:
            self._charges[holder] = charge
        else:
            self._charges.pop(holder, None)
        return True

    def release(self, holder: Hashable) -> None:
        """The holder's request has ended."""
        self.used_bytes -= self._charges.pop(holder, 0)
