"""Non-blocking logging to a descriptor whose reader may be slow or gone."""

from __future__ import annotations

import logging
import os
import select

PIPE_BUF = 4096  # bytes that a writable pipe takes without blocking (pipe(7))
STANDARD_ERROR = 2


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor if that does not block; the next line written reports how many were dropped."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        try:
            note = f"({self._dropped} lines could not be written)\n" if self._dropped else ""
            data = f"{note}{self.format(record)}\n".encode(errors="replace")
            if self._write(data):
                self._dropped = 0
            else:
                self._dropped += 1
        except Exception:  # logging must not fail the code that logs
            self._dropped += 1

    def _write(self, data: bytes) -> bool:
        """Write all data; False if the rest is dropped because writing would block."""
        while data:
            if not any(events & select.POLLOUT for _, events in self._poll.poll(0)):
                return False
            data = data[os.write(self._descriptor, data[:PIPE_BUF]) :]
        return True
