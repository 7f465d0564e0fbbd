"""The network between balancers: datagrams that come late or not at all.

Each balancer is reached at an address of the relay's, and what it sends comes out at the others' from there. What it
knows as its own is where it really listens.
"""

from __future__ import annotations

import asyncio
import random
from typing import cast

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.scenario import Network

MAX_DATAGRAM = 256  # bytes; a larger one is dropped, as the platform does
EVERYONE = -1
MAX_ON_WAY = 10_000  # datagrams in flight; more are lost


class Port(asyncio.DatagramProtocol):
    """One address: here all others reach `owner` (-1: everyone), and from it they hear of it."""

    def __init__(self, relay: Relay, owner: int) -> None:
        self._relay, self._owner = relay, owner
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        sender = self._relay.numbers.get(cast(Address, address[:2]))
        if sender is not None:
            self._relay.forward(sender, self._owner, data)

    def send(self, data: bytes, to: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, to)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class Relay:
    """All ports, and the loss and delay between them."""

    def __init__(self, network: Network, listens: list[Address], seed: int) -> None:
        self.listens = listens  # where each balancer hears datagrams, and sends them from
        self.numbers = {address: number for number, address in enumerate(listens)}
        self._network, self._rng = network, random.Random(f"{seed}/relay")
        self._ports: dict[int, Port] = {}
        self._on_way: dict[int, asyncio.TimerHandle] = {}
        self._count = 0
        self.sent_bytes = 0

    async def open(self, host: str) -> tuple[list[list[Address]], list[Address]]:
        """The addresses of its peers as each balancer sees them (its own among them), and that of all."""
        loop = asyncio.get_running_loop()
        addresses: dict[int, Address] = {}
        for owner in (*range(len(self.listens)), EVERYONE):
            port = self._ports[owner] = Port(self, owner)
            transport, _ = await loop.create_datagram_endpoint(lambda p=port: p, (host, 0))  # type: ignore[misc]
            addresses[owner] = transport.get_extra_info("sockname")
        peers = [
            [self.listens[owner] if other == owner else addresses[other] for other in range(len(self.listens))]
            for owner in range(len(self.listens))
        ]
        return peers, [addresses[EVERYONE]] * len(self.listens)

    def forward(self, sender: int, to: int, data: bytes) -> None:
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
            self._on_way[self._count] = loop.call_later(delay_s, self._deliver, self._count, sender, other, data)

    def _deliver(self, number: int, sender: int, to: int, data: bytes) -> None:
        del self._on_way[number]
        self._ports[sender].send(data, self.listens[to])

    def close(self) -> None:
        for handle in self._on_way.values():
            handle.cancel()
        for port in self._ports.values():
            port.close()
