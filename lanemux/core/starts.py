"""Start times of upstreams on the monotonic clock, where this machine's wall clock may be wrong. No I/O and no clock.

Lists give start times in Unix time, which only this machine's wall clock relates to the monotonic clock, and the wall
clock may have been stepped. So bounds from observation take precedence: no upstream starts after it was first reported,
and one whose start first appears between two lists did not start long before the earlier of them.
"""

from __future__ import annotations

from collections.abc import Iterable

MS = 1_000_000
SECOND = 1000 * MS
MAX_CLOCK_SKEW_NS = SECOND  # difference of the clocks of two synchronized machines
MAX_REPORT_DELAY_NS = 3 * SECOND  # a start that happens while the list is watched is reported within this
MAX_HOSTS = 8192  # hosts whose start is stored: twice the upstreams of the largest list


class StartTimes:
    """The start time of each host, computed when first reported; later reports of the same start do not change it."""

    def __init__(self, unix_offset_ns: int) -> None:
        """`unix_offset_ns`: Unix time minus the monotonic clock, according to the wall clock."""
        self._offset_ns = unix_offset_ns
        self._known: dict[str, tuple[int, int]] = {}  # host -> born_ms as reported, start time
        self._listed_ns: int | None = None  # when a list was last received

    def list_received(self, now_ns: int) -> None:
        """A list or changes to it have been applied: starts not in it had not been reported by then."""
        self._listed_ns = now_ns

    def correct_clock(self, born_ms: Iterable[int], now_ns: int) -> None:
        """Start times in the future prove that the wall clock is behind. A single one may be an error in its row."""
        ahead = sorted(born * MS - now_ns for born in born_ms if born > 0)
        if len(ahead) > 1 and ahead[-2] > self._offset_ns + MAX_CLOCK_SKEW_NS:
            self._offset_ns = ahead[-2]

    def started_ns(self, host: str, born_ms: int, now_ns: int) -> int:
        """The start time of a host, reported as `born_ms` in Unix time. 0 means long ago, in both."""
        if born_ms <= 0:
            self._store(host, 0, 0)
            return 0
        known = self._known.get(host)
        if known is not None and known[0] == born_ms:
            return known[1]
        started = min(born_ms * MS - self._offset_ns, now_ns)
        if self._listed_ns is not None:
            started = max(started, self._listed_ns - MAX_REPORT_DELAY_NS)
        self._store(host, born_ms, started)
        return started

    def _store(self, host: str, born_ms: int, started_ns: int) -> None:
        self._known.pop(host, None)
        self._known[host] = born_ms, started_ns
        if len(self._known) > MAX_HOSTS:
            del self._known[next(iter(self._known))]
