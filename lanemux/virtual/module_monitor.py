"""Wraps the decision module of a node in a virtual run and checks the calls in both directions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from lanemux import interface as api
from lanemux.net.decisions import Module
from lanemux.policy import Balancer
from lanemux.rehearsal.plan import MS
from lanemux.rehearsal.rules import FINAL_ANSWER_GRACE_NS

TIMEOUT_GRACE_NS = 5 * MS  # an attempt may end this much after its timeout, since turns take time

# Wraps the decision module; also gets the settings, the seed and the time in ns.
ModuleWrapper = Callable[[Balancer, api.Settings, int, int], Module]


class ModuleMonitor:
    """Checks that each Send gets exactly one Outcome in time and that a request has one open attempt at most."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: int,
        wrap_module: ModuleWrapper | None,
        report_violation: Callable[[str, str], None],
        was_exempt: Callable[[int, int], bool],
        exempt_ns: Callable[[int, int], int],
        broken_off: Callable[[], int],
        on_list_update: Callable[[int, api.ListUpdate], None],
        on_send: Callable[[], None],
    ) -> None:
        self.balancer_module = Balancer(settings, seed, now)
        self.module: Module = (
            wrap_module(self.balancer_module, settings, seed, now) if wrap_module is not None else self.balancer_module
        )
        self.open_attempts: dict[tuple[str, int], int] = {}  # attempt -> when it times out; 0: no timeout
        self._deadlines_ns: dict[str, int] = {}  # by request
        self._arrivals_ns: dict[str, int] = {}  # by request
        self._streaming: set[tuple[str, int]] = set()  # attempts whose response has started
        self._send_counts: Counter[str] = Counter()
        self._report_violation, self._was_exempt, self._on_list_update, self._on_send = (
            report_violation,
            was_exempt,
            on_list_update,
            on_send,
        )
        self._exempt_ns, self._broken_off = exempt_ns, broken_off
        self._broken_off_before = 0
        self._now = now

    def avoided(self, now: int) -> int:
        """Passed through from the module."""
        return self.module.avoided(now)

    def standing(self, now: int) -> Mapping[str, object]:
        """Passed through from the module."""
        return self.module.standing(now)

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Check the events, pass them to the module, and check the actions that it returns."""
        events = list(events)
        if now < self._now:
            self._report_violation("clock", "the clock went back")
        self._now = now
        broken_off = self._broken_off() - self._broken_off_before
        self._broken_off_before += broken_off
        for event in events:
            if isinstance(event, api.ListUpdate):
                self._on_list_update(now, event)
            elif isinstance(event, api.Arrival):
                self._deadlines_ns[event.request] = event.deadline_ns
                self._arrivals_ns[event.request] = now
            elif isinstance(event, api.ResponseStarted):
                # Its own timeout stops; the request's final answer is still due.
                due_ns = self._deadlines_ns[event.request] + FINAL_ANSWER_GRACE_NS
                self.open_attempts[event.request, event.attempt] = due_ns
                self._streaming.add((event.request, event.attempt))
            elif isinstance(event, api.Outcome):
                times_out_ns = self.open_attempts.pop((event.request, event.attempt), None)
                if times_out_ns and (event.request, event.attempt) in self._streaming:
                    # What arrived while the process was paused moved the response only when it was read.
                    times_out_ns += self._exempt_ns(self._arrivals_ns[event.request], now)
                if times_out_ns and (event.result is api.Result.OK or broken_off):
                    # Its response was being received: the client's deadline is its time limit.
                    times_out_ns = max(times_out_ns, self._deadlines_ns[event.request])
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
