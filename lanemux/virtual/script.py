"""The faults of a virtual run: a short, readable script, drawn from a seed. No I/O, no clock.

A fault is injected at a time, or in the same instant as the nth event of a kind, or shortly after it. Most are tied to
an event or to another fault, since balancers break when two things coincide.
"""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass, field

from lanemux.rehearsal.scenario import (
    Callers,
    Discovery,
    Fleet,
    Load,
    Network,
    Partner,
    RequestClass,
    Scenario,
)
from lanemux.virtual.network import MS, LinkConditions

EVENTS = (
    "box up",
    "box ask",
    "box answer",
    "box look ask",
    "box look answer",
    "box gone",
    "client up",
    "client ask",
    "client answer",
    "list answer",
    "peer message",
)
# Each fault: its weight in the draw, and the range of its duration in ms (for `wall`: of the step, in ms).
FAULTS: dict[str, tuple[float, float, float]] = {
    "drain": (4, 800, 2500),  # a box: announced at once; it exits after the duration, and restarts cold
    "die": (2, 300, 2000),  # a box: its process dies, and restarts cold after the duration
    "freeze": (2, 20, 600),  # a box is paused
    "hang": (0, 300, 2500),  # a box hangs in the middle of its answers
    "late_body": (0, 1500, 5000),  # a box sends the bodies of its answers long after their heads
    "copy": (0, 0, 0),  # boxes send their last answers a second time
    "late_connects": (0, 5000, 5000),  # new connections to boxes come up late
    "vanish": (1, 400, 2500),  # a box becomes unreachable without notice
    "swap": (2, 300, 1500),  # a box is gone for good; another one starts cold at its address
    "still": (3, 5, 1500),  # a balancer's process is paused
    "lurch": (3, 1, 300),  # the machine is paused in the middle of a balancer's turn of the event loop
    "stop": (2, 100, 1500),  # a balancer: SIGTERM, and a restart after the duration
    "kill": (1, 100, 1500),  # a balancer: SIGKILL, and a restart after the duration
    "reload": (1, 0, 0),  # a balancer: SIGHUP without a change
    "move": (2, 200, 1500),  # a balancer: SIGHUP, discovery has a new address; the old one works on for the duration
    "torn": (1, 0, 0),  # a balancer: SIGHUP with a half-written configuration
    "unread": (1, 0, 0),  # a balancer: SIGHUP while its disk can't be read
    "reset": (3, 0, 0),  # a connection to a box is reset
    "hold": (2, 50, 3000),  # no traffic to or from a box; connections stay open
    "shut": (2, 100, 2000),  # new connections to a box time out
    "mute": (2, 0, 0),  # a connection to a box is black-holed for good
    "trade": (2, 200, 1500),  # two boxes die; each restarts at the other's address
    "deaf": (1, 200, 3000),  # no peer message reaches a balancer
    "unheard": (2, 100, 4000),  # no traffic between a balancer and its discovery
    "lost": (2, 0, 0),  # the balancer's connections to discovery are black-holed for good
    "full": (1, 20, 800),  # a balancer has no free descriptors
    "starved": (1, 20, 800),  # a balancer's kernel has no memory for further connections
    "wall": (1, -3_600_000, 3_600_000),  # a balancer's wall clock is stepped
    "leave": (3, 0, 0),  # a client closes its connection
    "half": (1, 0, 0),  # a client half-closes its connection
    "double": (2, 0, 0),  # a client sends its request again under the same id on another connection
    "again": (0, 1, 400),  # a client closes its connection and sends its request again under the same id later
    "burst": (2, 20, 200),  # the list changes often during that time
    "drop": (2, 0, 0),  # etcd: watches are closed
    "member": (2, 0, 0),  # etcd: a member restarts
    "stall": (2, 200, 4000),  # etcd: a member does not respond
    "compact": (3, 0, 0),  # etcd: history is compacted while the watch is disconnected
    "outage": (0, 400, 2500),  # storms: a third of the boxes die together; each restarts cold after a time of its own
}
HOLDING_BACK_FAULTS = ("hold", "mute", "reset")  # the network loses or holds back what a box has sent
ETCD_FAULTS = ("drop", "member", "stall", "compact")
BOX_FAULTS = (
    "drain",
    "die",
    "freeze",
    "vanish",
    "swap",
    "reset",
    "hold",
    "shut",
    "mute",
    "trade",
    "outage",
    "hang",
    "late_body",
    "copy",
    "late_connects",
)
HANG_SHARE = 0.25  # of the seeds: a box hangs in the middle of its answers; drawn apart from the other faults
AGAIN_SHARE, MAX_AGAIN = 0.5, 4  # of the seeds, and faults of one: requests come again; drawn apart as well
COPY_SHARE, MAX_COPIES = 0.5, 30  # of the seeds, and faults of one: second answers; drawn apart as well
LATE_CONNECTS_SHARE, MAX_LATE_RESETS = 0.4, 12  # of the seeds, and resets beside it, which are followed by retries
SHORT_WINDOW_MS = 120.0  # for which boxes remember a key in these seeds
LATE_BODY_SHARE = 0.5  # of the seeds: a box is late with the bodies of its answers; drawn apart as well
STORM_ONLY_FAULTS = ("outage",)  # drawn only with `storm`
EVENT_TARGET = -1  # the party that the triggering event concerns
MAX_FAULTS = 6
SECONDS = 4.0
STORM_SECONDS = 5.0
STORM_SPLIT_SHARE = 0.1  # of the kinds of link: they keep their split writes and small buffers
SIMULTANEOUS_SHARE = 0.45  # of the faults: another one coincides
EVENT_TRIGGERED_SHARE = 0.7  # of the faults: triggered by an event; the others have a time
UNPROBED_SHARE = 0.2  # of the setups: boxes are not probed, so that a request is retried within its own turn
LONG_DELAY_MS = 600_000  # 10 minutes: such datagrams arrive after the end of the run


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault and what triggers it."""

    what: str
    who: int = EVENT_TARGET  # number of the box or balancer
    at_ms: float = 0.0  # from the start of the run; ignored with `on`
    on: str = ""  # the event that triggers it; empty: `at_ms` does
    nth: int = 0  # which of these events, counted from 1
    lag_us: int = 0  # delay after the event
    for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Script:
    """One virtual run: its seed, which determines the setup, and its faults, which may be fewer than the seed drew."""

    seed: int
    faults: tuple[Fault, ...] = ()
    asks: tuple[int, ...] | None = None  # numbers of the requests that are sent; None: all
    calm: bool = False  # links without jitter, split writes and loss
    storm: bool = False  # overload by callers who retry at once; balancers run the storm module


@dataclass(slots=True)
class WorldSetup:
    """The world that a seed determines, apart from the faults."""

    scenario: Scenario
    links: dict[str, LinkConditions] = field(default_factory=dict)
    max_step_ns: int = 0
    descriptor_limit: int = 1024


CLASSES = (
    RequestClass("rate-lookup", 0.5, 60.0, 0.6, 0.3, worth=3.0),
    RequestClass("send-money", 0.25, 40.0, 0.5, 0.3, worth=5.0, effect="unsafe"),
    RequestClass("reserve", 0.25, 50.0, 0.5, 0.3, worth=2.0, effect="keyed", scope="cell", window_ms=2000.0),
)
PARTNERS = (Partner("brooklyn-desk", 0.6, (0.8, 1.2)), Partner("toronto-desk", 0.4, (0.8, 1.2)))


def world_setup(seed: int, calm: bool = False, storm: bool = False) -> WorldSetup:
    """Draw the world of a seed."""
    setup = _base_setup(seed, calm)
    if _has_late_connects(seed):
        classes = tuple(
            dataclasses.replace(c, window_ms=SHORT_WINDOW_MS, scope="all") if c.effect == "keyed" else c
            for c in setup.scenario.classes
        )
        setup.scenario = dataclasses.replace(setup.scenario, classes=classes)
    if storm:
        rng = random.Random(f"{seed}/storm")
        boxes, s = rng.randint(3, 6), setup.scenario
        setup.scenario = dataclasses.replace(
            s,
            seconds=STORM_SECONDS,
            fleet=dataclasses.replace(s.fleet, boxes=boxes, balancers=rng.randint(2, 4)),
            load=Load(rate=rng.uniform(10.0, 16.0) * boxes),
            callers=Callers(at_once=rng.choice((0.5, 1.0)), impatient=0.01, honour=rng.choice((0.0, 0.5, 1.0))),
            discovery=dataclasses.replace(s.discovery, notice_s=(0.05, 3.0), add_s=(0.05, 2.0)),
        )
        # Both are left to the base setup: few descriptors would keep callers from being accepted, and writes split
        # into single bytes would take most of a run's steps.
        setup.descriptor_limit = 1024
        setup.links = {
            kind: w
            if rng.random() < STORM_SPLIT_SHARE
            else dataclasses.replace(w, split_probability=0.0, buffer_bytes=65_536)
            for kind, w in setup.links.items()
        }
    return setup


def needs_etcd(seed: int) -> bool:
    """Whether the balancers of this seed get their list from etcd."""
    return world_setup(seed).scenario.discovery.source == "etcd"


def _base_setup(seed: int, calm: bool) -> WorldSetup:
    rng = random.Random(f"{seed}/setting")
    boxes, balancers = rng.randint(2, 5), rng.choice((1, 2, 2, 3))
    source = "etcd" if rng.random() < 0.35 else "agent"
    scenario = Scenario(
        "a virtual run",
        SECONDS,
        0.0,
        Fleet(
            boxes=boxes,
            balancers=balancers,
            cell_size=2,
            connections=64,
            idle_s=rng.choice((3.0, 15.0)),
            error_rate=(0.0, 0.02),
            cold_s=(1.0, 3.0),
            looks=random.Random(f"{seed}/looks").random() >= UNPROBED_SHARE,
        ),
        Load(rate=rng.uniform(3.0, 7.0) * boxes),
        Callers(impatient=0.05, honour=0.5),
        Discovery(source=source, notice_s=(0.05, 0.6), add_s=(0.05, 0.6), spread_ms=(0.0, 20.0)),
        Network(peer_ms=(1.0, 33.0), peer_loss=0.05),
        classes=CLASSES,
        partners=PARTNERS,
    )
    setup = WorldSetup(scenario, descriptor_limit=rng.choice((1024, 1024, 96)))
    if not calm:
        setup.links = {kind: _link_conditions(rng, kind) for kind in ("client", "box", "list", "peer")}
        setup.max_step_ns = rng.choice((0, 0, 40_000, 400_000))
    return setup


def _link_conditions(rng: random.Random, kind: str) -> LinkConditions:
    """Draw from few latencies, so that arrivals on different links often fall in the same instant."""
    latency = rng.choice((0, 50_000, 50_000, 1_000_000, 3_000_000))
    jitter = rng.choice((0, 0, 100_000, 2_000_000))
    if kind == "peer":
        return LinkConditions(
            latency,
            jitter,
            loss_probability=rng.choice((0.0, 0.1, 0.5)),
            duplicate_probability=rng.choice((0.0, 0.2)),
            delay_probability=rng.choice((0.0, 0.1)),
            extra_delay_ns=rng.choice((500, LONG_DELAY_MS)) * MS,
        )
    return LinkConditions(
        latency,
        jitter,
        split_probability=rng.choice((0.0, 0.0, 0.5, 0.9)),
        buffer_bytes=rng.choice((700, 4096, 65_536)),
    )


def draw(seed: int, storm: bool = False) -> Script:
    """Draw the script of a seed; with `storm`, boxes die together."""
    world, rng = world_setup(seed, storm=storm), random.Random(f"{seed}/{'storm ' if storm else ''}faults")
    faults: list[Fault] = []
    if storm:
        first = rng.uniform(300, 1200)
        faults = [
            Fault(
                "outage",
                rng.randrange(world.scenario.fleet.boxes),
                at_ms=round(at, 3),
                for_ms=round(rng.uniform(*FAULTS["outage"][1:]), 1),
            )
            for at in (first, first + rng.uniform(500, 3000))[: rng.choice((1, 1, 2))]
        ]
    for _ in range(rng.randint(1, MAX_FAULTS)):
        fault = _fault(rng, world)
        faults.append(fault)
        if rng.random() < SIMULTANEOUS_SHARE:
            simultaneous = _fault(rng, world)
            faults.append(
                dataclasses.replace(
                    simultaneous,
                    at_ms=fault.at_ms,
                    on=fault.on,
                    nth=fault.nth,
                    lag_us=rng.choice((fault.lag_us, fault.lag_us, fault.lag_us + 1000)),
                    who=simultaneous.who if fault.on or simultaneous.who != EVENT_TARGET else 0,
                )
            )
    faults += _draw_apart(seed, world, "hang", HANG_SHARE)
    faults += _draw_apart(seed, world, "late_body", LATE_BODY_SHARE)
    faults += _draw_again(seed)
    faults += _draw_copies(seed)
    faults += _draw_late_connects(seed)
    return Script(seed, tuple(faults), storm=storm)


def _draw_apart(seed: int, world: WorldSetup, what: str, share: float) -> list[Fault]:
    """A fault of a box in a share of the seeds, drawn apart: the other faults of a seed stay as they are."""
    rng = random.Random(f"{seed}/{what}")
    if rng.random() >= share:
        return []
    box, at_ms = rng.randrange(world.scenario.fleet.boxes), rng.uniform(0, SECONDS * 1000)
    return [Fault(what, box, at_ms=round(at_ms, 3), for_ms=round(rng.uniform(*FAULTS[what][1:]), 1))]


def _draw_again(seed: int) -> list[Fault]:
    """Requests that come again after their clients have left, each tied to a request that a box receives."""
    rng = random.Random(f"{seed}/again")
    if rng.random() >= AGAIN_SHARE:
        return []
    return [
        Fault(
            "again",
            0,
            on="box ask",
            nth=rng.randint(1, 60),
            lag_us=rng.randrange(20_000),
            for_ms=round(rng.uniform(*FAULTS["again"][1:]), 1),
        )
        for _ in range(rng.randint(1, MAX_AGAIN))
    ]


def _draw_copies(seed: int) -> list[Fault]:
    """Second answers, each in the instant in which a balancer receives a request."""
    rng = random.Random(f"{seed}/copy")
    if rng.random() >= COPY_SHARE:
        return []
    return [Fault("copy", 0, on="client ask", nth=rng.randint(2, 100)) for _ in range(rng.randint(1, MAX_COPIES))]


def _has_late_connects(seed: int) -> bool:
    return random.Random(f"{seed}/late connects").random() < LATE_CONNECTS_SHARE


def _draw_late_connects(seed: int) -> list[Fault]:
    """Late connections, and resets of requests that have run; keys are remembered for a short time then."""
    if not _has_late_connects(seed):
        return []
    rng = random.Random(f"{seed}/late connects' resets")
    resets = [
        Fault("reset", EVENT_TARGET, on="box ask", nth=rng.randint(1, 120), lag_us=rng.randrange(5_000, 60_000))
        for _ in range(MAX_LATE_RESETS)
    ]
    return [Fault("late_connects", 0, at_ms=0.0, for_ms=FAULTS["late_connects"][2]), *resets]


def _fault(rng: random.Random, world: WorldSetup) -> Fault:
    source = world.scenario.discovery.source
    kinds = [
        k
        for k in FAULTS
        if k not in STORM_ONLY_FAULTS
        and (source == "etcd" or k not in ETCD_FAULTS)
        and (source == "agent" or k != "move")
    ]
    what = rng.choices(kinds, [FAULTS[k][0] for k in kinds])[0]
    shortest, longest = FAULTS[what][1:]
    duration_ms = round(rng.uniform(shortest, longest), 1) if longest > shortest else 0.0
    fleet = world.scenario.fleet
    who = rng.randrange(fleet.boxes if what in BOX_FAULTS else fleet.balancers)
    if rng.random() >= EVENT_TRIGGERED_SHARE:
        return Fault(what, who, at_ms=round(rng.uniform(0, SECONDS * 1000), 3), for_ms=duration_ms)
    event = rng.choice(EVENTS)
    lag_us = rng.choice((0, 0, 0, 1, 1000, rng.randrange(20_000)))
    return Fault(
        what,
        EVENT_TARGET if rng.random() < 0.7 else who,
        on=event,
        nth=int(rng.paretovariate(0.6)) % 200 + 1,
        lag_us=lag_us,
        for_ms=duration_ms,
    )


def as_test(script: Script) -> str:
    """The source of a test that plays the script."""
    lines = [f"def test_seed_{script.seed}() -> None:", "    assert play(Script(", f"        seed={script.seed},"]
    if script.faults:
        lines.append("        faults=(")
        lines += [f"            {_fault_call(fault)}," for fault in script.faults]
        lines.append("        ),")
    if script.asks is not None:
        lines.append(f"        asks={script.asks!r},")
    if script.calm:
        lines.append("        calm=True,")
    if script.storm:
        lines.append("        storm=True,")
    return "\n".join([*lines, "    )).violations == []"])


def _fault_call(fault: Fault) -> str:
    """The constructor call of a fault, without default values."""
    arguments = [repr(fault.what)]
    for f in dataclasses.fields(fault)[1:]:
        value = getattr(fault, f.name)
        if value != f.default:
            arguments.append(f"{f.name}={value!r}")
    return f"Fault({', '.join(arguments)})"
