"""Tells a voter that may have lost its state from when on it may vote. No I/O and no clock.

Its earlier process may have accepted a lease, and such a lease lasts as long as its holder's term says, which may be
longer than this process's own: the setting may have changed since. The voter therefore asks the others for the terms
that they know, and does not vote before the longest of them has passed since its start. An answer settles it if it
comes from every other voter, or from one that knows the terms of all of them. Without that it waits for the longest
term that can be set."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from lanemux.fleet.wire import MAGIC, VERSION, BadMessage

MS = 1_000_000
SECOND = 1000 * MS
MAX_TERM_NS = 60 * SECOND  # the longest term that the operators' file allows
ASK_INTERVAL_NS = SECOND // 5
# Magic, version, kind, whether the sender knows the terms of all voters, its own term and the longest that it knows in
# ms, padding: its size is no multiple of a peer report's (`core/peer_report.py`).
FORMAT = struct.Struct(">BBBBIIB")
KIND_OFFSET = 2  # offset of the byte with the kind of a fleet message


class Kind(IntEnum):
    """Kinds of survey messages, numbered between those of `election` and of `leader_query`."""

    ASK = 24  # asks for an answer, and tells the sender's terms
    ANSWER = 25


class TermMessage(NamedTuple):
    """What one voter knows of the terms."""

    kind: Kind
    complete: bool  # the sender knows the terms of all voters
    own_ms: int
    longest_ms: int  # of all that the sender knows


def is_term_message(data: bytes) -> bool:
    """Whether this fleet message belongs to a survey of terms."""
    return len(data) > KIND_OFFSET and data[KIND_OFFSET] in (Kind.ASK, Kind.ANSWER)


def encode(message: TermMessage) -> bytes:
    """Encode a message as a datagram."""
    return FORMAT.pack(MAGIC, VERSION, message.kind, message.complete, message.own_ms, message.longest_ms, 0)


def decode(data: bytes) -> TermMessage:
    """Decode a datagram. Raises BadMessage with a reason if it is no survey message."""
    if len(data) != FORMAT.size or data[0] != MAGIC or data[1] != VERSION:
        raise BadMessage(f"{len(data)} bytes are no survey of terms")
    _, _, kind, complete, own_ms, longest_ms, _ = FORMAT.unpack(data)
    try:
        return TermMessage(Kind(kind), complete == 1, own_ms, longest_ms)
    except ValueError as error:
        raise BadMessage(str(error)) from None


class TermSurvey:
    """What one voter knows of the terms. Feed it messages and ticks, and send what is in `outbox`."""

    def __init__(self, me: int, council: Sequence[int], term_ns: int, now: int) -> None:
        """It begins at `now`: this voter may have accepted leases until then."""
        self._others = tuple(number for number in council if number != me)
        self._started_ns = now
        self._own_ns = term_ns
        self._known_ns: dict[int, int] = {}  # term of each other voter that has been heard from
        self._inherited_ns = 0  # longest term named by a voter that knew all
        self._next_ask_ns = now
        self.complete = not self._others
        self.outbox: list[tuple[int, TermMessage]] = []

    @property
    def no_vote_until_ns(self) -> int:
        """No lease that this voter has accepted before its start lasts beyond that."""
        return self._started_ns + (self._longest_ns() if self.complete else max(MAX_TERM_NS, self._longest_ns()))

    @property
    def due_ns(self) -> int:
        """When the next tick is needed."""
        return 2**62 if self.complete else self._next_ask_ns

    def tick(self, now: int) -> None:
        """Ask again unless the terms are known."""
        if not self.complete and now >= self._next_ask_ns:
            self._next_ask_ns = now + ASK_INTERVAL_NS
            self.outbox += [(number, self._message(Kind.ASK)) for number in self._others]

    def receive(self, sender: int, message: TermMessage) -> None:
        """Handle a message of another voter; messages of anybody else are ignored."""
        if sender not in self._others:
            return
        self._known_ns[sender] = message.own_ms * MS
        if message.complete and not self.complete:
            self._inherited_ns = message.longest_ms * MS
            self.complete = True
        self.complete = self.complete or len(self._known_ns) == len(self._others)
        if message.kind is Kind.ASK:
            self.outbox.append((sender, self._message(Kind.ANSWER)))

    def _longest_ns(self) -> int:
        unheard = len(self._known_ns) < len(self._others)
        return max(self._own_ns, self._inherited_ns if unheard else 0, *self._known_ns.values(), 0)

    def _message(self, kind: Kind) -> TermMessage:
        return TermMessage(kind, self.complete, self._own_ns // MS, self._longest_ns() // MS)
