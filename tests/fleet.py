"""A simulated fleet in one process: many policies, single-core upstreams, and peer messages that are delayed or lost.

It shares nothing with the policy: upstreams are FIFO queues, and all counters are kept here.
"""

from __future__ import annotations

import heapq
import itertools
import random
import struct
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from lanemux import interface as api
from lanemux.policy import Balancer
from tests.bench import MS, SECOND, START

AIM_NS = 150 * MS
WORK_NS = 55 * MS
QUOTE = api.RequestClass("quote", api.Effect.SAFE, aim_ns=AIM_NS, limit_ns=400 * MS)
LOOK_NS = 2 * MS  # latency of a probe
REFUSED_NS = MS // 5  # time after which the machine of a dead upstream refuses a connection


def settings(me: int, proxies: int, **changes: object) -> api.Settings:
    base: dict[str, object] = {
        "me": me,
        "replicas_of_me": proxies,
        "classes": {"quote": QUOTE},
        "tenants": {"ash": api.Tenant("ash")},
        "limits": api.Limits(max_attempts=5, may_cancel=True, peers=True, probes=True, retry_after=True),
        "rules": api.Rules(cold_from=0.31, cold_ns=8 * SECOND, fall_multiple=2.5, overload_for_ns=3 * SECOND // 2),
        "prices": api.Prices(peer=0.01, probe=0.12, handshake=0.12),
        "report_columns": ("inflight",),
    }
    return api.Settings(**{**base, **changes})  # type: ignore[arg-type]


@dataclass(slots=True)
class Box:
    """One upstream: processes its requests in order, at its speed."""

    speed: float = 1.0
    dead: bool = False
    silent: bool = False  # network partition: no response
    started_ns: int = 0
    free_ns: int = 0  # when it has processed all that it holds
    held: int = 0  # requests that it has not answered yet
    sent: list[tuple[int, float]] = field(default_factory=list)  # (when, seconds of work)

    def take(self, now: int, work_ns: float) -> int:
        self.sent.append((now, work_ns / SECOND))
        self.free_ns = max(self.free_ns, now) + int(work_ns / self.speed)
        return self.free_ns

    def done(self) -> None:
        self.held -= 1


@dataclass(frozen=True, slots=True)
class Clients:
    """Clients that retry, as the site's page describes them: aim and limit count from the first try of a request."""

    aim_ns: int = 264 * MS
    limit_ns: int = 661 * MS
    try_share: float = 0.45  # share of the limit that one try may take
    retries: int = 3
    backoff_ns: int = 60 * MS
    honour: float = 0.2  # share of clients that honour Retry-After


@dataclass(slots=True)
class Asking:
    """One client's request with all its tries."""

    began_ns: int
    honours: bool
    tries: int = 0
    trying: tuple[int, str] | None = None  # balancer and id of the open try


class Fleet:
    """Balancers in front of upstreams; `run` generates traffic at a constant mean rate and counts how requests end."""

    def __init__(
        self,
        proxies: int,
        boxes: int,
        seed: int,
        tell: bool = True,
        lose: float = 0.02,
        known: Callable[[int], Box] = lambda number: Box(),
        clients: Clients | None = None,
        work_ns: int = WORK_NS,
        told: Mapping[str, object] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.tell, self.lose = tell, lose
        self.boxes = {n: known(n) for n in range(1, boxes + 1)}
        self.clients, self.work_ns = clients, work_ns
        changes = dict(told or {})  # of the settings
        if clients is not None:
            changes["classes"] = {"quote": replace(QUOTE, aim_ns=clients.aim_ns, limit_ns=clients.limit_ns)}
        self.balancers = [Balancer(settings(i, proxies, **changes), seed * 1000 + i, START) for i in range(proxies)]
        self._asking: dict[tuple[int, str], Asking] = {}
        self.ended: Counter[str] = Counter()
        self.asked_of, self.served_by, self.refused_by = Counter[int](), Counter[int](), Counter[int]()
        self.by_box: Counter[tuple[int, api.Result]] = Counter()  # attempts
        self.fates: dict[tuple[int, str], tuple[int, bool]] = {}  # request -> (arrival time, whether it was served)
        self.away: set[int] = set()  # balancers that get no new requests
        self._stalled: dict[int, int] = {}  # balancer -> end of its stall
        self.told = 0
        self._replaying, self._misplaced = set[int](), set[int]()
        self.now = START
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._out: dict[tuple[int, str], int] = {}  # number of the attempt in flight
        self._names: Counter[int] = Counter()
        entries = [api.Upstream(n, started_ns=b.started_ns) for n, b in self.boxes.items()]
        for i in range(proxies):
            self.hand(i, api.ListUpdate(api.ListKind.FULL, entries))

    def at(self, when: int, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._agenda, (when, self._count, what))

    def run(self, seconds: float, rate: float) -> None:
        """Run for that time with requests at a mean total rate, each to a random balancer."""
        end = self.now + int(seconds * SECOND)

        def arrive() -> None:
            if self.now < end:
                self._arrive(self.rng.choice([i for i in range(len(self.balancers)) if i not in self.away]))
                self.at(self.now + int(self.rng.expovariate(rate) * SECOND), arrive)

        self.at(self.now, arrive)
        while self._agenda and self._agenda[0][0] <= end:
            self.now, _, what = heapq.heappop(self._agenda)
            what()

    def join(self, box: Box) -> int:
        """Add an upstream, which all balancers learn of at once; returns its number."""
        number = max(self.boxes) + 1
        self.boxes[number] = box
        entry = api.Upstream(number, started_ns=box.started_ns)
        for i in range(len(self.balancers)):
            self.hand(i, api.ListUpdate(api.ListKind.DELTA, [entry]))
        return number

    def lie(self, liar: int, held: int, every_ns: int, end: int) -> None:
        """From now on one balancer reports so many requests at its home to each peer that shares an upstream."""
        fleet, numbers = self.balancers[liar].fleet, itertools.count(1)

        def say() -> None:
            for server in fleet.default_pool.candidates[: fleet.default_pool.subset_size]:
                report = struct.pack(">IBBB", server.id, next(numbers) % 256, held, 0)
                for peer in fleet.refresh_placement(server).peers:
                    self._send_to_peer(liar, api.SendToPeer(report, peer))
            if self.now < end:
                self.at(self.now + every_ns, say)

        say()

    def replay(self, i: int) -> None:
        """From now on each message of one balancer is delivered several times, up to a second late."""
        self._replaying.add(i)

    def misplace(self, i: int) -> None:
        """One balancer has its `peers` in another order: its messages reach the wrong peer."""
        self._misplaced.add(i)

    def restart(self, i: int, seed: int) -> None:
        """Replace a balancer by a new process; outcomes of the old one's attempts are lost."""
        self.balancers[i] = Balancer(self.balancers[i].settings, seed, self.now)
        entries = [api.Upstream(n, started_ns=b.started_ns) for n, b in self.boxes.items()]
        self.hand(i, api.ListUpdate(api.ListKind.FULL, entries))

    def stall(self, i: int, for_ns: int) -> None:
        """Stall a process: events that arrive meanwhile, timers included, are delivered afterwards."""
        self._stalled[i] = self.now + for_ns

    def hand(self, i: int, event: api.Event) -> None:
        if self.now < self._stalled.get(i, 0):
            self.at(self._stalled[i], lambda: self.hand(i, event))
            return
        for action in self.balancers[i].handle(self.now, [event]):
            if isinstance(action, api.SetTimer):
                name = action.name
                self.at(self.now + action.delay_ns, lambda name=name: self.hand(i, api.TimerFired(name)))  # type: ignore[misc]
            elif isinstance(action, api.Send):
                self._send(i, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.ended["refused"] += 1
                self.refused_by[i] += 1
                self._turned_away(i, action.request, getattr(action, "retry_after_ns", 0))
            elif isinstance(action, api.SendToPeer):
                self._send_to_peer(i, action)
            elif isinstance(action, api.Probe):
                self.at(self.now + LOOK_NS, lambda upstream=action.upstream: self._look(i, upstream))  # type: ignore[misc]

    def _look(self, i: int, upstream: int) -> None:
        box = self.boxes[upstream]
        if not (box.dead or box.silent):
            self.hand(i, api.ProbeResult(upstream, api.Result.OK, LOOK_NS, {"inflight": float(box.held)}))

    def _arrive(self, i: int) -> None:
        self.ended["asked"] += 1
        self.asked_of[i] += 1
        if self.clients is None:
            self._names[i] += 1
            name = f"q{self._names[i]}"
            self.fates[i, name] = self.now, False
            self.hand(i, api.Arrival(name, "quote", self.tenant(), self.now + 400 * MS))
        else:
            self._try(Asking(self.now, self.rng.random() < self.clients.honour), self.clients)

    def tenant(self) -> str:
        """A random tenant, weighted by share."""
        tenants = list(self.balancers[0].settings.tenants.values())
        return tenants[0].name if len(tenants) == 1 else self.rng.choices(tenants, [t.share for t in tenants])[0].name

    def _try(self, asking: Asking, clients: Clients) -> None:
        """Start the next try of a request, at a random balancer."""
        i = self.rng.choice([i for i in range(len(self.balancers)) if i not in self.away])
        self._names[i] += 1
        asking.tries += 1
        self.ended["tries"] += 1
        asking.trying = trying = (i, f"q{self._names[i]}")
        self._asking[trying] = asking
        deadline = min(self.now + int(clients.try_share * clients.limit_ns), asking.began_ns + clients.limit_ns)

        def give_up() -> None:
            if asking.trying == trying:
                self.hand(i, api.ClientGone(trying[1]))
                self._turned_away(i, trying[1], 0)

        self.at(deadline, give_up)
        self.fates[trying] = self.now, False
        self.hand(i, api.Arrival(trying[1], "quote", self.tenant(), deadline, retry=asking.tries > 1))

    def _turned_away(self, i: int, name: str, told_ns: int) -> None:
        asking, clients = self._asking.pop((i, name), None), self.clients
        if asking is None or clients is None:
            return
        asking.trying = None
        wait = told_ns if told_ns and asking.honours else clients.backoff_ns
        if asking.tries <= clients.retries and self.now + wait < asking.began_ns + clients.limit_ns:
            self.at(self.now + wait, lambda: self._try(asking, clients))

    def _answered(self, i: int, name: str) -> bool:
        """Whether this answer is in time for the client."""
        asking, clients = self._asking.pop((i, name), None), self.clients
        if clients is None:
            return True
        if asking is None:
            return False
        asking.trying = None
        in_time = self.now <= asking.began_ns + clients.aim_ns
        self.ended["late"] += not in_time
        return in_time

    def _send_to_peer(self, i: int, action: api.SendToPeer) -> None:
        self.told += 1
        peer = (action.peer * 7 + 3) % len(self.balancers) if i in self._misplaced else action.peer
        event = api.PeerMessage(i, action.data)
        for late in (0, 200, 500, 1000) if i in self._replaying else (0,):
            if self.tell and self.rng.random() >= self.lose:
                self.at(self.now + late * MS + self.rng.randrange(MS, 33 * MS), lambda: self.hand(peer, event))

    def _send(self, i: int, action: api.Send) -> None:
        box, key, balancer = self.boxes[action.upstream], (i, action.request), self.balancers[i]
        number = self._out[key] = self._out.get(key, -1) + 1
        sent = self.now
        if box.dead:
            done, result = sent + REFUSED_NS, api.Result.CONNECT_FAILED
        elif box.silent:
            done, result = sent + (action.timeout_ns or SECOND), api.Result.TIMEOUT
        else:
            done, result = box.take(sent, self.work_ns * self.rng.lognormvariate(-0.12, 0.5)), api.Result.OK
            box.held += 1
            self.at(done, box.done)
            if action.timeout_ns and done > sent + action.timeout_ns:
                done, result = sent + action.timeout_ns, api.Result.TIMEOUT

        def end() -> None:
            if self.balancers[i] is not balancer:
                return
            self.by_box[action.upstream, result] += 1
            served = result is api.Result.OK and self._answered(i, action.request)
            self.ended["served"] += served
            if key in self.fates:
                self.fates[key] = self.fates[key][0], served
            self.served_by[i] += served
            self.hand(
                i,
                api.Outcome(action.request, number, action.upstream, result, self.now - sent, result is api.Result.OK),
            )

        self.at(done, end)
