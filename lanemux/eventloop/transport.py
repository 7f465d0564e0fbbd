"""A transport that is freed as soon as its connection is closed."""

from __future__ import annotations

from asyncio import selector_events
from typing import Any


def _ignore_readable() -> None:
    """The connection is closed."""


class StreamTransport(selector_events._SelectorSocketTransport):  # type: ignore[misc,name-defined]
    """asyncio's transport without its reference to itself.

    asyncio keeps the bound method that reads in an attribute: only the cyclic garbage collector would free a closed
    transport with its socket and buffer."""

    def _call_connection_lost(self, error: Any) -> None:
        super()._call_connection_lost(error)
        self._read_ready_cb = _ignore_readable
