"""UDP datagrams between the balancers of a group."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from lanemux.core.address import Address

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 256


class Peers(asyncio.DatagramProtocol):
    """Sends datagrams to peers by number, and passes on those received from peers' addresses."""

    def __init__(
        self,
        peers: Sequence[Address],
        broadcast_address: Address | None,
        me: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self._peers = peers
        self._numbers = {address: i for i, address in enumerate(peers) if i != me}
        self._broadcast_address = broadcast_address
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        sender = self._numbers.get(cast(Address, address[:2]))
        if sender is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._on_message(sender, data)

    def error_received(self, error: Exception) -> None:
        log.info("peers: %s", error)

    def send(self, data: bytes, peer: int) -> None:
        """Send to one peer, or to all (-1). Messages may be lost; one that can't be sent is dropped silently."""
        address = self._broadcast_address if peer < 0 else self._peers[peer] if peer < len(self._peers) else None
        if self._transport is not None and address is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
