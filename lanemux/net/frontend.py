"""The front: whether clients are to come, how they are sent away, and how the last ones leave."""

from __future__ import annotations

import asyncio
import logging

from lanemux.core.readiness import QUIESCE_S, QUIESCE_SETTLE_S, Phase, Readiness
from lanemux.net.config import Config
from lanemux.net.server import Server

log = logging.getLogger(__name__)

LATE_ARRIVALS_S = 0.5  # after SIGTERM, new connections go on coming for so long
LAST_LOOK_S = 0.01  # while connections can't be accepted or read by then
LAST_READ_S = 0.05  # for what those have sent already
FLUSH_LOOK_S = 0.01
UNUSED_S = 0.7  # a connection idle for so long is seldom used: a request hardly crosses its closing
EASE_LOOK_S = 0.05  # how often it is looked for connections that have become idle, where clients are sent away
HASTE_S = 1.0  # before that, who owes a request is waited for no longer


class Frontend:
    """The clients' side of a balancer's life; `server` holds their connections."""

    def __init__(self, config: Config, server: Server) -> None:
        self._config, self.server = config, server
        self.readiness = Readiness()
        self._loop = asyncio.get_running_loop()
        self._rested_s = 0.0  # not ready before, by the loop's clock
        self._easing: asyncio.Task[None] | None = None  # sends clients away

    @property
    def ready(self) -> bool:
        """Are clients to come?"""
        return self.readiness.accepting and self._loop.time() >= self._rested_s

    @property
    def away(self) -> bool:
        """Is whoever still comes refused at once?"""
        return self.readiness.phase is Phase.QUIESCED

    def rest(self, for_s: float) -> None:
        """Not ready for so long from now on, whatever else."""
        self._rested_s = self._loop.time() + for_s

    def open(self, rest_s: float) -> int:
        """Let clients in; gives the port."""
        if self._config.listen_fd is not None:
            return self.server.inherit(self._config.listen_fd, rest_s)
        return self.server.listen(*self._config.listen)

    def quiesce(self) -> None:
        """Send clients away: answers end their connections, idle ones are closed, and nobody new is to come."""
        if self.readiness.quiesce():
            log.info("%s: sending clients away", self._config.name)
            self.server.draining = True
            self._easing = self._loop.create_task(self._send_away())

    async def _send_away(self) -> None:
        begun = self._loop.time()
        await asyncio.sleep(QUIESCE_SETTLE_S)
        while True:
            gone_s = self._loop.time() - begun
            await self.server.close_unused(UNUSED_S if gone_s < QUIESCE_S - UNUSED_S else 0.0)
            if gone_s >= QUIESCE_S:
                self.readiness.finish_quiesce()
            await asyncio.sleep(EASE_LOOK_S)

    def resume(self) -> bool:
        """Back to work; False for a process that ends."""
        if self.readiness.resume():
            log.info("%s: back to work", self._config.name)
            self.server.draining = False
            self.stop()
        return self.readiness.accepting

    def stop(self) -> None:
        """Clients are sent away no longer."""
        if self._easing is not None:
            self._easing.cancel()
            self._easing = None

    async def close_in_order(self, end_s: float) -> None:
        """The process leaves, by `end_s` of the loop's clock: take what still comes, then nobody any more."""
        self.server.draining = True
        self.readiness.end()
        self.stop()
        if self._config.listen_fd is not None:
            await self._hand_over(end_s)
            return
        await asyncio.sleep(LATE_ARRIVALS_S)
        await self._accept_last(end_s - HASTE_S)
        self.server.stop_listening()
        await self._read_last(end_s - HASTE_S)

    async def _accept_last(self, latest_s: float) -> None:
        """After a standstill, or while accepting fails, more may wait than one turn accepts."""
        while not self.server.accept_last() and self._loop.time() < latest_s:
            await asyncio.sleep(LAST_LOOK_S)

    async def _read_last(self, latest_s: float) -> None:
        """A request that lies in an accepted connection has been taken: it is read, and then answered."""
        await asyncio.sleep(LAST_READ_S)
        while not self.server.close_idle(unread_too=False) and self._loop.time() < latest_s:
            await asyncio.sleep(LAST_LOOK_S)
        self.server.close_idle(unread_too=True)

    async def _hand_over(self, end_s: float) -> None:
        """Another process serves the same listener: what waits there is its own. Who is here is let go without haste,
        since a request that crosses the closing of its connection has to be asked again."""
        self.server.stop_listening()
        await asyncio.sleep(LAST_READ_S)
        while self.server.waited_for and self._loop.time() < end_s - HASTE_S:
            await self.server.close_unused(UNUSED_S)
            await asyncio.sleep(EASE_LOOK_S)
        self.server.close_idle(unread_too=True)

    async def flush(self, end_s: float) -> None:
        """A large answer is whole only when its last byte is out."""
        while self.server.flushing and self._loop.time() < end_s:
            await asyncio.sleep(FLUSH_LOOK_S)
