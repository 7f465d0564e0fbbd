"""Fleet membership and leader as a plugin of a running balancer: logged and reported. No I/O and no clock."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from lanemux.fleet import election_wire, leader_query, term_survey
from lanemux.fleet.election import Voter
from lanemux.fleet.leader_query import LeaderTracker, is_leader_message
from lanemux.fleet.members import Members
from lanemux.fleet.term_survey import TermSurvey, is_term_message
from lanemux.fleet.wire import MAGIC, BadMessage, Status

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
Decoded = TypeVar("Decoded")
ALONE_CHECK_NS = SECOND // 10  # interval of asking whether another process of this balancer still runs
NEVER_NS = 2**62
MAX_LOG_LINES_PER_SECOND = 8  # further changes are only counted


class FleetPlugin:
    """One balancer's view of the fleet: members and leader."""

    name, message_type = "fleet", MAGIC

    def __init__(
        self,
        me: int,
        count: int,
        rng: random.Random,
        now: int,
        council: Sequence[int] = (),
        term_ns: int = 3 * SECOND,
        is_alone: Callable[[], bool] = lambda: True,
    ) -> None:
        """`council`: the voters, empty for no election. `is_alone`: whether no other process of this balancer
        runs; from the first True on it is not asked again. Raises ValueError as Members, Voter and LeaderTracker do."""
        self.members = Members(me, count, rng, now)
        self.council = tuple(council)
        self.voter = Voter(me, council, term_ns, rng, now) if me in council else None
        self.leader_tracker = LeaderTracker(me, council, term_ns, rng, now) if council and self.voter is None else None
        self._term_ns, self._is_alone = term_ns, is_alone
        self._survey: TermSurvey | None = None  # set once this process is the only one of its balancer
        self._next_alone_check_ns = now
        if self.voter is not None:
            self.voter.vote_from(NEVER_NS)
            self._begin_voting(now)
        self._leader: int | None = None  # as last logged
        self._unreadable = 0  # election and leader messages that could not be decoded
        self._answers: list[tuple[int, bytes]] = []  # to leader queries of balancers that are no voters
        self._log_second, self._logged_count, self._suppressed_count = 0, 0, 0

    @property
    def next_tick_ns(self) -> int:
        due_ns = min(
            participant.due_ns
            for participant in (self.members, self.voter, self._survey, self.leader_tracker)
            if participant is not None
        )
        return min(due_ns, self._next_alone_check_ns) if self._waits_to_be_alone else due_ns

    @property
    def _waits_to_be_alone(self) -> bool:
        return self.voter is not None and self._survey is None

    def _begin_voting(self, now: int) -> None:
        """Begin to take part in votes unless another process of this balancer does."""
        if self.voter is None or now < self._next_alone_check_ns:
            return
        self._next_alone_check_ns = now + ALONE_CHECK_NS
        if self._is_alone():
            self._survey = TermSurvey(self.members.me, self.council, self._term_ns, now)
            self.voter.vote_from(self._survey.no_vote_until_ns)

    def on_message(self, sender: int, data: bytes, now: int) -> None:
        if is_leader_message(data):
            self._on_leader_message(sender, data, now)
        elif is_term_message(data):
            self._on_term_message(sender, data)
        elif election_wire.is_election_message(data):
            self._on_election_message(sender, data, now)
        else:
            self.members.receive(sender, data, now)
        self._log_changes(now)

    def _on_election_message(self, sender: int, data: bytes, now: int) -> None:
        message = self._decode(election_wire.decode, data)
        if message is not None and self.voter is not None:
            self.voter.receive(sender, message, now)

    def _on_term_message(self, sender: int, data: bytes) -> None:
        message = self._decode(term_survey.decode, data)
        if message is None or self.voter is None or self._survey is None:
            return
        was_complete = self._survey.complete
        self._survey.receive(sender, message)
        if self._survey.complete and not was_complete:
            self.voter.vote_from(self._survey.no_vote_until_ns)

    def _on_leader_message(self, sender: int, data: bytes, now: int) -> None:
        message = self._decode(leader_query.decode, data)
        if message is None:
            return
        if self.leader_tracker is not None:
            self.leader_tracker.receive(sender, message, now)
        elif self.voter is not None and message.kind is leader_query.Kind.QUERY and sender not in self.council:
            self._answers.append((sender, leader_query.encode(leader_query.answer_query(self.voter, message, now))))

    def _decode(self, decode: Callable[[bytes], Decoded], data: bytes) -> Decoded | None:
        try:
            return decode(data)
        except BadMessage:
            self._unreadable += 1
            return None

    def leader(self, now: int) -> int | None:
        """The leader at `now` as far as this balancer knows; None: there is none, or it is not known."""
        participant = self.voter or self.leader_tracker
        return None if participant is None else participant.leader(now)

    def tick(self, now: int) -> None:
        if now >= self.members.due_ns:
            self.members.tick(now)
        if self._waits_to_be_alone:
            self._begin_voting(now)
        if self._survey is not None and now >= self._survey.due_ns:
            self._survey.tick(now)
        if self.voter is not None and now >= self.voter.due_ns:
            self.voter.tick(now)
        if self.leader_tracker is not None and now >= self.leader_tracker.due_ns:
            self.leader_tracker.tick(now)
        self._log_changes(now)

    def shutdown(self, now: int) -> None:
        self.members.leave()
        if self.voter is not None:
            self.voter.leave(now)

    def take_outgoing(self) -> list[tuple[int, bytes]]:
        datagrams, self.members.outbox = self.members.outbox, []
        if self.voter is not None:
            datagrams += [(to, election_wire.encode(message)) for to, message in self.voter.outbox]
            self.voter.outbox = []
        if self._survey is not None:
            datagrams += [(to, term_survey.encode(message)) for to, message in self._survey.outbox]
            self._survey.outbox = []
        if self.leader_tracker is not None:
            datagrams += [(to, leader_query.encode(message)) for to, message in self.leader_tracker.outbox]
            self.leader_tracker.outbox = []
        datagrams += self._answers
        self._answers = []
        return datagrams

    def status(self, now: int) -> Mapping[str, object]:
        """The JSON object of `/admin/fleet`."""
        known = {member.number: (member.status, member.incarnation) for member in self.members.members.values()}
        known[self.members.me] = (Status.LEAVING if self.members.leaving else Status.UP, self.members.incarnation)
        members = [
            {"number": number, "state": status.name.lower(), "incarnation": incarnation}
            for number, (status, incarnation) in sorted(known.items())
        ]
        return {
            "me": self.members.me,
            "members": members,
            "council": self.council,
            "leader": self.leader(now),
            "slow": self.members.slowness,
            "unread": self.members.unreadable + self._unreadable,
        }

    def _log_changes(self, now: int) -> None:
        if now // SECOND != self._log_second:
            if self._suppressed_count:
                log.info("fleet: %d further changes were not logged in that second", self._suppressed_count)
            self._log_second, self._logged_count, self._suppressed_count = now // SECOND, 0, 0
        leader = self.leader(now)
        if leader != self._leader:
            self._leader = leader
            self._log_line(
                "no known leader"
                if leader is None
                else "this balancer leads"
                if leader == self.members.me
                else f"balancer {leader} leads"
            )
        for change in self.members.changes:
            self._log_line(
                f"balancer {change.number} is {change.status.name.lower()} (incarnation {change.incarnation})"
            )
        self.members.changes.clear()

    def _log_line(self, text: str) -> None:
        if self._logged_count < MAX_LOG_LINES_PER_SECOND:
            log.info("fleet: %s", text)
        self._suppressed_count += self._logged_count >= MAX_LOG_LINES_PER_SECOND
        self._logged_count += 1
