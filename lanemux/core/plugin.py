"""The seam for what plugs into a running balancer beside its requests. No I/O and no clock.

A plugin gets the peers' messages of its own first byte, ticks at the times it asks for, and a section of the operators'
second address. It is a state machine: what carries its messages and sets its timer is `net/plugin_host.py`, the virtual
clock or a model in tests.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from lanemux.core.peer_report import REPORT_FORMAT


class Plugin(Protocol):
    """One of them."""

    @property
    def name(self) -> str:
        """Of its section: `GET /admin/NAME`."""

    @property
    def message_type(self) -> int:
        """The first byte of its messages, which have no length that words have."""

    @property
    def next_tick_ns(self) -> int:
        """When it wants its next tick."""

    def on_message(self, sender: int, data: bytes, now: int) -> None:
        """A peer's message."""

    def tick(self, now: int) -> None:
        """Time has come to `now`: at `due_ns`, or later where the process stood still."""

    def take_outgoing(self) -> list[tuple[int, bytes]]:
        """What is to be sent since the last call: (peer, datagram)."""

    def shutdown(self, now: int) -> None:
        """The process ends in order."""

    def status(self, now: int) -> Mapping[str, object]:
        """For operators."""


def message_type_of(data: bytes) -> int | None:
    """Whose message this is; None for words between the decisions, and for nothing."""
    return data[0] if len(data) % REPORT_FORMAT.size else None
