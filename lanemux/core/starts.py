"""When upstreams started, on this machine's monotonic clock, where its wall clock may be wrong. No I/O and no clock.

Lists tell starts in Unix time. How that maps to the monotonic clock is known only through this machine's wall clock,
which may have been stepped. Evidence goes before it: no upstream starts after it was heard of; one whose start was told
between two lists did not start long before the first of them.
"""

from __future__ import annotations

from collections.abc import Iterable

MS = 1_000_000
SECOND = 1000 * MS
CLOCKS_DIFFER_NS = SECOND  # the clocks of two machines that are kept in step
TOLD_WITHIN_NS = 3 * SECOND  # a start that happens while the list is followed is in it by then
MAX_REMEMBERED = 8192  # hosts whose start is remembered, twice the upstreams of the largest list


class Starts:
    """The start of each host, kept from when it was first heard of: it does not move when it is told again."""

    def __init__(self, unix_offset_ns: int) -> None:
        """`unix_offset_ns`: from the monotonic clock to Unix time, as the wall clock has it."""
        self._offset_ns = unix_offset_ns
        self._known: dict[str, tuple[int, int]] = {}  # host -> born_ms as told, and the start that it came to
        self._listed_ns: int | None = None  # when a list was last heard

    def listed(self, now_ns: int) -> None:
        """A list, or the changes to one, has been taken: what it does not tell had not been told by then."""
        self._listed_ns = now_ns

    def compare_clocks(self, born_ms: Iterable[int], now_ns: int) -> None:
        """Starts that lie in the future prove that the wall clock is behind. One alone may be a fault of its row."""
        ahead = sorted(born * MS - now_ns for born in born_ms if born > 0)
        if len(ahead) > 1 and ahead[-2] > self._offset_ns + CLOCKS_DIFFER_NS:
            self._offset_ns = ahead[-2]

    def started_ns(self, host: str, born_ms: int, now_ns: int) -> int:
        """The start of a host that is told as `born_ms` (Unix time; 0: long ago); 0: long ago."""
        if born_ms <= 0:
            self._remember(host, 0, 0)
            return 0
        known = self._known.get(host)
        if known is not None and known[0] == born_ms:
            return known[1]
        started = min(born_ms * MS - self._offset_ns, now_ns)
        if self._listed_ns is not None:
            started = max(started, self._listed_ns - TOLD_WITHIN_NS)
        self._remember(host, born_ms, started)
        return started

    def _remember(self, host: str, born_ms: int, started_ns: int) -> None:
        self._known.pop(host, None)
        self._known[host] = born_ms, started_ns
        if len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]
