"""How far an exchange with an upstream has come, for the log and the counters."""

from __future__ import annotations

from enum import StrEnum


class ExchangePhase(StrEnum):
    """What the exchange is waiting for."""

    CONNECTING = "connecting"
    WRITING = "writing the request"
    WAITING = "waiting for a response"
    RECEIVING = "receiving a response"
    STREAMING = "streaming a response"

    @property
    def has_begun_response(self) -> bool:
        """True if part of a response has come."""
        return self in (ExchangePhase.RECEIVING, ExchangePhase.STREAMING)
