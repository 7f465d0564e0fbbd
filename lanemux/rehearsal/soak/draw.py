"""Derives a soak run from a seed: the rehearsal scenario and the failures in the balancers. No I/O, no clock."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from lanemux.rehearsal.calls.rules import TRANSIENT_ERRORS, WHOLE_RUN_MS, Rule
from lanemux.rehearsal.injection_plan import HOLD_UP_S, ClockStep, InjectionPlan, Window
from lanemux.rehearsal.scenario import (
    DEFAULT_PARTNERS,
    Callers,
    Discovery,
    Expect,
    Fault,
    Fleet,
    Load,
    RequestClass,
    Scenario,
    validated,
)

SECONDS = 8.0  # of one run
FINAL_ANSWER_GRACE_MS = 500.0  # a final answer up to this late earns nothing but does not count as lost
USE_ENDING = 0.6
WORK_MS = 40.0  # mean work of a request
LOAD_RANGE = (0.2, 0.55)  # share of the capacity of all boxes: with some down, the others can still serve half of it
SERVICE_LEAST = 0.5  # share of the requested service: half, the operators' acceptance limit
START_ERRORS = (
    ("socket", "ENOBUFS"),
    ("socket", "EMFILE"),
    ("socket", "ENFILE"),
    ("bind", "EADDRINUSE"),
    ("bind", "EADDRNOTAVAIL"),
    ("listen", "EADDRINUSE"),
    ("read_file", "EIO"),
)
START_FAILURE_S = (0.3, 1.5)
SOCKET_OUTAGE_S = (0.8, 2.0)  # how long no socket can be opened while in service
MIN_ACCEPT_OUTAGE_S = 0.2  # shortest time for which no connection can be accepted while in service
MAX_ACCEPT_OUTAGE_SHARE = 0.33  # of the deadline: must leave time for a final answer to the shortest try
WALL_CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
DEADLINES_MS = (300.0, 600.0, 1500.0)
STOPPED_CLIENTS_SHARE = 1 / 3  # of a balancer's descriptors, which is what clients hold at most
MEMORY_LIMITS_MB = (32.0, 32.0, 48.0, 80.0, 192.0)
DESCRIPTORS = (256, 512, 1024, 1024)
CHANGING_SHARE = 0.5  # of the runs: clients go from one part of a request to the next
LONG_HEADS_SHARE = 0.3  # of the runs: clients stop in heads of many lines
HANG_SHARE = 0.4  # of the runs: boxes hang in the middle of their responses
LATE_BODY_SHARE = 0.4  # of the runs: boxes are late with the bodies of their responses
MANY_BALANCERS = 12
SMALL_RESTART_PART = (0.05, 0.15)
START_CALLS = ("open", "opendir", "read", "stat", "dlopen", "close", "epoll_ctl", "socket", "bind", "fcntl")
START_CALLS_MS = (100, 2000)
SERVICE_CALLS = (
    "send",
    "recv",
    "close",
    "write",
    "epoll_ctl",
    "epoll_wait",
    "accept",
    "setsockopt",
    "shutdown",
    "stat",
)
SERVICE_PER_MILLE = (2, 10, 30)
BURST_CALLS = ("send", "recv", "epoll_ctl", "open", "write", "setsockopt", "close")


@dataclass(frozen=True)
class SoakRun:
    """Everything that a seed determines."""

    seed: int
    scenario: Scenario
    injection: InjectionPlan
    calls: Sequence[Rule] = ()  # calls of the C library that fail in the balancers


def draw(seed: int, seconds: float = SECONDS, balancers: int | None = None) -> SoakRun:
    """The run of a seed; deterministic for a seed, length and number of balancers (None: drawn)."""
    rng = random.Random(f"soak/{seed}")
    deadline_ms = rng.choice(DEADLINES_MS)
    injection = _draw_injection(seed, rng, deadline_ms)
    scenario = _draw_scenario(seed, rng, seconds, deadline_ms, injection)
    if balancers is not None:
        scenario = _with_balancers(scenario, balancers, seconds)
    return SoakRun(seed, scenario, injection, _draw_calls(random.Random(f"soak-calls/{seed}")))


def _with_balancers(scenario: Scenario, balancers: int, seconds: float) -> Scenario:
    """The scenario with that many balancers. With more than MANY_BALANCERS, a smaller part is restarted over a longer
    span and without a flood, so that the starts don't overload this machine's processors."""
    faults = scenario.faults
    if balancers > MANY_BALANCERS:
        restart = replace(faults[0], part=SMALL_RESTART_PART, for_s=seconds * 0.4)
        faults = (restart, *(fault for fault in faults[1:] if fault.kind != "flood"))
    return replace(scenario, fleet=replace(scenario.fleet, balancers=balancers), faults=faults)


def _draw_calls(rng: random.Random) -> list[Rule]:
    """Failing calls: all of a kind during startup, a share of a kind in service, all of a kind for a short span."""
    rules = []
    if rng.random() < 0.6:
        for kind in rng.sample(START_CALLS, rng.choice((1, 2, 3))):
            rules.append(Rule(kind, _persistent_error(rng, kind), 0, rng.randint(*START_CALLS_MS), timed=True))
    for kind in rng.sample(SERVICE_CALLS, rng.choice((0, 1, 2, 3))):
        rules.append(
            Rule(kind, rng.choice(TRANSIENT_ERRORS[kind]), 0, WHOLE_RUN_MS, True, rng.choice(SERVICE_PER_MILLE))
        )
    if rng.random() < 0.3:
        from_ms = rng.randint(2000, 5000)
        kind = rng.choice(BURST_CALLS)
        rules.append(Rule(kind, _persistent_error(rng, kind), from_ms, from_ms + rng.randint(100, 400), timed=True))
    return rules


def _persistent_error(rng: random.Random, kind: str) -> str:
    """An error that every call in a span can realistically return. That excludes EINTR, which comes with a signal:
    Python repeats the call at once, so a span of it only keeps a processor busy inside the interpreter. It also
    excludes EAGAIN: the kernel does not report for a whole span that there is nothing to read or no room to write when
    there is."""
    return rng.choice([error for error in TRANSIENT_ERRORS[kind] if error not in ("EINTR", "EAGAIN")])


def _draw_injection(seed: int, rng: random.Random, deadline_ms: float) -> InjectionPlan:
    """Failures that the injection module makes inside each balancer process."""
    windows = []
    if rng.random() < 0.6:
        call, error = rng.choice(START_ERRORS)
        windows.append(Window(call, error, rng.uniform(*START_FAILURE_S)))
    if rng.random() < 0.3:
        from_s = rng.uniform(2.0, 5.0)
        accept_s = rng.uniform(
            MIN_ACCEPT_OUTAGE_S, MAX_ACCEPT_OUTAGE_SHARE * deadline_ms / 1000 + FINAL_ANSWER_GRACE_MS / 2000
        )
        windows += [
            Window("socket", "EMFILE", from_s + rng.uniform(*SOCKET_OUTAGE_S), from_s),
            Window("accept", "EMFILE", from_s + accept_s, from_s),
        ]
    steps = [ClockStep(rng.uniform(1.0, 6.0), rng.choice(WALL_CLOCK_STEPS_S)) for _ in range(rng.choice((0, 0, 1, 3)))]
    return InjectionPlan(
        seed=seed,
        windows=windows,
        clock_steps=steps,
        wall_offset_s=rng.choice((0.0, 0.0, *WALL_CLOCK_STEPS_S)),
        accept_share=rng.choice((0.0, 0.1, 0.33)),
        connect_share=rng.choice((0.0, 0.1, 0.3)),
        socket_share=rng.choice((0.0, 0.0, 0.05)),
        short_share=rng.choice((0.0, 0.1, 0.33)),
        hold_up_share=rng.choice((0.0, 0.0, 0.002)),
        broken_share=rng.choice((0.0, 1.0)),
    )


def _draw_scenario(
    seed: int, rng: random.Random, seconds: float, deadline_ms: float, injection: InjectionPlan
) -> Scenario:
    aim_ms = deadline_ms * rng.uniform(0.4, 0.8)
    classes = tuple(
        RequestClass(
            name,
            share,
            work_ms=WORK_MS,
            aim_ms=aim_ms,
            deadline_ms=deadline_ms,
            worth=3.0,
            effect=effect,
            scope=rng.choice(("all", "zone", "cell")),
            window_ms=rng.choice((400.0, 5000.0)),
        )
        for name, share, effect in (("quote", 0.4, "safe"), ("booking", 0.3, "keyed"), ("payout", 0.3, "unsafe"))
    )
    limits = random.Random(f"soak-limits/{seed}")
    memory_mb, sockets = limits.choice(MEMORY_LIMITS_MB), limits.choice(DESCRIPTORS)
    boxes = rng.randint(5, 9)
    balancers = MANY_BALANCERS if rng.random() < 0.1 else rng.randint(3, 5)
    return validated(
        Scenario(
            title=f"soak, seed {seed}",
            seconds=seconds,
            classes=classes,
            partners=DEFAULT_PARTNERS,
            fleet=Fleet(
                boxes=boxes,
                balancers=balancers,
                cold_s=(2.0, 4.0),
                cold_worst_s=4.0,
                memory_mb=memory_mb,
                sockets=sockets,
            ),
            load=Load(rate=rng.uniform(*LOAD_RANGE) * boxes * 1000 / WORK_MS),
            callers=Callers(
                grace_ms=FINAL_ANSWER_GRACE_MS,
                use_ending=USE_ENDING,
                impatient=rng.choice((0.01, 0.3)),
                at_once=rng.choice((0.5, 1.0)),
            ),
            discovery=Discovery(notice_s=(0.2, 2.0), add_s=(0.2, 1.0)),
            hold_up_ms=HOLD_UP_S * 1000 if injection.hold_up_share else 0.0,
            expect=Expect(service_least=SERVICE_LEAST),
            faults=(
                *_draw_faults(rng, seconds),
                *_draw_hangs(random.Random(f"soak-hang/{seed}"), seconds),
                *_draw_late_bodies(random.Random(f"soak-late-body/{seed}"), seconds),
                *_draw_long_heads(random.Random(f"soak-heads/{seed}"), seconds, sockets),
                *_draw_changing(random.Random(f"soak-changing/{seed}"), seconds, sockets),
            ),
        ),
        f"seed {seed}",
    )


def _draw_hangs(rng: random.Random, seconds: float) -> list[Fault]:
    """In some runs boxes hang in the middle of their responses."""
    if rng.random() >= HANG_SHARE:
        return []
    return [Fault("hang", at_s=rng.uniform(1.0, seconds - 3.0), for_s=rng.uniform(0.5, 2.0), part=(0.1, 0.3))]


def _draw_late_bodies(rng: random.Random, seconds: float) -> list[Fault]:
    """In some runs boxes send the head of a response at once and its body late."""
    if rng.random() >= LATE_BODY_SHARE:
        return []
    return [Fault("late_body", at_s=rng.uniform(1.0, seconds - 4.0), for_s=rng.uniform(1.0, 3.0), part=(0.1, 0.3))]


def _draw_changing(rng: random.Random, seconds: float, sockets: int) -> list[Fault]:
    """In some runs clients hold one part of a request after another, each on a new connection."""
    if rng.random() >= CHANGING_SHARE:
        return []
    at_s, clients = rng.uniform(0.5, 1.5), int(STOPPED_CLIENTS_SHARE * sockets)
    return [Fault("flood", at_s=at_s, for_s=seconds - at_s - 1.0, connections=clients, changing=True)]


def _draw_long_heads(rng: random.Random, seconds: float, sockets: int) -> list[Fault]:
    """In some runs clients stop in heads of many short lines, as many clients as a third of the descriptors allows."""
    if rng.random() >= LONG_HEADS_SHARE:
        return []
    at_s = rng.uniform(1.0, seconds - 3.0)
    clients = int(STOPPED_CLIENTS_SHARE * sockets)
    return [Fault("flood", at_s=at_s, for_s=2.5, connections=clients, head_lines=rng.choice((250, 1000, 3200)))]


def _draw_faults(rng: random.Random, seconds: float) -> list[Fault]:
    """A rolling restart of the balancers, which every seed has, and two or three other faults."""
    faults = [
        Fault(
            "restart",
            at_s=rng.uniform(1.0, seconds * 0.4),
            for_s=rng.uniform(0.1, 1.0),
            part=(0.25, 0.7),
            down_s=(0.3, 0.8),
            signals=rng.random() < 0.5,
        )
    ]
    others = [
        Fault(
            "deploy",
            at_s=rng.uniform(0.5, 2.0),
            for_s=seconds * 0.6,
            part=(0.3, 0.6),
            drain_s=(0.5, 1.5),
            batch=(0.2, 0.4),
        ),
        Fault("freeze", at_s=1.0, for_s=seconds - 2.0, part=(0.2, 0.4)),
        Fault("crash", at_s=rng.uniform(2.0, seconds - 2.0), part=(0.1, 0.3), down_s=(0.5, 1.5)),
        Fault("vanish", at_s=rng.uniform(2.0, seconds - 3.0), for_s=2.0, part=(0.1, 0.3)),
        Fault("flood", at_s=rng.uniform(1.0, seconds - 3.0), for_s=2.0, connections=400),
    ]
    return faults + rng.sample(others, rng.choice((2, 3)))
