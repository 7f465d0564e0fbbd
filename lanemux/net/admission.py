"""Interface of the admission control for client connections, which operators can switch on."""

from __future__ import annotations

from typing import Protocol


class ConnectionAdmission(Protocol):
    """Decides which connections are kept when many clients connect at once. A source is a client host's address."""

    def begin_accepting(self, now: int) -> int:
        """Accepting begins; returns how many connections to accept at most before other work gets its turn."""

    def end_accepting(self, accepted: int, now: int) -> None:
        """Accepting ends, with `accepted` new connections."""

    def opened(self, source: str, connection: object) -> None:
        """A connection was opened; the client has sent nothing yet."""

    def became_active(self, source: str, connection: object) -> None:
        """The client has sent its first data."""

    def closed(self, source: str, connection: object) -> None:
        """The connection is closed, which frees its slot."""

    def victim(self, source: str) -> object | None:
        """The connection to close in favour of a new one from this source, or None.

        It is a silent one of the same source, if that source holds its share of the slots."""
