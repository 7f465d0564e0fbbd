"""Limits the rate of log lines."""

from __future__ import annotations

import logging

LINES_PER_SECOND = 20


class LogRateLimit(logging.Filter):
    """Passes LINES_PER_SECOND log lines a second, and reports how many it dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._second = self._lines = self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            if self._dropped:
                record.msg, record.args = f"{record.getMessage()} ({self._dropped} lines dropped)", ()
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        self._dropped += self._lines > LINES_PER_SECOND
        return self._lines <= LINES_PER_SECOND
