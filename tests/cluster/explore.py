"""Exhaustive exploration of the election up to a depth: loss, duplication, delay, crash, lost state and expiry.

It runs the production voters. A state consists of the voters, the messages in flight and the time; from each state
every possible step is taken once. A message may be delivered at any later time or never, and stays in flight after
delivery, so that it may arrive twice; a voter may crash and restart without its state; time advances by a tick. Two of
the three voters start rounds. The result is the number of states, and whether two voters ever led at the same time.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lanemux.fleet.election import ElectionMessage, MessageKind, Voter

TERM, TICK = 300, 100  # nanoseconds, the unit of the voters; a term has three ticks
PROPOSERS, MAX_ROUNDS = (0, 2), 2  # who starts rounds, and how many at most

MakeVoter = Callable[[int, int, bool], Voter]  # of its number, the time, and whether it may have voted before


def make_voter(number: int, now: int, may_have_voted: bool) -> Voter:
    """One of three voters; its random generator has no influence here."""
    made = Voter(number, (0, 1, 2), TERM, random.Random(0), now, may_have_voted=may_have_voted)
    made.boot_id = 0
    return made


@dataclass(slots=True)
class State:
    """The complete state."""

    now: int
    voters: list[Voter]
    in_flight: frozenset[tuple[int, int, ElectionMessage]]
    crashes: int = 0

    def key(self) -> tuple[object, ...]:
        """Equal for equivalent states: times are relative to now."""
        now, seen = self.now, []
        for voter in self.voters:
            current = voter._round
            seen.append(
                (
                    max(0, voter.no_vote_until_ns - now),
                    voter.promised_ballot,
                    voter.accepted_leader if voter.accepted_until_ns > now else -1,
                    max(0, voter.accepted_until_ns - now),
                    max(0, voter.lease_end_ns - now),
                    current
                    and (
                        current.ballot,
                        now - current.started_ns if now - current.started_ns <= TERM else TERM,
                        frozenset(current.promised_by),
                        frozenset(current.accepted_by),
                        current.proposed,
                    ),
                )
            )
        return tuple(seen), self.in_flight, self.crashes

    def copy(self) -> State:
        return State(self.now, [self._copy_voter(voter) for voter in self.voters], self.in_flight, self.crashes)

    @staticmethod
    def _copy_voter(of: Voter) -> Voter:
        copied = copy.copy(of)
        copied.outbox = []
        if of._round is not None:
            copied._round = copy.copy(of._round)
            copied._round.promised_by, copied._round.accepted_by = (
                set(of._round.promised_by),
                set(of._round.accepted_by),
            )
        return copied

    def flush_outbox(self, number: int) -> None:
        """Put the messages that a voter wants to send in flight."""
        messages = {(number, to, message) for to, message in self.voters[number].outbox}
        self.voters[number].outbox = []
        self.in_flight |= messages

    @property
    def leaders(self) -> list[int]:
        return [i for i, voter in enumerate(self.voters) if voter.is_leader(self.now)]


def steps(state: State, make: MakeVoter, max_crashes: int) -> Iterator[tuple[str, State]]:
    """Every possible step from this state."""
    for i, voter in enumerate(state.voters):
        if (
            i in PROPOSERS
            and state.now >= voter.no_vote_until_ns
            and voter._round is None
            and voter.promised_ballot.counter < MAX_ROUNDS
        ):
            after = state.copy()
            after.voters[i].start_round(after.now)
            after.flush_outbox(i)
            yield f"{i} starts a round", after
        if state.crashes < max_crashes:
            after = state.copy()
            after.voters[i] = make(i, after.now, True)
            after.crashes += 1
            yield f"{i} restarts without its state", after
    for sender, to, message in state.in_flight:
        after = state.copy()
        after.voters[to].receive(sender, message, after.now)
        after.flush_outbox(to)
        yield f"{to} receives {message} from {sender}", after
    after = state.copy()
    after.now += TICK
    for voter in after.voters:
        if (
            voter._round is not None
            and after.now >= voter._round_deadline_ns(voter._round)
            and after.now >= voter._round.started_ns + TERM
        ):
            voter._round = None
    yield "a tick", after


@dataclass(slots=True)
class Explored:
    """Result of an exploration."""

    states: int
    path: list[str] | None  # steps that lead to two leaders; None if there were none


def idle(make: MakeVoter) -> State:
    """Three voters before any round."""
    return State(10 * TERM, [make(i, 10 * TERM, False) for i in range(3)], frozenset())


def proposed(make: MakeVoter) -> State:
    """0 has started a round, 1 has promised, and 0's proposal is in flight; 2 has received nothing."""
    state = idle(make)
    state.voters[0].start_round(state.now)
    state.flush_outbox(0)
    return _deliver(state, (0, 1, MessageKind.PREPARE), (1, 0, MessageKind.PROMISE))


def with_leader(make: MakeVoter) -> State:
    """After `proposed`, 1 has accepted and 0 received that: 0 leads."""
    state = _deliver(proposed(make), (0, 1, MessageKind.PROPOSE), (1, 0, MessageKind.ACCEPT))
    assert state.leaders == [0]
    return state


def _deliver(state: State, *which: tuple[int, int, MessageKind]) -> State:
    for sender, to, kind in which:
        message = next(w for a, b, w in state.in_flight if (a, b, w.kind) == (sender, to, kind))
        state.voters[to].receive(sender, message, state.now)
        state.flush_outbox(to)
    return state


def explore(
    depth: int, make: MakeVoter = make_voter, make_start: Callable[[MakeVoter], State] = idle, max_crashes: int = 1
) -> Explored:
    """Visit all states up to `depth` steps from a start state."""
    first = make_start(make)
    level: list[tuple[State, tuple[str, ...]]] = [(first, ())]
    seen = {first.key()}
    for _ in range(depth):
        next_level = []
        for state, path in level:
            for what, after in steps(state, make, max_crashes):
                if len(after.leaders) > 1:
                    return Explored(len(seen), [*path, what])
                if (key := after.key()) not in seen:
                    seen.add(key)
                    next_level.append((after, (*path, what)))
        level = next_level
    return Explored(len(seen), None)
