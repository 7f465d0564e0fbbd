"""The schema and validation of a scenario, the TOML file that describes one rehearsal. No I/O.

Pairs `[low, high]` are ranges from which values are drawn using the seed. Times are in the unit that ends the key's
name. A file is validated as a whole and all its errors are reported together.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field

from lanemux.validation import ValidationError, bounded, build, one_of, parse

Range = tuple[float, float]

MAX_BOXES = 120  # at most 250 with their successors: one byte of a loopback address holds the number
MAX_BALANCERS = 192  # one byte of a loopback address holds the number; 200 and above are the harness's own
MAX_ASKS = 200_000  # the records of a run stay in memory, some KiB for each ask
FAULT_KINDS = (
    "freeze",
    "neighbour",
    "heavy",
    "deploy",
    "crash",
    "vanish",
    "kill",
    "flood",
    "partner",
    "restart",
    "hang",
    "late_body",
)
BALANCER_EVENTS = ("kill", "revive", "flood", "restart")  # events of balancers, not of boxes


@dataclass(frozen=True, slots=True)
class RequestClass:
    """[[classes]]: a class of requests, and whether they may be repeated."""

    name: str
    share: float = bounded(0, 1)  # of the asks
    work_ms: float = bounded(0.1, 10_000)  # mean processing time on a core of speed 1
    cv: float = bounded(0, 3, 0.6)  # coefficient of variation of the work (lognormal)
    attempt_noise: float = bounded(0, 3, 0.3)  # the same, of an attempt's work around its request's
    aim_ms: float = bounded(1, 60_000, 264.0)  # a later response is worth nothing
    deadline_ms: float = bounded(1, 60_000, 661.0)  # the ask is abandoned after this, over all its tries
    worth: float = bounded(0, 1000, 1.0)  # per unit of work
    effect: str = one_of(("safe", "keyed", "unsafe"), "safe")  # safe: GET; keyed: POST with a key; unsafe: POST
    scope: str = one_of(("all", "zone", "cell"), "all")  # keyed: the boxes that deduplicate each other's requests
    window_ms: float = bounded(1, 600_000, 5000.0)  # keyed: for how long, from the first attempt that may have run


@dataclass(frozen=True, slots=True)
class Partner:
    """[[partners]]: a tenant with a share of the service."""

    name: str
    share: float = bounded(0, 1)
    usage: Range = bounded(0, 10, (1.0, 1.0))  # its traffic relative to its share


@dataclass(frozen=True, slots=True)
class Fleet:
    """[fleet]: the quote boxes (upstream servers) and the number of balancers."""

    boxes: int = bounded(1, MAX_BOXES, 10)
    balancers: int = bounded(1, MAX_BALANCERS, 4)
    rooms: tuple[str, ...] = ("woodbrook", "st-james")
    cell_size: int = bounded(1, MAX_BOXES, 4)  # boxes per cell
    cores: int = bounded(1, 64, 1)
    slots_per_core: int = bounded(1, 64, 1)  # requests processed at once
    queue_per_core: Range = bounded(0, 1000, (6.0, 10.0))  # waiting requests; further ones are declined
    speed_cv: Range = bounded(0, 0.5, (0.05, 0.1))
    thrash: Range = bounded(0, 0.9, (0.05, 0.14))  # share of speed lost while a core has over thrash_at
    thrash_at: Range = bounded(0, 1000, (4.6, 6.9))  # requests per core, waiting or in work
    cold_from: Range = bounded(0.01, 1, (0.31, 0.57))  # share of its capacity right after the start
    cold_s: Range = bounded(0.01, 600, (3.1, 8.7))  # fully warm after this at the latest
    cold_worst_from: float = bounded(0.01, 1, 0.31)  # the worst values of cold_from and cold_s, given to the balancers
    cold_worst_s: float = bounded(0.01, 600, 8.7)
    fall_multiple: float = bounded(1, 100, 2.5)  # a cold box that is sent more than this multiple of its capacity
    fall_ms: float = bounded(10, 60_000, 1500.0)  # for this long falls over
    memory_mb: float = bounded(32, 100_000, 80.0)  # limit of a balancer, in 10^6 bytes
    sockets: int = bounded(256, 100_000, 1024)  # descriptors of a balancer
    drain_grace_ms: float = bounded(0, 60_000, 500.0)
    error_rate: Range = bounded(0, 1, (0.0, 0.002))
    cancels_queued: float = bounded(0, 1, 0.5)  # share of seeds for which a cancel removes queued work
    report_ms: Range = bounded(0, 1000, (1.0, 4.0))  # refresh interval of what /stats reports
    probe_us: Range = bounded(0, 10_000, (19.0, 58.0))  # processing time of a probe
    handshake_us: Range = bounded(0, 100_000, (48.0, 144.0))  # processing time of a new connection
    connections: int = bounded(1, 10_000, 512)  # limit per box; further ones are reset
    full_tax: float = bounded(0, 0.9, 0.25)  # share of the speed lost at the connection limit
    idle_s: float = bounded(0.1, 600, 15.0)  # idle timeout of a connection
    looks: bool = True  # balancers may probe a box for its load; else they only know what they sent


@dataclass(frozen=True, slots=True)
class Load:
    """[load]: open-loop arrivals; asks never wait for earlier responses."""

    rate: float = bounded(0.1, 5000, 64.0)  # asks per second
    shape: str = one_of(("steady", "ramp", "rush"), "steady")  # ramp: rises over the run; rush: peaks in the middle
    swing: float = bounded(0, 0.9, 0.2)  # amplitude of the shape, relative to the rate
    room_skew: float = bounded(0, 0.9, 0.2)  # share of traffic shifted to the first room
    hint_noise: float = bounded(0, 2, 0.4)  # coefficient of variation of the cost hints


@dataclass(frozen=True, slots=True)
class Callers:
    """[callers]: behaviour of the clients."""

    retries: int = bounded(0, 3, 3)
    try_share: Range = bounded(0.05, 1, (0.33, 0.55))  # share of the deadline after which a try times out
    at_once: float = bounded(0, 1, 0.5)  # share of callers that retry immediately; others wait a fixed time
    backoff_ms: Range = bounded(0, 10_000, (20.0, 160.0))
    marks: bool = True  # retries are marked as such
    honour: float = bounded(0, 1, 0.3)  # share of callers that obey Retry-After
    impatient: float = bounded(0, 1, 0.01)  # share of asks whose caller disconnects at some moment
    front_notice_s: Range = bounded(0, 60, (1.5, 3.8))  # how long the front keeps sending to a dead balancer
    grace_ms: float = bounded(1, 5000, 50.0)  # a final response may come this long after its deadline
    use_ending: float = bounded(0, 1, 0.0)  # share of tries sent on open connections of a balancer that is terminating


@dataclass(frozen=True, slots=True)
class Discovery:
    """[discovery]: how the balancers learn the list of boxes, some seconds late."""

    source: str = one_of(("agent", "etcd"), "agent")  # the platform's agent, or a fake etcd member per balancer
    upset_every_s: Range = bounded(0, 600, (0.0, 0.0))  # etcd: between drops, resets, stalls, compactions; 0: none
    notice_s: Range = bounded(0, 60, (0.66, 4.9))  # delay until a drain or a death is reported
    silent_notice_s: Range = bounded(0, 120, (5.4, 14.0))  # the same, of a machine that vanished
    add_s: Range = bounded(0, 60, (0.77, 2.5))  # the same, of a start
    spread_ms: Range = bounded(0, 10_000, (12.0, 110.0))  # further delay of each balancer's agent


@dataclass(frozen=True, slots=True)
class Network:
    """[network]: delay and loss of datagrams between balancers."""

    peer_ms: Range = bounded(0, 10_000, (1.0, 33.0))
    peer_loss: float = bounded(0, 1, 0.02)


@dataclass(frozen=True, slots=True)
class Fault:
    """[[faults]]: one fault; which keys apply depends on its kind."""

    kind: str = one_of(FAULT_KINDS)
    at_s: float = bounded(0, 3600, 0.0)
    for_s: float = bounded(0.01, 3600, 10.0)
    part: Range = bounded(0, 1, (0.25, 0.25))  # share of the boxes (kill, restart, flood of heads: of the balancers)
    pause_ms: Range = bounded(1, 60_000, (66.0, 240.0))  # freeze: length of each pause of a box
    every_s: Range = bounded(0.05, 600, (0.97, 2.6))  # freeze: interval; neighbour: length of each on or off period
    take: Range = bounded(0, 0.95, (0.3, 0.62))  # neighbour: share of the machine that it takes
    factor: Range = bounded(1, 100, (5.5, 29.0))  # heavy: multiple of the usual work; partner: of its usual asks
    share: Range = bounded(0, 1, (0.0067, 0.027))  # heavy: share of one class's asks
    class_name: str = ""  # heavy: the class; "": drawn at random
    batch: Range = bounded(0.001, 1, (0.051, 0.19))  # deploy: share of the fleet replaced at a time
    drain_s: Range = bounded(0, 60, (2.3, 5.1))  # deploy: from the drain to the exit
    down_s: Range = bounded(0.05, 600, (5.7, 22.0))  # crash, kill: until it is back; restart: after its end
    signals: bool = False  # restart: further signals follow until the process has exited
    connections: int = bounded(1, 15_000, 1000)  # flood: idle connections opened within a second at each balancer
    sources: int = bounded(1, 200, 4)  # flood: number of source addresses
    head_lines: int = bounded(0, 4000, 0)  # flood: lines of a head that each connection sends before it stops
    changing: bool = False  # flood: connections send one part of a request after another, each on a new connection
    partner_name: str = ""  # partner: whose callers ask more and retry at once; "": drawn at random
    die_in_drain: float = bounded(0, 1, 0.1)  # deploy: share of boxes that die before their drain ends


@dataclass(frozen=True, slots=True)
class Expect:
    """[expect]: figures that a correct build reaches with any seed; a missed one fails the run like a violated rule.

    They catch defects that violate no rule for a single request: delayed refusals, heavy requests that are never
    served, frozen boxes treated as healthy, connections that accumulate."""

    service_least: float = bounded(0, 1, 0.0)
    heavy_least: float = bounded(0, 1, 0.0)  # service of the 10% of asks with the largest cost hints
    refusal_held_share_most: float = bounded(0, 1e6, 1e6)  # share of a try's time idle (no attempt out) before refusal
    blindness_most: float = bounded(0, 1e6, 1e6)  # attempts sent to frozen boxes; 1: as many as by chance
    given_up_share_most: float = bounded(0, 1, 1.0)  # share of the attempts that balancers cancelled
    connections_per_box_most: float = bounded(0, 1e6, 1e6)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A complete scenario file."""

    title: str
    seconds: float = bounded(1, 3600, 30.0)
    warm_up_s: float = bounded(0, 60, 1.0)  # asks before this are sent but not counted
    fleet: Fleet = field(default_factory=Fleet)
    load: Load = field(default_factory=Load)
    callers: Callers = field(default_factory=Callers)
    discovery: Discovery = field(default_factory=Discovery)
    network: Network = field(default_factory=Network)
    expect: Expect = field(default_factory=Expect)
    classes: tuple[RequestClass, ...] = ()
    partners: tuple[Partner, ...] = ()
    faults: tuple[Fault, ...] = ()
    hold_up_ms: float = bounded(0, 1000, 0.0)  # the rules allow for a balancer that is stalled for this long
    operators: str = ""  # text of the balancers' operators' file (TOML); "": none


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
    """Parse and validate a TOML text; ValidationError with one line per error.

    Without classes or partners of its own, a scenario gets those of the quote service."""
    scenario = build(Scenario, parse(text, where), where)
    scenario = dataclasses.replace(
        scenario, classes=scenario.classes or DEFAULT_CLASSES, partners=scenario.partners or DEFAULT_PARTNERS
    )
    return validated(scenario, where)


def validated(scenario: Scenario, where: str) -> Scenario:
    """The same scenario if its settings are consistent; else ValidationError."""
    errors = [
        f"{where}: {name}: the low end lies above the high end"
        for name, value in _range_settings(scenario)
        if value[0] > value[1]
    ]
    names = {c.name for c in scenario.classes}
    errors += [
        f"{where}: faults[{i}].class_name: no class {f.class_name!r}; there are {', '.join(sorted(names))}"
        for i, f in enumerate(scenario.faults)
        if f.class_name and f.class_name not in names
    ]
    if len(names) < len(scenario.classes) or len({p.name for p in scenario.partners}) < len(scenario.partners):
        errors.append(f"{where}: two classes or two partners of the same name")
    partners = {p.name for p in scenario.partners}
    errors += [
        f"{where}: faults[{i}].partner_name: no partner {f.partner_name!r}; there are {', '.join(sorted(partners))}"
        for i, f in enumerate(scenario.faults)
        if f.partner_name and f.partner_name not in partners
    ]
    if not scenario.fleet.rooms or not all(scenario.fleet.rooms):
        errors.append(f"{where}: fleet.rooms: at least one, and none without a name")
    if sum(c.share for c in scenario.classes) <= 0 or sum(p.share for p in scenario.partners) <= 0:
        errors.append(f"{where}: the shares of the classes, and those of the partners, must add up to more than 0")
    if scenario.load.rate * scenario.seconds > MAX_ASKS:
        errors.append(f"{where}: load.rate x seconds is over {MAX_ASKS} asks")
    if errors:
        raise ValidationError(errors)
    return scenario


def _range_settings(scenario: Scenario) -> list[tuple[str, Range]]:
    ranges = []
    sections = [
        ("fleet.", scenario.fleet),
        ("callers.", scenario.callers),
        ("discovery.", scenario.discovery),
        ("network.", scenario.network),
        *((f"faults[{i}].", f) for i, f in enumerate(scenario.faults)),
        *((f"partners[{i}].", p) for i, p in enumerate(scenario.partners)),
    ]
    for prefix, section in sections:
        for f in dataclasses.fields(section):  # type: ignore[arg-type]
            value = getattr(section, f.name)
            if isinstance(value, tuple) and len(value) == 2 and isinstance(value[0], float):
                ranges.append((prefix + f.name, value))
    return ranges
