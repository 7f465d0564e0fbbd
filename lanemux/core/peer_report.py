"""The wire format of peer reports: what balancers report to one another about an upstream, in 7 bytes per report.

No I/O and no clock.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

REPORT_FORMAT = struct.Struct(">IBBB")  # upstream, sequence number, LAST_OK_BIT and requests in flight, avoidance time
MAX_ID = 2**32 - 1  # highest upstream id that the format can hold
LAST_OK_BIT = 128  # bit of the third field: the sender's last attempt at the upstream succeeded
MAX_IN_FLIGHT = 127  # largest count that the other bits hold; any more means no more than that the upstream is full
AVOID_STEP_NS = 25_000_000  # backoffs of up to three seconds fit; the rounding is within a message's delay
MAX_DATAGRAM = 256  # bytes: the size limit of a message, and the unit of its price (protocol page)
REPORTS_PER_DATAGRAM = MAX_DATAGRAM // REPORT_FORMAT.size


class PeerReport(NamedTuple):
    """State of one balancer with regard to one upstream."""

    upstream: int
    sequence: int  # of the sender's reports on this upstream, modulo 256
    in_flight: int
    avoid_ns: int = 0  # for how long the sender avoids the upstream
    last_ok: bool = False  # the sender's last attempt there succeeded

    def encode(self) -> bytes:
        """The datagram. An avoidance time beyond what the format can hold is sent as the maximum."""
        steps = min(255, -(-max(0, self.avoid_ns) // AVOID_STEP_NS))
        return REPORT_FORMAT.pack(
            self.upstream, self.sequence & 255, min(self.in_flight, MAX_IN_FLIGHT) | LAST_OK_BIT * self.last_ok, steps
        )


def read_reports(data: bytes) -> list[PeerReport]:
    """Decode the reports of a peer's datagram; an empty list for any other datagram."""
    if len(data) % REPORT_FORMAT.size or len(data) > MAX_DATAGRAM:
        return []
    return [
        PeerReport(upstream, sequence, in_flight & MAX_IN_FLIGHT, steps * AVOID_STEP_NS, in_flight >= LAST_OK_BIT)
        for upstream, sequence, in_flight, steps in REPORT_FORMAT.iter_unpack(data)
    ]


def datagrams(reports: Mapping[int, Sequence[bytes]]) -> Iterator[tuple[int, bytes]]:
    """Pack each peer's encoded reports into as few datagrams as possible: (peer, datagram)."""
    for peer, encoded in reports.items():
        for i in range(0, len(encoded), REPORTS_PER_DATAGRAM):
            yield peer, b"".join(encoded[i : i + REPORTS_PER_DATAGRAM])
