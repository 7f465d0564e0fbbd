"""The storm's module round the decisions: it watches what passes, and gives figures. No I/O.

It stands between the node and the module that decides, and handles events as that one does. It admits, refuses and
repeats nothing itself: it marks retries that their clients did not mark, adds starts that the list has not told of,
hands `Guidance` over, and puts into refusals when to come back. Of peers' messages it takes its own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from lanemux import interface as api
from lanemux.storm.echoes import Echoes
from lanemux.storm.restarts import Restarts
from lanemux.storm.returns import Returns
from lanemux.storm.sense import Gauge, Phase
from lanemux.storm.shares import Shares

SECOND = 1_000_000_000
LOOK_NS = SECOND // 10  # how often the phases are told anew; a storm of clients that retry at once doubles in that time
CAPACITY_FADE = 0.98  # of the most that was served a second, a look: half of it is forgotten in 3.4 s
STRENGTH_FADE = 0.995  # of the most that the list was worth, a look: half of it in 14 s
SHRUNK = 0.95  # the list is worth less than this part of what it was
NO_LIMIT: Mapping[str, float] = {}


@dataclass(frozen=True, slots=True)
class Plan:
    """What the operators set (docs/operating/storm.md)."""

    retries: float = 0.2  # clients' retries for each fresh request admitted, for a tenant in a storm
    retries_ebb: float = 0.5  # and while it ebbs
    again: float = 0.2  # attempts after the first for each first one, in a storm
    again_ebb: float = 0.5
    longest_wait_ns: int = 0  # that a client is told; 0: as the platform's settings allow
    whole_seconds: bool = False  # clients read only whole seconds
    messages: bool = True  # to peers, where the platform's settings allow it


class Inner(Protocol):
    """What decides."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]: ...


class Open(NamedTuple):
    """A request that has no end yet."""

    tenant: str
    class_name: str
    key: str
    hint: int


class Storm:
    """One balancer's storm module. Its tables hold what is open, listed or a tenant, and no more."""

    def __init__(self, inner: Inner, settings: api.Settings, plan: Plan, seed: int, now: int) -> None:
        rng = random.Random(seed ^ 0x5707)
        self.inner = inner
        self._settings, self._plan = settings, plan
        self.all = Gauge()
        self.tenants: dict[str, Gauge] = {name: Gauge() for name in settings.tenants}
        self._open: dict[str, Open] = {}
        self._echoes = None if settings.retries_marked else Echoes(rng.getrandbits(64))
        self._restarts = Restarts()
        limits = settings.limits
        longest = plan.longest_wait_ns or limits.max_retry_after_ns
        self._returns = Returns(longest, plan.whole_seconds, rng)
        self._messages = plan.messages and limits.peers
        self._shares = Shares(settings.me, settings.replicas_of_me, now, restarted=self._messages)
        worths = [c.worth for c in settings.classes.values()]
        self._least_worth, self._most_worth = min(worths, default=1.0), max(worths, default=1.0)
        self._ready: set[int] = set()
        self._cold: dict[int, int] = {}  # upstream -> its start, of those that are ready and may be cold
        self._strength_most = self._capacity = 0.0
        self._looked_ns = now
        self._guided = api.Guidance()
        # Nobody knows what a balancer that starts now has started into: it is careful until it has seen a while.
        self.all.phase, self.all.since_ns = Phase.EBB, now

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """As the module's: what it decides on these events, with when to come back, and messages to peers."""
        passed: list[api.Event] = []
        tells: list[api.Action] = []
        suspects = self._restarts.suspects
        for event in events:
            if type(event) is api.ProbeResult and event.result is api.Result.OK and not suspects:
                passed.append(event)  # most events are these: they must cost next to nothing
            else:
                self._see(event, now, passed, tells)
        if now - self._looked_ns >= LOOK_NS:
            self._look(now, passed, tells)
        actions = self.inner.handle(now, passed)
        for i, action in enumerate(actions):
            if type(action) is api.Refuse:
                actions[i] = self._refused(action, now)
            elif type(action) is api.Fail:
                self._lost(action.request, now)
        return actions + tells if tells else actions

    @property
    def open(self) -> int:
        """Requests without an end."""
        return len(self._open)

    @property
    def phase(self) -> Phase:
        """Of all tenants together."""
        return self.all.phase

    # -- what passes --

    def _see(self, event: api.Event, now: int, passed: list[api.Event], tells: list[api.Action]) -> None:
        if isinstance(event, api.Arrival):
            event = self._arrived(event, now)
        elif isinstance(event, api.ProbeResult):
            self._met(event.upstream, event.result, now, passed)
        elif isinstance(event, api.Outcome):
            self._ended(event, now)
            self._met(event.upstream, event.result, now, passed)
        elif isinstance(event, api.ClientGone):
            self._lost(event.request, now)
        elif isinstance(event, api.ListUpdate):
            event = self._listed(event)
        elif isinstance(event, api.PeerMessage) and self._messages:
            answer = self._shares.heard(event.sender, event.data, now)
            if answer is not None:
                tells.append(api.Tell(answer, event.sender))
        passed.append(event)

    def _arrived(self, e: api.Arrival, now: int) -> api.Arrival:
        retry = e.retry
        if self._echoes is not None and not retry:
            retry = self._echoes.known(e.tenant, e.class_name, e.key, e.cost_hint_ns, now)
            if retry and self._gauge(e.tenant).phase is not Phase.CALM:
                e = e._replace(retry=True)  # a guess costs a request something only while there is a storm
        self.all.arrived(retry, now)
        if (gauge := self.tenants.get(e.tenant)) is not None:
            gauge.arrived(retry, now)
        self._open[e.request] = Open(e.tenant, e.class_name, e.key, e.cost_hint_ns)
        return e

    def _gauge(self, tenant: str) -> Gauge:
        return self.tenants.get(tenant, self.all)

    def _ended(self, e: api.Outcome, now: int) -> None:
        if e.complete and e.result is api.Result.OK and (gone := self._open.pop(e.request, None)) is not None:
            self._count(gone.tenant, True, now)

    def _lost(self, request: str, now: int) -> None:
        gone = self._open.pop(request, None)
        if gone is not None:
            self._count(gone.tenant, False, now)
            if self._echoes is not None:
                self._echoes.lost(*gone, now)

    def _count(self, tenant: str, served: bool, now: int) -> None:
        self.all.ended(served, now)
        if (gauge := self.tenants.get(tenant)) is not None:
            gauge.ended(served, now)

    def _refused(self, action: api.Refuse, now: int) -> api.Refuse:
        gone = self._open.get(action.request)
        self._lost(action.request, now)
        if not action.retry_after_ns or gone is None:
            return action
        cls = self._settings.classes.get(gone.class_name)
        spread = self._most_worth - self._least_worth
        matters = (cls.worth - self._least_worth) / spread if cls is not None and spread else 1.0
        return action._replace(retry_after_ns=self._returns.wait_ns(matters, now))

    def _listed(self, update: api.ListUpdate) -> api.ListUpdate:
        update = self._restarts.listed(update)
        if update.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            self._ready, self._cold = set(), {}
        for entry in update.upstreams:
            self._enter(entry)
        return update

    def _enter(self, entry: api.Upstream) -> None:
        self._cold.pop(entry.id, None)
        if entry.state is not api.State.READY:
            self._ready.discard(entry.id)
            return
        self._ready.add(entry.id)
        if entry.started_ns:
            self._cold[entry.id] = entry.started_ns

    def _met(self, upstream: int, result: api.Result, now: int, passed: list[api.Event]) -> None:
        entry = self._restarts.met(upstream, result, now)
        if entry is not None:
            self._enter(entry)
            passed.append(api.ListUpdate(api.ListKind.DELTA, [entry]))

    # -- what it makes of it --

    def _look(self, now: int, passed: list[api.Event], tells: list[api.Action]) -> None:
        """Tell the phases and the figures anew."""
        looks = max(1, (now - self._looked_ns) // LOOK_NS)
        self._looked_ns = now
        was = self.phase
        if self.all.look(now):
            tells.append(api.Note(f"storm: {was.value} -> {self.phase.value}; of what comes "
                                  f"{self.all.retries(now):.0%} are retries, of what ends {self.all.unmet(now):.0%} is "
                                  "not served"))
        for gauge in self.tenants.values():
            gauge.look(now)
        served = self.all.served.now(now) * 2  # a second: FADE_NS is half a one
        self._capacity = max(self._capacity * CAPACITY_FADE ** min(looks, 1000), served)
        fresh = self.all.rate(now)
        self._returns.bear(max(1.0, served if self.phase is Phase.STORM else self._capacity), fresh)
        strength = self._strength(now)
        self._strength_most = max(self._strength_most * STRENGTH_FADE ** min(looks, 1000), strength)
        self._shares.demand = fresh
        if self._cold and self._messages and (want := self._shares.want(now)) is not None:
            tells.append(api.Tell(want))
        guide = self._figures(strength, now)
        if guide != self._guided:
            self._guided = guide
            passed.append(guide)

    def _strength(self, now: int) -> float:
        """What the list is worth, in warm upstreams. The work grows with the cold ones, not with the list."""
        rules = self._settings.rules
        self._cold = {n: started for n, started in self._cold.items() if now - started < rules.cold_ns}
        missing = sum((1 - rules.cold_from) * (1 - max(0, now - started) / rules.cold_ns)
                      for started in self._cold.values())
        return len(self._ready) - missing

    def _figures(self, strength: float, now: int) -> api.Guidance:
        plan, phase = self._plan, self.phase
        again = {Phase.STORM: plan.again, Phase.EBB: plan.again_ebb, Phase.CALM: math.inf}[phase]
        shares = {Phase.STORM: plan.retries, Phase.EBB: plan.retries_ebb}
        retries = {name: shares[g.phase] for name, g in self.tenants.items() if g.phase is not Phase.CALM} or NO_LIMIT
        shrunk = strength < SHRUNK * self._strength_most
        # A millionth: a part of none would be taken for "by count".
        return api.Guidance(again, retries, max(1e-6, self._shares.part(now)), shrunk)
