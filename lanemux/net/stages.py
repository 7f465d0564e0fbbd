"""What a start costs, stage by stage, for the log: an operator finds there where a slow one spent its time."""

from __future__ import annotations

from lanemux.core.system import System

KIB = 1024


class Stages:
    """The stages of one process's start, in the order in which they were passed."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._passed: list[tuple[str, float]] = []  # name, and the processor time in s that was spent when it ended

    def passed(self, name: str) -> None:
        """A stage has ended."""
        self._passed.append((name, self._system.cpu_time_s()))

    def told(self) -> str:
        """Processor time of each stage, in ms, and the most memory so far, in MiB."""
        said, before = [], 0.0
        for name, spent in self._passed:
            said.append(f"{name} {(spent - before) * 1000:.0f}")
            before = spent
        return f"{', '.join(said) or 'no stage'} ms of processor; {self._memory()}"

    def told_at_end(self) -> str:
        """Processor time of the process's whole life, in s, and the most memory it had."""
        return f"{self._system.cpu_time_s():.2f} s of processor; {self._memory()}"

    def _memory(self) -> str:
        return f"{self._system.peak_rss_kib() / KIB:.1f} MiB at most"
