"""The simulated network between balancers: a UDP relay that delays and drops datagrams.

Each balancer knows its peers by addresses of the relay, and a datagram from it reaches a peer from the address that the
relay has for the sender. The address that a balancer knows as its own is the one it really listens on.
"""

from __future__ import annotations

import asyncio
import random
from typing import cast

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.scenario import Network

MAX_DATAGRAM = 256  # bytes; larger ones are dropped, as on the platform
BROADCAST = -1
MAX_IN_FLIGHT = 10_000  # datagrams; further ones are dropped


class RelayPort(asyncio.DatagramProtocol):
    """One address of the relay: others send to `owner` (-1: all) through it, and receive from `owner` from it."""

    def __init__(self, relay: Relay, owner: int) -> None:
        self._relay, self._owner = relay, owner
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        sender = self._relay.numbers_by_address.get(cast(Address, address[:2]))
        if sender is not None:
            self._relay.forward(sender, self._owner, data)

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram from this address."""
        if self._transport is not None:
            self._transport.sendto(data, to)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class Relay:
    """All relay ports, with the loss and delay between them."""

    def __init__(self, network: Network, listen_addresses: list[Address], seed: int) -> None:
        self.listen_addresses = listen_addresses  # where each balancer receives datagrams, and sends them from
        self.numbers_by_address = {address: number for number, address in enumerate(listen_addresses)}
        self._network, self._rng = network, random.Random(f"{seed}/relay")
        self._ports: dict[int, RelayPort] = {}
        self._in_flight: dict[int, asyncio.TimerHandle] = {}
        self._last_id = 0
        self.sent_bytes = 0

    async def open(self, host: str) -> tuple[list[list[Address]], list[Address]]:
        """Open the ports; returns, by balancer, the addresses of all (its own included) and the broadcast address."""
        loop = asyncio.get_running_loop()
        addresses: dict[int, Address] = {}
        for owner in (*range(len(self.listen_addresses)), BROADCAST):
            port = self._ports[owner] = RelayPort(self, owner)
            transport, _ = await loop.create_datagram_endpoint(lambda p=port: p, (host, 0))  # type: ignore[misc]
            addresses[owner] = transport.get_extra_info("sockname")
        peers = [
            [
                self.listen_addresses[owner] if other == owner else addresses[other]
                for other in range(len(self.listen_addresses))
            ]
            for owner in range(len(self.listen_addresses))
        ]
        return peers, [addresses[BROADCAST]] * len(self.listen_addresses)

    def forward(self, sender: int, to: int, data: bytes) -> None:
        """Deliver to one balancer, or to all others (-1); each copy is delayed or lost independently."""
        if len(data) > MAX_DATAGRAM:
            return
        loop = asyncio.get_running_loop()
        for other in range(len(self.listen_addresses)) if to < 0 else (to,):
            if other == sender or self._rng.random() < self._network.peer_loss or len(self._in_flight) >= MAX_IN_FLIGHT:
                continue
            self.sent_bytes += len(data)
            delay_s = self._rng.uniform(*self._network.peer_ms) / 1000
            self._last_id += 1
            self._in_flight[self._last_id] = loop.call_later(delay_s, self._deliver, self._last_id, sender, other, data)

    def _deliver(self, number: int, sender: int, to: int, data: bytes) -> None:
        del self._in_flight[number]
        self._ports[sender].send(data, self.listen_addresses[to])

    def close(self) -> None:
        """Drop the datagrams in flight and close all ports."""
        for handle in self._in_flight.values():
            handle.cancel()
        for port in self._ports.values():
            port.close()
