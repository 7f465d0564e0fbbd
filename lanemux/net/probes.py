"""Probes of the load and health of upstreams, independent of requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanemux import interface as api
from lanemux.core.clock import now_ns
from lanemux.net.http import Message, load_report, write_request
from lanemux.net.upstream import Exchange, PoolManager

PROBE_TIMEOUT_S = 0.05
MAX_PROBES = 256  # in flight
RESERVE_DIVISOR = 8  # 1/8 of the connection slots is reserved for attempts, which take precedence over probes


class Probes:
    """The probes in flight; `feed` receives the result of each."""

    def __init__(self, pool_manager: PoolManager, path: bytes, feed: Callable[[api.ProbeResult], None]) -> None:
        self._pool_manager, self._path, self._feed = pool_manager, path, feed
        self._in_flight: dict[Exchange, None] = {}

    def __len__(self) -> int:
        return len(self._in_flight)

    def begin(self, upstream: int) -> None:
        """Probe this upstream; a probe that can't be started now counts as a failed connection."""
        pool, started_ns = self._pool_manager.pools.get(upstream), now_ns()
        if pool is None or len(self._in_flight) >= MAX_PROBES:
            self._feed(api.ProbeResult(upstream, api.Result.CONNECT_FAILED, 0))
            return

        def on_end(result: api.Result, response: Message | None) -> None:
            del self._in_flight[probe]
            report = None
            if response is not None:
                result = api.Result.OK if response.status == 200 else api.Result.FULL
                report = load_report(response.body)
            self._feed(api.ProbeResult(upstream, result, now_ns() - started_ns, report))

        host = "{}:{}".format(*pool.address).encode()
        request = write_request(b"GET", self._path, [(b"Host", host)])
        probe = Exchange(pool, request, on_end, self._pool_manager.capacity // RESERVE_DIVISOR)
        self._in_flight[probe] = None
        probe.start(asyncio.get_running_loop().time() + PROBE_TIMEOUT_S)

    def abandon(self) -> None:
        """Cancel all probes."""
        for probe in list(self._in_flight):
            probe.abandon()
        self._in_flight.clear()
