"""A start that leaves the processor to the version that is serving.

Guards against a new version whose imports take, for most of a second, the share of the core that both have: the old one
stands still meanwhile, its requests time out, and clients meet connections that nobody reads (of one second's 380
requests 300 were refused so). Harm: the start takes up to SLEEPS_S longer; the platform allows 6 s.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec
from types import ModuleType

WORK_S = 0.005  # processor time between two sleeps: hardly longer than a request takes
SLEEP_S = 0.04  # a ninth of the time is worked
SLEEPS_S = 2.5  # all sleeps together at the most


class Pace(MetaPathFinder):
    """Asked for each module that is imported, it finds none, and sleeps when enough has been worked."""

    def __init__(self, spent_s: Callable[[], float] = time.process_time,
                 sleep: Callable[[float], None] = time.sleep) -> None:
        self._spent_s, self._sleep = spent_s, sleep
        self._worked_s = spent_s()
        self._slept_s = 0.0

    def find_spec(self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None,
                  ) -> ModuleSpec | None:
        if self._spent_s() - self._worked_s >= WORK_S and self._slept_s < SLEEPS_S:
            self._sleep(SLEEP_S)
            self._slept_s += SLEEP_S
            self._worked_s = self._spent_s()
        return None


def begin() -> None:
    """From now on imports are paced."""
    sys.meta_path.insert(0, Pace())


def end() -> None:
    """No longer: whatever is imported in service is not to make the loop wait."""
    sys.meta_path[:] = [finder for finder in sys.meta_path if not isinstance(finder, Pace)]
