"""Reloads the configuration of a running balancer (SIGHUP)."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lanemux.core.failures import Backoff, TransientError
from lanemux.core.source import SourceFactory
from lanemux.core.system import System
from lanemux.net.config import BadConfig, Config, read_config
from lanemux.net.node import Node

log = logging.getLogger(__name__)

NEEDS_RESTART = ("name", "listen", "sockets", "cores", "settings", "peer_listen", "peers", "peers_all")


class ListSourceSetting:
    """The list source that the operators' file currently names."""

    def __init__(self, read: Callable[[], SourceFactory | None]) -> None:
        """`read` returns the source that the file names, and an equal object as long as the file names the same source;
        it raises ValueError for an unusable file."""
        self._read = read
        self.current = read()

    def reload(self, node: Node) -> None:
        """Read the file again and switch the source if it names another; an unusable file changes nothing."""
        try:
            new = self._read()
        except ValueError as error:
            log.warning("reload: %s; the old operators' file stays in effect", error)
            return
        if new != self.current:
            log.info("reload: switching to another list source")
            self.current = new
            node.upstream_set.replace_source(new)


class Reloader:
    """Applies a new configuration as far as possible without a restart; an unusable one changes nothing."""

    def __init__(
        self, path: str, old: Config, node: Node, list_source: ListSourceSetting | None, system: System
    ) -> None:
        self._path = path
        self._old = old
        self._node = node
        self._list_source = list_source
        self._system = system
        self._retry: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the files now; a configuration that can't be read for a moment is retried."""
        if self._node.stopping:
            return
        if self._list_source is not None:
            self._list_source.reload(self._node)
        self._read_or_retry(Backoff())

    def stop(self) -> None:
        """Cancel the pending retry."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _read_or_retry(self, backoff: Backoff) -> None:
        self.stop()  # of several reloads in a row only the last takes effect
        try:
            new = read_config(self._path, self._system)
        except BadConfig as error:
            if isinstance(error, TransientError) and backoff.paused_s < error.retry_for_s:
                self._retry = asyncio.get_running_loop().call_later(backoff.next_s(), self._read_or_retry, backoff)
                return
            log.warning("%s: reload: %s; the old configuration stays", self._old.name, error)
            self._node.tally.reloads_refused += 1
            return
        self._apply(new)

    def _apply(self, new: Config) -> None:
        self._node.tally.reloads += 1
        log.info("%s: reload: discovery at %s:%d", self._old.name, *new.discovery)
        for name in NEEDS_RESTART:
            if getattr(new, name) != getattr(self._old, name):
                log.warning("%s: reload: a change of %s needs a restart", self._old.name, name)
        self._node.upstream_set.move_discovery(new.discovery)
