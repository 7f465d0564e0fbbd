"""Fault: after its event loop has closed, the next signal ends the process."""

import signal
import sys

from lanemux.net import daemon


def restore_default_actions() -> None:
    for number in daemon.HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, daemon.HANDLED_SIGNALS)


daemon.block_signals = restore_default_actions
sys.exit(daemon.main())
