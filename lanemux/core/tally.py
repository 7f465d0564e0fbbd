"""Counters of a balancer since its start. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable


class Tally:
    """Requests by class and result, and attempts sent completely. Each request is counted once, when it ends."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.succeeded = dict.fromkeys(classes, 0)
        self.declined = dict.fromkeys(self.succeeded, 0)
        self.aborted = dict.fromkeys(self.succeeded, 0)
        self.forwards = 0  # attempts whose last byte was written to an upstream
        self.failed_calls: dict[str, dict[str, int]] = {}  # system call -> errno name -> count
        self.failed_attempts: dict[str, dict[str, int]] = {}  # phase of the attempt -> result -> count
        self.refusals: dict[str, int] = {}  # reason -> requests refused before they were taken on
        self.reloads = 0  # configurations applied after SIGHUP
        self.reloads_refused = 0  # configurations rejected because they could not be read

    def ended(self, class_name: str, status: int) -> None:
        """Count a final response: status 200 is a success, 429 and 503 are refusals, any other status is a failure."""
        counters = self.succeeded if status == 200 else self.declined if status in (429, 503) else self.aborted
        counters[class_name] += 1

    def call_failed(self, call: str, error: str) -> None:
        """Count a failed system call under the errno name."""
        errors = self.failed_calls.setdefault(call, {})
        errors[error] = errors.get(error, 0) + 1

    def refused(self, reason: str) -> None:
        """Count a request that was refused before it was taken on."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def attempt_failed(self, phase: str, result: str) -> None:
        """Count an attempt that did not get its whole response under how far it had come."""
        results = self.failed_attempts.setdefault(phase, {})
        results[result] = results.get(result, 0) + 1
