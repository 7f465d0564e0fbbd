"""Carries the messages of what is plugged in, and rings its ticks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from lanemux.core.clock import now_ns
from lanemux.core.plugs import Plug, first_byte

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
FAILURES_LOGGED_NS = 10 * SECOND  # one failure in so long is told with its trace


class Plugs:
    """Those of one balancer. A fault in one costs what came with it, and neither the others nor any request."""

    def __init__(self, tell: Callable[[bytes, int], None]) -> None:
        """`tell` sends a datagram to a peer."""
        self._tell = tell
        self._plugs: dict[int, Plug] = {}  # by the first byte of their messages
        self._timers: dict[int, tuple[int, asyncio.TimerHandle]] = {}  # due, and what rings then
        self._failed_ns = -FAILURES_LOGGED_NS
        self._closed = False

    def add(self, plug: Plug) -> None:
        """Plug one in; ValueError where another has its messages or its name."""
        if plug.first in self._plugs or plug.name in self.sections:
            raise ValueError(f"{plug.name}: another has its messages or its name")
        self._plugs[plug.first] = plug
        self._after(plug)

    @property
    def sections(self) -> dict[str, Plug]:
        """By name."""
        return {plug.name: plug for plug in self._plugs.values()}

    def section(self, name: str) -> Mapping[str, object] | None:
        """What one tells operators; None: nothing of that name is plugged in."""
        plug = self.sections.get(name)
        return None if plug is None else plug.section(now_ns())

    def heard(self, sender: int, data: bytes) -> bool:
        """A peer's message; False: it is one of the words between the decisions. One of nobody's is left unread."""
        first = first_byte(data)
        if first is None:
            return False
        plug = self._plugs.get(first)
        if plug is not None and not self._closed:
            self._run(plug, lambda now: plug.heard(sender, data, now))
        return True

    def leave(self) -> None:
        """The process ends in order."""
        for plug in self._plugs.values():
            self._run(plug, plug.leave)

    def close(self) -> None:
        """Nothing is sent and nothing rings any more."""
        self._closed = True
        for _, timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _run(self, plug: Plug, what: Callable[[int], None]) -> None:
        now = now_ns()
        try:
            what(now)
        except Exception:
            if now >= self._failed_ns + FAILURES_LOGGED_NS:
                self._failed_ns = now
                log.exception("%s failed", plug.name)
        self._after(plug)

    def _after(self, plug: Plug) -> None:
        for to, data in plug.take_out():
            self._tell(data, to)
        due, known = plug.due_ns, self._timers.get(plug.first)
        if self._closed or (known is not None and known[0] == due):
            return
        if known is not None:
            known[1].cancel()
        # A due time that does not move on must not keep the loop from everything else.
        at = max(due, now_ns() + SECOND // 1000)
        self._timers[plug.first] = due, asyncio.get_running_loop().call_at(at / SECOND, self._ring, plug)

    def _ring(self, plug: Plug) -> None:
        del self._timers[plug.first]
        self._run(plug, plug.tick)
