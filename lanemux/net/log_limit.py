"""A bound on the lines that a balancer logs."""

from __future__ import annotations

import logging

LINES_PER_SECOND = 20


class LogRateLimit(logging.Filter):
    """Lets so many log lines a second through, and says how many it kept back."""

    def __init__(self) -> None:
        super().__init__()
        self._second = self._lines = self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            if self._dropped:
                record.msg, record.args = f"{record.getMessage()} ({self._dropped} lines left out)", ()
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        self._dropped += self._lines > LINES_PER_SECOND
        return self._lines <= LINES_PER_SECOND
