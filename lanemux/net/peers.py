"""Short messages between balancers, over UDP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from lanemux.core.address import Address

log = logging.getLogger(__name__)

MAX_MESSAGE = 256


class Peers(asyncio.DatagramProtocol):
    """Sends to peers by number, and hands on what comes from their addresses."""

    def __init__(
        self, peers: Sequence[Address], everyone: Address | None, me: int, heard: Callable[[int, bytes], None]
    ) -> None:
        self._peers = peers
        self._numbers = {address: i for i, address in enumerate(peers) if i != me}
        self._everyone = everyone
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        sender = self._numbers.get(cast(Address, address[:2]))
        if sender is not None and len(data) <= MAX_MESSAGE:
            self._heard(sender, data)

    def error_received(self, error: Exception) -> None:
        log.info("peers: %s", error)

    def tell(self, data: bytes, peer: int) -> None:
        """To one peer, or to all (-1). Messages may be lost: nothing is said of one that can't be sent."""
        address = self._everyone if peer < 0 else self._peers[peer] if peer < len(self._peers) else None
        if self._transport is not None and address is not None and len(data) <= MAX_MESSAGE:
            self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
