"""Tells a process whether it is the only one of its balancer, by a lock that the kernel releases at a process's end."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import logging
import os

log = logging.getLogger(__name__)

FILE_NAME = "process-lock"
FILE_MODE = 0o600


class ProcessLock:
    """A lock in a folder that both processes of a balancer share. It is held until the process ends."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._descriptor = -1
        self._is_held = self._has_failed = False

    def acquire(self) -> bool:
        """Whether this process holds the lock now. While the file can't be opened nobody holds it; that is logged."""
        if not self._is_held:
            try:
                self._is_held = self._try_lock()
            except OSError as error:
                if not self._has_failed:
                    log.warning("takeover: %s: %s; this process does not vote", self._folder, error.strerror)
                self._has_failed = True
        return self._is_held

    def _try_lock(self) -> bool:
        """Lock the file; False if another process has it locked. OSError on any other failure."""
        if self._descriptor < 0:
            os.makedirs(self._folder, exist_ok=True)
            self._descriptor = os.open(f"{self._folder}/{FILE_NAME}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno == errno.EWOULDBLOCK:
                return False
            raise
        return True

    def release(self) -> None:
        """Give the lock up; only for tests of one process."""
        if self._descriptor >= 0:
            with contextlib.suppress(OSError):
                os.close(self._descriptor)
        self._descriptor, self._is_held = -1, False
