"""Never two processes lead at one instant: restarts with other terms, and upgrades, on a model's clock by seeds."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from lanemux.fleet import term_survey
from lanemux.fleet.election import Ballot, ElectionMessage, MessageKind, Voter
from lanemux.fleet.term_survey import TermMessage, TermSurvey
from lanemux.fleet.view import FleetPlugin
from lanemux.fleet.wire import BadMessage
from lanemux.takeover.process_lock import ProcessLock

MS = 1_000_000
SECOND = 1000 * MS
STEP_NS = 10 * MS
COUNCIL = (0, 1, 2)
TERMS_NS = (SECOND // 2, SECOND, 3 * SECOND, 10 * SECOND)
RUN_NS = 90 * SECOND
EVENT_NS = (2 * SECOND, 8 * SECOND)  # time between restarts or upgrades
BESIDE_NS = 6 * SECOND  # for which a new process runs beside the old one
LOSS_RATE, DELAY_MS = 0.05, 25
PLANTED_SEEDS = 20  # within which a planted fault must be found


@dataclass(eq=False)
class Running:
    """One process."""

    number: int
    plugin: FleetPlugin
    term_ns: int
    ends_ns: int = 2**62  # of a process that is being replaced


class Model:
    """Three balancers whose processes are restarted and upgraded one at a time."""

    def __init__(self, seed: int, planted_alone: bool = False) -> None:
        self.rng = random.Random(seed)
        self.planted_alone = planted_alone
        self.now = 0
        self.processes: list[Running] = []
        self.in_flight: list[tuple[int, int, Running, bytes]] = []  # arrival, sender, receiver, datagram
        term_ns = self.rng.choice(TERMS_NS)
        for number in COUNCIL:
            self.start(number, term_ns)

    def start(self, number: int, term_ns: int) -> None:
        rng, plugin_of = random.Random(self.rng.random()), [old for old in self.processes if old.number == number]

        def is_alone() -> bool:
            return self.planted_alone or not any(old in self.processes for old in plugin_of)

        plugin = FleetPlugin(number, len(COUNCIL), rng, self.now, COUNCIL, term_ns, is_alone)
        self.processes.append(Running(number, plugin, term_ns))

    def end(self, process: Running) -> None:
        process.plugin.shutdown(self.now)
        self.processes.remove(process)

    def disturb(self) -> None:
        """Restart one balancer, perhaps with another term, or start a new process beside its old one."""
        if any(p.ends_ns < 2**62 for p in self.processes):
            return
        process = self.rng.choice(self.processes)
        term_ns = self.rng.choice(TERMS_NS)
        if self.rng.random() < 0.5:
            self.end(process)
            self.start(process.number, term_ns)
        else:
            process.ends_ns = self.now + BESIDE_NS
            self.start(process.number, process.term_ns)

    def step(self) -> int:
        """Advance by one step; returns how many processes lead."""
        self.now += STEP_NS
        for process in [p for p in self.processes if p.ends_ns <= self.now]:
            self.end(process)
        arrived = [entry for entry in self.in_flight if entry[0] <= self.now]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now]
        for _, sender, receiver, data in arrived:
            if receiver in self.processes:
                receiver.plugin.on_message(sender, data, self.now)
        for process in list(self.processes):
            if process.plugin.next_tick_ns <= self.now:
                process.plugin.tick(self.now)
            for to, data in process.plugin.take_outgoing():
                self.send(process.number, to, data)
        voters = [p.plugin.voter for p in self.processes if p.plugin.voter is not None]
        return sum(voter.is_leader(self.now) for voter in voters)

    def send(self, sender: int, to: int, data: bytes) -> None:
        receivers = [p for p in self.processes if p.number == to]  # the kernel gives it to one of two
        if receivers and self.rng.random() >= LOSS_RATE:
            due_ns = self.now + int(self.rng.expovariate(1 / DELAY_MS) * MS)
            self.in_flight.append((due_ns, sender, self.rng.choice(receivers), data))

    def run(self) -> tuple[int, float]:
        """The most processes that led at one instant, and the share of the time with a leader."""
        most, led, steps, next_ns = 0, 0, 0, self.rng.randint(*EVENT_NS)
        while self.now < RUN_NS and most < 2:
            if self.now >= next_ns:
                self.disturb()
                next_ns = self.now + self.rng.randint(*EVENT_NS)
            leaders = self.step()
            most, led, steps = max(most, leaders), led + bool(leaders), steps + 1
        return most, led / steps


def test_no_restart_with_another_term_and_no_upgrade_gives_two_leaders() -> None:
    """Guards against: two balancers, or two processes of one, lead at the same time (review/8, review/9)."""
    results = [Model(seed).run() for seed in range(40)]
    assert [seed for seed, (most, _) in enumerate(results) if most > 1] == []
    assert sum(led for _, led in results) / len(results) > 0.4


def votes_after_its_own_term(monkeypatch: pytest.MonkeyPatch) -> bool:
    monkeypatch.setattr(TermSurvey, "no_vote_until_ns", property(lambda self: self._started_ns + self._own_ns))
    return False


def takes_any_term_for_its_own(monkeypatch: pytest.MonkeyPatch) -> bool:
    on_propose = Voter._on_propose
    monkeypatch.setattr(
        Voter,
        "_on_propose",
        lambda self, sender, message, now: on_propose(self, sender, message._replace(term_ns=0), now),
    )
    return False


def votes_beside_the_old_process(monkeypatch: pytest.MonkeyPatch) -> bool:
    return True


@pytest.mark.parametrize("plant", [votes_after_its_own_term, takes_any_term_for_its_own, votes_beside_the_old_process])
def test_each_mend_taken_out_is_found_within_twenty_seeds(
    plant: Callable[[pytest.MonkeyPatch], bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    planted_alone = plant(monkeypatch)
    assert any(Model(seed, planted_alone).run()[0] > 1 for seed in range(PLANTED_SEEDS))


def test_a_promise_that_names_the_lease_of_this_voters_other_process_is_no_vote() -> None:
    voter = Voter(0, COUNCIL, SECOND, random.Random(1), 0, may_have_voted=False)
    voter.start_round(0)
    (ballot,) = {message.ballot for _, message in voter.outbox}
    voter.outbox.clear()
    other = Ballot(ballot.counter, 0, voter.boot_id + 1)
    voter.receive(1, ElectionMessage(MessageKind.PROMISE, ballot, other, leader=0), 1)
    assert voter.outbox == []
    voter.receive(2, ElectionMessage(MessageKind.PROMISE, ballot, ballot, leader=0), 1)
    assert {message.kind for _, message in voter.outbox} == {MessageKind.PROPOSE}


def test_a_voter_that_hears_from_nobody_waits_for_the_longest_term_that_can_be_set() -> None:
    survey = TermSurvey(0, COUNCIL, SECOND, 5 * SECOND)
    assert survey.no_vote_until_ns == 65 * SECOND
    survey.receive(1, TermMessage(term_survey.Kind.ANSWER, False, 3000, 9000))
    survey.receive(7, TermMessage(term_survey.Kind.ANSWER, True, 1000, 1000))  # no voter
    assert not survey.complete
    survey.receive(2, TermMessage(term_survey.Kind.ANSWER, False, 2000, 9000))
    assert survey.complete and survey.no_vote_until_ns == 8 * SECOND


def test_a_voter_that_knows_all_terms_speaks_for_one_that_is_gone() -> None:
    survey = TermSurvey(0, COUNCIL, SECOND, 0)
    survey.receive(1, TermMessage(term_survey.Kind.ANSWER, True, 1000, 9000))
    assert survey.complete and survey.no_vote_until_ns == 9 * SECOND


@pytest.mark.parametrize("complete", [False, True])
def test_a_survey_message_round_trips_and_is_rejected_if_truncated(complete: bool) -> None:
    message = TermMessage(term_survey.Kind.ASK, complete, 500, 60_000)
    data = term_survey.encode(message)
    assert term_survey.decode(data) == message and term_survey.is_term_message(data)
    for length in range(len(data)):
        with pytest.raises(BadMessage):
            term_survey.decode(data[:length])


def test_only_one_process_holds_the_lock_and_a_folder_that_fails_gives_it_to_nobody(tmp_path: Path) -> None:
    old, new = ProcessLock(f"{tmp_path}/shared"), ProcessLock(f"{tmp_path}/shared")
    assert old.acquire() and old.acquire() and not new.acquire()
    old.release()
    assert new.acquire()
    new.release()
    (tmp_path / "file").write_bytes(b"")
    assert not ProcessLock(f"{tmp_path}/file").acquire()
