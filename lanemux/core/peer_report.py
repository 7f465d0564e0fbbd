"""The form of what balancers tell one another of an upstream, in 7 bytes a word. No I/O and no clock."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

REPORT_FORMAT = struct.Struct(
    ">IBBB"
)  # upstream, number of the word, LAST_OK_BIT and requests in flight, how long it is left alone
MAX_ID = 2**32 - 1  # what the form has room for
LAST_OK_BIT = 128  # bit of the third field: the last attempt there was served
MAX_IN_FLIGHT = 127  # what its other bits hold; more in flight says no more than that it is full
AVOID_STEP_NS = 25_000_000  # a bar of at most three seconds fits, told to within what a message may be late
MAX_DATAGRAM = 256  # bytes, the most that one message holds and the unit of its price (protocol page)
REPORTS_PER_DATAGRAM = MAX_DATAGRAM // REPORT_FORMAT.size


class PeerReport(NamedTuple):
    """What one balancer says of one upstream."""

    upstream: int
    sequence: int  # of the sender's words, modulo 256
    in_flight: int
    avoid_ns: int = 0
    last_ok: bool = False  # the last attempt there was served

    def encode(self) -> bytes:
        """The datagram. A rest longer than the form holds is told as the longest."""
        steps = min(255, -(-max(0, self.avoid_ns) // AVOID_STEP_NS))
        return REPORT_FORMAT.pack(
            self.upstream, self.sequence & 255, min(self.in_flight, MAX_IN_FLIGHT) | LAST_OK_BIT * self.last_ok, steps
        )


def read_reports(data: bytes) -> list[PeerReport]:
    """The words of a peer's datagram; none if it is anything else."""
    if len(data) % REPORT_FORMAT.size or len(data) > MAX_DATAGRAM:
        return []
    return [
        PeerReport(upstream, number, held & MAX_IN_FLIGHT, steps * AVOID_STEP_NS, held >= LAST_OK_BIT)
        for upstream, number, held, steps in REPORT_FORMAT.iter_unpack(data)
    ]


def datagrams(words: Mapping[int, Sequence[bytes]]) -> Iterator[tuple[int, bytes]]:
    """As few as hold all the words for each peer: (peer, datagram)."""
    for peer, said in words.items():
        for i in range(0, len(said), REPORTS_PER_DATAGRAM):
            yield peer, b"".join(said[i : i + REPORTS_PER_DATAGRAM])
