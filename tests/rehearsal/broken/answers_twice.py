"""Writes one answer in fifty twice."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.client_connection import ClientConnection

answer = ClientConnection.answer
count = [0]


def again(self: Any, status: int, headers: Any = (), body: bytes = b"") -> None:
    request = self._current
    answer(self, status, headers, body)
    count[0] += 1
    if count[0] % 50 == 0 and request is not None and not self._ended:
        self._current = request
        answer(self, status, headers, body)


ClientConnection.answer = again  # type: ignore[method-assign]
sys.exit(daemon.main())
