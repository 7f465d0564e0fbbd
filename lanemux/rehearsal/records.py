"""What the stand-ins write down: the ground on which a run is judged. Times are nanoseconds from its start.

Where a party can't know an instant, it books the two ends between which it lies: the last look at which the
thing had not happened, and the one at which it had. The rules' checker accuses only on the end that excuses.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = 1 << 62


@dataclass(slots=True)
class Attempt:
    """One request as a box saw it."""

    box: int
    balancer: int
    id: str
    target: str
    first_lo_ns: int  # its first byte had not been sent before this
    whole_ns: int  # its last byte was here by then
    open_ns: int = 0  # the balancer was still waiting for it at this time
    end_ns: int = 0  # it ended for the box
    how: str = ""  # answered, error, declined, cancelled (the balancer closed), died
    digest: str = ""  # of the body that was answered with 200
    served_ns: int = 0  # work done for it
    told_ms: int = 0  # the time that the balancer said it would wait; 0: it said nothing


@dataclass(slots=True)
class Told:
    """A row of the list, written to a balancer's connection."""

    balancer: int
    box: int
    health: str
    written_ns: int
    due_ns: int  # the agent had it; told some seconds later at the latest, read or not


@dataclass(slots=True)
class Try:
    """One request of a caller to a balancer."""

    ask: int
    number: int  # 0: the first one
    id: str
    balancer: int
    target: str
    sent_ns: int = 0  # its last byte was written; 0: it never was
    deadline_ns: int = 0  # the balancer was told so
    end_ns: int = 0
    how: str = ""  # answered, lost (the connection ended), silent (no answer in time), left, refused (no connection)
    status: int = 0
    digest: str = ""
    retry_after: str = ""
    crossed_ns: int = 0  # a used connection ended under it and it was sent once more; 0: it was not


@dataclass(slots=True)
class Anomaly:
    """Something that no honest balancer does, with where it was seen."""

    at_ns: int
    rule: str
    what: str
    id: str = ""
    box: int = -1


@dataclass(slots=True)
class StateSpan:
    """A span of a box's or a balancer's state, for the rules and the plots."""

    who: int
    state: str  # frozen, cold, draining, down, restarting, fallen
    from_ns: int
    to_ns: int = NEVER


@dataclass(slots=True)
class BoxRecords:
    """What the boxes saw."""

    attempts: list[Attempt] = field(default_factory=list)
    state_spans: list[StateSpan] = field(default_factory=list)
    anomalies: list[Anomaly] = field(default_factory=list)
    probes: int = 0
    opened: int = 0  # connections
    open_most: int = 0  # at once, over all boxes
    open_at_end: int = 0
    held: list[tuple[int, int, int]] = field(default_factory=list)  # (time, box, requests it holds), sampled
    pushed_most: float = 0.0  # of a cold box's budget
    lag_ns: list[int] = field(default_factory=list)  # how late its loop ran
    faults: list[str] = field(default_factory=list)  # exceptions of the kit's own in the boxes' process
    unstarted: list[str] = field(default_factory=list)  # boxes that did not get their addresses back


@dataclass(slots=True)
class CallerRecords:
    """What the callers and discovery saw."""

    tries: list[Try] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    anomalies: list[Anomaly] = field(default_factory=list)
    balancers_down: list[StateSpan] = field(default_factory=list)
    late_ns: list[int] = field(default_factory=list)  # how late asks were sent
    lag_ns: list[int] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # exceptions of the kit's own in the callers' process
    flooded: list[dict[str, int]] = field(default_factory=list)  # of each flood: came up, closed by the balancer, ...
    waited_share: float = 0.0  # of any second, the most that a process of the run waited for a processor
    pressed_share: float = 0.0  # of the run, how long anything on the machine waited for a processor
    busiest_share: float = 0.0  # of any second, the most processor time of a balancer
    descriptors_most: int = 0  # of any balancer
    memory_most_mb: float = 0.0
