"""Fault: closes a connection at any failed read or write, even a transient one."""

import sys

from lanemux.eventloop import stream_socket
from lanemux.net import daemon

stream_socket.TRANSIENT_ERRORS = frozenset()
sys.exit(daemon.main())
