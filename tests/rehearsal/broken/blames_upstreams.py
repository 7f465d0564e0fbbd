"""Takes a connect that this machine fails for a failure of the upstream."""

import sys

from lanemux.net import daemon, upstream


def never(error: OSError) -> bool:
    return False


upstream.is_transient_connect_error = never  # type: ignore[attr-defined]
sys.exit(daemon.main())
