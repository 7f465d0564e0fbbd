"""Each rule's cases through the module's interface, and random legal days against the checker."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from lanemux import interface as api
from lanemux.policy import AdmissionRate, Attempt, Balancer, Server, Throttle
from tests.bench import (
    ANY,
    BIG,
    CELL,
    MS,
    NEAR,
    PAY,
    READ,
    SECOND,
    START,
    Desk,
    arrival,
    mixed_fleet,
    of,
    settings,
    upstreams,
)


def test_served_request_needs_nothing_more() -> None:
    desk = Desk()
    assert len(of(api.Send, desk.give(arrival(1, desk.now)))) == 1
    assert not of(api.Fail, desk.finish("r1")) and desk.answer["r1"] == "served"


@pytest.mark.parametrize("cls", [READ, PAY, CELL, ANY])
def test_no_server_known_is_refused_in_time(cls: api.RequestClass) -> None:
    desk = Desk(servers=0)
    desk.give(api.ListUpdate(api.ListKind.CACHED), arrival(1, desk.now, cls))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "refused"


def test_all_draining_is_refused_in_time() -> None:
    desk = Desk()
    desk.give(api.ListUpdate(api.ListKind.DELTA, [u._replace(state=api.State.DRAINING) for u in upstreams(6)]))
    desk.give(arrival(1, desk.now, PAY))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "refused" and "r1" not in desk.sends


def test_timeout_at_the_deadline_of_an_unsafe_request_is_failed() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, PAY))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "failed" and len(desk.sends["r1"]) == 1


@pytest.mark.parametrize("result", [api.Result.FULL, api.Result.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_is_sent_again(result: api.Result) -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, PAY))
    desk.now += MS
    desk.finish("r1", result)
    assert len(desk.sends["r1"]) == 2


@pytest.mark.parametrize("result", [api.Result.ERROR, api.Result.RESET, api.Result.CANCELLED])
def test_unsafe_request_that_may_have_run_is_failed(result: api.Result) -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, PAY))
    desk.now += MS
    desk.finish("r1", result)
    assert desk.answer["r1"] == "failed"


@pytest.mark.parametrize("cls", [NEAR, BIG])
def test_placement_binds_every_attempt(cls: api.RequestClass) -> None:
    # Guards against a class going where it may not, on retries too: the checker asserts it for each send.
    desk = Desk(servers=0)
    desk.give(api.ListUpdate(api.ListKind.CACHED, mixed_fleet(12)))
    for i in range(60):
        desk.give(arrival(i, desk.now, cls))
        desk.now += 5 * MS
        for request, number in desk.out():
            if request not in desk.answer:
                desk.give(desk.result(request, number, (api.Result.FULL, api.Result.OK)[i % 2]))
    assert len(desk.sends) > 20


def test_placement_holds_when_its_upstreams_are_gone_and_does_not_stop_others() -> None:
    desk = Desk(servers=0)
    west = [u for u in mixed_fleet(12) if u.zone == "west"]
    desk.give(api.ListUpdate(api.ListKind.CACHED, west))
    desk.give(arrival("near", desk.now, NEAR), arrival("read", desk.now, READ))
    assert "rread" in desk.sends and "rnear" not in desk.sends
    desk.advance(600 * MS)
    assert desk.answer["rnear"] == "refused"


@pytest.mark.parametrize(
    ("cls", "unproven", "answer"), [(PAY, True, "failed"), (CELL, True, None), (PAY, False, None), (READ, True, None)]
)
def test_full_is_proof_only_where_it_is_said_to_be(cls: api.RequestClass, unproven: bool, answer: str | None) -> None:
    # Guards against a second effect where upstreams also drop what they had begun.
    desk = Desk(settings(rules=api.Rules(cold_ns=4 * SECOND, full_unproven=unproven)))
    desk.give(arrival(1, desk.now, cls))
    desk.now += MS
    desk.finish("r1", api.Result.FULL)
    assert desk.answer.get("r1") == answer and len(desk.sends["r1"]) == (1 if answer else 2)


def test_attempts_are_capped() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, READ))
    for _ in range(3):
        desk.now += MS
        if "r1" not in desk.answer:
            desk.finish("r1", api.Result.FULL)
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "refused" and len(desk.sends["r1"]) <= 3


def test_an_exhausted_request_among_a_stalled_line_is_answered() -> None:
    desk = Desk(servers=1)
    for i in range(30):
        desk.give(arrival(i, desk.now))
    desk.advance(700 * MS)
    assert len(desk.answer) == 30


def test_a_short_deadline_is_answered_though_the_line_is_blocked() -> None:
    # Guards against a wake that comes a little early being taken for an old one: no timer was ever set again.
    desk = Desk(servers=1)
    desk.give(arrival(1, desk.now))
    for i in range(2, 40):
        desk.give(arrival(i, desk.now, wait_ns=3 * MS))
        early = [t for t in desk.timers]
        desk.timers = [(at - 300, name) for at, name in early]
        desk.advance(30 * MS, step_ns=MS)
    desk.advance(SECOND)
    assert len(desk.answer) == 39


def test_drained_upstream_gets_nothing_new() -> None:
    desk = Desk()
    desk.give(api.ListUpdate(api.ListKind.DELTA, [u._replace(state=api.State.DRAINING) for u in upstreams(5)]))
    for i in range(20):
        desk.give(arrival(i, desk.now))
        desk.advance(20 * MS)
        for request, number in desk.out():
            desk.finish(request, number=number)
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == {6}


def test_missing_from_a_full_list_is_gone() -> None:
    desk = Desk()
    desk.give(api.ListUpdate(api.ListKind.FULL, upstreams(1)))
    for i in range(5):
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}")
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == {1}


def test_cold_upstreams_get_one_request_at_a_time() -> None:
    desk = Desk(servers=0)
    desk.give(api.ListUpdate(api.ListKind.CACHED, upstreams(4, started_ns=START - MS)))
    for i in range(40):
        desk.give(arrival(i, desk.now))
        desk.advance(5 * MS)
        held: dict[int, int] = {}
        for request, number in desk.out():
            upstream = desk.sends[request][number][0].id
            held[upstream] = held.get(upstream, 0) + 1
        assert max(held.values(), default=0) <= 1


def test_cold_upstreams_share_a_budget_over_the_proxies() -> None:
    # Guards against forty proxies that each send a cold upstream a little, and together push it over.
    sent = []
    for proxies in (1, 40):
        desk = Desk(settings(replicas_of_me=proxies), servers=0)
        desk.give(api.ListUpdate(api.ListKind.CACHED, upstreams(6, started_ns=START - MS)))
        for i in range(100):
            desk.give(arrival(i, desk.now))
            desk.advance(5 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
        sent.append(sum(map(len, desk.sends.values())))
    assert sent[1] < sent[0] / 2


def probing(servers: int = 6) -> Desk:
    limits = api.Limits(max_attempts=3, probes=True, may_cancel=True)
    return Desk(settings(limits=limits, report_columns=("inflight", "queue")), servers=servers)


def test_asks_the_drawn_upstreams_and_sends_to_the_lightest() -> None:
    # With many proxies own counts say little: the upstreams' own word decides.
    desk = probing()
    asked = [a.upstream for a in desk.give(arrival(1, desk.now)) if isinstance(a, api.Probe)]
    assert asked and "r1" not in desk.sends
    desk.now += MS
    desk.give(*(api.ProbeResult(u, api.Result.OK, MS, {"inflight": float(i)}) for i, u in enumerate(asked)))
    assert desk.sends["r1"][0][0].id == asked[0]


def test_does_not_wait_for_a_lost_report() -> None:
    desk = probing()
    desk.give(arrival(1, desk.now))
    desk.advance(20 * MS)
    assert len(desk.sends["r1"]) == 1


def test_an_upstream_just_asked_is_not_asked_again() -> None:
    # A busy proxy would spend itself on looks that tell it nothing new.
    desk = probing(servers=1)
    counts = []
    for number in range(4):
        counts.append(sum(isinstance(a, api.Probe) for a in desk.give(arrival(number, desk.now))))
        desk.now += 2 * MS
    assert counts == [1, 0, 0, 1]


def test_refuses_when_all_asked_upstreams_would_answer_late() -> None:
    desk = probing()
    asked = [a.upstream for a in desk.give(arrival(1, desk.now)) if isinstance(a, api.Probe)]
    desk.now += MS
    desk.give(*(api.ProbeResult(u, api.Result.OK, MS, {"inflight": 500.0}) for u in asked))
    assert desk.answer["r1"] == "refused"


def test_an_idle_upstream_is_never_too_slow_to_try() -> None:
    # Guards against refusing on a quiet day because one heavy request made an upstream look slow.
    desk = probing(servers=1)
    desk.balancer.fleet.servers[1].latency_ratio = 9.0
    desk.give(arrival(1, desk.now, wait_ns=100 * MS))
    desk.give(api.ProbeResult(1, api.Result.OK, MS, {"inflight": 0.0}))
    assert len(desk.sends["r1"]) == 1


def test_dear_or_blind_probes_are_not_used() -> None:
    limits = api.Limits(max_attempts=3, probes=True)
    dear = settings(limits=limits, report_columns=("inflight",), prices=api.Prices(probe=0.05))
    for config in (dear, settings(limits=limits, report_columns=("util",))):
        desk = Desk(config)
        desk.give(arrival(1, desk.now))
        assert "r1" in desk.sends and not of(api.Probe, desk.log)


def test_what_stands_still_together_is_one_strike() -> None:
    # Guards against a pause of one upstream, seen by all its requests, barring it for seconds.
    desk = Desk(servers=1)
    for i in range(6):
        desk.give(arrival(i, desk.now, wait_ns=100 * MS))
    desk.advance(150 * MS)
    server = desk.balancer.fleet.servers[1]
    assert server.failure_streak <= 2


def struck(breaks: dict[int, int]) -> set[int]:
    """Which upstreams are barred when, after 20 good answers each, so many connections break in a row?"""
    desk = Desk(servers=4)
    fleet = desk.balancer.fleet
    for server in fleet.servers.values():
        for _ in range(20):
            fleet.record_end(server, False)
    return {
        number
        for number, count in breaks.items()
        if [fleet.record_end(fleet.servers[number], True) for _ in range(count)][-1]
    }


def test_a_break_counts_by_how_far_it_sets_its_upstream_apart() -> None:
    assert struck({1: 1}) == {1}  # where nothing else breaks, once is enough
    assert struck({2: 9, 3: 9, 4: 9, 1: 1}) == {2, 3, 4}  # where all break, once says nothing
    assert struck({2: 9, 3: 9, 4: 9, 1: 6}) == {1, 2, 3, 4}  # a dead one is left, whatever the others do


def test_broken_connections_do_not_cut_the_rate() -> None:
    desk = Desk(servers=4)
    for i in range(40):
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}", api.Result.RESET)
        desk.finish(f"r{i}")
    assert sum(desk.balancer.rate.failures.values()) <= 1  # the first break of all is the upstream's own


def test_an_attempt_ends_at_the_aim_where_late_is_worth_nothing() -> None:
    desk = Desk()
    sends = [a for a in desk.give(arrival(1, desk.now, READ)) if isinstance(a, api.Send)]
    assert sends[0].timeout_ns == READ.aim_ns


def test_every_upstream_is_in_some_home() -> None:
    # Each proxy takes its own stretch of one ring that all compute alike.
    homes: list[int] = []
    for me in range(10):
        b = Balancer(settings(me=me, replicas_of_me=10), 1, START)
        b.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(100))])
        homes += [s.id for s in b.fleet.default_pool.reach[: b.fleet.default_pool.home]]
    assert sorted(homes) == list(range(1, 101))


def test_homes_are_shared_by_few_proxies() -> None:
    # Incident ib66e0d: in everybody's home an upstream holds what nobody's own count shows.
    sizes = {}
    for proxies in (3, 20, 400):
        b = Balancer(settings(me=1, replicas_of_me=proxies), 1, START)
        b.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(30))])
        sizes[proxies] = b.fleet.default_pool.home
    assert sizes == {3: 10, 20: 9, 400: 4}


def test_a_limit_does_not_run_away_before_the_first_answers() -> None:
    # Incident i4eb9e9: the line waited at the start, each limit looked good before its requests were done.
    desk = Desk()
    for i in range(300):
        desk.give(arrival(i, desk.now))
        desk.now += MS // 10
    assert desk.balancer.load_model.limit == 1


def test_the_first_answers_count_more() -> None:
    # Incident i530c5f: with two requests a second, what a request takes was known only after many seconds.
    desk = Desk()
    for i in range(3):
        desk.give(arrival(i, desk.now))
        desk.now += 100 * MS
        desk.finish(f"r{i}")
    assert abs(desk.balancer.load_model.per_request_ns - 100 * MS) < 10 * MS


def test_client_gone_ends_the_request() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now), api.ClientGone("r1"), api.ClientGone("r1"), api.ClientGone("unknown"))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "gone"


def test_late_and_unknown_outcomes_are_harmless() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now))
    late = desk.result("r1", 0, api.Result.OK)
    desk.give(late)
    desk.balancer.handle(desk.now, [late, late._replace(request="unknown"), late._replace(upstream=99)])


def test_ask_mode_subscribes_and_backs_off() -> None:
    desk = Desk(settings(discovery_push=False))
    assert not of(api.Subscribe, desk.log)
    desk.advance(5 * SECOND)
    assert len(of(api.Subscribe, desk.log)) == 1
    gaps, last = [], desk.now
    for _ in range(4):
        desk.give(api.ListUpdate(api.ListKind.FAILED))
        before = len(of(api.Subscribe, desk.log))
        while len(of(api.Subscribe, desk.log)) == before:
            desk.advance(50 * MS)
            assert desk.now - last < 20 * SECOND
        gaps.append(desk.now - last)
        last = desk.now
    assert gaps[0] < gaps[2] and max(gaps) <= desk.config.rules.ask_within_ns


def test_spread_of_first_calls() -> None:
    delays = set()
    for seed in range(10):
        b = Balancer(settings(discovery_push=False), seed, START)
        delays |= {a.delay_ns // (50 * MS) for a in b.handle(START, []) if isinstance(a, api.SetTimer)}
    assert len(delays) > 5


def test_push_mode_never_calls_discovery() -> None:
    desk = Desk()
    desk.advance(5 * SECOND)
    assert not of(api.Subscribe, desk.log)


def test_no_tenants_and_unknown_class_work() -> None:
    desk = Desk(settings(tenants={}))
    desk.give(arrival(1, desk.now, tenant=""))
    desk.finish("r1")
    b = Balancer(api.Settings(), 1, START)
    b.handle(
        START,
        [api.ListUpdate(api.ListKind.FULL, upstreams(2)), api.Arrival("x", "never-named", "nobody", START + SECOND)],
    )


def test_retry_after_is_jittered() -> None:
    desk = Desk(servers=0)
    desk.give(*(arrival(i, desk.now) for i in range(30)))
    desk.advance(600 * MS)
    told = {a.retry_after_ns for a in desk.log if isinstance(a, api.Refuse)}
    assert len(told) > 20


RESULTS = [api.Result.OK] * 6 + [r for r in api.Result if r is not api.Result.TIMEOUT]


@hyp(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 10**6), st.booleans(), st.booleans(), st.integers(1, 9))
def test_random_days_keep_the_rules(seed: int, copies: bool, push: bool, servers: int) -> None:
    rng = random.Random(seed)
    limits = api.Limits(
        max_attempts=rng.choice([1, 2, 3, 5]),
        second_copies=copies,
        may_cancel=rng.random() < 0.7,
        retry_after=True,
        probes=True,
        peers=True,
    )
    rules = api.Rules(cold_ns=4 * SECOND, full_unproven=rng.random() < 0.5)
    desk = Desk(
        settings(limits=limits, discovery_push=push, replicas_of_me=rng.choice([1, 3, 40]), rules=rules), seed, 0
    )
    pool = mixed_fleet(servers)
    desk.give(api.ListUpdate(api.ListKind.CACHED, pool))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            cls = rng.choice([READ, PAY, CELL, ANY, NEAR, BIG])
            ident = f"{number}-{rng.random()}"
            desk.give(
                arrival(
                    ident,
                    desk.now,
                    cls,
                    rng.choice(["ash", "birch"]),
                    rng.choice([2, 40, 300, 900]) * MS,
                    rng.random() < 0.2,
                )
            )
        for request, attempt in desk.out():
            if rng.random() < 0.4:
                desk.give(desk.result(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            open_ones = [r for r in desk.cls if r not in desk.answer]
            if open_ones:
                desk.give(api.ClientGone(rng.choice(open_ones)))
        if rng.random() < 0.1:
            i = rng.randrange(len(pool))
            started = desk.now if rng.random() < 0.5 else pool[i].started_ns
            pool[i] = pool[i]._replace(state=rng.choice(list(api.State)), started_ns=started)
            kind = rng.choice([api.ListKind.DELTA, api.ListKind.FULL, api.ListKind.CACHED])
            desk.give(api.ListUpdate(kind, [pool[i]] if kind is api.ListKind.DELTA else pool))
        if not push and rng.random() < 0.05:
            desk.give(api.ListUpdate(api.ListKind.FAILED))
        desk.advance(rng.choice([0, 1, 10, 50]) * MS)
    desk.advance(2 * SECOND)
    assert set(desk.answer) == set(desk.cls)


def near_home(zone: str, me: int, proxies: int, prices: api.Prices, servers: int = 24) -> list[api.Upstream]:
    b = Balancer(settings(me=me, replicas_of_me=proxies, zone=zone, zones=("east", "west"), prices=prices), 1, START)
    b.handle(START, [api.ListUpdate(api.ListKind.FULL, mixed_fleet(servers))])
    return [s.entry for s in b.fleet.default_pool.reach[: b.fleet.default_pool.home]]


def test_home_is_small_and_near_where_connections_have_a_price() -> None:
    # Guards against many proxies filling every upstream's table of connections, each of which costs work.
    dear = api.Prices(connection=0.03, cross_zone=0.01)
    for zone in ("east", "west"):
        homes = [near_home(zone, me, 60, dear) for me in range(60)]
        assert all(len(h) == 1 and h[0].zone == zone for h in homes)
        used = [h[0].id for h in homes]
        assert len(set(used)) == 12 and max(used.count(u) for u in used) <= 8
    assert len(near_home("east", 1, 60, api.Prices(cross_zone=0.01))) == 4


def test_own_zone_empty_of_upstreams_uses_the_others() -> None:
    homes = near_home("south", 3, 40, api.Prices(connection=0.03, cross_zone=0.01))
    assert homes and homes[0].zone in ("east", "west")


def test_a_blocked_line_reaches_one_beyond_the_home() -> None:
    desk = Desk(settings(prices=api.Prices(connection=0.03), replicas_of_me=40), servers=0)
    desk.give(api.ListUpdate(api.ListKind.CACHED, upstreams(12)))
    for i in range(60):
        desk.give(arrival(i, desk.now, wait_ns=SECOND))
        desk.advance(20 * MS)
    assert len({u.id for sent in desk.sends.values() for u, _ in sent}) == 2


def live(weights: list[float]) -> api.ListUpdate:
    pairs = zip(upstreams(len(weights)), weights, strict=True)
    return api.ListUpdate(api.ListKind.DELTA, [u._replace(weight=w) for u, w in pairs])


def test_live_weights_tell_the_lighter_upstream() -> None:
    # With one request in flight at most, own counts say nothing: the list's figure decides.
    desk = Desk(settings(weights=api.Weights.LIVE), servers=2)
    desk.give(live([1.0, 1.0]), live([0.1, 0.5]))
    for i in range(12):
        desk.give(arrival(i, desk.now))
        desk.now += MS
        desk.finish(f"r{i}")
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == {2}


def test_an_old_report_says_nothing() -> None:
    desk = Desk(settings(weights=api.Weights.LIVE), servers=1)
    desk.give(live([1.0]), live([0.001]))
    desk.give(arrival(1, desk.now))
    assert desk.answer["r1"] == "refused"
    desk.advance(4 * SECOND)
    desk.give(arrival(2, desk.now))
    assert len(desk.sends["r2"]) == 1


def test_a_request_that_waits_on_others_is_not_taken_for_a_crowd() -> None:
    # Guards against refusing on a quiet day: time spent beside the queue was laid on the requests held.
    crowding = Balancer(settings(), 1, START).load_model
    server = Server(1, upstreams(1)[0])
    for i in range(200):
        held = 1.0 + i % 4
        crowding.record_sample(Attempt(server, 0, 1.0, held), 300 * MS + 50 * MS * held)
    assert crowding.per_request_ns < 120 * MS and crowding.base_ns > 150 * MS


def test_a_crowded_small_home_lowers_the_rate() -> None:
    # Incident i430663: of a home of four, three and more could fail all day and R was never judged by it.
    throttle = Throttle(1.0, random.Random(1), 0)
    for failing, falls in ((2, False), (4, True)):
        rate = AdmissionRate([throttle], 0)
        rate.successes, rate.failures = 4, Counter(dict.fromkeys(range(failing), 6))
        rate.adjust(SECOND, 4)
        assert (rate.value < 100) is falls


@pytest.mark.parametrize("load", [-5.0, 1e300, float("nan"), float("inf")])
def test_a_report_that_cannot_be_true_says_nothing(load: float) -> None:
    desk = Desk(servers=2)
    for i in range(6):
        desk.give(arrival(i, desk.now))
        desk.now += 20 * MS
        upstream = desk.sends[f"r{i}"][0][0].id
        desk.give(api.Outcome(f"r{i}", 0, upstream, api.Result.OK, 20 * MS, True, {"inflight": load}))
    assert [desk.answer[f"r{i}"] for i in range(6)] == ["served"] * 6


def test_a_caller_s_mistakes_are_not_booked() -> None:
    # An attempt never made, one at another upstream, an upstream never listed, an id that is open already.
    desk = Desk(servers=2)
    desk.give(arrival(1, desk.now))
    sent = desk.sends["r1"][0][0].id
    balancer, good = desk.balancer, desk.result("r1", 0, api.Result.OK)
    balancer.handle(
        desk.now,
        [
            good._replace(attempt=3),
            good._replace(attempt=-1),
            good._replace(upstream=99),
            good._replace(upstream=3 - sent),
            arrival(1, desk.now),
        ],
    )
    assert balancer.fleet.servers[sent].inflight == 1 and len(balancer.requests) == 1
    desk.give(good)
    assert balancer.fleet.servers[sent].inflight == 0 and not balancer.requests


def test_upstreams_long_gone_are_forgotten() -> None:
    desk = Desk(servers=0)
    for i in range(50):
        desk.give(api.ListUpdate(api.ListKind.FULL, upstreams(3, first=1 + 3 * i)))
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}")
        desk.advance(SECOND)
    assert len(desk.balancer.fleet.servers) <= 6 and len(desk.balancer.timers) < 20


def test_a_single_proxy_uses_all_zones() -> None:
    # Small twins of hobart's full-size days scored 0: one proxy, five zones, and all but its own stood idle.
    dear = api.Prices(connection=0.03, cross_zone=0.01)
    assert {u.zone for u in near_home("east", 0, 1, dear, servers=12)} == {"east", "west"}
    assert len(near_home("east", 0, 1, dear, servers=12)) == 12


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_second_copy_is_sent_only_where_the_first_can_be_stopped(may_cancel: bool) -> None:
    limits = api.Limits(max_attempts=3, second_copies=True, may_cancel=may_cancel)
    desk = Desk(settings(limits=limits))
    for i in range(20):
        desk.give(arrival(i, desk.now))
        desk.now += 10 * MS
        desk.finish(f"r{i}")
    desk.give(arrival("slow", desk.now))
    desk.advance(150 * MS)
    assert len(desk.sends["rslow"]) == (2 if may_cancel else 1)


def test_a_class_with_much_time_keeps_the_line_short_for_one_with_little() -> None:
    # Incident i31aba8: requests with two seconds to spare filled the line, and quick ones never got in.
    slow = api.RequestClass("slow", api.Effect.SAFE, aim_ns=20 * SECOND)
    desk = Desk(settings(classes={"slow": slow, "read": READ}), servers=1)
    for i in range(200):
        desk.give(arrival(i, desk.now, slow, wait_ns=20 * SECOND))
        desk.advance(10 * MS)
        for request, number in desk.out():
            if desk.now - desk.sends[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert len(desk.balancer.fleet.default_pool.queue) < 20 and "refused" in desk.answer.values()
