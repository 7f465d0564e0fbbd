"""Is there a retry storm, for all and for each tenant? Constant work an event, constant memory a tenant. No I/O.

A storm is clients' retries that meet refusals: much fresh work alone is none, nor are retries that are served.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
FADE_NS = SECOND // 2  # counts fall to 1/e in this time: a storm is told within half a second, chance is not
LOOK_NS = SECOND // 10  # how often the phase is told; a storm of clients that retry at once doubles in that time
LEAST = 8.0  # requests in the faded counts below which nothing is told
ENTER, AGAIN = 0.25, 0.15  # share of retries among what comes that makes a storm, and makes one of an ebb
STAY = 0.10  # and below which a storm begins to ebb
UNSERVED = 0.15  # share of ends that are no answer, below which retries harm nobody
CALM_AFTER_NS = 3 * SECOND  # an ebb without a second wave


class Phase(Enum):
    """What the moment is."""

    CALM = "calm"
    STORM = "storm"
    EBB = "ebb"  # it was a storm a moment ago: a second wave is met sooner than a first one


@dataclass(slots=True)
class Gauge:
    """The counts of one tenant, or of all, and the phase that they tell.

    What passes is only counted; the counts fade when the phase is told: a request costs no power."""

    phase: Phase = Phase.CALM
    since_ns: int = 0
    # As they were at the last look; what is old weighs less.
    fresh: float = 0.0  # requests asked for the first time
    again: float = 0.0  # clients' retries
    served: float = 0.0
    unserved: float = 0.0  # refused, failed, or their client had gone
    # Since then.
    _fresh: int = 0
    _again: int = 0
    _served: int = 0
    _unserved: int = 0

    def arrived(self, retry: bool) -> None:
        if retry:
            self._again += 1
        else:
            self._fresh += 1

    def ended(self, served: bool) -> None:
        if served:
            self._served += 1
        else:
            self._unserved += 1

    @property
    def retries(self) -> float:
        """The share of retries in what comes; 0 of too little."""
        came = self.again + self.fresh
        return self.again / came if came >= LEAST else 0.0

    @property
    def unmet(self) -> float:
        """The share of ends that served nobody; 0 of too few."""
        ended = self.unserved + self.served
        return self.unserved / ended if ended >= LEAST else 0.0

    @property
    def rate(self) -> float:
        """Fresh requests a second."""
        return self.fresh * SECOND / FADE_NS

    def _fade(self, since_ns: int) -> None:
        # Whoever counts looks as soon as LOOK_NS have gone by, so the new ones came within so long of the last look.
        old = math.exp(-since_ns / FADE_NS)
        new = math.exp(-max(0, since_ns - LOOK_NS // 2) / FADE_NS)
        self.fresh = self.fresh * old + self._fresh * new
        self.again = self.again * old + self._again * new
        self.served = self.served * old + self._served * new
        self.unserved = self.unserved * old + self._unserved * new
        self._fresh = self._again = self._served = self._unserved = 0

    def look(self, now: int, since_ns: int) -> bool:
        """Tell the phase anew, so long after the last time; did it change?"""
        self._fade(since_ns)
        if self.phase is Phase.CALM and self.again < LEAST * ENTER:
            return False  # most looks end here
        was, retries, unmet = self.phase, self.retries, self.unmet
        if self.phase is Phase.STORM:
            if retries < STAY or unmet < STAY:
                self._turn(Phase.EBB, now)
        elif unmet >= UNSERVED and retries >= (ENTER if self.phase is Phase.CALM else AGAIN):
            self._turn(Phase.STORM, now)
        elif self.phase is Phase.EBB and now - self.since_ns >= CALM_AFTER_NS:
            self._turn(Phase.CALM, now)
        return self.phase is not was

    def _turn(self, phase: Phase, now: int) -> None:
        self.phase, self.since_ns = phase, now
