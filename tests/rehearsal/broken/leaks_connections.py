"""Uses no connection to an upstream twice, and closes none."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.upstream import Connection, Pool

kept: list[Connection] = []


def leak(self: Any, connection: Connection) -> None:
    kept.append(connection)


Pool.keep = leak  # type: ignore[method-assign]
sys.exit(daemon.main())
