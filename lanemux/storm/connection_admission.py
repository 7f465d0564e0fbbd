"""How many connections to accept in a turn, and whose go first when there is no place left. No I/O.

A flood of connections comes before any request does. Accepting takes a bounded part of each turn, so that connections
with requests are served in between; what is silent goes first, and of one source that has more than its part of the
places it is that source's own.
"""

from __future__ import annotations

from collections import Counter

MS = 1_000_000
TURN_NS = 2 * MS  # of a turn may go into accepting
LEAST, MOST = 4, 256  # connections a turn: some progress always, and no turn over a backlog
FIRST_COST_NS = 100_000  # of one accept, until it is learned
LEARN = 0.2


class ConnectionAdmission:
    """Accepting, and the places by source. A source is an address without its port."""

    def __init__(self, capacity: int, source_part: float) -> None:
        """`source_part`: of the places, that one source may hold while others want some."""
        self._cost_ns = float(FIRST_COST_NS)
        self._began_ns = 0
        self._most_of_one = max(1, int(capacity * source_part))
        self._held: Counter[str] = Counter()
        self._silent: dict[str, dict[object, None]] = {}  # by source, in the order in which they came

    def begin_accepting(self, now: int) -> int:
        """Accepting begins: how many at the most in this turn."""
        self._began_ns = now
        return max(LEAST, min(MOST, int(TURN_NS / self._cost_ns)))

    def end_accepting(self, accepted: int, now: int) -> None:
        """And ends, with so many accepted."""
        if accepted:
            self._cost_ns += LEARN * (max(1000.0, (now - self._began_ns) / accepted) - self._cost_ns)

    def opened(self, source: str, who: object) -> None:
        """A connection has come up; it is silent so far."""
        self._held[source] += 1
        self._silent.setdefault(source, {})[who] = None

    def became_active(self, source: str, who: object) -> None:
        """It is silent no longer."""
        silent = self._silent.get(source, {})
        silent.pop(who, None)
        if not silent:
            self._silent.pop(source, None)

    def closed(self, source: str, who: object) -> None:
        """Its place is free."""
        self.became_active(source, who)
        self._held[source] -= 1
        if self._held[source] <= 0:
            del self._held[source]

    def victim(self, source: str) -> object | None:
        """Who goes for one more of this source: the silent one of its own that came first, if it holds its part."""
        if self._held[source] < self._most_of_one:
            return None
        return next(iter(self._silent.get(source, ())), None)
