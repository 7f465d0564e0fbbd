"""The plan of a rehearsal, generated in full from a scenario and a seed before the run. No I/O, no clock.

It holds everything that the balancers cannot influence: the asks, how their callers behave, the boxes, their faults,
and when discovery reports them. Times are nanoseconds from the start of the run.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field, replace

from lanemux.rehearsal.scenario import Fault, Fleet, Range, RequestClass, Scenario

SECOND = 1_000_000_000
MS = 1_000_000
DEATH_DRAIN_SHARE = 0.6  # a box that dies while draining does so after this share of its drain
REPEAT_SETTINGS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}  # the platform's terms
ETCD_FAULTS = ("drop", "reset", "stall", "compact")
STALL_S = (0.2, 3.0)  # how long a member stays silent: from less to more than a balancer needs to detect it
MAX_COUNTED_DEADLINE_S, KILL_MARGIN_S = 3.0, 0.7  # SIGKILL follows SIGTERM by min(longest deadline, 3 s) + 0.7 s
SAME_ADDRESS_SHARE = 0.5  # share of successors that start at the address of their predecessor


@dataclass(frozen=True, slots=True)
class Ask:
    """A logical request of a caller: one first try and its retries."""

    number: int
    at_ns: int
    class_name: str
    partner: str
    user: str
    effect: str
    work_ns: int
    hint_us: int
    room: int
    ids: tuple[str, ...]  # request ids of the first try and of each retry
    fronts: tuple[float, ...]  # in [0, 1) for each try: selects one of the balancers that the front knows
    try_ns: int  # timeout of a try
    wait_ns: int  # delay before a retry
    honours: bool  # whether the caller obeys Retry-After
    leaves_ns: int  # the caller disconnects this long after its first try; 0: never


@dataclass(frozen=True, slots=True)
class Box:
    """A process of a quote box under its host name, or the first of several with the same name."""

    host: str
    room: str
    cell: int
    kind: str
    slot: int  # number of its address; a successor may reuse its predecessor's
    speed: float
    queue: int
    thrash: float
    thrash_at: float
    cold_from: float
    cold_ns: int  # warm after this time
    warm_work_ns: int  # or after this much work
    errors: float
    report_ns: int
    probe_ns: int
    handshake_ns: int
    seed: int


@dataclass(frozen=True, slots=True)
class Happening:
    """An event that happens to a box or a balancer at a given time."""

    at_ns: int
    what: str  # see FAULT_KINDS in scenario.py; start, drain, leave, die, return, revive
    who: int  # number of the box or balancer
    until_ns: int = 0  # freeze, hang, late_body, neighbour, flood: its end; restart: time of the SIGKILL
    size: float = 0.0  # neighbour: share taken; flood: connections; restart: 1 if more signals follow SIGTERM
    sources: int = 0  # flood: number of source addresses
    changing: bool = False  # flood: connections go from one part of a request to the next
    head_lines: int = 0  # flood: lines of a request's head that each connection sends
    long_bodies: bool = False  # late_body: some bodies are longer than what a balancer buffers


@dataclass(frozen=True, slots=True)
class Notice:
    """Discovery learns of a change of a box; each agent passes it on after a delay of its own."""

    at_ns: int
    box: int
    health: str
    born_ns: int  # start of the box's process; 0: long ago


@dataclass(slots=True)
class Plan:
    """The complete plan of a run; its lists are in order of time."""

    scenario: Scenario
    seed: int
    boxes: list[Box] = field(default_factory=list)
    initial_boxes: list[int] = field(default_factory=list)  # boxes that are up and warm at the start
    asks: list[Ask] = field(default_factory=list)
    happenings: list[Happening] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    successor_start_ns: dict[int, int] = field(default_factory=dict)  # of boxes that a deploy starts
    replaced_end_ns: dict[int, int] = field(default_factory=dict)  # of boxes that a deploy replaces
    etcd_faults: list[Happening] = field(default_factory=list)  # per etcd member: drop, reset, stall, compact
    spread_ns: list[int] = field(default_factory=list)  # delay of each balancer's agent
    fronts_notice_ns: int = 0  # delay until the front stops using a dead balancer
    cancels_queued: bool = False  # whether a cancel removes work that is queued at a box

    def digest(self) -> str:
        """A hash over every arrival, fault and notice; equal for equal scenarios and seeds."""
        hasher = hashlib.blake2b(digest_size=12)
        for part in (
            self.boxes,
            self.initial_boxes,
            self.asks,
            self.happenings,
            self.notices,
            self.etcd_faults,
            self.spread_ns,
            [self.fronts_notice_ns, self.cancels_queued],
        ):
            hasher.update(repr(part).encode())
        return hasher.hexdigest()


def draw_plan(scenario: Scenario, seed: int) -> Plan:
    """Generate the plan of a scenario for a seed."""
    plan = Plan(scenario, seed)
    rng = _random_stream(seed, "world")
    fleet = scenario.fleet
    for i in range(fleet.boxes):
        plan.initial_boxes.append(_add_box(plan, rng, i, i))
    plan.spread_ns = [_uniform_ns(rng, scenario.discovery.spread_ms, MS) for _ in range(fleet.balancers)]
    plan.fronts_notice_ns = _uniform_ns(rng, scenario.callers.front_notice_s, SECOND)
    plan.cancels_queued = rng.random() < fleet.cancels_queued
    heavy: list[tuple[Fault, str, float, float]] = []
    partner_surges: list[tuple[Fault, random.Random]] = []
    current = {i: i for i in range(fleet.boxes)}  # slot -> number of the box there at this point
    for number, fault in enumerate(scenario.faults):
        fault_rng = _random_stream(seed, f"fault {number}")
        if fault.kind == "heavy":
            name = fault.class_name or fault_rng.choice(scenario.classes).name
            heavy.append((fault, name, fault_rng.uniform(*fault.share), fault_rng.uniform(*fault.factor)))
        elif fault.kind == "partner":
            partner_surges.append((fault, fault_rng))
        else:
            ADD_FAULT[fault.kind](plan, fault, fault_rng, current)
    _drop_events_outside_lifetimes(plan)
    plan.happenings.sort(key=lambda event: (event.at_ns, event.who, event.what))
    plan.notices.sort(key=lambda notice: (notice.at_ns, notice.box))
    _draw_etcd_faults(plan, _random_stream(seed, "upsets"))
    _draw_asks(plan, _random_stream(seed, "asks"), heavy)
    for fault, fault_rng in partner_surges:
        _add_partner_surge(plan, fault, fault_rng)
    return plan


def _random_stream(seed: int, name: str) -> random.Random:
    """A random generator per part of the plan, so that a change in one part leaves the others unchanged."""
    return random.Random(int.from_bytes(hashlib.blake2b(f"{seed}/{name}".encode(), digest_size=8).digest(), "big"))


def _uniform_ns(rng: random.Random, bounds: Range, unit: int) -> int:
    return int(rng.uniform(*bounds) * unit)


def _lognormal(rng: random.Random, mean: float, cv: float) -> float:
    """A lognormal sample with this mean and coefficient of variation."""
    variance = math.log(1 + cv * cv)
    return mean * math.exp(rng.gauss(-variance / 2, math.sqrt(variance)))


# ---- boxes and their faults ----------------------------------------------------------------------------


def _add_box(plan: Plan, rng: random.Random, slot: int, index: int) -> int:
    fleet = plan.scenario.fleet
    number = len(plan.boxes)
    name = hashlib.blake2b(f"{plan.seed}/box {number}".encode(), digest_size=4).hexdigest()
    cold_ns = _uniform_ns(rng, fleet.cold_s, SECOND)
    speed = max(0.3, rng.gauss(1.0, rng.uniform(*fleet.speed_cv)))
    plan.boxes.append(
        Box(
            f"q-{name}",
            fleet.rooms[index % len(fleet.rooms)],
            index // fleet.cell_size,
            "box-a" if rng.random() < 0.52 else "box-b",
            slot,
            speed,
            round(rng.uniform(*fleet.queue_per_core) * fleet.cores),
            rng.uniform(*fleet.thrash),
            rng.uniform(*fleet.thrash_at) * fleet.cores,
            rng.uniform(*fleet.cold_from),
            cold_ns,
            int(cold_ns * speed * fleet.cores * 0.5),
            rng.uniform(*fleet.error_rate),
            _uniform_ns(rng, fleet.report_ms, MS),
            _uniform_ns(rng, fleet.probe_us, 1000),
            _uniform_ns(rng, fleet.handshake_us, 1000),
            rng.getrandbits(32),
        )
    )
    return number


def _sample_slots(rng: random.Random, current: dict[int, int], part: Range) -> list[int]:
    """The slots of a random share of the boxes, at least one."""
    count = max(1, round(rng.uniform(*part) * len(current)))
    return rng.sample(sorted(current), min(count, len(current)))


def _add_freezes(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    for slot in _sample_slots(rng, current, fault.part):
        interval_ns = _uniform_ns(rng, fault.every_s, SECOND)
        at_ns = int(fault.at_s * SECOND) + int(rng.random() * interval_ns)
        while at_ns < (fault.at_s + fault.for_s) * SECOND:
            end_ns = at_ns + _uniform_ns(rng, fault.pause_ms, MS)
            plan.happenings.append(Happening(at_ns, "freeze", current[slot], end_ns))
            at_ns = max(end_ns, at_ns + int(interval_ns * rng.uniform(0.8, 1.2)))


def _add_hangs(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Boxes that hang in the middle of each response."""
    at_ns, end_ns = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
    for slot in _sample_slots(rng, current, fault.part):
        plan.happenings.append(Happening(at_ns, "hang", current[slot], end_ns))


def _add_late_bodies(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Boxes that send the body of each response long after its head."""
    at_ns, end_ns = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
    for slot in _sample_slots(rng, current, fault.part):
        plan.happenings.append(Happening(at_ns, "late_body", current[slot], end_ns, long_bodies=True))


def _add_neighbours(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    for slot in _sample_slots(rng, current, fault.part):
        at_ns, share_taken = int((fault.at_s + rng.random()) * SECOND), rng.uniform(*fault.take)
        while at_ns < (fault.at_s + fault.for_s) * SECOND:
            end_ns = at_ns + _uniform_ns(rng, fault.every_s, SECOND)
            plan.happenings.append(Happening(at_ns, "neighbour", current[slot], end_ns, share_taken))
            at_ns = end_ns + _uniform_ns(rng, fault.every_s, SECOND)


def _add_deploy(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Boxes drain and exit in batches; each is replaced by a cold successor with a new name."""
    discovery = plan.scenario.discovery
    slots = _sample_slots(rng, current, fault.part)
    batch_size = max(1, round(rng.uniform(*fault.batch) * len(current)))
    batches = [slots[i : i + batch_size] for i in range(0, len(slots), batch_size)]
    for i, batch in enumerate(batches):
        at_ns = int((fault.at_s + fault.for_s * i / len(batches)) * SECOND)
        for slot in batch:
            old = current[slot]
            drain_ns = at_ns + int(rng.random() * 0.1 * SECOND)
            leave_ns = drain_ns + _uniform_ns(rng, fault.drain_s, SECOND)
            dies_draining = rng.random() < fault.die_in_drain
            end_ns = drain_ns + int((leave_ns - drain_ns) * DEATH_DRAIN_SHARE) if dies_draining else leave_ns
            notified_ns = drain_ns + _uniform_ns(rng, discovery.notice_s, SECOND)
            plan.happenings += [
                Happening(drain_ns, "drain", old),
                Happening(end_ns, "die" if dies_draining else "leave", old),
            ]
            plan.notices += [
                Notice(notified_ns, old, "draining", 0),
                Notice(max(notified_ns, end_ns) + _uniform_ns(rng, discovery.notice_s, SECOND), old, "removed", 0),
            ]
            new_slot = slot if rng.random() < SAME_ADDRESS_SHARE else _free_slot(plan)
            new = _add_box(plan, rng, new_slot, slot)
            start_ns = leave_ns + 50 * MS
            plan.happenings.append(Happening(start_ns, "start", new))
            plan.replaced_end_ns[old], plan.successor_start_ns[new] = end_ns, start_ns
            plan.notices.append(Notice(start_ns + _uniform_ns(rng, discovery.add_s, SECOND), new, "up", start_ns))
            current[slot] = new


def _drop_events_outside_lifetimes(plan: Plan) -> None:
    """Drop starts of a box after a deploy replaced it or before one starts it: its address is another box's then."""

    def outside(box: int, at_ns: int) -> bool:
        return at_ns < plan.successor_start_ns.get(box, 0) or at_ns >= plan.replaced_end_ns.get(box, at_ns + 1)

    plan.happenings = [
        event for event in plan.happenings if event.what != "start" or not outside(event.who, event.at_ns)
    ]
    plan.notices = [
        notice
        for notice in plan.notices
        if notice.health != "up" or not outside(notice.box, notice.born_ns or notice.at_ns)
    ]


def _free_slot(plan: Plan) -> int:
    return max(box.slot for box in plan.boxes) + 1


def _add_crashes(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Box processes die all at the same time and restart cold under the same names."""
    discovery = plan.scenario.discovery
    at_ns = int(fault.at_s * SECOND)
    for slot in _sample_slots(rng, current, fault.part):
        box, back_ns = current[slot], at_ns + _uniform_ns(rng, fault.down_s, SECOND)
        removal_notified_ns = at_ns + _uniform_ns(rng, discovery.notice_s, SECOND)
        plan.happenings += [Happening(at_ns, "die", box), Happening(back_ns, "start", box)]
        if removal_notified_ns < back_ns:
            plan.notices.append(Notice(removal_notified_ns, box, "removed", 0))
        plan.notices.append(
            Notice(
                max(removal_notified_ns, back_ns + _uniform_ns(rng, discovery.add_s, SECOND)) + 1, box, "up", back_ns
            )
        )


def _add_vanishings(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Machines are cut off without closing connections, and return unchanged."""
    discovery = plan.scenario.discovery
    at_ns, back_ns = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
    for slot in _sample_slots(rng, current, fault.part):
        box, notified_ns = current[slot], at_ns + _uniform_ns(rng, discovery.silent_notice_s, SECOND)
        plan.happenings += [Happening(at_ns, "vanish", box), Happening(back_ns, "return", box)]
        if notified_ns < back_ns:
            plan.notices += [
                Notice(notified_ns, box, "removed", 0),
                Notice(back_ns + _uniform_ns(rng, discovery.add_s, SECOND), box, "up", 0),
            ]


def _add_kills(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Balancers are killed with SIGKILL and started again."""
    count = plan.scenario.fleet.balancers
    at_ns = int(fault.at_s * SECOND)
    for balancer in rng.sample(range(count), min(count, max(1, round(rng.uniform(*fault.part) * count)))):
        plan.happenings += [
            Happening(at_ns, "kill", balancer),
            Happening(at_ns + _uniform_ns(rng, fault.down_s, SECOND), "revive", balancer),
        ]


def _add_restarts(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Balancers get SIGTERM, SIGKILL at the earliest time that the platform allows, and are started again."""
    count = plan.scenario.fleet.balancers
    at_ns = int(fault.at_s * SECOND)
    for balancer in rng.sample(range(count), min(count, max(1, round(rng.uniform(*fault.part) * count)))):
        kill_ns = at_ns + earliest_kill_ns(plan.scenario)
        plan.happenings += [
            Happening(at_ns, "restart", balancer, kill_ns, float(fault.signals)),
            Happening(kill_ns + _uniform_ns(rng, fault.down_s, SECOND), "revive", balancer),
        ]
        at_ns = kill_ns + int(fault.for_s * SECOND)


def earliest_kill_ns(scenario: Scenario) -> int:
    """The shortest time after SIGTERM at which the platform may send SIGKILL (protocol page)."""
    longest_s = min(MAX_COUNTED_DEADLINE_S, max(c.deadline_ms for c in scenario.classes) / 1000)
    return int((longest_s + KILL_MARGIN_S) * SECOND)


def _add_floods(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Connections without a complete request are opened at the same time: those that send nothing at all balancers,
    those that send part of a head at a part of them."""
    at_ns, end_ns = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
    flooded = list(range(plan.scenario.fleet.balancers))
    if fault.head_lines or fault.changing:
        flooded = rng.sample(flooded, max(1, round(rng.uniform(*fault.part) * len(flooded))))
    plan.happenings += [
        Happening(
            at_ns, "flood", balancer, end_ns, float(fault.connections), fault.sources, fault.changing, fault.head_lines
        )
        for balancer in flooded
    ]


def _draw_etcd_faults(plan: Plan, rng: random.Random) -> None:
    """Faults of the etcd members, drawn separately for each balancer's member."""
    interval_s = plan.scenario.discovery.upset_every_s
    if plan.scenario.discovery.source != "etcd" or not interval_s[1]:
        return
    for balancer in range(plan.scenario.fleet.balancers):
        at_ns = _uniform_ns(rng, interval_s, SECOND)
        while at_ns < plan.scenario.seconds * SECOND:
            end_ns = at_ns + _uniform_ns(rng, STALL_S, SECOND)
            plan.etcd_faults.append(Happening(at_ns, rng.choice(ETCD_FAULTS), balancer, end_ns))
            at_ns = end_ns + _uniform_ns(rng, interval_s, SECOND)
    plan.etcd_faults.sort(key=lambda event: (event.at_ns, event.who))


ADD_FAULT = {
    "freeze": _add_freezes,
    "hang": _add_hangs,
    "late_body": _add_late_bodies,
    "neighbour": _add_neighbours,
    "deploy": _add_deploy,
    "crash": _add_crashes,
    "vanish": _add_vanishings,
    "kill": _add_kills,
    "flood": _add_floods,
    "restart": _add_restarts,
}


# ---- asks ----------------------------------------------------------------------------------------------


def _rate_at(scenario: Scenario, share: float) -> float:
    """Asks per second after this share of the run."""
    load = scenario.load
    if load.shape == "ramp":
        return load.rate * (1 + load.swing * (2 * share - 1))
    if load.shape == "rush":
        return load.rate * (1 + load.swing * math.cos(2 * math.pi * (share - 0.5)))
    return load.rate


def _draw_asks(plan: Plan, rng: random.Random, heavy: list[tuple[Fault, str, float, float]]) -> None:
    scenario = plan.scenario
    partners = [(p, p.share * rng.uniform(*p.usage)) for p in scenario.partners]
    end_ns, at_ns = scenario.seconds * SECOND, 0.0
    class_weights, partner_weights = [c.share for c in scenario.classes], [w for _, w in partners]
    peak = scenario.load.rate * (1 + scenario.load.swing)
    while True:
        at_ns += rng.expovariate(peak) * SECOND
        if at_ns >= end_ns:
            return
        if rng.random() * peak >= _rate_at(scenario, at_ns / end_ns):
            continue  # thinning: the remaining arrivals follow the current rate
        request_class = rng.choices(scenario.classes, class_weights)[0]
        partner = rng.choices(partners, partner_weights)[0][0]
        work_ns = _lognormal(rng, request_class.work_ms * MS, request_class.cv)
        for fault, name, share, factor in heavy:
            drawn = rng.random() < share
            if drawn and name == request_class.name and fault.at_s <= at_ns / SECOND < fault.at_s + fault.for_s:
                work_ns *= factor
        plan.asks.append(_draw_ask(plan, rng, int(at_ns), request_class, partner.name, work_ns))


def _add_partner_surge(plan: Plan, fault: Fault, rng: random.Random) -> None:
    """One partner's callers send a multiple of their asks for a while, retry at once and ignore Retry-After."""
    scenario = plan.scenario
    name = fault.partner_name or rng.choice(scenario.partners).name
    total_share = sum(partner.share for partner in scenario.partners)
    share = next(partner.share for partner in scenario.partners if partner.name == name) / total_share
    rate = scenario.load.rate * share * (rng.uniform(*fault.factor) - 1)
    end_ns, at_ns = min(scenario.seconds, fault.at_s + fault.for_s) * SECOND, fault.at_s * SECOND
    regular_asks, plan.asks = plan.asks, []
    while rate > 0 and (at_ns := at_ns + rng.expovariate(rate) * SECOND) < end_ns:
        request_class = rng.choices(scenario.classes, [c.share for c in scenario.classes])[0]
        ask = _draw_ask(
            plan, rng, int(at_ns), request_class, name, _lognormal(rng, request_class.work_ms * MS, request_class.cv)
        )
        plan.asks.append(replace(ask, wait_ns=0, honours=False))
    # Requests refer to an ask by its number, which is its index in the list.
    plan.asks = [
        replace(a, number=i, ids=tuple(request_id(plan.seed, i, k) for k in range(len(a.ids))))
        for i, a in enumerate(sorted([*regular_asks, *plan.asks], key=lambda a: a.at_ns))
    ]


def _draw_ask(
    plan: Plan, rng: random.Random, at_ns: int, request_class: RequestClass, partner: str, work_ns: float
) -> Ask:
    scenario, number = plan.scenario, len(plan.asks)
    rooms = len(scenario.fleet.rooms)
    room = 0 if rng.random() < scenario.load.room_skew else rng.randrange(rooms)
    tries = scenario.callers.retries + 1
    try_ns = int(rng.uniform(*scenario.callers.try_share) * request_class.deadline_ms * MS)
    leaves = rng.random() < scenario.callers.impatient
    return Ask(
        number,
        at_ns,
        request_class.name,
        partner,
        f"{rng.getrandbits(40):010x}",
        request_class.effect,
        int(work_ns),
        max(1, int(_lognormal(rng, work_ns, scenario.load.hint_noise) / 1000)),
        room,
        tuple(request_id(plan.seed, number, k) for k in range(tries)),
        tuple(rng.random() for _ in range(tries)),
        try_ns,
        0 if rng.random() < scenario.callers.at_once else _uniform_ns(rng, scenario.callers.backoff_ms, MS),
        rng.random() < scenario.callers.honour,
        int(rng.random() * try_ns) if leaves else 0,
    )


def request_id(seed: int, ask: int, number: int) -> str:
    """The request id of an ask's first try (0) or of a retry: sixteen hexadecimal digits, unique to the try."""
    return hashlib.blake2b(f"{seed}/{ask}/{number}".encode(), digest_size=8).hexdigest()


def idempotency_key(seed: int, ask: int) -> str:
    """The idempotency key of a keyed ask, the same for all its tries."""
    return hashlib.blake2b(f"{seed}/{ask}/key".encode(), digest_size=16).hexdigest()


def attempt_work_ns(plan: Plan, ask: Ask, box: int, attempt: int) -> int:
    """The work of one attempt in nanoseconds: the request's work with noise per attempt."""
    request_class = next(c for c in plan.scenario.classes if c.name == ask.class_name)
    rng = random.Random(f"{plan.seed}/{ask.number}/{box}/{attempt}")
    return max(1000, int(_lognormal(rng, ask.work_ns, request_class.attempt_noise)))


def settings(plan: Plan, balancer: int) -> dict[str, object]:
    """The settings of a balancer, in the platform's format."""
    scenario, fleet = plan.scenario, plan.scenario.fleet
    capacity = (
        fleet.boxes
        * fleet.cores
        / (sum(c.share * c.work_ms for c in scenario.classes) / sum(c.share for c in scenario.classes) / 1000)
    )
    total_share = sum(partner.share for partner in scenario.partners)
    return {
        "me": balancer,
        "replicas_of_me": fleet.balancers,
        "locality": room_of(fleet, balancer),
        "zones": list(fleet.rooms),
        "registry_mode": "push",
        "weight_source": "none",
        "over_share_worth": 0.05,
        "kinds": ["box-a", "box-b"],
        "clients": {"marks_retry": scenario.callers.marks},
        "load_report": {"columns": ["inflight", "queue"], "how": "probe"},
        "profiles": [
            {
                "name": c.name,
                "repeat": REPEAT_SETTINGS[c.effect],
                "dedup_scope": c.scope,
                "stream": False,
                "aim_ns": int(c.aim_ms * MS),
                "hard_limit_ns": int(c.deadline_ms * MS),
                "late_worth": 0.0,
                "window_ns": int(c.window_ms * MS),
                "worth": c.worth,
            }
            for c in scenario.classes
        ],
        "realms": [
            {
                "name": partner.name,
                "share": partner.share / total_share,
                "quota_per_s": 0.8 * capacity * partner.share / total_share,
            }
            for partner in scenario.partners
        ],
        "limits": {
            "conn_idle_ns": int(fleet.idle_s * SECOND),
            "connect_timeout_ns": 200 * MS,
            "max_open": 20_000,
            "max_retry_after_ns": 2 * SECOND,
            "max_streams": 1,
            "may_cancel": True,
            "peers": True,
            "probes": fleet.looks,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 5,
        },
        "prices": {
            "cross_zone": 0.005,
            "waste": 0.02,
            "probe": 0.002,
            "peer": 0.01,
            "late_fail": 0.08,
            "connection": 0.0,
            "handshake": 0.0,
            "registry_mode": 0.0,
        },
        "rules": {
            "stop_sending_within_ns": int(fleet.drain_grace_ms * MS),
            "ask_within_ns": 10 * SECOND,
            "cold_from": fleet.cold_worst_from,
            "cold_ns": int(fleet.cold_worst_s * SECOND),
            "fall_multiple": fleet.fall_multiple,
            "overload_for_ns": int(fleet.fall_ms * MS),
            "grace_to_answer_ns": 5 * MS,
        },
    }


def room_of(fleet: Fleet, balancer: int) -> str:
    return fleet.rooms[balancer % len(fleet.rooms)]
