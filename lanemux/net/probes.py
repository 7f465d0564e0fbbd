"""Probes of upstreams' load and health, beside the attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanemux import interface as api
from lanemux.core.clock import now_ns
from lanemux.net.http import Message, load_report, write_request
from lanemux.net.upstream import Exchange, PoolManager

PROBE_TIMEOUT_S = 0.05
MAX_PROBES = 256  # out at once
PROBE_SPARE = 8  # one in so many places for connections is none for a probe: attempts come first


class Probes:
    """The probes that are out; `feed` takes what each came to."""

    def __init__(self, hub: PoolManager, path: bytes, feed: Callable[[api.ProbeResult], None]) -> None:
        self._hub, self._path, self._feed = hub, path, feed
        self._out: dict[Exchange, None] = {}

    def __len__(self) -> int:
        return len(self._out)

    def begin(self, upstream: int) -> None:
        """Ask this upstream; one that can't be asked now counts as one that could not be connected to."""
        pool, begun_ns = self._hub.pools.get(upstream), now_ns()
        if pool is None or len(self._out) >= MAX_PROBES:
            self._feed(api.ProbeResult(upstream, api.Result.CONNECT_FAILED, 0))
            return

        def ended(result: api.Result, response: Message | None) -> None:
            del self._out[probe]
            report = None
            if response is not None:
                result = api.Result.OK if response.status == 200 else api.Result.FULL
                report = load_report(response.body)
            self._feed(api.ProbeResult(upstream, result, now_ns() - begun_ns, report))

        host = "{}:{}".format(*pool.address).encode()
        request = write_request(b"GET", self._path, [(b"Host", host)])
        probe = Exchange(pool, request, ended, self._hub.capacity // PROBE_SPARE)
        self._out[probe] = None
        probe.start(asyncio.get_running_loop().time() + PROBE_TIMEOUT_S)

    def abandon(self) -> None:
        """Wait for none of them any more."""
        for probe in list(self._out):
            probe.abandon()
        self._out.clear()
