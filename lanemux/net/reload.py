"""New configurations in service (SIGHUP)."""

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


class Lists:
    """Where the list comes from, as the operators' file says it now."""

    def __init__(self, read: Callable[[], SourceFactory | None]) -> None:
        """`read` gives the source that the file names, the same object or an equal one while it names the same; it
        raises ValueError for a file that can't be used."""
        self._read = read
        self.now = read()

    def reload(self, node: Node) -> None:
        """Take up the file as it is now; a bad one changes nothing."""
        try:
            new = self._read()
        except ValueError as error:
            log.warning("reload: %s; the old operators' file stays", error)
            return
        if new != self.now:
            log.info("reload: the list is to come from another source")
            self.now = new
            node.upstream_set.replace_source(new)


class Reloader:
    """Takes up a new configuration as far as that goes without a restart; a bad one changes nothing."""

    def __init__(self, path: str, old: Config, node: Node, lists: Lists | None, system: System) -> None:
        self._path = path
        self._old = old
        self._node = node
        self._lists = lists
        self._system = system
        self._retry: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the files now; one that can't be read for a moment is read again later."""
        if self._node.stopping:
            return
        if self._lists is not None:
            self._lists.reload(self._node)
        self._try(Backoff())

    def stop(self) -> None:
        """Nothing is read any more."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _try(self, backoff: Backoff) -> None:
        self.stop()  # of several reloads in a row the last one counts
        try:
            new = read_config(self._path, self._system)
        except BadConfig as error:
            if isinstance(error, TransientError) and backoff.paused_s < error.retry_for_s:
                self._retry = asyncio.get_running_loop().call_later(backoff.next_s(), self._try, backoff)
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
                log.warning("%s: reload: another %s needs a restart", self._old.name, name)
        self._node.upstream_set.move_discovery(new.discovery)
