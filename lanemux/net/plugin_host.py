"""Delivers messages to plugins, sends theirs, and runs their timers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from lanemux.core.clock import now_ns
from lanemux.core.plugin import Plugin, message_type_of

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
FAILURE_LOG_INTERVAL_NS = 10 * SECOND  # at most one failure in this interval is logged with its traceback


class PluginHost:
    """The plugins of one balancer. An exception in one loses its input, but affects no other plugin and no request."""

    def __init__(self, send: Callable[[bytes, int], None]) -> None:
        """`send` sends a datagram to a peer."""
        self._send = send
        self._plugins: dict[int, Plugin] = {}  # by the first byte of their messages
        self._timers: dict[int, tuple[int, asyncio.TimerHandle]] = {}  # due time and timer handle, by first byte
        self._last_logged_ns = -FAILURE_LOG_INTERVAL_NS
        self._closed = False

    def add(self, plugin: Plugin) -> None:
        """Add a plugin; raises ValueError if another one has the same first byte or name."""
        if plugin.message_type in self._plugins or plugin.name in self.sections:
            raise ValueError(f"{plugin.name}: another plugin has the same first byte or name")
        self._plugins[plugin.message_type] = plugin
        self._send_and_schedule(plugin)

    @property
    def sections(self) -> dict[str, Plugin]:
        """The plugins by name."""
        return {plugin.name: plugin for plugin in self._plugins.values()}

    def section(self, name: str) -> Mapping[str, object] | None:
        """A plugin's section of the admin interface; None: there is no plugin of that name."""
        plugin = self.sections.get(name)
        return None if plugin is None else plugin.status(now_ns())

    def receive(self, sender: int, data: bytes) -> bool:
        """Deliver a peer's message to its plugin; returns False if it is for the decision module.

        A message that belongs to no plugin is ignored."""
        first = message_type_of(data)
        if first is None:
            return False
        plugin = self._plugins.get(first)
        if plugin is not None and not self._closed:
            self._run(plugin, lambda now: plugin.on_message(sender, data, now))
        return True

    def leave(self) -> None:
        """Tell the plugins that the process shuts down gracefully."""
        for plugin in self._plugins.values():
            self._run(plugin, plugin.shutdown)

    def close(self) -> None:
        """Stop sending, and cancel all timers."""
        self._closed = True
        for _, timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _run(self, plugin: Plugin, call: Callable[[int], None]) -> None:
        now = now_ns()
        try:
            call(now)
        except Exception:
            if now >= self._last_logged_ns + FAILURE_LOG_INTERVAL_NS:
                self._last_logged_ns = now
                log.exception("%s failed", plugin.name)
        self._send_and_schedule(plugin)

    def _send_and_schedule(self, plugin: Plugin) -> None:
        for peer, data in plugin.take_outgoing():
            self._send(data, peer)
        due, known = plugin.next_tick_ns, self._timers.get(plugin.message_type)
        if self._closed or (known is not None and known[0] == due):
            return
        if known is not None:
            known[1].cancel()
        # A due time that does not advance must not starve the event loop: wait at least 1 ms.
        at = max(due, now_ns() + SECOND // 1000)
        self._timers[plugin.message_type] = due, asyncio.get_running_loop().call_at(at / SECOND, self._tick, plugin)

    def _tick(self, plugin: Plugin) -> None:
        del self._timers[plugin.message_type]
        self._run(plugin, plugin.tick)
