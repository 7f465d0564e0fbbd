"""The processor time of each stage of the start, for the log: it shows operators why a start was slow."""

from __future__ import annotations

from lanemux.core.system import System

MIB = 1024 * 1024


class Stages:
    """The stages of one process's start, in order of completion."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._completed: list[tuple[str, float]] = []  # name, and the process's processor time in s at its end

    def complete(self, name: str) -> None:
        """Record the end of a stage."""
        self._completed.append((name, self._system.cpu_time_s()))

    def summary(self) -> str:
        """Processor time of each stage, in ms, and peak memory so far, in MiB."""
        parts, before = [], 0.0
        for name, spent in self._completed:
            parts.append(f"{name} {(spent - before) * 1000:.0f}")
            before = spent
        return f"{', '.join(parts) or 'no stage'} ms of processor; {self._peak_memory()}"

    def final_summary(self) -> str:
        """Total processor time of the process, in s, and its peak memory."""
        return f"{self._system.cpu_time_s():.2f} s of processor; {self._peak_memory()}"

    def _peak_memory(self) -> str:
        memory = self._system.memory()
        return f"{memory.peak / MIB:.1f} MiB at most" if memory is not None else "memory unknown"
