"""Starts that the list has not told of."""

from __future__ import annotations

import pytest

from lanemux import interface as api
from lanemux.storm.restarts import LEAST, SPAN_NS, Restarts

SECOND = 1_000_000_000
FULL, DELTA = api.ListKind.FULL, api.ListKind.DELTA


def known(*entries: api.Upstream) -> Restarts:
    restarts = Restarts()
    restarts.listed(api.ListUpdate(FULL, entries))
    return restarts


def refuse(restarts: Restarts, now: int, upstream: int = 7) -> None:
    assert restarts.met(upstream, api.Result.CONNECT_FAILED, now) is None


def test_one_that_refused_connections_and_answers_again_has_started() -> None:
    restarts = known(api.Upstream(7), api.Upstream(8))
    refuse(restarts, SECOND)
    assert restarts.met(8, api.Result.OK, 2 * SECOND) is None
    assert restarts.met(7, api.Result.OK, 2 * SECOND) == api.Upstream(7, started_ns=2 * SECOND)
    assert restarts.met(7, api.Result.OK, 3 * SECOND) is None  # told once


@pytest.mark.parametrize("result", [api.Result.FULL, api.Result.ERROR])
def test_any_answer_shows_it(result: api.Result) -> None:
    restarts = known(api.Upstream(7))
    refuse(restarts, SECOND)
    assert restarts.met(7, result, 2 * SECOND) is not None


def test_an_answer_soon_after_a_refusal_and_silence_show_nothing() -> None:
    restarts = known(api.Upstream(7))
    refuse(restarts, SECOND)
    refuse(restarts, SECOND + SPAN_NS - 2)
    assert restarts.met(7, api.Result.OK, SECOND + SPAN_NS - 1) is None
    for result in (api.Result.RESET, api.Result.TIMEOUT, api.Result.CANCELLED, api.Result.NOT_SENT):
        for n in range(5):
            assert restarts.met(7, result, (4 + n) * SECOND) is None
    assert restarts.met(7, api.Result.OK, 9 * SECOND) is None


def test_a_proxy_that_reaches_hardly_anybody_holds_it_against_nobody() -> None:
    restarts = known(*(api.Upstream(n) for n in range(10)))
    for n in range(7):
        refuse(restarts, SECOND + n, n)
    assert not restarts.suspects
    assert [restarts.met(n, api.Result.OK, 2 * SECOND) for n in range(7)] == [None] * 7
    for n in range(6):  # of a fleet, more than half may die together
        refuse(restarts, 3 * SECOND + n, n)
    assert all(restarts.met(n, api.Result.OK, 4 * SECOND) for n in range(6))


def test_in_a_small_list_two_may_die_together() -> None:
    restarts = known(*(api.Upstream(n) for n in range(LEAST - 1)))
    for n in range(LEAST - 1):
        refuse(restarts, SECOND, n)
    assert all(restarts.met(n, api.Result.OK, 2 * SECOND) for n in range(LEAST - 1))


def test_a_start_found_out_stays_until_the_list_tells_of_one() -> None:
    restarts = known(api.Upstream(7))
    refuse(restarts, SECOND)
    restarts.met(7, api.Result.OK, 2 * SECOND)
    old = api.Upstream(7, weight=2.0)
    for kind in (DELTA, FULL):
        assert restarts.listed(api.ListUpdate(kind, [old])).upstreams == [old._replace(started_ns=2 * SECOND)]
    exact = api.Upstream(7, started_ns=SECOND + 5)
    assert restarts.listed(api.ListUpdate(DELTA, [exact])).upstreams == [exact]
    assert restarts.listed(api.ListUpdate(DELTA, [exact])).upstreams == [exact]


def test_what_is_gone_is_forgotten() -> None:
    restarts = known(api.Upstream(7), api.Upstream(8))
    restarts.listed(api.ListUpdate(DELTA, [api.Upstream(7, api.State.GONE)]))
    refuse(restarts, SECOND)
    assert restarts.met(7, api.Result.OK, 2 * SECOND) is None
    restarts.listed(api.ListUpdate(FULL, [api.Upstream(9)]))
    assert set(restarts._known) == {9} and not restarts.suspects
