"""Leader queries of balancers that are no voters: they never name one while another leads, whatever messages suffer."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.core.peer_report import read_reports
from lanemux.fleet import election_wire, leader_query
from lanemux.fleet.election import Voter
from lanemux.fleet.leader_query import Kind, LeaderMessage, LeaderTracker
from lanemux.fleet.wire import BadMessage

MS = 1_000_000
TERM = 1000 * MS
VOTERS, TRACKERS = range(3), range(3, 6)
STEP_NS = 5 * MS


@dataclass
class Result:
    """Counters of one simulation."""

    known: int = 0  # samples in which a tracker names a leader
    samples: int = 0
    queries: int = 0
    wrong: int = 0  # it names one while another leads, or, if no voter crashes, one that does not lead


class Clocks:
    """One clock per member, fast or slow by up to `drift`."""

    def __init__(self, rng: random.Random, drift: float) -> None:
        self._rates = [1 + rng.uniform(-drift, drift) for _ in (*VOTERS, *TRACKERS)]

    def now(self, member: int, true_ns: int) -> int:
        return int(true_ns * self._rates[member])


def play(
    seed: int,
    kind: type[LeaderTracker] = LeaderTracker,
    *,
    steps: int = 3000,
    loss_rate: float = 0.1,
    mean_delay_ms: float = 25,
    crashes: float = 0.001,
    drift: float = 0.0,
    term: int = TERM,
) -> Result:
    """Three voters and three trackers; messages are lost, duplicated and late, and voters restart without state."""
    rng, now, result = random.Random(seed), 0, Result()
    clocks = Clocks(rng, drift)
    voters = {number: Voter(number, VOTERS, term, random.Random(rng.random()), 0) for number in VOTERS}
    trackers = {number: kind(number, VOTERS, term, random.Random(rng.random()), 0) for number in TRACKERS}
    in_flight: list[tuple[int, int, int, object]] = []

    def send(sender: int, to: int, message: object) -> None:
        for _ in range(1 + (rng.random() < 0.1)):
            if rng.random() >= loss_rate:
                in_flight.append((now + int(rng.expovariate(1 / mean_delay_ms) * MS), sender, to, message))

    for _ in range(steps):
        now += STEP_NS
        for due in [item for item in in_flight if item[0] <= now]:
            in_flight.remove(due)
            _, sender, to, message = due
            local_ns = clocks.now(to, now)
            if to in trackers:
                assert isinstance(message, LeaderMessage)
                trackers[to].receive(sender, message, local_ns)
            elif isinstance(message, LeaderMessage):
                send(to, sender, leader_query.answer_query(voters[to], message, local_ns))
            else:
                voters[to].receive(sender, message, local_ns)  # type: ignore[arg-type]
        if rng.random() < crashes:
            number = rng.choice([*VOTERS])
            voters[number] = Voter(number, VOTERS, term, random.Random(rng.random()), clocks.now(number, now))
        members: list[tuple[int, Voter | LeaderTracker]] = [*voters.items(), *trackers.items()]
        for number, member in members:
            if clocks.now(number, now) >= member.due_ns:
                member.tick(clocks.now(number, now))
            for to, sent in member.outbox:
                send(number, to, sent)
            result.queries += len(member.outbox) if number in trackers else 0
            member.outbox.clear()
        leaders = [number for number, voter in voters.items() if voter.is_leader(clocks.now(number, now))]
        for number, tracker in trackers.items():
            believed = tracker.leader(clocks.now(number, now))
            result.samples += 1
            result.known += believed is not None
            if believed is not None:
                result.wrong += any(leader != believed for leader in leaders) or (not crashes and not leaders)
    return result


def test_no_tracker_names_a_leader_while_another_one_leads() -> None:
    known = samples = 0
    for seed in range(60):
        result = play(seed, drift=0.01, mean_delay_ms=60, crashes=0.001 * (seed % 2), loss_rate=0.1 * (seed % 3))
        assert result.wrong == 0, seed
        known, samples = known + result.known, samples + result.samples
    assert known > 0.4 * samples


class CountsFromAnswer(LeaderTracker):
    """The remaining lease is counted from when the answer came."""

    def receive(self, sender: int, message: LeaderMessage, now: int) -> None:
        sent_ns = self._query_sent_ns
        super().receive(sender, message, now)
        if sent_ns is not None and message.leader == sender == self._leader and message.query_id == self._query_id:
            self._valid_until_ns = now + message.remaining_ms * MS


class AcceptsStaleAnswers(LeaderTracker):
    """An answer to any query counts, also to one that has timed out."""

    def receive(self, sender: int, message: LeaderMessage, now: int) -> None:
        super().receive(sender, message._replace(query_id=self._query_id), now)


class TrustsRedirects(LeaderTracker):
    """A voter's redirect counts as the leader's own answer."""

    def receive(self, sender: int, message: LeaderMessage, now: int) -> None:
        if (
            message.leader >= 0
            and message.leader != sender
            and message.query_id == self._query_id
            and self._query_sent_ns is not None
        ):
            self._leader, self._valid_until_ns = message.leader, now + TERM
        super().receive(sender, message, now)


@pytest.mark.parametrize("broken", [CountsFromAnswer, AcceptsStaleAnswers, TrustsRedirects])
def test_each_planted_fault_names_a_leader_while_another_one_leads(broken: type[LeaderTracker]) -> None:
    assert any(play(seed, broken, mean_delay_ms=60, loss_rate=0.3, crashes=0.0, drift=0.01).wrong for seed in range(60))


def test_the_leader_gets_about_one_query_per_tracker_and_term() -> None:
    result = play(1, loss_rate=0.0, mean_delay_ms=2, crashes=0.0, steps=12_000, term=3 * TERM)  # a minute
    assert result.known > 0.9 * result.samples
    assert result.queries / len(TRACKERS) / (12_000 * STEP_NS / (3 * TERM)) < 1.7


def test_two_voters_that_name_one_another_are_not_queried_in_a_tight_loop() -> None:
    tracker, now, queries = LeaderTracker(9, (0, 1, 2), TERM, random.Random(1), 0), 0, 0
    while now < TERM:
        tracker.tick(now) if now >= tracker.due_ns else None
        while tracker.outbox and queries < 100:
            to, message = tracker.outbox.pop()
            queries += 1
            tracker.receive(to, LeaderMessage(Kind.ANSWER, message.query_id, 1 - to if to < 2 else 0), now)
        now += MS
    assert queries < 20


def test_a_silent_council_is_queried_with_pauses() -> None:
    tracker, now, queries = LeaderTracker(9, (0, 1, 2), TERM, random.Random(1), 0), 0, 0
    while now < 20 * TERM:
        now = max(now, tracker.due_ns)
        tracker.tick(now)
        queries, tracker.outbox = queries + len(tracker.outbox), []
    assert 60 < queries < 5.5 * 20  # 6.7 queries a second without a pause


def test_a_tracker_rejects_its_own_or_an_empty_council() -> None:
    for council in ([], [0, 1, 2]):
        with pytest.raises(ValueError, match="council"):
            LeaderTracker(0, council, TERM, random.Random(1), 0)


MESSAGES = st.builds(
    LeaderMessage,
    st.sampled_from(Kind),
    st.integers(0, 2**32 - 1),
    st.integers(-1, 2**16 - 2),
    st.integers(0, 2**32 - 1),
)


@settings(derandomize=True, deadline=None)
@given(MESSAGES)
def test_a_leader_message_round_trips_and_is_rejected_if_truncated(message: LeaderMessage) -> None:
    data = leader_query.encode(message)
    assert leader_query.decode(data) == message and leader_query.is_leader_message(data) and read_reports(data) == []
    for length in range(len(data)):
        with pytest.raises(BadMessage):
            leader_query.decode(data[:length])
    with pytest.raises(BadMessage):
        election_wire.decode(data)
