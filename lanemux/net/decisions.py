"""Asks the module for its decisions, and sets it right after a fault in it."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from lanemux import interface as api
from lanemux.core.clock import SECOND, now_ns

log = logging.getLogger(__name__)

FAILURES_LOGGED_NS = 10 * SECOND  # one failure of the module in so long is told with its trace


class Module(Protocol):
    """What decides: the `Balancer` of `lanemux/policy.py`."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]: ...

    def avoided(self, now: int) -> int:
        """Listed upstreams that it leaves alone now."""

    def standing(self, now: int) -> Mapping[str, object]:
        """Why it does what it does, in figures."""


class ModuleRunner:
    """The module, and what is true where it has failed."""

    def __init__(self, module: Module, facts: Callable[[int], list[api.Event]]) -> None:
        """`facts` gives, for a time, the events that tell the module all that is true then."""
        self._module, self._facts = module, facts
        self._failed_ns, self._failures_untold = -FAILURES_LOGGED_NS, 0  # the last failure in the log
        self.decided_ns = 0  # the clock as the module last read it: what it gives as a time counts from then

    def of(self, batch: list[api.Event]) -> list[api.Action]:
        """What is to be done about these events."""
        self.decided_ns = now_ns()
        try:
            return self._module.handle(self.decided_ns, batch)
        except Exception:  # a fault in the decisions costs what came with it, not the process
            return self._recovered(batch)

    def _recovered(self, batch: list[api.Event]) -> list[api.Action]:
        """The module failed: tell it what is true, and the whole list, since a drain may be among what it lost.

        Actions of the failed batch are lost. What it began is ended or begun anew by the module."""
        failed = self.decided_ns >= self._failed_ns + FAILURES_LOGGED_NS
        if failed:
            self._failed_ns = self.decided_ns
            log.exception("the module failed on %.200r (%d times untold)", batch, self._failures_untold)
        self._failures_untold = 0 if failed else self._failures_untold + 1
        try:
            return self._module.handle(self.decided_ns, self._facts(self.decided_ns))
        except Exception:
            log.exception("the module failed on what is true")
            return []

    @property
    def avoided(self) -> int:
        """Listed upstreams that are left alone now."""
        return self._module.avoided(now_ns())

    def standing(self) -> Mapping[str, object]:
        """Why the decisions are what they are, in figures."""
        return self._module.standing(now_ns())
