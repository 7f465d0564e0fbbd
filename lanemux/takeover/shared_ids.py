"""The claimed ids of requests, shared by the two processes of one balancer through a file."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lanemux.core.claimed_ids import TABLE_BYTES, ClaimedIds, ClaimStore
from lanemux.core.failures import FailureCounter, errno_name
from lanemux.core.system import SharedFile, System

log = logging.getLogger(__name__)

FILE_NAME = "claimed-ids-1"  # the number is the format's


class SharedIds:
    """Claims an id in this process and in the file. Where the file fails, this process alone knows the id."""

    def __init__(self, own: ClaimStore, file: SharedFile, clock_ns: Callable[[], int], counter: FailureCounter) -> None:
        self._own, self._counter = own, counter
        self._file = file
        self._shared = ClaimedIds(file, clock_ns)

    def claim(self, request_id: bytes) -> bool:
        """Take an id; False if this process or the other one has taken it before."""
        if not self._own.claim(request_id):
            return False
        try:
            return self._shared.claim(request_id)
        except OSError as error:
            self._counter.call_failed("shared ids", errno_name(error))
            return True

    def release(self, request_id: bytes) -> None:
        """Give an id back."""
        self._own.release(request_id)
        try:
            self._shared.release(request_id)
        except OSError as error:
            self._counter.call_failed("shared ids", errno_name(error))

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def share_ids(
    own: ClaimStore, system: System, folder: str, clock_ns: Callable[[], int], counter: FailureCounter
) -> SharedIds | None:
    """Share this process's claimed ids through a file in `folder`; None, and a log line, if that can't be opened."""
    try:
        system.make_directory(folder)
        file = system.open_shared(f"{folder}/{FILE_NAME}", TABLE_BYTES)
    except OSError as error:
        log.warning("takeover: %s: %s; ids are not shared with another version", folder, error.strerror)
        return None
    return SharedIds(own, file, clock_ns, counter)
