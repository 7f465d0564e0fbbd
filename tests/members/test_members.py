"""Fleet membership: crashes, restarts, partitions and suspended processes, and messages in any order."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.fleet.members import MAX_CONFIRMATIONS, PERIOD_NS, RETRANSMIT_FACTOR, Members
from lanemux.fleet.wire import MAX_NUMBER, MAX_UPDATES, NO_MEMBER, Kind, Message, Status, Update, decode
from tests.peers import SECOND, Peers

SEEDS = range(1, 9)
UP, SUSPECTED, LEAVING, GONE = Status


def encoded(
    *updates: Update, incarnation: int = 0, status_of_receiver: Status = UP, incarnation_of_receiver: int = 0
) -> bytes:
    return Message(
        Kind.ACK, 7, incarnation, status_of_receiver, incarnation_of_receiver, 0, NO_MEMBER, updates
    ).encode()


@pytest.mark.parametrize("seed", SEEDS)
def test_all_members_detect_a_crash_and_no_other_member_is_declared_gone(seed: int) -> None:
    peers = Peers(12, seed, loss_rate=0.05)
    peers.run(10)
    peers.kill(5)
    peers.run(15)
    assert peers.views(5) == [GONE] * 11
    assert {of for _, _, of, what in peers.seen if what is GONE} == {5}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_restarted_without_state_is_up_again_with_a_higher_incarnation(seed: int) -> None:
    peers = Peers(8, seed)
    peers.kill(3)
    peers.run(20)
    assert set(peers.views(3)) == {GONE}
    peers.start(3)  # without its former incarnation
    peers.run(8)
    assert set(peers.views(3)) == {UP}
    assert peers.members[3].incarnation > 0 and peers.members[0].members[3].incarnation == peers.members[3].incarnation


@pytest.mark.parametrize("seed", SEEDS)
def test_an_orderly_leave_spreads_quickly_and_causes_no_suspicion(seed: int) -> None:
    peers = Peers(12, seed, loss_rate=0.0)
    peers.run(5)
    at = peers.now
    peers.members[4].leave()
    peers._after(4)
    peers.kill(4)
    peers.run(5)
    knew = [when - at for when, _, of, what in peers.seen if of == 4 and what is LEAVING]
    assert len(knew) == 11 and max(knew) < 4 * PERIOD_NS
    assert not [what for _, _, of, what in peers.seen if of == 4 and what is SUSPECTED]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_suspension_of_two_seconds_gets_no_member_declared_gone(seed: int) -> None:
    peers = Peers(12, seed)
    peers.run(5)
    peers.freeze(2, 2 * SECOND)
    peers.run(15)
    assert not [seen for seen in peers.seen if seen[3] is GONE]
    assert set(peers.views(2)) == {UP}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_member_of_a_healthy_fleet_considers_itself_slow(seed: int) -> None:
    peers = Peers(12, seed, loss_rate=0.0)
    for _ in range(60):
        peers.run(0.5)
        assert {member.slowness for member in peers.members.values()} == {0}


def test_a_suspended_member_notices_it_and_suspects_nobody_for_missing_answers() -> None:
    me = Members(0, 3, random.Random(1), SECOND)
    me.tick(me.due_ns)  # a probe is outstanding
    me.tick(me.due_ns + 3 * SECOND)
    assert me.slowness == 1 and all(member.status is UP for member in me.members.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_that_can_only_receive_is_gone_and_keeps_its_own_view(seed: int) -> None:
    peers = Peers(9, seed)
    peers.cut = lambda a, b: a == 6
    peers.run(25)
    assert set(peers.views(6)) == {GONE}
    assert all(member.status is UP for number, member in peers.members[0].members.items() if number != 6)


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sides_of_a_partition_find_each_other_again(seed: int) -> None:
    peers = Peers(9, seed)
    peers.cut = lambda a, b: (a < 3) != (b < 3)
    peers.run(30)
    assert set(peers.members[0].alive()) == {0, 1, 2} and set(peers.members[8].alive()) == set(range(3, 9))
    peers.cut = lambda a, b: False
    peers.run(25)
    assert all(member.alive() == list(range(9)) for member in peers.members.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cut_between_two_members_alone_is_no_failure_because_of_indirect_probes(seed: int) -> None:
    peers = Peers(8, seed, loss_rate=0.0)
    peers.cut = lambda a, b: {a, b} == {1, 2}
    peers.run(40)
    assert not [seen for seen in peers.seen if seen[3] is GONE]


def test_tables_converge_despite_late_duplicate_and_reordered_messages() -> None:
    for seed in SEEDS:
        peers = Peers(8, seed, duplicate_rate=0.5, max_delay_ns=10 * SECOND)  # nearly every answer comes too late
        peers.run(5)
        peers.kill(3)
        peers.run(60)
        peers.max_delay_ns, peers.duplicate_rate = 33 * 10**6, 0.0
        peers.run(45)
        tables = [{number: member.version for number, member in me.members.items()} for me in peers.members.values()]
        for i, me in peers.members.items():
            assert me.members[3].status is GONE
            assert all(table[i] == (me.incarnation, UP) for table in tables if i in table)


UPDATES = st.lists(
    st.builds(Update, st.integers(1, 4), st.sampled_from(Status), st.integers(0, 5), st.integers(0, 4)),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(UPDATES, st.randoms(use_true_random=False))
def test_the_same_updates_in_any_order_and_number_give_the_same_table(
    updates: list[Update], rng: random.Random
) -> None:
    tables = []
    for _ in range(3):
        me = Members(0, 5, random.Random(1), SECOND)
        for update in [*updates, *rng.sample(updates, len(updates) // 2)]:
            me.receive(1, encoded(update), SECOND)
        tables.append([member.version for member in me.members.values()])
        rng.shuffle(updates)
    assert tables[0] == tables[1] == tables[2]


@settings(derandomize=True, deadline=None)
@given(st.sampled_from([SUSPECTED, GONE, LEAVING]), st.integers(0, 2**32 - 2), st.booleans())
def test_a_member_reported_as_not_up_refutes_it_with_a_higher_incarnation(
    status: Status, their_incarnation: int, by_news: bool
) -> None:
    me = Members(0, 3, random.Random(1), SECOND)
    me.receive(
        1,
        encoded(Update(0, status, their_incarnation, 2))
        if by_news
        else encoded(status_of_receiver=status, incarnation_of_receiver=their_incarnation),
        SECOND,
    )
    assert me.incarnation == their_incarnation + 1
    me.receive(1, encoded(status_of_receiver=status, incarnation_of_receiver=their_incarnation), SECOND)
    assert me.incarnation == their_incarnation + 1  # the repeated older claim has no effect


def test_suspicion_is_shorter_the_more_members_suspect() -> None:
    ends = []
    for reporters in range(1, MAX_CONFIRMATIONS + 1):
        me = Members(0, 12, random.Random(1), SECOND)
        for reporter in range(reporters):
            me.receive(1, encoded(Update(5, SUSPECTED, 0, 6 + reporter)), SECOND)
        ends.append(me._suspicion_end_ns(me.members[5]) - SECOND)
    assert ends == sorted(ends, reverse=True) and ends[-1] < ends[0] / 2


def test_the_traffic_of_a_balancer_does_not_grow_with_the_fleet() -> None:
    sent = {}
    for count in (12, 48, 192):
        peers = Peers(count, 1)
        peers.run(20)
        sent[count] = (peers.sent / count / 20, peers.sent_bytes / count / 20)
    assert max(messages for messages, _ in sent.values()) < 6 and sent[192][1] < 2 * sent[12][1]


def test_updates_are_passed_on_a_fixed_number_of_times_and_no_message_is_too_long() -> None:
    me = Members(0, 200, random.Random(1), SECOND)
    for number in range(2, 200):
        me.receive(1, encoded(Update(number, GONE, 3, 1)), SECOND)
    me.outbox.clear()
    now, told = SECOND, 0
    for _ in range(400):
        now = me.due_ns
        me.tick(now)
        told += sum(len(decode(data).updates) for _, data in me.outbox)
        assert all(len(data) <= 256 and len(decode(data).updates) <= MAX_UPDATES for _, data in me.outbox)
        me.outbox.clear()
    # Each update is passed on exactly as often as intended; all other updates belong to table exchanges.
    assert not me._gossip_queue and all(
        member.transmissions == RETRANSMIT_FACTOR * 8 for number, member in me.members.items() if number > 1
    )


def test_invalid_messages_and_unknown_senders_are_counted_and_change_nothing() -> None:
    me = Members(0, 3, random.Random(1), SECOND)
    before = [member.version for member in me.members.values()]
    me.receive(1, b"\xf1\x01", SECOND)
    me.receive(9, encoded(Update(1, GONE, 9, 2)), SECOND)
    assert me.unreadable == 2 and [member.version for member in me.members.values()] == before
    with pytest.raises(ValueError, match="allowed are"):
        Members(3, 3, random.Random(1), SECOND)
    with pytest.raises(ValueError, match="allowed are"):
        Members(0, MAX_NUMBER + 2, random.Random(1), SECOND)
