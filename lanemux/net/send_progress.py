"""Tells whether the peer of a connection still takes what is sent to it. No I/O."""

from __future__ import annotations

SECOND = 1_000_000_000
# A client that takes nothing for this long is dropped. A kernel with a large receive buffer acknowledges what a slow
# process reads in steps of up to 0.8 MB, which take 12 s at 64 kB a second.
CLIENT_TIMEOUT_NS = 20 * SECOND


class SendProgress:
    """When the peer last took data.

    A socket is reported as writable only once a third of its send buffer is free. That buffer grows to megabytes, so a
    slow peer may take data for a minute between two such reports; what its kernel has acknowledged tells sooner."""

    def __init__(self, now_ns: int) -> None:
        self._written_bytes = 0  # to the transport
        self._sent_bytes = 0  # of these, by the transport to the kernel
        self._acknowledged_bytes = 0  # of these, by the peer's kernel
        self._last_ns = now_ns

    def wrote(self, size: int, now_ns: int) -> None:
        """Data was handed to the transport: if nothing was on its way before, the wait for the peer begins now."""
        if self._acknowledged_bytes == self._written_bytes:
            self._last_ns = now_ns
        self._written_bytes += size

    def last_progress_ns(self, now_ns: int, buffered_bytes: int, unacknowledged_bytes: int | None) -> int:
        """When the peer last took data, given what the transport and the kernel (None: unknown) still hold."""
        sent_bytes = self._written_bytes - buffered_bytes
        if sent_bytes > self._sent_bytes:
            self._sent_bytes, self._last_ns = sent_bytes, now_ns
        if unacknowledged_bytes is not None and sent_bytes - unacknowledged_bytes > self._acknowledged_bytes:
            self._acknowledged_bytes, self._last_ns = sent_bytes - unacknowledged_bytes, now_ns
        return self._last_ns
