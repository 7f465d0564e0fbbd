"""The storm's module round the decisions: it watches what passes, and says when to come back. No I/O.

It stands between the node and the module that decides, and handles events as that one does. It admits, refuses and
repeats nothing itself: it adds starts that the list has not told of, notes when a storm begins and ends, and puts into
refusals when to come back.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from lanemux import interface as api
from lanemux.storm.restarts import Restarts
from lanemux.storm.returns import Returns
from lanemux.storm.sense import Gauge, Phase

SECOND = 1_000_000_000
LOOK_NS = SECOND // 10  # how often the phase is told anew; a storm of clients that retry at once doubles in that time
CAPACITY_FADE = 0.98  # of the most that was served a second, a look: half of it is forgotten in 3.4 s


@dataclass(frozen=True, slots=True)
class Plan:
    """What the operators set (docs/operating/storm.md)."""

    longest_wait_ns: int = 0  # that a client is told; 0: as the platform's settings allow
    whole_seconds: bool = False  # clients read only whole seconds


class Inner(Protocol):
    """What decides."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]: ...


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
        passed: list[api.Event] = []
        suspects = self._restarts.suspects
        for event in events:
            if type(event) is not api.ProbeResult or suspects or event.result is not api.Result.OK:
                event = self._see(event, now, passed)
            passed.append(event)  # most events are looks that went well: they must cost next to nothing
        notes = self._look(now) if now - self._looked_ns >= LOOK_NS else []
        actions = self.inner.handle(now, passed)
        for i, action in enumerate(actions):
            if type(action) is api.Refuse:
                actions[i] = self._refused(action, now)
            elif type(action) is api.Fail:
                self._lost(action.request, now)
        return actions + notes if notes else actions

    @property
    def open(self) -> int:
        """Requests without an end."""
        return len(self._open)

    @property
    def phase(self) -> Phase:
        """What the moment is."""
        return self.gauge.phase

    # -- what passes --

    def _see(self, event: api.Event, now: int, passed: list[api.Event]) -> api.Event:
        """Note an event; what is to be handed on for it. Starts that are found out go before it."""
        if isinstance(event, api.Arrival):
            self.gauge.arrived(event.retry, now)
            self._open[event.request] = event.class_name
        elif isinstance(event, api.ProbeResult):
            self._met(event.upstream, event.result, now, passed)
        elif isinstance(event, api.Outcome):
            if event.complete and event.result is api.Result.OK and self._open.pop(event.request, None) is not None:
                self.gauge.ended(True, now)
            self._met(event.upstream, event.result, now, passed)
        elif isinstance(event, api.ClientGone):
            self._lost(event.request, now)
        elif isinstance(event, api.ListUpdate):
            return self._restarts.listed(event)
        return event

    def _lost(self, request: str, now: int) -> None:
        if self._open.pop(request, None) is not None:
            self.gauge.ended(False, now)

    def _refused(self, action: api.Refuse, now: int) -> api.Refuse:
        class_name = self._open.get(action.request)
        self._lost(action.request, now)
        if not action.retry_after_ns or class_name is None:
            return action
        cls = self._settings.classes.get(class_name)
        spread = self._most_worth - self._least_worth
        matters = (cls.worth - self._least_worth) / spread if cls is not None and spread else 1.0
        return action._replace(retry_after_ns=self._returns.wait_ns(matters, now))

    def _met(self, upstream: int, result: api.Result, now: int, passed: list[api.Event]) -> None:
        entry = self._restarts.met(upstream, result, now)
        if entry is not None:
            passed.append(api.ListUpdate(api.ListKind.DELTA, [entry]))

    # -- what it makes of it --

    def _look(self, now: int) -> list[api.Action]:
        """Tell the phase anew, and what can be borne."""
        looks = max(1, (now - self._looked_ns) // LOOK_NS)
        self._looked_ns = now
        was, gauge = self.phase, self.gauge
        changed = gauge.look(now)
        served = gauge.served.now(now) * 2  # a second: FADE_NS is half a one
        self._capacity = max(self._capacity * CAPACITY_FADE ** min(looks, 1000), served)
        self._returns.bear(max(1.0, served if self.phase is Phase.STORM else self._capacity), gauge.rate(now))
        return [api.Note(f"storm: {was.value} -> {self.phase.value}; of what comes {gauge.retries(now):.0%} are "
                         f"retries, of what ends {gauge.unmet(now):.0%} is not served")] if changed else []
