"""The clients' side of a balancer's life cycle: readiness, sending clients away, and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging

from lanemux.core.readiness import QUIESCE_S, QUIESCE_SETTLE_S, Phase, Readiness
from lanemux.net.config import Config
from lanemux.net.server import Server

log = logging.getLogger(__name__)

LATE_ARRIVALS_S = 0.5  # new connections keep arriving for this long after SIGTERM
CLOSE_CHECK_S = 0.01  # interval of checks while connections remain to be accepted or read
READ_GRACE_S = 0.05  # time to read what accepted connections have already sent
FLUSH_CHECK_S = 0.01  # interval of checks for unsent responses
MIN_UNUSED_S = 0.7  # a connection idle for this long is rarely used: a request is unlikely to cross its closing
SEND_AWAY_CHECK_S = 0.05  # interval of closing idle connections while clients are being sent away
FORCED_CLOSE_MARGIN_S = 1.0  # this long before the end, requests that are due are no longer waited for


class Frontend:
    """Controls when clients are accepted and how they leave; `server` holds their connections."""

    def __init__(self, config: Config, server: Server) -> None:
        self._config, self.server = config, server
        self.readiness = Readiness()
        self._loop = asyncio.get_running_loop()
        self._not_ready_until_s = 0.0  # by the loop's clock
        self._send_away_task: asyncio.Task[None] | None = None

    @property
    def ready(self) -> bool:
        """Whether clients should connect to this balancer."""
        return self.readiness.accepting and self._loop.time() >= self._not_ready_until_s

    @property
    def refusing(self) -> bool:
        """Whether requests are refused at once."""
        return self.readiness.phase is Phase.QUIESCED

    def delay_readiness(self, for_s: float) -> None:
        """Report not ready for this long from now on, whatever the phase."""
        self._not_ready_until_s = self._loop.time() + for_s

    def open(self, delay_s: float) -> int:
        """Listen for clients, or after a delay accept from an inherited socket; returns the port."""
        if self._config.listen_fd is not None:
            return self.server.inherit(self._config.listen_fd, delay_s)
        return self.server.listen(*self._config.listen)

    def quiesce(self) -> None:
        """Send clients away: report not ready, close connections after their response, and close idle ones."""
        if self.readiness.quiesce():
            log.info("%s: sending clients away", self._config.name)
            self.server.draining = True
            self._send_away_task = self._loop.create_task(self._send_away())

    async def _send_away(self) -> None:
        started_s = self._loop.time()
        await asyncio.sleep(QUIESCE_SETTLE_S)
        while True:
            elapsed_s = self._loop.time() - started_s
            await self.server.close_unused(MIN_UNUSED_S if elapsed_s < QUIESCE_S - MIN_UNUSED_S else 0.0)
            if elapsed_s >= QUIESCE_S:
                self.readiness.finish_quiesce()
            await asyncio.sleep(SEND_AWAY_CHECK_S)

    def resume(self) -> bool:
        """Serve clients again after `quiesce`; False if the process is ending."""
        if self.readiness.resume():
            log.info("%s: back to work", self._config.name)
            self.server.draining = False
            self.stop()
        return self.readiness.accepting

    def stop(self) -> None:
        """Stop sending clients away."""
        if self._send_away_task is not None:
            self._send_away_task.cancel()
            self._send_away_task = None

    async def close_gracefully(self, end_s: float) -> None:
        """Shut down by `end_s` of the loop's clock: serve what still arrives, then stop accepting and close."""
        self.server.draining = True
        self.readiness.end()
        self.stop()
        if self._config.listen_fd is not None:
            await self._hand_over(end_s)
            return
        await asyncio.sleep(LATE_ARRIVALS_S)
        await self._accept_last(end_s - FORCED_CLOSE_MARGIN_S)
        self.server.stop_listening()
        await self._read_last(end_s - FORCED_CLOSE_MARGIN_S)

    async def _accept_last(self, until_s: float) -> None:
        """Accept until the backlog is empty; after a stall, or while accepting fails, one pass is not enough."""
        while not self.server.accept_backlog() and self._loop.time() < until_s:
            await asyncio.sleep(CLOSE_CHECK_S)

    async def _read_last(self, until_s: float) -> None:
        """Read the requests already sent on accepted connections, so that they are answered; close the idle ones."""
        await asyncio.sleep(READ_GRACE_S)
        while not self.server.close_idle(unread_too=False) and self._loop.time() < until_s:
            await asyncio.sleep(CLOSE_CHECK_S)
        self.server.close_idle(unread_too=True)

    async def _hand_over(self, end_s: float) -> None:
        """Another process serves the same listener and accepts its backlog. Connections here are closed gradually,
        since a request that crosses the closing of its connection has to be sent again."""
        self.server.stop_listening()
        await asyncio.sleep(READ_GRACE_S)
        while self.server.possible_request_count and self._loop.time() < end_s - FORCED_CLOSE_MARGIN_S:
            await self.server.close_unused(MIN_UNUSED_S)
            await asyncio.sleep(SEND_AWAY_CHECK_S)
        self.server.close_idle(unread_too=True)

    async def flush(self, end_s: float) -> None:
        """Wait until all responses are written: a large one is complete only with its last byte."""
        while self.server.flushing and self._loop.time() < end_s:
            await asyncio.sleep(FLUSH_CHECK_S)
