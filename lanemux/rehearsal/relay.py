"""The network between balancers: datagrams that come late or not at all.

Each balancer sees the others under addresses of its own. What one sends to such an address comes out at the
other's, from the address under which that one knows the sender.
"""

from __future__ import annotations

import asyncio
import random
from typing import cast

from lanemux.rehearsal.boxes import Address
from lanemux.rehearsal.scenario import Network

MAX_DATAGRAM = 256  # bytes; a larger one is dropped, as the platform does
MAX_ON_WAY = 10_000  # datagrams in flight; more are lost


class Port(asyncio.DatagramProtocol):
    """One address: here `owner` reaches `other` (-1: all), and hears from it."""

    def __init__(self, relay: Relay, owner: int, other: int) -> None:
        self._relay, self._owner, self._other = relay, owner, other
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        if cast(Address, address[:2]) == self._relay.listens[self._owner]:
            self._relay.carry(self._owner, self._other, data)

    def send(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(data, self._relay.listens[self._owner])

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class Relay:
    """All ports, and the loss and delay between them."""

    def __init__(self, network: Network, listens: list[Address], seed: int) -> None:
        self.listens = listens  # where each balancer hears datagrams
        self._network, self._rng = network, random.Random(f"{seed}/relay")
        self._ports: dict[tuple[int, int], Port] = {}
        self._on_way: dict[int, asyncio.TimerHandle] = {}
        self._count = 0
        self.sent_bytes = 0

    async def open(self, host: str) -> tuple[list[list[Address]], list[Address]]:
        """The addresses of its peers as each balancer sees them (its own among them), and that of all."""
        loop = asyncio.get_running_loop()
        count = len(self.listens)
        peers: list[list[Address]] = []
        everyone: list[Address] = []
        for owner in range(count):
            row: list[Address] = []
            for other in (*range(count), -1):
                if other == owner:
                    row.append(self.listens[owner])
                    continue
                port = Port(self, owner, other)
                transport, _ = await loop.create_datagram_endpoint(lambda p=port: p, (host, 0))  # type: ignore[misc]
                self._ports[owner, other] = port
                (row if other >= 0 else everyone).append(transport.get_extra_info("sockname"))
            peers.append(row)
        return peers, everyone

    def carry(self, sender: int, to: int, data: bytes) -> None:
        """Deliver to one, or to all others: each copy is late or lost by itself."""
        if len(data) > MAX_DATAGRAM:
            return
        loop = asyncio.get_running_loop()
        for other in range(len(self.listens)) if to < 0 else (to,):
            if other == sender or self._rng.random() < self._network.peer_loss or len(self._on_way) >= MAX_ON_WAY:
                continue
            self.sent_bytes += len(data)
            delay_s = self._rng.uniform(*self._network.peer_ms) / 1000
            self._count += 1
            self._on_way[self._count] = loop.call_later(
                delay_s, self._deliver, self._count, self._ports[other, sender], data
            )

    def _deliver(self, number: int, port: Port, data: bytes) -> None:
        del self._on_way[number]
        port.send(data)

    def close(self) -> None:
        for handle in self._on_way.values():
            handle.cancel()
        for port in self._ports.values():
            port.close()
