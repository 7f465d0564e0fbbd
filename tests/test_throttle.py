"""The throttle compared with the paper's recursion (2.5)-(2.11) and Theorem 3.1."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux import interface as api
from lanemux.policy import FEEDBACK_INTERVAL_NS, AdmissionRate, Balancer, Pool, Request, Throttle
from tests.bench import MS, READ, SECOND, START, arrival, upstreams
from tests.bench import settings as bench_settings


def throttle(bank: int, hold: int, u: int, rate: float = 1.0) -> Throttle:
    t = Throttle(1.0, random.Random(1), 0)
    t.bucket_capacity, t.hold_capacity, t.counter, t.rate, t.partial_token, t.updated_ns = bank, hold, u, rate, 0.0, 0
    return t


def request(number: int, t: Throttle) -> Request:
    return Request(f"r{number}", READ, Pool(0, None, None), t, 10**15, 10**15, 0)


def play(t: Throttle, steps: list[int]) -> tuple[list[int], list[int], list[str]]:
    """Each second: one token, then that many requests. Returns U, the overflows so far and the order sent."""
    path, lost, sent = [], [], []
    overflow = count = 0
    for second, arrivals in enumerate(steps, 1):
        now = second * SECOND
        sent += [r.id for r in t.release(now)]
        for _ in range(arrivals):
            count += 1
            r = request(count, t)
            answer = t.offer(r, now)
            overflow += answer is False
            if answer is True:
                sent.append(r.id)
        path.append(t.counter)
        lost.append(overflow)
    return path, lost, sent


def recursion(total: int, u: int, steps: list[int]) -> tuple[list[int], list[int]]:
    """Equations (2.8) and (2.10): one token, then the requests one by one."""
    path, lost, overflow = [], [], 0
    for arrivals in steps:
        u = min(total, u + 1)
        for _ in range(arrivals):
            x = -1
            after = min(total, max(0, u + x))
            overflow += -(x - (after - u))
            u = after
        path.append(u)
        lost.append(overflow)
    return path, lost


STEPS = st.lists(st.integers(0, 5), max_size=60)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 6), st.integers(1, 6), STEPS)
def test_counter_follows_the_recursion(bank: int, hold: int, steps: list[int]) -> None:
    t = throttle(bank, hold, bank + hold)
    path, lost, _ = play(t, steps)
    assert (path, lost) == recursion(bank + hold, bank + hold, steps)
    assert len(t.held) == max(0, hold - t.counter)  # (2.3)


@settings(derandomize=True, deadline=None)
@given(st.integers(2, 8), st.data(), STEPS)
def test_overflow_depends_on_the_sum_of_the_capacities_only(total: int, data: st.DataObject, steps: list[int]) -> None:
    a, b = (data.draw(st.integers(1, total)) for _ in "ab")
    u = data.draw(st.integers(max(a, b), total))
    assert play(throttle(total - a, a, u), steps)[:2] == play(throttle(total - b, b, u), steps)[:2]


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_held_requests_leave_in_order(steps: list[int]) -> None:
    _, _, sent = play(throttle(1, 4, 5), steps)
    assert sent == sorted(sent, key=lambda r: int(r[1:]))


def test_a_held_request_that_ends_gives_its_token_back() -> None:
    t = throttle(0, 2, 2)
    first, second = request(1, t), request(2, t)
    assert t.offer(first, 0) is None and t.offer(second, 0) is None
    t.remove(first)
    assert list(t.release(SECOND)) == [second] and t.counter == 2


def test_change_of_rate_keeps_tokens_and_held_requests() -> None:
    t = throttle(0, 2, 2)
    r = request(1, t)
    assert t.offer(r, 0) is None
    t.set_rate(100.0, 0)
    assert t.hold_capacity - t.counter == 1 and list(t.held) == [r]
    assert list(t.release(20 * MS)) == [r]


def test_starts_full_and_with_a_random_token_phase() -> None:
    throttles = [Throttle(1.0, random.Random(seed), 0) for seed in range(20)]
    for t in throttles:
        assert t.counter == t.bucket_capacity + t.hold_capacity
    assert len({round(t.partial_token, 3) for t in throttles}) > 10


def test_the_rate_recovers_quickly_from_a_brief_disturbance() -> None:
    t = throttle(9, 9, 9)
    rate = AdmissionRate([t], 0)
    now = 0

    def interval(good: int, bad_at_each: int) -> None:
        nonlocal now
        now += FEEDBACK_INTERVAL_NS
        rate.successes, t.arrivals, t.ran_out = good, good, True
        rate.failures.update({i: bad_at_each for i in range(8) if bad_at_each})
        rate.adjust(now, 8)

    interval(150, 0)
    for _ in range(6):
        interval(int(min(rate.value, 300) / 4), int(min(rate.value, 300) / 32))
    assert rate.value < 160
    for _ in range(4):
        interval(int(rate.value / 2), 0)
    assert rate.value > 230


def timed_out(rate_a_second: float) -> int:
    """The failures counted against the rate when the only attempt of a request times out."""
    config = bench_settings(tenants={"ash": api.Tenant("ash")}, limits=api.Limits(max_attempts=1))
    balancer = Balancer(config, 1, START)
    balancer.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(6))])
    t = balancer.throttles["ash"]
    t.set_rate(rate_a_second, START)
    t.counter, t.partial_token = t.hold_capacity, 0.0  # no token: the request is held until the next one
    due: list[tuple[int, api.Event]] = [(START, arrival(1, START))]
    for _ in range(40):
        due.sort(key=lambda it: it[0])
        now, event = due.pop(0)
        for action in balancer.handle(now, [event]):
            if isinstance(action, api.Send):
                outcome = api.Outcome("r1", 0, action.upstream, api.Result.TIMEOUT, 1)
                due.append((now + action.timeout_ns, outcome))
            elif isinstance(action, api.SetTimer):
                due.append((now + action.delay_ns, api.TimerFired(action.name)))
        if isinstance(event, api.Outcome):
            return sum(balancer.rate.failures.values())
    raise AssertionError("never ended")


def test_timeouts_delayed_by_the_own_throttle_do_not_count_against_the_rate() -> None:
    assert timed_out(100.0) == 1  # it was held for 10 ms of its 300 ms
    assert timed_out(5.0) == 0  # held for 200 ms


def is_lowered(load: float, reported: bool = True) -> bool:
    """Whether R is lowered when half the attempts fail and upstreams hold so many requests."""
    balancer = Balancer(bench_settings(), 1, START)
    balancer.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(6))])
    for server in balancer.fleet.servers.values():
        server.record_load(load if reported else None, START)
    rate, now = balancer.rate, START + FEEDBACK_INTERVAL_NS
    rate.successes = 100
    rate.failures.update({number: 20 for number in balancer.fleet.servers})
    balancer.handle(now, [])
    return rate.value < 1000


def test_failures_at_nearly_idle_upstreams_do_not_lower_the_rate() -> None:
    assert is_lowered(2.0) and not is_lowered(0.5)
    assert is_lowered(0.5, reported=False)  # load unknown: it may be an overload
