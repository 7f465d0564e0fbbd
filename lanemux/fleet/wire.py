"""The form of what balancers tell one another of who is there. No I/O and no clock.

A message begins with MAGIC, VERSION and its kind, and its length is no multiple of a word's (`core/words.py`): a
balancer of an older version, which reads words alone, leaves it unread. All numbers are unsigned, the first byte first.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from lanemux.core.words import FORM as WORD
from lanemux.core.words import MESSAGE

MAGIC, VERSION = 0xF1, 1
HEAD = struct.Struct(">BBBBIIBIHHB")
NEWS = struct.Struct(">HBIH")
MAX_NUMBER = 2**16 - 2  # of a balancer; peers are told in their order
NOBODY = 2**16 - 1
MAX_INCARNATION = 2**32 - 1
MOST_NEWS = (MESSAGE - HEAD.size - 1) // NEWS.size  # one byte is for the length that no words have


class Status(IntEnum):
    """How a balancer stands. Of two words with the same incarnation the one further down holds."""

    UP = 0
    SUSPECTED = 1
    LEAVING = 2
    GONE = 3


class Kind(IntEnum):
    """What a message wants."""

    ASK = 1  # are you there?
    HERE = 2  # yes: to the question of that number
    ASK_FOR_ME = 3  # ask `about` whether it is there, and tell me
    HERE_TOO = 4  # `about` has answered me
    SILENT = 5  # `about` has not answered me, though I am here (Lifeguard's nack)
    TABLE = 6  # what do you know of those from number `about` on? and what I know


class News(NamedTuple):
    """One balancer's standing, and who says so first."""

    number: int
    standing: Status
    incarnation: int
    by: int


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram."""

    kind: Kind
    boot: int  # the sender's process, by chance
    incarnation: int  # of the sender
    you: Status  # as the sender knows the receiver
    your_incarnation: int
    question: int  # its number, modulo 2**16
    about: int = NOBODY
    news: tuple[News, ...] = ()

    def data(self) -> bytes:
        """The datagram; ValueError for more news than one holds."""
        if len(self.news) > MOST_NEWS:
            raise ValueError(f"{len(self.news)} news in one message, of {MOST_NEWS}")
        parts = [
            HEAD.pack(
                MAGIC,
                VERSION,
                self.kind,
                len(self.news),
                self.boot,
                self.incarnation,
                self.you,
                self.your_incarnation,
                self.question,
                self.about,
                0,
            )
        ]
        parts += [NEWS.pack(*n) for n in self.news]
        data = b"".join(parts)
        return data + b"\0" if len(data) % WORD.size == 0 else data


class BadMessage(ValueError):
    """Not a message of this kind and version, or one that is cut or holds what can't be."""


def read(data: bytes) -> Message:
    """The message in a datagram; BadMessage with a reason for anything else."""
    if len(data) < HEAD.size or len(data) > MESSAGE or len(data) % WORD.size == 0:
        raise BadMessage(f"{len(data)} bytes are no message on who is there")
    magic, version, kind, count, boot, incarnation, you, yours, question, about, _ = HEAD.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        raise BadMessage(f"begins with {magic:#x}, version {version}")
    size = HEAD.size + count * NEWS.size
    if size > len(data) or len(data) > size + 1:
        raise BadMessage(f"{len(data)} bytes for {count} news")
    try:
        news = tuple(
            News(number, Status(standing), inc, by)
            for number, standing, inc, by in NEWS.iter_unpack(data[HEAD.size : size])
        )
        return Message(Kind(kind), boot, incarnation, Status(you), yours, question, about, news)
    except ValueError as error:
        raise BadMessage(str(error)) from None
