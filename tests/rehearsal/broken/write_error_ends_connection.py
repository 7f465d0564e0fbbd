"""Takes any failed read or write for the end of its connection."""

import sys

from lanemux.eventloop import stream_socket
from lanemux.net import daemon

stream_socket.TRANSIENT_ERRORS = frozenset()
sys.exit(daemon.main())
