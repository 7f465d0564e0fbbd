"""When refused clients are to come back: evenly, at what can be borne beside fresh work. No I/O.

A calendar of slots offset counts who was told to come when. A refused client is given the first slot with room; what
priority less looks for one further out, so that the near ones stay free. In no slot are there more than are borne,
unless all up to the longest wait are full: then the wait is drawn evenly from all of them.
"""

from __future__ import annotations

import math
import random

SECOND = 1_000_000_000
SLOTS = 64  # of the calendar: the work to find one is bounded by it
FIRST = 2  # the first slot that is given: nobody is told to come at once
SPARE_LEAST = 0.25  # of what is borne is kept for returns, however much fresh work there is
BEHIND = 0.5  # of the full part of the calendar is passed over by what priority least


class Returns:
    """The calendar of one balancer."""

    def __init__(self, longest_ns: int, whole_seconds: bool, rng: random.Random) -> None:
        """`whole_seconds`: waits are told as RFC 9110 (10.2.3) has them, in whole seconds, 1 at the least."""
        self.longest_ns = max(SLOTS, longest_ns)
        self._slot_ns = self.longest_ns // SLOTS
        self._whole = whole_seconds
        self._rng = rng
        self._scheduled = [0.0] * SLOTS  # how many come back in each slot, around from that of now
        self._current_slot = 0  # the number of now's slot
        self.borne = math.inf  # returns a second

    def bear(self, capacity: float, fresh: float) -> None:
        """What can be served a second, and how much of it fresh work takes."""
        self.borne = max(SPARE_LEAST * capacity, capacity - fresh)

    def wait_ns(self, priority: float, now: int) -> int:
        """When one that is refused now is to come back, from now; `priority` from 0 (least) to 1."""
        self._advance(now)
        offset = self._find(priority)
        if offset is None:
            offset = FIRST + int(self._rng.random() * (SLOTS - FIRST))  # all are full: evenly over all
        self._scheduled[(self._current_slot + offset) % SLOTS] += 1
        wait = int((offset + self._rng.random()) * self._slot_ns)
        return self._rounded(wait)

    def _find(self, priority: float) -> int | None:
        room = self.borne * self._slot_ns / SECOND
        first = self._free(FIRST, room)
        if first is None:
            return None
        # Between slots of less than one return each, chance gives the fraction.
        return self._free(first + int(BEHIND * (1 - priority) * first), room) or first

    def _free(self, start: int, room: float) -> int | None:
        for offset in range(start, SLOTS):
            left = room - self._scheduled[(self._current_slot + offset) % SLOTS]
            if left >= 1 or (left > 0 and self._rng.random() < left):
                return offset
        return None

    def _advance(self, now: int) -> None:
        slot = now // self._slot_ns
        for passed in range(self._current_slot, min(slot, self._current_slot + SLOTS)):
            self._scheduled[passed % SLOTS] = 0.0
        self._current_slot = slot

    def _rounded(self, wait_ns: int) -> int:
        if not self._whole:
            return min(wait_ns, self.longest_ns)
        # The fraction is the chance of the next second: the mean stays, and clients refused together part.
        seconds = int(wait_ns / SECOND + self._rng.random())
        return max(1, min(seconds, self.longest_ns // SECOND)) * SECOND
