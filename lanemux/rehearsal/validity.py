"""Whether a run may be judged: the kit's own lateness, and the wait of its processes for a processor. No I/O.

A machine that is too busy makes balancers late for reasons that are not theirs. Such a run is called not valid;
no rule is held against anyone by it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lanemux.rehearsal.plan import MS
from lanemux.rehearsal.records import BoxRecords, CallerRecords
from lanemux.rehearsal.service import quantile

LATE_P99_NS = 10 * MS  # a hundredth of a 264 ms aim's figures may shift by so much
MAX_LATE_NS = 45 * MS  # the rules' limits are 50 ms longer on sockets: lateness must stay under that
MAX_WAITED_SHARE = 0.05  # share of a second that a process may wait for a processor
PRESSED_MOST = 0.03  # share of the run that anything may: 0.2% on an idle machine, 8% beside a busy process a core


@dataclass(slots=True)
class Validity:
    """Whether the run counts, and what was measured (times in milliseconds)."""

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
    """Call the run valid, or say why not."""
    found = Validity(waited_most_share=callers.waited_share, pressed_share=callers.pressed_share)
    for name, book in (("asks", callers.late_ns), ("callers", callers.lag_ns), ("boxes", boxes.lag_ns)):
        p99, most = quantile(book, 0.99), max(book, default=0)
        setattr(found, f"{name}_late_p99_ms", p99 / MS)
        if name != "asks":
            setattr(found, f"{name}_late_most_ms", most / MS)
        if p99 > LATE_P99_NS:
            found.reasons.append(f"{name} were {p99 / MS:.1f} ms late at the 99th percentile")
        if most > MAX_LATE_NS:
            found.reasons.append(f"{name} were up to {most / MS:.0f} ms late")
    if callers.waited_share > MAX_WAITED_SHARE:
        found.reasons.append(f"a process waited for a processor for {callers.waited_share:.0%} of a second")
    if callers.pressed_share > PRESSED_MOST:
        found.reasons.append(f"the machine's processors were taken for {callers.pressed_share:.0%} of the run")
    found.reasons += boxes.unstarted
    found.valid = not found.reasons
    return found
