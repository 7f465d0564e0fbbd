"""Encoding of the election messages between the council's voters (`fleet/election.py`). No I/O and no clock."""

from __future__ import annotations

import struct

from lanemux.fleet.election import Ballot, ElectionMessage, MessageKind
from lanemux.fleet.wire import MAGIC, NO_MEMBER, VERSION, BadMessage

FORMAT = struct.Struct(">BBBBHIHIIHI")  # its size is no multiple of a peer report's
TERM_UNIT_NS = 250_000_000  # of the term in a message: the longest that can be set, 60 s, has to fit in a byte
MAX_TERM_UNITS = 255
KIND_OFFSET = 2  # offset of the byte with the kind of a fleet message


def is_election_message(data: bytes) -> bool:
    """Whether this fleet message belongs to the election."""
    return len(data) > KIND_OFFSET and data[KIND_OFFSET] >= MessageKind.PREPARE


def encode(message: ElectionMessage) -> bytes:
    """Encode a message as a datagram."""
    leader = message.leader if message.leader >= 0 else NO_MEMBER
    units = min(
        MAX_TERM_UNITS, -(-message.term_ns // TERM_UNIT_NS)
    )  # rounded up: a lease must not be taken for shorter
    return FORMAT.pack(MAGIC, VERSION, message.kind, units, leader, *message.ballot, *message.promised)


def decode(data: bytes) -> ElectionMessage:
    """Decode a datagram. Raises BadMessage with a reason if it is no election message."""
    if len(data) != FORMAT.size or data[0] != MAGIC or data[1] != VERSION:
        raise BadMessage(f"{len(data)} bytes are no election message")
    _, _, kind, units, leader, *numbers = FORMAT.unpack(data)
    try:
        return ElectionMessage(
            MessageKind(kind),
            Ballot(*numbers[:3]),
            Ballot(*numbers[3:]),
            -1 if leader == NO_MEMBER else leader,
            units * TERM_UNIT_NS,
        )
    except ValueError as error:
        raise BadMessage(str(error)) from None
