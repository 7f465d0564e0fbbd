"""Counts of a balancer's work since its start. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable


class Tally:
    """Requests by class and end, and attempts that went out whole. Each request is counted once, when it ends."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.succeeded = dict.fromkeys(classes, 0)
        self.declined = dict.fromkeys(self.succeeded, 0)
        self.aborted = dict.fromkeys(self.succeeded, 0)
        self.forwards = 0  # attempts whose last byte was written to an upstream
        self.failed_calls: dict[str, dict[str, int]] = {}  # what was asked of the machine -> error's name -> how often
        self.reloads = 0  # new configurations taken up (SIGHUP)
        self.reloads_refused = 0  # and those that could not be read

    def ended(self, class_name: str, status: int) -> None:
        """A request of that class got its final answer: a 200 serves, a 429 or 503 refuses, any other fails."""
        ends = self.succeeded if status == 200 else self.declined if status in (429, 503) else self.aborted
        ends[class_name] += 1

    def call_failed(self, call: str, error: str) -> None:
        """A system call failed with the error number of that name."""
        errors = self.failed_calls.setdefault(call, {})
        errors[error] = errors.get(error, 0) + 1
