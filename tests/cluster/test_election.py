"""Never two leaders at one instant: exhaustive exploration up to a depth, and planted faults that it must find."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.core.peer_report import read_reports
from lanemux.fleet import election, election_wire, wire
from lanemux.fleet.election import Ballot, ElectionMessage, MessageKind, Round, Voter
from lanemux.fleet.wire import BadMessage
from tests.cluster import explore as explorer
from tests.cluster.explore import TERM, explore, idle, proposed, with_leader
from tests.cluster.rig import cluster

MS = 1_000_000


@pytest.mark.parametrize(("make_start", "depth"), [(idle, 7), (proposed, 6), (with_leader, 6)])
def test_no_order_of_delay_duplication_crash_state_loss_and_expiry_gives_two_leaders(
    make_start: explorer.MakeVoter, depth: int
) -> None:
    found = explore(depth, make_start=make_start)  # type: ignore[arg-type]
    assert found.path is None and found.states > 1000


class VotesAtOnce(Voter):
    """A voter that has lost its state votes at once."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.no_vote_until_ns = 0


class VotesTooEarly(Voter):
    """It abstains only for a third of the time for which it may have promised."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.no_vote_until_ns -= (self.no_vote_until_ns > 10 * TERM) * 2 * TERM // 3


class PromiseWithoutLeader(Voter):
    """A promise does not name the accepted leader."""

    def _on_prepare(self, ballot: Ballot) -> ElectionMessage:
        return super()._on_prepare(ballot)._replace(leader=-1)


class AcceptsLowerBallot(Voter):
    """A ballot below the promised one is accepted."""

    def _on_propose(self, sender: int, message: ElectionMessage, now: int) -> ElectionMessage:
        self.promised_ballot = election.NO_BALLOT
        return super()._on_propose(sender, message, now)


class NoMajority(Voter):
    """One vote counts as a majority."""

    def _is_majority(self, voters: object) -> bool:
        return True


class LeaseTooLong(Voter):
    """The holder takes its lease to last longer than granted."""

    def _lease_end(self, current: Round) -> int:
        return current.started_ns + 2 * TERM


@pytest.mark.parametrize(
    ("broken", "make_start", "depth", "crashes"),
    [
        (VotesAtOnce, with_leader, 6, 1),
        (VotesTooEarly, with_leader, 7, 1),
        (PromiseWithoutLeader, with_leader, 5, 0),
        (AcceptsLowerBallot, proposed, 7, 0),
        (NoMajority, idle, 2, 0),
        (LeaseTooLong, with_leader, 8, 0),
    ],
)
def test_each_planted_fault_gives_two_leaders(
    broken: type[Voter], make_start: explorer.MakeVoter, depth: int, crashes: int
) -> None:
    def make(number: int, now: int, may_have_voted: bool) -> Voter:
        made = broken(number, (0, 1, 2), TERM, random.Random(0), now, may_have_voted=may_have_voted)
        made.boot_id = 0
        return made

    assert explore(depth, make, make_start, crashes).path is not None  # type: ignore[arg-type]


def play(voters: dict[int, Voter], rng: random.Random, steps: int, loss_rate: float) -> tuple[int, int]:
    """Voters whose messages are lost and late, and that restart without state: (steps with a leader, all steps)."""
    now, in_flight, led_steps = 0, list[tuple[int, int, int, ElectionMessage]](), 0
    for _ in range(steps):
        now += 5 * MS
        for due, sender, to, message in [w for w in in_flight if w[0] <= now]:
            in_flight.remove((due, sender, to, message))
            voters[to].receive(sender, message, now)
        if rng.random() < 0.001:
            i = rng.choice(list(voters))
            voters[i] = Voter(i, voters[i].council, voters[i].term_ns, random.Random(rng.random()), now)
        for i, voter in voters.items():
            if now >= voter.due_ns:
                voter.tick(now)
            for to, message in voter.outbox:
                for _ in range(1 + (rng.random() < 0.1)):
                    if rng.random() >= loss_rate:
                        in_flight.append((now + int(rng.expovariate(1 / 25) * MS), i, to, message))
            voter.outbox.clear()
        leaders = [i for i, voter in voters.items() if voter.is_leader(now)]
        assert len(leaders) <= 1
        led_steps += len(leaders)
    return led_steps, steps


@pytest.mark.parametrize("council", [1, 3, 5, 7])
def test_there_is_a_leader_most_of_the_time_and_never_two(council: int) -> None:
    for seed in range(10):
        rng = random.Random(seed)
        voters = {i: Voter(i, range(council), 1000 * MS, random.Random(rng.random()), 0) for i in range(council)}
        led_steps, of = play(voters, rng, 4000, loss_rate=0.1)
        assert led_steps > 0.6 * of


def test_a_suspended_leader_has_lost_its_lease_when_it_resumes() -> None:
    voter = Voter(0, [0], 1000 * MS, random.Random(1), 0, may_have_voted=False)
    voter.start_round(0)
    assert voter.is_leader(900 * MS) and not voter.is_leader(10_000 * MS)


def test_an_invalid_council_is_rejected() -> None:
    for council in ([0, 1], [1, 2, 3]):
        with pytest.raises(ValueError, match="council"):
            Voter(0, council, MS, random.Random(1), 0)


def test_messages_of_a_sender_that_is_no_voter_are_ignored() -> None:
    voter = Voter(0, [0, 1, 2], 1000 * MS, random.Random(1), 0, may_have_voted=False)
    voter.receive(7, ElectionMessage(MessageKind.PREPARE, Ballot(9, 7, 1)), 0)
    assert voter.outbox == [] and voter.promised_ballot == election.NO_BALLOT


MESSAGES = st.builds(
    ElectionMessage,
    st.sampled_from(MessageKind),
    st.builds(Ballot, *[st.integers(0, 2**32 - 1), st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1)]),
    st.just(election.NO_BALLOT),
    st.integers(-1, 2**16 - 2),
    st.integers(0, election_wire.MAX_TERM_UNITS).map(lambda units: units * election_wire.TERM_UNIT_NS),
)


@settings(derandomize=True, deadline=None)
@given(MESSAGES)
def test_an_election_message_round_trips_and_is_rejected_if_truncated(message: ElectionMessage) -> None:
    data = election_wire.encode(message)
    assert (
        election_wire.decode(data) == message and election_wire.is_election_message(data) and read_reports(data) == []
    )
    for length in range(len(data)):
        with pytest.raises(BadMessage):
            election_wire.decode(data[:length])
    with pytest.raises(BadMessage):
        wire.decode(data)


def test_one_of_three_processes_leads_and_another_takes_over_when_it_is_suspended(tmp_path: Path) -> None:
    async def test() -> None:
        operators = "[fleet]\ncouncil = [0, 1, 2]\nlease_ms = 1000\n"
        async with cluster(tmp_path, 4, seed=5, operators=operators) as fleet:
            for link in fleet.relay.links.values():
                link.loss_rate, link.duplicate_rate, link.delay_s = 0.05, 0.1, (0.0, 0.03)

            async def leader(of: list[int], but: int = -1) -> int:
                """The leader that all of these name."""
                async with asyncio.timeout(20):
                    while True:
                        told = {(await fleet.call(i, "/admin/fleet"))["leader"] for i in of}
                        if len(told) == 1 and told.isdisjoint({None, but}):
                            return int(told.pop())
                        await asyncio.sleep(0.02)

            first = await leader([0, 1, 2, 3])  # the last one is no voter and has to ask
            fleet.signal(first, signal.SIGSTOP)
            second = await leader([i for i in (0, 1, 2, 3) if i != first], but=first)
            fleet.signal(first, signal.SIGCONT)
            assert (await fleet.call(first, "/admin/fleet"))["leader"] != first
            assert await leader([0, 1, 2]) == second
            await fleet.kill(second)
            third = await leader([i for i in (0, 1, 2, 3) if i != second], but=second)
            await fleet.start(second)  # without state: it does not vote while earlier promises may be valid
            assert third != second and await leader([0, 1, 2]) != second

    asyncio.run(asyncio.wait_for(test(), 60))
