"""One account of the memory that grows with clients, requests, responses and upstreams. No I/O."""

from __future__ import annotations

from collections.abc import Hashable
from enum import StrEnum

MB = 1_000_000  # the smaller reading of a limit in MB
USED_SHARE = 0.9  # of the process's limit, for everything; the rest is for what no account can know
LEAST_SHARE = 0.125  # of the process's limit, for the account, whatever the process takes at rest
ALLOCATOR_OVERHEAD = 1.3  # memory that the allocators take, as a multiple of what is charged
MAX_RESERVED_SHARE = 0.5  # of the account, for connections that are not open yet
SMALL_BYTES = 4 * 1024  # a holder up to this is a usual one


class Holding(StrEnum):
    """What memory is held for."""

    CLIENT_CONNECTIONS = "client connections"
    REQUESTS = "requests"
    UNSENT_RESPONSES = "unsent responses"
    UPSTREAM_CONNECTIONS = "upstream connections"
    UNSENT_REQUESTS = "unsent requests"
    RECEIVED_RESPONSES = "received responses"


def account_limit_bytes(limit_mb: float, at_rest_bytes: int, processes: int) -> int:
    """What the account may reach in one of `processes` that share the limit, each of which takes `at_rest_bytes`
    without any client; 0: no limit is known."""
    limit_bytes = int(limit_mb * MB)
    left_bytes = int(USED_SHARE * limit_bytes) - processes * at_rest_bytes
    return max(int(LEAST_SHARE * limit_bytes), int(left_bytes / ALLOCATOR_OVERHEAD)) // processes


class MemoryAccount:
    """Charges each holder for what it takes, before it takes it where that can be refused."""

    def __init__(self, limit_bytes: int = 0) -> None:
        """`limit_bytes`: 0 if no limit is known; nothing is refused then."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.connections_bytes = 0  # of as many client connections as there may be; large holders leave room for them
        self.exhausted = False  # the process itself is near its limit: nothing large is taken on
        self.used_by: dict[Holding, int] = dict.fromkeys(Holding, 0)
        self._charges: dict[tuple[Holding, Hashable], int] = {}  # those above 0

    def charge(self, holding: Holding, holder: Hashable, held_bytes: int) -> bool:
        """Set what a holder takes; False if it would grow beyond the limit, and is charged as before."""
        growth = held_bytes - self._charges.get((holding, holder), 0)
        if growth > 0 and self.limit_bytes and not self._has_room(growth, held_bytes <= SMALL_BYTES):
            return False
        self.hold(holding, holder, held_bytes)
        return True

    def _has_room(self, growth: int, small: bool) -> bool:
        if small:
            return self.used_bytes + growth <= self.limit_bytes
        reserved_bytes = min(self.connections_bytes, int(MAX_RESERVED_SHARE * self.limit_bytes))
        used_bytes = self.used_bytes - min(self.used_by[Holding.CLIENT_CONNECTIONS], reserved_bytes)
        return not self.exhausted and used_bytes + growth <= self.limit_bytes - reserved_bytes

    def hold(self, holding: Holding, holder: Hashable, held_bytes: int) -> None:
        """Set what a holder takes and can't be refused: it is taken already, or is bounded by other limits."""
        key = holding, holder
        growth = held_bytes - self._charges.get(key, 0)
        if not growth:
            return
        self.used_bytes += growth
        self.used_by[holding] += growth
        if held_bytes:
            self._charges[key] = held_bytes
        else:
            del self._charges[key]

    def release(self, holding: Holding, holder: Hashable) -> None:
        """The holder takes nothing any more."""
        self.hold(holding, holder, 0)

    def share_bytes(self, share: float) -> int | None:
        """A share of the limit; None if no limit is known."""
        return int(share * self.limit_bytes) if self.limit_bytes else None

    def figures(self) -> dict[str, int]:
        """The limit, the sum, and what is held for each purpose, in bytes."""
        used_by = {str(holding): used for holding, used in self.used_by.items()}
        return {"limit": self.limit_bytes, "used": self.used_bytes, **used_by}

    def describe(self) -> str:
        """What is held, for the log."""
        held = ", ".join(f"{holding} {used // 1024}" for holding, used in self.used_by.items() if used)
        return f"account {self.used_bytes // 1024} of {self.limit_bytes // 1024} KiB{held and ': '}{held}"
