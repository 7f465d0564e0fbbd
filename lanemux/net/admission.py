"""The seam for what bounds the clients' connections, where operators have that switched on."""

from __future__ import annotations

from typing import Protocol


class ConnectionAdmission(Protocol):
    """Who is let in when many connect at once, where operators have that bounded. A source is a host's address."""

    def begin_accepting(self, now: int) -> int:
        """Accepting begins: how many connections at the most before other work has its turn."""

    def end_accepting(self, accepted: int, now: int) -> None:
        """And ends, with so many accepted."""

    def opened(self, source: str, who: object) -> None:
        """A connection has come up; it is silent so far."""

    def became_active(self, source: str, who: object) -> None:
        """It is silent no longer."""

    def closed(self, source: str, who: object) -> None:
        """Its place is free."""

    def victim(self, source: str) -> object | None:
        """Who goes for one more of this source: a silent one of its own, if it holds its part of the places."""
