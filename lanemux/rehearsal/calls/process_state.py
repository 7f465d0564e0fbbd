"""What a process does at this moment: running, waiting in which system call, or stopped (Linux, /proc)."""

from __future__ import annotations

from pathlib import Path


def state_of(pid: int) -> str:
    """Its state as the kernel tells it, where in the kernel it waits, and in which system call, by number."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except (OSError, IndexError):
        return "the process is gone"
    return f"process {state}, waits in {_read(pid, 'wchan') or '?'}, system call {_read(pid, 'syscall') or '?'}"


def is_runnable(pid: int) -> bool:
    """Does it run, or wait for a processor?"""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"
    except (OSError, IndexError):
        return False


def _read(pid: int, name: str) -> str:
    """One of the files that only the process's owner may read; empty where the kernel does not tell."""
    try:
        return Path(f"/proc/{pid}/{name}").read_text().strip()
    except OSError:
        return ""
