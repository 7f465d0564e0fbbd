"""Ordered sets of client connections that are in the same state."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanemux.net.client_connection import ClientConnection


class ConnectionTable:
    """Connections in the order in which they were added."""

    def __init__(self) -> None:
        self._members: dict[ClientConnection, None] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, client: ClientConnection) -> bool:
        return client in self._members

    def add(self, client: ClientConnection) -> None:
        """Add a connection at the end; one already present moves there."""
        self._members.pop(client, None)
        client.since = asyncio.get_running_loop().time()
        self._members[client] = None

    def discard(self, client: ClientConnection) -> None:
        """Remove a connection if it is present."""
        self._members.pop(client, None)

    def members(self) -> list[ClientConnection]:
        """A copy, oldest first."""
        return list(self._members)

    def older(self, age_s: float) -> Iterator[ClientConnection]:
        """The connections added at least `age_s` ago, oldest first."""
        until_s = asyncio.get_running_loop().time() - age_s
        return itertools.takewhile(lambda client: client.since <= until_s, self._members)

    def oldest(self, age_s: float = 0.0) -> ClientConnection | None:
        """The connection added first, if that was at least `age_s` ago."""
        client = next(iter(self._members), None)
        if client is None or asyncio.get_running_loop().time() - client.since < age_s:
            return None
        return client
