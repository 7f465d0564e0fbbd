"""What stands between a node and its decisions in a virtual run, and watches both."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from lanemux import interface as api
from lanemux.net.decisions import Module
from lanemux.policy import Balancer
from lanemux.rehearsal.plan import MS

TIMEOUT_GRACE_NS = 5 * MS  # an attempt may end so long after its time-out: turns take time

ModuleWrapper = Callable[
    [Balancer, api.Settings, int, int], Module
]  # what stands round the decisions; with seed and time


class ModuleMonitor:
    """The module between the node and its decisions: it holds that every Send has one Outcome, and one is out."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: int,
        wrap_module: ModuleWrapper | None,
        report_violation: Callable[[str, str], None],
        was_exempt: Callable[[int, int], bool],
        on_list_update: Callable[[int, api.ListUpdate], None],
        on_send: Callable[[], None],
    ) -> None:
        self.balancer_module = Balancer(settings, seed, now)
        self.module: Module = (
            wrap_module(self.balancer_module, settings, seed, now) if wrap_module is not None else self.balancer_module
        )
        self.open_attempts: dict[tuple[str, int], int] = {}  # attempt -> when it is to time out; 0: not told
        self._send_counts: Counter[str] = Counter()
        self._report_violation, self._was_exempt, self._on_list_update, self._on_send = (
            report_violation,
            was_exempt,
            on_list_update,
            on_send,
        )
        self._now = now

    def avoided(self, now: int) -> int:
        """As the decisions tell it."""
        return self.module.avoided(now)

    def standing(self, now: int) -> Mapping[str, object]:
        """As the decisions tell it."""
        return self.module.standing(now)

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        events = list(events)
        if now < self._now:
            self._report_violation("clock", "the clock went back")
        self._now = now
        for event in events:
            if isinstance(event, api.ListUpdate):
                self._on_list_update(now, event)
            elif isinstance(event, api.Outcome):
                times_out_ns = self.open_attempts.pop((event.request, event.attempt), None)
                if times_out_ns is None:
                    self._report_violation("outcome", f"an outcome of attempt {event.attempt} that was not out")
                elif times_out_ns and now > times_out_ns + TIMEOUT_GRACE_NS and not self._was_exempt(times_out_ns, now):
                    self._report_violation(
                        "time-out", f"an attempt ended {(now - times_out_ns) / MS:.1f} ms after its time was up"
                    )
        try:
            actions = self.module.handle(now, events)
        except Exception as error:
            self._report_violation("crash", f"the module failed: {error!r}")
            raise
        for action in actions:
            if isinstance(action, api.Send):
                attempt_number = self._send_counts[action.request]
                self._send_counts[action.request] += 1
                if any(request == action.request for request, _ in self.open_attempts):
                    self._report_violation("twice", "a second attempt was decided while one is out")
                self._on_send()
                self.open_attempts[action.request, attempt_number] = now + action.timeout_ns if action.timeout_ns else 0
        return actions
