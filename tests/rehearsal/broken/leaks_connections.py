"""Fault: never closes a connection to an upstream, and does not reuse one in four.

Only one in four: with all, thousands of open connections would make the fake boxes late and the run not valid."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.upstream import Connection, Pool

leaked: list[Connection] = []
keep_connection = Pool.keep


def leak_one_in_four(self: Any, connection: Connection) -> None:
    leaked.append(connection)
    if len(leaked) % 4:
        keep_connection(self, connection)


Pool.keep = leak_one_in_four  # type: ignore[method-assign]
sys.exit(daemon.main())
