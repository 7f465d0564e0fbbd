"""Detects retry storms, for all tenants or one. Constant work per event, constant memory per tenant. No I/O.

A storm is clients' retries that are refused: neither many new requests alone nor retries that are served are a storm.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
DECAY_NS = SECOND // 2  # time constant of the counts (1/e): detects a storm in half a second, but not fluctuation
UPDATE_INTERVAL_NS = SECOND // 10  # between two updates of the phase; a storm of immediate retries doubles in that time
MIN_REQUESTS = 8.0  # in the decayed counts, for a share to be meaningful
STORM_RETRY_SHARE, SECOND_WAVE_RETRY_SHARE = 0.25, 0.15  # of arrivals: starts a storm when calm, when subsiding
EXIT_SHARE = 0.10  # share of retries or of unserved requests below which a storm subsides
STORM_UNSERVED_SHARE = 0.15  # share of unserved requests below which retries do no harm
CALM_AFTER_NS = 3 * SECOND  # time in the subsiding phase without a second wave


class Phase(Enum):
    """The state of the detector."""

    CALM = "calm"
    STORM = "storm"
    SUBSIDING = "ebb"  # after a storm: a second wave is detected at a lower share than a first one


@dataclass(slots=True)
class StormDetector:
    """Counts the requests of one tenant, or of all, and derives the phase from them.

    Requests are only counted; the counts decay when the phase is updated, so no request costs an exponential."""

    phase: Phase = Phase.CALM
    phase_since_ns: int = 0
    # Exponentially decayed counts as of the last update.
    new_requests: float = 0.0
    retries: float = 0.0  # clients' retries
    served: float = 0.0
    unserved: float = 0.0  # refused, failed, or abandoned by their client
    # Counts since the last update.
    _added_new_requests: int = 0
    _added_retries: int = 0
    _added_served: int = 0
    _added_unserved: int = 0

    def record_arrival(self, retry: bool) -> None:
        """Count a request from a client."""
        if retry:
            self._added_retries += 1
        else:
            self._added_new_requests += 1

    def record_end(self, served: bool) -> None:
        """Count the end of a request."""
        if served:
            self._added_served += 1
        else:
            self._added_unserved += 1

    @property
    def retry_share(self) -> float:
        """The share of retries among arrivals; 0 if there are too few arrivals."""
        arrived = self.retries + self.new_requests
        return self.retries / arrived if arrived >= MIN_REQUESTS else 0.0

    @property
    def unserved_share(self) -> float:
        """The share of unserved requests among the ended ones; 0 if too few have ended."""
        ended = self.unserved + self.served
        return self.unserved / ended if ended >= MIN_REQUESTS else 0.0

    @property
    def new_requests_per_s(self) -> float:
        """New requests per second, without retries."""
        return self.new_requests * SECOND / DECAY_NS

    def _decay(self, since_ns: int) -> None:
        # update() is called as soon as UPDATE_INTERVAL_NS have passed, so the new ones arrived within that interval.
        old_weight = math.exp(-since_ns / DECAY_NS)
        new_weight = math.exp(-max(0, since_ns - UPDATE_INTERVAL_NS // 2) / DECAY_NS)
        self.new_requests = self.new_requests * old_weight + self._added_new_requests * new_weight
        self.retries = self.retries * old_weight + self._added_retries * new_weight
        self.served = self.served * old_weight + self._added_served * new_weight
        self.unserved = self.unserved * old_weight + self._added_unserved * new_weight
        self._added_new_requests = self._added_retries = self._added_served = self._added_unserved = 0

    def update(self, now: int, since_ns: int) -> bool:
        """Update the phase, `since_ns` after the last update; return whether it changed."""
        self._decay(since_ns)
        if self.phase is Phase.CALM and self.retries < MIN_REQUESTS * STORM_RETRY_SHARE:
            return False  # most updates end here
        before, retry_share, unserved_share = self.phase, self.retry_share, self.unserved_share
        if self.phase is Phase.STORM:
            if retry_share < EXIT_SHARE or unserved_share < EXIT_SHARE:
                self._set_phase(Phase.SUBSIDING, now)
        elif unserved_share >= STORM_UNSERVED_SHARE and retry_share >= (
            STORM_RETRY_SHARE if self.phase is Phase.CALM else SECOND_WAVE_RETRY_SHARE
        ):
            self._set_phase(Phase.STORM, now)
        elif self.phase is Phase.SUBSIDING and now - self.phase_since_ns >= CALM_AFTER_NS:
            self._set_phase(Phase.CALM, now)
        return self.phase is not before

    def _set_phase(self, phase: Phase, now: int) -> None:
        self.phase, self.phase_since_ns = phase, now
