"""Shrinks a failing script: fewer faults, fewer requests and calmer links, as long as it still fails. No I/O."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Sequence
from typing import TypeVar

from lanemux.virtual.script import Fault, Script

Item = TypeVar("Item")
ROUND_MS = 100.0
MAX_RUNS = 400  # limit for shrinking one script: some minutes at worst


SIMPLIFICATIONS: tuple[Callable[[Fault], Fault], ...] = (  # the same fault with rounder numbers
    lambda fault: dataclasses.replace(fault, lag_us=0),
    lambda fault: dataclasses.replace(fault, for_ms=round(fault.for_ms / ROUND_MS) * ROUND_MS),
    lambda fault: dataclasses.replace(fault, at_ms=float(round(fault.at_ms))),
)


class _BudgetSpent(Exception):
    """The limit of runs is reached."""


def shrink(
    script: Script, asks: int, still_fails: Callable[[Script], bool], max_runs: int = MAX_RUNS
) -> tuple[Script, int]:
    """The smallest failing script found, and the number of runs. `asks`: how many requests the seed has."""
    search = _Search(script, still_fails, max_runs)
    with contextlib.suppress(_BudgetSpent):
        search.run(asks)
    return search.best, search.runs


class _Search:
    """The search, with the smallest failing script so far."""

    def __init__(self, script: Script, still_fails: Callable[[Script], bool], max_runs: int) -> None:
        self.best = script
        self.runs = 0
        self._still_fails, self._max_runs = still_fails, max_runs

    def run(self, asks: int) -> None:
        self._fewer_faults()
        self._try(dataclasses.replace(self.best, calm=True))
        ask_numbers = tuple(range(asks)) if self.best.asks is None else self.best.asks
        _delta_debug(ask_numbers, lambda part: self._try(dataclasses.replace(self.best, asks=tuple(part))))
        for number in range(len(self.best.faults)):
            for simplify in SIMPLIFICATIONS:
                simpler = simplify(self.best.faults[number])
                faults = (*self.best.faults[:number], simpler, *self.best.faults[number + 1 :])
                self._try(dataclasses.replace(self.best, faults=faults))
        self._fewer_faults()

    def _fewer_faults(self) -> None:
        _delta_debug(self.best.faults, lambda part: self._try(dataclasses.replace(self.best, faults=tuple(part))))

    def _try(self, candidate: Script) -> bool:
        """Run a candidate and keep it if it still fails."""
        if candidate == self.best:
            return False
        if self.runs >= self._max_runs:
            raise _BudgetSpent
        self.runs += 1
        failed = self._still_fails(candidate)
        if failed:
            self.best = candidate
        return failed


def _delta_debug(items: Sequence[Item], still_fails: Callable[[Sequence[Item]], bool]) -> None:
    """Delta debugging (Zeller and Hildebrandt, 2002): remove ever smaller parts while the rest still fails."""
    items = list(items)
    if items and still_fails([]):
        return
    size = max(1, len(items) // 2)
    while size and items:
        start = 0
        while start < len(items):
            part = items[:start] + items[start + size :]
            if part and still_fails(part):
                items = part
            else:
                start += size
        size //= 2
