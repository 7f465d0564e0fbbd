"""A scenario: the world of one rehearsal, as a TOML file spells it out. Checked whole; no I/O.

Pairs `[low, high]` are ranges from which the seed draws. Times are in the unit that the key's name ends with.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field

from lanemux.validation import ValidationError, bounded, build, one_of, parse

Range = tuple[float, float]

MAX_BOXES = 120  # with their successors at most 250: one byte of a loopback address numbers them
MAX_BALANCERS = 192  # one byte of a loopback address numbers them; from 200 on it stands for parts of the kit
MAX_ASKS = 200_000  # the books of a run stay in memory, some KiB for each ask
FAULTS = ("freeze", "neighbour", "heavy", "deploy", "crash", "vanish", "kill", "flood", "partner", "restart")
BALANCER_EVENTS = ("kill", "revive", "flood", "restart")  # what befalls balancers and not boxes


@dataclass(frozen=True, slots=True)
class RequestClass:
    """[[classes]]: a kind of request, and what repeating it may do."""

    name: str
    share: float = bounded(0, 1)  # of the asks
    work_ms: float = bounded(0.1, 10_000)  # mean work on a core of speed 1
    cv: float = bounded(0, 3, 0.6)  # its standard deviation over its mean (lognormal)
    attempt_noise: float = bounded(0, 3, 0.3)  # the same for one attempt's work around its request's
    aim_ms: float = bounded(1, 60_000, 264.0)  # an answer later than this is worth nothing
    deadline_ms: float = bounded(1, 60_000, 661.0)  # the ask is given up after this, over all its tries
    worth: float = bounded(0, 1000, 1.0)  # for each unit of work
    effect: str = one_of(("safe", "keyed", "unsafe"), "safe")  # safe: GET; keyed: POST with a key; unsafe: POST
    scope: str = one_of(("all", "zone", "cell"), "all")  # keyed: the boxes that drop each other's repeats
    window_ms: float = bounded(1, 600_000, 5000.0)  # keyed: and for how long, from the first that may have run


@dataclass(frozen=True, slots=True)
class Partner:
    """[[partner]]: who shares the service."""

    name: str
    share: float = bounded(0, 1)
    usage: Range = bounded(0, 10, (1.0, 1.0))  # its traffic over its share


@dataclass(frozen=True, slots=True)
class Fleet:
    """[fleet]: the quote boxes."""

    boxes: int = bounded(1, MAX_BOXES, 10)
    balancers: int = bounded(1, MAX_BALANCERS, 4)
    rooms: tuple[str, ...] = ("woodbrook", "st-james")
    cell_size: int = bounded(1, MAX_BOXES, 4)  # boxes of a block
    cores: int = bounded(1, 64, 1)
    slots_per_core: int = bounded(1, 64, 1)  # requests in work at once
    queue_per_core: Range = bounded(0, 1000, (6.0, 10.0))  # further ones wait; beyond that they are turned away
    speed_cv: Range = bounded(0, 0.5, (0.05, 0.1))
    thrash: Range = bounded(0, 0.9, (0.05, 0.14))  # speed lost while a core holds more than thrash_at
    thrash_at: Range = bounded(0, 1000, (4.6, 6.9))
    cold_from: Range = bounded(0.01, 1, (0.31, 0.57))  # share of its capacity at the start
    cold_s: Range = bounded(0.01, 600, (3.1, 8.7))  # warm after this at the latest
    cold_worst_from: float = bounded(0.01, 1, 0.31)  # what the balancers are told of both
    cold_worst_s: float = bounded(0.01, 600, 8.7)
    fall_multiple: float = bounded(1, 100, 2.5)  # sent more than so many times what it can do
    fall_ms: float = bounded(10, 60_000, 1500.0)  # for so long, a cold box falls over
    drain_grace_ms: float = bounded(0, 60_000, 500.0)
    error_rate: Range = bounded(0, 1, (0.0, 0.002))
    cancels_queued: float = bounded(0, 1, 0.5)  # share of seeds on which a cancel drops waiting work
    report_ms: Range = bounded(0, 1000, (1.0, 4.0))  # how often what /stats tells is refreshed
    probe_us: Range = bounded(0, 10_000, (19.0, 58.0))  # work of a probe
    handshake_us: Range = bounded(0, 100_000, (48.0, 144.0))  # work of a new connection
    connections: int = bounded(1, 10_000, 512)  # a box holds so many, and resets more
    full_tax: float = bounded(0, 0.9, 0.25)  # speed lost with a full table of connections
    idle_s: float = bounded(0.1, 600, 15.0)  # a connection idle for so long is closed
    looks: bool = True  # balancers may ask a box for its load; else they go by what they sent there


@dataclass(frozen=True, slots=True)
class Load:
    """[load]: asks arrive by a plan and never wait for answers."""

    rate: float = bounded(0.1, 5000, 64.0)  # asks a second
    shape: str = one_of(("steady", "ramp", "rush"), "steady")  # ramp: rises over the run; rush: a hump in the middle
    swing: float = bounded(0, 0.9, 0.2)  # of the shape, around the rate
    room_skew: float = bounded(0, 0.9, 0.2)  # share of traffic moved to the first room
    hint_noise: float = bounded(0, 2, 0.4)  # of the cost hints


@dataclass(frozen=True, slots=True)
class Callers:
    """[callers]: what clients do."""

    retries: int = bounded(0, 3, 3)
    try_share: Range = bounded(0.05, 1, (0.33, 0.55))  # of the deadline, after which a try is given up
    at_once: float = bounded(0, 1, 0.5)  # share of callers that retry at once; others wait a fixed time
    backoff_ms: Range = bounded(0, 10_000, (20.0, 160.0))
    marks: bool = True  # a retry says that it is one
    honour: float = bounded(0, 1, 0.3)  # share of callers that come back no sooner than Retry-After says
    impatient: float = bounded(0, 1, 0.01)  # share of tries whose caller goes away at some moment
    front_notice_s: Range = bounded(0, 60, (1.5, 3.8))  # the front goes on sending to a dead balancer
    grace_ms: float = bounded(1, 5000, 50.0)  # a final answer may come so much after its time
    use_ending: float = bounded(0, 1, 0.0)  # share of tries on open connections of a balancer that was told to end


@dataclass(frozen=True, slots=True)
class Discovery:
    """[discovery]: the list, seconds late."""

    source: str = one_of(("agent", "etcd"), "agent")  # agent: the platform's; etcd: a stand-in, a member a balancer
    upset_every_s: Range = bounded(0, 600, (0.0, 0.0))  # etcd: a watch is dropped, reset, stalled or compacted; 0: none
    notice_s: Range = bounded(0, 60, (0.66, 4.9))  # of a drain or a death
    silent_notice_s: Range = bounded(0, 120, (5.4, 14.0))  # of a machine that vanished
    add_s: Range = bounded(0, 60, (0.77, 2.5))  # of a start
    spread_ms: Range = bounded(0, 10_000, (12.0, 110.0))  # from one agent to the next


@dataclass(frozen=True, slots=True)
class Network:
    """[network]: datagrams between balancers."""

    peer_ms: Range = bounded(0, 10_000, (1.0, 33.0))
    peer_loss: float = bounded(0, 1, 0.02)


@dataclass(frozen=True, slots=True)
class Fault:
    """[[fault]]: one trouble; which keys count depends on its kind."""

    kind: str = one_of(FAULTS)
    at_s: float = bounded(0, 3600, 0.0)
    for_s: float = bounded(0.01, 3600, 10.0)
    part: Range = bounded(0, 1, (0.25, 0.25))  # of the boxes (kill, restart: of the balancers)
    pause_ms: Range = bounded(1, 60_000, (66.0, 240.0))  # freeze: how long a box stands still
    every_s: Range = bounded(0.05, 600, (0.97, 2.6))  # freeze: between two; neighbour: its time on or off
    take: Range = bounded(0, 0.95, (0.3, 0.62))  # neighbour: of the machine
    factor: Range = bounded(1, 100, (5.5, 29.0))  # heavy: times the usual work; partner: times its usual asks
    share: Range = bounded(0, 1, (0.0067, 0.027))  # heavy: of one class
    class_name: str = ""  # heavy: which class; "": drawn
    batch: Range = bounded(0.001, 1, (0.051, 0.19))  # deploy: of the fleet at a time
    drain_s: Range = bounded(0, 60, (2.3, 5.1))  # deploy: from the drain to the exit
    down_s: Range = bounded(0.05, 600, (5.7, 22.0))  # crash, kill: until it is back; restart: after its end
    signals: bool = False  # restart: further signals follow the first one until the process has gone
    connections: int = bounded(1, 15_000, 1000)  # flood: opened within a second at each balancer, and silent
    sources: int = bounded(1, 200, 4)  # flood: from so many addresses
    partner_name: str = ""  # partner: whose callers ask so much more, and retry at once; "": drawn
    die_in_drain: float = bounded(0, 1, 0.1)  # deploy: share of boxes that die before their drain is over


@dataclass(frozen=True, slots=True)
class Expect:
    """[expect]: figures that a sound build reaches here on any seed; one missed fails the run like a rule.

    They catch what breaks no rule of a single request: refusals held back, heavy requests never served, frozen
    boxes taken for healthy, connections that pile up."""

    service_least: float = bounded(0, 1, 0.0)
    heavy_least: float = bounded(0, 1, 0.0)  # service of the tenth with the largest cost hints
    refusal_held_share_most: float = bounded(0, 1e6, 1e6)  # of a try's time, with no attempt out before its refusal
    blindness_most: float = bounded(0, 1e6, 1e6)  # attempts that met a frozen box; 1: as many as by chance
    given_up_share_most: float = bounded(0, 1, 1.0)  # of the attempts, those that balancers gave up
    connections_per_box_most: float = bounded(0, 1e6, 1e6)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario file."""

    title: str
    seconds: float = bounded(1, 3600, 30.0)
    warm_up_s: float = bounded(0, 60, 1.0)  # asks before this are played and not counted
    fleet: Fleet = field(default_factory=Fleet)
    load: Load = field(default_factory=Load)
    callers: Callers = field(default_factory=Callers)
    discovery: Discovery = field(default_factory=Discovery)
    network: Network = field(default_factory=Network)
    expect: Expect = field(default_factory=Expect)
    classes: tuple[RequestClass, ...] = ()
    partners: tuple[Partner, ...] = ()
    faults: tuple[Fault, ...] = ()
    hold_up_ms: float = bounded(0, 1000, 0.0)  # a balancer may be held up for so long: the rules allow for it
    operators: str = ""  # the balancers' own operators' file (TOML); "": they have none


DEFAULT_CLASSES = (
    RequestClass("rate-lookup", 0.36, 75.0, 0.6, 0.3, worth=3.0),
    RequestClass("fee-quote", 0.27, 78.0, 0.68, 0.3, worth=5.0),
    RequestClass("rate-history", 0.24, 76.0, 0.63, 0.32, worth=3.0),
    RequestClass("corridor-list", 0.13, 81.0, 0.66, 0.35, worth=1.0),
)
DEFAULT_PARTNERS = tuple(
    Partner(name, share, usage)
    for name, share, usage in (
        ("brooklyn-desk", 0.20, (0.63, 1.4)),
        ("toronto-desk", 0.16, (0.78, 1.4)),
        ("miami-desk", 0.13, (0.5, 1.2)),
        ("london-desk", 0.13, (0.57, 1.0)),
        ("fort-lauderdale", 0.13, (0.83, 1.3)),
        ("montreal-desk", 0.10, (0.57, 1.1)),
        ("caracas-desk", 0.09, (0.63, 1.2)),
        ("bridgetown-desk", 0.03, (0.73, 1.4)),
        ("halifax-desk", 0.03, (0.6, 1.2)),
    )
)


def read_scenario(text: str, where: str) -> Scenario:
    """The scenario that a TOML text spells out; ValidationError with a line for each fault.

    Where it names no classes or no partners, those of the quote service hold."""
    scenario = build(Scenario, parse(text, where), where)
    scenario = dataclasses.replace(
        scenario, classes=scenario.classes or DEFAULT_CLASSES, partners=scenario.partners or DEFAULT_PARTNERS
    )
    return validated(scenario, where)


def validated(scenario: Scenario, where: str) -> Scenario:
    """The same scenario, if its parts fit together; else ValidationError."""
    faults = [
        f"{where}: {name}: the low end lies above the high end"
        for name, value in _ranges(scenario)
        if value[0] > value[1]
    ]
    names = {c.name for c in scenario.classes}
    faults += [
        f"{where}: faults[{i}].class_name: no class {f.class_name!r}; there are {', '.join(sorted(names))}"
        for i, f in enumerate(scenario.faults)
        if f.class_name and f.class_name not in names
    ]
    if len(names) < len(scenario.classes) or len({p.name for p in scenario.partners}) < len(scenario.partners):
        faults.append(f"{where}: two classes or two partners of the same name")
    partners = {p.name for p in scenario.partners}
    faults += [
        f"{where}: faults[{i}].partner_name: no partner {f.partner_name!r}; there are {', '.join(sorted(partners))}"
        for i, f in enumerate(scenario.faults)
        if f.partner_name and f.partner_name not in partners
    ]
    if not scenario.fleet.rooms or not all(scenario.fleet.rooms):
        faults.append(f"{where}: fleet.rooms: at least one, and none without a name")
    if sum(c.share for c in scenario.classes) <= 0 or sum(p.share for p in scenario.partners) <= 0:
        faults.append(f"{where}: the shares of the classes, and those of the partners, must add up to more than 0")
    if scenario.load.rate * scenario.seconds > MAX_ASKS:
        faults.append(f"{where}: load.rate x seconds is over {MAX_ASKS} asks")
    if faults:
        raise ValidationError(faults)
    return scenario


def _ranges(scenario: Scenario) -> list[tuple[str, Range]]:
    found = []
    parts = [
        ("fleet.", scenario.fleet),
        ("callers.", scenario.callers),
        ("discovery.", scenario.discovery),
        ("network.", scenario.network),
        *((f"faults[{i}].", f) for i, f in enumerate(scenario.faults)),
        *((f"partners[{i}].", p) for i, p in enumerate(scenario.partners)),
    ]
    for prefix, part in parts:
        for f in dataclasses.fields(part):  # type: ignore[arg-type]
            value = getattr(part, f.name)
            if isinstance(value, tuple) and len(value) == 2 and isinstance(value[0], float):
                found.append((prefix + f.name, value))
    return found
