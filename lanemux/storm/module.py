"""The storm's module round the decisions: it watches what passes, and says when to come back. No I/O.

It stands between the node and the module that decides, and handles events as that one does. It admits, refuses and
repeats nothing itself: it adds starts that the list has not told of, notes when a storm begins and ends, and puts into
refusals when to come back.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from lanemux import interface as api
from lanemux.storm.restarts import Restarts
from lanemux.storm.returns import Returns
from lanemux.storm.sense import FADE_NS, LOOK_NS, Gauge, Phase

SECOND = 1_000_000_000
OK = api.Result.OK
CAPACITY_FADE = 0.98  # of the most that was served a second, a look: half of it is forgotten in 3.4 s


@dataclass(frozen=True, slots=True)
class Plan:
    """What the operators set (docs/operating/storm.md)."""

    longest_wait_ns: int = 0  # that a client is told; 0: as the platform's settings allow
    whole_seconds: bool = False  # clients read only whole seconds


class Inner(Protocol):
    """What decides."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]: ...

    def avoided(self, now: int) -> int:
        """Listed upstreams that it leaves alone now."""

    def standing(self, now: int) -> Mapping[str, object]:
        """Why it does what it does, in figures."""


class Storm:
    """One balancer's storm module. Its tables hold what is open or listed, and no more."""

    def __init__(self, inner: Inner, settings: api.Settings, plan: Plan, seed: int, now: int) -> None:
        self.inner = inner
        self._settings = settings
        self.gauge = Gauge()
        self._open: dict[str, str] = {}  # requests that have no end yet, and their classes
        self._restarts = Restarts()
        longest = plan.longest_wait_ns or settings.limits.max_retry_after_ns
        self._returns = Returns(longest, plan.whole_seconds, random.Random(seed ^ 0x5707))
        worths = [c.worth for c in settings.classes.values()]
        self._least_worth, self._most_worth = min(worths, default=1.0), max(worths, default=1.0)
        self._capacity = 0.0
        self._looked_ns = now
        # Nobody knows what a balancer that starts now has started into: a storm is told at a lower share for a while.
        self.gauge.phase, self.gauge.since_ns = Phase.EBB, now

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """As the module's: what it decides on these events, with when to come back."""
        events = events if type(events) is list else list(events)
        notes = self._look(now) if now - self._looked_ns >= LOOK_NS else None
        if self._count(events):
            events = self._told(events, now)
        actions = self.inner.handle(now, events)
        for i, action in enumerate(actions):
            if type(action) is api.Refuse:
                actions[i] = self._refused(action, now)
            elif type(action) is api.Fail:
                self._lost(action.request)
        return actions + notes if notes else actions

    def avoided(self, now: int) -> int:
        """As the module's."""
        return self.inner.avoided(now)

    def standing(self, now: int) -> Mapping[str, object]:
        """As the module's."""
        return self.inner.standing(now)

    @property
    def open(self) -> int:
        """Requests without an end."""
        return len(self._open)

    @property
    def phase(self) -> Phase:
        """What the moment is."""
        return self.gauge.phase

    # -- what passes --

    def _count(self, events: list[api.Event]) -> bool:
        """Count what passes; does any of it bear on what is known of starts?

        Most events are looks that went well, arrivals and answers. They are handed on in the list in which they came:
        a process that has slept misses its caches at every object and line, so a calm request must touch few."""
        strange = bool(self._restarts.suspects)
        for event in events:
            if type(event) is api.ProbeResult:
                strange = strange or event.result is not OK
            elif type(event) is api.Arrival:
                self.gauge.arrived(event.retry)
                self._open[event.request] = event.class_name
            elif type(event) is api.Outcome:
                if event.result is not OK:
                    strange = True
                elif event.complete and self._open.pop(event.request, None) is not None:
                    self.gauge.ended(True)
            elif type(event) is api.ClientGone:
                self._lost(event.request)
            elif type(event) is api.ListUpdate:
                strange = True
            elif type(event) is api.Resync:  # the ends of others were lost
                self._open = {name: cls for name, cls in self._open.items() if name in event.requests}
        return strange

    def _told(self, events: list[api.Event], now: int) -> list[api.Event]:
        """The same, with the starts that were found out: in the list's news, and before what shows them."""
        passed: list[api.Event] = []
        for event in events:
            if isinstance(event, api.ListUpdate):
                event = self._restarts.listed(event)
            elif isinstance(event, api.ProbeResult | api.Outcome):
                entry = self._restarts.met(event.upstream, event.result, now)
                if entry is not None:
                    passed.append(api.ListUpdate(api.ListKind.DELTA, [entry]))
            passed.append(event)
        return passed

    def _lost(self, request: str) -> None:
        if self._open.pop(request, None) is not None:
            self.gauge.ended(False)

    def _refused(self, action: api.Refuse, now: int) -> api.Refuse:
        class_name = self._open.get(action.request)
        self._lost(action.request)
        if not action.retry_after_ns or class_name is None:
            return action
        cls = self._settings.classes.get(class_name)
        spread = self._most_worth - self._least_worth
        matters = (cls.worth - self._least_worth) / spread if cls is not None and spread else 1.0
        return action._replace(retry_after_ns=self._returns.wait_ns(matters, now))

    # -- what it makes of it --

    def _look(self, now: int) -> list[api.Action]:
        """Tell the phase anew, and what can be borne."""
        looks = max(1, (now - self._looked_ns) // LOOK_NS)
        was, gauge = self.phase, self.gauge
        changed = gauge.look(now, now - self._looked_ns)
        self._looked_ns = now
        served = gauge.served * SECOND / FADE_NS
        self._capacity = max(self._capacity * CAPACITY_FADE ** min(looks, 1000), served)
        self._returns.bear(max(1.0, served if self.phase is Phase.STORM else self._capacity), gauge.rate)
        return (
            [
                api.WriteLog(
                    f"storm: {was.value} -> {self.phase.value}; of what comes {gauge.retries:.0%} are retries, of "
                    f"what ends {gauge.unmet:.0%} is not served"
                )
            ]
            if changed
            else []
        )
