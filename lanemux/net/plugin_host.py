"""Carries the messages of what is plugged in, and rings its ticks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from lanemux.core.clock import now_ns
from lanemux.core.plugin import Plugin, message_type_of

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
FAILURES_LOGGED_NS = 10 * SECOND  # one failure in so long is told with its trace


class PluginHost:
    """Those of one balancer. A fault in one costs what came with it, and neither the others nor any request."""

    def __init__(self, tell: Callable[[bytes, int], None]) -> None:
        """`tell` sends a datagram to a peer."""
        self._tell = tell
        self._plugins: dict[int, Plugin] = {}  # by the first byte of their messages
        self._timers: dict[int, tuple[int, asyncio.TimerHandle]] = {}  # due, and what rings then
        self._failed_ns = -FAILURES_LOGGED_NS
        self._closed = False

    def add(self, plugin: Plugin) -> None:
        """Plug one in; ValueError where another has its messages or its name."""
        if plugin.message_type in self._plugins or plugin.name in self.sections:
            raise ValueError(f"{plugin.name}: another has its messages or its name")
        self._plugins[plugin.message_type] = plugin
        self._after(plugin)

    @property
    def sections(self) -> dict[str, Plugin]:
        """By name."""
        return {plugin.name: plugin for plugin in self._plugins.values()}

    def section(self, name: str) -> Mapping[str, object] | None:
        """What one tells operators; None: nothing of that name is plugged in."""
        plugin = self.sections.get(name)
        return None if plugin is None else plugin.status(now_ns())

    def heard(self, sender: int, data: bytes) -> bool:
        """A peer's message; False: it is one of the words between the decisions. One of nobody's is left unread."""
        first = message_type_of(data)
        if first is None:
            return False
        plugin = self._plugins.get(first)
        if plugin is not None and not self._closed:
            self._run(plugin, lambda now: plugin.on_message(sender, data, now))
        return True

    def leave(self) -> None:
        """The process ends in order."""
        for plugin in self._plugins.values():
            self._run(plugin, plugin.shutdown)

    def close(self) -> None:
        """Nothing is sent and nothing rings any more."""
        self._closed = True
        for _, timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _run(self, plugin: Plugin, what: Callable[[int], None]) -> None:
        now = now_ns()
        try:
            what(now)
        except Exception:
            if now >= self._failed_ns + FAILURES_LOGGED_NS:
                self._failed_ns = now
                log.exception("%s failed", plugin.name)
        self._after(plugin)

    def _after(self, plugin: Plugin) -> None:
        for to, data in plugin.take_outgoing():
            self._tell(data, to)
        due, known = plugin.next_tick_ns, self._timers.get(plugin.message_type)
        if self._closed or (known is not None and known[0] == due):
            return
        if known is not None:
            known[1].cancel()
        # A due time that does not move on must not keep the loop from everything else.
        at = max(due, now_ns() + SECOND // 1000)
        self._timers[plugin.message_type] = due, asyncio.get_running_loop().call_at(at / SECOND, self._ring, plugin)

    def _ring(self, plugin: Plugin) -> None:
        del self._timers[plugin.message_type]
        self._run(plugin, plugin.tick)
