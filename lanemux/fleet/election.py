"""Leader election by leases: at most one leader at any instant, without stable storage. No I/O and no clock.

After M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2012). A voter that may have lost
its state does not vote until everything that it may have promised has expired. The holder counts its lease from before
the first message of its round, the other voters from the moment they accepted it, and the holder's is shorter by the
largest possible difference of clock rates: however late messages arrive, the lease ends at its holder first.

Terms may differ while a new setting is rolled out: a proposal tells the holder's. A lease belongs to a process, not to
its voter's number: two processes of one balancer run beside each other during an upgrade.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.01  # largest error of a clock's rate; the holder keeps a lease for (1 - D) / (1 + D) of a term
ROUND_TIMEOUT_FRACTION = 0.25  # of a term, after which an unfinished round is abandoned
RENEW_FRACTION = 0.4  # of a term, after which the holder starts to renew its lease
MAX_DELAY_FRACTION = 0.3  # of a term: upper bound of the random delay before a round


class Ballot(NamedTuple):
    """Identifies a round. The larger of two ballots takes precedence, and no two rounds share one."""

    counter: int
    voter: int
    boot_id: int


NO_BALLOT = Ballot(0, 0, 0)


class MessageKind(IntEnum):
    """Kinds of election messages."""

    PREPARE = 16  # first phase: asks for promises
    PROMISE = 17  # accepts no lower ballot from now on; names the leader that this voter has accepted
    PROPOSE = 18  # second phase: the sender claims the lease
    ACCEPT = 19
    REJECT = 20  # a larger ballot has been promised


class ElectionMessage(NamedTuple):
    """One message between voters."""

    kind: MessageKind
    ballot: Ballot
    promised: Ballot = NO_BALLOT  # REJECT: the ballot that has been promised; PROMISE: that of the accepted lease
    leader: int = -1  # PROMISE: the accepted leader whose term has not expired; -1: none
    term_ns: int = 0  # PROPOSE: how long the proposed lease lasts; 0: not told


@dataclass(slots=True)
class Round:
    """One attempt to get or renew the lease."""

    ballot: Ballot
    started_ns: int
    promised_by: set[int]
    accepted_by: set[int]
    proposed: bool = False


class Voter:
    """One voter of the council. Feed it messages and ticks, send what is in `outbox`, and query `is_leader`."""

    def __init__(
        self,
        me: int,
        council: Sequence[int],
        term_ns: int,
        rng: random.Random,
        now: int,
        *,
        may_have_voted: bool = True,
    ) -> None:
        """`may_have_voted`: an earlier process of this voter may have made promises that are lost.

        Raises ValueError if `me` is not in the council, or the council is not odd in number."""
        if me not in council or len(council) % 2 == 0:
            raise ValueError(f"{me} must be in the council {sorted(council)}, whose size must be odd")
        self.me, self.council, self.term_ns, self._rng = me, tuple(council), term_ns, rng
        self.boot_id = rng.getrandbits(31) + 1
        self.outbox: list[tuple[int, ElectionMessage]] = []
        self.no_vote_until_ns = now + term_ns if may_have_voted else now  # until then it takes no part in votes
        self.promised_ballot = NO_BALLOT
        self.accepted_leader = -1  # -1: none
        self.accepted_ballot = NO_BALLOT  # of the accepted lease
        self.accepted_until_ns = now
        self.lease_end_ns = now  # of its own lease, by its own clock
        self._round: Round | None = None
        self._next_round_ns = self.no_vote_until_ns + self._random_delay_ns()

    # -- queries and inputs --

    def is_leader(self, now: int) -> bool:
        """Whether this voter leads at `now`. Must be checked again before each action that depends on it."""
        return now < self.lease_end_ns

    def leader(self, now: int) -> int | None:
        """The leader as far as this voter knows; None if there is none or it did not accept the current one."""
        if self.is_leader(now):
            return self.me
        return (
            self.accepted_leader if self.accepted_leader not in (-1, self.me) and now < self.accepted_until_ns else None
        )

    def vote_from(self, from_ns: int) -> None:
        """Take part in votes from then on, and not before."""
        self.no_vote_until_ns = from_ns
        self._next_round_ns = from_ns + self._random_delay_ns()

    def leave(self, now: int) -> None:
        """Orderly shutdown: give up the lease and start no more rounds."""
        self.lease_end_ns = min(self.lease_end_ns, now)
        self._round = None
        self._next_round_ns = now + 2**62

    @property
    def due_ns(self) -> int:
        """When the next tick is needed."""
        return (
            self._next_round_ns
            if self._round is None
            else min(self._next_round_ns, self._round_deadline_ns(self._round))
        )

    def tick(self, now: int) -> None:
        """Advance to `now`."""
        if self._round is not None and now >= self._round_deadline_ns(self._round):
            self._round = None
            self._next_round_ns = max(self._next_round_ns, now + self._random_delay_ns())
        if now >= self._next_round_ns and now >= self.no_vote_until_ns:
            self.start_round(now)

    def start_round(self, now: int) -> None:
        """Start a round, unless another voter is known to lead."""
        self._expire_accepted(now)
        self._next_round_ns = now + self._random_delay_ns() + int(self.term_ns * RENEW_FRACTION)
        if self.accepted_leader not in (-1, self.me):
            return  # another voter leads
        ballot = Ballot(self.promised_ballot.counter + 1, self.me, self.boot_id)
        self._round = Round(ballot, now, set(), set())
        self._broadcast(ElectionMessage(MessageKind.PREPARE, ballot), now)

    def receive(self, sender: int, message: ElectionMessage, now: int) -> None:
        """Handle a message of another voter; messages of anybody else are ignored."""
        if sender in self.council and sender != self.me:
            self._handle(sender, message, now)

    # -- acceptor --

    def _handle(self, sender: int, message: ElectionMessage, now: int) -> None:
        if message.kind in (MessageKind.PREPARE, MessageKind.PROPOSE):
            if now < self.no_vote_until_ns:
                return
            self._expire_accepted(now)
            reply = (
                self._on_prepare(message.ballot)
                if message.kind is MessageKind.PREPARE
                else self._on_propose(sender, message, now)
            )
            if sender == self.me:
                self._on_reply(self.me, reply, now)
            else:
                self.outbox.append((sender, reply))
        else:
            self._on_reply(sender, message, now)

    def _on_prepare(self, ballot: Ballot) -> ElectionMessage:
        if ballot < self.promised_ballot:
            return ElectionMessage(MessageKind.REJECT, ballot, self.promised_ballot, self.accepted_leader)
        self.promised_ballot = ballot
        return ElectionMessage(MessageKind.PROMISE, ballot, self.accepted_ballot, self.accepted_leader)

    def _on_propose(self, sender: int, message: ElectionMessage, now: int) -> ElectionMessage:
        ballot = message.ballot
        if ballot < self.promised_ballot:
            return ElectionMessage(MessageKind.REJECT, ballot, self.promised_ballot, self.accepted_leader)
        self.promised_ballot = self.accepted_ballot = ballot
        self.accepted_leader, self.accepted_until_ns = sender, now + max(self.term_ns, message.term_ns)
        return ElectionMessage(MessageKind.ACCEPT, ballot)

    def _expire_accepted(self, now: int) -> None:
        if self.accepted_leader >= 0 and now >= self.accepted_until_ns:
            self.accepted_leader, self.accepted_ballot = -1, NO_BALLOT

    # -- proposer --

    def _on_reply(self, sender: int, message: ElectionMessage, now: int) -> None:
        if message.kind is MessageKind.REJECT:
            self.promised_ballot = max(self.promised_ballot, message.promised)  # the next ballot must be larger
        current = self._round
        if current is None or message.ballot != current.ballot or now >= self._round_deadline_ns(current):
            return  # reply to a round that has ended
        if message.kind is MessageKind.PROMISE and self._names_no_other_holder(message):
            current.promised_by.add(sender)
            if not current.proposed and self._is_majority(current.promised_by):
                current.proposed = True
                self._broadcast(ElectionMessage(MessageKind.PROPOSE, current.ballot, term_ns=self.term_ns), now)
        elif message.kind is MessageKind.ACCEPT:
            current.accepted_by.add(sender)
            if self._is_majority(current.accepted_by):
                self._round = None
                self.lease_end_ns = max(self.lease_end_ns, self._lease_end(current))
                self._next_round_ns = current.started_ns + int(self.term_ns * RENEW_FRACTION)

    def _names_no_other_holder(self, promise: ElectionMessage) -> bool:
        """True if the promise names no lease, or one of this process. Earlier versions do not tell the process."""
        own = promise.leader == self.me and promise.promised.boot_id in (self.boot_id, NO_BALLOT.boot_id)
        return own or promise.leader == -1

    def _lease_end(self, current: Round) -> int:
        """Counted from before the first message, and shortened by the largest difference of two clock rates."""
        return current.started_ns + int(self.term_ns * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT))

    def _round_deadline_ns(self, current: Round) -> int:
        return current.started_ns + int(self.term_ns * ROUND_TIMEOUT_FRACTION)

    def _is_majority(self, voters: Iterable[int]) -> bool:
        return 2 * len(set(voters)) > len(self.council)

    def _broadcast(self, message: ElectionMessage, now: int) -> None:
        self.outbox += [(voter, message) for voter in self.council if voter != self.me]
        self._handle(self.me, message, now)

    def _random_delay_ns(self) -> int:
        return int(self._rng.random() * MAX_DELAY_FRACTION * self.term_ns)
