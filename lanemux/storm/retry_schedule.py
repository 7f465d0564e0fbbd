"""Chooses Retry-After times of refused requests: spread evenly, at the rate that new requests leave free. No I/O.

The schedule counts the retries assigned to each future time slot. A refused client gets the first slot with free
capacity; requests of low priority start the search further out, which keeps the near slots free. No slot gets more
retries than can be served, unless all slots up to the longest wait are full: then the wait is drawn uniformly.
"""

from __future__ import annotations

import math
import random

SECOND = 1_000_000_000
SLOTS = 64  # in the schedule; bounds the work to find one
FIRST_SLOT = 2  # first slot assigned; no client is told to retry at once
MIN_RETRY_SHARE = 0.25  # of the capacity that is reserved for retries, however many new requests there are
MAX_SKIPPED_SHARE = 0.5  # share of the full slots by which the lowest priority starts later


class RetrySchedule:
    """The retry schedule of one balancer."""

    def __init__(self, max_wait_ns: int, whole_seconds: bool, rng: random.Random) -> None:
        """`whole_seconds`: waits are whole seconds, at least 1, as RFC 9110 (10.2.3) defines Retry-After."""
        self.max_wait_ns = max(SLOTS, max_wait_ns)
        self._slot_ns = self.max_wait_ns // SLOTS
        self._whole_seconds = whole_seconds
        self._rng = rng
        self._scheduled = [0.0] * SLOTS  # retries per slot, a ring buffer indexed by slot number
        self._current_slot = 0  # number of the slot that contains now
        self.retries_per_s = math.inf  # capacity for retries

    def set_load(self, capacity_per_s: float, new_per_s: float) -> None:
        """Set the requests that can be served per second, and the new ones that arrive per second."""
        self.retries_per_s = max(MIN_RETRY_SHARE * capacity_per_s, capacity_per_s - new_per_s)

    def wait_ns(self, priority: float, now: int) -> int:
        """Schedule the retry of a request refused now and return its wait; `priority` is from 0 (lowest) to 1."""
        self._advance(now)
        offset = self._find_slot(priority)
        if offset is None:
            offset = FIRST_SLOT + int(self._rng.random() * (SLOTS - FIRST_SLOT))  # all are full: uniform over all
        self._scheduled[(self._current_slot + offset) % SLOTS] += 1
        wait = int((offset + self._rng.random()) * self._slot_ns)
        return self._round(wait)

    def _find_slot(self, priority: float) -> int | None:
        slot_capacity = self.retries_per_s * self._slot_ns / SECOND
        first = self._first_free_slot(FIRST_SLOT, slot_capacity)
        if first is None:
            return None
        # If a slot has capacity for less than one retry, a random draw applies the fraction.
        return self._first_free_slot(first + int(MAX_SKIPPED_SHARE * (1 - priority) * first), slot_capacity) or first

    def _first_free_slot(self, start: int, slot_capacity: float) -> int | None:
        for offset in range(start, SLOTS):
            left = slot_capacity - self._scheduled[(self._current_slot + offset) % SLOTS]
            if left >= 1 or (left > 0 and self._rng.random() < left):
                return offset
        return None

    def _advance(self, now: int) -> None:
        slot = now // self._slot_ns
        for expired in range(self._current_slot, min(slot, self._current_slot + SLOTS)):
            self._scheduled[expired % SLOTS] = 0.0
        self._current_slot = slot

    def _round(self, wait_ns: int) -> int:
        if not self._whole_seconds:
            return min(wait_ns, self.max_wait_ns)
        # Round up with the probability of the fraction: keeps the mean and separates clients refused together.
        seconds = int(wait_ns / SECOND + self._rng.random())
        return max(1, min(seconds, self.max_wait_ns // SECOND)) * SECOND
