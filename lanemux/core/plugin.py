"""The interface of plugins, which run in a balancer beside its requests. No I/O and no clock.

A plugin receives the peer messages that start with its message type byte, is ticked at the times that it requests, and
has a section on the admin address. It is a state machine: `net/plugin_host.py`, the virtual clock or a test model
transports its messages and sets its timer.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from lanemux.core.peer_report import REPORT_FORMAT


class Plugin(Protocol):
    """A plugin."""

    @property
    def name(self) -> str:
        """Name of its admin section: `GET /admin/NAME`."""

    @property
    def message_type(self) -> int:
        """The first byte of its messages, whose length must not be a multiple of a peer report's."""

    @property
    def next_tick_ns(self) -> int:
        """When it requests its next tick."""

    def on_message(self, sender: int, data: bytes, now: int) -> None:
        """Handle a message from a peer."""

    def tick(self, now: int) -> None:
        """Called at `next_tick_ns`, or later if the process was stalled."""

    def take_outgoing(self) -> list[tuple[int, bytes]]:
        """Messages to send that were produced since the last call: (peer, datagram)."""

    def shutdown(self, now: int) -> None:
        """The process is shutting down in an orderly way."""

    def status(self, now: int) -> Mapping[str, object]:
        """Content of the admin section."""


def message_type_of(data: bytes) -> int | None:
    """The message type of a datagram; None for peer reports of the decision modules, and for an empty datagram."""
    return data[0] if len(data) % REPORT_FORMAT.size else None
