"""The form of what balancers tell one another of an upstream, in 7 bytes a word. No I/O and no clock."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

FORM = struct.Struct(">IBBB")  # upstream, number of the word, GOOD and requests in flight, how long it is left alone
MAX_ID = 2**32 - 1  # what the form has room for
GOOD = 128  # bit of the third field: the last attempt there was served
MAX_HELD = 127  # what its other bits hold; more in flight says no more than that it is full
REST_STEP_NS = 25_000_000  # a bar of at most three seconds fits, told to within what a message may be late
MESSAGE = 256  # bytes, the most that one message holds and the unit of its price (protocol page)
MESSAGE_WORDS = MESSAGE // FORM.size


class Word(NamedTuple):
    """What one balancer says of one upstream."""

    upstream: int
    number: int  # of the sender's words, modulo 256
    held: int
    rest_ns: int = 0
    good: bool = False  # the last attempt there was served

    def data(self) -> bytes:
        """The datagram. A rest longer than the form holds is told as the longest."""
        steps = min(255, -(-max(0, self.rest_ns) // REST_STEP_NS))
        return FORM.pack(self.upstream, self.number & 255, min(self.held, MAX_HELD) | GOOD * self.good, steps)


def read_words(data: bytes) -> list[Word]:
    """The words of a peer's datagram; none if it is anything else."""
    if len(data) % FORM.size or len(data) > MESSAGE:
        return []
    return [
        Word(upstream, number, held & MAX_HELD, steps * REST_STEP_NS, held >= GOOD)
        for upstream, number, held, steps in FORM.iter_unpack(data)
    ]


def datagrams(words: Mapping[int, Sequence[bytes]]) -> Iterator[tuple[int, bytes]]:
    """As few as hold all the words for each peer: (peer, datagram)."""
    for peer, said in words.items():
        for i in range(0, len(said), MESSAGE_WORDS):
            yield peer, b"".join(said[i : i + MESSAGE_WORDS])
