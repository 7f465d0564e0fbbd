"""Decides whether a run is valid, from the harness's own lateness and its processes' wait for a CPU. No I/O.

A machine that is too busy makes balancers late through no fault of their own. Such a run is marked not valid, and its
violations do not count against the balancers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lanemux.rehearsal.plan import MS
from lanemux.rehearsal.records import BoxRecords, CallerRecords
from lanemux.rehearsal.service import quantile

MAX_LATE_P99_NS = 10 * MS  # shifts the figures of at most one in a hundred requests with a 264 ms aim by this much
MAX_LATE_NS = 45 * MS  # must stay below the 50 ms that the rules add to each limit on sockets
MAX_WAITED_SHARE = 0.05  # share of a second that a process may wait for a CPU
MAX_PRESSURE_SHARE = 0.03  # share of the run that any task may wait: 0.2% idle, 8% with one busy process per core


@dataclass(slots=True)
class Validity:
    """Whether the run is valid, and the measurements behind it (times in milliseconds)."""

    valid: bool = True
    reasons: list[str] = field(default_factory=list)
    asks_late_p99_ms: float = 0.0
    callers_late_p99_ms: float = 0.0
    callers_late_most_ms: float = 0.0
    boxes_late_p99_ms: float = 0.0
    boxes_late_most_ms: float = 0.0
    waited_most_share: float = 0.0
    pressed_share: float = 0.0


def assess_validity(boxes: BoxRecords, callers: CallerRecords) -> Validity:
    """Measure the run's validity; `reasons` lists each exceeded limit."""
    validity = Validity(waited_most_share=callers.waited_share, pressed_share=callers.pressed_share)
    for name, lateness_ns in (("asks", callers.late_ns), ("callers", callers.lag_ns), ("boxes", boxes.lag_ns)):
        p99, highest = quantile(lateness_ns, 0.99), max(lateness_ns, default=0)
        setattr(validity, f"{name}_late_p99_ms", p99 / MS)
        if name != "asks":
            setattr(validity, f"{name}_late_most_ms", highest / MS)
        if p99 > MAX_LATE_P99_NS:
            validity.reasons.append(f"{name} were {p99 / MS:.1f} ms late at the 99th percentile")
        if highest > MAX_LATE_NS:
            validity.reasons.append(f"{name} were up to {highest / MS:.0f} ms late")
    if callers.waited_share > MAX_WAITED_SHARE:
        validity.reasons.append(f"a process waited for a processor for {callers.waited_share:.0%} of a second")
    if callers.pressed_share > MAX_PRESSURE_SHARE:
        validity.reasons.append(f"the machine's processors were taken for {callers.pressed_share:.0%} of the run")
    validity.reasons += boxes.unstarted
    validity.valid = not validity.reasons
    return validity
