"""Finds the leader for a balancer that is no voter of the council, by querying the voters. No I/O and no clock.

Only the leader's own answer counts: "I lead, for this much longer". That time is counted from before the query was sent
and shortened by the largest difference of clock rates, so a late answer is worth less, a duplicate adds nothing, and
the tracker's knowledge expires before the lease does. A voter that does not lead names the leader that it accepted,
which only determines the voter to query next. One query is outstanding at a time; the leader gets one or two queries
of each balancer per term.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from lanemux.fleet.election import MAX_CLOCK_DRIFT, Voter
from lanemux.fleet.wire import MAGIC, NO_MEMBER, VERSION, BadMessage

MS = 1_000_000
ANSWER_TIMEOUT_NS = 150 * MS  # answers take up to 66 ms on the platform; then another voter is queried
RENEWAL_ATTEMPTS = 2  # unanswered queries that fit in before the known lease expires
MAX_PAUSE_FRACTION = 0.3  # of a term: bound of the random pause when there is no leader or no voter answers
# Magic, version, kind, padding, query, leader, remaining ms, padding: its size is no multiple of a peer report's
# (`core/peer_report.py`).
FORMAT = struct.Struct(">BBBBIHIB")
KIND_OFFSET = 2  # offset of the byte with the kind of a fleet message


class Kind(IntEnum):
    """Kinds of leader messages, numbered above those of `wire` and `election`."""

    QUERY = 32  # asks for the leader
    ANSWER = 33  # to the query of that number


class LeaderMessage(NamedTuple):
    """One message between a voter and a balancer that is none."""

    kind: Kind
    query_id: int  # modulo 2**32
    leader: int = -1  # as the voter knows it; its own number: it leads; -1: none known
    remaining_ms: int = 0  # of the lease, if the voter itself leads


def is_leader_message(data: bytes) -> bool:
    """Whether this fleet message is a leader query or an answer to one."""
    return len(data) > KIND_OFFSET and data[KIND_OFFSET] >= Kind.QUERY


def encode(message: LeaderMessage) -> bytes:
    """Encode a message as a datagram."""
    leader = message.leader if message.leader >= 0 else NO_MEMBER
    return FORMAT.pack(MAGIC, VERSION, message.kind, 0, message.query_id, leader, message.remaining_ms, 0)


def decode(data: bytes) -> LeaderMessage:
    """Decode a datagram. Raises BadMessage with a reason if it is no leader message."""
    if len(data) != FORMAT.size or data[0] != MAGIC or data[1] != VERSION:
        raise BadMessage(f"{len(data)} bytes are no leader message")
    _, _, kind, _, query_id, leader, remaining_ms, _ = FORMAT.unpack(data)
    try:
        return LeaderMessage(Kind(kind), query_id, -1 if leader == NO_MEMBER else leader, remaining_ms)
    except ValueError as error:
        raise BadMessage(str(error)) from None


def answer_query(voter: Voter, query: LeaderMessage, now: int) -> LeaderMessage:
    """A voter's answer to a query at `now`."""
    if voter.is_leader(now):
        return LeaderMessage(Kind.ANSWER, query.query_id, voter.me, (voter.lease_end_ns - now) // MS)
    leader = voter.leader(now)
    return LeaderMessage(Kind.ANSWER, query.query_id, -1 if leader is None else leader)


class LeaderTracker:
    """Tracks the leader for a balancer that is no voter. Feed it messages and ticks, send `outbox`, read `leader`."""

    def __init__(self, me: int, council: Sequence[int], term_ns: int, rng: random.Random, now: int) -> None:
        """Raises ValueError if the council is empty or `me` is in it."""
        if me in council or not council:
            raise ValueError(f"{me} must not be in the council {sorted(council)}, which must not be empty")
        self.council, self.term_ns, self._rng = tuple(council), term_ns, rng
        self.outbox: list[tuple[int, LeaderMessage]] = []
        self._leader, self._valid_until_ns = -1, now  # -1: none; valid until that time
        self._query_id = rng.getrandbits(32)
        self._query_sent_ns: int | None = None  # of the outstanding query; None: there is none
        self._order: list[int] = []  # voters still to query in this round
        self._redirects = 0  # answers in a row that named another voter
        self._next_query_ns = now + self._random_pause_ns()

    def leader(self, now: int) -> int | None:
        """The leader, whose lease is still valid unless it shut down in order; None: not known."""
        return self._leader if now < self._valid_until_ns else None

    @property
    def due_ns(self) -> int:
        """When the next tick is needed."""
        return self._next_query_ns if self._query_sent_ns is None else self._query_sent_ns + ANSWER_TIMEOUT_NS

    def tick(self, now: int) -> None:
        """Advance to `now`."""
        if self._query_sent_ns is not None and now >= self._query_sent_ns + ANSWER_TIMEOUT_NS:
            self._query_sent_ns = None
            if self._order:
                self._send_query(self._next_voter(), now)  # no answer from that voter: try another
            else:  # none answered: pause, so that the whole fleet does not flood a returning council
                self._next_query_ns = now + self._random_pause_ns()
        elif self._query_sent_ns is None and now >= self._next_query_ns:
            leader = self.leader(now)
            self._send_query(self._next_voter() if leader is None else leader, now)

    def receive(self, sender: int, message: LeaderMessage, now: int) -> None:
        """Handle a voter's answer. Messages of others, and answers to any but the outstanding query, are ignored."""
        sent_ns = self._query_sent_ns
        if (
            sender not in self.council
            or message.kind is not Kind.ANSWER
            or message.query_id != self._query_id
            or sent_ns is None
        ):
            return
        self._query_sent_ns = None
        if message.leader == sender:
            self._leader = sender
            self._valid_until_ns = sent_ns + int(
                message.remaining_ms * MS * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
            )
            self._redirects = 0
            self._next_query_ns = max(
                now + ANSWER_TIMEOUT_NS, self._valid_until_ns - RENEWAL_ATTEMPTS * ANSWER_TIMEOUT_NS
            )
        elif message.leader in self.council and self._redirects < len(self.council):
            self._redirects += 1  # bounded: two voters may name one another
            self._send_query(message.leader, now)
        else:
            self._redirects = 0
            self._next_query_ns = now + ANSWER_TIMEOUT_NS + self._random_pause_ns()

    def _send_query(self, voter: int, now: int) -> None:
        self._query_id = (self._query_id + 1) % 2**32
        self._query_sent_ns = now
        self.outbox.append((voter, LeaderMessage(Kind.QUERY, self._query_id)))

    def _next_voter(self) -> int:
        """Each voter in turn, in an order shuffled anew for each round."""
        if not self._order:
            self._order = list(self.council)
            self._rng.shuffle(self._order)
        return self._order.pop()

    def _random_pause_ns(self) -> int:
        return int(self._rng.random() * MAX_PAUSE_FRACTION * self.term_ns)
