"""Cases for each rule through the interface of the policy, and random valid event sequences against the checker."""

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
    Harness,
    arrival,
    mixed_fleet,
    of,
    settings,
    upstreams,
)


def test_served_request_needs_nothing_more() -> None:
    harness = Harness()
    assert len(of(api.Send, harness.give(arrival(1, harness.now)))) == 1
    assert not of(api.Fail, harness.finish("r1")) and harness.answer["r1"] == "served"


@pytest.mark.parametrize("cls", [READ, PAY, CELL, ANY])
def test_no_server_known_is_refused_in_time(cls: api.RequestClass) -> None:
    harness = Harness(servers=0)
    harness.give(api.ListUpdate(api.ListKind.CACHED), arrival(1, harness.now, cls))
    harness.advance(600 * MS)
    assert harness.answer["r1"] == "refused"


def test_all_draining_is_refused_in_time() -> None:
    harness = Harness()
    harness.give(api.ListUpdate(api.ListKind.DELTA, [u._replace(state=api.State.DRAINING) for u in upstreams(6)]))
    harness.give(arrival(1, harness.now, PAY))
    harness.advance(600 * MS)
    assert harness.answer["r1"] == "refused" and "r1" not in harness.sends


def test_timeout_at_the_deadline_of_an_unsafe_request_is_failed() -> None:
    harness = Harness()
    harness.give(arrival(1, harness.now, PAY))
    harness.advance(600 * MS)
    assert harness.answer["r1"] == "failed" and len(harness.sends["r1"]) == 1


@pytest.mark.parametrize("result", [api.Result.FULL, api.Result.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_is_sent_again(result: api.Result) -> None:
    harness = Harness()
    harness.give(arrival(1, harness.now, PAY))
    harness.now += MS
    harness.finish("r1", result)
    assert len(harness.sends["r1"]) == 2


@pytest.mark.parametrize("result", [api.Result.ERROR, api.Result.RESET, api.Result.CANCELLED])
def test_unsafe_request_that_may_have_run_is_failed(result: api.Result) -> None:
    harness = Harness()
    harness.give(arrival(1, harness.now, PAY))
    harness.now += MS
    harness.finish("r1", result)
    assert harness.answer["r1"] == "failed"


@pytest.mark.parametrize("cls", [NEAR, BIG])
def test_placement_binds_every_attempt(cls: api.RequestClass) -> None:
    # A class must never be sent outside its placement, retries included; the checker asserts it for each send.
    harness = Harness(servers=0)
    harness.give(api.ListUpdate(api.ListKind.CACHED, mixed_fleet(12)))
    for i in range(60):
        harness.give(arrival(i, harness.now, cls))
        harness.now += 5 * MS
        for request, number in harness.out():
            if request not in harness.answer:
                harness.give(harness.result(request, number, (api.Result.FULL, api.Result.OK)[i % 2]))
    assert len(harness.sends) > 20


def test_a_class_without_upstreams_is_refused_and_does_not_block_others() -> None:
    harness = Harness(servers=0)
    west = [u for u in mixed_fleet(12) if u.zone == "west"]
    harness.give(api.ListUpdate(api.ListKind.CACHED, west))
    harness.give(arrival("near", harness.now, NEAR), arrival("read", harness.now, READ))
    assert "rread" in harness.sends and "rnear" not in harness.sends
    harness.advance(600 * MS)
    assert harness.answer["rnear"] == "refused"


@pytest.mark.parametrize(
    ("cls", "unproven", "answer"), [(PAY, True, "failed"), (CELL, True, None), (PAY, False, None), (READ, True, None)]
)
def test_full_proves_that_nothing_ran_only_where_the_rules_say_so(
    cls: api.RequestClass, unproven: bool, answer: str | None
) -> None:
    # Guards against running a request twice where upstreams also drop requests that they had started.
    harness = Harness(settings(rules=api.Rules(cold_ns=4 * SECOND, full_unproven=unproven)))
    harness.give(arrival(1, harness.now, cls))
    harness.now += MS
    harness.finish("r1", api.Result.FULL)
    assert harness.answer.get("r1") == answer and len(harness.sends["r1"]) == (1 if answer else 2)


def test_attempts_are_capped() -> None:
    harness = Harness()
    harness.give(arrival(1, harness.now, READ))
    for _ in range(3):
        harness.now += MS
        if "r1" not in harness.answer:
            harness.finish("r1", api.Result.FULL)
    harness.advance(600 * MS)
    assert harness.answer["r1"] == "refused" and len(harness.sends["r1"]) <= 3


def test_requests_in_a_stalled_queue_are_answered() -> None:
    harness = Harness(servers=1)
    for i in range(30):
        harness.give(arrival(i, harness.now))
    harness.advance(700 * MS)
    assert len(harness.answer) == 30


def test_a_short_deadline_is_met_while_the_queue_is_blocked() -> None:
    # A wake-up that came slightly early was taken for an outdated one, and no timer was ever set again.
    harness = Harness(servers=1)
    harness.give(arrival(1, harness.now))
    for i in range(2, 40):
        harness.give(arrival(i, harness.now, wait_ns=3 * MS))
        early = [t for t in harness.timers]
        harness.timers = [(at - 300, name) for at, name in early]
        harness.advance(30 * MS, step_ns=MS)
    harness.advance(SECOND)
    assert len(harness.answer) == 39


def test_drained_upstream_gets_nothing_new() -> None:
    harness = Harness()
    harness.give(api.ListUpdate(api.ListKind.DELTA, [u._replace(state=api.State.DRAINING) for u in upstreams(5)]))
    for i in range(20):
        harness.give(arrival(i, harness.now))
        harness.advance(20 * MS)
        for request, number in harness.out():
            harness.finish(request, number=number)
    assert {u.id for sent in harness.sends.values() for u, _ in sent} == {6}


def test_missing_from_a_full_list_is_gone() -> None:
    harness = Harness()
    harness.give(api.ListUpdate(api.ListKind.FULL, upstreams(1)))
    for i in range(5):
        harness.give(arrival(i, harness.now))
        harness.finish(f"r{i}")
    assert {u.id for sent in harness.sends.values() for u, _ in sent} == {1}


def test_cold_upstreams_get_one_request_at_a_time() -> None:
    harness = Harness(servers=0)
    harness.give(api.ListUpdate(api.ListKind.CACHED, upstreams(4, started_ns=START - MS)))
    for i in range(40):
        harness.give(arrival(i, harness.now))
        harness.advance(5 * MS)
        held: dict[int, int] = {}
        for request, number in harness.out():
            upstream = harness.sends[request][number][0].id
            held[upstream] = held.get(upstream, 0) + 1
        assert max(held.values(), default=0) <= 1


def test_cold_upstreams_share_a_budget_over_the_proxies() -> None:
    # Guards against forty proxies that each send a cold upstream a little and together overload it.
    sent = []
    for proxies in (1, 40):
        harness = Harness(settings(replicas_of_me=proxies), servers=0)
        harness.give(api.ListUpdate(api.ListKind.CACHED, upstreams(6, started_ns=START - MS)))
        for i in range(100):
            harness.give(arrival(i, harness.now))
            harness.advance(5 * MS)
            for request, number in harness.out():
                harness.finish(request, number=number)
        sent.append(sum(map(len, harness.sends.values())))
    assert sent[1] < sent[0] / 2


def probing_harness(servers: int = 6) -> Harness:
    limits = api.Limits(max_attempts=3, probes=True, may_cancel=True)
    return Harness(settings(limits=limits, report_columns=("inflight", "queue")), servers=servers)


def test_probes_the_drawn_upstreams_and_sends_to_the_least_loaded() -> None:
    # With many proxies own counts say little: the load reported by the upstreams decides.
    harness = probing_harness()
    asked = [a.upstream for a in harness.give(arrival(1, harness.now)) if isinstance(a, api.Probe)]
    assert asked and "r1" not in harness.sends
    harness.now += MS
    harness.give(*(api.ProbeResult(u, api.Result.OK, MS, {"inflight": float(i)}) for i, u in enumerate(asked)))
    assert harness.sends["r1"][0][0].id == asked[0]


def test_does_not_wait_for_a_lost_report() -> None:
    harness = probing_harness()
    harness.give(arrival(1, harness.now))
    harness.advance(20 * MS)
    assert len(harness.sends["r1"]) == 1


def test_an_upstream_just_probed_is_not_probed_again() -> None:
    # A busy proxy would waste its time on probes that bring nothing new.
    harness = probing_harness(servers=1)
    counts = []
    for number in range(4):
        counts.append(sum(isinstance(a, api.Probe) for a in harness.give(arrival(number, harness.now))))
        harness.now += 2 * MS
    assert counts == [1, 0, 0, 1]


def test_refuses_when_all_probed_upstreams_would_answer_late() -> None:
    harness = probing_harness()
    asked = [a.upstream for a in harness.give(arrival(1, harness.now)) if isinstance(a, api.Probe)]
    harness.now += MS
    harness.give(*(api.ProbeResult(u, api.Result.OK, MS, {"inflight": 500.0}) for u in asked))
    assert harness.answer["r1"] == "refused"


def test_an_idle_upstream_is_never_too_slow_to_try() -> None:
    # Guards against refusing requests at low load because one heavy request made an upstream look slow.
    harness = probing_harness(servers=1)
    harness.balancer.fleet.servers[1].latency_ratio = 9.0
    harness.give(arrival(1, harness.now, wait_ns=100 * MS))
    harness.give(api.ProbeResult(1, api.Result.OK, MS, {"inflight": 0.0}))
    assert len(harness.sends["r1"]) == 1


def test_expensive_or_uninformative_probes_are_not_used() -> None:
    limits = api.Limits(max_attempts=3, probes=True)
    dear = settings(limits=limits, report_columns=("inflight",), prices=api.Prices(probe=0.05))
    for config in (dear, settings(limits=limits, report_columns=("util",))):
        harness = Harness(config)
        harness.give(arrival(1, harness.now))
        assert "r1" in harness.sends and not of(api.Probe, harness.log)


def test_attempts_that_fail_in_one_stall_count_as_one_failure() -> None:
    # Guards against one pause of an upstream, which fails all its requests, causing a backoff of seconds.
    harness = Harness(servers=1)
    for i in range(6):
        harness.give(arrival(i, harness.now, wait_ns=100 * MS))
    harness.advance(150 * MS)
    server = harness.balancer.fleet.servers[1]
    assert server.failure_streak <= 2


def blamed(resets: dict[int, int]) -> set[int]:
    """The upstreams that are blamed for so many resets in a row, after 20 good answers each."""
    harness = Harness(servers=4)
    fleet = harness.balancer.fleet
    for server in fleet.servers.values():
        for _ in range(20):
            fleet.record_end(server, False)
    return {
        number
        for number, count in resets.items()
        if [fleet.record_end(fleet.servers[number], True) for _ in range(count)][-1]
    }


def test_a_reset_counts_only_if_other_upstreams_have_fewer() -> None:
    assert blamed({1: 1}) == {1}  # without other resets, one is enough
    assert blamed({2: 9, 3: 9, 4: 9, 1: 1}) == {2, 3, 4}  # with resets everywhere, one says nothing
    assert blamed({2: 9, 3: 9, 4: 9, 1: 6}) == {1, 2, 3, 4}  # a dead one is recognized in any case


def test_resets_do_not_lower_the_rate() -> None:
    harness = Harness(servers=4)
    for i in range(40):
        harness.give(arrival(i, harness.now))
        harness.finish(f"r{i}", api.Result.RESET)
        harness.finish(f"r{i}")
    assert sum(harness.balancer.rate.failures.values()) <= 1  # only the very first reset counts as the upstream's fault


def test_an_attempt_ends_at_the_aim_where_late_is_worth_nothing() -> None:
    harness = Harness()
    sends = [a for a in harness.give(arrival(1, harness.now, READ)) if isinstance(a, api.Send)]
    assert sends[0].timeout_ns == READ.aim_ns


def test_every_upstream_is_in_some_home() -> None:
    # Each proxy takes its own section of one ring that all compute alike.
    homes: list[int] = []
    for me in range(10):
        b = Balancer(settings(me=me, replicas_of_me=10), 1, START)
        b.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(100))])
        homes += [s.id for s in b.fleet.default_pool.candidates[: b.fleet.default_pool.subset_size]]
    assert sorted(homes) == list(range(1, 101))


def test_homes_are_shared_by_few_proxies() -> None:
    # Incident ib66e0d: an upstream in every proxy's home holds far more than any proxy's own count shows.
    sizes = {}
    for proxies in (3, 20, 400):
        b = Balancer(settings(me=1, replicas_of_me=proxies), 1, START)
        b.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(30))])
        sizes[proxies] = b.fleet.default_pool.subset_size
    assert sizes == {3: 10, 20: 9, 400: 4}


def test_the_limit_does_not_grow_before_the_first_answers() -> None:
    # Incident i4eb9e9: with a queue at the start, each higher limit looked good before its requests completed.
    harness = Harness()
    for i in range(300):
        harness.give(arrival(i, harness.now))
        harness.now += MS // 10
    assert harness.balancer.load_model.limit == 1


def test_the_first_latency_samples_count_more() -> None:
    # Incident i530c5f: at two requests per second, the latency of a request was known only after many seconds.
    harness = Harness()
    for i in range(3):
        harness.give(arrival(i, harness.now))
        harness.now += 100 * MS
        harness.finish(f"r{i}")
    assert abs(harness.balancer.load_model.per_request_ns - 100 * MS) < 10 * MS


def test_client_gone_ends_the_request() -> None:
    harness = Harness()
    harness.give(arrival(1, harness.now), api.ClientGone("r1"), api.ClientGone("r1"), api.ClientGone("unknown"))
    harness.advance(600 * MS)
    assert harness.answer["r1"] == "gone"


def test_late_and_unknown_outcomes_are_harmless() -> None:
    harness = Harness()
    harness.give(arrival(1, harness.now))
    late = harness.result("r1", 0, api.Result.OK)
    harness.give(late)
    harness.balancer.handle(harness.now, [late, late._replace(request="unknown"), late._replace(upstream=99)])


def test_pull_mode_subscribes_and_backs_off() -> None:
    harness = Harness(settings(discovery_push=False))
    assert not of(api.Subscribe, harness.log)
    harness.advance(5 * SECOND)
    assert len(of(api.Subscribe, harness.log)) == 1
    gaps, last = [], harness.now
    for _ in range(4):
        harness.give(api.ListUpdate(api.ListKind.FAILED))
        before = len(of(api.Subscribe, harness.log))
        while len(of(api.Subscribe, harness.log)) == before:
            harness.advance(50 * MS)
            assert harness.now - last < 20 * SECOND
        gaps.append(harness.now - last)
        last = harness.now
    assert gaps[0] < gaps[2] and max(gaps) <= harness.config.rules.ask_within_ns


def test_first_discovery_calls_are_spread() -> None:
    delays = set()
    for seed in range(10):
        b = Balancer(settings(discovery_push=False), seed, START)
        delays |= {a.delay_ns // (50 * MS) for a in b.handle(START, []) if isinstance(a, api.SetTimer)}
    assert len(delays) > 5


def test_push_mode_never_calls_discovery() -> None:
    harness = Harness()
    harness.advance(5 * SECOND)
    assert not of(api.Subscribe, harness.log)


def test_no_tenants_and_unknown_class_work() -> None:
    harness = Harness(settings(tenants={}))
    harness.give(arrival(1, harness.now, tenant=""))
    harness.finish("r1")
    b = Balancer(api.Settings(), 1, START)
    b.handle(
        START,
        [api.ListUpdate(api.ListKind.FULL, upstreams(2)), api.Arrival("x", "never-named", "nobody", START + SECOND)],
    )


def test_retry_after_is_jittered() -> None:
    harness = Harness(servers=0)
    harness.give(*(arrival(i, harness.now) for i in range(30)))
    harness.advance(600 * MS)
    told = {a.retry_after_ns for a in harness.log if isinstance(a, api.Refuse)}
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
    harness = Harness(
        settings(limits=limits, discovery_push=push, replicas_of_me=rng.choice([1, 3, 40]), rules=rules), seed, 0
    )
    pool = mixed_fleet(servers)
    harness.give(api.ListUpdate(api.ListKind.CACHED, pool))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            cls = rng.choice([READ, PAY, CELL, ANY, NEAR, BIG])
            ident = f"{number}-{rng.random()}"
            harness.give(
                arrival(
                    ident,
                    harness.now,
                    cls,
                    rng.choice(["ash", "birch"]),
                    rng.choice([2, 40, 300, 900]) * MS,
                    rng.random() < 0.2,
                )
            )
        for request, attempt in harness.out():
            if rng.random() < 0.4:
                harness.give(harness.result(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            open_ones = [r for r in harness.cls if r not in harness.answer]
            if open_ones:
                harness.give(api.ClientGone(rng.choice(open_ones)))
        if rng.random() < 0.1:
            i = rng.randrange(len(pool))
            started = harness.now if rng.random() < 0.5 else pool[i].started_ns
            pool[i] = pool[i]._replace(state=rng.choice(list(api.State)), started_ns=started)
            kind = rng.choice([api.ListKind.DELTA, api.ListKind.FULL, api.ListKind.CACHED])
            harness.give(api.ListUpdate(kind, [pool[i]] if kind is api.ListKind.DELTA else pool))
        if not push and rng.random() < 0.05:
            harness.give(api.ListUpdate(api.ListKind.FAILED))
        harness.advance(rng.choice([0, 1, 10, 50]) * MS)
    harness.advance(2 * SECOND)
    assert set(harness.answer) == set(harness.cls)


def near_home(zone: str, me: int, proxies: int, prices: api.Prices, servers: int = 24) -> list[api.Upstream]:
    b = Balancer(settings(me=me, replicas_of_me=proxies, zone=zone, zones=("east", "west"), prices=prices), 1, START)
    b.handle(START, [api.ListUpdate(api.ListKind.FULL, mixed_fleet(servers))])
    return [s.entry for s in b.fleet.default_pool.candidates[: b.fleet.default_pool.subset_size]]


def test_home_is_small_and_in_the_zone_where_connections_have_a_price() -> None:
    # Guards against many proxies filling the connection table of every upstream; each connection costs work.
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


def test_a_blocked_queue_draws_from_one_upstream_beyond_the_home() -> None:
    harness = Harness(settings(prices=api.Prices(connection=0.03), replicas_of_me=40), servers=0)
    harness.give(api.ListUpdate(api.ListKind.CACHED, upstreams(12)))
    for i in range(60):
        harness.give(arrival(i, harness.now, wait_ns=SECOND))
        harness.advance(20 * MS)
    assert len({u.id for sent in harness.sends.values() for u, _ in sent}) == 2


def live(weights: list[float]) -> api.ListUpdate:
    pairs = zip(upstreams(len(weights)), weights, strict=True)
    return api.ListUpdate(api.ListKind.DELTA, [u._replace(weight=w) for u, w in pairs])


def test_live_weights_select_the_less_loaded_upstream() -> None:
    # With at most one request in flight, own counts say nothing: the weight in the list decides.
    harness = Harness(settings(weights=api.Weights.LIVE), servers=2)
    harness.give(live([1.0, 1.0]), live([0.1, 0.5]))
    for i in range(12):
        harness.give(arrival(i, harness.now))
        harness.now += MS
        harness.finish(f"r{i}")
    assert {u.id for sent in harness.sends.values() for u, _ in sent} == {2}


def test_an_old_report_is_ignored() -> None:
    harness = Harness(settings(weights=api.Weights.LIVE), servers=1)
    harness.give(live([1.0]), live([0.001]))
    harness.give(arrival(1, harness.now))
    assert harness.answer["r1"] == "refused"
    harness.advance(4 * SECOND)
    harness.give(arrival(2, harness.now))
    assert len(harness.sends["r2"]) == 1


def test_latency_independent_of_the_load_is_not_attributed_to_it() -> None:
    # Latency that does not depend on the load was attributed to it, which refused requests at low load.
    model = Balancer(settings(), 1, START).load_model
    server = Server(1, upstreams(1)[0])
    for i in range(200):
        held = 1.0 + i % 4
        model.record_sample(Attempt(server, 0, 1.0, held), 300 * MS + 50 * MS * held)
    assert model.per_request_ns < 120 * MS and model.base_ns > 150 * MS


def test_an_overloaded_small_home_lowers_the_rate() -> None:
    # Incident i430663: in a home of four, three or more upstreams could fail all day and R was never lowered.
    throttle = Throttle(1.0, random.Random(1), 0)
    for failing, lowered in ((2, False), (4, True)):
        rate = AdmissionRate([throttle], 0)
        rate.successes, rate.failures = 4, Counter(dict.fromkeys(range(failing), 6))
        rate.adjust(SECOND, 4)
        assert (rate.value < 100) is lowered


@pytest.mark.parametrize("load", [-5.0, 1e300, float("nan"), float("inf")])
def test_an_impossible_report_is_ignored(load: float) -> None:
    harness = Harness(servers=2)
    for i in range(6):
        harness.give(arrival(i, harness.now))
        harness.now += 20 * MS
        upstream = harness.sends[f"r{i}"][0][0].id
        harness.give(api.Outcome(f"r{i}", 0, upstream, api.Result.OK, 20 * MS, True, {"inflight": load}))
    assert [harness.answer[f"r{i}"] for i in range(6)] == ["served"] * 6


def test_inconsistent_events_are_ignored() -> None:
    # An attempt never made, a wrong or unknown upstream, and an id that is already open.
    harness = Harness(servers=2)
    harness.give(arrival(1, harness.now))
    sent = harness.sends["r1"][0][0].id
    balancer, good = harness.balancer, harness.result("r1", 0, api.Result.OK)
    balancer.handle(
        harness.now,
        [
            good._replace(attempt=3),
            good._replace(attempt=-1),
            good._replace(upstream=99),
            good._replace(upstream=3 - sent),
            arrival(1, harness.now),
        ],
    )
    assert balancer.fleet.servers[sent].inflight == 1 and len(balancer.requests) == 1
    harness.give(good)
    assert balancer.fleet.servers[sent].inflight == 0 and not balancer.requests


def test_upstreams_long_gone_are_forgotten() -> None:
    harness = Harness(servers=0)
    for i in range(50):
        harness.give(api.ListUpdate(api.ListKind.FULL, upstreams(3, first=1 + 3 * i)))
        harness.give(arrival(i, harness.now))
        harness.finish(f"r{i}")
        harness.advance(SECOND)
    assert len(harness.balancer.fleet.servers) <= 6 and len(harness.balancer.timers) < 20


def test_a_single_proxy_uses_all_zones() -> None:
    # With one proxy and five zones, all but its own zone stayed idle: small copies of hobart's full-size days scored 0.
    dear = api.Prices(connection=0.03, cross_zone=0.01)
    assert {u.zone for u in near_home("east", 0, 1, dear, servers=12)} == {"east", "west"}
    assert len(near_home("east", 0, 1, dear, servers=12)) == 12


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_second_copy_is_sent_only_where_the_first_can_be_stopped(may_cancel: bool) -> None:
    limits = api.Limits(max_attempts=3, second_copies=True, may_cancel=may_cancel)
    harness = Harness(settings(limits=limits))
    for i in range(20):
        harness.give(arrival(i, harness.now))
        harness.now += 10 * MS
        harness.finish(f"r{i}")
    harness.give(arrival("slow", harness.now))
    harness.advance(150 * MS)
    assert len(harness.sends["rslow"]) == (2 if may_cancel else 1)


def test_a_class_with_much_time_keeps_the_queue_short_for_one_with_little() -> None:
    # Incident i31aba8: requests with two seconds to spare filled the queue, and those with little never got in.
    slow = api.RequestClass("slow", api.Effect.SAFE, aim_ns=20 * SECOND)
    harness = Harness(settings(classes={"slow": slow, "read": READ}), servers=1)
    for i in range(200):
        harness.give(arrival(i, harness.now, slow, wait_ns=20 * SECOND))
        harness.advance(10 * MS)
        for request, number in harness.out():
            if harness.now - harness.sends[request][number][1] >= 50 * MS:
                harness.finish(request, number=number)
    assert len(harness.balancer.fleet.default_pool.queue) < 20 and "refused" in harness.answer.values()
