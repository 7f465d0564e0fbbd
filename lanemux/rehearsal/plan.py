"""What happens in a rehearsal, drawn whole from a scenario and a seed before it starts. No I/O, no clock.

Everything that the balancers cannot influence is here: the asks, how their callers behave, the boxes, their
faults, and when discovery tells of them. Times are nanoseconds from the start of the run.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field, replace

from lanemux.rehearsal.scenario import Fault, Fleet, Range, RequestClass, Scenario

SECOND = 1_000_000_000
MS = 1_000_000
BEFORE_DEATH = 0.6  # of its drain, when a box that dies in it does so
REPEATS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}  # the platform's words
UPSETS = ("drop", "reset", "stall", "compact")
STALL_S = (0.2, 3.0)  # how long a member says nothing: shorter and longer than a balancer takes to find out
LONGEST_COUNTED_S, KILL_AFTER_S = 3.0, 0.7  # of the deadlines, and beyond it: when SIGKILL may follow SIGTERM
SAME_ADDRESS = 0.5  # share of successors that come up where the one before them was


@dataclass(frozen=True, slots=True)
class Ask:
    """One thing that a caller wants; its retries belong to it."""

    number: int
    at_ns: int
    class_name: str
    partner: str
    user: str
    effect: str
    work_ns: int
    hint_us: int
    room: int
    ids: tuple[str, ...]  # of its first try and of each retry
    fronts: tuple[float, ...]  # which balancer the front gives each try, as a share of those it knows
    try_ns: int  # a try is given up after this
    wait_ns: int  # before a retry
    honours: bool  # comes back no sooner than Retry-After says
    leaves_ns: int  # the caller goes away so long after its first try; 0: it stays


@dataclass(frozen=True, slots=True)
class Box:
    """One life of a quote box's process on its machine, or the first of several under the same host."""

    host: str
    room: str
    cell: int
    kind: str
    slot: int  # its address; a successor may have that of the one before it
    speed: float
    queue: int
    thrash: float
    thrash_at: float
    cold_from: float
    cold_ns: int
    warm_work_ns: int  # or after so much work
    errors: float
    report_ns: int
    probe_ns: int
    handshake_ns: int
    seed: int


@dataclass(frozen=True, slots=True)
class Happening:
    """Something that is done to a box or a balancer at a time."""

    at_ns: int
    what: str  # start, drain, leave, die, vanish, return, freeze, neighbour, kill, revive, flood, restart
    who: int  # number of the box or balancer
    until_ns: int = 0  # freeze, neighbour, flood; restart: SIGKILL comes then
    size: float = 0.0  # neighbour: share taken; flood: connections
    sources: int = 0  # flood: addresses they come from


@dataclass(frozen=True, slots=True)
class Notice:
    """Discovery learns of a box; each agent tells it a little later."""

    at_ns: int
    box: int
    health: str
    born_ns: int  # of the process it speaks of; 0: long ago


@dataclass(slots=True)
class Plan:
    """All of it, in order of time."""

    scenario: Scenario
    seed: int
    boxes: list[Box] = field(default_factory=list)
    initial_boxes: list[int] = field(default_factory=list)  # boxes that are there and warm at the start
    asks: list[Ask] = field(default_factory=list)
    happenings: list[Happening] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    began_ns: dict[int, int] = field(default_factory=dict)  # successors of a release: when they start
    left_ns: dict[int, int] = field(default_factory=dict)  # and those before them: when they leave
    upsets: list[Happening] = field(default_factory=list)  # of each balancer's etcd member: drop, reset, stall, compact
    spread_ns: list[int] = field(default_factory=list)  # how much later each balancer's agent tells
    fronts_notice_ns: int = 0
    cancels_queued: bool = False

    def digest(self) -> str:
        """A hash over every arrival, fault and notice: the same seed gives the same."""
        h = hashlib.blake2b(digest_size=12)
        for part in (
            self.boxes,
            self.initial_boxes,
            self.asks,
            self.happenings,
            self.notices,
            self.upsets,
            self.spread_ns,
            [self.fronts_notice_ns, self.cancels_queued],
        ):
            h.update(repr(part).encode())
        return h.hexdigest()


def draw_plan(scenario: Scenario, seed: int) -> Plan:
    """The plan of a scenario under a seed."""
    plan = Plan(scenario, seed)
    rng = _stream(seed, "world")
    fleet = scenario.fleet
    for i in range(fleet.boxes):
        plan.initial_boxes.append(_new_box(plan, rng, i, i))
    plan.spread_ns = [_ns(rng, scenario.discovery.spread_ms, MS) for _ in range(fleet.balancers)]
    plan.fronts_notice_ns = _ns(rng, scenario.callers.front_notice_s, SECOND)
    plan.cancels_queued = rng.random() < fleet.cancels_queued
    heavy: list[tuple[Fault, str, float, float]] = []
    pressing: list[tuple[Fault, random.Random]] = []
    current = {i: i for i in range(fleet.boxes)}  # address -> box that is there now
    for number, fault in enumerate(scenario.faults):
        own = _stream(seed, f"fault {number}")
        if fault.kind == "heavy":
            name = fault.class_name or own.choice(scenario.classes).name
            heavy.append((fault, name, own.uniform(*fault.share), own.uniform(*fault.factor)))
        elif fault.kind == "partner":
            pressing.append((fault, own))
        else:
            DRAW[fault.kind](plan, fault, own, current)
    _keep_within_lives(plan)
    plan.happenings.sort(key=lambda h: (h.at_ns, h.who, h.what))
    plan.notices.sort(key=lambda n: (n.at_ns, n.box))
    _draw_upsets(plan, _stream(seed, "upsets"))
    _draw_asks(plan, _stream(seed, "asks"), heavy)
    for fault, own in pressing:
        _press(plan, fault, own)
    return plan


def _stream(seed: int, name: str) -> random.Random:
    """Draws of their own for each part: a change of one leaves the others as they were."""
    return random.Random(int.from_bytes(hashlib.blake2b(f"{seed}/{name}".encode(), digest_size=8).digest(), "big"))


def _ns(rng: random.Random, span: Range, unit: int) -> int:
    return int(rng.uniform(*span) * unit)


def _lognormal(rng: random.Random, mean: float, cv: float) -> float:
    """A lognormal draw with this mean and this standard deviation over the mean."""
    variance = math.log(1 + cv * cv)
    return mean * math.exp(rng.gauss(-variance / 2, math.sqrt(variance)))


# ---- boxes and what befalls them -----------------------------------------------------------------------


def _new_box(plan: Plan, rng: random.Random, slot: int, place: int) -> int:
    fleet = plan.scenario.fleet
    number = len(plan.boxes)
    name = hashlib.blake2b(f"{plan.seed}/box {number}".encode(), digest_size=4).hexdigest()
    cold_ns = _ns(rng, fleet.cold_s, SECOND)
    speed = max(0.3, rng.gauss(1.0, rng.uniform(*fleet.speed_cv)))
    plan.boxes.append(
        Box(
            f"q-{name}",
            fleet.rooms[place % len(fleet.rooms)],
            place // fleet.cell_size,
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
            _ns(rng, fleet.report_ms, MS),
            _ns(rng, fleet.probe_us, 1000),
            _ns(rng, fleet.handshake_us, 1000),
            rng.getrandbits(32),
        )
    )
    return number


def _some(rng: random.Random, current: dict[int, int], part: Range) -> list[int]:
    """The addresses of a drawn part of the boxes, one at the least."""
    count = max(1, round(rng.uniform(*part) * len(current)))
    return rng.sample(sorted(current), min(count, len(current)))


def _freeze(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    for slot in _some(rng, current, fault.part):
        every = _ns(rng, fault.every_s, SECOND)
        at = int(fault.at_s * SECOND) + int(rng.random() * every)
        while at < (fault.at_s + fault.for_s) * SECOND:
            end = at + _ns(rng, fault.pause_ms, MS)
            plan.happenings.append(Happening(at, "freeze", current[slot], end))
            at = max(end, at + int(every * rng.uniform(0.8, 1.2)))


def _neighbour(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    for slot in _some(rng, current, fault.part):
        at, take = int((fault.at_s + rng.random()) * SECOND), rng.uniform(*fault.take)
        while at < (fault.at_s + fault.for_s) * SECOND:
            end = at + _ns(rng, fault.every_s, SECOND)
            plan.happenings.append(Happening(at, "neighbour", current[slot], end, take))
            at = end + _ns(rng, fault.every_s, SECOND)


def _deploy(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Batches drain, leave, and are followed by cold successors under new names."""
    discovery = plan.scenario.discovery
    slots = _some(rng, current, fault.part)
    size = max(1, round(rng.uniform(*fault.batch) * len(current)))
    batches = [slots[i : i + size] for i in range(0, len(slots), size)]
    for i, batch in enumerate(batches):
        at = int((fault.at_s + fault.for_s * i / len(batches)) * SECOND)
        for slot in batch:
            old = current[slot]
            drain = at + int(rng.random() * 0.1 * SECOND)
            leave = drain + _ns(rng, fault.drain_s, SECOND)
            dies = rng.random() < fault.die_in_drain
            end = drain + int((leave - drain) * BEFORE_DEATH) if dies else leave
            told = drain + _ns(rng, discovery.notice_s, SECOND)
            plan.happenings += [Happening(drain, "drain", old), Happening(end, "die" if dies else "leave", old)]
            plan.notices += [
                Notice(told, old, "draining", 0),
                Notice(max(told, end) + _ns(rng, discovery.notice_s, SECOND), old, "removed", 0),
            ]
            slot_of_new = slot if rng.random() < SAME_ADDRESS else _free_slot(plan)
            new = _new_box(plan, rng, slot_of_new, slot)
            start = leave + 50 * MS
            plan.happenings.append(Happening(start, "start", new))
            plan.left_ns[old], plan.began_ns[new] = end, start
            plan.notices.append(Notice(start + _ns(rng, discovery.add_s, SECOND), new, "up", start))
            current[slot] = new


def _keep_within_lives(plan: Plan) -> None:
    """A box that a release has replaced does not come back, and its successor not before its time: their address is
    another's then."""

    def outside(box: int, at_ns: int) -> bool:
        return at_ns < plan.began_ns.get(box, 0) or at_ns >= plan.left_ns.get(box, at_ns + 1)

    plan.happenings = [h for h in plan.happenings if h.what != "start" or not outside(h.who, h.at_ns)]
    plan.notices = [n for n in plan.notices if n.health != "up" or not outside(n.box, n.born_ns or n.at_ns)]


def _free_slot(plan: Plan) -> int:
    return max(box.slot for box in plan.boxes) + 1


def _crash(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Processes die at once, and come back cold under their names."""
    discovery = plan.scenario.discovery
    at = int(fault.at_s * SECOND)
    for slot in _some(rng, current, fault.part):
        box, back = current[slot], at + _ns(rng, fault.down_s, SECOND)
        gone = at + _ns(rng, discovery.notice_s, SECOND)
        plan.happenings += [Happening(at, "die", box), Happening(back, "start", box)]
        if gone < back:
            plan.notices.append(Notice(gone, box, "removed", 0))
        plan.notices.append(Notice(max(gone, back + _ns(rng, discovery.add_s, SECOND)) + 1, box, "up", back))


def _vanish(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Machines are cut off in silence, and are back as they were."""
    discovery = plan.scenario.discovery
    at, back = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
    for slot in _some(rng, current, fault.part):
        box, told = current[slot], at + _ns(rng, discovery.silent_notice_s, SECOND)
        plan.happenings += [Happening(at, "vanish", box), Happening(back, "return", box)]
        if told < back:
            plan.notices += [
                Notice(told, box, "removed", 0),
                Notice(back + _ns(rng, discovery.add_s, SECOND), box, "up", 0),
            ]


def _kill(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Balancers are killed outright and started again."""
    count = plan.scenario.fleet.balancers
    at = int(fault.at_s * SECOND)
    for who in rng.sample(range(count), min(count, max(1, round(rng.uniform(*fault.part) * count)))):
        plan.happenings += [Happening(at, "kill", who), Happening(at + _ns(rng, fault.down_s, SECOND), "revive", who)]


def _restart(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Balancers are told to end, killed at the earliest moment that the platform allows, and started again."""
    count = plan.scenario.fleet.balancers
    at = int(fault.at_s * SECOND)
    for who in rng.sample(range(count), min(count, max(1, round(rng.uniform(*fault.part) * count)))):
        kill = at + earliest_kill_ns(plan.scenario)
        plan.happenings += [
            Happening(at, "restart", who, kill, float(fault.signals)),
            Happening(kill + _ns(rng, fault.down_s, SECOND), "revive", who),
        ]
        at = kill + int(fault.for_s * SECOND)


def earliest_kill_ns(scenario: Scenario) -> int:
    """How long after SIGTERM the platform may send SIGKILL (protocol page)."""
    longest_s = min(LONGEST_COUNTED_S, max(c.deadline_ms for c in scenario.classes) / 1000)
    return int((longest_s + KILL_AFTER_S) * SECOND)


def _flood(plan: Plan, fault: Fault, rng: random.Random, current: dict[int, int]) -> None:
    """Connections come up at every balancer at once, and say nothing."""
    at, end = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
    plan.happenings += [
        Happening(at, "flood", who, end, float(fault.connections), fault.sources)
        for who in range(plan.scenario.fleet.balancers)
    ]


def _draw_upsets(plan: Plan, rng: random.Random) -> None:
    """What befalls the etcd members, each balancer's for itself."""
    every = plan.scenario.discovery.upset_every_s
    if plan.scenario.discovery.source != "etcd" or not every[1]:
        return
    for balancer in range(plan.scenario.fleet.balancers):
        at = _ns(rng, every, SECOND)
        while at < plan.scenario.seconds * SECOND:
            end = at + _ns(rng, STALL_S, SECOND)
            plan.upsets.append(Happening(at, rng.choice(UPSETS), balancer, end))
            at = end + _ns(rng, every, SECOND)
    plan.upsets.sort(key=lambda h: (h.at_ns, h.who))


DRAW = {
    "freeze": _freeze,
    "neighbour": _neighbour,
    "deploy": _deploy,
    "crash": _crash,
    "vanish": _vanish,
    "kill": _kill,
    "flood": _flood,
    "restart": _restart,
}


# ---- asks ----------------------------------------------------------------------------------------------


def _rate_at(scenario: Scenario, share: float) -> float:
    """Asks a second when this share of the run has gone by."""
    load = scenario.load
    if load.shape == "ramp":
        return load.rate * (1 + load.swing * (2 * share - 1))
    if load.shape == "rush":
        return load.rate * (1 + load.swing * math.cos(2 * math.pi * (share - 0.5)))
    return load.rate


def _draw_asks(plan: Plan, rng: random.Random, heavy: list[tuple[Fault, str, float, float]]) -> None:
    s = plan.scenario
    partners = [(p, p.share * rng.uniform(*p.usage)) for p in s.partners]
    end, at = s.seconds * SECOND, 0.0
    class_weights, partner_weights = [c.share for c in s.classes], [w for _, w in partners]
    peak = s.load.rate * (1 + s.load.swing)
    while True:
        at += rng.expovariate(peak) * SECOND
        if at >= end:
            return
        if rng.random() * peak >= _rate_at(s, at / end):
            continue  # thinned: what is left follows the rate of the moment
        cls = rng.choices(s.classes, class_weights)[0]
        partner = rng.choices(partners, partner_weights)[0][0]
        work = _lognormal(rng, cls.work_ms * MS, cls.cv)
        for fault, name, share, factor in heavy:
            drawn = rng.random() < share
            if drawn and name == cls.name and fault.at_s <= at / SECOND < fault.at_s + fault.for_s:
                work *= factor
        plan.asks.append(_ask(plan, rng, int(at), cls, partner.name, work))


def _press(plan: Plan, fault: Fault, rng: random.Random) -> None:
    """One partner's callers ask many times as much for a while, retry at once, and heed no Retry-After."""
    s = plan.scenario
    name = fault.partner_name or rng.choice(s.partners).name
    whole = sum(p.share for p in s.partners)
    share = next(p.share for p in s.partners if p.name == name) / whole
    rate = s.load.rate * share * (rng.uniform(*fault.factor) - 1)
    end, at = min(s.seconds, fault.at_s + fault.for_s) * SECOND, fault.at_s * SECOND
    usual, plan.asks = plan.asks, []
    while rate > 0 and (at := at + rng.expovariate(rate) * SECOND) < end:
        cls = rng.choices(s.classes, [c.share for c in s.classes])[0]
        ask = _ask(plan, rng, int(at), cls, name, _lognormal(rng, cls.work_ms * MS, cls.cv))
        plan.asks.append(replace(ask, wait_ns=0, honours=False))
    # Requests name their asks by number, which is their place in the list.
    plan.asks = [
        replace(a, number=i, ids=tuple(request_id(plan.seed, i, k) for k in range(len(a.ids))))
        for i, a in enumerate(sorted([*usual, *plan.asks], key=lambda a: a.at_ns))
    ]


def _ask(plan: Plan, rng: random.Random, at: int, cls: RequestClass, partner: str, work: float) -> Ask:
    s, number = plan.scenario, len(plan.asks)
    rooms = len(s.fleet.rooms)
    room = 0 if rng.random() < s.load.room_skew else rng.randrange(rooms)
    tries = s.callers.retries + 1
    try_ns = int(rng.uniform(*s.callers.try_share) * cls.deadline_ms * MS)
    leaves = rng.random() < s.callers.impatient
    return Ask(
        number,
        at,
        cls.name,
        partner,
        f"{rng.getrandbits(40):010x}",
        cls.effect,
        int(work),
        max(1, int(_lognormal(rng, work, s.load.hint_noise) / 1000)),
        room,
        tuple(request_id(plan.seed, number, k) for k in range(tries)),
        tuple(rng.random() for _ in range(tries)),
        try_ns,
        0 if rng.random() < s.callers.at_once else _ns(rng, s.callers.backoff_ms, MS),
        rng.random() < s.callers.honour,
        int(rng.random() * try_ns) if leaves else 0,
    )


def request_id(seed: int, ask: int, number: int) -> str:
    """The id of an ask's first try (0) or of a retry: sixteen hexadecimal digits, new with every try."""
    return hashlib.blake2b(f"{seed}/{ask}/{number}".encode(), digest_size=8).hexdigest()


def idempotency_key(seed: int, ask: int) -> str:
    """The key of a keyed ask, the same for all its tries."""
    return hashlib.blake2b(f"{seed}/{ask}/key".encode(), digest_size=16).hexdigest()


def attempt_work_ns(plan: Plan, ask: Ask, box: int, nth: int) -> int:
    """The work of one attempt in nanoseconds: its request's, with noise of its own."""
    cls = next(c for c in plan.scenario.classes if c.name == ask.class_name)
    rng = random.Random(f"{plan.seed}/{ask.number}/{box}/{nth}")
    return max(1000, int(_lognormal(rng, ask.work_ns, cls.attempt_noise)))


def settings(plan: Plan, me: int) -> dict[str, object]:
    """What balancer `me` is told, in the form of the platform's settings."""
    s, fleet = plan.scenario, plan.scenario.fleet
    capacity = (
        fleet.boxes
        * fleet.cores
        / (sum(c.share * c.work_ms for c in s.classes) / sum(c.share for c in s.classes) / 1000)
    )
    whole = sum(p.share for p in s.partners)
    return {
        "me": me,
        "replicas_of_me": fleet.balancers,
        "locality": room_of(fleet, me),
        "zones": list(fleet.rooms),
        "registry_mode": "push",
        "weight_source": "none",
        "over_share_worth": 0.05,
        "kinds": ["box-a", "box-b"],
        "clients": {"marks_retry": s.callers.marks},
        "load_report": {"columns": ["inflight", "queue"], "how": "probe"},
        "profiles": [
            {
                "name": c.name,
                "repeat": REPEATS[c.effect],
                "dedup_scope": c.scope,
                "stream": False,
                "aim_ns": int(c.aim_ms * MS),
                "hard_limit_ns": int(c.deadline_ms * MS),
                "late_worth": 0.0,
                "window_ns": int(c.window_ms * MS),
                "worth": c.worth,
            }
            for c in s.classes
        ],
        "realms": [
            {"name": p.name, "share": p.share / whole, "quota_per_s": 0.8 * capacity * p.share / whole}
            for p in s.partners
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
