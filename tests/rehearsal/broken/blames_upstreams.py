"""Fault: counts a connect that fails because of this machine as a failure of the upstream."""

import sys

from lanemux.net import daemon, upstream


def never_transient(error: OSError) -> bool:
    return False


upstream.is_transient_connect_error = never_transient  # type: ignore[attr-defined]
sys.exit(daemon.main())
