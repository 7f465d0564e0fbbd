"""Classification of system call errors as permanent or transient, and backoff for retries. No I/O, no clock."""

from __future__ import annotations

import errno
import math
from typing import Protocol

# Retrying is pointless: a privilege is missing, or the named object is of the wrong kind.
PERMANENT = frozenset(
    {
        errno.EACCES,
        errno.EPERM,
        errno.EBADF,
        errno.ENOTSOCK,
        errno.EINVAL,
        errno.EAFNOSUPPORT,
        errno.EPROTONOSUPPORT,
        errno.EOPNOTSUPP,
        errno.ENOTDIR,
        errno.EISDIR,
        errno.ELOOP,
        errno.ENAMETOOLONG,
    }
)
# `socket` or `connect` failed on this machine, before the remote side was contacted.
LOCAL = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN})
# No route at the moment: the cause may be a short fault of this machine, or the network.
UNREACHABLE = frozenset({errno.ENETUNREACH, errno.ENETDOWN})
FIRST_DELAY_S = 0.02
MAX_DELAY_S = 0.25
DELAY_GROWTH = 2.0


class FailureCounter(Protocol):
    """Counts failed system calls."""

    def call_failed(self, call: str, error: str) -> None:
        """Count a failure of this call with this errno name."""


class UnrecoverableError(Exception):
    """A required resource cannot be obtained, and retrying cannot help."""


class TransientError(Exception):
    """The operation may succeed when retried, for at most `retry_for_s`."""

    retry_for_s: float = math.inf


def is_permanent(error: OSError) -> bool:
    """Whether the same call will fail however often it is retried."""
    return error.errno in PERMANENT


def is_local(error: OSError) -> bool:
    """Whether connecting failed on this machine, before the remote side was contacted."""
    return error.errno in LOCAL


def is_transient_connect_error(error: OSError) -> bool:
    """Whether a failed connect may soon succeed regardless of the remote side."""
    return error.errno in LOCAL or error.errno in UNREACHABLE


def is_out_of_descriptors(error: OSError) -> bool:
    """Whether this process has reached its descriptor limit (not that of the whole machine)."""
    return error.errno == errno.EMFILE


def errno_name(error: OSError) -> str:
    """The symbolic errno name, as in the manual pages."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


class Backoff:
    """Delays between retries, in seconds, growing exponentially up to a maximum."""

    def __init__(self, first_s: float = FIRST_DELAY_S, max_s: float = MAX_DELAY_S) -> None:
        self._next_s = first_s
        self._max_s = max_s
        self.paused_s = 0.0  # sum of all delays so far

    def next_s(self) -> float:
        """The delay before the next retry."""
        delay_s = self._next_s
        self._next_s = min(self._max_s, delay_s * DELAY_GROWTH)
        self.paused_s += delay_s
        return delay_s
