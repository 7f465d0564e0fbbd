"""A minimal balancer policy; the caller supplies the function that chooses the upstream of a request."""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lanemux import interface as api
from lanemux.net import daemon

MAX_ATTEMPTS = 3
Choose = Callable[[random.Random, list[int], Counter[int]], int]


@dataclass
class OpenRequest:
    """A request without a final answer."""

    arrival: api.Arrival
    aim_ns: int
    attempts: int = 0


class MinimalPolicy:
    """Sends each request at once to a chosen ready upstream; retries failed attempts elsewhere within its time."""

    def __init__(self, choose: Choose, settings: api.Settings, seed: int) -> None:
        self._choose, self._settings, self._rng = choose, settings, random.Random(seed)
        self._ready: list[int] = []
        self._inflight: Counter[int] = Counter()  # this balancer's requests in flight
        self._open: dict[str, OpenRequest] = {}

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            match event:
                case api.ListUpdate():
                    self._apply_list_update(event)
                case api.Arrival():
                    aim = now + self._settings.classes[event.class_name].aim_ns
                    self._open[event.request] = OpenRequest(event, min(aim, event.deadline_ns))
                    actions.append(self._send(event.request, now, 0))
                case api.Outcome():
                    self._inflight[event.upstream] -= 1
                    request = self._open.get(event.request)
                    if event.complete or request is None:
                        self._open.pop(event.request, None)
                    else:
                        actions.append(self._send(event.request, now, event.upstream))
                case api.ClientGone():
                    self._open.pop(event.request, None)
        return actions

    def _apply_list_update(self, update: api.ListUpdate) -> None:
        ready = set() if update.kind in (api.ListKind.FULL, api.ListKind.CACHED) else set(self._ready)
        for entry in update.upstreams:
            (ready.add if entry.state is api.State.READY else ready.discard)(entry.id)
        self._ready = sorted(ready)

    def _send(self, name: str, now: int, failed_at: int) -> api.Action:
        request = self._open[name]
        choices = [u for u in self._ready if u != failed_at] or self._ready
        if not choices or request.attempts >= MAX_ATTEMPTS or now >= request.aim_ns:
            del self._open[name]
            return api.Refuse(name)
        request.attempts += 1
        upstream = self._choose(self._rng, choices, self._inflight)
        self._inflight[upstream] += 1
        return api.Send(name, upstream, request.aim_ns - now)


def start(choose: Choose) -> None:
    """Start a balancer with this policy, as the daemon starts the real one."""

    def build_policy(settings: api.Settings, seed: int, now: int) -> MinimalPolicy:
        return MinimalPolicy(choose, settings, seed)

    daemon.Balancer = build_policy  # type: ignore[assignment, attr-defined]
    sys.exit(daemon.main())
