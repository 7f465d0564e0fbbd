"""A whole fleet in one process: many modules, upstreams of one core each, and messages that come late or never.

It shares nothing with the module: upstreams are queues worked off in order, and what is counted is counted here.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lanemux import interface as api
from lanemux.policy import Balancer
from tests.bench import MS, SECOND, START

AIM_NS = 150 * MS
WORK_NS = 55 * MS
QUOTE = api.RequestClass("quote", api.Effect.SAFE, aim_ns=AIM_NS, limit_ns=400 * MS)
REFUSED_NS = MS // 5  # how soon a dead upstream's machine refuses a connection


def settings(me: int, proxies: int, **changes: object) -> api.Settings:
    base: dict[str, object] = {
        "me": me, "replicas_of_me": proxies, "classes": {"quote": QUOTE}, "tenants": {"ash": api.Tenant("ash")},
        "limits": api.Limits(max_attempts=5, may_cancel=True, peers=True, probes=True, retry_after=True),
        "rules": api.Rules(cold_from=0.31, cold_ns=8 * SECOND, fall_multiple=2.5, overload_for_ns=3 * SECOND // 2),
        "prices": api.Prices(peer=0.01, probe=0.12, handshake=0.12), "report_columns": ("inflight",),
    }
    return api.Settings(**{**base, **changes})  # type: ignore[arg-type]


@dataclass(slots=True)
class Box:
    """One upstream: works off what it holds in order, at its speed."""

    speed: float = 1.0
    dead: bool = False
    started_ns: int = 0
    free_ns: int = 0  # when it has worked off all that it holds
    sent: list[tuple[int, float]] = field(default_factory=list)  # (when, seconds of work)

    def take(self, now: int, work_ns: float) -> int:
        self.sent.append((now, work_ns / SECOND))
        self.free_ns = max(self.free_ns, now) + int(work_ns / self.speed)
        return self.free_ns


class Fleet:
    """So many balancers over so many upstreams; `run` plays even traffic and counts how requests end."""

    def __init__(self, proxies: int, boxes: int, seed: int, tell: bool = True, lose: float = 0.02,
                 known: Callable[[int], Box] = lambda number: Box()) -> None:
        self.rng = random.Random(seed)
        self.tell, self.lose = tell, lose
        self.boxes = {n: known(n) for n in range(1, boxes + 1)}
        self.balancers = [Balancer(settings(i, proxies), seed * 1000 + i, START) for i in range(proxies)]
        self.ended: Counter[str] = Counter()
        self.by_box: Counter[tuple[int, api.Result]] = Counter()  # attempts
        self.told = 0
        self.now = START
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._out: dict[tuple[int, str], int] = {}  # the attempt that is out, by its number
        self._names: Counter[int] = Counter()
        entries = [api.Upstream(n, started_ns=b.started_ns) for n, b in self.boxes.items()]
        for i in range(proxies):
            self.hand(i, api.ListUpdate(api.ListKind.FULL, entries))

    def at(self, when: int, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._agenda, (when, self._count, what))

    def run(self, seconds: float, rate: float) -> None:
        """Requests at an even mean rate over all balancers; then time for the last ones to end."""
        end = self.now + int(seconds * SECOND)

        def arrive() -> None:
            if self.now < end:
                self._arrive(self.rng.randrange(len(self.balancers)))
                self.at(self.now + int(self.rng.expovariate(rate) * SECOND), arrive)

        self.at(self.now, arrive)
        while self._agenda and self._agenda[0][0] <= end:
            self.now, _, what = heapq.heappop(self._agenda)
            what()

    def hand(self, i: int, event: api.Event) -> None:
        for action in self.balancers[i].handle(self.now, [event]):
            if isinstance(action, api.SetTimer):
                name = action.name
                self.at(self.now + action.delay_ns, lambda name=name: self.hand(i, api.Wake(name)))  # type: ignore[misc]
            elif isinstance(action, api.Send):
                self._send(i, action)
            elif isinstance(action, api.Refuse):
                self.ended["refused"] += 1
            elif isinstance(action, api.Tell):
                self._tell(i, action)

    def _arrive(self, i: int) -> None:
        self._names[i] += 1
        self.ended["asked"] += 1
        self.hand(i, api.Arrival(f"q{self._names[i]}", "quote", "ash", self.now + 400 * MS))

    def _tell(self, i: int, action: api.Tell) -> None:
        self.told += 1
        if self.tell and self.rng.random() >= self.lose:
            event = api.PeerMessage(i, action.data)
            self.at(self.now + self.rng.randrange(MS, 33 * MS), lambda: self.hand(action.peer, event))

    def _send(self, i: int, action: api.Send) -> None:
        box, key = self.boxes[action.upstream], (i, action.request)
        number = self._out[key] = self._out.get(key, -1) + 1
        sent = self.now
        if box.dead:
            done, result = sent + REFUSED_NS, api.Result.CONNECT_FAILED
        else:
            done, result = box.take(sent, WORK_NS * self.rng.lognormvariate(-0.12, 0.5)), api.Result.OK
            if action.timeout_ns and done > sent + action.timeout_ns:
                done, result = sent + action.timeout_ns, api.Result.TIMEOUT

        def end() -> None:
            self.by_box[action.upstream, result] += 1
            self.ended["served"] += result is api.Result.OK
            self.hand(i, api.Outcome(action.request, number, action.upstream, result, self.now - sent,
                                     result is api.Result.OK))
        self.at(done, end)
