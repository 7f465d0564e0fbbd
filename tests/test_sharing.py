"""What balancers that share upstreams tell one another: the words, and what a fleet gains from them."""

from __future__ import annotations

import gc
import random
from collections import Counter

import pytest

from lanemux import interface as api
from lanemux import sharing
from lanemux.core import words as form
from lanemux.policy import Balancer
from tests.bench import MS, SECOND, START
from tests.fleet import Box, Clients, Fleet, settings


def ready(count: int) -> api.ListUpdate:
    return api.ListUpdate(api.ListKind.FULL, [api.Upstream(n) for n in range(1, count + 1)])


def tells(actions: list[api.Action]) -> list[api.Tell]:
    return [a for a in actions if isinstance(a, api.Tell)]


def test_a_word_comes_back_as_it_was_said() -> None:
    word = form.Word(4_294_967_295, 7, 3, 2 * SECOND, good=True)
    assert form.read_words(word.data()) == [word]
    (longest,) = form.read_words(form.Word(1, 300, 999, 60 * SECOND).data())
    assert (longest.number, longest.held, longest.rest_ns) == (44, 127, 255 * form.REST_STEP_NS)


@pytest.mark.parametrize("data", [b"", b"x", b"\x00" * 6, b"\xff" * 8, b"\x00" * 256])
def test_what_is_no_word_changes_nothing(data: bytes) -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    balancer.handle(START + MS, [api.PeerMessage(3, data)])
    assert all(s.peer_load is None for s in balancer.fleet.servers.values())


@pytest.mark.parametrize(
    ("proxies", "upstreams", "home"),
    [(40, 60, 10), (40, 59, 9), (4, 60, 15), (400, 120, 4), (40, 8, 8), (3, 2, 2), (1, 5, 5)],
)
def test_those_who_share_an_upstream_are_those_whose_homes_hold_it(proxies: int, upstreams: int, home: int) -> None:
    homes = [{(p * upstreams // proxies + i) % upstreams for i in range(home)} for p in range(proxies)]
    for place in range(upstreams):
        holders = {p for p in range(proxies) if place in homes[p]}
        for me in range(proxies):
            told = sharing.sharers(place, upstreams, home, proxies, me)
            assert me not in told
            if len(holders) <= sharing.MOST_TOLD:
                assert sorted(told) == sorted(holders - {me})
            assert len(told) <= sharing.MOST_TOLD


def test_a_word_that_a_later_one_has_overtaken_says_nothing() -> None:
    here = sharing.Elsewhere(kept_ns=200 * MS)
    assert here.hear(5, form.Word(1, 255, 2), START)
    assert here.hear(5, form.Word(1, 256, 0), START + MS)
    assert not here.hear(5, form.Word(1, 255, 2), START + 2 * MS)
    assert here.held(START + 3 * MS) == 0
    assert here.hear(6, form.Word(1, 1, 1), START + 3 * MS)
    assert here.held(START + 4 * MS) == 1
    assert here.held(START + 203 * MS) == 0  # its end was lost
    assert here.hear(5, form.Word(1, 90, 1), START + 400 * MS)  # a peer that has begun anew


def test_words_of_any_number_of_senders_take_bounded_room() -> None:
    here = sharing.Elsewhere(kept_ns=200 * MS)
    for peer in range(10_000):
        here.hear(peer, form.Word(1, 1, 1), START)
    assert len(here.told) <= 2 * sharing.MOST_TOLD
    assert here.hear(10_001, form.Word(1, 1, 1), START + 200 * MS)
    assert here.held(START + 200 * MS) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": api.Limits(max_attempts=5, may_cancel=True, probes=True)},  # no peers
        {"prices": api.Prices(peer=0.01, probe=0.002)},  # looks are cheap
        {"prices": api.Prices(peer=0.1, probe=0.12)},  # words are dear
    ],
)
def test_nothing_is_told_where_it_is_not_allowed_or_not_worth_its_price(changes: dict[str, object]) -> None:
    balancer = Balancer(settings(0, 40, **changes), 1, START)
    balancer.handle(START, [ready(60)])
    assert not tells(balancer.handle(START + MS, [api.Arrival("a", "quote", "ash", START + 400 * MS)]))


def test_a_word_is_no_listing_and_nobody_who_is_barred_there_is_sent_on() -> None:
    """An upstream that only a peer has named is none; one that a peer leaves alone is left alone here too."""
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    home = balancer.fleet.default_pool.reach[: balancer.fleet.default_pool.home]
    shunned = home[:5]
    words = [form.Word(s.id, 1, 0, SECOND) for s in shunned] + [form.Word(999, 1, 0, SECOND)]
    balancer.handle(START + MS, [api.PeerMessage(1, w.data()) for w in words])
    assert 999 not in balancer.fleet.servers
    sent = set()
    for i in range(5):
        now = START + (2 + i) * MS
        actions = balancer.handle(now, [api.Arrival(f"a{i}", "quote", "ash", now + 400 * MS)])
        sent |= {a.upstream for a in actions if isinstance(a, api.Send)}
    assert sent == {s.id for s in home[5:]}


def test_peers_cannot_talk_a_balancer_out_of_most_of_its_home() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    words = [form.Word(s.id, 1, 0, 3 * SECOND) for s in balancer.fleet.servers.values()]
    balancer.handle(START + MS, [api.PeerMessage(1, w.data()) for w in words])
    pool = balancer.fleet.default_pool
    assert sum(balancer.fleet.is_available(s, START + 2 * MS) for s in pool.reach) >= 0.2 * pool.draw_size


def test_the_load_of_others_is_seen_and_a_struck_upstream_is_tried_by_one() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    home = balancer.fleet.default_pool.reach[: balancer.fleet.default_pool.home]
    idle = home[3]
    balancer.handle(START + MS, [api.PeerMessage(2, form.Word(s.id, 1, 2).data()) for s in home if s is not idle])
    actions = balancer.handle(START + 2 * MS, [api.Arrival("a", "quote", "ash", START + 402 * MS)])
    assert [a.upstream for a in actions if isinstance(a, api.Send)] == [idle.id]
    assert {a.peer for a in tells(actions)} == set(balancer.fleet.refresh_placement(idle).peers)
    struck = home[0]
    balancer.handle(START + 3 * MS, [api.PeerMessage(2, form.Word(struck.id, 2, 0, 50 * MS).data())])
    now = START + 60 * MS
    assert balancer.fleet.is_available(struck, now)
    balancer.handle(now, [api.PeerMessage(7, form.Word(struck.id, 1, 1).data())])
    assert not balancer.fleet.is_available(struck, now + MS)


def test_what_one_finds_sound_again_all_use_again_and_failures_of_all_add_up() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    struck, now = balancer.fleet.default_pool.reach[2], START
    for number in range(1, 4):  # three rests, told one after the other by different peers
        balancer.handle(now, [api.PeerMessage(number, form.Word(struck.id, 1, 0, 100 * MS).data())])
        now += 150 * MS
    assert struck.failure_streak == 3
    balancer.handle(now, [api.PeerMessage(9, form.Word(struck.id, 1, 0, 2 * SECOND).data())])
    assert not balancer.fleet.is_available(struck, now + MS)
    balancer.handle(now + 2 * MS, [api.PeerMessage(1, form.Word(struck.id, 2, 0, good=True).data())])
    assert balancer.fleet.is_available(struck, now + 3 * MS)
    assert not struck.failure_streak


def test_a_request_with_too_little_time_left_is_refused_at_once_not_sent() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    home = balancer.fleet.default_pool.reach[: balancer.fleet.default_pool.home]
    words = [form.Word(s.id, 1, 30) for s in home]
    balancer.handle(START + MS, [api.PeerMessage(peer, w.data()) for w in words for peer in (1, 2)])
    actions = balancer.handle(START + 2 * MS, [api.Arrival("a", "quote", "ash", START + 402 * MS)])
    assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Refuse]


def test_a_fleet_that_tells_serves_what_one_that_does_not_lets_run_late() -> None:
    """Half of what the upstreams can do is asked, spread thin."""
    late = {}
    for tell in (True, False):
        fleet = Fleet(40, 60, 5, tell)
        fleet.run(3.0, 560.0)
        late[tell] = fleet.ended["refused"] / fleet.ended["asked"]
    assert late[True] < 0.75 * late[False]


@pytest.mark.parametrize(("proxies", "boxes"), [(40, 60), (400, 600), (4000, 6000)])
def test_what_a_request_costs_in_words_does_not_grow_with_the_fleet(proxies: int, boxes: int) -> None:
    balancer = Balancer(settings(17, proxies), 1, START)
    balancer.handle(START, [ready(boxes)])
    actions = balancer.handle(START + MS, [api.Arrival("a", "quote", "ash", START + 400 * MS)])
    assert 5 <= len(tells(actions)) <= 7


def test_balancers_that_share_nothing_tell_nothing() -> None:
    fleet = Fleet(4, 60, 5)
    fleet.run(1.0, 560.0)
    assert not fleet.told


def test_one_balancer_that_finds_an_upstream_dead_spares_those_that_share_it() -> None:
    """A third of the upstreams refuses every connection, and the list says nothing of it."""
    failed = {}
    for tell in (True, False):
        fleet = Fleet(40, 60, 8, tell, known=lambda n: Box(dead=n % 3 == 0))
        fleet.run(4.0, 300.0)
        failed[tell] = sum(k for (_, result), k in fleet.by_box.items() if result is api.Result.CONNECT_FAILED)
    assert failed[True] < 0.4 * failed[False]


def test_upstreams_that_finish_nothing_in_time_cost_a_fleet_that_tells_few_requests() -> None:
    slow, late = random.Random(3).sample(range(1, 61), 9), {}
    for tell in (True, False):
        fleet = Fleet(40, 60, 9, tell, known=lambda n: Box(speed=0.15 if n in slow else 1.0))
        fleet.run(5.0, 400.0)
        late[tell] = sum(fleet.by_box[n, api.Result.TIMEOUT] for n in slow)
    assert late[True] < 0.45 * late[False]


@pytest.mark.parametrize(("proxies", "boxes"), [(40, 60), (400, 60)])
def test_all_together_stay_within_what_cold_upstreams_bear(proxies: int, boxes: int) -> None:
    """Half of the upstreams come back cold, at once, under more than the other half can do."""
    cold = 0.31
    fleet = Fleet(proxies, boxes, 6, known=lambda n: Box(speed=cold, started_ns=START - MS) if n % 2 else Box())
    fleet.run(2.0, boxes * 12.0)
    window, bears = 3 * SECOND // 2, 2.5 * cold * 1.5
    for box in (b for n, b in fleet.boxes.items() if n % 2):
        for i, (start, _) in enumerate(box.sent):
            assert sum(w for when, w in box.sent[i:] if when - start < window) <= bears


def test_ten_thousand_replaced_upstreams_leave_nothing_behind() -> None:
    """Each is loaded, barred and told of by peers before it goes, and told of once more when it has gone."""
    balancer, now = Balancer(settings(0, 40), 1, START), START
    balancer.handle(now, [ready(60)])

    def replace(first: int, count: int) -> Counter[str]:
        nonlocal now
        for old in range(first, first + count):
            now += 20 * MS
            words = [form.Word(old, now // MS, 1, 100 * MS).data(), form.Word(old + 1, now // MS, 0).data()]
            events = [api.PeerMessage(peer, word) for peer in (1, 2) for word in words]
            actions = balancer.handle(
                now,
                [*events, api.Arrival(f"a{old}", "quote", "ash", now + 400 * MS), api.Wake(str(balancer.timer_number))],
            )
            for send in [a for a in actions if isinstance(a, api.Send)]:
                result = (api.Result.OK, api.Result.CONNECT_FAILED)[old % 2]
                balancer.handle(now + MS, [api.Outcome(send.request, 0, send.upstream, result, MS, True)])
            change = [api.Upstream(old, api.State.GONE), api.Upstream(old + 60, started_ns=now)]
            balancer.handle(now + 2 * MS, [api.ListUpdate(api.ListKind.DELTA, change)])
            balancer.handle(now + 3 * MS, [api.PeerMessage(3, word) for word in words[:1]])
        now += 20 * SECOND
        balancer.handle(now, [api.Wake(str(balancer.timer_number))])
        gc.collect()
        return Counter(type(o).__name__ for o in gc.get_objects() if str(type(o).__module__).startswith("lanemux"))

    before, after = replace(1, 2_000), replace(2_001, 8_000)
    assert len(balancer.fleet.servers) == 60
    assert {name: n for name, n in (after - before).items() if n > 20} == {}


@pytest.mark.parametrize(
    ("claims", "held"), [([], 0), ([0, 0], 0), ([127], 1), ([2, 1], 3), ([127, 1, 0], 3), ([5, 5, 5], 15)]
)
def test_what_one_peer_claims_alone_is_believed_as_far_as_others_show_it(claims: list[int], held: int) -> None:
    here = sharing.Elsewhere(kept_ns=200 * MS)
    for peer, claim in enumerate(claims):
        here.hear(peer, form.Word(1, 1, claim), START)
    assert here.held(START) == held


def neighbours(fleet: Fleet) -> float:
    """Served share of those next to balancer 7, which hold most of its upstreams."""
    return sum(fleet.served_by[i] for i in (6, 8)) / sum(fleet.asked_of[i] for i in (6, 8))


@pytest.mark.parametrize("bad", ["liar", "liar while all is full", "replays", "another order"])
def test_one_bad_peer_costs_its_neighbours_little(bad: str) -> None:
    """Without a bound on what one may claim the liar's neighbours served 0.66 of what they were asked for 0.96."""
    shares, rate = [], 900.0 if "full" in bad else 400.0
    for wrong in (False, True):
        fleet = Fleet(40, 60, 11)
        if wrong and "liar" in bad:
            fleet.lie(7, 100, 50 * MS, START + 4 * SECOND)
        elif wrong and bad == "replays":
            fleet.replay(7)
        elif wrong:
            fleet.misplace(7)
        fleet.run(4.0, rate)
        shares.append(neighbours(fleet))
    assert shares[1] > shares[0] - (0.15 if "full" in bad else 0.05)


def test_a_balancer_that_began_anew_is_believed_once_its_old_words_are_forgotten() -> None:
    here = sharing.Elsewhere(kept_ns=200 * MS)
    for peer in (1, 2):
        assert here.hear(peer, form.Word(1, 200, 2), START)
    assert not here.hear(1, form.Word(1, 100, 0), START + 100 * MS)  # may be an overtaken one
    assert here.hear(1, form.Word(1, 101, 0), START + 201 * MS)
    assert here.held(START + 201 * MS) == 0


def test_words_for_one_peer_go_together_and_none_is_lost() -> None:
    said = {3: [form.Word(n, 1, 1).data() for n in range(80)], 5: [form.Word(7, 2, 0).data()]}
    sent = list(form.datagrams(said))
    assert [peer for peer, _ in sent] == [3, 3, 3, 5]
    assert all(len(data) <= form.MESSAGE for _, data in sent)
    assert [w.upstream for peer, data in sent if peer == 3 for w in form.read_words(data)] == list(range(80))


def test_a_batch_tells_each_peer_in_one_message() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    actions = balancer.handle(START + MS, [api.Arrival(f"a{i}", "quote", "ash", START + 400 * MS) for i in range(8)])
    told = tells(actions)
    assert len({a.peer for a in told}) == len(told)
    assert sum(len(form.read_words(a.data)) for a in told) > 2 * len(told)


def test_a_fleet_that_is_short_serves_fresh_work_before_second_tries() -> None:
    """Clients ask again 60 ms after a refusal and wait for 376 ms in all; what comes after 150 ms is worth nothing."""
    clients = Clients(150 * MS, 376 * MS, 0.49, 3, 60 * MS, 0.2)
    short = Fleet(20, 24, 3, clients=clients, work_ns=43 * MS)
    short.run(3.0, 650.0)
    assert short.ended["served"] > 0.6 * short.ended["asked"]  # 0.47 where a second try is taken for fresh
    assert short.ended["late"] < 0.05 * short.ended["asked"]
    calm = Fleet(20, 24, 4, clients=clients, work_ns=43 * MS, known=lambda n: Box(dead=n % 6 == 0))
    calm.run(3.0, 200.0)
    assert calm.ended["served"] > 0.95 * calm.ended["asked"]


def test_many_balancers_that_hear_of_a_cold_upstream_do_not_come_at_once() -> None:
    """400 over 60, and six more that start cold: up to 13 requests came to one of these, half of what it bears."""
    fleet = Fleet(400, 60, 1)
    fleet.run(1.5, 480.0)  # all have learned what a request takes, and are careful for that reason no more
    cold = [fleet.join(Box(speed=0.31, started_ns=fleet.now - MS)) for _ in range(6)]
    fleet.run(1.0, 720.0)
    assert max(sum(work for _, work in fleet.boxes[n].sent) for n in cold) < 0.35 * 2.5 * 0.31 * 1.5
