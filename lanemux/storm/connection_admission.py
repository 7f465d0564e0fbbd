"""Limits the connections accepted per event loop turn and chooses which to close when no slot is free. No I/O.

A connection flood precedes any request. Accepting gets a limited share of each turn, so that connections with
requests are served in between. Silent connections are closed first; a source that holds more than its share of the
slots loses its own silent ones.
"""

from __future__ import annotations

from collections import Counter

MS = 1_000_000
ACCEPT_BUDGET_NS = 2 * MS  # time of one turn that may be spent on accepting
MIN_ACCEPTS, MAX_ACCEPTS = 4, 256  # per turn: always some progress, and never more than a backlog
INITIAL_COST_NS = 100_000  # estimate for one accept until it has been measured
COST_SMOOTHING = 0.2  # weight of a new measurement in the moving average


class ConnectionAdmission:
    """Limits accepting and the connection slots per source. A source is an address without its port."""

    def __init__(self, capacity: int, source_part: float) -> None:
        """`source_part`: share of the slots that one source may hold while others need some."""
        self._cost_ns = float(INITIAL_COST_NS)
        self._began_ns = 0
        self._max_per_source = max(1, int(capacity * source_part))
        self._open_by_source: Counter[str] = Counter()
        self._silent_by_source: dict[str, dict[object, None]] = {}  # by source, oldest first

    def begin_accepting(self, now: int) -> int:
        """Start a turn of accepting; return the maximum number of connections to accept in it."""
        self._began_ns = now
        return max(MIN_ACCEPTS, min(MAX_ACCEPTS, int(ACCEPT_BUDGET_NS / self._cost_ns)))

    def end_accepting(self, accepted: int, now: int) -> None:
        """End the turn, in which `accepted` connections were accepted."""
        if accepted:
            self._cost_ns += COST_SMOOTHING * (max(1000.0, (now - self._began_ns) / accepted) - self._cost_ns)

    def opened(self, source: str, connection: object) -> None:
        """Add a new connection, which is silent until it sends data."""
        self._open_by_source[source] += 1
        self._silent_by_source.setdefault(source, {})[connection] = None

    def became_active(self, source: str, connection: object) -> None:
        """Note that a connection has sent data and is no longer silent."""
        silent = self._silent_by_source.get(source, {})
        silent.pop(connection, None)
        if not silent:
            self._silent_by_source.pop(source, None)

    def closed(self, source: str, connection: object) -> None:
        """Remove a closed connection and free its slot."""
        self.became_active(source, connection)
        self._open_by_source[source] -= 1
        if self._open_by_source[source] <= 0:
            del self._open_by_source[source]

    def victim(self, source: str) -> object | None:
        """Return the connection to close for a new one of this source: its oldest silent one, if it holds its share."""
        if self._open_by_source[source] < self._max_per_source:
            return None
        return next(iter(self._silent_by_source.get(source, ())), None)
