"""What a process is doing now: running, blocked in which system call, or stopped (Linux, /proc)."""

from __future__ import annotations

from pathlib import Path


def describe_process(pid: int) -> str:
    """The kernel's state letter, the kernel function in which the process waits, and the number of its system call."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except (OSError, IndexError):
        return "the process is gone"
    return f"process {state}, waits in {_read(pid, 'wchan') or '?'}, system call {_read(pid, 'syscall') or '?'}"


def is_runnable(pid: int) -> bool:
    """Whether the process runs or waits for a processor."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"
    except (OSError, IndexError):
        return False


def _read(pid: int, name: str) -> str:
    """A file of /proc/PID that only the process's owner may read; empty if the kernel refuses."""
    try:
        return Path(f"/proc/{pid}/{name}").read_text().strip()
    except OSError:
        return ""
