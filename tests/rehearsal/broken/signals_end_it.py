"""Lets the next signal end the process once its loop has closed."""

import signal
import sys

from lanemux.net import daemon


def hold_nothing() -> None:
    for number in daemon.HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, daemon.HANDLED_SIGNALS)


daemon.block_signals = hold_nothing
sys.exit(daemon.main())
