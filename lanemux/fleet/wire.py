"""Encoding of the membership messages between balancers. No I/O and no clock.

A message begins with MAGIC, VERSION and its kind, and its length is no multiple of a peer report's
(`core/peer_report.py`): a balancer of an older version, which knows only peer reports, ignores it.
All numbers are unsigned and big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from lanemux.core.peer_report import MAX_DATAGRAM, REPORT_FORMAT

MAGIC, VERSION = 0xF1, 1
HEADER = struct.Struct(">BBBBIIBIHHB")
UPDATE = struct.Struct(">HBIH")
MAX_NUMBER = 2**16 - 2  # of a balancer: its index in the configured peers
NO_MEMBER = 2**16 - 1
MAX_INCARNATION = 2**32 - 1
MAX_UPDATES = (MAX_DATAGRAM - HEADER.size - 1) // UPDATE.size  # one byte is reserved to pad the length


class Status(IntEnum):
    """A balancer's status. For the same incarnation the larger value takes precedence."""

    UP = 0
    SUSPECTED = 1
    LEAVING = 2
    GONE = 3


class Kind(IntEnum):
    """Kinds of membership messages."""

    PING = 1  # asks for an ACK
    ACK = 2  # to the PING with that sequence number
    PING_REQUEST = 3  # asks the receiver to ping `subject` on behalf of the sender
    INDIRECT_ACK = 4  # `subject` has answered the relayed ping
    NACK = 5  # `subject` has not answered the relayed ping, but the helper is alive (Lifeguard's nack)
    SYNC = 6  # exchanges the tables, from number `subject` on


class Update(NamedTuple):
    """The status of one balancer, and which balancer reported it first."""

    number: int
    status: Status
    incarnation: int
    reporter: int


@dataclass(frozen=True, slots=True)
class Message:
    """One membership message."""

    kind: Kind
    boot_id: int  # random, identifies the sender's process
    incarnation: int  # of the sender
    receiver_status: Status  # of the receiver, as the sender knows it
    receiver_incarnation: int
    sequence: int  # modulo 2**16
    subject: int = NO_MEMBER
    updates: tuple[Update, ...] = ()

    def encode(self) -> bytes:
        """Encode it as a datagram. Raises ValueError for more updates than fit in one."""
        if len(self.updates) > MAX_UPDATES:
            raise ValueError(f"{len(self.updates)} news in one message, of {MAX_UPDATES}")
        parts = [
            HEADER.pack(
                MAGIC,
                VERSION,
                self.kind,
                len(self.updates),
                self.boot_id,
                self.incarnation,
                self.receiver_status,
                self.receiver_incarnation,
                self.sequence,
                self.subject,
                0,
            )
        ]
        parts += [UPDATE.pack(*update) for update in self.updates]
        data = b"".join(parts)
        return data + b"\0" if len(data) % REPORT_FORMAT.size == 0 else data


class BadMessage(ValueError):
    """Not a message of this kind and version, or truncated, or with invalid values."""


def decode(data: bytes) -> Message:
    """Decode a datagram. Raises BadMessage with a reason if it is no membership message."""
    if len(data) < HEADER.size or len(data) > MAX_DATAGRAM or len(data) % REPORT_FORMAT.size == 0:
        raise BadMessage(f"{len(data)} bytes are no membership message")
    magic, version, kind, count, boot_id, incarnation, receiver_status, receiver_incarnation, sequence, subject, _ = (
        HEADER.unpack_from(data)
    )
    if magic != MAGIC or version != VERSION:
        raise BadMessage(f"unknown magic {magic:#x} or version {version}")
    size = HEADER.size + count * UPDATE.size
    if size > len(data) or len(data) > size + 1:
        raise BadMessage(f"{len(data)} bytes for {count} updates")
    try:
        updates = tuple(
            Update(number, Status(status), update_incarnation, reporter)
            for number, status, update_incarnation, reporter in UPDATE.iter_unpack(data[HEADER.size : size])
        )
        return Message(
            Kind(kind), boot_id, incarnation, Status(receiver_status), receiver_incarnation, sequence, subject, updates
        )
    except ValueError as error:
        raise BadMessage(str(error)) from None
