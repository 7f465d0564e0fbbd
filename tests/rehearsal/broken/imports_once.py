"""Fault: imports the program without retries, so that a transient failure ends the start."""

import signal
import sys

signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

from lanemux.net import daemon  # noqa: E402

sys.exit(daemon.main())
