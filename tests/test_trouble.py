"""The real module and the node together, over loopback sockets, while upstreams are in trouble."""

from __future__ import annotations

import time

import pytest

from lanemux.policy import SECOND, Balancer
from tests.sockets import (
    Answer,
    Got,
    Upstream,
    Writer,
    answers,
    breaks,
    node,
    request,
    run,
    settings,
    silent,
    until,
    written,
)

UPSTREAMS = 4


def breaks_every(nth: int) -> Answer:
    """Breaks the connection under the second request and every so manieth one from there."""
    count = 0

    async def answer(got: Got, writer: Writer) -> None:
        nonlocal count
        count += 1
        if count % nth == 2 % nth:
            writer.transport.abort()
        else:
            writer.write(written(200))

    return answer


def barred(balancer: Balancer) -> int:
    return sum(s.backoff_until_ns > time.monotonic_ns() for s in balancer.fleet.servers.values())


def test_connections_that_break_everywhere_leave_no_upstream_alone() -> None:
    # Guards against a bad network, whose breaks strike all alike, taking most of a sound fleet out of use.
    async def test() -> None:
        upstreams = [await Upstream(breaks_every(4)).start() for _ in range(UPSTREAMS)]
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        most = 0
        async with node(balancer, *upstreams) as client:
            for _ in range(60):
                assert (await client.ask(request())).status == 200  # safe to repeat: sent again at once
                most = max(most, barred(balancer))
        assert sum(len(u.got) for u in upstreams) >= 70  # so many did break
        assert most <= 1  # the first break of all has no other to be compared with

    run(test())


def test_an_upstream_that_alone_breaks_what_it_is_sent_is_left_at_once() -> None:
    async def test() -> None:
        sound = [await Upstream(answers(200)).start() for _ in range(UPSTREAMS - 1)]
        upstreams = [await Upstream(breaks).start(), *sound]
        async with node(Balancer(settings(), 1, time.monotonic_ns()), *upstreams) as client:
            for _ in range(30):
                assert (await client.ask(request())).status == 200
        assert len(upstreams[0].got) <= 2

    run(test())


def test_a_look_that_breaks_is_taken_once_more(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against each broken probe costing a request the whole time an answer would be waited for.
    async def test() -> None:
        looks = 0

        async def answer(got: Got, writer: Writer) -> None:
            nonlocal looks
            looks += got.first.startswith("GET /stats")
            broken = got.first.startswith("GET /stats") and looks % 2 == 1
            await (breaks if broken else answers(200, b'{"inflight":0}'))(got, writer)

        monkeypatch.setattr("lanemux.policy.PROBE_WAIT_NS", 4 * SECOND)
        monkeypatch.setattr("lanemux.net.probes.PROBE_TIMEOUT_S", 4.0)
        upstream = await Upstream(answer).start()
        async with node(Balancer(settings(probes=True), 1, time.monotonic_ns()), upstream) as client:
            begun = time.monotonic_ns()
            assert (await client.ask(request())).status == 200
            assert looks == 2 and time.monotonic_ns() - begun < 2 * SECOND

    run(test())


def test_a_hopelessly_heavy_request_takes_its_upstream_from_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a few requests of many times the usual work barring upstream after upstream.
    async def test() -> None:
        monkeypatch.setattr("lanemux.policy.STALL_NS", 60 * SECOND)  # a slow machine changes nothing here
        upstream = await Upstream(silent).start()
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        async with node(balancer, upstream) as client:
            got = await client.ask(request("/read", "Req-Cost: 60000000", deadline_ms=500))  # a minute
            assert got.status in (503, 504) and len(upstream.got) == 1
            server = next(iter(balancer.fleet.servers.values()))
            await until(lambda: server.failure_streak)
            assert server.backoff_until_ns - time.monotonic_ns() < 1.25 * balancer.shortest_aim_ns

    run(test())


def test_what_a_balancer_itself_stood_still_for_is_held_against_no_upstream() -> None:
    # Guards against a stopped process, such as one that has spent its share of the processor, taking all
    # upstreams for dead when it goes on.
    async def test() -> None:
        upstreams = [await Upstream(silent).start() for _ in range(UPSTREAMS)]
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        async with node(balancer, *upstreams) as client:
            clients = [client.another() for _ in range(UPSTREAMS)]
            for c in clients:
                await c.send(request(deadline_ms=500))
            await until(lambda: sum(len(u.got) for u in upstreams) == UPSTREAMS)
            each = balancer.load_model.per_request_ns
            time.sleep(0.7)  # the whole loop stands still
            for c in clients:
                assert (await c.read()).status in (503, 504)
                c.close()
            assert barred(balancer) == 0 and not sum(balancer.rate.failures.values())
            assert balancer.load_model.per_request_ns == each

    run(test())
