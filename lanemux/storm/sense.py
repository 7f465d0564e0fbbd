"""Is there a retry storm, for all and for each tenant? Constant work an event, constant memory a tenant. No I/O.

A storm is clients' retries that meet refusals: much fresh work alone is none, nor are retries that are served.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000_000
FADE_NS = SECOND // 2  # counts fall to 1/e in this time: a storm is told within half a second, chance is not
STEP_NS = FADE_NS // 50  # within so long a count does not fade: 2% at most, and most requests cost no power
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
class Faded:
    """A count in which what is old weighs less: 1/e after FADE_NS."""

    value: float = 0.0
    at_ns: int = 0

    def add(self, amount: float, now: int) -> None:
        if now - self.at_ns > STEP_NS:
            self.value = self.now(now)
            self.at_ns = now
        self.value += amount

    def now(self, now: int) -> float:
        """The count as it is by now."""
        return self.value * math.exp((self.at_ns - now) / FADE_NS) if now > self.at_ns else self.value


@dataclass(slots=True)
class Gauge:
    """The counts of one tenant, or of all, and the phase that they tell."""

    phase: Phase = Phase.CALM
    since_ns: int = 0
    fresh: Faded = field(default_factory=Faded)  # requests asked for the first time
    again: Faded = field(default_factory=Faded)  # clients' retries
    served: Faded = field(default_factory=Faded)
    unserved: Faded = field(default_factory=Faded)  # refused, failed, or their client had gone

    def arrived(self, retry: bool, now: int) -> None:
        (self.again if retry else self.fresh).add(1, now)

    def ended(self, served: bool, now: int) -> None:
        (self.served if served else self.unserved).add(1, now)

    def retries(self, now: int) -> float:
        """The share of retries in what comes; 0 of too little."""
        again = self.again.now(now)
        came = again + self.fresh.now(now)
        return again / came if came >= LEAST else 0.0

    def unmet(self, now: int) -> float:
        """The share of ends that served nobody; 0 of too few."""
        lost = self.unserved.now(now)
        ended = lost + self.served.now(now)
        return lost / ended if ended >= LEAST else 0.0

    def rate(self, now: int) -> float:
        """Fresh requests a second."""
        return self.fresh.now(now) * SECOND / FADE_NS

    def look(self, now: int) -> bool:
        """Tell the phase anew; did it change?"""
        if self.phase is Phase.CALM and self.again.value < LEAST * ENTER:
            return False  # too few retries, faded or not: most looks end here
        was, retries, unmet = self.phase, self.retries(now), self.unmet(now)
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
