"""Whether clients are to come to this balancer. No I/O and no clock.

READY --quiesce--> QUIESCING --(QUIESCE_S)--> QUIESCED
  ^                     |                       |
  +------- resume ------+----------- resume ----+
any --end--> ENDING, for good
"""

from __future__ import annotations

from enum import Enum

QUIESCE_SETTLE_S = (
    0.6  # after the call: new connections come for 0.2 s behind the first no, which is asked for every 0.1 s
)
QUIESCE_S = 1.8  # after the call: 4 s after it, a connection with a request from the last 2 s must not be held


class Phase(Enum):
    """Whether clients are served, sent away, or refused."""

    READY = "ready"
    QUIESCING = "sending away"  # still serves all that comes, and ends each connection with its answer
    QUIESCED = "away"  # whoever is still there is refused at once
    ENDING = "ending"  # the process leaves: nothing brings it back


class Readiness:
    """The phase, and its legal changes."""

    def __init__(self) -> None:
        self.phase = Phase.READY

    def quiesce(self) -> bool:
        """Send clients away; False when that is so already or the process leaves."""
        if self.phase is not Phase.READY:
            return False
        self.phase = Phase.QUIESCING
        return True

    def finish_quiesce(self) -> bool:
        """The time for those who were on their way is over; False unless clients are being sent away."""
        if self.phase is not Phase.QUIESCING:
            return False
        self.phase = Phase.QUIESCED
        return True

    def resume(self) -> bool:
        """Back to work; False when it is at work, or leaves."""
        if self.phase not in (Phase.QUIESCING, Phase.QUIESCED):
            return False
        self.phase = Phase.READY
        return True

    def end(self) -> None:
        self.phase = Phase.ENDING

    @property
    def accepting(self) -> bool:
        """Are clients to come, and may they keep their connections?"""
        return self.phase is Phase.READY
