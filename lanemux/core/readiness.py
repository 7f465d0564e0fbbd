"""The readiness of this balancer for clients, as a state machine. No I/O and no clock.

READY --quiesce--> QUIESCING --(QUIESCE_S)--> QUIESCED
  ^                    |                         |
  +------- resume -----+---------- resume -------+
any --end--> ENDING, which is final
"""

from __future__ import annotations

from enum import Enum

# Both times count from the call of `quiesce`. Health checks come every 0.1 s, and new connections still arrive until
# 0.2 s after the first negative one.
QUIESCE_SETTLE_S = 0.6
QUIESCE_S = 1.8  # 4 s after the call, a connection with a request in the last 2 s must not be held any more


class Phase(Enum):
    """How clients are treated."""

    READY = "ready"
    QUIESCING = "sending away"  # still serves every request, and closes each connection with its response
    QUIESCED = "away"  # remaining clients are refused immediately
    ENDING = "ending"  # the process is shutting down: no way back


class Readiness:
    """The current phase and its allowed transitions."""

    def __init__(self) -> None:
        self.phase = Phase.READY

    def quiesce(self) -> bool:
        """Start to quiesce; False if already quiescing or quiesced, or if the process is shutting down."""
        if self.phase is not Phase.READY:
            return False
        self.phase = Phase.QUIESCING
        return True

    def finish_quiesce(self) -> bool:
        """End the grace period for clients on their way; False unless quiescing."""
        if self.phase is not Phase.QUIESCING:
            return False
        self.phase = Phase.QUIESCED
        return True

    def resume(self) -> bool:
        """Become ready again; False if already ready or shutting down."""
        if self.phase not in (Phase.QUIESCING, Phase.QUIESCED):
            return False
        self.phase = Phase.READY
        return True

    def end(self) -> None:
        """The process is shutting down."""
        self.phase = Phase.ENDING

    @property
    def accepting(self) -> bool:
        """Whether clients may connect and keep their connections."""
        return self.phase is Phase.READY
