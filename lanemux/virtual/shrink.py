"""Cutting a failing script down: fewer faults, fewer asks, calmer links, as long as it still fails. No I/O."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Sequence
from typing import TypeVar

from lanemux.virtual.script import Fault, Script

T = TypeVar("T")
ROUND_MS = 100.0
MOST_TRIES = 400  # runs that one shrinking may cost: some minutes at worst


SIMPLER: tuple[Callable[[Fault], Fault], ...] = (  # the same fault with rounder figures
    lambda fault: dataclasses.replace(fault, lag_us=0),
    lambda fault: dataclasses.replace(fault, for_ms=round(fault.for_ms / ROUND_MS) * ROUND_MS),
    lambda fault: dataclasses.replace(fault, at_ms=float(round(fault.at_ms))),
)


class _Spent(Exception):
    """No tries are left."""


def shrink(script: Script, asks: int, fails: Callable[[Script], bool], most: int = MOST_TRIES) -> tuple[Script, int]:
    """The least script found that still fails, and the runs that it took. `asks`: how many the seed has."""
    search = _Search(script, fails, most)
    with contextlib.suppress(_Spent):
        search.run(asks)
    return search.best, search.tries


class _Search:
    """The least script so far."""

    def __init__(self, script: Script, fails: Callable[[Script], bool], most: int) -> None:
        self.best = script
        self.tries = 0
        self._fails, self._most = fails, most

    def run(self, asks: int) -> None:
        self._fewer_faults()
        self._try(dataclasses.replace(self.best, calm=True))
        sent = tuple(range(asks)) if self.best.asks is None else self.best.asks
        _less(sent, lambda part: self._try(dataclasses.replace(self.best, asks=tuple(part))))
        for number in range(len(self.best.faults)):
            for simplify in SIMPLER:
                simpler = simplify(self.best.faults[number])
                faults = (*self.best.faults[:number], simpler, *self.best.faults[number + 1 :])
                self._try(dataclasses.replace(self.best, faults=faults))
        self._fewer_faults()

    def _fewer_faults(self) -> None:
        _less(self.best.faults, lambda part: self._try(dataclasses.replace(self.best, faults=tuple(part))))

    def _try(self, candidate: Script) -> bool:
        """Take it if it still fails."""
        if candidate == self.best:
            return False
        if self.tries >= self._most:
            raise _Spent
        self.tries += 1
        failed = self._fails(candidate)
        if failed:
            self.best = candidate
        return failed


def _less(items: Sequence[T], fails: Callable[[Sequence[T]], bool]) -> None:
    """Delta debugging: leave out ever smaller parts (Zeller and Hildebrandt, 2002)."""
    items = list(items)
    if items and fails([]):
        return
    size = max(1, len(items) // 2)
    while size and items:
        start = 0
        while start < len(items):
            part = items[:start] + items[start + size :]
            if part and fails(part):
                items = part
            else:
                start += size
        size //= 2
