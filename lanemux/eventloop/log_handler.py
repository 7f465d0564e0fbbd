"""A log on a descriptor whose reader may be gone, or slow: it never makes the process wait."""

from __future__ import annotations

import logging
import os
import select

PIPE_BUF = 4096  # bytes: where a pipe can be written to, it takes so many without blocking (pipe(7))
STANDARD_ERROR = 2


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor while that takes them at once; counts and tells those that it left out."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it."""
        try:
            note = f"({self._dropped} lines could not be written)\n" if self._dropped else ""
            data = f"{note}{self.format(record)}\n".encode(errors="replace")
            if self._write(data):
                self._dropped = 0
            else:
                self._dropped += 1
        except Exception:  # a log must not fail what it tells of
            self._dropped += 1

    def _write(self, data: bytes) -> bool:
        """All of it, or False where the rest is given up."""
        while data:
            if not any(events & select.POLLOUT for _, events in self._poll.poll(0)):
                return False
            data = data[os.write(self._descriptor, data[:PIPE_BUF]) :]
        return True
