"""Imports the program with one try: what fails for a moment is an error of the import."""

import signal
import sys

signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

from lanemux.net import daemon  # noqa: E402

sys.exit(daemon.main())
