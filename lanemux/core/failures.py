"""Which failures of system calls pass by themselves, and how long to pause before the next try. No I/O, no clock."""

from __future__ import annotations

import errno
import math
from typing import Protocol

# The same call would fail the same way for ever: a privilege is missing, or what was named is no such thing.
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
# `socket` or `connect` failed on this machine: the other side has not been asked.
LOCAL = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN})
# There is no way there now. It may be this machine's, for a moment, or the network's.
UNREACHABLE = frozenset({errno.ENETUNREACH, errno.ENETDOWN})
FIRST_PAUSE_S = 0.02
LAST_PAUSE_S = 0.25
PAUSE_GROWTH = 2.0


class FailureCounter(Protocol):
    """Counts failed system calls."""

    def call_failed(self, call: str, error: str) -> None:
        """One more failure of this call, with an error number of that name."""


class UnrecoverableError(Exception):
    """What the program needs can't be had, however often it is tried."""


class TransientError(Exception):
    """What failed may work when it is tried again, for `retry_for_s` at the most."""

    retry_for_s: float = math.inf


def is_permanent(error: OSError) -> bool:
    """Will the same call fail again whenever it is tried?"""
    return error.errno in PERMANENT


def is_local(error: OSError) -> bool:
    """Did connecting fail on this machine, before the other side was asked?"""
    return error.errno in LOCAL


def is_transient_connect_error(error: OSError) -> bool:
    """Connecting failed: may it work in a moment, whatever the other side does?"""
    return error.errno in LOCAL or error.errno in UNREACHABLE


def is_out_of_descriptors(error: OSError) -> bool:
    """Has this process as many descriptors as it may have? (Not: the whole machine.)"""
    return error.errno == errno.EMFILE


def errno_name(error: OSError) -> str:
    """The error number's name, as manual pages have it."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


class Backoff:
    """Pauses between tries of one thing, in s: each is longer than the one before, up to a bound."""

    def __init__(self, first_s: float = FIRST_PAUSE_S, last_s: float = LAST_PAUSE_S) -> None:
        self._next_s = first_s
        self._last_s = last_s
        self.paused_s = 0.0  # all pauses so far

    def next_s(self) -> float:
        """The pause before the next try."""
        pause_s = self._next_s
        self._next_s = min(self._last_s, pause_s * PAUSE_GROWTH)
        self.paused_s += pause_s
        return pause_s
