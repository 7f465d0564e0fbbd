"""Clients' connections in the order in which they came to a state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanemux.net.client_connection import ClientConnection


class ConnectionTable:
    """Connections in the order in which they came to it."""

    def __init__(self) -> None:
        self._members: dict[ClientConnection, None] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, client: ClientConnection) -> bool:
        return client in self._members

    def add(self, client: ClientConnection) -> None:
        self._members.pop(client, None)
        client.since = asyncio.get_running_loop().time()
        self._members[client] = None

    def discard(self, client: ClientConnection) -> None:
        self._members.pop(client, None)

    def members(self) -> list[ClientConnection]:
        return list(self._members)

    def oldest(self, age_s: float = 0.0) -> ClientConnection | None:
        """The first that came, if it has been here for so long."""
        client = next(iter(self._members), None)
        if client is None or asyncio.get_running_loop().time() - client.since < age_s:
            return None
        return client
