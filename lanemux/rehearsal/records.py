"""What the simulated boxes, callers and discovery record; a run is judged by it. Times are nanoseconds from its start.

Where the exact time of an event is unknown, its bounds are recorded: the last poll at which it had not happened, and
the first at which it had. The rule checker reports a violation only if it follows from the bound that favours the
balancer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = 1 << 62


@dataclass(slots=True)
class Attempt:
    """One attempt: a request as received by a box."""

    box: int
    balancer: int
    id: str
    target: str
    first_lo_ns: int  # lower bound: its first byte was not sent before this
    whole_ns: int  # its last byte had been received by then
    open_ns: int = 0  # the latest time at which the balancer was known to be still waiting
    end_ns: int = 0  # when it ended at the box
    how: str = ""  # answered, error, declined, cancelled (the balancer closed), died
    digest: str = ""  # of the body of a 200 response
    served_ns: int = 0  # processing time spent on it
    told_ms: int = 0  # the timeout that the balancer stated; 0: none
    interrupted: bool = False  # its response has begun, and its box or the network keeps back the rest
    begun_ns: int = 0  # when its box sent the head of a response whose body comes late; 0: never


@dataclass(slots=True)
class Told:
    """An update of one row of the list of boxes, sent to one balancer."""

    balancer: int
    box: int
    health: str
    written_ns: int
    due_ns: int  # counts as delivered by then, whether or not the balancer has read it


@dataclass(slots=True)
class Try:
    """One request of a caller to a balancer; an ask consists of a first try and its retries."""

    ask: int
    number: int  # 0: the first try
    id: str
    balancer: int
    target: str
    sent_ns: int = 0  # when its last byte was written; 0: never
    deadline_ns: int = 0  # as stated to the balancer
    end_ns: int = 0
    # answered, lost (connection ended), cut (the same in the middle of a response), silent (no answer in time), left,
    # refused (no connection)
    how: str = ""
    status: int = 0
    digest: str = ""
    retry_after: str = ""
    crossed_ns: int = 0  # when a reused connection closed under it and it was sent again; 0: never


@dataclass(slots=True)
class Anomaly:
    """A breach that was seen directly by a box or a caller: something no correct balancer does."""

    at_ns: int
    rule: str
    what: str
    id: str = ""
    box: int = -1


@dataclass(slots=True)
class StateSpan:
    """A period that a box or a balancer spent in one state, for the rules and the plots."""

    who: int
    state: str  # frozen, hung, late_body, cold, draining, down, restarting, fallen
    from_ns: int
    to_ns: int = NEVER


@dataclass(slots=True)
class BoxRecords:
    """What the boxes recorded."""

    attempts: list[Attempt] = field(default_factory=list)
    state_spans: list[StateSpan] = field(default_factory=list)
    anomalies: list[Anomaly] = field(default_factory=list)
    probes: int = 0
    opened: int = 0  # connections accepted in all
    open_most: int = 0  # most connections open at once, over all boxes
    open_at_end: int = 0
    held: list[tuple[int, int, int]] = field(default_factory=list)  # samples: (time, box, requests in progress)
    pushed_most: float = 0.0  # highest share of its load budget that a cold box was sent
    lag_ns: list[int] = field(default_factory=list)  # lateness of the event loop of the boxes' process
    faults: list[str] = field(default_factory=list)  # the harness's own exceptions in the boxes' process
    unstarted: list[str] = field(default_factory=list)  # boxes that could not bind their addresses again


@dataclass(slots=True)
class CallerRecords:
    """What the callers and the discovery agents recorded."""

    tries: list[Try] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    anomalies: list[Anomaly] = field(default_factory=list)
    balancers_down: list[StateSpan] = field(default_factory=list)
    late_ns: list[int] = field(default_factory=list)  # how late asks were sent, against the plan
    lag_ns: list[int] = field(default_factory=list)  # lateness of the callers' event loop
    crashes: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # the harness's own exceptions in the callers' process
    flooded: list[dict[str, int]] = field(default_factory=list)  # per flood: connections by outcome
    waited_share: float = 0.0  # highest share of a second that any process of the run waited for a CPU
    pressed_share: float = 0.0  # share of the run during which any task of the machine waited for a CPU
    busiest_share: float = 0.0  # highest share of a second that any balancer used a CPU
    descriptors_most: int = 0  # most open file descriptors of any balancer
    memory_most_mb: float = 0.0
