"""Fleet membership: SWIM with the extensions of Lifeguard, as a state machine. No I/O and no clock.

After A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002), and A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection" (DSN-W 2018). What each balancer knows of another is one pair, (incarnation, status), and the larger
pair takes precedence: updates may come late, twice and in any order, and all tables converge. Only a member raises its
own incarnation.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from lanemux.fleet.wire import (
    MAX_INCARNATION,
    MAX_NUMBER,
    MAX_UPDATES,
    NO_MEMBER,
    BadMessage,
    Kind,
    Message,
    Status,
    Update,
    decode,
)

MS = 1_000_000
PERIOD_NS = 500 * MS  # between two probes of one member: with about three messages each, some 2 kB/s
ANSWER_TIMEOUT_NS = 150 * MS  # answers take up to 66 ms on the platform; then come indirect probes
MAX_HELPERS = 3  # members that are asked to probe one that does not answer
ANNOUNCE_FANOUT = 6  # members that are notified at once of a leave or a refuted suspicion
# Shortest suspicion: so many periods times log10 of the fleet's size; unconfirmed it lasts longer by the factor.
MIN_SUSPICION_PERIODS, MAX_SUSPICION_FACTOR = 5.0, 3.0
MAX_CONFIRMATIONS = 3  # members suspecting the same one, at which the suspicion is shortest
RETRANSMIT_FACTOR = 3  # times log2 of the fleet's size: how often an update is passed on
MAX_SLOWNESS = 8  # Lifeguard's bound on how far a slow process stretches its own timeouts
SYNC_EVERY = 16  # periods between two exchanges of tables, which repair missed updates
GONE_PROBE_EVERY = 8  # of so many probes one goes to a member that is gone: heals a network partition
SUSPENSION_NS = 250 * MS  # a tick this late: the process itself was suspended, and missing answers do not count


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one member's status, for the owner to read."""

    number: int
    status: Status
    incarnation: int


@dataclass(slots=True)
class Member:
    """What is known of one balancer."""

    number: int
    status: Status = Status.UP  # configured members count as up until they are probed
    incarnation: int = 0
    reporter: int = NO_MEMBER
    transmissions: int = 10**6  # how often the update was passed on; a new one starts at 0
    suspected_ns: int = 0
    suspected_by: set[int] = field(default_factory=set)  # MAX_CONFIRMATIONS at most

    @property
    def version(self) -> tuple[int, int]:
        return self.incarnation, self.status


@dataclass(slots=True)
class Probe:
    """The outstanding probe of one member."""

    number: int
    sequence: int
    sent_ns: int
    deadline_ns: int
    indirect: bool = False
    nacks: int = 0  # helpers that are alive but got no answer either
    helpers: int = 0


class Members:
    """One balancer's view. Feed it messages and ticks, send what is in `outbox`, and read `changes`."""

    def __init__(self, me: int, count: int, rng: random.Random, now: int, incarnation: int = 0) -> None:
        """`count`: configured balancers, numbered from 0; `incarnation`: its own last known one, or 0 if it has to be
        learned from the others. Raises ValueError for numbers that do not fit in the messages."""
        if not 0 <= me < count <= MAX_NUMBER + 1:
            raise ValueError(f"number {me} of {count} balancers: allowed are 1 to {MAX_NUMBER + 1}")
        self.me, self.count, self._rng = me, count, rng
        self.incarnation = min(incarnation + 1, MAX_INCARNATION) if incarnation else 0
        self.boot_id = rng.getrandbits(32)
        self.members = {n: Member(n) for n in range(count) if n != me}
        self.slowness = 0  # Lifeguard's local health: how slow this process itself seems, 0 to MAX_SLOWNESS
        self.unreadable = 0  # messages that could not be decoded or came from an unknown sender
        self.leaving = False
        self.outbox: list[tuple[int, bytes]] = []  # (member, datagram)
        self.changes: list[Change] = []
        self._max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))
        self._order: list[int] = []  # members still to probe in this round
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, tuple[int, int, int, int]] = {}  # (requester, its sequence, target, deadline)
        self._sequence = rng.getrandbits(16)
        self._probe_count = 0
        self._gossip_queue: dict[int, None] = {}  # members whose updates are still to be passed on, as an ordered set
        self._suspects: dict[int, None] = {}  # ordered set
        self._next_probe_ns = now + int(rng.random() * PERIOD_NS)
        self._sync_start = 0

    # -- queries and inputs --

    @property
    def due_ns(self) -> int:
        """When the next tick is needed."""
        suspicion_ends = [self._suspicion_end_ns(self.members[n]) for n in self._suspects]
        return min(
            [self._probe_due_ns, *suspicion_ends, *(deadline_ns for *_, deadline_ns in self._relayed_probes.values())]
        )

    @property
    def _probe_due_ns(self) -> int:
        """When its own probe or period is due. No message of others moves that into the past."""
        probe = self._probe
        if probe is None:
            return self._next_probe_ns
        return min(
            self._next_probe_ns, probe.deadline_ns if probe.indirect else probe.sent_ns + self._answer_timeout_ns
        )

    def alive(self) -> list[int]:
        """Numbers of the members that count as alive, this one included."""
        numbers = [m.number for m in self.members.values() if m.status <= Status.SUSPECTED]
        return sorted([*numbers, self.me])

    def tick(self, now: int) -> None:
        """Advance to `now`."""
        late = now - self._probe_due_ns
        if late > SUSPENSION_NS:
            self._on_suspension(late, now)
        if self._probe is not None:
            self._check_probe(self._probe, now)
        for number in [n for n in self._suspects if now >= self._suspicion_end_ns(self.members[n])]:
            member = self.members[number]
            self._apply(Update(number, Status.GONE, member.incarnation, self.me), now)
        for sequence, (requester, requester_sequence, target, deadline_ns) in list(self._relayed_probes.items()):
            if now >= deadline_ns:
                del self._relayed_probes[sequence]
                self._send(requester, Kind.NACK, requester_sequence, target)
        if now >= self._next_probe_ns:
            self._next_probe_ns = now + PERIOD_NS * (1 + self.slowness)
            self._start_probe(now)

    def leave(self) -> None:
        """Orderly shutdown: notify a few members, which pass it on."""
        self.leaving = True
        self._announce()

    def receive(self, sender: int, data: bytes, now: int) -> None:
        """Handle a peer's datagram; one that is no membership message is only counted."""
        try:
            message = decode(data)
        except BadMessage:
            self.unreadable += 1
            return
        member = self.members.get(sender)
        if member is None:
            self.unreadable += 1
            return
        if (message.incarnation, Status.UP) > member.version:
            self._apply(Update(sender, Status.UP, message.incarnation, sender), now)
        self._refute(message.receiver_status, message.receiver_incarnation)
        for update in message.updates:
            if update.number == self.me:
                self._refute(update.status, update.incarnation)
            elif update.number in self.members:
                self._apply(update, now)
        self._respond(sender, message, now)

    # -- probes --

    @property
    def _answer_timeout_ns(self) -> int:
        return ANSWER_TIMEOUT_NS * (1 + self.slowness)

    def _start_probe(self, now: int) -> None:
        """Start the next probe and, every SYNC_EVERY probes, an exchange of tables."""
        if self._probe is not None:  # it ends with its period
            self._fail_probe(self._probe, now)
        self._probe_count += 1
        number = self._next_target()
        if number is None:
            return
        self._sequence = (self._sequence + 1) % 2**16
        self._probe = Probe(number, self._sequence, now, self._next_probe_ns)
        self._send(number, Kind.PING, self._sequence)
        if self._probe_count % SYNC_EVERY == 1 and (others := self._random_members(1, ())):
            self._send(others[0], Kind.SYNC, 0, self._sync_start, self._table_updates(self._sync_start))
            self._sync_start = self._rng.randrange(self.count)

    def _next_target(self) -> int | None:
        """Each member in turn, in an order shuffled for each round; every GONE_PROBE_EVERY probes one that is gone."""
        if self._probe_count % GONE_PROBE_EVERY == 0:
            gone = [m.number for m in self.members.values() if m.status is Status.GONE]
            if gone:
                return self._rng.choice(gone)
        for _ in range(2):
            while self._order:
                number = self._order.pop()
                if self.members[number].status <= Status.SUSPECTED:
                    return number
            self._order = list(self.members)
            self._rng.shuffle(self._order)
        return self._rng.choice(self._order) if self._order else None

    def _check_probe(self, probe: Probe, now: int) -> None:
        """Start indirect probes if the answer is late; fail the probe if there is none by the end of the period."""
        if now >= probe.deadline_ns:
            self._fail_probe(probe, now)
        elif not probe.indirect and now >= probe.sent_ns + self._answer_timeout_ns:
            probe.indirect = True
            helpers = self._random_members(MAX_HELPERS, (probe.number,))
            probe.helpers = len(helpers)
            for helper in helpers:
                self._send(helper, Kind.PING_REQUEST, probe.sequence, probe.number)

    def _fail_probe(self, probe: Probe, now: int) -> None:
        self._probe = None
        if probe.helpers and not probe.nacks:
            self._adjust_slowness(1)  # not even the helpers answered: this process may be the slow one
        member = self.members[probe.number]
        if member.status <= Status.SUSPECTED:
            self._apply(Update(probe.number, Status.SUSPECTED, member.incarnation, self.me), now)

    def _respond(self, sender: int, message: Message, now: int) -> None:
        probe = self._probe
        if message.kind is Kind.PING:
            self._send(sender, Kind.ACK, message.sequence)
        elif message.kind is Kind.ACK:
            if probe is not None and (probe.number, probe.sequence) == (sender, message.sequence):
                self._probe = None
                self._adjust_slowness(-1)
            relayed = self._relayed_probes.get(message.sequence)
            if relayed is not None and relayed[2] == sender:
                del self._relayed_probes[message.sequence]
                self._send(relayed[0], Kind.INDIRECT_ACK, relayed[1], sender)
        elif message.kind is Kind.PING_REQUEST and message.subject in self.members:
            if len(self._relayed_probes) < self.count:  # at most one probe per member at a time
                self._sequence = (self._sequence + 1) % 2**16
                self._relayed_probes[self._sequence] = (
                    sender,
                    message.sequence,
                    message.subject,
                    now + ANSWER_TIMEOUT_NS,
                )
                self._send(message.subject, Kind.PING, self._sequence)
        elif message.kind is Kind.INDIRECT_ACK:
            if probe is not None and (probe.number, probe.sequence) == (message.subject, message.sequence):
                self._probe = None
        elif message.kind is Kind.NACK:
            if probe is not None and (probe.number, probe.sequence) == (message.subject, message.sequence):
                probe.nacks += 1
        elif message.kind is Kind.SYNC:
            self._send(sender, Kind.ACK, 0, NO_MEMBER, self._table_updates(message.subject))

    # -- table --

    def _apply(self, update: Update, now: int) -> None:
        """Apply an update on another member: the larger pair wins; each further suspecting member shortens the wait."""
        member = self.members[update.number]
        if (update.incarnation, update.status) < member.version:
            return
        if (update.incarnation, update.status) == member.version:
            if (
                update.status is Status.SUSPECTED
                and update.reporter not in member.suspected_by
                and len(member.suspected_by) < MAX_CONFIRMATIONS
            ):
                member.suspected_by.add(update.reporter)
                self._queue_update(member)
            return
        before = member.status
        member.status, member.incarnation, member.reporter = update.status, update.incarnation, update.reporter
        self._suspects.pop(update.number, None)
        member.suspected_by.clear()
        if update.status is Status.SUSPECTED:
            member.suspected_ns = now
            member.suspected_by.add(update.reporter)
            self._suspects[update.number] = None
        self._queue_update(member)
        if member.status is not before:
            self.changes.append(Change(member.number, member.status, member.incarnation))

    def _refute(self, status: Status, incarnation: int) -> None:
        """Refute claims that this balancer is not up with a higher incarnation, also those about an earlier process."""
        if self.leaving or incarnation < self.incarnation or (incarnation, status) == (self.incarnation, Status.UP):
            return
        if status is not Status.UP and incarnation == self.incarnation:
            self._adjust_slowness(1)
        if status is Status.UP:
            self.incarnation = incarnation  # of an earlier or another process of this balancer
            return
        self.incarnation = min(incarnation + 1, MAX_INCARNATION)
        self._announce()  # at once: those who suspect it have a timer running

    def _suspicion_end_ns(self, member: Member) -> int:
        """When a suspected member counts as gone: the sooner, the more members suspect it."""
        shortest = MIN_SUSPICION_PERIODS * max(1.0, math.log10(self.count)) * PERIOD_NS
        longest = MAX_SUSPICION_FACTOR * shortest
        confirmation_ratio = (
            math.log(len(member.suspected_by)) / math.log(MAX_CONFIRMATIONS) if member.suspected_by else 0.0
        )
        return member.suspected_ns + int(max(shortest, longest - (longest - shortest) * confirmation_ratio))

    def _on_suspension(self, duration_ns: int, now: int) -> None:
        """This process was suspended: answers missing in that time say nothing about others."""
        self._probe = None
        self._relayed_probes.clear()
        for number in self._suspects:
            self.members[number].suspected_ns += duration_ns
        self._adjust_slowness(1)
        self._next_probe_ns = max(self._next_probe_ns, now)

    def _adjust_slowness(self, change: int) -> None:
        self.slowness = max(0, min(MAX_SLOWNESS, self.slowness + change))

    # -- sending --

    def _queue_update(self, member: Member) -> None:
        member.transmissions = 0
        self._gossip_queue.pop(member.number, None)
        self._gossip_queue[member.number] = None

    def _random_members(self, limit: int, exclude: Iterable[int]) -> list[int]:
        """At most `limit` random members that are up."""
        alive = [m.number for m in self.members.values() if m.status is Status.UP and m.number not in exclude]
        return self._rng.sample(alive, min(limit, len(alive)))

    def _announce(self) -> None:
        for number in self._random_members(ANNOUNCE_FANOUT, ()):
            self._send(number, Kind.ACK, 0)

    def _table_updates(self, start: int) -> tuple[Update, ...]:
        """Members that differ from their initial state, from number `start` on, wrapping around."""
        updates = []
        for i in range(self.count):
            member = self.members.get((start + i) % self.count)
            if member is not None and member.version != (0, Status.UP):
                updates.append(Update(member.number, member.status, member.incarnation, member.reporter))
                if len(updates) == MAX_UPDATES:
                    break
        return tuple(updates)

    def _send(
        self, to: int, kind: Kind, sequence: int, subject: int = NO_MEMBER, updates: tuple[Update, ...] = ()
    ) -> None:
        member, included = self.members[to], list(updates)
        if self.leaving:
            included = [Update(self.me, Status.LEAVING, self.incarnation, self.me), *included][:MAX_UPDATES]
        for number in list(islice(self._gossip_queue, MAX_UPDATES - len(included))):
            other = self.members[number]
            included.append(Update(number, other.status, other.incarnation, other.reporter))
            other.transmissions += 1
            del self._gossip_queue[number]
            if other.transmissions < self._max_transmissions:
                self._gossip_queue[number] = None  # re-queued behind those that have waited longer
        self.outbox.append(
            (
                to,
                Message(
                    kind,
                    self.boot_id,
                    self.incarnation,
                    member.status,
                    member.incarnation,
                    sequence,
                    subject,
                    tuple(included),
                ).encode(),
            )
        )
