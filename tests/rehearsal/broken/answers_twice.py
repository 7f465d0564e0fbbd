"""Fault: writes one answer in fifty twice."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.client_connection import ClientConnection

answer = ClientConnection.answer
answer_count = [0]


def answer_with_duplicates(self: Any, status: int, headers: Any = (), body: bytes = b"") -> None:
    request = self._current
    answer(self, status, headers, body)
    answer_count[0] += 1
    if answer_count[0] % 50 == 0 and request is not None and not self._ended:
        self._current = request
        answer(self, status, headers, body)


ClientConnection.answer = answer_with_duplicates  # type: ignore[method-assign]
sys.exit(daemon.main())
