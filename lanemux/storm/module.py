"""The storm module: wraps the decision module, detects retry storms and sets the Retry-After of refusals. No I/O.

It sits between the node and the decision module and has the same interface. It admits, refuses and retries nothing
itself: it adds restarts that the upstream list does not report yet, logs when a storm begins and ends, and sets the
Retry-After of refusals.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from lanemux import interface as api
from lanemux.storm.detector import DECAY_NS, UPDATE_INTERVAL_NS, Phase, StormDetector
from lanemux.storm.restarts import RestartDetector
from lanemux.storm.retry_schedule import RetrySchedule

SECOND = 1_000_000_000
OK = api.Result.OK
CAPACITY_DECAY = 0.98  # of the peak rate served, per update interval: halves it in 3.4 s


@dataclass(frozen=True, slots=True)
class StormOptions:
    """What operators can configure (docs/operating/storm.md)."""

    max_wait_ns: int = 0  # longest Retry-After; 0: the limit of the platform's settings
    whole_seconds: bool = False  # for clients that accept only whole seconds


class DecisionModule(Protocol):
    """The wrapped decision module."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]: ...

    def avoided(self, now: int) -> int:
        """Return the number of listed upstreams that it avoids now."""

    def standing(self, now: int) -> Mapping[str, object]:
        """Return the figures behind its current decisions."""


class StormModule:
    """One balancer's storm module. Its tables hold only open requests and listed upstreams."""

    def __init__(
        self, inner: DecisionModule, settings: api.Settings, options: StormOptions, seed: int, now: int
    ) -> None:
        self.inner = inner
        self._settings = settings
        self.detector = StormDetector()
        self._class_by_request: dict[str, str] = {}  # open request -> its class
        self._restart_detector = RestartDetector()
        max_wait_ns = options.max_wait_ns or settings.limits.max_retry_after_ns
        self._retry_schedule = RetrySchedule(max_wait_ns, options.whole_seconds, random.Random(seed ^ 0x5707))
        worths = [c.worth for c in settings.classes.values()]
        self._least_worth, self._most_worth = min(worths, default=1.0), max(worths, default=1.0)
        self._capacity_per_s = 0.0
        self._updated_ns = now
        # A balancer may start in the middle of a storm: at first, detect one at the lower share.
        self.detector.phase, self.detector.phase_since_ns = Phase.SUBSIDING, now

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Return the decision module's actions on these events, with the Retry-After of refusals set."""
        events = events if type(events) is list else list(events)
        notes = self._update_phase(now) if now - self._updated_ns >= UPDATE_INTERVAL_NS else None
        if self._record_events(events):
            events = self._with_restarts(events, now)
        actions = self.inner.handle(now, events)
        for i, action in enumerate(actions):
            if type(action) is api.Refuse:
                actions[i] = self._with_retry_after(action, now)
            elif type(action) is api.Fail:
                self._count_unserved(action.request)
        return actions + notes if notes else actions

    def avoided(self, now: int) -> int:
        """Return the decision module's value."""
        return self.inner.avoided(now)

    def standing(self, now: int) -> Mapping[str, object]:
        """Return the decision module's value."""
        return self.inner.standing(now)

    @property
    def open_requests(self) -> int:
        """The number of requests that have not ended."""
        return len(self._class_by_request)

    @property
    def phase(self) -> Phase:
        """The current phase of the storm detector."""
        return self.detector.phase

    # -- events and actions --

    def _record_events(self, events: list[api.Event]) -> bool:
        """Record the events; return whether any of them matters for detecting restarts.

        Most events are successful probes, arrivals and answers. Their list is passed on unchanged: after a sleep, the
        process has cache misses on every object and line, so a normal request must touch few."""
        check_restarts = bool(self._restart_detector.suspects)
        for event in events:
            if type(event) is api.ProbeResult:
                check_restarts = check_restarts or event.result is not OK
            elif type(event) is api.Arrival:
                self.detector.record_arrival(event.retry)
                self._class_by_request[event.request] = event.class_name
            elif type(event) is api.Outcome:
                if event.result is not OK:
                    check_restarts = True
                    if event.complete:  # a streamed response that broke off
                        self._count_unserved(event.request)
                elif event.complete and self._class_by_request.pop(event.request, None) is not None:
                    self.detector.record_end(True)
            elif type(event) is api.ClientGone:
                self._count_unserved(event.request)
            elif type(event) is api.ListUpdate:
                check_restarts = True
            elif type(event) is api.Resync:  # the ends of all other requests were lost
                self._class_by_request = {n: c for n, c in self._class_by_request.items() if n in event.requests}
        return check_restarts

    def _with_restarts(self, events: list[api.Event], now: int) -> list[api.Event]:
        """Return the events with detected restarts: added to list updates, and before the event that shows them."""
        forwarded: list[api.Event] = []
        for event in events:
            if isinstance(event, api.ListUpdate):
                event = self._restart_detector.amend_update(event)
            elif isinstance(event, api.ProbeResult | api.Outcome):
                entry = self._restart_detector.observe(event.upstream, event.result, now)
                if entry is not None:
                    forwarded.append(api.ListUpdate(api.ListKind.DELTA, [entry]))
            forwarded.append(event)
        return forwarded

    def _count_unserved(self, request: str) -> None:
        if self._class_by_request.pop(request, None) is not None:
            self.detector.record_end(False)

    def _with_retry_after(self, action: api.Refuse, now: int) -> api.Refuse:
        class_name = self._class_by_request.get(action.request)
        self._count_unserved(action.request)
        if not action.retry_after_ns or class_name is None:
            return action
        request_class = self._settings.classes.get(class_name)
        worth_range = self._most_worth - self._least_worth
        priority = (
            (request_class.worth - self._least_worth) / worth_range
            if request_class is not None and worth_range
            else 1.0
        )
        return action._replace(retry_after_ns=self._retry_schedule.wait_ns(priority, now))

    # -- storm detection --

    def _update_phase(self, now: int) -> list[api.Action]:
        """Update the phase and the load of the retry schedule; return a note if the phase has changed."""
        intervals = max(1, (now - self._updated_ns) // UPDATE_INTERVAL_NS)
        before, detector = self.phase, self.detector
        changed = detector.update(now, now - self._updated_ns)
        self._updated_ns = now
        served_per_s = detector.served * SECOND / DECAY_NS
        self._capacity_per_s = max(self._capacity_per_s * CAPACITY_DECAY ** min(intervals, 1000), served_per_s)
        self._retry_schedule.set_load(
            max(1.0, served_per_s if self.phase is Phase.STORM else self._capacity_per_s), detector.new_requests_per_s
        )
        return (
            [
                api.WriteLog(
                    f"storm: {before.value} -> {self.phase.value}; of what comes {detector.retry_share:.0%} are "
                    f"retries, of what ends {detector.unserved_share:.0%} is not served"
                )
            ]
            if changed
            else []
        )
