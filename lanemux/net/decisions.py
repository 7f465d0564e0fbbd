"""Runs the decision module and restores its state after an exception in it."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from lanemux import interface as api
from lanemux.core.clock import SECOND, now_ns

log = logging.getLogger(__name__)

FAILURE_LOG_INTERVAL_NS = 10 * SECOND  # at most one failure of the module in this interval is logged with its traceback


class Module(Protocol):
    """The decision module: the `Balancer` of `lanemux/policy.py`, or a wrapper around it."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Process events; returns the actions to execute."""

    def avoided(self, now: int) -> int:
        """Number of listed upstreams that it does not use now."""

    def standing(self, now: int) -> Mapping[str, object]:
        """Internal figures that explain its decisions."""


class ModuleRunner:
    """Calls the module, and rebuilds its state after a failure."""

    def __init__(self, module: Module, current_state: Callable[[int], list[api.Event]]) -> None:
        """`current_state` returns, for a given time, the events that give the module the whole current state."""
        self._module, self._current_state = module, current_state
        self._last_logged_ns, self._unlogged_failures = -FAILURE_LOG_INTERVAL_NS, 0
        self.decided_ns = 0  # the time passed to the module last; delays and timeouts in its actions count from it

    def handle(self, batch: list[api.Event]) -> list[api.Action]:
        """Pass events to the module; returns the actions to execute."""
        self.decided_ns = now_ns()
        try:
            return self._module.handle(self.decided_ns, batch)
        except Exception:  # an exception in the module loses this batch's actions, not the process
            return self._recovered(batch)

    def _recovered(self, batch: list[api.Event]) -> list[api.Action]:
        """The module failed: give it the current state, and the full list, since the failed batch may hold a drain.

        Actions of the failed batch are lost. The module ends or restarts what it had begun."""
        log_failure = self.decided_ns >= self._last_logged_ns + FAILURE_LOG_INTERVAL_NS
        if log_failure:
            self._last_logged_ns = self.decided_ns
            log.exception("the module failed on %.200r (%d failures not logged)", batch, self._unlogged_failures)
        self._unlogged_failures = 0 if log_failure else self._unlogged_failures + 1
        try:
            return self._module.handle(self.decided_ns, self._current_state(self.decided_ns))
        except Exception:
            log.exception("the module failed on the current state")
            return []

    @property
    def avoided(self) -> int:
        """Number of listed upstreams that the module does not use now."""
        return self._module.avoided(now_ns())

    def standing(self) -> Mapping[str, object]:
        """The module's internal figures, which explain its decisions."""
        return self._module.standing(now_ns())
