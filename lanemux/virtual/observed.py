"""What stands between a node and its decisions in a virtual run, and watches both."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from lanemux import interface as api
from lanemux.net.decisions import Module
from lanemux.policy import Balancer
from lanemux.rehearsal.plan import MS

OVER_NS = 5 * MS  # an attempt may end so long after its time-out: turns take time

ModuleWrapper = Callable[
    [Balancer, api.Settings, int, int], Module
]  # what stands round the decisions; with seed and time


class Observed:
    """The module between the node and its decisions: it holds that every Send has one Outcome, and one is out."""

    def __init__(
        self,
        settings_told: api.Settings,
        seed: int,
        now: int,
        wrap_module: ModuleWrapper | None,
        accuse: Callable[[str, str], None],
        excused: Callable[[int, int], bool],
        listed: Callable[[int, api.ListUpdate], None],
        sending: Callable[[], None],
    ) -> None:
        self.decides = Balancer(settings_told, seed, now)
        self.inner: Module = (
            wrap_module(self.decides, settings_told, seed, now) if wrap_module is not None else self.decides
        )
        self.out: dict[tuple[str, int], int] = {}  # attempt -> when it is to time out; 0: not told
        self._sends: Counter[str] = Counter()
        self._accuse, self._excused, self._listed, self._sending = accuse, excused, listed, sending
        self._now = now

    def avoided(self, now: int) -> int:
        """As the decisions tell it."""
        return self.inner.avoided(now)

    def standing(self, now: int) -> Mapping[str, object]:
        """As the decisions tell it."""
        return self.inner.standing(now)

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        events = list(events)
        if now < self._now:
            self._accuse("clock", "the clock went back")
        self._now = now
        for event in events:
            if isinstance(event, api.ListUpdate):
                self._listed(now, event)
            elif isinstance(event, api.Outcome):
                due = self.out.pop((event.request, event.attempt), None)
                if due is None:
                    self._accuse("outcome", f"an outcome of attempt {event.attempt} that was not out")
                elif due and now > due + OVER_NS and not self._excused(due, now):
                    self._accuse("time-out", f"an attempt ended {(now - due) / MS:.1f} ms after its time was up")
        try:
            actions = self.inner.handle(now, events)
        except Exception as error:
            self._accuse("crash", f"the module failed: {error!r}")
            raise
        for action in actions:
            if isinstance(action, api.Send):
                number = self._sends[action.request]
                self._sends[action.request] += 1
                if any(request == action.request for request, _ in self.out):
                    self._accuse("twice", "a second attempt was decided while one is out")
                self._sending()
                self.out[action.request, number] = now + action.timeout_ns if action.timeout_ns else 0
        return actions
